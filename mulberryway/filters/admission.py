"""Reads model requests and takes their tokens from the allowance."""

import json

import expression

from mulberryway import errors
from mulberryway import tables
from mulberryway.filters import base
from mulberryway.filters import prefix
from mulberryway.policy import allowance
from mulberryway.policy import poison

__all__ = ["Admission", "ModelRequestParser", "estimate_tokens"]

BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 16
MOST_MAX_TOKENS = 1_000_000


def estimate_tokens(prompt: str) -> int:
    """Return about how many tokens a prompt has, rounded up.

    :param prompt: the prompt
    :returns: tokens, at least one
    """
    return max(-(-len(prompt.encode()) // BYTES_PER_TOKEN), 1)


class ModelRequestParser(base.Filter):
    """Checks the body of a model request; other requests pass untouched."""

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Let a well-formed request go on.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: what the chain answers, or a fault
        """
        if exchange.pool.kind is tables.PoolKind.PLAIN:
            return proceed(exchange)
        fault = self._read(exchange)
        if fault is not None:
            return expression.Error(fault)
        return proceed(exchange)

    def _read(self, exchange: base.Exchange) -> errors.Fault | None:
        call = exchange.call
        if exchange.method != "POST" or not call:
            return _refuse("the body is not a JSON object")
        if not isinstance(call.get("prompt"), str) or not call["prompt"]:
            return _refuse("prompt: expected a text")
        if not isinstance(call.get("stream", False), bool):
            return _refuse("stream: expected true or false")
        if call.get("n", 1) != 1 or call.get("best_of", 1) != 1:
            return _refuse("n and best_of: only 1 is served")
        most = call.setdefault("max_tokens", DEFAULT_MAX_TOKENS)
        if type(most) is not int or not 1 <= most <= MOST_MAX_TOKENS:
            return _refuse(f"max_tokens: expected 1 to {MOST_MAX_TOKENS}")
        model = call.get("model")
        served = exchange.route.models or exchange.pool.models
        if not isinstance(model, str) or model not in served:
            return errors.Fault(
                errors.Code.UNKNOWN_MODEL,
                errors.Step.CALLER,
                message="the route serves no such model",
            )
        exchange.model = model
        exchange.prefix_hashes = prefix.hash_blocks(
            model, call["prompt"], exchange.pool.block_tokens
        )
        exchange.max_tokens = most
        exchange.estimate = estimate_tokens(call["prompt"])
        exchange.digest = _digest(exchange)
        return None


class Admission(base.Filter):
    """Reserves the prompt and all that may be generated, before it runs.

    What is not used goes back at the request's end, however it ends.  The
    caller's own count is never asked for.

    :param allowances: the accounts' tokens
    :param charges_maximum: whether a request is charged what it may use, and
        plain calls are charged as well; nothing goes back then unless the
        request has not run
    """

    def __init__(
        self, allowances: allowance.Allowances, charges_maximum: bool = False
    ) -> None:
        self._allowances = allowances
        self._charges_whole = charges_maximum

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Let a request go on that its account can pay for.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: what the chain answers, or a fault
        """
        is_plain = exchange.pool.kind is tables.PoolKind.PLAIN
        if (is_plain and not self._charges_whole) or not exchange.account.name:
            return proceed(exchange)
        charge = base.TokenReservation(
            self._allowances,
            exchange.account.name,
            exchange.estimate + exchange.max_tokens,
        )
        reserved = charge.reserve()
        if reserved.is_error():
            return expression.Error(reserved.error)
        exchange.charge = charge
        exchange.add_completion_callback(
            lambda outcome: charge.settle(self._read_used(exchange, outcome))
        )
        return proceed(exchange)

    def _read_used(
        self, exchange: base.Exchange, outcome: base.Outcome
    ) -> int:
        if not self._charges_whole:
            return outcome.used_tokens
        fault = outcome.fault
        has_run = (
            fault is None or fault.run is not errors.ExecutionStatus.NOT_RUN
        )
        return exchange.estimate + exchange.max_tokens if has_run else 0


def _digest(exchange: base.Exchange) -> str:
    """Name what is asked, so that a repeat is recognised."""
    asked = json.dumps(exchange.call, sort_keys=True).encode()
    return poison.digest_request(
        exchange.account.name, exchange.call["model"], asked
    )


def _refuse(message: str) -> errors.Fault:
    return errors.Fault(
        errors.Code.BAD_REQUEST, errors.Step.CALLER, message=message
    )

"""Parses model requests and reserves their tokens in the allowance."""

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
MAX_TOKENS_LIMIT = 1_000_000


def estimate_tokens(prompt: str) -> int:
    """Return the estimated number of tokens in a prompt, rounded up.

    :param prompt: the text to estimate
    :returns: the number of tokens, at least one
    """
    return max(-(-len(prompt.encode()) // BYTES_PER_TOKEN), 1)


class ModelRequestParser(base.Filter):
    """Validates the body of model requests; plain calls are not checked."""

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Forward a request whose body is valid.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: the chain's answer, or a fault
        """
        if exchange.pool.kind is tables.PoolKind.PLAIN:
            return proceed(exchange)
        fault = self._parse(exchange)
        if fault is not None:
            return expression.Error(fault)
        return proceed(exchange)

    def _parse(self, exchange: base.Exchange) -> errors.Fault | None:
        call = exchange.call
        if exchange.method != "POST" or not call:
            return _reject("the body is not a JSON object")
        if not isinstance(call.get("prompt"), str) or not call["prompt"]:
            return _reject("prompt: expected a non-empty string")
        if not isinstance(call.get("stream", False), bool):
            return _reject("stream: expected true or false")
        if call.get("n", 1) != 1 or call.get("best_of", 1) != 1:
            return _reject("n and best_of: only 1 is supported")
        max_tokens = call.setdefault("max_tokens", DEFAULT_MAX_TOKENS)
        if (
            type(max_tokens) is not int
            or not 1 <= max_tokens <= MAX_TOKENS_LIMIT
        ):
            return _reject(f"max_tokens: expected 1 to {MAX_TOKENS_LIMIT}")
        model = call.get("model")
        served = exchange.route.models or exchange.pool.models
        if not isinstance(model, str) or model not in served:
            return errors.Fault(
                errors.Code.UNKNOWN_MODEL,
                errors.Step.CALLER,
                message="the route does not serve this model",
            )
        exchange.model = model
        exchange.prefix_hashes = prefix.hash_blocks(
            model, call["prompt"], exchange.pool.block_tokens
        )
        exchange.max_tokens = max_tokens
        exchange.estimate = estimate_tokens(call["prompt"])
        exchange.digest = _digest(exchange)
        return None


class Admission(base.Filter):
    """Reserves a request's prompt tokens and maximum output before it runs.

    Unused tokens are returned when the request ends, whatever the outcome.
    Token counts that the caller sends are not used.

    :param allowances: the token allowances of all client accounts
    :param charges_maximum: whether a request is charged its full reservation
        and plain calls are charged too; only a request that has not run then
        gets its tokens back
    """

    def __init__(
        self, allowances: allowance.Allowances, charges_maximum: bool = False
    ) -> None:
        self._allowances = allowances
        self._charges_maximum = charges_maximum

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Forward a request if its account has enough tokens left.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: the chain's answer, or a fault
        """
        is_plain = exchange.pool.kind is tables.PoolKind.PLAIN
        if (
            is_plain and not self._charges_maximum
        ) or not exchange.account.name:
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
            lambda outcome: charge.settle(
                self._count_charged_tokens(exchange, outcome)
            )
        )
        return proceed(exchange)

    def _count_charged_tokens(
        self, exchange: base.Exchange, outcome: base.Outcome
    ) -> int:
        if not self._charges_maximum:
            return outcome.used_tokens
        fault = outcome.fault
        has_run = (
            fault is None or fault.run is not errors.ExecutionStatus.NOT_RUN
        )
        return exchange.estimate + exchange.max_tokens if has_run else 0


def _digest(exchange: base.Exchange) -> str:
    """Return a digest of the call by which retries are recognised."""
    serialized_call = json.dumps(exchange.call, sort_keys=True).encode()
    return poison.digest_request(
        exchange.account.name, exchange.call["model"], serialized_call
    )


def _reject(message: str) -> errors.Fault:
    return errors.Fault(
        errors.Code.BAD_REQUEST, errors.Step.CALLER, message=message
    )

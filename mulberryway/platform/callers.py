"""Parses callers' requests and serves the platform's own endpoints."""

import json
import re
import urllib.parse

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import replies
from mulberryway import tables
from mulberryway.filters import base
from mulberryway.filters import status
from mulberryway.platform import wire
from mulberryway.policy import endpoints
from mulberryway.policy import part_records
from mulberryway.policy import poison
from mulberryway.upstreams import base as upstreams
from mulberryway.upstreams import http_service

__all__ = ["PlatformEndpoints", "RequestParser", "parse_shared_parts"]

MS_IN_S = 1_000
# Longer ids are truncated; their beginning is sufficient in logs.
MAX_ID_LENGTH = 64
MAX_RESUMED_ID_LENGTH = 256
MAX_EVENT_ID_DIGITS = 18
MAX_NUMBER_DIGITS = 12
# Parts of a prompt that are read from its header; more are ignored.
MAX_PROMPT_PARTS = 64
PROMPT_PART = re.compile(r"([0-9A-Fa-f]{1,64}):[0-9]{1,9}")


class PlatformEndpoints(base.Filter):
    """Serves the readiness and address resolution endpoints.

    :param lifecycle: holds whether this VM is ready for requests
    :param entries: the directory of VMs that accept requests
    :param ttl_ms: how long callers may cache the addresses, in ms
    """

    def __init__(
        self,
        lifecycle: status.Lifecycle,
        entries: endpoints.EndpointDirectory,
        ttl_ms: int,
    ) -> None:
        self._lifecycle = lifecycle
        self._entries = entries
        self._ttl_ms = ttl_ms

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Answer a request to a platform endpoint; forward any other.

        :param exchange: the request
        :param proceed: calls the next filter
        :returns: the reply, or the result of the next filter
        """
        if exchange.path == wire.READY:
            is_ready = self._lifecycle.is_ready
            return expression.Ok(
                replies.Reply(200 if is_ready else 503, [], b"")
            )
        if exchange.path == wire.RESOLVE:
            return expression.Ok(self._resolve(exchange))
        return proceed(exchange)

    def _resolve(self, exchange: base.Exchange) -> replies.Reply:
        query = urllib.parse.parse_qs(
            urllib.parse.urlsplit(exchange.target).query
        )
        zone = next(iter(query.get("zone", [])), "")
        addresses = [
            endpoint.address for endpoint in self._entries.list_addresses(zone)
        ]
        value = {"addrs": addresses, "ttl_s": self._ttl_ms / MS_IN_S}
        return replies.Reply(
            200,
            [("Content-Type", replies.JSON_TYPE)],
            json.dumps(value).encode(),
        )


class RequestParser(base.Filter):
    """Parses the request headers that the platform defines."""

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Parse the headers of a request and pass it to the next filter.

        :param exchange: the request
        :param proceed: calls the next filter
        :returns: the result of the next filter, or a fault for a
            malformed header
        """
        attempt_id = exchange.find_header(wire.ATTEMPT_ID.lower())
        if not attempt_id:
            return _reject(f"{wire.ATTEMPT_ID}: expected a non-empty id")
        # Two requests may carry the same attempt id, so the generated id is
        # appended to keep request ids unique.
        exchange.attempt_id = attempt_id
        suffix = exchange.request_id.rpartition("-")[2]
        exchange.request_id = f"{attempt_id[:MAX_ID_LENGTH]}.{suffix}"
        # Removed before the router sets headers of its own, which a caller's
        # ``Connection`` header must not take away.
        exchange.headers = [
            (name, value)
            for name, value in http_service.strip_hop_by_hop_headers(
                exchange.headers, wire.END_TO_END_HEADERS
            )
            if name.lower() not in wire.RESERVED_HEADERS
        ]
        if exchange.account.name:
            exchange.headers.append((wire.TENANT, exchange.account.name))
        try:
            self._parse_deadline(exchange)
            self._parse_token_counts(exchange)
            exchange.resumption = _parse_resumption(exchange)
        except ValueError as error:
            return _reject(str(error))
        exchange.call = upstreams.PassthroughRequest(
            exchange.method,
            exchange.target,
            exchange.headers,
            exchange.body,
            attempt_id,
            exchange.account.name,
            exchange.deadline,
        )
        return proceed(exchange)

    @staticmethod
    def _parse_deadline(exchange: base.Exchange) -> None:
        text = exchange.find_header(wire.DEADLINE.lower())
        if text is None:
            return
        left_ms = _parse_number(wire.DEADLINE, text)
        requested = clock.Deadline(exchange.arrived_ms + left_ms)
        exchange.deadline.at_ms = min(exchange.deadline.at_ms, requested.at_ms)

    @staticmethod
    def _parse_token_counts(exchange: base.Exchange) -> None:
        text = exchange.find_header(wire.TOKEN_COUNTS.lower())
        exchange.model = exchange.find_header(wire.MODEL.lower()) or ""
        if text is None:
            exchange.max_tokens = exchange.account.plain_tokens
            return
        prompt, comma, maximum = text.partition(",")
        if not comma:
            raise ValueError(f"{wire.TOKEN_COUNTS}: expected two numbers")
        exchange.estimate = _parse_number(wire.TOKEN_COUNTS, prompt)
        exchange.max_tokens = _parse_number(wire.TOKEN_COUNTS, maximum)
        hint = exchange.find_header(wire.LENGTH_HINT.lower()) or ""
        if hint.isdecimal() and len(hint) <= MAX_NUMBER_DIGITS:
            exchange.expected_tokens = int(hint)
        if exchange.pool.kind is tables.PoolKind.MODEL:
            exchange.digest = poison.digest_request(
                exchange.account.name,
                exchange.model,
                exchange.target.encode() + b"\0",
                exchange.body,
            )
            exchange.prompt_parts = parse_shared_parts(
                exchange.find_header(wire.PREFIX.lower()) or ""
            )
            exchange.part_keys = tuple(
                part_records.make_part_key(exchange.model, part)
                for part in exchange.prompt_parts
            )


def parse_shared_parts(text: str) -> tuple[str, ...]:
    """Return the parts of a prompt that other requests may share.

    The last part belongs to the request or its session alone.  A malformed
    header is left to the upstream, so it has no parts here.

    :param text: the parts in their order as ``ID:TOKENS``, comma-separated
    :returns: their ids, each once; at most ``MAX_PROMPT_PARTS``
    """
    entries = text.split(",")[: MAX_PROMPT_PARTS + 1]
    matches = [PROMPT_PART.fullmatch(entry.strip()) for entry in entries]
    if not all(matches):
        return ()
    ids = [match[1].lower() for match in matches if match]
    return tuple(dict.fromkeys(ids[:-1]))


def _parse_resumption(exchange: base.Exchange) -> base.Resumption | None:
    """Return which stream a request resumes; none if it starts a new one.

    :raises ValueError: if a header is malformed or has several values
    """
    route = exchange.route
    if not (route.is_streaming and route.idempotent):
        return None
    last_event = _find_single_header(exchange, wire.LAST_EVENT)
    if not last_event:
        return None
    if not last_event.isdecimal() or len(last_event) > MAX_EVENT_ID_DIGITS:
        raise ValueError(f"{wire.LAST_EVENT}: expected a decimal number")
    resumed = _find_single_header(exchange, wire.RESUMED_ATTEMPT)
    if len(resumed) > MAX_RESUMED_ID_LENGTH:
        raise ValueError(
            f"{wire.RESUMED_ATTEMPT}: expected at most "
            f"{MAX_RESUMED_ID_LENGTH} characters"
        )
    if not int(last_event):
        return None
    return base.Resumption(resumed, int(last_event))


def _parse_number(name: str, text: str) -> int:
    """Return the number in a header.

    :param name: the header's name
    :param text: the number's digits
    :raises ValueError: if it is no decimal number or too large
    """
    if not text.isdecimal() or len(text) > MAX_NUMBER_DIGITS:
        raise ValueError(
            f"{name}: expected a decimal number of at most "
            f"{MAX_NUMBER_DIGITS} digits"
        )
    return int(text)


def _find_single_header(exchange: base.Exchange, name: str) -> str:
    """Return the value of a header that must not have several values."""
    values = {
        value for key, value in exchange.headers if key.lower() == name.lower()
    }
    if len(values) > 1:
        raise ValueError(f"{name}: expected one value")
    return next(iter(values), "")


def _reject(message: str) -> base.Answer:
    return expression.Error(
        errors.Fault(
            errors.Code.BAD_REQUEST, errors.Step.CALLER, message=message
        )
    )

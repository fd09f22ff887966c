"""Removes callers' credentials before requests reach upstreams."""

import json
import typing
import urllib.parse

import expression

from mulberryway import errors
from mulberryway.filters import base
from mulberryway.policy import json_sizes

__all__ = ["CredentialScrubber", "strip_key_headers"]

# Headers that always carry credentials, whatever their value.
SECRET_HEADERS = frozenset(
    (
        "authorization",
        "proxy-authorization",
        "cookie",
        "x-api-key",
        "api-key",
        "apikey",
        "x-apikey",
        "x-auth-token",
        "x-access-token",
        "x-goog-api-key",
        "x-amz-security-token",
        "x-forwarded-authorization",
    )
)
# Headers that only the router may set; from a caller they would allow it to
# impersonate another client account or free another request's memory.
ROUTER_HEADERS = frozenset(
    (
        "x-request-id",
        "x-request-owner",
        "x-request-priority",
        "x-account",
        "x-client-account",
        "traceparent",
        "tracestate",
        "baggage",
    )
)
SECRET_PARAMETERS = frozenset(
    (
        "key",
        "api_key",
        "api-key",
        "apikey",
        "access_token",
        "auth_token",
        "token",
        "authorization",
    )
)
FORM_TYPE = "application/x-www-form-urlencoded"
REPLACEMENT = "[removed]"
RETRY_AFTER_MS = 1_000
# A shorter key, as used in tests, may occur inside ordinary words, so it is
# only matched as a whole value.  Issued keys are longer.
MIN_SUBSTRING_KEY_LENGTH = 8

Json = typing.Any


def strip_key_headers(exchange: base.Exchange, key: str) -> None:
    """Remove ``Authorization`` and all headers that contain the key.

    :param exchange: the request
    :param key: the caller's key; empty for none
    """
    exchange.headers = [
        (name, value)
        for name, value in exchange.headers
        if name.lower() != "authorization" and not (key and key in value)
    ]


class CredentialScrubber:
    """Removes one API key from one request.

    Headers and parameters that usually carry credentials are removed, as is
    the key's value anywhere else in the request.

    :param key: the key as the caller presented it
    """

    __slots__ = ("_key", "_key_bytes", "_is_short", "_has_changed")

    def __init__(self, key: str) -> None:
        self._key = key
        self._key_bytes = key.encode()
        self._is_short = len(key) < MIN_SUBSTRING_KEY_LENGTH
        self._has_changed = False

    def scrub(
        self, exchange: base.Exchange
    ) -> expression.Result[None, errors.Fault]:
        """Remove the key from a request in place.

        :param exchange: the request
        :returns: nothing, or ``BAD_REQUEST`` if the key cannot be removed
            without changing the meaning of the request
        """
        if self._contains_key(exchange.path):
            return expression.Error(_reject("the path contains the key"))
        exchange.headers = [
            (name, value)
            for name, value in exchange.headers
            if not self._is_secret_header(name, value)
        ]
        path, mark, query = exchange.target.partition("?")
        exchange.target = path + mark + self._scrub_query(query)
        return self._scrub_body(exchange)

    def _is_secret_header(self, name: str, value: str) -> bool:
        # Some servers treat an underscore in a header name as a hyphen.
        name = name.lower().replace("_", "-")
        return (
            name in SECRET_HEADERS
            or name in ROUTER_HEADERS
            or self._contains_key(value)
            or self._contains_key(urllib.parse.unquote_plus(value))
            or self._contains_key(name)
        )

    def _contains_key(self, text: str) -> bool:
        return self._key == text if self._is_short else self._key in text

    def _body_contains_key(self, body: bytes) -> bool:
        return not self._is_short and self._key_bytes in body

    def _scrub_query(self, query: str) -> str:
        return "&".join(
            part
            for part in query.split("&")
            if not self._is_secret_parameter(part)
        )

    def _is_secret_parameter(self, part: str) -> bool:
        decoded = urllib.parse.unquote_plus(part)
        name, _, value = decoded.partition("=")
        return (
            name.lower() in SECRET_PARAMETERS
            or self._contains_key(value)
            or self._contains_key(decoded)
        )

    def _scrub_body(
        self, exchange: base.Exchange
    ) -> expression.Result[None, errors.Fault]:
        kind = (exchange.find_header("content-type") or "").lower()
        if exchange.body[:1] in (b"{", b"["):
            needed_bytes = json_sizes.estimate_bytes(exchange.body)
            if not exchange.memory.try_grow(needed_bytes):
                return expression.Error(
                    _make_no_room_fault(exchange, needed_bytes)
                )
            self._scrub_json(exchange)
        elif kind.startswith(FORM_TYPE):
            form = exchange.body.decode("latin-1")
            exchange.body = self._scrub_query(form).encode("latin-1")
        if self._body_contains_key(exchange.body):
            return expression.Error(_reject("the body contains the key"))
        return expression.Ok(None)

    def _scrub_json(self, exchange: base.Exchange) -> None:
        try:
            value = self._scrub_value(json.loads(exchange.body))
        except (ValueError, RecursionError):
            # Not JSON; a later filter rejects the body if it requires JSON.
            return
        if self._has_changed or self._body_contains_key(exchange.body):
            exchange.body = json.dumps(value).encode()
        if isinstance(value, dict):
            exchange.call = value

    def _scrub_value(self, value: Json) -> Json:
        if isinstance(value, str):
            return self._scrub_text(value)
        if isinstance(value, dict):
            return {
                name: self._scrub_value(member)
                for name, member in value.items()
                if not self._is_key(name) and not self._is_key(member)
            }
        if isinstance(value, list):
            return [
                self._scrub_value(member)
                for member in value
                if not self._is_key(member)
            ]
        return value

    def _scrub_text(self, text: str) -> str:
        if not self._contains_key(text):
            return text
        self._has_changed = True
        return text.replace(self._key, REPLACEMENT)

    def _is_key(self, value: Json) -> bool:
        if not isinstance(value, str):
            return False
        is_key = value.removeprefix("Bearer ").strip() == self._key
        self._has_changed = self._has_changed or is_key
        return is_key


def _make_no_room_fault(
    exchange: base.Exchange, needed_bytes: int
) -> errors.Fault:
    """Return the fault of a body that cannot be parsed now, or at all."""
    exchange.memory.report_refusal(needed_bytes)
    if not exchange.memory.can_ever_hold(needed_bytes):
        return errors.Fault(
            errors.Code.BODY_TOO_LARGE,
            errors.Step.CALLER,
            message="the body has too many values",
        )
    return errors.Fault(
        errors.Code.OVERLOADED,
        errors.Step.CALLER,
        message="no room for the values of the body",
        retry_after_ms=RETRY_AFTER_MS,
    )


def _reject(message: str) -> errors.Fault:
    return errors.Fault(
        errors.Code.BAD_REQUEST, errors.Step.CALLER, message=message
    )

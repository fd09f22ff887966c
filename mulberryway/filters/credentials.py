"""Takes callers' credentials out of what upstreams will see."""

import json
import typing
import urllib.parse

import expression

from mulberryway import errors
from mulberryway.filters import base

__all__ = ["CredentialScrubber", "strip_key_headers"]

# Headers that carry credentials by their purpose, whatever their value.
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
# What the router alone says to upstreams; a caller's own would let it speak
# for another client account, or free another request's memory.
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
# A key this short, as people give in trials, may be part of any word, so it
# is looked for as a whole value only.  Keys that are given out are longer.
MIN_SUBSTRING_KEY_LENGTH = 8

Json = typing.Any


def strip_key_headers(exchange: base.Exchange, key: str) -> None:
    """Take the headers out that carry a key, and leave the rest as it is.

    :param exchange: the request
    :param key: the key; empty for none
    """
    exchange.headers = [
        (name, value)
        for name, value in exchange.headers
        if name.lower() != "authorization" and not (key and key in value)
    ]


class CredentialScrubber:
    """Removes one key from one request.

    A key is removed by the usual places of credentials and, wherever else
    a caller has put it, by its value.

    :param key: the key as the caller presented it
    """

    __slots__ = ("_key", "_raw", "_is_short", "_has_changed")

    def __init__(self, key: str) -> None:
        self._key = key
        self._raw = key.encode()
        self._is_short = len(key) < MIN_SUBSTRING_KEY_LENGTH
        self._has_changed = False

    def scrub(
        self, exchange: base.Exchange
    ) -> expression.Result[None, errors.Fault]:
        """Clean a request in place.

        :param exchange: the request
        :returns: nothing, or ``BAD_REQUEST`` if the key stands where it
            cannot be taken out without changing what is asked
        """
        if self._holds(exchange.path):
            return expression.Error(_refuse("the path holds the key"))
        exchange.headers = [
            (name, value)
            for name, value in exchange.headers
            if not self._is_secret_header(name, value)
        ]
        path, mark, query = exchange.target.partition("?")
        exchange.target = path + mark + self._clean_query(query)
        return self._clean_body(exchange)

    def _is_secret_header(self, name: str, value: str) -> bool:
        # Some servers take an underscore for a hyphen.
        name = name.lower().replace("_", "-")
        return (
            name in SECRET_HEADERS
            or name in ROUTER_HEADERS
            or self._holds(value)
            or self._holds(urllib.parse.unquote_plus(value))
            or self._holds(name)
        )

    def _holds(self, text: str) -> bool:
        return self._key == text if self._is_short else self._key in text

    def _remains(self, body: bytes) -> bool:
        return not self._is_short and self._raw in body

    def _clean_query(self, query: str) -> str:
        return "&".join(
            part
            for part in query.split("&")
            if not self._is_secret_parameter(part)
        )

    def _is_secret_parameter(self, part: str) -> bool:
        whole = urllib.parse.unquote_plus(part)
        name, _, value = whole.partition("=")
        return (
            name.lower() in SECRET_PARAMETERS
            or self._holds(value)
            or self._holds(whole)
        )

    def _clean_body(
        self, exchange: base.Exchange
    ) -> expression.Result[None, errors.Fault]:
        kind = (exchange.find_header("content-type") or "").lower()
        if exchange.body[:1] in (b"{", b"["):
            self._clean_json(exchange)
        elif kind.startswith(FORM_TYPE):
            form = exchange.body.decode("latin-1")
            exchange.body = self._clean_query(form).encode("latin-1")
        if self._remains(exchange.body):
            return expression.Error(_refuse("the body holds the key"))
        return expression.Ok(None)

    def _clean_json(self, exchange: base.Exchange) -> None:
        try:
            value = self._clean_value(json.loads(exchange.body))
        except (ValueError, RecursionError):
            # Not JSON after all; whoever needs JSON will say so.
            return
        if self._has_changed or self._remains(exchange.body):
            exchange.body = json.dumps(value).encode()
        if isinstance(value, dict):
            exchange.call = value

    def _clean_value(self, value: Json) -> Json:
        if isinstance(value, str):
            return self._clean_text(value)
        if isinstance(value, dict):
            return {
                name: self._clean_value(member)
                for name, member in value.items()
                if not self._is_key(name) and not self._is_key(member)
            }
        if isinstance(value, list):
            return [
                self._clean_value(member)
                for member in value
                if not self._is_key(member)
            ]
        return value

    def _clean_text(self, text: str) -> str:
        if not self._holds(text):
            return text
        self._has_changed = True
        return text.replace(self._key, REPLACEMENT)

    def _is_key(self, value: Json) -> bool:
        if not isinstance(value, str):
            return False
        found = value.removeprefix("Bearer ").strip() == self._key
        self._has_changed = self._has_changed or found
        return found


def _refuse(message: str) -> errors.Fault:
    return errors.Fault(
        errors.Code.BAD_REQUEST, errors.Step.CALLER, message=message
    )

"""An operator's call: who makes it, and what comes with it."""

import hashlib
import hmac
import json
import re
import secrets
import typing
import urllib.parse

from mulberryway import errors

__all__ = [
    "MAX_BODY_BYTES",
    "OperatorRequest",
    "OperatorAuthenticator",
    "bad_request",
    "parse_request",
]

BEARER = "Bearer "
MAX_BODY_BYTES = 8 << 20
EDIT_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
EDIT_ID_BYTES = 12
MAX_DIGITS = 18

Environ = dict[str, typing.Any]


class OperatorAuthenticator:
    """Knows the operators by the digests of their credentials.

    :param digests: SHA-256 digests of credentials, by operator's name
    """

    def __init__(self, digests: dict[str, str]) -> None:
        self._digests = digests

    def find(self, header: str) -> str | None:
        """Return the operator whose credential a header carries.

        All digests are compared in constant time, so that the time of a
        refusal tells nothing about any of them.

        :param header: the Authorization header's value
        """
        if not header.startswith(BEARER):
            return None
        credential = header.removeprefix(BEARER).strip()
        digest = hashlib.sha256(credential.encode("latin-1")).hexdigest()
        matches = [
            name
            for name, known in self._digests.items()
            if hmac.compare_digest(known.lower(), digest)
        ]
        return matches[0] if matches else None


class OperatorRequest:
    """One call of an operator.

    :param operator: who calls
    :param body: the JSON object that came with it
    :param parts: what the path names
    :param query: the query's parameters
    """

    __slots__ = ("operator", "body", "parts", "query")

    def __init__(
        self,
        operator: str,
        body: dict[str, typing.Any],
        parts: tuple[str, ...],
        query: dict[str, str],
    ) -> None:
        self.operator = operator
        self.body = body
        self.parts = parts
        self.query = query

    def read_text(self, key: str) -> str:
        """Return a text that must be there.

        :param key: its key in the body
        :raises MulberrywayError: if it is not a text
        """
        value = self.body.get(key)
        if not isinstance(value, str):
            raise bad_request(f"{key}: expected a text")
        return value

    def get_optional_string(self, key: str) -> str | None:
        """Return a text, or none if it was left out.

        :param key: its key in the body
        :raises MulberrywayError: if it is something else
        """
        return None if self.body.get(key) is None else self.read_text(key)

    def get_integer(self, key: str) -> int:
        """Return a whole number that must be there.

        :param key: its key in the body
        :raises MulberrywayError: if it is something else
        """
        value = self.body.get(key)
        if type(value) is not int or value < 0:
            raise bad_request(f"{key}: expected a whole number")
        return value

    def get_edit_id(self) -> str:
        """Return the edit's id; a new one if the operator sent none.

        :raises MulberrywayError: if it cannot be an id
        """
        if self.body.get("edit_id") is None:
            return secrets.token_hex(EDIT_ID_BYTES)
        edit_id = self.read_text("edit_id")
        if EDIT_ID.fullmatch(edit_id) is None:
            raise bad_request("edit_id: expected 1 to 64 of A-Za-z0-9._-")
        return edit_id

    def get_query_integer(self, key: str) -> int | None:
        """Return a whole number of the query, or none.

        :param key: the parameter
        :raises MulberrywayError: if it is something else
        """
        text = self.query.get(key)
        if text is None:
            return None
        if not text.isdecimal() or len(text) > MAX_DIGITS:
            raise bad_request(f"{key}: expected a whole number")
        return int(text)


def parse_request(
    environ: Environ, operator: str, parts: tuple[str, ...]
) -> OperatorRequest:
    """Return the call that a request makes.

    :param environ: the request, as WSGI describes it
    :param operator: who calls
    :param parts: what the path names
    :raises MulberrywayError: if the body cannot be read
    """
    query = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
    return OperatorRequest(operator, _read_body(environ), parts, dict(query))


def bad_request(message: str) -> errors.MulberrywayError:
    """Return the error for a call that cannot be read.

    :param message: what was expected
    """
    return errors.MulberrywayError(
        errors.Fault(
            errors.Code.BAD_REQUEST, errors.Step.ADMIN, message=message
        )
    )


def _read_body(environ: Environ) -> dict[str, typing.Any]:
    if environ.get("HTTP_TRANSFER_ENCODING"):
        # Two lengths may be read differently by whoever stands between.
        raise bad_request("expected a Content-Length")
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdecimal():
        raise bad_request("expected a Content-Length")
    length = int(text)
    if length > MAX_BODY_BYTES:
        raise errors.MulberrywayError(
            errors.Fault(errors.Code.BODY_TOO_LARGE, errors.Step.ADMIN)
        )
    if length == 0:
        return {}
    try:
        body = json.loads(environ["wsgi.input"].read(length))
    except (ValueError, RecursionError) as error:
        raise bad_request("expected JSON") from error
    if not isinstance(body, dict):
        raise bad_request("expected a JSON object")
    return body

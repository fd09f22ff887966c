"""Authenticates and parses operators' requests."""

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
    """Identifies operators by the digests of their credentials.

    :param digests: SHA-256 digests of credentials by operator name
    """

    def __init__(self, digests: dict[str, str]) -> None:
        self._digests = digests

    def authenticate(self, header: str) -> str | None:
        """Return the operator with the credential in a header, or None.

        All digests are compared in constant time, so the response time
        reveals nothing about them.

        :param header: the value of the Authorization header
        """
        if not header.startswith(BEARER):
            return None
        credential = header.removeprefix(BEARER).strip()
        digest = hashlib.sha256(credential.encode("latin-1")).hexdigest()
        matches = [
            name
            for name, stored in self._digests.items()
            if hmac.compare_digest(stored.lower(), digest)
        ]
        return matches[0] if matches else None


class OperatorRequest:
    """A parsed request of an operator.

    :param operator: the operator's name
    :param body: the JSON object in the body
    :param parts: the arguments from the path
    :param query: the query parameters
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

    def get_string(self, key: str) -> str:
        """Return a required string from the body.

        :param key: the key in the body
        :raises MulberrywayError: if the value is missing or not a string
        """
        value = self.body.get(key)
        if not isinstance(value, str):
            raise bad_request(f"{key}: expected a string")
        return value

    def get_optional_string(self, key: str) -> str | None:
        """Return a string from the body, or None if it is missing.

        :param key: the key in the body
        :raises MulberrywayError: if the value is not a string
        """
        return None if self.body.get(key) is None else self.get_string(key)

    def get_integer(self, key: str) -> int:
        """Return a required non-negative integer from the body.

        :param key: the key in the body
        :raises MulberrywayError: if the value is missing or invalid
        """
        value = self.body.get(key)
        if type(value) is not int or value < 0:
            raise bad_request(f"{key}: expected a non-negative integer")
        return value

    def get_edit_id(self) -> str:
        """Return the edit's id, or a new id if the request has none.

        :raises MulberrywayError: if the id is malformed
        """
        if self.body.get("edit_id") is None:
            return secrets.token_hex(EDIT_ID_BYTES)
        edit_id = self.get_string("edit_id")
        if EDIT_ID.fullmatch(edit_id) is None:
            raise bad_request(
                "edit_id: expected 1 to 64 characters of A-Za-z0-9._-"
            )
        return edit_id

    def get_query_integer(self, key: str) -> int | None:
        """Return an integer from the query, or None if it is missing.

        :param key: the parameter
        :raises MulberrywayError: if the value is not an integer
        """
        text = self.query.get(key)
        if text is None:
            return None
        if not text.isdecimal() or len(text) > MAX_DIGITS:
            raise bad_request(f"{key}: expected a non-negative integer")
        return int(text)


def parse_request(
    environ: Environ, operator: str, parts: tuple[str, ...]
) -> OperatorRequest:
    """Parse the query and the body of a request.

    :param environ: the WSGI environment of the request
    :param operator: the operator's name
    :param parts: the arguments from the path
    :raises MulberrywayError: if the body is malformed
    """
    query = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
    return OperatorRequest(operator, _read_body(environ), parts, dict(query))


def bad_request(message: str) -> errors.MulberrywayError:
    """Return the error for a malformed request.

    :param message: what was expected
    """
    return errors.MulberrywayError(
        errors.Fault(
            errors.Code.BAD_REQUEST, errors.Step.ADMIN, message=message
        )
    )


def _read_body(environ: Environ) -> dict[str, typing.Any]:
    if environ.get("HTTP_TRANSFER_ENCODING"):
        # A proxy may give precedence to the other of the two lengths, which
        # allows request smuggling.
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

"""The administration API: HTTP and JSON over an Administration."""

import collections.abc
import hashlib
import hmac
import http
import json
import logging
import re
import secrets
import typing
import urllib.parse

import expression

from mulberryway import errors
from mulberryway import replies
from mulberryway.admin import administration
from mulberryway.admin import messages

__all__ = ["AdminApi", "Call", "Operators"]

LOG = logging.getLogger(__name__)

BEARER = "Bearer "
JSON_TYPE = "application/json"
MOST_BODY_BYTES = 8 << 20
EDIT_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
EDIT_ID_BYTES = 12
MOST_WAIT_MS = 60_000

Environ = dict[str, typing.Any]
Result = expression.Result[messages.Answer, errors.Fault]


class Operators:
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


class Call:
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
            raise _bad_request(f"{key}: expected a text")
        return value

    def read_optional_text(self, key: str) -> str | None:
        """Return a text, or none if it was left out.

        :param key: its key in the body
        :raises MulberrywayError: if it is something else
        """
        return None if self.body.get(key) is None else self.read_text(key)

    def read_number(self, key: str) -> int:
        """Return a whole number that must be there.

        :param key: its key in the body
        :raises MulberrywayError: if it is something else
        """
        value = self.body.get(key)
        if type(value) is not int or value < 0:
            raise _bad_request(f"{key}: expected a whole number")
        return value

    def read_edit_id(self) -> str:
        """Return the edit's id; a new one if the operator sent none.

        :raises MulberrywayError: if it cannot be an id
        """
        if self.body.get("edit_id") is None:
            return secrets.token_hex(EDIT_ID_BYTES)
        edit_id = self.read_text("edit_id")
        if EDIT_ID.fullmatch(edit_id) is None:
            raise _bad_request("edit_id: expected 1 to 64 of A-Za-z0-9._-")
        return edit_id

    def read_query_number(self, key: str) -> int | None:
        """Return a whole number of the query, or none.

        :param key: the parameter
        :raises MulberrywayError: if it is something else
        """
        text = self.query.get(key)
        if text is None:
            return None
        if not text.isdecimal() or len(text) > 18:
            raise _bad_request(f"{key}: expected a whole number")
        return int(text)


Handler = collections.abc.Callable[[Call], Result]


class Operation:
    """One operation of the API.

    :param method: the HTTP method
    :param path: matches the whole path; its groups are the call's parts
    :param handle: carries it out
    """

    __slots__ = ("method", "path", "handle")

    def __init__(self, method: str, path: str, handle: Handler) -> None:
        self.method = method
        self.path = re.compile(path)
        self.handle = handle


class AdminApi:
    """Answers operators' calls; a WSGI application.

    :param admin: carries them out
    :param operators: who may call
    """

    def __init__(
        self, admin: administration.Administration, operators: Operators
    ) -> None:
        self._admin = admin
        self._operators = operators
        row = r"/v1/tables/([^/]+)/([^/]+)"
        keys = r"/v1/accounts/([^/]+)/keys"
        self._operations = (
            Operation("GET", r"/v1/tables", lambda call: admin.show()),
            Operation("PUT", r"/v1/tables", self._apply),
            Operation("POST", r"/v1/diff", self._diff),
            Operation("PUT", row, self._put_row),
            Operation("DELETE", row, self._delete_row),
            Operation("POST", keys, self._give_key),
            Operation("DELETE", keys + r"/([0-9a-f]+)", self._withdraw_key),
            Operation(
                "GET", r"/v1/history", lambda call: admin.read_history()
            ),
            Operation("GET", r"/v1/in_force", self._wait),
            Operation("GET", r"/v1/status", lambda call: admin.read_status()),
        )

    def __call__(
        self,
        environ: Environ,
        start_response: collections.abc.Callable[..., typing.Any],
    ) -> list[bytes]:
        """Answer one call.

        :param environ: the request, as WSGI describes it
        :param start_response: takes status and headers
        :returns: the body
        """
        try:
            result = self._answer(environ)
        except errors.MulberrywayError as error:
            result = expression.Error(error.fault)
        except Exception:
            LOG.exception("an operator's call failed")
            result = expression.Error(
                errors.Fault(
                    errors.Code.INTERNAL,
                    errors.Step.ADMIN,
                    run=errors.Run.MAY_HAVE_RUN,
                )
            )
        status, body = _encode(result)
        headers = [
            ("Content-Type", JSON_TYPE),
            ("Content-Length", str(len(body))),
            ("Cache-Control", "no-store"),
        ]
        start_response(f"{status} {http.HTTPStatus(status).phrase}", headers)
        return [body]

    def _answer(self, environ: Environ) -> Result:
        operator = self._operators.find(environ.get("HTTP_AUTHORIZATION", ""))
        if operator is None:
            LOG.warning(
                "a call without an operator's credential was refused: %s",
                environ.get("REMOTE_ADDR", ""),
            )
            return _refuse(
                errors.Code.UNAUTHENTICATED,
                "expected an operator's credential",
            )
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        matches = (
            (operation, operation.path.fullmatch(path))
            for operation in self._operations
            if operation.method == method
        )
        found = next((one for one in matches if one[1] is not None), None)
        if found is None:
            return _refuse(
                errors.Code.UNKNOWN_ROUTE, "there is no such operation"
            )
        operation, match = found
        query = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
        call = Call(operator, _read_body(environ), match.groups(), dict(query))
        return operation.handle(call)

    def _apply(self, call: Call) -> Result:
        return self._admin.apply(
            call.operator,
            call.read_text("text"),
            call.read_number("revision"),
            call.read_edit_id(),
        )

    def _diff(self, call: Call) -> Result:
        return self._admin.diff(call.read_text("text"))

    def _put_row(self, call: Call) -> Result:
        values = call.body.get("values")
        if not isinstance(values, dict):
            raise _bad_request("values: expected an object")
        return self._admin.put_row(
            call.operator,
            *call.parts,
            values,
            call.read_optional_text("digest"),
            call.read_edit_id(),
        )

    def _delete_row(self, call: Call) -> Result:
        return self._admin.delete_row(
            call.operator,
            *call.parts,
            call.read_optional_text("digest"),
            call.read_edit_id(),
        )

    def _give_key(self, call: Call) -> Result:
        return self._admin.give_key(
            call.operator, *call.parts, call.read_edit_id()
        )

    def _withdraw_key(self, call: Call) -> Result:
        return self._admin.withdraw_key(
            call.operator, *call.parts, call.read_edit_id()
        )

    def _wait(self, call: Call) -> Result:
        wait_ms = call.read_query_number("wait_ms") or 0
        return self._admin.wait(
            call.read_query_number("revision"), min(wait_ms, MOST_WAIT_MS)
        )


def _read_body(environ: Environ) -> dict[str, typing.Any]:
    if environ.get("HTTP_TRANSFER_ENCODING"):
        # Two lengths may be read differently by whoever stands between.
        raise _bad_request("expected a Content-Length")
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdecimal():
        raise _bad_request("expected a Content-Length")
    length = int(text)
    if length > MOST_BODY_BYTES:
        raise errors.MulberrywayError(
            errors.Fault(errors.Code.BODY_TOO_LARGE, errors.Step.ADMIN)
        )
    if length == 0:
        return {}
    try:
        body = json.loads(environ["wsgi.input"].read(length))
    except (ValueError, RecursionError) as error:
        raise _bad_request("expected JSON") from error
    if not isinstance(body, dict):
        raise _bad_request("expected a JSON object")
    return body


def _encode(result: Result) -> tuple[int, bytes]:
    if result.is_ok():
        return 200, json.dumps(result.ok.encode()).encode()
    fault = result.error
    return replies.STATUS[fault.code], replies.describe_fault(fault)


def _bad_request(message: str) -> errors.MulberrywayError:
    return errors.MulberrywayError(
        errors.Fault(
            errors.Code.BAD_REQUEST, errors.Step.ADMIN, message=message
        )
    )


def _refuse(code: errors.Code, message: str) -> Result:
    return expression.Error(
        errors.Fault(code, errors.Step.ADMIN, message=message)
    )

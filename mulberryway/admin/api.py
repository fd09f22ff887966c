"""The administration API: HTTP and JSON over an Administration."""

import collections.abc
import http
import json
import logging
import re
import typing

import expression

from mulberryway import errors
from mulberryway import replies
from mulberryway.admin import administration
from mulberryway.admin import calls
from mulberryway.admin import responses

__all__ = ["AdminApi"]

LOG = logging.getLogger(__name__)

JSON_TYPE = "application/json"
MAX_WAIT_MS = 60_000

Environ = dict[str, typing.Any]
Result = expression.Result[responses.Response, errors.Fault]


Handler = collections.abc.Callable[[calls.OperatorRequest], Result]


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
        self,
        admin: administration.Administration,
        operators: calls.OperatorAuthenticator,
    ) -> None:
        self._admin = admin
        self._operators = operators
        row = r"/v1/tables/([^/]+)/([^/]+)"
        keys = r"/v1/accounts/([^/]+)/keys"
        self._operations = (
            Operation("GET", r"/v1/tables", lambda call: admin.show()),
            Operation("PUT", r"/v1/tables", self._apply),
            Operation("POST", r"/v1/diff", self._diff),
            Operation("POST", r"/v1/restore", self._restore),
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
                    run=errors.ExecutionStatus.MAY_HAVE_RUN,
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
        call = calls.parse_request(environ, operator, match.groups())
        return operation.handle(call)

    def _apply(self, call: calls.OperatorRequest) -> Result:
        return self._admin.apply(
            call.operator,
            call.read_text("text"),
            call.get_integer("revision"),
            call.get_edit_id(),
        )

    def _diff(self, call: calls.OperatorRequest) -> Result:
        return self._admin.diff(call.read_text("text"))

    def _restore(self, call: calls.OperatorRequest) -> Result:
        return self._admin.restore(call.operator, call.get_edit_id())

    def _put_row(self, call: calls.OperatorRequest) -> Result:
        values = call.body.get("values")
        if not isinstance(values, dict):
            raise calls.bad_request("values: expected an object")
        return self._admin.put_row(
            call.operator,
            *call.parts,
            values,
            call.get_optional_string("digest"),
            call.get_edit_id(),
        )

    def _delete_row(self, call: calls.OperatorRequest) -> Result:
        return self._admin.delete_row(
            call.operator,
            *call.parts,
            call.get_optional_string("digest"),
            call.get_edit_id(),
        )

    def _give_key(self, call: calls.OperatorRequest) -> Result:
        return self._admin.issue_key(
            call.operator, *call.parts, call.get_edit_id()
        )

    def _withdraw_key(self, call: calls.OperatorRequest) -> Result:
        return self._admin.revoke_key(
            call.operator, *call.parts, call.get_edit_id()
        )

    def _wait(self, call: calls.OperatorRequest) -> Result:
        wait_ms = call.get_query_integer("wait_ms") or 0
        return self._admin.wait(
            call.get_query_integer("revision"), min(wait_ms, MAX_WAIT_MS)
        )


def _encode(result: Result) -> tuple[int, bytes]:
    if result.is_ok():
        return 200, json.dumps(result.ok.encode()).encode()
    fault = result.error
    return replies.STATUS[fault.code], replies.describe_fault(fault)


def _refuse(code: errors.Code, message: str) -> Result:
    return expression.Error(
        errors.Fault(code, errors.Step.ADMIN, message=message)
    )

"""The HTTP and JSON layer of the administration API."""

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
    """Maps a method and a path to a handler.

    :param method: the HTTP method
    :param path: a pattern for the whole path; its groups become the
        arguments of the operation
    :param handle: the handler
    """

    __slots__ = ("method", "path", "handle")

    def __init__(self, method: str, path: str, handle: Handler) -> None:
        self.method = method
        self.path = re.compile(path)
        self.handle = handle


class AdminApi:
    """Serves operators' requests as a WSGI application.

    :param admin: carries out the operations
    :param operators: authenticates the requests
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
            Operation("GET", r"/v1/tables", lambda request: admin.show()),
            Operation("PUT", r"/v1/tables", self._apply),
            Operation("POST", r"/v1/diff", self._diff),
            Operation("POST", r"/v1/restore", self._restore),
            Operation("PUT", row, self._put_row),
            Operation("DELETE", row, self._delete_row),
            Operation("POST", keys, self._issue_key),
            Operation("DELETE", keys + r"/([0-9a-f]+)", self._revoke_key),
            Operation(
                "GET", r"/v1/history", lambda request: admin.read_history()
            ),
            Operation("GET", r"/v1/in_force", self._wait),
            Operation(
                "GET", r"/v1/status", lambda request: admin.read_status()
            ),
        )

    def __call__(
        self,
        environ: Environ,
        start_response: collections.abc.Callable[..., typing.Any],
    ) -> list[bytes]:
        """Answer one request.

        :param environ: the WSGI environment of the request
        :param start_response: receives the status and the headers
        :returns: the response body
        """
        try:
            result = self._handle(environ)
        except errors.MulberrywayError as error:
            result = expression.Error(error.fault)
        except Exception:
            LOG.exception("an operator's request failed")
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

    def _handle(self, environ: Environ) -> Result:
        operator = self._operators.authenticate(
            environ.get("HTTP_AUTHORIZATION", "")
        )
        if operator is None:
            LOG.warning(
                "a request without an operator's credential was rejected: %s",
                environ.get("REMOTE_ADDR", ""),
            )
            return _reject(
                errors.Code.UNAUTHENTICATED,
                "expected an operator's credential",
            )
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        matches = (
            (operation, operation.path.fullmatch(path))
            for operation in self._operations
            if operation.method == method
        )
        matched = next((pair for pair in matches if pair[1] is not None), None)
        if matched is None:
            return _reject(
                errors.Code.UNKNOWN_ROUTE,
                "no operation has this method and path",
            )
        operation, match = matched
        request = calls.parse_request(environ, operator, match.groups())
        return operation.handle(request)

    def _apply(self, request: calls.OperatorRequest) -> Result:
        return self._admin.apply(
            request.operator,
            request.get_string("text"),
            request.get_integer("revision"),
            request.get_edit_id(),
        )

    def _diff(self, request: calls.OperatorRequest) -> Result:
        return self._admin.diff(request.get_string("text"))

    def _restore(self, request: calls.OperatorRequest) -> Result:
        return self._admin.restore(request.operator, request.get_edit_id())

    def _put_row(self, request: calls.OperatorRequest) -> Result:
        values = request.body.get("values")
        if not isinstance(values, dict):
            raise calls.bad_request("values: expected an object")
        return self._admin.put_row(
            request.operator,
            *request.parts,
            values,
            request.get_optional_string("digest"),
            request.get_edit_id(),
        )

    def _delete_row(self, request: calls.OperatorRequest) -> Result:
        return self._admin.delete_row(
            request.operator,
            *request.parts,
            request.get_optional_string("digest"),
            request.get_edit_id(),
        )

    def _issue_key(self, request: calls.OperatorRequest) -> Result:
        return self._admin.issue_key(
            request.operator, *request.parts, request.get_edit_id()
        )

    def _revoke_key(self, request: calls.OperatorRequest) -> Result:
        return self._admin.revoke_key(
            request.operator, *request.parts, request.get_edit_id()
        )

    def _wait(self, request: calls.OperatorRequest) -> Result:
        wait_ms = request.get_query_integer("wait_ms") or 0
        return self._admin.wait(
            request.get_query_integer("revision"), min(wait_ms, MAX_WAIT_MS)
        )


def _encode(result: Result) -> tuple[int, bytes]:
    if result.is_ok():
        return 200, json.dumps(result.ok.encode()).encode()
    fault = result.error
    return replies.STATUS[fault.code], replies.describe_fault(fault)


def _reject(code: errors.Code, message: str) -> Result:
    return expression.Error(
        errors.Fault(code, errors.Step.ADMIN, message=message)
    )

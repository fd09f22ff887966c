"""Faults as callers see them: HTTP status, headers and JSON body."""

import json

from mulberryway import errors

__all__ = ["Reply", "STATUS", "describe_fault", "reply_fault"]

JSON_TYPE = "application/json"
MS_IN_S = 1_000

STATUS = {
    errors.Code.BAD_REQUEST: 400,
    errors.Code.BODY_TOO_LARGE: 413,
    errors.Code.UNAUTHENTICATED: 401,
    errors.Code.FORBIDDEN: 403,
    errors.Code.UNKNOWN_ROUTE: 404,
    errors.Code.UNKNOWN_MODEL: 404,
    errors.Code.OVER_ALLOWANCE: 429,
    errors.Code.OVERLOADED: 503,
    errors.Code.DEADLINE_EXCEEDED: 504,
    errors.Code.QUARANTINED: 422,
    errors.Code.REQUEST_ID_REQUIRED: 400,
    errors.Code.REQUEST_ID_REUSED: 422,
    errors.Code.DUPLICATE: 409,
    errors.Code.CANCELLED: 499,
    errors.Code.STOPPING: 503,
    errors.Code.NO_CONFIGURATION: 503,
    errors.Code.NO_UPSTREAM: 503,
    errors.Code.UPSTREAM_UNREACHABLE: 502,
    errors.Code.UPSTREAM_TIMEOUT: 504,
    errors.Code.UPSTREAM_FAILED: 502,
    errors.Code.UPSTREAM_REFUSED: 503,
    errors.Code.PEER_UNREACHABLE: 503,
    errors.Code.PEER_REFUSED: 503,
    errors.Code.PLATFORM_UNAVAILABLE: 503,
    errors.Code.CONFLICT: 409,
    errors.Code.NOT_FOUND: 404,
    errors.Code.INVALID_TABLES: 422,
    errors.Code.INTERNAL: 500,
}


class Reply:
    """A whole answer for a caller.

    :param status: the HTTP status
    :param headers: header pairs; length and connection are added later
    :param body: the whole body
    :param close: whether the connection must not be used again
    """

    __slots__ = ("status", "headers", "body", "close")

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        close: bool = False,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.close = close


def describe_fault(fault: errors.Fault) -> bytes:
    """Return a fault as the JSON that callers get.

    :param fault: the fault
    :returns: the encoded object ``{"error": ...}``
    """
    return json.dumps(
        {
            "error": {
                "code": fault.code.value,
                "message": fault.message,
                "step": fault.step.value,
                "peer": fault.peer,
                "run": fault.run.value,
                "retry_after_ms": fault.retry_after_ms,
            }
        }
    ).encode()


def reply_fault(fault: errors.Fault, close: bool = False) -> Reply:
    """Return a fault as a whole answer.

    :param fault: the fault
    :param close: whether the connection must not be used again
    :returns: the answer
    """
    headers = [("Content-Type", JSON_TYPE)]
    if fault.retry_after_ms is not None:
        seconds = -(-fault.retry_after_ms // MS_IN_S)
        headers.append(("Retry-After", str(seconds)))
    if fault.code is errors.Code.UNAUTHENTICATED:
        headers.append(("WWW-Authenticate", "Bearer"))
    return Reply(STATUS[fault.code], headers, describe_fault(fault), close)

"""Converts faults to the HTTP replies that callers receive."""

import json

from mulberryway import errors

__all__ = [
    "NATIVE_FORMAT",
    "Reply",
    "STATUS",
    "FaultFormat",
    "choose_status",
    "describe_fault",
    "make_fault_reply",
]

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
    errors.Code.HISTORY_GONE: 410,
    errors.Code.INVALID_TABLES: 422,
    errors.Code.INTERNAL: 500,
}


# These statuses mean that the request has not run and never will, so callers
# retry even non-idempotent requests.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MAY_HAVE_RUN_STATUS = 502
AMBIGUOUS_STATUSES = frozenset((502, 504))
NOT_RUN_STATUS = 503


class FaultFormat:
    """Describes how faults are reported to callers.

    :param has_fractional_retry_after: whether callers accept fractional
        seconds in ``Retry-After``, which RFC 9110 does not require
    :param statuses: statuses that override :data:`STATUS`
    :param is_retried_by_status: whether callers decide on a retry by the
        status alone; otherwise the body says whether the request has run
    """

    __slots__ = (
        "has_fractional_retry_after",
        "statuses",
        "is_retried_by_status",
    )

    def __init__(
        self,
        has_fractional_retry_after: bool = False,
        statuses: dict[errors.Code, int] | None = None,
        is_retried_by_status: bool = False,
    ) -> None:
        self.has_fractional_retry_after = has_fractional_retry_after
        self.is_retried_by_status = is_retried_by_status
        self.statuses = STATUS | (statuses or {})


NATIVE_FORMAT = FaultFormat()


class Reply:
    """A complete reply to a caller.

    :param status: the HTTP status
    :param headers: header pairs; length and connection headers are added
        later
    :param body: the complete body
    :param close: whether to close the connection afterwards
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


def choose_status(
    fault: errors.Fault, style: FaultFormat = NATIVE_FORMAT
) -> int:
    """Return the HTTP status that reports a fault.

    An upstream may reject the last of several attempts after an earlier one
    had begun.  With the status of the rejection, the caller would retry a
    request that may have run.

    Conversely, if callers go by the status alone, a fault of a request that
    has not run gets a status that allows a retry.

    :param fault: the fault
    :param style: how faults are reported
    :returns: the HTTP status
    """
    status = style.statuses[fault.code]
    if (
        fault.run is not errors.ExecutionStatus.NOT_RUN
        and status in NOT_RUN_STATUSES
    ):
        return MAY_HAVE_RUN_STATUS
    is_unrun = fault.run is errors.ExecutionStatus.NOT_RUN
    if (
        style.is_retried_by_status
        and is_unrun
        and status in AMBIGUOUS_STATUSES
    ):
        return NOT_RUN_STATUS
    return status


def describe_fault(fault: errors.Fault) -> bytes:
    """Return the JSON body that describes a fault.

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


def make_fault_reply(
    fault: errors.Fault,
    close: bool = False,
    style: FaultFormat = NATIVE_FORMAT,
) -> Reply:
    """Return the complete reply that reports a fault.

    If the upstream sent a reply itself, it is forwarded unchanged.

    :param fault: the fault
    :param close: whether to close the connection afterwards
    :param style: how faults are reported
    :returns: the reply
    """
    answer = fault.answer
    if answer is not None:
        return Reply(answer.status, answer.headers, answer.body, close)
    headers = [("Content-Type", JSON_TYPE)]
    if fault.retry_after_ms is not None:
        seconds = _format_seconds(
            fault.retry_after_ms, style.has_fractional_retry_after
        )
        headers.append(("Retry-After", seconds))
    if fault.code is errors.Code.UNAUTHENTICATED:
        headers.append(("WWW-Authenticate", "Bearer"))
    status = choose_status(fault, style)
    return Reply(status, headers, describe_fault(fault), close)


def _format_seconds(duration_ms: int, has_fractions: bool) -> str:
    if has_fractions:
        return f"{duration_ms / MS_IN_S:.3f}"
    return str(-(-duration_ms // MS_IN_S))

"""Builds upstream request headers and maps responses to faults."""

import http

from mulberryway import errors
from mulberryway.platform import wire
from mulberryway.upstreams import base
from mulberryway.upstreams import call_details
from mulberryway.upstreams import http_service

__all__ = [
    "is_encoded",
    "is_rejection",
    "is_signed",
    "make_encoded_fault",
    "make_unsigned_fault",
    "make_cordoned_fault",
    "make_request_headers",
    "make_response_fault",
]

REJECTION_STATUSES = (
    http.HTTPStatus.SERVICE_UNAVAILABLE,
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.BAD_REQUEST,
)


def make_request_headers(
    headers: list[tuple[str, str]], instance: str, left_ms: int
) -> dict[str, str]:
    """Return the headers of a request to an upstream.

    :param headers: name and value pairs of the caller's request
    :param instance: the id of the incarnation that may run the request
    :param left_ms: the time until the caller's deadline, in ms
    :returns: header values by name
    """
    forwarded = {
        name: value
        for name, value in http_service.strip_hop_by_hop_headers(headers)
        if name.lower() not in ("content-length", "deadline-ms", "expect")
    }
    forwarded[wire.DEADLINE] = str(left_ms)
    forwarded[wire.EXPECTED_INSTANCE] = instance
    return forwarded


def make_cordoned_fault(address: str, step: errors.Step) -> errors.Fault:
    """Return the fault for a call that is not sent to a cordoned upstream.

    :param address: the upstream's address
    :param step: the step of the request
    """
    return errors.Fault(
        errors.Code.UPSTREAM_UNREACHABLE,
        step,
        address,
        message="the upstream's zone is evacuated",
    )


def is_rejection(status: int, headers: list[tuple[str, str]]) -> bool:
    """Return whether a response says that the request was not executed.

    :param status: its HTTP status
    :param headers: name and value pairs of the response
    """
    return status == http.HTTPStatus.MISDIRECTED_REQUEST or (
        status in REJECTION_STATUSES
        and any(
            name.lower() == wire.NOT_EXECUTED.lower() for name, _ in headers
        )
    )


def is_signed(headers: list[tuple[str, str]]) -> bool:
    """Return whether a response has a server's signature.

    :param headers: name and value pairs of the response
    """
    return any(
        name.lower() == wire.SIGNATURE.lower() and value
        for name, value in headers
    )


def is_encoded(headers: list[tuple[str, str]]) -> bool:
    """Return whether a response's body is not the server's own.

    No content encoding is ever requested.

    :param headers: name and value pairs of the response
    """
    return any(name.lower() == "content-encoding" for name, _ in headers)


def make_unsigned_fault(
    address: str,
    step: errors.Step,
    details: call_details.CallDetails | None = None,
) -> errors.Fault:
    """Return the fault for a success that has no server's signature.

    :param address: the upstream's address
    :param step: the step of the request
    :param details: how the response arrived, if that is known
    """
    return _record_failure(
        address,
        step,
        "the response has no signature of its server",
        call_details.FailureReason.UNSIGNED,
        details,
    )


def make_encoded_fault(
    address: str,
    step: errors.Step,
    details: call_details.CallDetails | None = None,
) -> errors.Fault:
    """Return the fault for a response whose body is not the server's own.

    :param address: the upstream's address
    :param step: the step of the request
    :param details: how the response arrived, if that is known
    """
    return _record_failure(
        address,
        step,
        "the response has an unrequested content encoding",
        call_details.FailureReason.ENCODED,
        details,
    )


def _record_failure(
    address: str,
    step: errors.Step,
    message: str,
    reason: call_details.FailureReason,
    details: call_details.CallDetails | None,
) -> errors.Fault:
    fault = errors.Fault(
        errors.Code.UPSTREAM_FAILED,
        step,
        address,
        errors.ExecutionStatus.MAY_HAVE_RUN,
        message,
    )
    return call_details.FAILURES.record(fault, reason, details)


def make_response_fault(
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
    address: str,
    step: errors.Step,
) -> errors.Fault:
    """Return the fault for an unsuccessful upstream response.

    :param status: the HTTP status
    :param headers: name and value pairs of the response; empty if the
        response belongs to another request
    :param body: the response body
    :param address: the upstream's address
    :param step: the step of the request that failed
    :returns: the fault, with the response that may be forwarded to the caller
    """
    if is_rejection(status, headers):
        return errors.Fault(
            errors.Code.UPSTREAM_REFUSED,
            step,
            address,
            errors.ExecutionStatus.NOT_RUN,
            f"the upstream refused with status {status}",
        )
    if not headers:
        return errors.Fault(
            errors.Code.UPSTREAM_FAILED,
            step,
            address,
            errors.ExecutionStatus.MAY_HAVE_RUN,
            "response belongs to another request",
        )
    if is_encoded(headers):
        return make_encoded_fault(address, step)
    is_success = status < http.HTTPStatus.MULTIPLE_CHOICES
    if is_success and not is_signed(headers):
        return make_unsigned_fault(address, step)
    return errors.Fault(
        errors.Code.UPSTREAM_FAILED,
        step,
        address,
        errors.ExecutionStatus.RAN,
        f"the upstream responded with status {status}",
        answer=base.ServiceReply(
            status,
            http_service.strip_framing_headers(
                headers, wire.END_TO_END_HEADERS
            ),
            body,
        ),
    )

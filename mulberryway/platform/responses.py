"""What goes to an upstream with a request, and what its answers mean."""

import http

from mulberryway import errors
from mulberryway.platform import wire
from mulberryway.upstreams import base
from mulberryway.upstreams import http_service

__all__ = ["make_request_headers", "make_response_fault"]

REJECTION_STATUSES = (
    http.HTTPStatus.SERVICE_UNAVAILABLE,
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.BAD_REQUEST,
)


def make_request_headers(
    headers: list[tuple[str, str]], instance: str, left_ms: int
) -> dict[str, str]:
    """Return what goes to an upstream with a request.

    :param headers: pairs of the caller's request
    :param instance: the incarnation that may run it
    :param left_ms: how long the caller will still wait
    :returns: headers by name
    """
    passed = {
        name: value
        for name, value in http_service.strip_hop_by_hop_headers(headers)
        if name.lower() not in ("content-length", "deadline-ms", "expect")
    }
    passed[wire.DEADLINE] = str(left_ms)
    passed[wire.EXPECTED_INSTANCE] = instance
    return passed


def make_response_fault(
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
    address: str,
    step: errors.Step,
) -> errors.Fault:
    """Return what an upstream's answer other than a success means.

    :param status: the HTTP status
    :param headers: pairs of the answer; none if it is another request's
    :param body: the answer's body
    :param address: the upstream's address
    :param step: the hop
    :returns: the fault, with the answer that the caller may see
    """
    names = {name.lower() for name, _ in headers}
    is_refusal = status == http.HTTPStatus.MISDIRECTED_REQUEST or (
        status in REJECTION_STATUSES and wire.NOT_EXECUTED.lower() in names
    )
    if is_refusal:
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
            "the reply belongs to another request",
        )
    return errors.Fault(
        errors.Code.UPSTREAM_FAILED,
        step,
        address,
        errors.ExecutionStatus.RAN,
        f"the upstream answered with status {status}",
        answer=base.ServiceReply(
            status, http_service.strip_framing_headers(headers), body
        ),
    )

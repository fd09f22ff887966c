"""Plain services as the platform's upstreams speak."""

import http

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.platform import responses
from mulberryway.platform import wire
from mulberryway.upstreams import base
from mulberryway.upstreams import connections
from mulberryway.upstreams import http_service

__all__ = ["PlatformService"]

MIN_ERROR_STATUS = 300


class PlatformService(base.UpstreamService):
    """One server at one address.

    :param instance: the incarnation that is expected there
    :param address: ``host:port``
    :param clock_: where the time comes from
    """

    def __init__(
        self, instance: str, address: str, clock_: clock.Clock
    ) -> None:
        self.instance = instance
        self.address = address
        self._caller = connections.UpstreamClient(
            address, clock_, wire.ATTEMPT_ID
        )

    def call(
        self,
        request_id: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_ms: int,
        is_idempotent: bool = False,
        interrupt: connections.CallCanceller | None = None,
    ) -> expression.Result[base.ServiceReply, errors.Fault]:
        """Pass one call on, exactly once.

        :param request_id: not sent; the caller's own id goes on
        :param method: the HTTP method
        :param target: path and query
        :param headers: headers, credentials and hop-by-hop ones removed
        :param body: the whole body
        :param timeout_ms: the longest wait for the whole reply
        :param is_idempotent: whether it may run a second time
        :param interrupt: ends the call from another thread
        :returns: the reply, or a fault that says whether it ran
        """
        sent = responses.make_request_headers(
            headers, self.instance, timeout_ms
        )
        return self._caller.call(
            method,
            target,
            sent,
            body or None,
            timeout_ms,
            errors.Step.SERVICE,
            needs_new_connection=not is_idempotent,
            interrupt=interrupt,
        ).bind(self._read)

    def close(self) -> None:
        """Close the connections that are kept."""
        self._caller.close()

    def _read(
        self, found: connections.Response
    ) -> expression.Result[base.ServiceReply, errors.Fault]:
        names = {name.lower() for name, _ in found.headers}
        if "content-encoding" in names:
            # Nobody asked for an encoding, so this is not the server's body.
            return expression.Error(
                errors.Fault(
                    errors.Code.UPSTREAM_FAILED,
                    errors.Step.SERVICE,
                    self.address,
                    errors.ExecutionStatus.MAY_HAVE_RUN,
                    "the reply has an encoding that nobody asked for",
                )
            )
        is_failure = found.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        is_refusal = wire.NOT_EXECUTED.lower() in names or (
            found.status == http.HTTPStatus.MISDIRECTED_REQUEST
        )
        if is_failure or is_refusal:
            return expression.Error(
                responses.make_response_fault(
                    found.status,
                    found.headers,
                    found.body,
                    self.address,
                    errors.Step.SERVICE,
                )
            )
        return expression.Ok(
            base.ServiceReply(
                found.status,
                http_service.strip_framing_headers(found.headers),
                found.body,
            )
        )

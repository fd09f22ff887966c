"""The client for plain services that use the platform's protocol."""

import http

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.platform import advisories
from mulberryway.platform import responses
from mulberryway.platform import wire
from mulberryway.upstreams import base
from mulberryway.upstreams import connections
from mulberryway.upstreams import dialing
from mulberryway.upstreams import http_service

__all__ = ["PlatformService"]


class PlatformService(base.UpstreamService):
    """A plain service at one address.

    :param instance: the id of the incarnation expected at the address
    :param address: ``host:port``
    :param clock_: the clock
    :param dialer: opens the connections
    :param listener: called with what each response says of the server
    """

    def __init__(
        self,
        instance: str,
        address: str,
        clock_: clock.Clock,
        dialer: dialing.Dialer = dialing.DIRECT,
        listener: advisories.Listener = advisories.ignore,
    ) -> None:
        self._clock = clock_
        self._reader = advisories.AdvisoryReader(instance, listener, clock_)
        self.instance = instance
        self.address = address
        # See :class:`tables.Upstream`.
        self.is_cordoned = False
        self._client = connections.UpstreamClient(
            address, clock_, wire.ATTEMPT_ID, dialer
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
        canceller: connections.CallCanceller | None = None,
    ) -> expression.Result[base.ServiceReply, errors.Fault]:
        """Forward one request, without retries.

        :param request_id: not sent; the caller's own id is forwarded
        :param method: the HTTP method
        :param target: path and query
        :param headers: the request headers, without credentials and
            hop-by-hop headers
        :param body: the complete body
        :param timeout_ms: the maximum wait for the complete response, in ms
        :param is_idempotent: whether the request may run more than once
        :param canceller: cancels the call from another thread
        :returns: the response, or a fault with the execution status
        """
        if self.is_cordoned:
            return expression.Error(
                responses.make_cordoned_fault(
                    self.address, errors.Step.SERVICE
                )
            )
        extension_ms = canceller.extension_ms if canceller else 0
        sent = responses.make_request_headers(
            headers, self.instance, timeout_ms + extension_ms
        )
        sent_ms = self._clock.now_ms()
        result = self._client.call(
            method,
            target,
            sent,
            body or None,
            timeout_ms,
            errors.Step.SERVICE,
            needs_new_connection=not is_idempotent,
            canceller=canceller,
            is_rejection=responses.is_rejection,
        )
        if result.is_ok():
            self._reader.read(result.ok.status, result.ok.headers, sent_ms)
        return result.bind(self._parse_response)

    def close(self) -> None:
        """Close the pooled connections."""
        self._client.close()

    def _parse_response(
        self, response: connections.Response
    ) -> expression.Result[base.ServiceReply, errors.Fault]:
        names = {name.lower() for name, _ in response.headers}
        if responses.is_encoded(response.headers):
            return expression.Error(
                responses.make_encoded_fault(
                    self.address, errors.Step.SERVICE, response.details
                )
            )
        is_failure = response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        is_rejection = wire.NOT_EXECUTED.lower() in names or (
            response.status == http.HTTPStatus.MISDIRECTED_REQUEST
        )
        if is_failure or is_rejection:
            return expression.Error(
                responses.make_response_fault(
                    response.status,
                    response.headers,
                    response.body,
                    self.address,
                    errors.Step.SERVICE,
                )
            )
        is_success = response.status < http.HTTPStatus.MULTIPLE_CHOICES
        if is_success and not responses.is_signed(response.headers):
            return expression.Error(
                responses.make_unsigned_fault(
                    self.address, errors.Step.SERVICE, response.details
                )
            )
        return expression.Ok(
            base.ServiceReply(
                response.status,
                http_service.strip_framing_headers(
                    response.headers, wire.END_TO_END_HEADERS
                ),
                response.body,
                response.details.make_fields(),
            )
        )

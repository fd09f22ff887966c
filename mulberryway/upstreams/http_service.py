"""HTTP client of one server of a plain service."""

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.upstreams import base
from mulberryway.upstreams import connections
from mulberryway.upstreams import dialing

__all__ = ["HttpService", "strip_framing_headers", "strip_hop_by_hop_headers"]

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
ROUTER_HEADERS = frozenset(
    ("content-length", "host", "x-request-id", "expect")
)


def strip_hop_by_hop_headers(
    headers: list[tuple[str, str]],
    end_to_end: frozenset[str] = frozenset(),
) -> list[tuple[str, str]]:
    """Remove the headers that apply to a single connection.

    :param headers: header pairs
    :param end_to_end: names in lower case of headers that stay although a
        sender says that they apply to its connection
    :returns: the pairs that may be forwarded to the next hop
    """
    connection_options = {
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    } - end_to_end
    dropped = HOP_BY_HOP_HEADERS | connection_options
    return [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]


def strip_framing_headers(
    headers: list[tuple[str, str]],
    end_to_end: frozenset[str] = frozenset(),
) -> list[tuple[str, str]]:
    """Remove a reply's hop-by-hop headers and its Content-Length.

    The reply is written again for the caller with headers of its own.

    :param headers: header pairs
    :param end_to_end: see :func:`strip_hop_by_hop_headers`
    :returns: the pairs to forward to the caller
    """
    return [
        (name, value)
        for name, value in strip_hop_by_hop_headers(headers, end_to_end)
        if name.lower() != "content-length"
    ]


class HttpService(base.UpstreamService):
    """One server at one address.

    :param address: ``host:port``
    :param credential: the pool's own credential; empty for none
    :param clock_: the clock
    :param dialer: opens the connections
    """

    def __init__(
        self,
        address: str,
        credential: str,
        clock_: clock.Clock,
        dialer: dialing.Dialer = dialing.DIRECT,
    ) -> None:
        self.address = address
        self._credential = credential
        self._client = connections.UpstreamClient(
            address, clock_, dialer=dialer
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
        """Forward one call without retries.

        :param request_id: the id that the reply must echo
        :param method: the HTTP method
        :param target: path and query without credentials
        :param headers: headers without credentials and hop-by-hop headers
        :param body: the complete body
        :param timeout_ms: timeout of the complete reply, in ms
        :param is_idempotent: whether the call may be executed again
        :param canceller: cancels the call from another thread
        :returns: the reply, or a fault with the execution status
        """
        sent = {
            name: value
            for name, value in headers
            if name.lower() not in ROUTER_HEADERS
        }
        sent[connections.REQUEST_ID_HEADER] = request_id
        if self._credential:
            sent["Authorization"] = f"Bearer {self._credential}"
        # The default User-Agent would name the HTTP library.
        sent.setdefault("User-Agent", "mulberryway")
        return self._client.call(
            method,
            target,
            sent,
            body or None,
            timeout_ms,
            errors.Step.SERVICE,
            canceller=canceller,
        ).map(_make_reply)

    def close(self) -> None:
        """Close the pooled connections."""
        self._client.close()


def _make_reply(response: connections.Response) -> base.ServiceReply:
    headers = [
        (name, value)
        for name, value in strip_hop_by_hop_headers(response.headers)
        if name.lower() not in ROUTER_HEADERS
    ]
    return base.ServiceReply(
        response.status, headers, response.body, response.details.make_fields()
    )

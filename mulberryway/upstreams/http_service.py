"""One server of a plain service over HTTP."""

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.upstreams import base
from mulberryway.upstreams import connections

__all__ = ["HttpService", "strip_framing_headers", "strip_hop_by_hop_headers"]

# Headers that speak of one connection only (RFC 9110, 7.6.1).
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
) -> list[tuple[str, str]]:
    """Return headers without those that speak of one connection only.

    :param headers: pairs
    :returns: what may go on to the next hop
    """
    named = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS | named
    ]


def strip_framing_headers(
    headers: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return a reply's headers without those that tell its body's length.

    The reply is written anew for the caller, and gets its own.

    :param headers: pairs
    :returns: what goes to the caller
    """
    return [
        (name, value)
        for name, value in strip_hop_by_hop_headers(headers)
        if name.lower() != "content-length"
    ]


class HttpService(base.UpstreamService):
    """One server at one address.

    :param address: ``host:port``
    :param credential: the pool's own credential; empty for none
    :param clock_: where the time comes from
    """

    def __init__(
        self, address: str, credential: str, clock_: clock.Clock
    ) -> None:
        self.address = address
        self._credential = credential
        self._caller = connections.UpstreamClient(address, clock_)

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

        :param request_id: the id that the reply must echo
        :param method: the HTTP method
        :param target: path and query, credentials removed
        :param headers: headers, credentials and hop-by-hop ones removed
        :param body: the whole body
        :param timeout_ms: the longest wait for the whole reply
        :param is_idempotent: whether it may run a second time
        :param interrupt: ends the call from another thread
        :returns: the reply, or a fault that says whether it ran
        """
        sent = {
            name: value
            for name, value in headers
            if name.lower() not in ROUTER_HEADERS
        }
        sent[connections.REQUEST_ID_HEADER] = request_id
        if self._credential:
            sent["Authorization"] = f"Bearer {self._credential}"
        # The default would name the library to the service.
        sent.setdefault("User-Agent", "mulberryway")
        return self._caller.call(
            method,
            target,
            sent,
            body or None,
            timeout_ms,
            errors.Step.SERVICE,
            interrupt=interrupt,
        ).map(_make_reply)

    def close(self) -> None:
        """Close the connections that are kept."""
        self._caller.close()


def _make_reply(response: connections.Response) -> base.ServiceReply:
    headers = [
        (name, value)
        for name, value in strip_hop_by_hop_headers(response.headers)
        if name.lower() not in ROUTER_HEADERS
    ]
    return base.ServiceReply(response.status, headers, response.body)

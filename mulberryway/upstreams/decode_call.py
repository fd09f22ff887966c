"""Begins a decode and takes its socket for the relay."""

import collections.abc
import http.client
import socket

import expression

from mulberryway import errors
from mulberryway.upstreams import base
from mulberryway.upstreams import connections

__all__ = ["DecodeRequest", "begin_decode", "read_refusal"]

MS_IN_S = 1_000
MOST_ERROR_BYTES = 65_536


class DecodeRequest:
    """What is sent to begin a decode.

    :param method: the HTTP method
    :param target: path and query
    :param headers: what to send
    :param body: the whole body
    :param echo_header: the header whose value the engine sends back
    """

    __slots__ = ("method", "target", "headers", "body", "echo_header")

    def __init__(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        echo_header: str = connections.REQUEST_ID,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.echo_header = echo_header


class _Connection(http.client.HTTPConnection):
    """A connection that tells whether it was ever made."""

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        super().__init__(host, port, timeout=timeout_s)
        self.is_made = False

    def connect(self) -> None:
        super().connect()
        self.is_made = True


# Turns a reply whose status is not 200 into a fault: gets the status, the
# headers, the body and the engine's address.
RefusalReader = collections.abc.Callable[
    [int, list[tuple[str, str]], bytes, str], errors.Fault
]


def begin_decode(
    address: str,
    request: DecodeRequest,
    timeout_ms: int,
    read_refusal: RefusalReader,
    interrupt: connections.Interrupt | None = None,
) -> expression.Result[base.TokenStream, errors.Fault]:
    """Send a decode call and return its stream once the head has come.

    ``http.client`` is used directly: its connection gives up its socket
    together with the bytes that were read along with the head, which the
    event loop needs.  A pool is of no use here, since a decode's connection
    carries one answer and is closed; so no later answer can get mixed up
    with the rest of an abandoned one.

    :param address: the engine's ``host:port``
    :param request: what to send
    :param timeout_ms: the longest wait for the reply's head
    :param read_refusal: tells what another status than 200 means
    :param interrupt: ends the call from another thread
    :returns: the stream, or a fault that says whether it ran
    """
    host, _, port = address.rpartition(":")
    connection = _Connection(host, int(port), timeout_ms / MS_IN_S)
    try:
        return _exchange(connection, address, request, read_refusal, interrupt)
    except (OSError, http.client.HTTPException) as failure:
        connection.close()
        cause = failure if connection.is_made else ConnectionRefusedError()
        fault = connections.sort_failure(cause, errors.Step.DECODE, address)
        fault.has_died = fault.has_died and not connections.listens(address)
        return expression.Error(fault)
    finally:
        if interrupt is not None:
            interrupt.detach()


def _exchange(
    connection: _Connection,
    address: str,
    request: DecodeRequest,
    read_refusal: RefusalReader,
    interrupt: connections.Interrupt | None,
) -> expression.Result[base.TokenStream, errors.Fault]:
    connection.connect()
    raw = connection.sock
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if interrupt is not None:
        interrupt.attach(raw)
    connection.request(
        request.method, request.target, request.body, request.headers
    )
    response = connection.getresponse()
    echoed = response.getheader(request.echo_header, "")
    is_own = echoed == request.headers[request.echo_header]
    if response.status != http.client.OK:
        body = response.read(MOST_ERROR_BYTES)
        connection.close()
        headers = response.getheaders() if is_own else []
        return expression.Error(
            read_refusal(response.status, headers, body, address)
        )
    if not is_own:
        response.close()
        connection.close()
        return expression.Error(
            errors.Fault(
                errors.Code.UPSTREAM_FAILED,
                errors.Step.DECODE,
                address,
                errors.Run.MAY_HAVE_RUN,
                "the reply belongs to another request",
            )
        )
    return expression.Ok(_take_socket(raw, response, echoed))


def _take_socket(
    raw: socket.socket, response: http.client.HTTPResponse, echoed: str
) -> base.TokenStream:
    # Without blocking, a look into the buffer returns what is there and
    # waits for nothing more.
    raw.setblocking(False)
    buffered = bytes(response.fp.peek())
    chunked = bool(response.chunked)
    length = response.length
    # The library's file object keeps a reference that would hold the
    # descriptor open; only the descriptor itself is taken along.
    taken = socket.socket(fileno=raw.detach())
    headers = response.getheaders()
    response.close()
    return base.TokenStream(taken, buffered, chunked, echoed, length, headers)


def read_refusal(
    status: int, headers: list[tuple[str, str]], body: bytes, address: str
) -> errors.Fault:
    """Return what a decode engine's status means.

    :param status: the HTTP status
    :param headers: pairs of the reply
    :param body: the reply's body
    :param address: the engine's address
    :returns: the fault
    """
    if status == http.client.GONE:
        return errors.Fault(
            errors.Code.UPSTREAM_REFUSED,
            errors.Step.TRANSFER,
            address,
            errors.Run.NOT_RUN,
            "the prefill's result has expired",
        )
    if status in (
        http.client.TOO_MANY_REQUESTS,
        http.client.SERVICE_UNAVAILABLE,
    ):
        return errors.Fault(
            errors.Code.UPSTREAM_REFUSED,
            errors.Step.DECODE,
            address,
            errors.Run.NOT_RUN,
            f"the engine refused with status {status}",
        )
    return errors.Fault(
        errors.Code.UPSTREAM_FAILED,
        errors.Step.DECODE,
        address,
        errors.Run.MAY_HAVE_RUN,
        f"the engine answered with status {status}",
    )

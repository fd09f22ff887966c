"""Begins a decode and takes its socket for the relay."""

import collections.abc
import http.client
import logging
import socket
import time

import expression

from mulberryway import errors
from mulberryway.upstreams import base
from mulberryway.upstreams import connections

__all__ = [
    "DecodeConnection",
    "DecodeRequest",
    "begin_decode",
    "connect",
    "parse_rejection",
]

LOG = logging.getLogger(__name__)

MS_IN_S = 1_000
MAX_ERROR_BYTES = 65_536
# Within a region a connection takes a few milliseconds, so after so long the
# engine is not there, or its link is cut.
CONNECT_TIMEOUT_MS = 300
# An upstream may drop an idle connection, and resets what comes next on it;
# then nobody knows whether it ran.  A younger one is still there.
MAX_UNUSED_AGE_MS = 500


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
        echo_header: str = connections.REQUEST_ID_HEADER,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.echo_header = echo_header


class DecodeConnection(http.client.HTTPConnection):
    """A connection that carries one decode.

    :param address: the engine's ``host:port``
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(host, int(port), timeout=CONNECT_TIMEOUT_MS / MS_IN_S)
        self.connected_s = 0.0

    def connect(self) -> None:
        """Make the connection, within the time that this may take."""
        super().connect()
        self.connected_s = time.monotonic()

    def is_fresh(self) -> bool:
        """Tell whether the engine has surely not dropped it as idle."""
        return (
            time.monotonic() - self.connected_s < MAX_UNUSED_AGE_MS / MS_IN_S
        )

    def is_closed(self) -> bool:
        """Tell whether the engine has closed it, or sent what nobody asked.

        Nothing was sent yet, so a decode that finds it closed has not run.
        """
        self.sock.setblocking(False)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError as failure:
            LOG.debug("%s closed a connection: %r", self.host, failure)
        finally:
            self.sock.settimeout(self.timeout)
        return True


# Turns a reply whose status is not 200 into a fault: gets the status, the
# headers, the body and the engine's address.
RejectionParser = collections.abc.Callable[
    [int, list[tuple[str, str]], bytes, str], errors.Fault
]


def connect(
    address: str,
) -> expression.Result[DecodeConnection, errors.Fault]:
    """Make a connection for a decode that comes soon.

    :param address: the engine's ``host:port``
    :returns: the connection, or a fault: nothing was sent
    """
    connection = DecodeConnection(address)
    try:
        connection.connect()
    except OSError as failure:
        connection.close()
        LOG.debug("no connection to %s: %r", address, failure)
        return expression.Error(
            connections.classify_failure(
                ConnectionRefusedError(), errors.Step.DECODE, address
            )
        )
    return expression.Ok(connection)


def begin_decode(
    address: str,
    request: DecodeRequest,
    timeout_ms: int,
    read_refusal: RejectionParser,
    interrupt: connections.CallCanceller | None = None,
    prepared_connection: DecodeConnection | None = None,
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
    :param prepared_connection: a connection that was made before; a new one if
        it is not fresh any more, or if none is given.  An engine that has
        closed a fresh one counts as not reached.
    :returns: the stream, or a fault that says whether it ran
    """
    if prepared_connection is None or not prepared_connection.is_fresh():
        if prepared_connection is not None:
            prepared_connection.close()
        connected = connect(address)
        if connected.is_error():
            return expression.Error(connected.error)
        prepared_connection = connected.ok
    elif prepared_connection.is_closed():
        prepared_connection.close()
        return expression.Error(
            connections.classify_failure(
                ConnectionResetError(), errors.Step.DECODE, address, False
            )
        )
    prepared_connection.sock.settimeout(timeout_ms / MS_IN_S)
    try:
        return _exchange(
            prepared_connection, address, request, read_refusal, interrupt
        )
    except (OSError, http.client.HTTPException) as failure:
        prepared_connection.close()
        fault = connections.classify_failure(
            failure, errors.Step.DECODE, address
        )
        fault.has_died = (
            fault.has_died
            and not connections.is_accepting_connections(address)
        )
        return expression.Error(fault)
    finally:
        if interrupt is not None:
            interrupt.detach()


def _exchange(
    connection: DecodeConnection,
    address: str,
    request: DecodeRequest,
    read_refusal: RejectionParser,
    interrupt: connections.CallCanceller | None,
) -> expression.Result[base.TokenStream, errors.Fault]:
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
        body = response.read(MAX_ERROR_BYTES)
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
                errors.ExecutionStatus.MAY_HAVE_RUN,
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


def parse_rejection(
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
            errors.ExecutionStatus.NOT_RUN,
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
            errors.ExecutionStatus.NOT_RUN,
            f"the engine refused with status {status}",
        )
    return errors.Fault(
        errors.Code.UPSTREAM_FAILED,
        errors.Step.DECODE,
        address,
        errors.ExecutionStatus.MAY_HAVE_RUN,
        f"the engine answered with status {status}",
    )

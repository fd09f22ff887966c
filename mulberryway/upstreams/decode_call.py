"""Starts a decode and detaches its socket for the relay."""

import collections.abc
import http.client
import logging
import socket
import time

import expression

from mulberryway import addresses
from mulberryway import errors
from mulberryway import response_heads
from mulberryway.upstreams import base
from mulberryway.upstreams import bounded_socket
from mulberryway.upstreams import call_details
from mulberryway.upstreams import connections
from mulberryway.upstreams import dialing

__all__ = [
    "DecodeConnection",
    "DecodeRequest",
    "await_body",
    "begin_decode",
    "connect",
    "parse_rejection",
]

LOG = logging.getLogger(__name__)

MS_IN_S = 1_000
MAX_ERROR_BYTES = 65_536
ERROR_BODY_TIMEOUT_MS = 200
# Connecting takes a few milliseconds within a region.  After this time the
# engine is down, or the network is partitioned.
CONNECT_TIMEOUT_MS = 300
# An upstream may close an idle connection and reset it when the next request
# arrives; then it is unknown whether the request was executed.  A connection
# younger than this has not been closed as idle.
MAX_UNUSED_AGE_MS = 500


class DecodeRequest:
    """The HTTP request that starts a decode.

    :param method: the HTTP method
    :param target: path and query
    :param headers: headers to send
    :param body: the complete body
    :param echo_header: the header whose value the engine echoes
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
    :param dialer: opens the connection
    """

    response_class = response_heads.StrictResponse

    def __init__(
        self, address: str, dialer: dialing.Dialer = dialing.DIRECT
    ) -> None:
        host, port = addresses.split(address)
        super().__init__(host, port, timeout=CONNECT_TIMEOUT_MS / MS_IN_S)
        self.connected_s = 0.0
        # It stays known when the response takes over the socket.
        self._bounded: bounded_socket.BoundedSocket | None = None
        self._address = address
        self._dialer = dialer
        self._epoch = 0

    def connect(self) -> None:
        """Connect within ``CONNECT_TIMEOUT_MS``."""
        self.sock = self._bounded = bounded_socket.BoundedSocket(
            self._dialer.connect(self._address, CONNECT_TIMEOUT_MS),
            connections.RECEIVE_BUDGET,
        )
        self.connected_s = time.monotonic()
        self._epoch = self._dialer.get_epoch(self._address)

    def begin_response(self, deadline_s: float) -> None:
        """Bound the response to the request that is sent next.

        :param deadline_s: when its head must be complete, by
            ``time.monotonic``
        """
        if self._bounded is not None:
            self._bounded.begin_response(deadline_s)

    def end_response(self) -> None:
        """Remove the bounds of a response."""
        if self._bounded is not None:
            self._bounded.end_response()

    @property
    def received(self) -> int:
        """The number of bytes of the response so far."""
        return 0 if self._bounded is None else self._bounded.received

    def is_reusable(self) -> bool:
        """Return whether neither the engine nor the path has ended it."""
        age_s = time.monotonic() - self.connected_s
        return (
            age_s < MAX_UNUSED_AGE_MS / MS_IN_S
            and self._epoch == self._dialer.get_epoch(self._address)
        )

    def is_closed_by_peer(self) -> bool:
        """Return whether the engine closed it or sent unexpected bytes.

        No request was sent yet, so a decode that finds it closed was not
        executed.
        """
        self.sock.setblocking(False)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError as failure:
            LOG.debug("%s closed an unused connection: %r", self.host, failure)
        finally:
            self.sock.settimeout(self.timeout)
        return True


# Maps a response whose status is not 200 to a fault.  The arguments are the
# status, the headers, the body and the engine's address.
RejectionParser = collections.abc.Callable[
    [int, list[tuple[str, str]], bytes, str], errors.Fault
]


def connect(
    address: str, dialer: dialing.Dialer = dialing.DIRECT
) -> expression.Result[DecodeConnection, errors.Fault]:
    """Open a connection for a later decode.

    :param address: the engine's ``host:port``
    :param dialer: opens the connection
    :returns: the connection, or a fault, in which case nothing was sent
    """
    connection = DecodeConnection(address, dialer)
    try:
        connection.connect()
    except OSError as failure:
        connection.close()
        LOG.debug("connecting to %s failed: %r", address, failure)
        return expression.Error(_make_unreachable_fault(failure, address))
    return expression.Ok(connection)


def _make_unreachable_fault(failure: OSError, address: str) -> errors.Fault:
    return call_details.FAILURES.record(
        connections.classify_failure(
            failure, errors.Step.DECODE, address, was_sent=False
        ),
        call_details.FailureReason.UNREACHABLE,
    )


def begin_decode(
    address: str,
    request: DecodeRequest,
    timeout_ms: int,
    rejection_parser: RejectionParser,
    canceller: connections.CallCanceller | None = None,
    prepared_connection: DecodeConnection | None = None,
    dialer: dialing.Dialer = dialing.DIRECT,
) -> expression.Result[base.TokenStream, errors.Fault]:
    """Send a decode request and return its stream after the response head.

    ``http.client`` is used directly because its socket can be detached
    together with the bytes that were read with the head, which the event loop
    needs.  A pool has no benefit, because the connection carries one response
    and is then closed.  So a response cannot be mixed up with the rest of an
    aborted one.

    :param address: the engine's ``host:port``
    :param request: the request to send
    :param timeout_ms: timeout of the response head, in ms
    :param rejection_parser: maps a response with another status than 200 to a
        fault
    :param canceller: cancels the call from another thread
    :param prepared_connection: a connection that was opened in advance; a new
        one is opened if it is too old or none is given.  If the engine has
        closed a recent one, the engine counts as unreachable.
    :param dialer: opens the connection
    :returns: the stream, or a fault with the execution status
    """
    if prepared_connection is None or not prepared_connection.is_reusable():
        if prepared_connection is not None:
            prepared_connection.close()
        connected = connect(address, dialer)
        if connected.is_error():
            return expression.Error(connected.error)
        prepared_connection = connected.ok
    elif prepared_connection.is_closed_by_peer():
        prepared_connection.close()
        return expression.Error(
            _make_unreachable_fault(ConnectionResetError(), address)
        )
    prepared_connection.sock.settimeout(timeout_ms / MS_IN_S)
    details = call_details.CallDetails()
    try:
        return _exchange(
            prepared_connection,
            address,
            request,
            timeout_ms,
            rejection_parser,
            canceller,
            details,
        )
    except (OSError, http.client.HTTPException) as failure:
        details.received = prepared_connection.received
        prepared_connection.close()
        fault = call_details.FAILURES.record(
            connections.classify_failure(failure, errors.Step.DECODE, address),
            call_details.find_reason(failure),
            details,
        )
        connections.check_path(fault, address, dialer)
        return expression.Error(fault)
    except BaseException:
        prepared_connection.close()
        raise
    finally:
        prepared_connection.end_response()
        if canceller is not None:
            canceller.detach()


def await_body(
    source: base.TokenStream,
    address: str,
    timeout_ms: int,
    dialer: dialing.Dialer = dialing.DIRECT,
) -> expression.Result[base.TokenStream, errors.Fault]:
    """Wait until a response's body has begun, and leave it unread.

    :param source: the engine's stream, as returned by ``begin_decode``
    :param address: the engine's ``host:port``
    :param timeout_ms: timeout in ms; the stream is returned after it too
    :param dialer: opens connections to the engine
    :returns: the same stream, or a fault if the engine has closed it before
        a body that its head announced, or has reset it; the socket is closed
        then
    """
    if source.buffered:
        return expression.Ok(source)
    sock = source.connection
    try:
        has_body = _has_body(sock, timeout_ms)
    except OSError as failure:
        if _is_wait_over(failure):
            return expression.Ok(source)
        # The kernel reports a reset once; the relay would read an ordinary
        # end.
        return _abandon(
            sock, address, dialer, failure, call_details.find_reason(failure)
        )
    # Without chunks and length, the end of the connection is a body's end.
    if has_body or not (source.is_chunked or source.length):
        return expression.Ok(source)
    return _abandon(
        sock,
        address,
        dialer,
        ConnectionResetError(),
        call_details.FailureReason.INCOMPLETE_BODY,
    )


def _has_body(sock: socket.socket, timeout_ms: int) -> bool:
    """Wait for the first byte, or the end, of a connection."""
    sock.settimeout(timeout_ms / MS_IN_S)
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    finally:
        sock.setblocking(False)


def _is_wait_over(failure: OSError) -> bool:
    """Return whether nothing has arrived; the kernel's timeout has a number.

    The latter has ended the connection, and is reported once.
    """
    return isinstance(failure, BlockingIOError) or (
        isinstance(failure, TimeoutError) and failure.errno is None
    )


def _abandon(
    sock: socket.socket,
    address: str,
    dialer: dialing.Dialer,
    failure: OSError,
    reason: call_details.FailureReason,
) -> expression.Result[base.TokenStream, errors.Fault]:
    """Close a stream that has failed before its body."""
    sock.close()
    fault = call_details.FAILURES.record(
        connections.classify_failure(failure, errors.Step.DECODE, address),
        reason,
    )
    connections.check_path(fault, address, dialer)
    return expression.Error(fault)


def _exchange(
    connection: DecodeConnection,
    address: str,
    request: DecodeRequest,
    timeout_ms: int,
    rejection_parser: RejectionParser,
    canceller: connections.CallCanceller | None,
    details: call_details.CallDetails,
) -> expression.Result[base.TokenStream, errors.Fault]:
    sock = connection.sock
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if canceller is not None:
        canceller.attach(sock)
    deadline_s = time.monotonic() + timeout_ms / MS_IN_S
    connection.begin_response(deadline_s)
    details.use = 1
    connection.request(
        request.method, request.target, request.body, request.headers
    )
    response = connection.getresponse()
    details.framing = _find_framing(response)
    details.received = connection.received
    echoed = response.getheader(request.echo_header, "")
    is_echo_correct = echoed == request.headers[request.echo_header]
    if not is_echo_correct:
        response.close()
        connection.close()
        fault = errors.Fault(
            errors.Code.UPSTREAM_FAILED,
            errors.Step.DECODE,
            address,
            errors.ExecutionStatus.MAY_HAVE_RUN,
            "response belongs to another request",
        )
        return expression.Error(
            call_details.FAILURES.record(
                fault, call_details.FailureReason.OTHER_REQUEST, details
            )
        )
    if response.status != http.client.OK:
        body = _read_error_body(connection, response)
        connection.close()
        fault = rejection_parser(
            response.status, response.getheaders(), body or b"", address
        )
        if body is None:
            # Without its end it must not be passed on as a complete response.
            fault.answer = None
        return expression.Error(fault)
    # The relay bounds the body; bounded reads would wait for it.
    connection.end_response()
    return expression.Ok(_detach_socket(sock, response, echoed))


def _find_framing(
    response: http.client.HTTPResponse,
) -> call_details.Framing:
    if response.chunked:
        return call_details.Framing.CHUNKS
    if response.length is None:
        return call_details.Framing.CONNECTION
    return call_details.Framing.LENGTH


def _read_error_body(
    connection: DecodeConnection, response: http.client.HTTPResponse
) -> bytes | None:
    """Return the body of an unsuccessful response; None if it has no end."""
    connection.begin_response(
        time.monotonic() + ERROR_BODY_TIMEOUT_MS / MS_IN_S
    )
    try:
        body = response.read(MAX_ERROR_BYTES)
    except (OSError, http.client.HTTPException) as failure:
        LOG.debug("the body of an error is incomplete: %r", failure)
        return None
    return None if response.length or not response.isclosed() else body


def _detach_socket(
    sock: socket.socket, response: http.client.HTTPResponse, echoed: str
) -> base.TokenStream:
    # On a non-blocking socket, peek returns the buffered bytes without
    # waiting for more.
    sock.setblocking(False)
    buffered = bytes(response.fp.peek())
    is_chunked = bool(response.chunked)
    length = response.length
    # The library's file object keeps a reference to its socket, which would
    # keep the descriptor open.  Detaching moves the descriptor to a new one.
    detached = socket.socket(fileno=sock.detach())
    headers = response.getheaders()
    response.close()
    return base.TokenStream(
        detached, buffered, is_chunked, echoed, length, headers
    )


def parse_rejection(
    status: int, headers: list[tuple[str, str]], body: bytes, address: str
) -> errors.Fault:
    """Map a decode engine's non-200 response to a fault.

    :param status: the HTTP status
    :param headers: header pairs of the response
    :param body: the response body
    :param address: the engine's address
    :returns: the fault
    """
    if status == http.client.GONE:
        return errors.Fault(
            errors.Code.UPSTREAM_REFUSED,
            errors.Step.TRANSFER,
            address,
            errors.ExecutionStatus.NOT_RUN,
            "prefill result has expired",
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
            f"engine rejected the request with status {status}",
        )
    return errors.Fault(
        errors.Code.UPSTREAM_FAILED,
        errors.Step.DECODE,
        address,
        errors.ExecutionStatus.MAY_HAVE_RUN,
        f"engine responded with status {status}",
    )

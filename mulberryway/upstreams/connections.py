"""Calls to one upstream over kept connections, and what their failure means.

No call is repeated here and no redirect is followed: whether a request may
go to another upstream is decided where its whole history is known.
"""

import http.client
import logging
import socket
import threading
import time
import typing

import expression
import urllib3
import urllib3.connection
import urllib3.exceptions

from mulberryway import clock
from mulberryway import errors

__all__ = [
    "UpstreamClient",
    "CallCanceller",
    "Response",
    "is_accepting_connections",
    "classify_failure",
]

LOG = logging.getLogger(__name__)

MS_IN_S = 1_000
CONNECT_TIMEOUT_MS = 1_000
# Within a region a connection is made in a few milliseconds.
PROBE_TIMEOUT_S = 0.3
PROBE_DELAYS_S = (0.0, 0.05)
# Something between the two ends may lose track of a connection; the longer
# it lives the likelier that is, and a fresh one costs a millisecond.
MAX_POOL_AGE_MS = 60_000
MAX_IDLE_CONNECTIONS = 32
READ_BYTES = 65_536
MAX_REPLY_BYTES = 16_777_216
REQUEST_ID_HEADER = "X-Request-Id"

CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    ConnectionRefusedError,
)
TIMEOUT_ERRORS = (urllib3.exceptions.TimeoutError, TimeoutError)
CLIENT_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
)


class Response:
    """A whole reply.

    :param status: the HTTP status
    :param headers: header pairs
    :param body: the whole body
    """

    __slots__ = ("status", "headers", "body")

    def __init__(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


def classify_failure(
    error: Exception, step: errors.Step, peer: str, was_sent: bool = True
) -> errors.Fault:
    """Tell whether a request may have run, by where its call failed.

    A connection that was never made carried nothing.  After that the
    upstream may have had all of the request: what was written is in no
    way known to have been read, or not read.

    :param error: what the library raised
    :param step: the hop
    :param peer: the upstream's address
    :param was_sent: false if the failure came before anything was written
    :returns: the fault
    """
    if not was_sent or isinstance(error, CONNECT_ERRORS):
        return errors.Fault(
            errors.Code.UPSTREAM_UNREACHABLE,
            step,
            peer,
            errors.ExecutionStatus.NOT_RUN,
        )
    code = errors.Code.UPSTREAM_FAILED
    if isinstance(error, TIMEOUT_ERRORS):
        code = errors.Code.UPSTREAM_TIMEOUT
    return errors.Fault(
        code,
        step,
        peer,
        errors.ExecutionStatus.MAY_HAVE_RUN,
        f"the call failed: {type(error).__name__}",
        has_died=code is errors.Code.UPSTREAM_FAILED,
    )


def is_accepting_connections(address: str) -> bool:
    """Tell whether anybody takes connections at an address.

    A connection breaks in the middle because the other end died or because
    its answer was lost.  What has died does not listen for seconds; what has
    lost an answer goes on.  A process that dies closes its sockets one after
    another, so one look right after a broken connection may still find the
    port open.

    :param address: ``host:port``
    :returns: whether connections can be made, now and a moment later
    """
    host, _, port = address.rpartition(":")
    for pause_s in PROBE_DELAYS_S:
        time.sleep(pause_s)
        try:
            socket.create_connection(
                (host, int(port)), PROBE_TIMEOUT_S
            ).close()
        except OSError:
            return False
    return True


class CallCanceller:
    """Ends a call that runs on another thread.

    Without it an upstream would go on working for a caller that has gone,
    until its answer finds nobody.
    """

    __slots__ = ("_lock", "_socket", "_is_set")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._is_set = False

    def attach(self, connection: socket.socket) -> None:
        """Take the socket over which the call goes.

        :param connection: the socket
        """
        with self._lock:
            self._socket = connection
            is_set = self._is_set
        if is_set:
            self.set()

    def detach(self) -> None:
        """Let go of the socket: the call has ended."""
        with self._lock:
            self._socket = None

    def set(self) -> None:
        """End the call now, or as soon as it begins."""
        with self._lock:
            self._is_set = True
            if self._socket is None:
                return
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError as error:
                LOG.debug("an interrupted call had ended: %s", error)


class _Current(threading.local):
    """The interrupt of the call that runs on this thread."""

    interrupt: CallCanceller | None = None


_CURRENT = _Current()


class _Connection(urllib3.connection.HTTPConnection):
    """Hands its socket to the interrupt of the call that it carries."""

    def request(self, *arguments: typing.Any, **named: typing.Any) -> None:
        """Send a request, connecting first if need be."""
        if self.sock is None:
            self.connect()
        if _CURRENT.interrupt is not None:
            _CURRENT.interrupt.attach(self.sock)
        super().request(*arguments, **named)


class UpstreamClient:
    """Calls one upstream.

    All connections that are kept for it belong to one generation.  A
    generation ends by age, and at once when one of its connections fell
    silent or crossed two answers: its siblings went the same way through
    the same things in between, so they are suspects.

    :param address: ``host:port``
    :param clock_: where the time comes from
    :param echo_header: the header whose value the upstream sends back
    """

    def __init__(
        self,
        address: str,
        clock_: clock.Clock,
        echo_header: str = REQUEST_ID_HEADER,
    ) -> None:
        self.address = address
        self._clock = clock_
        self._echo_header = echo_header
        self._lock = threading.Lock()
        self._pool = self._make_pool()
        self._made_ms = clock_.now_ms()

    def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_ms: int,
        step: errors.Step,
        needs_new_connection: bool = False,
        interrupt: "CallCanceller | None" = None,
    ) -> expression.Result[Response, errors.Fault]:
        """Make one call, exactly once.

        :param method: the HTTP method
        :param target: path and query
        :param headers: what to send; the reply must echo a request id
        :param body: the body, if any
        :param timeout_ms: the longest wait for the whole reply
        :param step: the hop, for faults
        :param needs_new_connection: whether the call needs a connection of its
            own: one that was kept may be closed by the other end at this
            moment, and then nobody knows whether the call ran
        :param interrupt: ends the call from another thread
        :returns: the reply, or a fault that says whether it ran
        """
        deadline_s = time.monotonic() + timeout_ms / MS_IN_S
        pool = self._make_pool() if needs_new_connection else self._find_pool()
        response: urllib3.BaseHTTPResponse | None = None
        _CURRENT.interrupt = interrupt
        try:
            response = pool.urlopen(
                method,
                target,
                body,
                headers,
                retries=False,
                redirect=False,
                assert_same_host=False,
                preload_content=False,
                decode_content=False,
                timeout=_make_timeout(timeout_ms),
            )
            whole = _read_whole(response, deadline_s)
        except CLIENT_ERRORS as error:
            self._abandon(response)
            return expression.Error(self._note_failure(error, step))
        finally:
            _CURRENT.interrupt = None
            if interrupt is not None:
                interrupt.detach()
        checked = self._check_echo(headers, whole, response, step)
        if needs_new_connection:
            pool.close()
        return checked

    def close(self) -> None:
        """Close the connections that are kept."""
        self._pool.close()

    def reset_pool(self) -> None:
        """Use none of the kept connections again."""
        with self._lock:
            before, self._pool = self._pool, self._make_pool()
            self._made_ms = self._clock.now_ms()
        # Calls under way end on their own connections, which are closed
        # instead of kept, because their pool is.
        before.close()

    def _check_echo(
        self,
        headers: dict[str, str],
        whole: Response,
        response: urllib3.BaseHTTPResponse,
        step: errors.Step,
    ) -> expression.Result[Response, errors.Fault]:
        sent = headers.get(self._echo_header)
        echoed = response.headers.get(self._echo_header)
        if sent is None or echoed == sent:
            response.release_conn()
            return expression.Ok(whole)
        # Somebody else's answer, left on the connection or crossed in
        # between.  Nobody may get it, and this call's own is lost.
        self._abandon(response)
        self.reset_pool()
        return expression.Error(
            errors.Fault(
                errors.Code.UPSTREAM_FAILED,
                step,
                self.address,
                errors.ExecutionStatus.MAY_HAVE_RUN,
                "the reply belongs to another request",
            )
        )

    def _note_failure(
        self, error: Exception, step: errors.Step
    ) -> errors.Fault:
        fault = classify_failure(error, step, self.address)
        fault.has_died = fault.has_died and not is_accepting_connections(
            self.address
        )
        if fault.code is errors.Code.UPSTREAM_TIMEOUT:
            self.reset_pool()
        return fault

    @staticmethod
    def _abandon(response: urllib3.BaseHTTPResponse | None) -> None:
        # A connection whose reply was not read to its end would give the
        # rest of it to the next request.
        if response is not None:
            response.close()

    def _find_pool(self) -> urllib3.HTTPConnectionPool:
        if self._clock.now_ms() - self._made_ms > MAX_POOL_AGE_MS:
            self.reset_pool()
        return self._pool

    def _make_pool(self) -> urllib3.HTTPConnectionPool:
        host, _, port = self.address.rpartition(":")
        pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=MAX_IDLE_CONNECTIONS, retries=False
        )
        pool.ConnectionCls = _Connection
        return pool


def _make_timeout(timeout_ms: int) -> urllib3.Timeout:
    return urllib3.Timeout(
        connect=min(CONNECT_TIMEOUT_MS, timeout_ms) / MS_IN_S,
        read=timeout_ms / MS_IN_S,
    )


def _read_whole(
    response: urllib3.BaseHTTPResponse, deadline_s: float
) -> Response:
    pieces = []
    total = 0
    for piece in response.stream(READ_BYTES, decode_content=False):
        pieces.append(piece)
        total += len(piece)
        if total > MAX_REPLY_BYTES:
            raise urllib3.exceptions.ProtocolError("the reply is too large")
        if time.monotonic() > deadline_s:
            raise urllib3.exceptions.ReadTimeoutError(
                None, "", "the reply takes too long"
            )
    return Response(
        response.status, list(response.headers.items()), b"".join(pieces)
    )

"""HTTP client of one upstream, and classification of failed calls.

The client neither retries calls nor follows redirects, because whether a
request may be sent to another upstream depends on all its earlier attempts,
which the client does not track.
"""

import collections.abc
import functools
import http
import http.client
import io
import logging
import threading
import time

import expression
import urllib3
import urllib3.exceptions

from mulberryway import addresses
from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import response_heads
from mulberryway.policy import connection_reuse
from mulberryway.upstreams import bounded_socket
from mulberryway.upstreams import call_connection
from mulberryway.upstreams import call_details
from mulberryway.upstreams import dialing

__all__ = [
    "UpstreamClient",
    "CallCanceller",
    "Response",
    "is_accepting_connections",
    "check_path",
    "classify_failure",
]

LOG = logging.getLogger(__name__)

MS_IN_S = 1_000
CONNECT_TIMEOUT_MS = 1_000
# Connecting takes a few milliseconds within a region.
PROBE_TIMEOUT_MS = 300
PROBE_DELAYS_S = (0.0, 0.05)
# A middlebox between the two ends may lose the state of a connection, which
# is more likely the older the connection is.  A new one costs a millisecond.
MAX_POOL_AGE_MS = 60_000
MAX_IDLE_CONNECTIONS = 32
READ_BYTES = 65_536
MAX_REPLY_BYTES = 16_777_216
MAX_LENGTH_DIGITS = 18
# With the framing of chunks.
MAX_RECEIVED_BYTES = 2 * MAX_REPLY_BYTES
# A rejection's body is not needed, so another upstream can be asked soon.
REJECTION_BODY_TIMEOUT_MS = 200
REQUEST_ID_HEADER = "X-Request-Id"
TOO_LARGE_MESSAGE = "the response is too large"
NO_ROOM_MESSAGE = "no room for the response"

# A closed pool raises its error before a connection is taken from it.
NOT_SENT_ERRORS = (
    urllib3.exceptions.ClosedPoolError,
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    ConnectionRefusedError,
    dialing.PathError,
)
BODILESS_STATUSES = (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
TIMEOUT_ERRORS = (urllib3.exceptions.TimeoutError, TimeoutError)
CLIENT_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
)


CallCanceller = call_connection.CallCanceller

# Bounds what all calls of this process receive at a time.
RECEIVE_BUDGET = bounded_socket.ReceiveBudget(MAX_REPLY_BYTES)

# Returns whether a response's status and headers say that its upstream has not
# executed the request.
RejectionTest = collections.abc.Callable[[int, list[tuple[str, str]]], bool]


class Response:
    """A complete reply.

    :param status: the HTTP status
    :param headers: header pairs
    :param body: the complete body
    """

    __slots__ = ("status", "headers", "body", "details")

    def __init__(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.details = call_details.CallDetails()


def classify_failure(
    error: Exception, step: errors.Step, peer: str, was_sent: bool = True
) -> errors.Fault:
    """Map a client exception to a fault with its execution status.

    The request was not executed if it never had a connection to the upstream.
    After that the upstream may have received the complete request, because a
    successful write does not show whether the peer has read the data.

    :param error: the exception that the HTTP library raised
    :param step: the hop
    :param peer: the upstream's address
    :param was_sent: false if the call failed before anything was written
    :returns: the fault
    """
    if not was_sent or isinstance(error, NOT_SENT_ERRORS):
        cause = error.__cause__ or error
        return errors.Fault(
            errors.Code.UPSTREAM_UNREACHABLE,
            step,
            peer,
            errors.ExecutionStatus.NOT_RUN,
            is_path_fault=isinstance(cause, dialing.PathError),
        )
    code = errors.Code.UPSTREAM_FAILED
    if isinstance(error, TIMEOUT_ERRORS):
        code = errors.Code.UPSTREAM_TIMEOUT
    return errors.Fault(
        code,
        step,
        peer,
        errors.ExecutionStatus.MAY_HAVE_RUN,
        f"call failed: {_describe(error)}",
        has_died=code is errors.Code.UPSTREAM_FAILED,
        is_answer_fault=call_details.is_answer_wrong(error),
    )


def _describe(error: Exception) -> str:
    """Return what an exception says of a response's head, or its type."""
    causes = (error, *error.args)
    return next(
        (
            str(cause)
            for cause in causes
            if isinstance(cause, response_heads.HeadError)
        ),
        type(error).__name__,
    )


def is_accepting_connections(
    address: str, dialer: dialing.Dialer = dialing.DIRECT
) -> bool:
    """Return whether an address accepts connections, in two probes.

    A connection breaks because the upstream crashed or because its response
    was lost.  A crashed upstream does not listen again for seconds, while one
    whose response was lost keeps listening.  A crashing process closes its
    sockets one after another, so a single probe right after the failure may
    still find the port open.

    :param address: ``host:port``
    :param dialer: opens the connections
    :returns: whether both TCP connects succeed
    :raises dialing.PathError: if only the path may have failed
    """
    for delay_s in PROBE_DELAYS_S:
        time.sleep(delay_s)
        try:
            dialer.connect(address, PROBE_TIMEOUT_MS).close()
        except dialing.PathError:
            raise
        except ConnectionResetError as error:
            # Without a listener the connection would have been refused.
            LOG.debug("%s accepts no more connections: %r", address, error)
        except OSError:
            return False
    return True


def check_path(
    fault: errors.Fault, address: str, dialer: dialing.Dialer
) -> None:
    """Find out whether an upstream or only the path to it has failed.

    An answer that is wrong has come over some path, so it counts against its
    upstream also while this VM's own path is lost.

    Updates ``has_died`` and ``is_path_fault``.

    :param fault: the fault of a call to the upstream
    :param address: the upstream's ``host:port``
    :param dialer: opens connections to it
    """
    if fault.run is errors.ExecutionStatus.NOT_RUN:
        # The dialer has compared the path with those of other VMs.
        return
    if fault.has_died:
        try:
            fault.has_died = not is_accepting_connections(address, dialer)
        except dialing.PathError as failure:
            LOG.debug("whether an upstream has died is unknown: %r", failure)
            fault.is_path_fault = not fault.is_answer_fault
            fault.has_died = fault.is_path_fault
        if fault.has_died:
            # Another thread's connect may make the path suspect meanwhile,
            # which does not change the outcome of this one.
            return
    elif not fault.is_answer_fault:
        dialer.record_doubt(address)
    if dialer.is_suspect(address):
        fault.is_path_fault = not fault.is_answer_fault


class UpstreamClient:
    """HTTP client of one upstream with a connection pool.

    The pool is replaced when it reaches ``MAX_POOL_AGE_MS``, when the path to
    the upstream is lost or restored, and at once when a call on it timed out
    or received the response to another request: the other connections took
    the same network path, so they may be affected too.

    A call whose response echoes no id is sent on a new connection, as is any
    call for a while after the upstream has sent bytes that no request has
    asked for.  An idle connection is closed for it, so that a client does not
    need more connections than its upstream accepts.

    A call whose pool is closed before the call has a connection was not sent.
    It is made on a new connection if the pool was replaced, and fails as not
    sent if the client was closed.

    :param address: ``host:port``
    :param clock_: the clock
    :param echo_header: the header whose value the upstream echoes
    :param dialer: opens the connections
    """

    def __init__(
        self,
        address: str,
        clock_: clock.Clock,
        echo_header: str = REQUEST_ID_HEADER,
        dialer: dialing.Dialer = dialing.DIRECT,
    ) -> None:
        self.address = address
        self._clock = clock_
        self._echo_header = echo_header
        self._dialer = dialer
        self._lock = threading.Lock()
        self._is_closed = False
        self._reuse = connection_reuse.ReusePolicy()
        self._pool = self._create_pool()
        self._pool_created_ms = clock_.now_ms()
        self._pool_epoch = dialer.get_epoch(address)

    def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_ms: int,
        step: errors.Step,
        needs_new_connection: bool = False,
        canceller: "CallCanceller | None" = None,
        is_rejection: RejectionTest = lambda status, headers: False,
    ) -> expression.Result[Response, errors.Fault]:
        """Make one call without retries.

        :param method: the HTTP method
        :param target: path and query
        :param headers: headers to send; if the echo header is among them, the
            reply must have it with the same value
        :param body: the body, if any
        :param timeout_ms: timeout of the complete reply, in ms
        :param step: the hop, for faults
        :param needs_new_connection: whether the call must not use a pooled
            connection: the peer may close an idle connection at any moment,
            and then it is unknown whether the call was executed
        :param canceller: cancels the call from another thread
        :param is_rejection: whether a response is a rejection, whose body is
            not needed; an empty body takes the place of one that does not end
        :returns: the reply, or a fault with the execution status
        """
        deadline_s = time.monotonic() + timeout_ms / MS_IN_S
        request_id = _find_header(headers, self._echo_header)
        own_pool = self._create_pool() if needs_new_connection else None
        pool = own_pool or self._get_pool()
        response: urllib3.BaseHTTPResponse | None = None
        details = call_details.CallDetails()
        call_connection.CURRENT.canceller = canceller
        call_connection.CURRENT.deadline_s = deadline_s
        call_connection.CURRENT.request_id = request_id
        call_connection.CURRENT.may_reuse = self._reuse.may_reuse(
            self._clock.now_ms()
        )
        call_connection.CURRENT.details = details
        try:
            try:
                response = _send(
                    pool, method, target, headers, body, timeout_ms
                )
            except urllib3.exceptions.ClosedPoolError:
                if self._is_closed:
                    raise
                # The current pool may be replaced as well; this one is not.
                own_pool = self._create_pool()
                response = _send(
                    own_pool, method, target, headers, body, timeout_ms
                )
            details.echo = response.headers.get(self._echo_header)
            details.framing = _find_framing(method, response)
            if request_id not in (None, details.echo):
                return expression.Error(
                    self._reject_other(response, step, details)
                )
            complete = _read_response(response, is_rejection)
            complete.details = details
            is_rejected = is_rejection(complete.status, complete.headers)
            ends_with_connection = (
                details.framing is call_details.Framing.CONNECTION
            )
            if not is_rejected and ends_with_connection:
                if canceller is not None and canceller.is_cancelled:
                    raise ConnectionAbortedError("the call was cancelled")
                self._check_alive()
            details.received = _get_received()
        except CLIENT_ERRORS as error:
            details.received = _get_received()
            self._close_response(response)
            is_cancelled = canceller is not None and canceller.is_cancelled
            return expression.Error(
                self._make_fault(error, step, is_cancelled)
            )
        finally:
            call_connection.CURRENT.canceller = None
            history = call_connection.CURRENT.history
            if call_connection.CURRENT.socket is not None:
                call_connection.CURRENT.socket.end_response(
                    call_connection.CURRENT.number
                )
                call_connection.CURRENT.socket = None
            if canceller is not None:
                canceller.detach()
        response.release_conn()
        history.settle()
        if own_pool is not None:
            own_pool.close()
        return expression.Ok(complete)

    def close(self) -> None:
        """Close the pooled connections."""
        with self._lock:
            self._is_closed = True
            pool = self._pool
        pool.close()

    def reset_pool(self) -> None:
        """Replace the pool so that no pooled connection is reused."""
        with self._lock:
            old_pool, self._pool = self._pool, self._create_pool()
            self._pool_created_ms = self._clock.now_ms()
            self._pool_epoch = self._dialer.get_epoch(self.address)
        # Calls in progress finish on their own connections, which are closed
        # afterwards because their pool is closed.  A call that has fetched
        # the pool but has no connection yet is made on a new one.
        old_pool.close()

    def _check_alive(self) -> None:
        """Check that a response without a length was not cut by a crash.

        The connections of a process that is killed end like a response.

        :raises ConnectionResetError: if the upstream has crashed, or cannot
            be reached to find out
        """
        try:
            is_alive = is_accepting_connections(self.address, self._dialer)
        except dialing.PathError as failure:
            raise call_details.UpstreamEndedError(str(failure)) from failure
        if not is_alive:
            raise call_details.UpstreamEndedError("the upstream has ended")

    def _reject_other(
        self,
        response: urllib3.BaseHTTPResponse,
        step: errors.Step,
        details: call_details.CallDetails,
    ) -> errors.Fault:
        """Return the fault for a response that belongs to another request.

        It was left unread on the connection, or misdelivered.  It must not
        reach this caller, and the call's own response is lost.
        """
        details.received = _get_received()
        self._close_response(response)
        self.reset_pool()
        if details.use > 1:
            self._record_unsolicited()
        fault = errors.Fault(
            errors.Code.UPSTREAM_FAILED,
            step,
            self.address,
            errors.ExecutionStatus.MAY_HAVE_RUN,
            "response belongs to another request",
        )
        return call_details.FAILURES.record(
            fault, call_details.FailureReason.OTHER_REQUEST, details
        )

    def _record_unsolicited(self) -> None:
        """Record that bytes have arrived that no request has asked for."""
        call_details.UNSOLICITED.increment()
        if self._reuse.record_unsolicited(self._clock.now_ms()):
            LOG.warning(
                "connections to an upstream are not reused for a while: it "
                "has sent bytes that no request has asked for",
                extra=logs.make_extra(
                    peer=self.address,
                    duration_ms=connection_reuse.NO_REUSE_MS,
                ),
            )

    def _make_fault(
        self, error: Exception, step: errors.Step, is_cancelled: bool
    ) -> errors.Fault:
        fault = classify_failure(error, step, self.address)
        details = call_connection.CURRENT.details
        reason = _find_reason(error, fault, is_cancelled)
        call_details.FAILURES.record(fault, reason, details)
        is_invalid = reason is call_details.FailureReason.INVALID_HEAD
        if is_invalid and details.use > 1:
            self._record_unsolicited()
        if is_cancelled:
            # The connection broke on this side.
            fault.has_died = False
            return fault
        check_path(fault, self.address, self._dialer)
        if fault.code is errors.Code.UPSTREAM_TIMEOUT:
            self.reset_pool()
        return fault

    @staticmethod
    def _close_response(response: urllib3.BaseHTTPResponse | None) -> None:
        # If a pooled connection still held unread bytes of a response, the
        # next request would receive them.
        if response is not None:
            response.close()

    def _get_pool(self) -> urllib3.HTTPConnectionPool:
        is_old = self._clock.now_ms() - self._pool_created_ms > MAX_POOL_AGE_MS
        # A pooled connection over a path that was lost may be dead, although
        # nothing shows it.
        if is_old or self._pool_epoch != self._dialer.get_epoch(self.address):
            self.reset_pool()
        return self._pool

    def _create_pool(self) -> urllib3.HTTPConnectionPool:
        host, port = addresses.split(self.address)
        pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=MAX_IDLE_CONNECTIONS, retries=False
        )
        pool.ConnectionCls = functools.partial(
            call_connection.CallConnection,
            address=self.address,
            dialer=self._dialer,
            budget=RECEIVE_BUDGET,
            on_unsolicited=self._record_unsolicited,
        )
        return pool


def _find_header(headers: dict[str, str], name: str) -> str | None:
    """Return a header's value, however its name is spelled."""
    return next(
        (
            value
            for key, value in headers.items()
            if key.lower() == name.lower()
        ),
        None,
    )


def _send(
    pool: urllib3.HTTPConnectionPool,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes | None,
    timeout_ms: int,
) -> urllib3.BaseHTTPResponse:
    return pool.urlopen(
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


def _make_timeout(timeout_ms: int) -> urllib3.Timeout:
    return urllib3.Timeout(
        connect=min(CONNECT_TIMEOUT_MS, timeout_ms) / MS_IN_S,
        read=timeout_ms / MS_IN_S,
    )


def _read_response(
    response: urllib3.BaseHTTPResponse, is_rejection: RejectionTest
) -> Response:
    sock = call_connection.CURRENT.socket
    assert sock is not None
    headers = list(response.headers.items())
    if not is_rejection(response.status, headers):
        return Response(response.status, headers, _read_counted(response))
    sock.allow_body(MAX_RECEIVED_BYTES)
    sock.shorten_response(
        time.monotonic() + REJECTION_BODY_TIMEOUT_MS / MS_IN_S
    )
    try:
        body = _read_body(response)
    except CLIENT_ERRORS as error:
        LOG.debug("the body of a rejection is incomplete: %r", error)
        response.close()
        body = b""
    return Response(response.status, headers, body)


def _read_counted(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return a body whose memory is reserved before it is read.

    :raises ResponseSizeError: if there is no room for it
    """
    current = call_connection.CURRENT
    canceller = current.canceller
    room = None if canceller is None else canceller.room
    assert current.socket is not None
    current.socket.allow_body(MAX_RECEIVED_BYTES, room is not None)
    if canceller is None or room is None:
        return _read_body(response)
    left_s = current.deadline_s - time.monotonic()
    max_wait_s = left_s + canceller.extension_ms / MS_IN_S

    def reserve(total: int) -> None:
        if total > bounded_socket.GUARANTEED_BYTES and not room.grow(
            total,
            MAX_REPLY_BYTES,
            max_wait_s,
            lambda: canceller.is_cancelled,
        ):
            raise bounded_socket.ResponseSizeError(NO_ROOM_MESSAGE)

    if current.details.framing is not call_details.Framing.LENGTH:
        return _read_body(response, reserve)
    length = _find_length(response)
    if length > MAX_REPLY_BYTES:
        raise bounded_socket.ResponseSizeError(TOO_LARGE_MESSAGE)
    if length > bounded_socket.GUARANTEED_BYTES and not room.reserve(
        length, max_wait_s, lambda: canceller.is_cancelled
    ):
        raise bounded_socket.ResponseSizeError(NO_ROOM_MESSAGE)
    return _read_body(response)


def _find_length(response: urllib3.BaseHTTPResponse) -> int:
    """Return the length that a response announces.

    :raises ResponseSizeError: if it has too many digits
    """
    digits = response.headers["content-length"].strip()
    if len(digits) > MAX_LENGTH_DIGITS:
        raise bounded_socket.ResponseSizeError(TOO_LARGE_MESSAGE)
    return int(digits)


def _get_received() -> int:
    """Return how many bytes of a response this thread's call has received."""
    sock = call_connection.CURRENT.socket
    return 0 if sock is None else sock.received


def _find_framing(
    method: str, response: urllib3.BaseHTTPResponse
) -> call_details.Framing:
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return call_details.Framing.NO_BODY
    if "transfer-encoding" in response.headers:
        return call_details.Framing.CHUNKS
    if "content-length" in response.headers:
        return call_details.Framing.LENGTH
    return call_details.Framing.CONNECTION


def _find_reason(
    error: Exception, fault: errors.Fault, is_cancelled: bool
) -> call_details.FailureReason:
    if is_cancelled:
        return call_details.FailureReason.CANCELLED
    if fault.run is errors.ExecutionStatus.NOT_RUN:
        return call_details.FailureReason.UNREACHABLE
    return call_details.find_reason(error)


def _read_body(
    response: urllib3.BaseHTTPResponse,
    reserve: collections.abc.Callable[[int], object] = lambda total: None,
) -> bytes:
    """Return a complete body.

    Pieces that are joined would take twice the memory.

    :param reserve: called with the size before that much is kept
    """
    content = io.BytesIO()
    total = 0
    for chunk in response.stream(READ_BYTES, decode_content=False):
        total += len(chunk)
        if total > MAX_REPLY_BYTES:
            raise bounded_socket.ResponseSizeError(TOO_LARGE_MESSAGE)
        reserve(total)
        content.write(chunk)
    return content.getvalue()

"""The interface of filters and the data that they pass on."""

import abc
import collections.abc
import logging
import socket
import threading
import typing

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import replies
from mulberryway import tables
from mulberryway import traces
from mulberryway.policy import allowance
from mulberryway.relay import request_memory
from mulberryway.relay import stream as streams
from mulberryway.relay import writers

__all__ = [
    "Exchange",
    "Filter",
    "Resumption",
    "StreamedAnswer",
    "Outcome",
    "NextHandler",
    "StageTimings",
]

LOG = logging.getLogger(__name__)


class StreamedAnswer:
    """An answer that is still being sent after the chain has returned.

    :param stream: the stream that the relay sends to the caller
    """

    __slots__ = ("stream",)

    def __init__(self, stream: streams.Stream) -> None:
        self.stream = stream


class Outcome:
    """The result of a finished request.

    :param fault: why the answer is incomplete; none if it is complete
    :param used_tokens: the tokens to charge to the allowance
    :param tokens: the number of generated tokens
    """

    __slots__ = ("fault", "used_tokens", "tokens")

    def __init__(
        self, fault: errors.Fault | None, used_tokens: int, tokens: int
    ) -> None:
        self.fault = fault
        self.used_tokens = used_tokens
        self.tokens = tokens


CompletionCallback = collections.abc.Callable[[Outcome], None]
Answer = expression.Result[replies.Reply | StreamedAnswer, errors.Fault]


class TokenReservation:
    """The allowance tokens reserved for one request.

    :param allowances: the token allowances of all client accounts
    :param account: the client account
    :param tokens: the prompt tokens plus the maximum output tokens
    """

    __slots__ = ("_allowances", "_account", "_tokens", "_reservation")

    def __init__(
        self, allowances: allowance.Allowances, account: str, tokens: int
    ) -> None:
        self._allowances = allowances
        self._account = account
        self._tokens = tokens
        self._reservation: allowance.Reservation | None = None

    def reserve(self) -> expression.Result[None, errors.Fault]:
        """Reserve the tokens.

        :returns: nothing, or ``OVER_ALLOWANCE``
        """
        reserved = self._allowances.reserve(self._account, self._tokens)
        if reserved.is_error():
            return expression.Error(reserved.error)
        self._reservation = reserved.ok
        return expression.Ok(None)

    def ensure_usable(self) -> expression.Result[None, errors.Fault]:
        """Check the reservation right before an upstream is called.

        After a long wait in the queue or a pause of the process, the tokens
        may have expired and been granted to other requests.  Using them
        anyway would let the account exceed its rate, so they are reserved
        again.  This is done once only: if the new reservation expires at
        once, the process was paused again.

        :returns: nothing, or ``OVER_ALLOWANCE``
        """
        if self._is_valid():
            return expression.Ok(None)
        self.settle(0)
        reserved = self.reserve()
        if reserved.is_error() or self._is_valid():
            return reserved
        return expression.Error(
            errors.Fault(
                errors.Code.OVER_ALLOWANCE,
                errors.Step.QUEUE,
                message="the token reservation expired in the queue",
                retry_after_ms=0,
            )
        )

    def settle(self, used: int) -> None:
        """Return unused tokens; do nothing without a reservation.

        :param used: the number of tokens that were used
        """
        reservation, self._reservation = self._reservation, None
        if reservation is not None:
            self._allowances.settle(reservation, used)

    def _is_valid(self) -> bool:
        reservation = self._reservation
        return reservation is not None and self._allowances.commit(reservation)


class StageTimings:
    """Durations of a model request's stages over all attempts, in ms.

    They show whether a late stream waited in the queue, for the prefill or
    for the decode engine.

    ``queued_ms`` is the time until engines were chosen, ``read_ms`` the time
    of the prefill calls, and ``begin_ms`` the time from sending a decode
    request to receiving the response headers.
    """

    __slots__ = ("queued_ms", "read_ms", "begin_ms")

    def __init__(self) -> None:
        self.queued_ms = 0
        self.read_ms = 0
        self.begin_ms = 0


class Resumption:
    """A caller's request for the rest of a stream that was cut off.

    :param attempt_id: the caller's id of the attempt that brought the
        stream's first event; empty if the caller did not name it
    :param last_event: the id of the last event that the caller has
    """

    __slots__ = ("attempt_id", "last_event")

    def __init__(self, attempt_id: str, last_event: int) -> None:
        self.attempt_id = attempt_id
        self.last_event = last_event


class Exchange:
    """One request and the state that the filters add to it.

    :param request_id: unique in the fleet; also sent in the reply
    :param method: the HTTP method
    :param path: the path, percent-decoded
    :param target: path and query as received
    :param headers: name and value pairs as received; filters remove
        credentials
    :param body: the complete body
    :param connection: the caller's socket
    :param head: writes the reply's status line and headers
    :param release: returns the connection to the server after streaming
    :param arrived_ms: when the request arrived, in ms
    :param memory: the memory that is reserved for it; without a bound by
        default
    """

    __slots__ = (
        "memory",
        "request_id",
        "method",
        "path",
        "target",
        "headers",
        "body",
        "connection",
        "head",
        "release",
        "arrived_ms",
        "deadline",
        "tables",
        "key_digest",
        "account",
        "route",
        "pool",
        "call",
        "model",
        "expected_tokens",
        "prefix_hashes",
        "prompt_parts",
        "part_keys",
        "charge",
        "estimate",
        "max_tokens",
        "digest",
        "attempt_id",
        "resumption",
        "required_version",
        "on_first_event",
        "span",
        "has_gone",
        "abort_fault",
        "is_answered",
        "prefilled_tokens",
        "tried",
        "tried_ms",
        "versions",
        "arrival",
        "first_ms",
        "gap_ms",
        "stages",
        "_completion_callbacks",
        "_abort_callbacks",
        "_lock",
    )

    def __init__(
        self,
        request_id: str,
        method: str,
        path: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        connection: socket.socket,
        head: writers.ReplyHead,
        release: collections.abc.Callable[[bool], None],
        arrived_ms: int,
        memory: request_memory.RequestMemory | None = None,
    ) -> None:
        self.memory = memory or request_memory.UNBOUNDED
        self.request_id = request_id
        self.method = method
        self.path = path
        self.target = target
        self.headers = headers
        self.body = body
        self.connection = connection
        self.head = head
        self.release = release
        self.arrived_ms = arrived_ms
        self.deadline = clock.Deadline(arrived_ms)
        self.tables: tables.Tables
        self.key_digest = ""
        self.account: tables.ClientAccount
        self.route: tables.Route
        self.pool: tables.Pool
        # The parsed body of a model request, without credentials.
        # A ``RawCall`` where requests are forwarded unchanged.
        self.call: typing.Any = {}
        self.model = ""
        self.prefix_hashes: tuple[str, ...] = ()
        # Ids of the prompt's parts that other requests may share, in order;
        # empty if callers send none.
        self.prompt_parts: tuple[str, ...] = ()
        # The keys under which crashes on these parts are counted.
        self.part_keys: tuple[str, ...] = ()
        self.charge: TokenReservation | None = None
        self.estimate = 0
        self.max_tokens = 0
        # The predicted number of output tokens; 0 if there is no prediction.
        self.expected_tokens = 0
        self.digest = ""
        # The caller's id of this attempt; empty if callers send none.
        self.attempt_id = ""
        # Set if the caller resumes a stream of an earlier request.
        self.resumption: Resumption | None = None
        # The only software version that may run the request; none for any.
        self.required_version: str | None = None
        # Called with the software version that wrote a new stream's first
        # event, before the event is sent to the caller; must return quickly.
        self.on_first_event: collections.abc.Callable[[str], None] = (
            lambda version: None
        )
        self.span: traces.Span = traces.NO_SPAN
        # Set when all work on the request has to stop, because its caller has
        # disconnected or the request was aborted.
        self.has_gone = threading.Event()
        # The answer of a request that was aborted; none if it was not.
        self.abort_fault: errors.Fault | None = None
        # Whether a complete answer is being sent, which no abort replaces.
        self.is_answered = False
        # Prompt tokens prefilled for this request, over all attempts.
        self.prefilled_tokens = 0
        # Names of the upstreams that it was sent to, in order.
        self.tried: list[str] = []
        # The time of each attempt, in ms after the request's arrival.
        self.tried_ms: list[int] = []
        # The software version of each upstream in ``tried``.
        self.versions: list[str] = []
        # How the response that is forwarded arrived, as fields of a log line.
        self.arrival: dict[str, int | float | str] = {}
        # For streams: the time of the first piece in ms after the request's
        # arrival, and the longest inter-token gap in ms; 0 for none yet.
        self.first_ms = 0
        self.gap_ms = 0
        self.stages = StageTimings()
        self._completion_callbacks: list[CompletionCallback] = []
        self._abort_callbacks: list[collections.abc.Callable[[], None]] = []
        self._lock = threading.Lock()

    def find_header(self, name: str) -> str | None:
        """Return the value of a header.

        :param name: the name in lower case
        :returns: the value, or none
        """
        return next(
            (v for k, v in self.headers if k.lower() == name),
            None,
        )

    def record_attempt(self, upstream: str, version: str, now_ms: int) -> None:
        """Record that the request is sent to an upstream.

        :param upstream: the upstream's name
        :param version: its software version; empty if unknown
        :param now_ms: the current time in ms
        """
        self.tried.append(upstream)
        self.versions.append(version)
        self.tried_ms.append(now_ms - self.arrived_ms)

    def add_completion_callback(self, callback: CompletionCallback) -> None:
        """Register a callback that is called when the request has ended.

        :param callback: receives the outcome, on any thread and however the
            request ends
        """
        self._completion_callbacks.append(callback)

    def add_abort_callback(
        self, callback: collections.abc.Callable[[], None]
    ) -> None:
        """Register a callback that stops the work on the request.

        :param callback: called at most once, on any thread; at once if the
            request was aborted already; must not block
        """
        with self._lock:
            is_aborted = self.abort_fault is not None
            if not is_aborted:
                self._abort_callbacks.append(callback)
        if is_aborted:
            callback()

    def abort(self, fault: errors.Fault) -> bool:
        """Stop the work on the request, and answer it without a result.

        The caller gets the fault unless there is an answer already, or none
        of its upstreams has run the request.

        :param fault: the fault
        :returns: whether the work was stopped now; false if that was done
            before, or if the answer is being sent
        """
        with self._lock:
            if self.abort_fault is not None or self.is_answered:
                return False
            self.abort_fault = fault
            callbacks = self._abort_callbacks
        for callback in callbacks:
            try:
                callback()
            except Exception:
                # The others stop the rest of the work.
                LOG.exception(
                    "an abort callback failed: request %s", self.request_id
                )
        return True

    def finish(self, outcome: Outcome) -> None:
        """Call the completion callbacks; further calls do nothing.

        Both the end of the chain and the end of a stream may call this, and
        reservations must be released only once.

        :param outcome: the result of the request
        """
        with self._lock:
            callbacks, self._completion_callbacks = (
                self._completion_callbacks,
                [],
            )
            # They hold the request, and with it its body.
            self._abort_callbacks = []
        for callback in reversed(callbacks):
            try:
                callback(outcome)
            except Exception:
                # The others release what the request still holds.
                LOG.exception(
                    "a completion callback failed: request %s", self.request_id
                )


NextHandler = collections.abc.Callable[[Exchange], Answer]


class Filter(abc.ABC):
    """One step of the filter chain."""

    @abc.abstractmethod
    def handle(self, exchange: Exchange, proceed: NextHandler) -> Answer:
        """Answer a request, reject it, or pass it to the rest of the chain.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: a reply, a streamed answer, or a fault
        """

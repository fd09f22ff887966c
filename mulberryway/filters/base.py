"""What passes through the filter chain, and what a filter is."""

import abc
import collections.abc
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
from mulberryway.relay import stream as streams
from mulberryway.relay import writers

__all__ = [
    "Exchange",
    "Filter",
    "StreamedAnswer",
    "Outcome",
    "NextHandler",
    "StageTimings",
]


class StreamedAnswer:
    """An answer that goes on after the chain has ended.

    :param stream: what the relay carries to the caller
    """

    __slots__ = ("stream",)

    def __init__(self, stream: streams.Stream) -> None:
        self.stream = stream


class Outcome:
    """How a request came to its end.

    :param fault: why the caller got no whole answer; none if it did
    :param used_tokens: what an allowance is charged
    :param tokens: how many tokens were generated
    """

    __slots__ = ("fault", "used_tokens", "tokens")

    def __init__(
        self, fault: errors.Fault | None, used_tokens: int, tokens: int
    ) -> None:
        self.fault = fault
        self.used_tokens = used_tokens
        self.tokens = tokens


Finisher = collections.abc.Callable[[Outcome], None]
Answer = expression.Result[replies.Reply | StreamedAnswer, errors.Fault]


class TokenReservation:
    """The tokens of one request, from its admission to its end.

    :param allowances: the accounts' tokens
    :param account: the client account
    :param tokens: the prompt and the most that may be generated
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
        """Take the tokens.

        :returns: nothing, or ``OVER_ALLOWANCE``
        """
        reserved = self._allowances.reserve(self._account, self._tokens)
        if reserved.is_error():
            return expression.Error(reserved.error)
        self._reservation = reserved.ok
        return expression.Ok(None)

    def confirm(self) -> expression.Result[None, errors.Fault]:
        """Make sure of the tokens, right before an upstream is called.

        A request that waited for long, or a process that was paused, may
        hold tokens that have passed on meanwhile; were they used all the
        same, the account would get more than its rate.  They are taken anew
        then, once: what lapses at once again is a sign of another pause.

        :returns: nothing, or ``OVER_ALLOWANCE``
        """
        if self._is_usable():
            return expression.Ok(None)
        self.settle(0)
        reserved = self.reserve()
        if reserved.is_error() or self._is_usable():
            return reserved
        return expression.Error(
            errors.Fault(
                errors.Code.OVER_ALLOWANCE,
                errors.Step.QUEUE,
                message="the tokens lapsed while the request waited",
                retry_after_ms=0,
            )
        )

    def settle(self, used: int) -> None:
        """Give back what was not used; nothing if nothing is held.

        :param used: tokens
        """
        held, self._reservation = self._reservation, None
        if held is not None:
            self._allowances.settle(held, used)

    def _is_usable(self) -> bool:
        held = self._reservation
        return held is not None and self._allowances.commit(held)


class StageTimings:
    """How long a model request's steps took, over all its attempts, in ms.

    They tell whether a late stream waited for room, for other prompts or for
    the engine that decodes.

    ``queued_ms`` is the wait for a choice of engines, ``read_ms`` the calls
    that had the prompt read, ``begin_ms`` the time from sending a decode to
    its reply's head.
    """

    __slots__ = ("queued_ms", "read_ms", "begin_ms")

    def __init__(self) -> None:
        self.queued_ms = 0
        self.read_ms = 0
        self.begin_ms = 0


class Exchange:
    """One request and what the filters have found out about it.

    :param request_id: unique in the fleet; also in the reply
    :param method: the HTTP method
    :param path: the path, percent-decoded
    :param target: path and query as they came
    :param headers: pairs as they came; filters take credentials out
    :param body: the whole body
    :param connection: the caller's socket
    :param head: writes the reply's head
    :param release: takes the connection back after it was lent
    :param arrived_ms: when the request came
    """

    __slots__ = (
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
        "charge",
        "estimate",
        "max_tokens",
        "digest",
        "span",
        "has_gone",
        "prefilled_tokens",
        "tried",
        "tried_ms",
        "first_ms",
        "gap_ms",
        "stages",
        "_finishers",
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
    ) -> None:
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
        # A model request's body, parsed and without credentials.
        # Where upstreams take requests as they came it is a ``RawCall``.
        self.call: typing.Any = {}
        self.model = ""
        self.prefix_hashes: tuple[str, ...] = ()
        self.charge: TokenReservation | None = None
        self.estimate = 0
        self.max_tokens = 0
        # How many tokens the answer probably has; 0 for as many as it may.
        self.expected_tokens = 0
        self.digest = ""
        self.span: traces.Span = traces.NO_SPAN
        self.has_gone = threading.Event()
        # Prompt tokens that engines have computed for this request.
        self.prefilled_tokens = 0
        # Names of the upstreams that it was sent to, in order.
        self.tried: list[str] = []
        # When each was chosen, counted from the request's arrival.
        self.tried_ms: list[int] = []
        # Of a stream: when its first piece came, counted from the request's
        # arrival, and the longest time between two pieces; 0 for none yet.
        self.first_ms = 0
        self.gap_ms = 0
        self.stages = StageTimings()
        self._finishers: list[Finisher] = []
        self._lock = threading.Lock()

    def find_header(self, name: str) -> str | None:
        """Return a header's value.

        :param name: the name in lower case
        :returns: the value, or none
        """
        return next(
            (v for k, v in self.headers if k.lower() == name),
            None,
        )

    def record_attempt(self, upstream: str, now_ms: int) -> None:
        """Note an upstream that the request is sent to.

        :param upstream: its name
        :param now_ms: the present
        """
        self.tried.append(upstream)
        self.tried_ms.append(now_ms - self.arrived_ms)

    def add_completion_callback(self, finisher: Finisher) -> None:
        """Have something done when the request has ended, on every path.

        :param finisher: gets the outcome, on whatever thread it comes
        """
        self._finishers.append(finisher)

    def finish(self, outcome: Outcome) -> None:
        """Do what has to be done at the end; further calls do nothing.

        The chain's end and a lent stream's end may both come here; what
        was reserved must be given back once and not twice.

        :param outcome: how it ended
        """
        with self._lock:
            finishers, self._finishers = self._finishers, []
        for finisher in reversed(finishers):
            finisher(outcome)


NextHandler = collections.abc.Callable[[Exchange], Answer]


class Filter(abc.ABC):
    """One step of the chain."""

    @abc.abstractmethod
    def handle(self, exchange: Exchange, proceed: NextHandler) -> Answer:
        """Answer a request, refuse it, or let the rest of the chain do so.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: a reply, a lent stream, or a fault
        """

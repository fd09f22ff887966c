"""Model engines and plain services as the rest of the program sees them."""

import abc
import collections.abc
import socket
import typing

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.upstreams import connections

__all__ = [
    "CacheEvent",
    "Engine",
    "EngineLoad",
    "InFlightRequest",
    "Order",
    "UpstreamService",
    "PrefillResult",
    "PassthroughRequest",
    "AttemptLabel",
    "ServiceReply",
    "TokenStream",
]


class AttemptLabel:
    """Names one attempt, so that whoever holds its memory can be found.

    :param request_id: unique for each attempt; the engine echoes it
    :param vm: the VM that runs the request
    :param incarnation: which life of that VM's router started it
    :param traceparent: the W3C trace context of the hop; empty for none
    """

    __slots__ = ("request_id", "vm", "incarnation", "traceparent")

    def __init__(
        self,
        request_id: str,
        vm: str,
        incarnation: int,
        traceparent: str = "",
    ) -> None:
        self.request_id = request_id
        self.vm = vm
        self.incarnation = incarnation
        self.traceparent = traceparent


class PassthroughRequest:
    """A caller's request that goes to upstreams as it came.

    :param method: the HTTP method
    :param target: path and query
    :param headers: pairs, without credentials and hop-by-hop ones
    :param body: the whole body
    :param attempt_id: the caller's own id of this attempt; upstreams echo it
    :param account: the client account's name; empty for anybody
    :param deadline: when the caller stops waiting
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "attempt_id",
        "account",
        "deadline",
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        attempt_id: str,
        account: str,
        deadline: clock.Deadline,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.attempt_id = attempt_id
        self.account = account
        self.deadline = deadline


class PrefillResult:
    """What a prefill left behind; it lives for less than a second.

    :param transfer: what the decode engine needs to import the KV cache,
        passed on as it came
    :param prompt_tokens: the prompt's length as the engine counted it
    :param cached_tokens: how much of it came from the prefix cache
    """

    __slots__ = ("transfer", "prompt_tokens", "cached_tokens")

    def __init__(
        self,
        transfer: dict[str, typing.Any],
        prompt_tokens: int,
        cached_tokens: int,
    ) -> None:
        self.transfer = transfer
        self.prompt_tokens = prompt_tokens
        self.cached_tokens = cached_tokens


class TokenStream:
    """A decode that has begun: the raw socket from which events come.

    :param connection: the socket; belongs to the receiver from now on
    :param buffered: bytes that were read along with the reply's head
    :param chunked: whether the body uses chunked transfer coding
    :param request_id: the id that the engine echoed
    :param length: the body's length, where the engine told it
    :param headers: pairs of the reply's head that go to the caller
    """

    __slots__ = (
        "connection",
        "buffered",
        "chunked",
        "request_id",
        "length",
        "headers",
    )

    def __init__(
        self,
        connection: socket.socket,
        buffered: bytes,
        chunked: bool,
        request_id: str,
        length: int | None = None,
        headers: collections.abc.Sequence[tuple[str, str]] = (),
    ) -> None:
        self.connection = connection
        self.buffered = buffered
        self.chunked = chunked
        self.request_id = request_id
        self.length = length
        self.headers = headers


class EngineLoad:
    """A load report; always some time old.

    :param running: requests in the batch
    :param waiting: requests that the engine queues
    :param slots: how many requests the batch can hold
    :param free_blocks: KV cache blocks that are free
    :param total_blocks: KV cache blocks in all
    :param models: names of the models that are loaded
    :param orders: how many orders it has accepted since its start; none
        where it does not tell
    :param is_executing_order: whether it carries out an order now
    :param role: the role that it has; empty where it does not tell
    """

    __slots__ = (
        "running",
        "waiting",
        "slots",
        "free_blocks",
        "total_blocks",
        "models",
        "orders",
        "is_executing_order",
        "role",
    )

    def __init__(
        self,
        running: int,
        waiting: int,
        slots: int,
        free_blocks: int,
        total_blocks: int,
        models: tuple[str, ...],
        orders: int | None = None,
        is_executing_order: bool = False,
        role: str = "",
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.free_blocks = free_blocks
        self.total_blocks = total_blocks
        self.models = models
        self.orders = orders
        self.is_executing_order = is_executing_order
        self.role = role


class CacheEvent:
    """KV cache blocks that an engine stored or removed.

    :param sequence: counts up by one; a gap means that events were lost
    :param stored: hashes of prefix blocks now in the cache
    :param removed: hashes of prefix blocks evicted
    """

    __slots__ = ("sequence", "stored", "removed")

    def __init__(
        self,
        sequence: int,
        stored: tuple[str, ...],
        removed: tuple[str, ...],
    ) -> None:
        self.sequence = sequence
        self.stored = stored
        self.removed = removed


class InFlightRequest:
    """A request for which an engine holds memory.

    :param label: who started it
    :param phase: ``queued``, ``prefill``, ``transfer`` or ``decode``
    :param blocks: KV cache blocks held
    """

    __slots__ = ("label", "phase", "blocks")

    def __init__(self, label: AttemptLabel, phase: str, blocks: int) -> None:
        self.label = label
        self.phase = phase
        self.blocks = blocks


class Order:
    """An order to an engine: load a model, or change role.

    :param verb: ``load``, ``unload`` or ``role``
    :param argument: the model's name, or the role
    :param fencing: grows with each new issuer; some engines refuse an
        older one, others ignore it
    :param holder: the VM that gives it
    :param expected: how many orders the engine must have accepted before;
        none where it does not matter
    """

    __slots__ = ("verb", "argument", "fencing", "holder", "expected")

    def __init__(
        self,
        verb: str,
        argument: str,
        fencing: int,
        holder: str = "",
        expected: int | None = None,
    ) -> None:
        self.verb = verb
        self.argument = argument
        self.fencing = fencing
        self.holder = holder
        self.expected = expected


class ReservationRequest:
    """What a decode needs at its engine.

    :param tokens: tokens of KV cache, for the prompt and the answer
    :param hold_ms: how long it is to be reserved
    :param is_required: whether the decode may not begin without it, also
        where the engine does not answer
    """

    __slots__ = ("tokens", "hold_ms", "is_required")

    def __init__(
        self, tokens: int, hold_ms: int, is_required: bool = False
    ) -> None:
        self.tokens = tokens
        self.hold_ms = hold_ms
        self.is_required = is_required


class Engine(abc.ABC):
    """One model engine, in the role of prefill or decode."""

    # Where it listens, as ``host:port``.
    address: str
    # Whether a decode without a prefill's result makes the engine read the
    # prompt itself, more slowly.
    supports_chunked_prefill: bool = False
    # Whether a caller's request counts as run once its prompt was read.
    counts_prefill_as_run: bool = True

    @abc.abstractmethod
    def prefill(
        self, label: AttemptLabel, body: typing.Any, timeout_ms: int
    ) -> expression.Result[PrefillResult, errors.Fault]:
        """Compute a prompt's KV cache and keep it for export.

        :param label: names the attempt
        :param body: the caller's request, credentials removed: a JSON object,
            or a :class:`PassthroughRequest` where engines take requests as
            they came
        :param timeout_ms: the longest wait for the result
        :returns: the result, or a fault that says whether it ran
        """

    def prepare(
        self,
        label: AttemptLabel,
        reservation: ReservationRequest | None = None,
    ) -> expression.Result[None, errors.Fault]:
        """Make sure that a decode which comes soon finds the engine there.

        It is cheaper to learn that before a prompt is read than after it.

        :param label: names the attempt
        :param reservation: what to reserve; none for nothing
        :returns: nothing, or a fault: nothing of the request was sent.  Its
            step is ``RESERVE`` where the engine has no room.
        """
        return expression.Ok(None)

    def release(self, label: AttemptLabel) -> None:
        """Let go of what was prepared for a decode that does not come.

        :param label: names the attempt
        """
        return

    @abc.abstractmethod
    def decode(
        self,
        label: AttemptLabel,
        body: typing.Any,
        transfer: dict[str, typing.Any],
        offset: int,
        timeout_ms: int,
    ) -> expression.Result[TokenStream, errors.Fault]:
        """Import a KV cache and begin to generate.

        :param label: names the attempt
        :param body: the caller's request, credentials removed: a JSON object,
            or a :class:`PassthroughRequest` where engines take requests as
            they came
        :param transfer: what the prefill returned
        :param offset: how many tokens the caller has already; 0 at first
        :param timeout_ms: the longest wait for the reply's head
        :returns: the stream, or a fault that says whether it ran
        """

    @abc.abstractmethod
    def cancel(
        self, label: AttemptLabel
    ) -> expression.Result[bool, errors.Fault]:
        """Free what the engine holds for an attempt; idempotent.

        :param label: names the attempt
        :returns: whether anything was held, or a fault
        """

    @abc.abstractmethod
    def list_in_flight(
        self,
    ) -> expression.Result[list[InFlightRequest], errors.Fault]:
        """Return every request for which the engine holds memory."""

    @abc.abstractmethod
    def report_load(self) -> expression.Result[EngineLoad, errors.Fault]:
        """Return the engine's own, lagging, load report."""

    @abc.abstractmethod
    def read_cache_events(
        self, after: int
    ) -> expression.Result[list[CacheEvent], errors.Fault]:
        """Return cache events with a sequence above the given one.

        :param after: the last sequence seen
        :returns: events in order, possibly with gaps, or a fault
        """

    @abc.abstractmethod
    def give_order(
        self, order: Order
    ) -> expression.Result[None, errors.Fault]:
        """Tell the engine to load a model or to change its role.

        :param order: the order with its fencing number
        :returns: nothing, or a fault; ``UPSTREAM_REFUSED`` if fenced off
        """


class ServiceReply:
    """The whole reply of a plain service.

    :param status: the HTTP status
    :param headers: header pairs without hop-by-hop headers
    :param body: the whole body
    """

    __slots__ = ("status", "headers", "body")

    def __init__(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class UpstreamService(abc.ABC):
    """One server of a plain service that stands beside the engines."""

    @abc.abstractmethod
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
    ) -> expression.Result[ServiceReply, errors.Fault]:
        """Pass one call on, exactly once.

        :param request_id: the id that the reply must echo
        :param method: the HTTP method
        :param target: path and query, credentials removed
        :param headers: headers, credentials and hop-by-hop ones removed
        :param body: the whole body
        :param timeout_ms: the longest wait for the whole reply
        :param is_idempotent: whether it may run a second time, should this
            call's outcome stay unknown
        :param interrupt: ends the call from another thread
        :returns: the reply, or a fault that says whether it ran
        """

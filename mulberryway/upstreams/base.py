"""Interfaces of model engines and plain services, and their data types."""

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
    """Identifies one attempt and the VM and incarnation that started it.

    Engines report it with the memory that they hold for the attempt.

    :param request_id: unique for each attempt; the engine echoes it
    :param vm: the VM that handles the request
    :param incarnation: the incarnation of that VM's router
    :param traceparent: the W3C trace context of the hop; empty for none
    :param urgency: the request's rank, 0 to 9, for engines that order their
        requests by it; none if all have the same
    """

    __slots__ = (
        "request_id",
        "vm",
        "incarnation",
        "traceparent",
        "urgency",
    )

    def __init__(
        self,
        request_id: str,
        vm: str,
        incarnation: int,
        traceparent: str = "",
        urgency: int | None = None,
    ) -> None:
        self.urgency = urgency
        self.request_id = request_id
        self.vm = vm
        self.incarnation = incarnation
        self.traceparent = traceparent


class PassthroughRequest:
    """A caller's request that is forwarded to upstreams unchanged.

    :param method: the HTTP method
    :param target: path and query
    :param headers: header pairs, without credentials and hop-by-hop headers
    :param body: the complete body
    :param attempt_id: the caller's own id of this attempt; upstreams echo it
    :param account: the client account's name; empty for no account
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
    """The result of a prefill, which expires in less than a second.

    :param transfer: parameters with which the decode engine imports the KV
        cache, forwarded unchanged
    :param prompt_tokens: the prompt's length in tokens, counted by the engine
    :param cached_tokens: number of these tokens found in the prefix cache
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
    """A decode whose response head was received, and its raw socket.

    :param connection: the socket; owned by the receiver of this object
    :param buffered: bytes of the body that were read together with the head
    :param is_chunked: whether the body uses chunked transfer coding
    :param request_id: the id that the engine echoed
    :param length: the body's length in bytes, if the engine sent it
    :param headers: header pairs that are forwarded to the caller
    """

    __slots__ = (
        "connection",
        "buffered",
        "is_chunked",
        "request_id",
        "length",
        "headers",
    )

    def __init__(
        self,
        connection: socket.socket,
        buffered: bytes,
        is_chunked: bool,
        request_id: str,
        length: int | None = None,
        headers: collections.abc.Sequence[tuple[str, str]] = (),
    ) -> None:
        self.connection = connection
        self.buffered = buffered
        self.is_chunked = is_chunked
        self.request_id = request_id
        self.length = length
        self.headers = headers


class EngineLoad:
    """An engine's load report, which always lags behind the actual load.

    :param running: number of requests in the batch
    :param waiting: number of requests in the engine's queue
    :param slots: maximum number of requests in the batch
    :param free_blocks: number of free KV cache blocks
    :param total_blocks: total number of KV cache blocks
    :param models: names of the loaded models
    :param orders: number of orders accepted since the engine's start; none if
        the engine does not report it
    :param is_executing_order: whether the engine is carrying out an order
    :param role: the engine's role; empty if it does not report it
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
    """KV cache blocks that an engine stored or evicted.

    :param sequence: increases by one; a gap means that events were lost
    :param stored: hashes of the prefix blocks added to the cache
    :param removed: hashes of the evicted prefix blocks
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

    :param label: identifies the attempt
    :param phase: ``queued``, ``prefill``, ``transfer`` or ``decode``
    :param blocks: number of KV cache blocks allocated
    """

    __slots__ = ("label", "phase", "blocks")

    def __init__(self, label: AttemptLabel, phase: str, blocks: int) -> None:
        self.label = label
        self.phase = phase
        self.blocks = blocks


class Order:
    """An order to an engine to load or unload a model or to change its role.

    :param verb: ``load``, ``unload`` or ``role``
    :param argument: the model's name, or the role
    :param fencing: fencing number, which increases with each new leader; some
        engines reject an order with an older one, others ignore the number
    :param holder: the VM that sends the order
    :param expected: number of orders that the engine must have accepted
        before; none for any number
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
    """KV cache capacity to reserve at a decode engine.

    :param tokens: KV cache capacity for the prompt and the answer, in tokens
    :param hold_ms: duration of the reservation, in ms
    :param is_required: whether the decode must not start without a
        reservation, even if the engine does not respond
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

    # The engine's ``host:port``.
    address: str
    # Whether the engine prefills the prompt itself, more slowly, if a decode
    # arrives without a prefill result.
    supports_chunked_prefill: bool = False
    # Whether a request counts as executed once its prompt was prefilled.
    counts_prefill_as_run: bool = True

    @abc.abstractmethod
    def prefill(
        self, label: AttemptLabel, body: typing.Any, timeout_ms: int
    ) -> expression.Result[PrefillResult, errors.Fault]:
        """Compute a prompt's KV cache and retain it for export.

        :param label: identifies the attempt
        :param body: the caller's request without credentials: a JSON object,
            or a :class:`PassthroughRequest` for engines that accept requests
            unchanged
        :param timeout_ms: timeout of the result, in ms
        :returns: the result, or a fault with the execution status
        """

    def prepare_decode(
        self,
        label: AttemptLabel,
        reservation: ReservationRequest | None = None,
    ) -> expression.Result[errors.Fault | None, errors.Fault]:
        """Connect to the engine and reserve capacity for a later decode.

        An unreachable or full engine is thus detected before a prefill
        is wasted on the prompt.

        :param label: identifies the attempt
        :param reservation: the capacity to reserve; none to connect only
        :returns: nothing, or why the engine's capacity is unknown, in which
            case the decode may be sent; or a fault, in which case no part of
            the request was sent; its step is ``RESERVE`` if the engine lacks
            capacity
        """
        return expression.Ok(None)

    def release(self, label: AttemptLabel) -> None:
        """Release what was prepared for a decode that is not sent.

        :param label: identifies the attempt
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
        """Import a KV cache and start to generate tokens.

        :param label: identifies the attempt
        :param body: the caller's request without credentials: a JSON object,
            or a :class:`PassthroughRequest` for engines that accept requests
            unchanged
        :param transfer: the transfer parameters that the prefill returned
        :param offset: number of tokens that the caller already has
        :param timeout_ms: timeout of the response head, in ms
        :returns: the stream, or a fault with the execution status
        """

    @abc.abstractmethod
    def cancel(
        self, label: AttemptLabel
    ) -> expression.Result[bool, errors.Fault]:
        """Cancel an attempt and free its memory; idempotent.

        :param label: identifies the attempt
        :returns: whether the engine held memory for it, or a fault
        """

    def interrupt(self, label: AttemptLabel) -> None:
        """End this VM's call for an attempt, if it waits; must not block.

        Without it a call waits until the engine reacts to ``cancel``.

        :param label: identifies the attempt
        """
        return

    @abc.abstractmethod
    def list_in_flight(
        self,
    ) -> expression.Result[list[InFlightRequest], errors.Fault]:
        """Return every request for which the engine holds memory."""

    @abc.abstractmethod
    def report_load(self) -> expression.Result[EngineLoad, errors.Fault]:
        """Return the engine's own load report, which may be outdated."""

    @abc.abstractmethod
    def read_cache_events(
        self, after: int
    ) -> expression.Result[list[CacheEvent], errors.Fault]:
        """Return the cache events after a sequence number.

        :param after: the last sequence number received
        :returns: events in order, possibly with gaps, or a fault
        """

    @abc.abstractmethod
    def send_order(
        self, order: Order
    ) -> expression.Result[None, errors.Fault]:
        """Send an order to load or unload a model or to change the role.

        :param order: the order with its fencing number
        :returns: nothing, or a fault; ``UPSTREAM_REFUSED`` if the fencing
            number is outdated
        """


class ServiceReply:
    """The complete reply of a plain service.

    :param status: the HTTP status
    :param headers: header pairs without hop-by-hop headers
    :param body: the complete body
    :param arrival: how it arrived, as fields of a log line
    """

    __slots__ = ("status", "headers", "body", "arrival")

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        arrival: dict[str, int | float | str] | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.arrival = arrival or {}


class UpstreamService(abc.ABC):
    """One server of a plain service, which runs no model."""

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
        canceller: connections.CallCanceller | None = None,
    ) -> expression.Result[ServiceReply, errors.Fault]:
        """Forward one call without retries.

        :param request_id: the id that the reply must echo
        :param method: the HTTP method
        :param target: path and query without credentials
        :param headers: headers without credentials and hop-by-hop headers
        :param body: the complete body
        :param timeout_ms: timeout of the complete reply, in ms
        :param is_idempotent: whether the call may be executed again if its
            outcome is unknown
        :param canceller: cancels the call from another thread
        :returns: the reply, or a fault with the execution status
        """

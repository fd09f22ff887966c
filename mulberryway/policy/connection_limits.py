"""Decides how many connections a VM accepts, and which it closes for others.

Callers that send nothing, or only a part of a request, give way to others when
descriptors or memory are used up.
"""

import collections.abc
import enum
import math
import typing

__all__ = [
    "ConnectionState",
    "Phase",
    "choose_for_connection",
    "choose_for_memory",
    "compute_max_connections",
    "compute_max_side_connections",
]

BYTES_IN_MB = 1_000_000
# What a connection takes: its objects, and what the kernel has received.
CONNECTION_BYTES = 40_960
# Connections together get this part of the memory that is free at rest, and
# this part of the descriptors; the rest is for upstreams, VMs and the store.
MEMORY_DIVISOR = 4
DESCRIPTORS_DIVISOR = 2
SIDE_DIVISOR = 8
MIN_CONNECTIONS = 16
# A request that has begun later may only be on its way.
MIN_AGE_MS = 1_000
# The shortest time over which a rate is measured.
MEASUREMENT_MS = 900
# A request that arrives more slowly than this gives way to others.
SLOW_BYTES_PER_MS = 64


class Phase(enum.IntEnum):
    """What a connection does; of one that is busy nothing is read."""

    LINGERING = 0
    RECEIVING = 1
    IDLE = 2
    BUSY = 3


class ConnectionState:
    """A connection whose caller may be slow.

    :param key: identifies it
    :param phase: what it does
    :param since_ms: when that began, in ms
    :param held_bytes: what is counted for its request
    """

    __slots__ = (
        "key",
        "phase",
        "since_ms",
        "held_bytes",
        "rate",
        "_checked_ms",
        "_checked_bytes",
    )

    def __init__(
        self,
        key: typing.Any,
        phase: Phase,
        since_ms: int,
        held_bytes: int = 0,
    ) -> None:
        self.key = key
        self.phase = phase
        self.since_ms = since_ms
        self.held_bytes = held_bytes
        # How fast its request arrives, in bytes per ms; none if unknown.
        self.rate: float | None = None
        self._checked_ms = since_ms
        self._checked_bytes = 0

    def enter(self, phase: Phase, now_ms: int) -> None:
        """Begin another phase.

        :param phase: the phase
        :param now_ms: the current time in ms
        """
        self.phase = phase
        self.since_ms = self._checked_ms = now_ms
        self._checked_bytes = 0
        self.rate = None

    def measure(self, received_bytes: int, now_ms: int) -> None:
        """Measure how fast the request arrives, since the last measurement.

        The average since its beginning would hide for long that a caller has
        stopped just short of the end.

        :param received_bytes: what has arrived of the request
        :param now_ms: the current time in ms
        """
        duration_ms = now_ms - self._checked_ms
        if duration_ms >= MEASUREMENT_MS:
            self.rate = (received_bytes - self._checked_bytes) / duration_ms
            self._checked_ms = now_ms
            self._checked_bytes = received_bytes


def compute_max_connections(
    descriptors: int, memory_mb: int, rest_bytes: int
) -> int:
    """Return how many connections of callers a VM accepts.

    :param descriptors: the number of descriptors that it may open
    :param memory_mb: its memory in MB; 0 if unknown
    :param rest_bytes: what it uses at rest, in bytes
    """
    limit = descriptors // DESCRIPTORS_DIVISOR
    if memory_mb > 0:
        free_bytes = max(memory_mb * BYTES_IN_MB - rest_bytes, 0)
        by_memory = free_bytes // MEMORY_DIVISOR // CONNECTION_BYTES
        limit = min(limit, by_memory)
    return max(limit, MIN_CONNECTIONS)


def compute_max_side_connections(max_connections: int) -> int:
    """Return how many connections each port for other purposes accepts.

    :param max_connections: the limit of the port for requests
    """
    return max(max_connections // SIDE_DIVISOR, MIN_CONNECTIONS)


def choose_for_connection(
    states: collections.abc.Iterable[ConnectionState], now_ms: int
) -> ConnectionState | None:
    """Return the connection to close for a new one.

    One whose answer was sent goes first, then the oldest request that is
    incomplete, then the connection that was idle for longest.

    :param states: the open connections
    :param now_ms: the current time in ms
    :returns: none if all are busy
    """
    return min(
        (state for state in states if state.phase is not Phase.BUSY),
        key=lambda state: (_is_recent(state, now_ms), *_get_order(state)),
        default=None,
    )


def choose_for_memory(
    states: collections.abc.Iterable[ConnectionState],
    asking: ConnectionState,
    is_small: bool,
) -> ConnectionState | None:
    """Return the connection whose incomplete request makes room.

    The one that arrives at the lowest rate goes first.  A small request
    displaces any that began earlier.  A large one displaces only those that
    are known to arrive slowly: sound ones that arrive together would displace
    one another, and none would become complete.

    :param states: the open connections
    :param asking: the connection whose request needs room
    :param is_small: whether that request is small
    :returns: none if no request may be given up for it
    """
    return min(
        (
            state
            for state in states
            if state.phase is Phase.RECEIVING
            and state is not asking
            and state.held_bytes
            and state.since_ms <= asking.since_ms
            and (is_small or _get_rate(state) < SLOW_BYTES_PER_MS)
        ),
        key=lambda state: (_get_rate(state), state.since_ms),
        default=None,
    )


def _get_rate(state: ConnectionState) -> float:
    return math.inf if state.rate is None else state.rate


def _is_recent(state: ConnectionState, now_ms: int) -> bool:
    return (
        state.phase is Phase.RECEIVING and now_ms - state.since_ms < MIN_AGE_MS
    )


def _get_order(state: ConnectionState) -> tuple[int, int]:
    return state.phase, state.since_ms

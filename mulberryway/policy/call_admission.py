"""Decides which calls get a place in the queues of plain servers."""

import collections
import collections.abc
import math

from mulberryway.policy import call_spread

__all__ = [
    "CallNeeds",
    "RankMix",
    "Traffic",
    "compute_fraction",
    "compute_retry_ms",
]

# Older news may show a queue that is gone.
MAX_NEWS_AGE_MS = 1_000
# Below this part of the places taken there is free room.
FREE_FRACTION = 0.5
# The queue is held at this part of its bound: the number of calls varies.
QUEUE_FRACTION = 0.5
# Part of the difference to the bound that is corrected within one interval.
# The news of its effect arrives an interval later.
CORRECTION = 0.5
# A rank keeps this part of what all ranks get.
MIN_RANK_FRACTION = 0.3
# The mix of ranks is learnt from about this many calls.
MIX_CALLS = 100.0
MAX_RETRY_MS = 5_000


class CallNeeds:
    """What the caller of one call can use.

    :param target_ms: time left until the target of the route, in
        milliseconds; none if it has no target or the target has passed
    :param deadline_ms: time left until the deadline, in milliseconds
    :param rank: the rank of the call; 0 is the highest
    :param key: spreads what is chosen at random; the request's id
    """

    __slots__ = ("target_ms", "deadline_ms", "rank", "key")

    def __init__(
        self, target_ms: float | None, deadline_ms: float, rank: int, key: str
    ) -> None:
        self.target_ms = target_ms
        self.deadline_ms = deadline_ms
        self.rank = rank
        self.key = key


class RankMix:
    """The part of each rank in a pool's calls."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: collections.Counter[int] = collections.Counter()

    def record(self, rank: int) -> None:
        """Count a call.

        :param rank: its rank
        """
        self._counts[rank] += 1
        if self._counts.total() > MIX_CALLS:
            for known in self._counts:
                self._counts[known] /= 2

    def compute_part(self, rank: int, overall: float) -> float:
        """Return the part of a rank's calls that is admitted.

        :param rank: the rank
        :param overall: the part of all calls that may be admitted
        """
        total = self._counts.total()
        if not total or overall >= 1.0:
            return overall
        reserved = MIN_RANK_FRACTION * overall
        # Higher ranks use what lower ones do not keep.
        higher = sum(
            count for known, count in self._counts.items() if known < rank
        )
        lower = sum(
            count for known, count in self._counts.items() if known > rank
        )
        left = overall * total - higher - reserved * lower
        own = max(self._counts[rank], 1.0)
        return min(max(left / own, reserved), 1.0)


class Traffic:
    """The calls of all VMs to a pool, and how old the news of them are.

    :param demand_per_ms: calls per millisecond, with those refused
    :param sent_per_ms: calls per millisecond that were sent to servers
    :param interval_ms: the interval between two reports of a VM, in
        milliseconds
    """

    __slots__ = ("demand_per_ms", "sent_per_ms", "interval_ms")

    def __init__(
        self, demand_per_ms: float, sent_per_ms: float, interval_ms: float
    ) -> None:
        self.demand_per_ms = demand_per_ms
        self.sent_per_ms = sent_per_ms
        self.interval_ms = interval_ms

    @property
    def horizon_ms(self) -> float:
        """Time until all VMs know what each of them has done."""
        return 2.0 * self.interval_ms

    @property
    def calls(self) -> float:
        """Calls that will be asked within the horizon."""
        return self.demand_per_ms * self.horizon_ms


def compute_fraction(
    servers: collections.abc.Sequence[call_spread.ServerState],
    needs: CallNeeds,
    traffic: Traffic,
) -> float:
    """Return the part of the calls that the servers can serve in time.

    :param servers: the servers; not empty
    :param needs: what the caller can use
    :param traffic: the calls of all VMs
    :returns: 1 if all may be admitted; 0 if this one cannot be served
    """
    in_flight = sum(server.in_flight for server in servers)
    places = sum(server.concurrency for server in servers)
    if in_flight < FREE_FRACTION * places:
        return 1.0
    if min(map(_compute_completion_ms, servers)) > needs.deadline_ms:
        return 0.0
    calls_per_ms = sum(server.calls_per_ms for server in servers)
    # The counts are half an interval old on average.
    grown = (traffic.sent_per_ms - calls_per_ms) * traffic.interval_ms / 2.0
    room = sum(_compute_bound(server, needs) for server in servers)
    room -= in_flight + grown
    bearable = calls_per_ms * traffic.horizon_ms + CORRECTION * room
    return min(max(bearable, 0.0) / max(traffic.calls, 1.0), 1.0)


def compute_retry_ms(
    servers: collections.abc.Sequence[call_spread.ServerState],
    fraction: float,
    traffic: Traffic,
    draw: float,
) -> int:
    """Return when a refused call may come back, in milliseconds.

    :param servers: the servers; not empty
    :param fraction: the part of the calls that is admitted
    :param traffic: the calls of all VMs
    :param draw: spreads the callers; at least 0 and below 1
    """
    waiting = sum(
        max(server.in_flight - server.concurrency, 0.0) for server in servers
    )
    drain_ms = waiting / sum(server.calls_per_ms for server in servers)
    excess = 1.0 / max(fraction, MIN_RANK_FRACTION)
    delay_ms = (drain_ms + traffic.horizon_ms) * excess * (0.5 + draw)
    return min(math.ceil(delay_ms), MAX_RETRY_MS)


def _compute_completion_ms(server: call_spread.ServerState) -> float:
    waiting = max(server.in_flight + 1 - server.concurrency, 0.0)
    return server.service_ms + waiting / server.calls_per_ms


def _compute_bound(server: call_spread.ServerState, needs: CallNeeds) -> float:
    """Return the calls at a server with which it meets the caller's time."""
    usable_ms = needs.target_ms
    if usable_ms is None or usable_ms < server.service_ms:
        usable_ms = needs.deadline_ms
    queue = (usable_ms - server.service_ms) * server.calls_per_ms
    return server.concurrency + QUEUE_FRACTION * max(queue, 0.0)

"""Holds the fair queue's waiting jobs by client account and lane."""

import collections
import collections.abc
import enum
import itertools

from mulberryway.policy import jobs

__all__ = ["AccountState", "QueueEntry", "Lane"]


# Number of a lane's entries that are searched for one that can meet its
# target.  Targets are below one second, and an account sends no more requests
# to one router within a second.
MAX_LANE_SCAN = 64


class Lane(enum.IntEnum):
    """Separates jobs of one account that may overtake each other.

    A long prompt that waits for free prefill capacity must not block the
    account's short ones, a crash suspect waits for an engine without another
    suspect, and the rest of a stream for an engine of one software version.
    """

    SHORT = 0
    LONG = 1
    SUSPECT = 2
    RESUMED = 3


class QueueEntry:
    """A waiting job with its costs and its latest start.

    :param job: the job
    :param lane: the lane within which it keeps its order
    :param cost: estimated charge in tokens
    :param latest_start_ms: latest time to start and meet the deadline
    :param prefill_ms: estimated uncontended duration of its prefill
    """

    __slots__ = ("job", "lane", "cost", "latest_start_ms", "prefill_ms")

    def __init__(
        self,
        job: jobs.Job,
        lane: Lane,
        cost: float,
        latest_start_ms: int,
        prefill_ms: float = 0.0,
    ) -> None:
        self.job = job
        self.lane = lane
        self.cost = cost
        self.latest_start_ms = latest_start_ms
        self.prefill_ms = prefill_ms

    def is_late(self, now_ms: int) -> bool:
        """Return whether a start now would miss the first token target.

        :param now_ms: current time in milliseconds
        :returns: whether it would; false for jobs without a target
        """
        target_ms = self.job.first_token_target_ms
        return bool(target_ms) and now_ms + self.prefill_ms > target_ms


class AccountState:
    """One client account's virtual start and waiting jobs."""

    __slots__ = (
        "name",
        "weight",
        "virtual_start",
        "lanes",
        "waiting",
        "bytes",
    )

    def __init__(self, name: str, weight: int, virtual_start: float) -> None:
        self.name = name
        self.weight = max(weight, 1)
        self.virtual_start = virtual_start
        self.lanes: tuple[collections.OrderedDict[str, QueueEntry], ...] = (
            tuple(collections.OrderedDict() for _ in Lane)
        )
        self.waiting = 0
        self.bytes = 0

    def list_heads(self, now_ms: int | None = None) -> list[QueueEntry]:
        """Return each lane's next entry, oldest first.

        In strict order of age, every response of a burst would miss its
        target.  So a lane's oldest entry that can still meet its target goes
        first, and the others use the remaining capacity.

        :param now_ms: current time in milliseconds; none to take the oldest
            entry of each lane
        :returns: at most one entry per lane, and one per software version of
            the lane for resumed streams
        """
        lanes = [
            *(lane.values() for lane in self.lanes[: Lane.RESUMED] if lane),
            *_group_by_version(self.lanes[Lane.RESUMED].values()),
        ]
        heads = [
            next(
                (
                    entry
                    for entry in itertools.islice(lane, MAX_LANE_SCAN)
                    if now_ms is not None and not entry.is_late(now_ms)
                ),
                next(iter(lane)),
            )
            for lane in lanes
        ]
        heads.sort(key=lambda entry: entry.job.arrived_ms)
        return heads


def _group_by_version(
    lane: collections.abc.Iterable[QueueEntry],
) -> collections.abc.Collection[list[QueueEntry]]:
    """Return a lane's first entries by the software version they require."""
    groups: dict[str | None, list[QueueEntry]] = {}
    for entry in itertools.islice(lane, MAX_LANE_SCAN):
        groups.setdefault(entry.job.required_version, []).append(entry)
    return groups.values()

"""Holds the fair queue's waiting jobs by client account, rank and lane."""

import collections
import collections.abc
import enum
import itertools

import sortedcontainers

from mulberryway.policy import jobs

__all__ = ["AccountState", "QueueEntry", "Lane", "RankState"]


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
    :param rank: its queue rank, see ``policy.ranks``; 0 goes first
    """

    __slots__ = (
        "job",
        "lane",
        "cost",
        "latest_start_ms",
        "prefill_ms",
        "rank",
    )

    def __init__(
        self,
        job: jobs.Job,
        lane: Lane,
        cost: float,
        latest_start_ms: int,
        prefill_ms: float = 0.0,
        rank: int = 0,
    ) -> None:
        self.rank = rank
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


Lanes = tuple[collections.OrderedDict[str, QueueEntry], ...]


class RankState:
    """The waiting jobs of one queue rank.

    ``order`` holds the virtual starts and names of the accounts with such
    jobs, ``weight`` the sum of their weights, ``cost`` the jobs' cost in
    tokens and ``versions`` their number by required software version.
    """

    __slots__ = ("entries", "order", "weight", "cost", "versions")

    def __init__(self) -> None:
        # In order of arrival.
        self.entries: dict[str, QueueEntry] = {}
        self.order = sortedcontainers.SortedList()
        self.weight = 0
        self.cost = 0.0
        self.versions: collections.Counter[str | None] = collections.Counter()

    def add(self, entry: QueueEntry) -> None:
        """Add a job.

        :param entry: the job's entry
        """
        self.entries[entry.job.job_id] = entry
        self.cost += entry.cost
        self.versions[entry.job.required_version] += 1

    def remove(self, entry: QueueEntry) -> None:
        """Remove a job.

        :param entry: the job's entry
        """
        del self.entries[entry.job.job_id]
        self.cost -= entry.cost
        version = entry.job.required_version
        self.versions[version] -= 1
        if not self.versions[version]:
            del self.versions[version]

    def find_oldest(self) -> QueueEntry | None:
        """Return the oldest job that waits for any engine; none if empty.

        Suspects and resumed streams may wait for reasons of their own.
        """
        return next(
            (
                entry
                for entry in itertools.islice(
                    self.entries.values(), MAX_LANE_SCAN
                )
                if entry.lane in (Lane.SHORT, Lane.LONG)
            ),
            None,
        )


class AccountState:
    """One client account's virtual start and waiting jobs."""

    __slots__ = (
        "name",
        "weight",
        "virtual_start",
        "lanes",
        "lower_lanes",
        "waiting",
        "bytes",
    )

    def __init__(self, name: str, weight: int, virtual_start: float) -> None:
        self.name = name
        self.weight = max(weight, 1)
        self.virtual_start = virtual_start
        self.lanes = _make_lanes()
        # The lanes of queue ranks below the highest; most accounts have none.
        self.lower_lanes: dict[int, Lanes] = {}
        self.waiting = 0
        self.bytes = 0

    def get_lanes(self, rank: int) -> Lanes:
        """Return the lanes of a queue rank.

        :param rank: the queue rank
        """
        if not rank:
            return self.lanes
        lanes = self.lower_lanes.get(rank)
        if lanes is None:
            lanes = self.lower_lanes[rank] = _make_lanes()
        return lanes

    def has_waiting(self, rank: int) -> bool:
        """Return whether jobs of a queue rank wait.

        :param rank: the queue rank
        """
        return any(self.get_lanes(rank))

    def list_ranks(self) -> list[int]:
        """Return the queue ranks of the waiting jobs."""
        return [
            rank for rank in (0, *self.lower_lanes) if self.has_waiting(rank)
        ]

    def list_heads(
        self, now_ms: int | None = None, rank: int | None = None
    ) -> list[QueueEntry]:
        """Return each lane's next entry, oldest first.

        In strict order of age, every response of a burst would miss its
        target.  So a lane's oldest entry that can still meet its target goes
        first, and the others use the remaining capacity.

        :param now_ms: current time in milliseconds; none to take the oldest
            entry of each lane
        :param rank: the queue rank; none for all
        :returns: at most one entry per rank and lane, and one per software
            version of the lane for resumed streams
        """
        ranks = self.list_ranks() if rank is None else [rank]
        lanes = [
            lane
            for rank_lanes in map(self.get_lanes, ranks)
            for lane in _list_filled(rank_lanes)
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


def _make_lanes() -> Lanes:
    return tuple(collections.OrderedDict() for _ in Lane)


def _list_filled(
    lanes: Lanes,
) -> list[collections.abc.Iterable[QueueEntry]]:
    """Return the entries of each lane that has some."""
    return [
        *(lane.values() for lane in lanes[: Lane.RESUMED] if lane),
        *_group_by_version(lanes[Lane.RESUMED].values()),
    ]


def _group_by_version(
    lane: collections.abc.Iterable[QueueEntry],
) -> collections.abc.Collection[list[QueueEntry]]:
    """Return a lane's first entries by the software version they require."""
    groups: dict[str | None, list[QueueEntry]] = {}
    for entry in itertools.islice(lane, MAX_LANE_SCAN):
        groups.setdefault(entry.job.required_version, []).append(entry)
    return groups.values()

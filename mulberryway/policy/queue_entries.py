"""What waits in the fair queue: jobs, by client account and lane."""

import collections
import enum
import itertools

from mulberryway.policy import jobs

__all__ = ["AccountState", "QueueEntry", "Lane"]


# Entries of a lane that are looked at for one that is on time: in one second,
# which is more than targets are, an account brings no more to one router.
MAX_LANE_SCAN = 64


class Lane(enum.IntEnum):
    """Jobs of an account that may overtake one another.

    A long prompt which has to wait for room in the prefill engines must not
    hold up the account's short ones, and a suspect of a crash waits for an
    engine without another suspect.
    """

    SHORT = 0
    LONG = 1
    SUSPECT = 2


class QueueEntry:
    """A waiting job.

    :param job: the job
    :param lane: which others of its account it may not overtake
    :param cost: what it is charged, in tokens
    :param latest_start_ms: when it has to start so as to be in time
    :param prefill_ms: how long its prefill takes by itself
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
        """Tell whether a start now would bring the first token too late.

        :param now_ms: the present
        :returns: false also for jobs without a target
        """
        target_ms = self.job.first_token_target_ms
        return bool(target_ms) and now_ms + self.prefill_ms > target_ms


class AccountState:
    """What one client account was given, and what of it waits."""

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
        """Return the entry of each lane whose turn is next, oldest first.

        By age alone every answer of a burst would come late.  So the oldest
        that can still be on time goes first, and those that cannot any more
        have what is left.

        :param now_ms: the present; none for the oldest of each lane
        :returns: at most one entry of each lane
        """
        heads = [
            next(
                (
                    entry
                    for entry in itertools.islice(lane.values(), MAX_LANE_SCAN)
                    if now_ms is not None and not entry.is_late(now_ms)
                ),
                next(iter(lane.values())),
            )
            for lane in self.lanes
            if lane
        ]
        heads.sort(key=lambda entry: entry.job.arrived_ms)
        return heads

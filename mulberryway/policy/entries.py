"""What waits in the fair queue: jobs, by client account and lane."""

import collections
import enum

from mulberryway.policy import messages

__all__ = ["AccountState", "Entry", "Lane"]


class Lane(enum.IntEnum):
    """Jobs of an account that may overtake one another.

    A long prompt which has to wait for room in the prefill engines must not
    hold up the account's short ones, and a suspect of a crash waits for an
    engine without another suspect.
    """

    SHORT = 0
    LONG = 1
    SUSPECT = 2


class Entry:
    """A waiting job.

    :param job: the job
    :param lane: which others of its account it may not overtake
    :param cost: what it is charged, in tokens
    :param latest_ms: when it has to start so as to be in time
    :param prefill_ms: how long its prefill takes by itself
    """

    __slots__ = ("job", "lane", "cost", "latest_ms", "prefill_ms")

    def __init__(
        self,
        job: messages.Job,
        lane: Lane,
        cost: float,
        latest_ms: int,
        prefill_ms: float = 0.0,
    ) -> None:
        self.job = job
        self.lane = lane
        self.cost = cost
        self.latest_ms = latest_ms
        self.prefill_ms = prefill_ms


class AccountState:
    """What one client account was given, and what of it waits."""

    __slots__ = ("name", "weight", "start", "lanes", "waiting", "bytes")

    def __init__(self, name: str, weight: int, start: float) -> None:
        self.name = name
        self.weight = max(weight, 1)
        self.start = start
        self.lanes: tuple[collections.OrderedDict[str, Entry], ...] = tuple(
            collections.OrderedDict() for _ in Lane
        )
        self.waiting = 0
        self.bytes = 0

    def list_heads(self) -> list[Entry]:
        """Return the oldest entry of each lane, oldest first."""
        heads = [next(iter(lane.values())) for lane in self.lanes if lane]
        heads.sort(key=lambda entry: entry.job.arrived_ms)
        return heads

"""Waiting jobs by queue rank, as reported by peers."""

from mulberryway.policy import hints
from mulberryway.policy import ranks

__all__ = ["PeerRanks", "is_valid"]

# A peer reports waiting jobs every 100 ms; a report is ignored after three
# times that.
WAITING_FRESH_MS = 300


class _Waiting:
    """The waiting jobs of one rank, as one peer last reported them."""

    __slots__ = ("jobs", "since_ms", "received_ms")

    def __init__(self, note: hints.RankNote, received_ms: int) -> None:
        self.jobs = note.waiting
        self.since_ms = received_ms - note.oldest_ms
        self.received_ms = received_ms

    def is_fresh(self, now_ms: int) -> bool:
        return now_ms - self.received_ms <= WAITING_FRESH_MS


class PeerRanks:
    """One pool's waiting jobs by queue rank at the other routers.

    A peer whose waiting jobs all have queue rank 0 reports no ranks.
    """

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: dict[str, dict[int, _Waiting]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no peer has reported ranks."""
        return not self._waiting

    def note(self, vm: str, note: hints.RankNote, now_ms: int) -> None:
        """Apply a peer's valid report on one rank.

        :param vm: the peer
        :param note: the report
        :param now_ms: current time in ms
        """
        waiting = self._waiting.setdefault(vm, {})
        if note.waiting:
            waiting[note.rank] = _Waiting(note, now_ms)
        else:
            waiting.pop(note.rank, None)
        if not waiting:
            del self._waiting[vm]

    def remove_peer(self, vm: str) -> None:
        """Remove the state of an unresponsive peer.

        :param vm: the peer
        """
        self._waiting.pop(vm, None)

    def has_report(self, vm: str, now_ms: int) -> bool:
        """Return whether a peer has reported ranks recently.

        :param vm: the peer
        :param now_ms: current time in ms
        """
        return any(
            waiting.is_fresh(now_ms)
            for waiting in self._waiting.get(vm, {}).values()
        )

    def count_at(self, vm: str, rank: int, now_ms: int) -> int:
        """Return the number of a peer's waiting jobs of one rank.

        :param vm: the peer
        :param rank: the queue rank
        :param now_ms: current time in ms
        """
        waiting = self._waiting.get(vm, {}).get(rank)
        if waiting is None or not waiting.is_fresh(now_ms):
            return 0
        return waiting.jobs

    def count_above(self, vm: str, rank: int, now_ms: int) -> int:
        """Return the number of a peer's waiting jobs of higher ranks.

        :param vm: the peer
        :param rank: the queue rank
        :param now_ms: current time in ms
        """
        return sum(
            waiting.jobs
            for number, waiting in self._waiting.get(vm, {}).items()
            if number < rank and waiting.is_fresh(now_ms)
        )

    def get_oldest_ms(self, rank: int, now_ms: int) -> int:
        """Return how long a peer's job of a rank or a higher one has waited.

        :param rank: the queue rank
        :param now_ms: current time in ms
        :returns: the longest time in ms; 0 if none is known to wait
        """
        since_ms = min(
            (
                waiting.since_ms
                for ranks_ in self._waiting.values()
                for number, waiting in ranks_.items()
                if number <= rank and waiting.is_fresh(now_ms)
            ),
            default=now_ms,
        )
        return max(now_ms - since_ms, 0)


def is_valid(note: hints.RankNote) -> bool:
    """Return whether a report of a peer can be used.

    :param note: the report
    """
    return (
        ranks.DEFAULT_RANK <= note.rank <= ranks.LOWEST_RANK
        and note.waiting >= 0
        and note.oldest_ms >= 0
    )

"""Keeps a few slots free for jobs of the highest rank under overload."""

__all__ = ["RankHeadroom"]

# Bounds the slots that lower ranks leave free, as a fraction of all.
MAX_FRACTION = 0.125
# Peers report their waiting jobs at this interval.
SAMPLE_MS = 100


class RankHeadroom:
    """Counts the slots that jobs of lower ranks have to leave free.

    A stream keeps its slot for seconds, so a slot that a lower rank takes in
    a lull is missing when the next jobs of the highest rank arrive.  As many
    slots stay free as such jobs have waited at a time during the time that a
    slot is held; none if none waited.
    """

    __slots__ = ("_peak", "_until_ms", "_sampled_ms")

    def __init__(self) -> None:
        self._peak = 0
        self._until_ms = 0
        self._sampled_ms = -SAMPLE_MS

    def is_sample_due(self, now_ms: int) -> bool:
        """Return whether waiting jobs should be counted again.

        :param now_ms: current time in ms
        """
        return now_ms - self._sampled_ms >= SAMPLE_MS

    def record_waiting(self, count: int, hold_ms: float, now_ms: int) -> None:
        """Record how many jobs of the highest rank wait in the pool.

        :param count: the number of jobs
        :param hold_ms: how long a stream holds its slot, in ms
        :param now_ms: current time in ms
        """
        self._sampled_ms = now_ms
        if count >= self._peak or now_ms >= self._until_ms:
            self._peak = count
            self._until_ms = now_ms + int(hold_ms)

    def get_slots(self, slots: int, now_ms: int) -> int:
        """Return how many slots lower ranks have to leave free.

        :param slots: the number of streams that the pool can run
        :param now_ms: current time in ms
        """
        if now_ms >= self._until_ms:
            return 0
        return min(self._peak, int(slots * MAX_FRACTION))

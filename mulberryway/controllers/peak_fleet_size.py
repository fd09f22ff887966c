"""How many VMs there were before a cut made the fleet look small."""

__all__ = ["PeakFleetSize"]

# A cut makes the fleet look small.  The most VMs of the last minutes count,
# so that both sides of a cut know that they are a part.
PEAK_MS = 600_000


class PeakFleetSize:
    """The most VMs that were alive at once in the last minutes."""

    __slots__ = ("_now", "_before", "_until_ms")

    def __init__(self) -> None:
        self._now = 1
        self._before = 1
        self._until_ms = 0

    @property
    def maximum(self) -> int:
        """The number, this VM included."""
        return max(self._now, self._before)

    def note(self, count: int, now_ms: int) -> None:
        """Take in how many are alive now.

        :param count: the number, this VM included
        :param now_ms: the present
        """
        if now_ms >= self._until_ms:
            self._until_ms = now_ms + PEAK_MS
            self._before, self._now = self._now, 1
        self._now = max(self._now, count)

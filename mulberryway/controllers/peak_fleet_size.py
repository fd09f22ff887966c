"""Tracks the largest recent fleet size, to recognise network partitions."""

__all__ = ["PeakFleetSize"]

# A partitioned VM sees a smaller fleet.  The largest size of the last minutes
# is used, so that both sides of a partition count the VMs of the other side.
PEAK_MS = 600_000


class PeakFleetSize:
    """Largest number of VMs that were alive at once in the last minutes."""

    __slots__ = ("_current", "_previous", "_until_ms")

    def __init__(self) -> None:
        self._current = 1
        self._previous = 1
        self._until_ms = 0

    @property
    def maximum(self) -> int:
        """The largest recent number of VMs, including this VM."""
        return max(self._current, self._previous)

    def note(self, count: int, now_ms: int) -> None:
        """Record the number of VMs that are alive now.

        :param count: number of VMs, including this VM
        :param now_ms: current time in ms
        """
        if now_ms >= self._until_ms:
            self._until_ms = now_ms + PEAK_MS
            self._previous, self._current = self._current, 1
        self._current = max(self._current, count)

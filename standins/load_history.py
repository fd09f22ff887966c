"""History of an engine's load, which allows delayed load reports."""

import collections

__all__ = ["LoadHistory", "LoadSnapshot"]

MAX_SNAPSHOTS = 4_096


class LoadSnapshot:
    """Load of an engine at one time.

    :param at_ms: time in ms
    :param running: number of requests that hold a slot of the batch
    :param waiting: number of queued and running prefills
    :param free_blocks: number of free KV cache blocks
    """

    __slots__ = ("at_ms", "running", "waiting", "free_blocks")

    def __init__(
        self, at_ms: float, running: int, waiting: int, free_blocks: int
    ) -> None:
        self.at_ms = at_ms
        self.running = running
        self.waiting = waiting
        self.free_blocks = free_blocks


class LoadHistory:
    """Load snapshots that reports may still need.

    :param total_blocks: free blocks before the first snapshot
    """

    def __init__(self, total_blocks: int) -> None:
        self._total_blocks = total_blocks
        self._snapshots: collections.deque[LoadSnapshot] = collections.deque(
            maxlen=MAX_SNAPSHOTS
        )

    def add(self, snapshot: LoadSnapshot) -> None:
        """Add a snapshot after a change of the load.

        :param snapshot: newest load
        """
        self._snapshots.append(snapshot)

    def read(self, seen_ms: float) -> LoadSnapshot:
        """Return the load at a time that must not decrease between calls.

        :param seen_ms: time in ms that the report is about
        :returns: newest snapshot that is not later than this time
        """
        while len(self._snapshots) > 1 and self._snapshots[1].at_ms <= seen_ms:
            self._snapshots.popleft()
        if self._snapshots and self._snapshots[0].at_ms <= seen_ms:
            return self._snapshots[0]
        return LoadSnapshot(seen_ms, 0, 0, self._total_blocks)

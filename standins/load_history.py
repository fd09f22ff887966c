"""An engine's load over time, so that its reports can lag."""

import collections

__all__ = ["LoadHistory", "LoadSnapshot"]

MOST_SNAPSHOTS = 4_096


class LoadSnapshot:
    """What an engine's load was at some time.

    :param at_ms: when
    :param running: requests that hold a slot of the batch
    :param waiting: prefills that are queued or under way
    :param free_blocks: KV cache blocks that were free
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
    """Keeps snapshots until they are older than any report.

    :param total_blocks: what was free before the first snapshot
    """

    def __init__(self, total_blocks: int) -> None:
        self._total_blocks = total_blocks
        self._snapshots: collections.deque[LoadSnapshot] = collections.deque(
            maxlen=MOST_SNAPSHOTS
        )

    def add(self, snapshot: LoadSnapshot) -> None:
        """Note the load after a change.

        :param snapshot: the newest load
        """
        self._snapshots.append(snapshot)

    def read(self, seen_ms: float) -> LoadSnapshot:
        """Return the load as it was; later calls must not ask for earlier.

        :param seen_ms: the time of the report
        :returns: the newest snapshot that is not younger
        """
        while len(self._snapshots) > 1 and self._snapshots[1].at_ms <= seen_ms:
            self._snapshots.popleft()
        if self._snapshots and self._snapshots[0].at_ms <= seen_ms:
            return self._snapshots[0]
        return LoadSnapshot(seen_ms, 0, 0, self._total_blocks)

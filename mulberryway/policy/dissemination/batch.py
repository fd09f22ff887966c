"""Batches the items that a relay forwards to its zone."""

__all__ = ["RelayBatch"]

# Minimum interval between batches; a single item is sent at once. Each batch
# costs every VM of the zone a wakeup, and each millisecond of delay makes all
# items older.
MERGE_MS = 20
# Heartbeats and other deferrable items wait this long for further items.
DEFER_MS = 100
# A batch fits one Ethernet frame, including headers and signature: a
# fragmented datagram is lost with any of its fragments.
MAX_BYTES = 1_300


class RelayBatch:
    """Items that wait for the next batch; bounded by ``MAX_BYTES``."""

    __slots__ = ("_items", "_bytes", "_sent_ms", "_due_ms")

    def __init__(self) -> None:
        self._items: list[bytes] = []
        self._bytes = 0
        self._sent_ms: int | None = None
        self._due_ms: int | None = None

    def add(
        self, items: list[bytes], now_ms: int, is_deferrable: bool = False
    ) -> list[list[bytes]]:
        """Add items, and return the batches that are due at once.

        :param items: the items
        :param now_ms: current time in ms
        :param is_deferrable: whether the items may wait for others
        :returns: full batches, and the last one if it is due
        """
        full = []
        for item in items:
            if self._items and self._bytes + len(item) > MAX_BYTES:
                full.append(self._drain(now_ms))
            self._items.append(item)
            self._bytes += len(item)
            self._update_due(now_ms, is_deferrable)
        return full + self.pop_due(now_ms)

    def pop_due(self, now_ms: int) -> list[list[bytes]]:
        """Return the batch if it is due.

        :param now_ms: current time in ms
        :returns: one batch or none
        """
        if self._due_ms is None or now_ms < self._due_ms:
            return []
        return [self._drain(now_ms)]

    def read_due_ms(self) -> int | None:
        """Return when the batch is due, in ms; none while it is empty."""
        return self._due_ms

    def _update_due(self, now_ms: int, is_deferrable: bool) -> None:
        if is_deferrable:
            due_ms = now_ms + DEFER_MS
        elif self._sent_ms is None:
            due_ms = now_ms
        else:
            due_ms = self._sent_ms + MERGE_MS
        if self._due_ms is None or due_ms < self._due_ms:
            self._due_ms = due_ms

    def _drain(self, now_ms: int) -> list[bytes]:
        items, self._items, self._bytes = self._items, [], 0
        self._sent_ms = now_ms
        self._due_ms = None
        return items

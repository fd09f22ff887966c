"""What a relay passes on to its zone, merged."""

__all__ = ["RelayBatch"]

# Batches are this far apart; a single item goes at once.  Each batch costs
# every VM of the zone a wakeup, each millisecond makes all items older.
MERGE_MS = 20
# Heartbeats and the like wait so long for others to go along with.
DEFER_MS = 100
# A batch fits one Ethernet frame, headers and signature included: of a
# datagram in fragments all is lost with any of them.
MOST_BYTES = 1_300


class RelayBatch:
    """Items that wait for the next batch; bounded by ``MOST_BYTES``."""

    __slots__ = ("_items", "_bytes", "_sent_ms", "_due_ms")

    def __init__(self) -> None:
        self._items: list[bytes] = []
        self._bytes = 0
        self._sent_ms: int | None = None
        self._due_ms: int | None = None

    def add(
        self, items: list[bytes], now_ms: int, is_deferrable: bool = False
    ) -> list[list[bytes]]:
        """Add items, and return the batches that have to go at once.

        :param items: the items
        :param now_ms: the present
        :param is_deferrable: whether they may wait for others
        :returns: full batches, and the last one if its time has come
        """
        full = []
        for item in items:
            if self._items and self._bytes + len(item) > MOST_BYTES:
                full.append(self._take(now_ms))
            self._items.append(item)
            self._bytes += len(item)
            self._note_due(now_ms, is_deferrable)
        return full + self.pop_due(now_ms)

    def pop_due(self, now_ms: int) -> list[list[bytes]]:
        """Return the batch if its time has come.

        :param now_ms: the present
        :returns: one batch or none
        """
        if self._due_ms is None or now_ms < self._due_ms:
            return []
        return [self._take(now_ms)]

    def read_due_ms(self) -> int | None:
        """Return when the batch has to go; none while it is empty."""
        return self._due_ms

    def _note_due(self, now_ms: int, is_deferrable: bool) -> None:
        if is_deferrable:
            due_ms = now_ms + DEFER_MS
        elif self._sent_ms is None:
            due_ms = now_ms
        else:
            due_ms = self._sent_ms + MERGE_MS
        if self._due_ms is None or due_ms < self._due_ms:
            self._due_ms = due_ms

    def _take(self, now_ms: int) -> list[bytes]:
        items, self._items, self._bytes = self._items, [], 0
        self._sent_ms = now_ms
        self._due_ms = None
        return items

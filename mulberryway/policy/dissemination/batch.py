"""What a relay passes on to its zone, merged."""

__all__ = ["RelayBatch"]

# Batches are this far apart; a single item goes at once.  Each batch costs
# every VM of the zone a wakeup, each millisecond makes all items older.
MERGE_MS = 20
# A batch fits one Ethernet frame, headers and signature included: of a
# datagram in fragments all is lost with any of them.
MOST_BYTES = 1_300


class RelayBatch:
    """Items that wait for the next batch; bounded by ``MOST_BYTES``."""

    __slots__ = ("_items", "_bytes", "_sent_ms")

    def __init__(self) -> None:
        self._items: list[bytes] = []
        self._bytes = 0
        self._sent_ms: int | None = None

    def add(self, items: list[bytes], now_ms: int) -> list[list[bytes]]:
        """Add items, and return the batches that have to go at once.

        :param items: the items
        :param now_ms: the present
        :returns: full batches, and the last one if its time has come
        """
        full = []
        for item in items:
            if self._items and self._bytes + len(item) > MOST_BYTES:
                full.append(self._take(now_ms))
            self._items.append(item)
            self._bytes += len(item)
        return full + self.take_due(now_ms)

    def take_due(self, now_ms: int) -> list[list[bytes]]:
        """Return the batch if its time has come.

        :param now_ms: the present
        :returns: one batch or none
        """
        due_ms = self.read_due_ms()
        if due_ms is None or now_ms < due_ms:
            return []
        return [self._take(now_ms)]

    def read_due_ms(self) -> int | None:
        """Return when the batch has to go; none while it is empty."""
        if not self._items:
            return None
        return 0 if self._sent_ms is None else self._sent_ms + MERGE_MS

    def _take(self, now_ms: int) -> list[bytes]:
        items, self._items, self._bytes = self._items, [], 0
        self._sent_ms = now_ms
        return items

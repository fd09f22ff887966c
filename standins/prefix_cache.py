"""The engine model's prefix cache and its late, incomplete events."""

import collections
import random

__all__ = ["CacheRecord", "PrefixCache"]

MOST_RECORDS = 4_096


class CacheRecord:
    """One published change of the cache.

    :param sequence: counts up by one; a lost record leaves a gap
    :param visible_ms: when readers see it
    :param stored: hashes of blocks now in the cache
    :param removed: hashes of blocks evicted
    """

    __slots__ = ("sequence", "visible_ms", "stored", "removed")

    def __init__(
        self,
        sequence: int,
        visible_ms: float,
        stored: tuple[str, ...],
        removed: tuple[str, ...],
    ) -> None:
        self.sequence = sequence
        self.visible_ms = visible_ms
        self.stored = stored
        self.removed = removed


class PrefixCache:
    """Blocks by hash, the least recently used evicted first.

    :param blocks: how many it holds
    :param lag_ms: how late its events are seen
    :param loss_fraction: the share of events that are lost
    :param random_: decides which are lost
    """

    def __init__(
        self,
        blocks: int,
        lag_ms: float,
        loss_fraction: float,
        random_: random.Random,
    ) -> None:
        self.blocks = blocks
        self.lag_ms = lag_ms
        self.loss_fraction = loss_fraction
        self._random = random_
        self._held: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._records: collections.deque[CacheRecord] = collections.deque(
            maxlen=MOST_RECORDS
        )
        self._sequence = 0

    def count_hits(self, hashes: tuple[str, ...]) -> int:
        """Return how many leading blocks are held, and mark them as used.

        :param hashes: the prompt's block hashes in order
        :returns: blocks
        """
        hits = 0
        for block in hashes:
            if block not in self._held:
                break
            self._held.move_to_end(block)
            hits += 1
        return hits

    def store(self, hashes: tuple[str, ...], now_ms: float) -> None:
        """Keep a prompt's blocks and publish the change.

        :param hashes: the prompt's block hashes in order
        :param now_ms: the present
        """
        stored = tuple(block for block in hashes if block not in self._held)
        for block in hashes:
            self._held[block] = None
            self._held.move_to_end(block)
        excess = max(len(self._held) - self.blocks, 0)
        removed = tuple(
            self._held.popitem(last=False)[0] for _ in range(excess)
        )
        if stored or removed:
            self._publish(stored, removed, now_ms)

    def clear(self, now_ms: float) -> None:
        """Drop everything, as a model's unloading does.

        :param now_ms: the present
        """
        removed = tuple(self._held)
        self._held.clear()
        if removed:
            self._publish((), removed, now_ms)

    def read_events(self, after: int, now_ms: float) -> list[CacheRecord]:
        """Return what readers see by now.

        :param after: the last sequence that the reader has
        :param now_ms: the present
        :returns: records in order
        """
        return [
            record
            for record in self._records
            if record.sequence > after and record.visible_ms <= now_ms
        ]

    def _publish(
        self,
        stored: tuple[str, ...],
        removed: tuple[str, ...],
        now_ms: float,
    ) -> None:
        self._sequence += 1
        if self._random.random() >= self.loss_fraction:
            self._records.append(
                CacheRecord(
                    self._sequence, now_ms + self.lag_ms, stored, removed
                )
            )

"""Prefix cache of the engine model, with delayed and incomplete events."""

import collections
import random

__all__ = ["CacheRecord", "PrefixCache"]

MAX_RECORDS = 4_096


class CacheRecord:
    """One published change of the cache.

    :param sequence: consecutive number; a lost record leaves a gap
    :param visible_ms: time in ms from which readers see it
    :param stored: hashes of the added blocks
    :param removed: hashes of the evicted blocks
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
    """LRU cache of blocks by hash.

    :param blocks: capacity in blocks
    :param lag_ms: delay in ms until readers see an event
    :param loss_fraction: fraction of events that are lost
    :param rng: random generator that selects the lost events
    """

    def __init__(
        self,
        blocks: int,
        lag_ms: float,
        loss_fraction: float,
        rng: random.Random,
    ) -> None:
        self.blocks = blocks
        self.lag_ms = lag_ms
        self.loss_fraction = loss_fraction
        self._rng = rng
        self._held: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._records: collections.deque[CacheRecord] = collections.deque(
            maxlen=MAX_RECORDS
        )
        self._sequence = 0

    def count_hits(self, hashes: tuple[str, ...]) -> int:
        """Return the number of leading cached blocks and mark them as used.

        :param hashes: block hashes of the prompt in order
        :returns: number of blocks
        """
        hits = 0
        for block in hashes:
            if block not in self._held:
                break
            self._held.move_to_end(block)
            hits += 1
        return hits

    def store(self, hashes: tuple[str, ...], now_ms: float) -> None:
        """Add a prompt's blocks and publish the change.

        :param hashes: block hashes of the prompt in order
        :param now_ms: current time in ms
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
        """Evict all blocks, for example when a model is unloaded.

        :param now_ms: current time in ms
        """
        removed = tuple(self._held)
        self._held.clear()
        if removed:
            self._publish((), removed, now_ms)

    def read_events(self, after: int, now_ms: float) -> list[CacheRecord]:
        """Return the visible records after a sequence number.

        :param after: last sequence number that the reader has
        :param now_ms: current time in ms
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
        if self._rng.random() >= self.loss_fraction:
            self._records.append(
                CacheRecord(
                    self._sequence, now_ms + self.lag_ms, stored, removed
                )
            )

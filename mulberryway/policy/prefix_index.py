"""Tracks the prefix blocks in an engine's cache; best effort."""

import collections

from mulberryway.upstreams import base as upstreams

__all__ = ["PrefixIndex"]

# Bounds the memory of the indexes, one per engine, at about 150 bytes per
# entry.
MAX_BLOCKS = 2_048
# After a gap in the events, some indexed blocks may have been evicted.  With a
# full weight, prefills would take far longer than planned; with none, a
# conversation would move away from the engine that caches its prefix.
STALE_HIT_WEIGHT = 0.5


class PrefixIndex:
    """Holds block hashes and evicts the least recently stored ones."""

    __slots__ = ("_blocks", "_sequence", "_generation")

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._sequence: int | None = None
        self._generation = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def apply_events(self, events: list[upstreams.CacheEvent]) -> None:
        """Apply cache events; a gap marks all older blocks as stale.

        :param events: events in order; duplicates are ignored
        """
        for event in events:
            if self._sequence is not None and event.sequence <= self._sequence:
                continue
            expected = event.sequence
            if self._sequence is not None:
                expected = self._sequence + 1
            if event.sequence != expected:
                self._generation += 1
            self._sequence = event.sequence
            self._apply(event)

    def record_own(self, hashes: tuple[str, ...]) -> None:
        """Record blocks as stored by a prefill of this router.

        The engine's event arrives later; until then, a conversation's next
        request could otherwise go to another engine.

        :param hashes: the prompt's blocks
        """
        for block in hashes:
            self._store(block)

    def count_hits(self, hashes: tuple[str, ...]) -> float:
        """Return the expected number of leading blocks in the cache.

        :param hashes: the prompt's blocks
        :returns: the number of blocks, with stale ones at reduced weight
        """
        hits = 0.0
        for block in hashes:
            generation = self._blocks.get(block)
            if generation is None:
                break
            is_current = generation == self._generation
            hits += 1.0 if is_current else STALE_HIT_WEIGHT
        return hits

    def clear(self) -> None:
        """Remove all blocks after the engine crashed or changed its role."""
        self._blocks.clear()
        self._sequence = None

    def _apply(self, event: upstreams.CacheEvent) -> None:
        for block in event.removed:
            self._blocks.pop(block, None)
        for block in event.stored:
            self._store(block)

    def _store(self, block: str) -> None:
        self._blocks[block] = self._generation
        self._blocks.move_to_end(block)
        if len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

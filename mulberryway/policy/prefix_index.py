"""Which prefix blocks an engine probably has in its cache; a hint."""

import collections

from mulberryway.upstreams import base as upstreams

__all__ = ["PrefixIndex"]

# Bounds the memory of the indexes, one for each engine: about 150 bytes an
# entry.
MAX_BLOCKS = 2_048
# After a gap some blocks that look stored were removed unseen.  Trusting
# them wholly starts prefills that take far longer than planned; dropping
# them sends a conversation away from the engine which has its prefix.
STALE_HIT_WEIGHT = 0.5


class PrefixIndex:
    """Blocks by hash, the longest unused dropped first."""

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
        """Take in events; a gap makes everything older doubtful.

        :param events: in order; repeated ones are passed over
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
        """Count blocks as stored by a prefill of our own.

        The event that says so comes late; without this, a conversation's
        next request may go elsewhere.

        :param hashes: the prompt's blocks
        """
        for block in hashes:
            self._store(block)

    def count_hits(self, hashes: tuple[str, ...]) -> float:
        """Return how many leading blocks are probably in the cache.

        :param hashes: the prompt's blocks
        :returns: a number of blocks; doubtful ones count in part
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
        """Forget everything, after the engine died or changed its role."""
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

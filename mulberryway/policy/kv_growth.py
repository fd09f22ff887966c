"""Estimates how the KV caches of running streams grow and are freed."""

import bisect
import collections
import collections.abc
import itertools
import statistics

__all__ = ["GrowthProfile", "GrowthRate", "StreamGroup", "StreamGrowth"]

# Fraction of a response's expected length that is reserved from its start.
# Responses of one burst grow at the same time, so nearly all of their length
# is in memory at once.
RESERVED_FRACTION = 0.9
# Before this many streams have ended, their growth counts as unknown.
MIN_SAMPLES = 5
MAX_SAMPLES = 31
# Absorbs rounding errors of a count of streams.
ROUNDING = 1e-9


class GrowthRate:
    """Growth of a pool's streams, learned from streams that have ended."""

    __slots__ = (
        "steps_per_block",
        "overrun_blocks",
        "unreserved_blocks",
        "_samples",
        "_growths",
    )

    def __init__(self) -> None:
        # Median number of decode steps in which a stream grows by a block;
        # none while unknown.
        self.steps_per_block: float | None = None
        # Blocks by which a stream that exceeds its expected growth typically
        # does.
        self.overrun_blocks = 0.0
        # Blocks of a typical stream's final ones that are not reserved.
        self.unreserved_blocks = 0.0
        self._samples: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._growths: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    def note(self, steps: float, blocks: float) -> None:
        """Add a stream that has ended.

        :param steps: decode steps that it has taken
        :param blocks: blocks by which it was expected to grow
        """
        if blocks <= 0 or steps <= 0:
            return
        self._samples.append(steps / blocks)
        self._growths.append(blocks)
        if len(self._samples) < MIN_SAMPLES:
            return
        _, median, upper = statistics.quantiles(
            self._samples, n=4, method="inclusive"
        )
        self.steps_per_block = median
        typical_blocks = statistics.median_low(self._growths)
        self.overrun_blocks = (upper / median - 1.0) * typical_blocks
        self.unreserved_blocks = typical_blocks * (1.0 - RESERVED_FRACTION)


class StreamGrowth:
    """The KV cache of one stream.

    :param prompt_blocks: blocks of its prompt
    :param final_blocks: blocks of its prompt and its expected response
    :param reserved_blocks: blocks that count for it where streams start
        together; all of its final ones by default
    """

    __slots__ = (
        "prompt_blocks",
        "final_blocks",
        "reserved_blocks",
        "started_steps",
    )

    def __init__(
        self,
        prompt_blocks: int,
        final_blocks: int,
        reserved_blocks: int | None = None,
    ) -> None:
        self.prompt_blocks = prompt_blocks
        self.final_blocks = final_blocks
        self.reserved_blocks = (
            final_blocks if reserved_blocks is None else reserved_blocks
        )
        # Decode steps of its engine when it started there.
        self.started_steps = 0.0

    def get_growth(self) -> int:
        """Return the blocks by which it is expected to grow."""
        return self.final_blocks - self.prompt_blocks

    def estimate_present(
        self, steps: float, steps_per_block: float | None
    ) -> float:
        """Return the blocks that it fills now.

        :param steps: decode steps of its engine until now
        :param steps_per_block: the pool's rate; none if unknown
        :returns: blocks, at most the final ones
        """
        if steps_per_block is None:
            return float(self.final_blocks)
        grown = max(steps - self.started_steps, 0.0) / steps_per_block
        return min(self.prompt_blocks + grown, float(self.final_blocks))


class StreamGroup:
    """Streams of which only the sums of their sizes are known.

    :param count: number of streams
    :param present: blocks that they fill now, in sum
    :param final: blocks that they are expected to fill at their ends, in sum
    :param overrun: blocks by which a stream at its expected end grows on
    """

    __slots__ = ("count", "present", "growth", "_mean_final")

    def __init__(
        self, count: int, present: float, final: float, overrun: float
    ) -> None:
        self.count = count
        self.present = min(present, final)
        # Blocks by which each of them grows, on average.
        self.growth = max((final - self.present) / count, overrun)
        self._mean_final = self.present / count + self.growth

    def list_ends(self) -> list[float]:
        """Return the growths at which streams may end, in blocks."""
        return [
            self.count * self.growth / left
            for left in range(1, self.count + 1)
        ]

    def count_blocks(self, growth: float) -> float:
        """Return the most blocks that the group may fill later.

        At most ``count * mean / growth`` streams can grow by as much or more,
        whatever their ages are.

        :param growth: by how much a stream has grown until then, in blocks
        :returns: blocks
        """
        if growth <= self.growth:
            return self.present + self.count * growth
        alive = int(self.count * self.growth / growth + ROUNDING)
        return alive * self._mean_final


class GrowthProfile:
    """Memory that an engine's streams fill while they grow.

    Most VMs have one stream at an engine, so single streams are added up by
    their ends and not one by one at each end.

    :param groups: groups of streams
    :param constant_blocks: blocks that do not grow and are not freed
    """

    __slots__ = ("_groups", "_constant", "_ends", "_left", "_peaks")

    def __init__(
        self,
        groups: collections.abc.Iterable[StreamGroup],
        constant_blocks: float,
    ) -> None:
        self._constant = constant_blocks
        self._groups: list[StreamGroup] = []
        singles: list[StreamGroup] = []
        for group in groups:
            (singles if group.count == 1 else self._groups).append(group)
        singles.sort(key=lambda group: group.growth)
        self._ends = [group.growth for group in singles]
        # Blocks that those from each position on fill now.
        self._left = list(
            itertools.accumulate(
                (group.present for group in reversed(singles)), initial=0.0
            )
        )[::-1]
        ends = set(self._ends).union(
            *(group.list_ends() for group in self._groups)
        )
        self._peaks = [(end, self._sum(end)) for end in sorted(ends)]

    def count_fitting(
        self, prompt_blocks: float, growth: float, total_blocks: float
    ) -> int:
        """Return how many equal streams fit if they start now.

        The sum grows between the ends of streams, so only these and the end of
        the new streams need a look.

        :param prompt_blocks: blocks that a new stream fills at once
        :param growth: blocks by which it grows
        :param total_blocks: the engine's memory in blocks
        :returns: the number of streams; 0 if none fits
        """
        moments = [(growth, self._sum(growth))]
        for end, used in self._peaks:
            if end >= growth:
                break
            moments.append((end, used))
        return max(
            int(
                min(
                    (total_blocks - used) / max(prompt_blocks + grown, 1.0)
                    for grown, used in moments
                )
            ),
            0,
        )

    def _sum(self, growth: float) -> float:
        ended = bisect.bisect_left(self._ends, growth)
        return (
            self._constant
            + self._left[ended]
            + (len(self._ends) - ended) * growth
            + sum(group.count_blocks(growth) for group in self._groups)
        )

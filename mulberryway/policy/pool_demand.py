"""Records what is asked of a pool's prefill engines and of its memory."""

import collections
import collections.abc

__all__ = ["DemandHistory", "PoolDemand"]

MS_IN_S = 1_000
# What was asked within this time counts.
HISTORY_S = 60
# Sampling memory costs a look at each engine.
SAMPLE_MS = 250
# Upper bound for the work that a single message may add.
MAX_WORK_MS = 60_000.0


class PoolDemand:
    """What was asked of a pool in the last minute, by the second.

    :param prefill_load: prefill work in each second, as a multiple of what one
        prefill engine can do in a second; the oldest second first
    :param memory_load: highest fraction of the decode engines' memory that was
        reserved in each second; the oldest second first
    :param held_blocks: reserved blocks by name of the decode engine
    """

    __slots__ = ("prefill_load", "memory_load", "held_blocks")

    def __init__(
        self,
        prefill_load: collections.abc.Sequence[float],
        memory_load: collections.abc.Sequence[float],
        held_blocks: collections.abc.Mapping[str, int] | None = None,
    ) -> None:
        self.prefill_load = prefill_load
        self.memory_load = memory_load
        self.held_blocks = held_blocks or {}

    def get_mean_prefill(self, window_s: int) -> float:
        """Return the highest mean prefill load of a window.

        :param window_s: length of the window in seconds
        """
        load = self.prefill_load
        windows = max(len(load) - window_s + 1, 1)
        return max(
            sum(load[start : start + window_s]) / window_s
            for start in range(windows)
        )

    def count_full_s(self, limit: float) -> int:
        """Return for how many seconds memory was at least as full.

        :param limit: fraction of the memory
        """
        return sum(load >= limit for load in self.memory_load)

    def count_busy_s(self, engines: float) -> int:
        """Return for how many seconds prefill engines had too much work.

        :param engines: the number of engines that could do it
        """
        return sum(load > engines for load in self.prefill_load)


class DemandHistory:
    """Sums up the work of one pool as this VM knows it, by the second."""

    __slots__ = ("_work_ms", "_memory", "_since_s", "_sampled_ms")

    def __init__(self) -> None:
        self._work_ms: collections.Counter[int] = collections.Counter()
        self._memory: dict[int, float] = {}
        # The first second of which all is known.
        self._since_s: int | None = None
        self._sampled_ms: int | None = None

    def note_prefill(self, work_ms: float, now_ms: int) -> None:
        """Add a prefill of any VM.

        :param work_ms: its duration on a prefill engine
        :param now_ms: current time in milliseconds
        """
        if work_ms > 0:
            second = now_ms // MS_IN_S
            self._work_ms[second] += min(work_ms, MAX_WORK_MS)

    def is_sample_due(self, now_ms: int) -> bool:
        """Return whether the memory should be sampled again.

        :param now_ms: current time in milliseconds
        """
        return (
            self._sampled_ms is None or now_ms - self._sampled_ms >= SAMPLE_MS
        )

    def note_memory(self, fraction: float, now_ms: int) -> None:
        """Add a sample of the reserved memory.

        :param fraction: what is reserved of the decode engines' memory
        :param now_ms: current time in milliseconds
        """
        second = now_ms // MS_IN_S
        self._sampled_ms = now_ms
        if self._since_s is None:
            self._since_s = second + 1
        self._memory[second] = max(self._memory.get(second, 0.0), fraction)
        oldest = second - HISTORY_S
        for history in (self._work_ms, self._memory):
            for key in [key for key in history if key < oldest]:
                del history[key]

    def summarize(
        self,
        scale: float,
        held_blocks: collections.abc.Mapping[str, int],
        now_ms: int,
    ) -> PoolDemand | None:
        """Return what was asked in the last minute.

        :param scale: engines of the pool for each one that this VM uses
        :param held_blocks: see :class:`PoolDemand`
        :param now_ms: current time in milliseconds
        :returns: the demand; none if nothing is known yet
        """
        if self._since_s is None:
            return None
        end = now_ms // MS_IN_S
        seconds = range(max(self._since_s, end - HISTORY_S), end)
        return PoolDemand(
            [self._work_ms[second] / MS_IN_S * scale for second in seconds],
            [self._memory.get(second, 0.0) for second in seconds],
            held_blocks,
        )

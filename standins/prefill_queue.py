"""Prefills of one engine, one after another, urgent ones first."""

import heapq
import itertools
import math

from standins import engine_types
from standins import prefix_cache

__all__ = ["PrefillQueue"]


class PrefillQueue:
    """Runs one prefill at a time.

    :param shape: the engine's figures
    :param cache: blocks whose tokens cost nothing
    """

    def __init__(
        self,
        shape: engine_types.EngineParameters,
        cache: prefix_cache.PrefixCache,
    ) -> None:
        self._shape = shape
        self._cache = cache
        self._numbers = itertools.count(1)
        self._waiting: list[tuple[int, int, engine_types.EngineRequest]] = []
        self._current: engine_types.EngineRequest | None = None

    def __len__(self) -> int:
        return len(self._waiting) + (self._current is not None)

    def is_full(self) -> bool:
        """Tell whether no further prefill may wait."""
        return len(self._waiting) >= self._shape.most_prefills

    def add(self, run: engine_types.EngineRequest, now_ms: float) -> None:
        """Queue a prefill.

        :param run: the run
        :param now_ms: the present
        """
        number = next(self._numbers)
        heapq.heappush(self._waiting, (run.priority, number, run))
        self._start(now_ms)

    def remove(self, run: engine_types.EngineRequest, now_ms: float) -> None:
        """Give a run's prefill up, if it waits or is under way.

        :param run: the run
        :param now_ms: the present
        """
        self._waiting = [
            entry for entry in self._waiting if entry[2] is not run
        ]
        heapq.heapify(self._waiting)
        if self._current is run:
            self._current = None
            self._start(now_ms)

    def get_next_event_ms(self) -> float:
        """Return when the current prefill ends; infinite if there is none."""
        return self._current.due_ms if self._current else math.inf

    def end(self, at_ms: float) -> engine_types.EngineRequest | None:
        """Take out the prefill that has ended, and start the next.

        :param at_ms: the present
        :returns: the run, or none
        """
        run = self._current
        if run is None or run.due_ms > at_ms:
            return None
        self._cache.store(run.hashes, at_ms)
        self._current = None
        self._start(at_ms)
        return run

    def _start(self, now_ms: float) -> None:
        if self._current is not None or not self._waiting:
            return
        run = heapq.heappop(self._waiting)[2]
        hits = self._cache.count_hits(run.hashes)
        run.cached_tokens = hits * self._shape.block_tokens
        run.phase = engine_types.RequestPhase.PREFILL
        uncached = max(run.prompt_tokens - run.cached_tokens, 1)
        work_ms = uncached * self._shape.prefill_token_ms
        work_ms += self._shape.prefill_base_ms
        run.due_ms = now_ms + work_ms * self._shape.slow_factor
        self._current = run

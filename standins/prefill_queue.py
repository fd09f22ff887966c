"""Priority queue of one engine's prefills, which run one at a time."""

import heapq
import itertools
import math

from standins import engine_types
from standins import prefix_cache

__all__ = ["PrefillQueue"]


class PrefillQueue:
    """Queue that runs one prefill at a time, by priority.

    :param parameters: parameters of the engine
    :param cache: prefix cache; tokens of cached blocks need no work
    """

    def __init__(
        self,
        parameters: engine_types.EngineParameters,
        cache: prefix_cache.PrefixCache,
    ) -> None:
        self._parameters = parameters
        self._cache = cache
        self._sequence_numbers = itertools.count(1)
        self._waiting: list[tuple[int, int, engine_types.EngineRequest]] = []
        self._current: engine_types.EngineRequest | None = None

    def __len__(self) -> int:
        return len(self._waiting) + (self._current is not None)

    def is_full(self) -> bool:
        """Return whether the queue accepts no further prefill."""
        return len(self._waiting) >= self._parameters.most_prefills

    def add(self, request: engine_types.EngineRequest, now_ms: float) -> None:
        """Queue a prefill.

        :param request: request to prefill
        :param now_ms: current time in ms
        """
        number = next(self._sequence_numbers)
        heapq.heappush(self._waiting, (request.priority, number, request))
        self._start_next(now_ms)

    def remove(
        self, request: engine_types.EngineRequest, now_ms: float
    ) -> None:
        """Cancel the prefill of a request if it is queued or running.

        :param request: request to cancel
        :param now_ms: current time in ms
        """
        self._waiting = [
            entry for entry in self._waiting if entry[2] is not request
        ]
        heapq.heapify(self._waiting)
        if self._current is request:
            self._current = None
            self._start_next(now_ms)

    def get_next_event_ms(self) -> float:
        """Return the end of the running prefill in ms; infinite if none."""
        return self._current.due_ms if self._current else math.inf

    def pop_finished(self, at_ms: float) -> engine_types.EngineRequest | None:
        """Remove the prefill that has finished, and start the next one.

        :param at_ms: current time in ms
        :returns: request whose prefill has finished, if any
        """
        request = self._current
        if request is None or request.due_ms > at_ms:
            return None
        self._cache.store(request.hashes, at_ms)
        self._current = None
        self._start_next(at_ms)
        return request

    def _start_next(self, now_ms: float) -> None:
        if self._current is not None or not self._waiting:
            return
        request = heapq.heappop(self._waiting)[2]
        cached_blocks = self._cache.count_hits(request.hashes)
        request.cached_tokens = cached_blocks * self._parameters.block_tokens
        request.phase = engine_types.RequestPhase.PREFILL
        uncached_tokens = max(request.prompt_tokens - request.cached_tokens, 1)
        work_ms = uncached_tokens * self._parameters.prefill_token_ms
        work_ms += self._parameters.prefill_base_ms
        request.due_ms = now_ms + work_ms * self._parameters.slow_factor
        self._current = request

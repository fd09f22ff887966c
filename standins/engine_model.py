"""Discrete-event model of an inference engine without I/O or clocks.

Callers pass the time in fractional milliseconds.  The engine stand-in runs
the model in real time, benchmarks in virtual time.  Simplifications: a prefill
does not slow down the batch of the same engine, and a request that joins
during a step gets its first token at the end of that step.
"""

import itertools
import math
import random

from standins import engine_types
from standins import load_history
from standins import prefill_queue
from standins import prefix_cache
from standins import shared_link

__all__ = ["EngineModel"]

EventKind = engine_types.EventKind
ModelEvent = engine_types.ModelEvent
RequestPhase = engine_types.RequestPhase
RejectReason = engine_types.RejectReason
EngineRequest = engine_types.EngineRequest

NEVER = math.inf
# Time in ms after which a pinned handle expires if it is not released.
PIN_MS = 5_000.0


class EngineModel:
    """Engine with a serial prefill queue, a shared link and a batch.

    Call :meth:`advance` with the current time before any other method; the
    other methods take effect at the time that is passed to them.

    :param parameters: parameters of the engine
    :param role: ``prefill``, ``decode`` or ``both``
    :param models: names of the loaded models
    :param seed: random seed that selects the lost cache events
    """

    def __init__(
        self,
        parameters: engine_types.EngineParameters,
        role: str,
        models: tuple[str, ...],
        seed: int = 0,
    ) -> None:
        self.parameters = parameters
        self.role = role
        self.models = list(models)
        self.cache = prefix_cache.PrefixCache(
            parameters.cache_blocks,
            parameters.cache_lag_ms,
            parameters.cache_gap_share,
            random.Random(seed),
        )
        self.fencing = 0
        self.held: dict[EngineRequest, None] = {}
        self.free_blocks = parameters.total_blocks
        self._handle_numbers = itertools.count(1)
        self._prefills = prefill_queue.PrefillQueue(parameters, self.cache)
        self._link = shared_link.SharedLink(parameters)
        self._batch: list[EngineRequest] = []
        self._reserved_slots = 0
        self._step_end_ms = NEVER
        self._handles: dict[str, EngineRequest] = {}
        self._loading: list[tuple[float, str]] = []
        self._history = load_history.LoadHistory(parameters.total_blocks)

    def submit_prefill(
        self, request: EngineRequest, now_ms: float, decodes: bool = False
    ) -> RejectReason | None:
        """Queue a prefill.

        :param request: request to prefill
        :param now_ms: current time in ms
        :param decodes: whether the same engine decodes, without a transfer
        :returns: reason of the rejection; none if it was accepted
        """
        if self.role == "decode" or (decodes and self.role != "both"):
            return RejectReason.WRONG_ROLE
        if request.model not in self.models:
            return RejectReason.NOT_READY
        if self._prefills.is_full():
            return RejectReason.FULL
        if not self._reserve(request, decodes):
            return RejectReason.FULL
        request.decodes = decodes
        self._prefills.add(request, now_ms)
        self._record_load(now_ms)
        return None

    def submit_decode(
        self, request: EngineRequest, now_ms: float
    ) -> RejectReason | None:
        """Start the import of a KV cache; decoding follows.

        :param request: request to decode
        :param now_ms: current time in ms
        :returns: reason of the rejection; none if it was accepted
        """
        if self.role == "prefill":
            return RejectReason.WRONG_ROLE
        if request.model not in self.models:
            return RejectReason.NOT_READY
        if not self._reserve(request, True):
            return RejectReason.FULL
        request.decodes = True
        request.phase = RequestPhase.TRANSFER
        self._link.add(request, now_ms)
        self._record_load(now_ms)
        return None

    def cancel(self, request: EngineRequest, now_ms: float) -> bool:
        """Free a request's slot and KV blocks; idempotent.

        :param request: request to cancel
        :param now_ms: current time in ms
        :returns: whether the engine still held the request
        """
        if request not in self.held:
            return False
        self._link.remove(request, now_ms)
        self._prefills.remove(request, now_ms)
        if request in self._batch:
            self._batch.remove(request)
        if not self._batch:
            self._step_end_ms = NEVER
        self._release(request, now_ms)
        return True

    def pin_handle(self, handle: str, now_ms: float) -> EngineRequest | None:
        """Pin a prefill result for an import.

        :param handle: name of the handle
        :param now_ms: current time in ms
        :returns: prefilled request; none if its handle has expired
        """
        request = self._handles.get(handle)
        if request is not None:
            request.due_ms = now_ms + PIN_MS
        return request

    def release_handle(self, handle: str, now_ms: float) -> None:
        """Free a prefill result after its import; idempotent.

        :param handle: name of the handle
        :param now_ms: current time in ms
        """
        request = self._handles.get(handle)
        if request is not None:
            self._release(request, now_ms)

    def apply_order(
        self, verb: str, argument: str, fencing: int, now_ms: float
    ) -> bool:
        """Load or unload a model, or change the role.

        :param verb: ``load``, ``unload`` or ``role``
        :param argument: name of the model or the role
        :param fencing: fencing number of the leader that sent the order
        :param now_ms: current time in ms
        :returns: false if the fencing number is outdated
        """
        if self.parameters.checks_fencing and fencing < self.fencing:
            return False
        self.fencing = max(fencing, self.fencing)
        if verb == "role":
            self.role = argument
        elif verb == "unload" and argument in self.models:
            self.models.remove(argument)
            self.cache.clear(now_ms)
        elif verb == "load" and argument not in self.models:
            self._loading.append(
                (now_ms + self.parameters.load_model_ms, argument)
            )
        return True

    def set_parameter(self, name: str, value: float, now_ms: float) -> None:
        """Change a parameter of the running engine.

        :param name: name of the parameter
        :param value: new value
        :param now_ms: current time in ms
        """
        self._link.advance(now_ms)
        setattr(self.parameters, name, value)

    def get_delayed_load(self, now_ms: float) -> load_history.LoadSnapshot:
        """Return the load with the delay of a load report.

        :param now_ms: current time in ms
        :returns: newest snapshot that is at least ``load_lag_ms`` old
        """
        return self._history.read(now_ms - self.parameters.load_lag_ms)

    def get_next_event_ms(self) -> float:
        """Return the time of the next event in ms; infinite if none."""
        return min(
            self._prefills.get_next_event_ms(),
            self._link.get_next_event_ms(),
            self._step_end_ms,
            min(
                (request.due_ms for request in self._handles.values()),
                default=NEVER,
            ),
            min((at_ms for at_ms, _ in self._loading), default=NEVER),
        )

    def advance(self, now_ms: float) -> list[ModelEvent]:
        """Advance the simulation to the current time.

        :param now_ms: current time in ms
        :returns: events in order
        """
        events: list[ModelEvent] = []
        while (at_ms := self.get_next_event_ms()) <= now_ms:
            self._finish_loading(at_ms)
            self._finish_prefill(at_ms, events)
            self._finish_imports(at_ms, events)
            self._finish_step(at_ms, events)
            self._expire_handles(at_ms, events)
        return events

    def _reserve(self, request: EngineRequest, decodes: bool) -> bool:
        tokens = request.prompt_tokens + (
            request.output_tokens if decodes else 0
        )
        blocks = math.ceil(tokens / self.parameters.block_tokens)
        has_slot = not decodes or self._reserved_slots < self.parameters.slots
        if not has_slot or blocks > self.free_blocks:
            return False
        request.blocks = blocks
        self.free_blocks -= blocks
        self._reserved_slots += decodes
        self.held[request] = None
        return True

    def _release(self, request: EngineRequest, now_ms: float) -> None:
        del self.held[request]
        self._handles.pop(request.handle, None)
        self.free_blocks += request.blocks
        self._reserved_slots -= request.decodes
        request.blocks = 0
        request.phase = RequestPhase.DONE
        self._record_load(now_ms)

    def _record_load(self, now_ms: float) -> None:
        self._history.add(
            load_history.LoadSnapshot(
                now_ms,
                self._reserved_slots,
                len(self._prefills),
                self.free_blocks,
            )
        )

    def _finish_prefill(self, at_ms: float, events: list[ModelEvent]) -> None:
        request = self._prefills.pop_finished(at_ms)
        if request is None:
            return
        if request.decodes:
            self._join_batch(request, at_ms)
        else:
            request.phase = RequestPhase.TRANSFER
            request.handle = (
                f"{request.request_id}-{next(self._handle_numbers)}"
            )
            request.due_ms = at_ms + self.parameters.handle_ms
            self._handles[request.handle] = request
        events.append(ModelEvent(EventKind.PREFILLED, request, at_ms))
        self._record_load(at_ms)

    def _finish_imports(self, at_ms: float, events: list[ModelEvent]) -> None:
        for request in self._link.pop_finished(at_ms):
            self._join_batch(request, at_ms)
            events.append(ModelEvent(EventKind.IMPORTED, request, at_ms))

    def _join_batch(self, request: EngineRequest, at_ms: float) -> None:
        request.phase = RequestPhase.DECODE
        self._batch.append(request)
        if self._step_end_ms == NEVER:
            self._step_end_ms = at_ms + self._compute_step_ms()

    def _compute_step_ms(self) -> float:
        idle_fraction = 1 - len(self._batch) / self.parameters.slots
        step_fraction = 1 - self.parameters.batch_growth * idle_fraction
        return (
            self.parameters.token_ms
            * step_fraction
            * self.parameters.slow_factor
        )

    def _finish_step(self, at_ms: float, events: list[ModelEvent]) -> None:
        if self._step_end_ms > at_ms:
            return
        for request in self._batch:
            events.append(
                ModelEvent(EventKind.TOKEN, request, at_ms, request.generated)
            )
            request.generated += 1
        finished = [
            request for request in self._batch if _is_complete(request)
        ]
        if finished:
            self._batch = [
                request for request in self._batch if not _is_complete(request)
            ]
        for request in finished:
            self._release(request, at_ms)
            events.append(ModelEvent(EventKind.FINISHED, request, at_ms))
        self._step_end_ms = NEVER
        if self._batch:
            self._step_end_ms = at_ms + self._compute_step_ms()

    def _expire_handles(self, at_ms: float, events: list[ModelEvent]) -> None:
        finished = [
            request
            for request in self._handles.values()
            if request.due_ms <= at_ms
        ]
        for request in finished:
            self._release(request, at_ms)
            events.append(ModelEvent(EventKind.EXPIRED, request, at_ms))

    def _finish_loading(self, at_ms: float) -> None:
        finished = [
            name for ready_ms, name in self._loading if ready_ms <= at_ms
        ]
        self.models += finished
        self._loading = [entry for entry in self._loading if entry[0] > at_ms]


def _is_complete(request: EngineRequest) -> bool:
    return request.generated >= request.output_tokens

"""How long a model engine's work takes, without I/O, threads or clocks.

The time is passed in, in milliseconds with fractions, so that the model
serves the engine stand-in in real time and benchmarks in virtual time.
Simplified: a prefill does not slow the batch of the same engine, and a run
that joins during a step gets its first token at that step's end.
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
# How long an importing engine may keep another's handle without release.
PIN_MS = 5_000.0


class EngineModel:
    """One engine: a serial prefill queue, a shared link and a batch.

    Call :meth:`advance` up to the present before anything else; the other
    methods take effect at the time that they are given.

    :param shape: the engine's figures
    :param role: ``prefill``, ``decode`` or ``both``
    :param models: names of the models that are loaded
    :param seed: decides which cache events are lost
    """

    def __init__(
        self,
        shape: engine_types.EngineParameters,
        role: str,
        models: tuple[str, ...],
        seed: int = 0,
    ) -> None:
        self.shape = shape
        self.role = role
        self.models = list(models)
        self.cache = prefix_cache.PrefixCache(
            shape.cache_blocks,
            shape.cache_lag_ms,
            shape.cache_gap_share,
            random.Random(seed),
        )
        self.fencing = 0
        self.held: dict[EngineRequest, None] = {}
        self.free_blocks = shape.total_blocks
        self._numbers = itertools.count(1)
        self._prefills = prefill_queue.PrefillQueue(shape, self.cache)
        self._link = shared_link.SharedLink(shape)
        self._batch: list[EngineRequest] = []
        self._reserved = 0
        self._step_ms = NEVER
        self._handles: dict[str, EngineRequest] = {}
        self._loading: list[tuple[float, str]] = []
        self._history = load_history.LoadHistory(shape.total_blocks)

    def submit_prefill(
        self, run: EngineRequest, now_ms: float, decodes: bool = False
    ) -> RejectReason | None:
        """Queue a prefill.

        :param run: the run
        :param now_ms: the present
        :param decodes: go on to decode here, without a transfer
        :returns: why it was refused, or none
        """
        if self.role == "decode" or (decodes and self.role != "both"):
            return RejectReason.WRONG_ROLE
        if run.model not in self.models:
            return RejectReason.NOT_READY
        if self._prefills.is_full():
            return RejectReason.FULL
        if not self._take(run, decodes):
            return RejectReason.FULL
        run.decodes = decodes
        self._prefills.add(run, now_ms)
        self._snapshot(now_ms)
        return None

    def submit_decode(
        self, run: EngineRequest, now_ms: float
    ) -> RejectReason | None:
        """Begin to import a KV cache and then to generate.

        :param run: the run
        :param now_ms: the present
        :returns: why it was refused, or none
        """
        if self.role == "prefill":
            return RejectReason.WRONG_ROLE
        if run.model not in self.models:
            return RejectReason.NOT_READY
        if not self._take(run, True):
            return RejectReason.FULL
        run.decodes = True
        run.phase = RequestPhase.TRANSFER
        self._link.add(run, now_ms)
        self._snapshot(now_ms)
        return None

    def cancel(self, run: EngineRequest, now_ms: float) -> bool:
        """Free what a run holds; idempotent.

        :param run: the run
        :param now_ms: the present
        :returns: whether it held anything
        """
        if run not in self.held:
            return False
        self._link.remove(run, now_ms)
        self._prefills.remove(run, now_ms)
        if run in self._batch:
            self._batch.remove(run)
        if not self._batch:
            self._step_ms = NEVER
        self._let_go(run, now_ms)
        return True

    def pin_handle(self, handle: str, now_ms: float) -> EngineRequest | None:
        """Pin a prefill's result for an import; none once it has expired.

        :param handle: the handle's name
        :param now_ms: the present
        :returns: the prefill
        """
        run = self._handles.get(handle)
        if run is not None:
            run.due_ms = now_ms + PIN_MS
        return run

    def release_handle(self, handle: str, now_ms: float) -> None:
        """Free a prefill's result after its import; idempotent.

        :param handle: the handle's name
        :param now_ms: the present
        """
        run = self._handles.get(handle)
        if run is not None:
            self._let_go(run, now_ms)

    def give_order(
        self, verb: str, argument: str, fencing: int, now_ms: float
    ) -> bool:
        """Load or unload a model, or change the role.

        :param verb: ``load``, ``unload`` or ``role``
        :param argument: the model or the role
        :param fencing: the issuer's fencing number
        :param now_ms: the present
        :returns: false if the order is fenced off
        """
        if self.shape.checks_fencing and fencing < self.fencing:
            return False
        self.fencing = max(fencing, self.fencing)
        if verb == "role":
            self.role = argument
        elif verb == "unload" and argument in self.models:
            self.models.remove(argument)
            self.cache.clear(now_ms)
        elif verb == "load" and argument not in self.models:
            self._loading.append((now_ms + self.shape.load_model_ms, argument))
        return True

    def set_parameter(self, name: str, value: float, now_ms: float) -> None:
        """Change one of the engine's figures while it works.

        :param name: the attribute
        :param value: its new value
        :param now_ms: the present
        """
        self._link.settle(now_ms)
        setattr(self.shape, name, value)

    def report_load(self, now_ms: float) -> load_history.LoadSnapshot:
        """Return the load as it was some time ago.

        :param now_ms: the present
        :returns: the newest snapshot that is old enough
        """
        return self._history.read(now_ms - self.shape.load_lag_ms)

    def get_next_event_ms(self) -> float:
        """Return when something happens next; infinite if nothing will."""
        return min(
            self._prefills.get_next_event_ms(),
            self._link.get_next_event_ms(),
            self._step_ms,
            min((run.due_ms for run in self._handles.values()), default=NEVER),
            min((at_ms for at_ms, _ in self._loading), default=NEVER),
        )

    def advance(self, now_ms: float) -> list[ModelEvent]:
        """Let time pass.

        :param now_ms: the present
        :returns: what happened, in order
        """
        found: list[ModelEvent] = []
        while (at_ms := self.get_next_event_ms()) <= now_ms:
            self._finish_loading(at_ms)
            self._end_prefill(at_ms, found)
            self._end_imports(at_ms, found)
            self._end_step(at_ms, found)
            self._expire_handles(at_ms, found)
        return found

    def _take(self, run: EngineRequest, decodes: bool) -> bool:
        tokens = run.prompt_tokens + (run.output_tokens if decodes else 0)
        blocks = math.ceil(tokens / self.shape.block_tokens)
        has_slot = not decodes or self._reserved < self.shape.slots
        if not has_slot or blocks > self.free_blocks:
            return False
        run.blocks = blocks
        self.free_blocks -= blocks
        self._reserved += decodes
        self.held[run] = None
        return True

    def _let_go(self, run: EngineRequest, now_ms: float) -> None:
        del self.held[run]
        self._handles.pop(run.handle, None)
        self.free_blocks += run.blocks
        self._reserved -= run.decodes
        run.blocks = 0
        run.phase = RequestPhase.DONE
        self._snapshot(now_ms)

    def _snapshot(self, now_ms: float) -> None:
        self._history.add(
            load_history.LoadSnapshot(
                now_ms,
                self._reserved,
                len(self._prefills),
                self.free_blocks,
            )
        )

    def _end_prefill(self, at_ms: float, found: list[ModelEvent]) -> None:
        run = self._prefills.end(at_ms)
        if run is None:
            return
        if run.decodes:
            self._join_batch(run, at_ms)
        else:
            run.phase = RequestPhase.TRANSFER
            run.handle = f"{run.request_id}-{next(self._numbers)}"
            run.due_ms = at_ms + self.shape.handle_ms
            self._handles[run.handle] = run
        found.append(ModelEvent(EventKind.PREFILLED, run, at_ms))
        self._snapshot(at_ms)

    def _end_imports(self, at_ms: float, found: list[ModelEvent]) -> None:
        for run in self._link.pop_finished(at_ms):
            self._join_batch(run, at_ms)
            found.append(ModelEvent(EventKind.IMPORTED, run, at_ms))

    def _join_batch(self, run: EngineRequest, at_ms: float) -> None:
        run.phase = RequestPhase.DECODE
        self._batch.append(run)
        if self._step_ms == NEVER:
            self._step_ms = at_ms + self._step_length_ms()

    def _step_length_ms(self) -> float:
        idle = 1 - len(self._batch) / self.shape.slots
        part = 1 - self.shape.batch_growth * idle
        return self.shape.token_ms * part * self.shape.slow_factor

    def _end_step(self, at_ms: float, found: list[ModelEvent]) -> None:
        if self._step_ms > at_ms:
            return
        for run in self._batch:
            found.append(
                ModelEvent(EventKind.TOKEN, run, at_ms, run.generated)
            )
            run.generated += 1
        ended = [run for run in self._batch if _is_whole(run)]
        if ended:
            self._batch = [run for run in self._batch if not _is_whole(run)]
        for run in ended:
            self._let_go(run, at_ms)
            found.append(ModelEvent(EventKind.FINISHED, run, at_ms))
        self._step_ms = NEVER
        if self._batch:
            self._step_ms = at_ms + self._step_length_ms()

    def _expire_handles(self, at_ms: float, found: list[ModelEvent]) -> None:
        ended = [run for run in self._handles.values() if run.due_ms <= at_ms]
        for run in ended:
            self._let_go(run, at_ms)
            found.append(ModelEvent(EventKind.EXPIRED, run, at_ms))

    def _finish_loading(self, at_ms: float) -> None:
        ended = [name for ready_ms, name in self._loading if ready_ms <= at_ms]
        self.models += ended
        self._loading = [entry for entry in self._loading if entry[0] > at_ms]


def _is_whole(run: EngineRequest) -> bool:
    return run.generated >= run.output_tokens

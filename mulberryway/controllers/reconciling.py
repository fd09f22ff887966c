"""Frees engine memory that dead owners have left behind."""

import collections.abc
import logging

from mulberryway import clock
from mulberryway import logs
from mulberryway import metrics
from mulberryway.controllers import base
from mulberryway.controllers import owner_liveness
from mulberryway.upstreams import base as upstreams

__all__ = ["ReconcileController"]

LOG = logging.getLogger(__name__)

PERIOD_MS = 1_000
# A request counts as left behind only when it has looked so for this long:
# the engine's answer is a moment old, and an attempt is known to its own
# router a moment after the engine learns of it, or before.
ORPHAN_GRACE_MS = 3_000

Key = tuple[str, str, int]


class ReconcileController(base.Controller):
    """Compares what engines hold with which owners live.

    A VM that vanishes with its connections open leaves requests at engines;
    nobody reads them, and their slots and memory are missed at the peak.
    Each engine has one router that looks after it.  Should two do so, both
    cancel the same dead work, which does no harm.

    :param vm: this VM's name
    :param incarnation: which life of its router this is
    :param list_engines: returns the engines that fall to this router
    :param is_running: tells whether an attempt of this router goes on
    :param liveness: knows whether other owners live
    :param metrics_: counts what is freed
    :param clock_: where the time comes from
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        list_engines: collections.abc.Callable[[], list[upstreams.Engine]],
        is_running: collections.abc.Callable[[str], bool],
        liveness: owner_liveness.LivenessChecker,
        metrics_: metrics.Metrics,
        clock_: clock.Clock,
    ) -> None:
        super().__init__("reconciling", clock_, PERIOD_MS)
        self._vm = vm
        self._incarnation = incarnation
        self._list_engines = list_engines
        self._is_running = is_running
        self._view = liveness
        self._metrics = metrics_
        self._since_ms: dict[Key, int] = {}

    def step(self) -> None:
        """Look at each engine once."""
        seen: dict[Key, int] = {}
        for engine in self._list_engines():
            if self.is_stopping():
                return
            held = engine.list_in_flight()
            if held.is_ok():
                self._look(engine, held.ok, seen)
        self._since_ms = seen

    def _look(
        self,
        engine: upstreams.Engine,
        held: list[upstreams.InFlightRequest],
        seen: dict[Key, int],
    ) -> None:
        now_ms = self.clock.now_ms()
        for request in held:
            label = request.label
            if not self._is_left_behind(label):
                continue
            key = (label.request_id, label.vm, label.incarnation)
            since_ms = self._since_ms.get(key, now_ms)
            seen[key] = min(since_ms, seen.get(key, since_ms))
            if now_ms - since_ms >= ORPHAN_GRACE_MS:
                self._free(engine, label)

    def _is_left_behind(self, label: upstreams.AttemptLabel) -> bool:
        if (label.vm, label.incarnation) == (self._vm, self._incarnation):
            return not self._is_running(label.request_id)
        if label.vm == self._vm:
            # Two lives of one VM's router do not overlap.  A greater number
            # than this one's means that this process is the older life.
            return 0 <= label.incarnation < self._incarnation
        alive = self._view.is_alive(label.vm, label.incarnation)
        return alive is owner_liveness.Liveness.DEAD

    def _free(
        self, engine: upstreams.Engine, label: upstreams.AttemptLabel
    ) -> None:
        result = engine.cancel(label)
        if result.is_error():
            return
        self._metrics.reconciled.add(1, {"owner": label.vm})
        LOG.warning(
            "a request was freed that its owner had left behind",
            extra=logs.make_extra(
                request_id=label.request_id,
                owner=label.vm,
                incarnation=label.incarnation,
            ),
        )

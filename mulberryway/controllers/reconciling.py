"""Cancels orphaned requests at engines."""

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
# A request is only cancelled after it has looked orphaned for this long: the
# engine's answer may be outdated, and a router may register an attempt shortly
# before or after the engine does.
ORPHAN_GRACE_MS = 3_000

Key = tuple[str, str, int]


class ReconcileController(base.Controller):
    """Cancels requests at engines whose owner or attempt no longer runs.

    A VM that fails without closing its connections leaves orphaned requests
    at engines, whose slots and memory are then missing at peak load.  Each
    engine is assigned to one router.  If the VMs' views differ and two
    routers check the same engine, both cancel the same requests, which is
    harmless.

    :param vm: this VM's name
    :param incarnation: the incarnation of this VM's router
    :param list_engines: returns the engines assigned to this router
    :param is_running: returns whether an attempt of this router is running
    :param liveness: determines whether other routers run
    :param metrics_: counts cancelled requests
    :param clock_: the clock
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
        self._liveness = liveness
        self._metrics = metrics_
        self._orphaned_since_ms: dict[Key, int] = {}

    def step(self) -> None:
        """Check the requests at each assigned engine."""
        seen: dict[Key, int] = {}
        for engine in self._list_engines():
            if self.is_stopping():
                return
            result = engine.list_in_flight()
            if result.is_ok():
                self._check_engine(engine, result.ok, seen)
        self._orphaned_since_ms = seen

    def _check_engine(
        self,
        engine: upstreams.Engine,
        in_flight: list[upstreams.InFlightRequest],
        seen: dict[Key, int],
    ) -> None:
        now_ms = self.clock.now_ms()
        for request in in_flight:
            label = request.label
            if not self._is_orphaned(label):
                continue
            key = (label.request_id, label.vm, label.incarnation)
            since_ms = self._orphaned_since_ms.get(key, now_ms)
            seen[key] = min(since_ms, seen.get(key, since_ms))
            if now_ms - since_ms >= ORPHAN_GRACE_MS:
                self._free(engine, label)

    def _is_orphaned(self, label: upstreams.AttemptLabel) -> bool:
        if (label.vm, label.incarnation) == (self._vm, self._incarnation):
            return not self._is_running(label.request_id)
        if label.vm == self._vm:
            # Incarnations of one VM's router do not overlap.  If the label
            # has a greater incarnation, this process is the outdated one.
            return 0 <= label.incarnation < self._incarnation
        state = self._liveness.is_alive(label.vm, label.incarnation)
        return state is owner_liveness.Liveness.DEAD

    def _free(
        self, engine: upstreams.Engine, label: upstreams.AttemptLabel
    ) -> None:
        result = engine.cancel(label)
        if result.is_error():
            return
        self._metrics.reconciled.add(1, {"owner": label.vm})
        LOG.warning(
            "orphaned request cancelled",
            extra=logs.make_extra(
                request_id=label.request_id,
                owner=label.vm,
                incarnation=label.incarnation,
            ),
        )

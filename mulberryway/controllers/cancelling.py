"""Repeats cancels until the engines have confirmed them."""

import collections
import concurrent.futures
import logging
import threading

from mulberryway import clock
from mulberryway import logs
from mulberryway import metrics
from mulberryway.controllers import base
from mulberryway.upstreams import base as upstreams

__all__ = ["CancelController"]

LOG = logging.getLogger(__name__)

PERIOD_MS = 100
IDLE_MS = 5_000
# An engine that has not confirmed for so long has lost its memory anyway,
# or the reconcilers of all VMs find what it still holds.
CANCEL_TIMEOUT_MS = 60_000
MAX_BACKOFF_MS = 2_000
# A stopping process waits this long for a confirmation; what it leaves
# unconfirmed, other VMs' reconcilers find.
RECENT_CANCEL_MS = 3_000
WORKERS = 8


class _Cancel:
    __slots__ = ("engine", "label", "due_ms", "delay_ms", "give_up_ms")

    def __init__(
        self,
        engine: upstreams.Engine,
        label: upstreams.AttemptLabel,
        now_ms: int,
    ) -> None:
        self.engine = engine
        self.label = label
        self.due_ms = now_ms
        self.delay_ms = PERIOD_MS
        self.give_up_ms = now_ms + CANCEL_TIMEOUT_MS


class CancelController(base.Controller):
    """Frees engine memory that nobody waits for any more.

    A cancel is lost when its connection breaks, and the engine would then
    generate to the end for nobody; full decode engines would show it.  So
    each is repeated, ever more slowly, until an engine has answered.

    :param clock_: where the time comes from
    :param metrics_: counts the results
    """

    def __init__(self, clock_: clock.Clock, metrics_: metrics.Metrics) -> None:
        super().__init__("cancelling", clock_, PERIOD_MS)
        self._metrics = metrics_
        self._lock = threading.Lock()
        self._waiting: collections.deque[_Cancel] = collections.deque()
        self._open = 0
        self._newest_ms = 0
        # One silent engine must not hold up cancels for the others.
        self._workers = concurrent.futures.ThreadPoolExecutor(
            WORKERS, "cancel"
        )

    @property
    def open(self) -> int:
        """How many cancels are not confirmed yet."""
        return self._open

    @property
    def is_fresh(self) -> bool:
        """Whether an engine may soon confirm what is open."""
        newest_ms = self._newest_ms
        return self.clock.now_ms() - newest_ms < RECENT_CANCEL_MS

    def cancel(
        self, engine: upstreams.Engine, label: upstreams.AttemptLabel
    ) -> None:
        """Free what an engine holds for an attempt; returns at once.

        :param engine: the engine
        :param label: names the attempt
        """
        now_ms = self.clock.now_ms()
        with self._lock:
            self._open += 1
            self._newest_ms = now_ms
        self._submit(_Cancel(engine, label, now_ms))

    def stop(self, wait_ms: int = 2_000) -> None:
        """End the threads.

        :param wait_ms: the longest wait for the current step
        """
        super().stop(wait_ms)
        self._workers.shutdown(wait=False, cancel_futures=True)

    def step(self) -> None:
        """Send again what is due."""
        now_ms = self.clock.now_ms()
        with self._lock:
            waiting, self._waiting = self._waiting, collections.deque()
        for cancel in waiting:
            if cancel.due_ms <= now_ms:
                self._submit(cancel)
            else:
                self._keep(cancel)
        self.period_ms = PERIOD_MS if self._waiting else IDLE_MS

    def _submit(self, cancel: _Cancel) -> None:
        try:
            self._workers.submit(self._send, cancel)
        except RuntimeError:
            LOG.debug("a cancel came after the stop")

    def _wait(self, cancel: _Cancel) -> None:
        self._keep(cancel)
        self.wake()

    def _keep(self, cancel: _Cancel) -> None:
        with self._lock:
            self._waiting.append(cancel)

    def _send(self, cancel: _Cancel) -> None:
        result = cancel.engine.cancel(cancel.label)
        now_ms = self.clock.now_ms()
        if result.is_ok():
            self._end(cancel, "held" if result.ok else "not_held")
        elif now_ms >= cancel.give_up_ms:
            LOG.warning(
                "a cancel was never confirmed",
                extra=logs.make_extra(
                    result.error, request_id=cancel.label.request_id
                ),
            )
            self._end(cancel, "given_up")
        else:
            cancel.due_ms = now_ms + cancel.delay_ms
            cancel.delay_ms = min(cancel.delay_ms * 2, MAX_BACKOFF_MS)
            self._wait(cancel)

    def _end(self, cancel: _Cancel, result: str) -> None:
        self._metrics.cancels.add(1, {"result": result})
        with self._lock:
            self._open -= 1

"""Retries cancels until the engines have confirmed them."""

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
# An engine that has not confirmed by then has either lost its state, or the
# VMs' reconcilers find the requests that it still holds.
CANCEL_TIMEOUT_MS = 60_000
MAX_BACKOFF_MS = 2_000
# A stopping process waits this long for a confirmation.  Other VMs'
# reconcilers handle the cancels that are still unconfirmed.
RECENT_CANCEL_MS = 3_000
WORKERS = 8


class _Cancel:
    __slots__ = ("engine", "label", "due_ms", "delay_ms", "abandon_at_ms")

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
        self.abandon_at_ms = now_ms + CANCEL_TIMEOUT_MS


class CancelController(base.Controller):
    """Frees engine memory of requests whose results are no longer needed.

    A cancel is lost when its connection breaks, and the engine would then
    generate an unused answer to its end and occupy a decode slot.
    Therefore each cancel is retried with exponential backoff until the
    engine has answered.

    :param clock_: the clock
    :param metrics_: counts the results
    """

    def __init__(self, clock_: clock.Clock, metrics_: metrics.Metrics) -> None:
        super().__init__("cancelling", clock_, PERIOD_MS)
        self._metrics = metrics_
        self._lock = threading.Lock()
        self._waiting: collections.deque[_Cancel] = collections.deque()
        self._open = 0
        self._last_cancel_ms = 0
        # An unresponsive engine must not delay cancels for the others.
        self._workers = concurrent.futures.ThreadPoolExecutor(
            WORKERS, "cancel"
        )

    @property
    def open(self) -> int:
        """Number of cancels that are not confirmed yet."""
        return self._open

    @property
    def has_recent_cancels(self) -> bool:
        """Whether the last cancel may still be confirmed soon."""
        last_cancel_ms = self._last_cancel_ms
        return self.clock.now_ms() - last_cancel_ms < RECENT_CANCEL_MS

    def cancel(
        self, engine: upstreams.Engine, label: upstreams.AttemptLabel
    ) -> None:
        """Cancel an attempt at an engine without waiting for the answer.

        :param engine: the engine
        :param label: identifies the attempt
        """
        now_ms = self.clock.now_ms()
        with self._lock:
            self._open += 1
            self._last_cancel_ms = now_ms
        self._submit(_Cancel(engine, label, now_ms))

    def stop(self, wait_ms: int = 2_000) -> None:
        """Stop the threads.

        :param wait_ms: maximum wait for the current step, in milliseconds
        """
        super().stop(wait_ms)
        self._workers.shutdown(wait=False, cancel_futures=True)

    def step(self) -> None:
        """Retry the cancels that are due."""
        now_ms = self.clock.now_ms()
        with self._lock:
            waiting, self._waiting = self._waiting, collections.deque()
        for cancel in waiting:
            if cancel.due_ms <= now_ms:
                self._submit(cancel)
            else:
                self._requeue(cancel)
        self.period_ms = PERIOD_MS if self._waiting else IDLE_MS

    def _submit(self, cancel: _Cancel) -> None:
        try:
            self._workers.submit(self._send, cancel)
        except RuntimeError:
            LOG.debug("cancel ignored: the controller has stopped")

    def _requeue_and_wake(self, cancel: _Cancel) -> None:
        self._requeue(cancel)
        self.wake()

    def _requeue(self, cancel: _Cancel) -> None:
        with self._lock:
            self._waiting.append(cancel)

    def _send(self, cancel: _Cancel) -> None:
        result = cancel.engine.cancel(cancel.label)
        now_ms = self.clock.now_ms()
        if result.is_ok():
            self._complete(cancel, "held" if result.ok else "not_held")
        elif now_ms >= cancel.abandon_at_ms:
            LOG.warning(
                "cancel abandoned without a confirmation",
                extra=logs.make_extra(
                    result.error, request_id=cancel.label.request_id
                ),
            )
            self._complete(cancel, "given_up")
        else:
            cancel.due_ms = now_ms + cancel.delay_ms
            cancel.delay_ms = min(cancel.delay_ms * 2, MAX_BACKOFF_MS)
            self._requeue_and_wake(cancel)

    def _complete(self, cancel: _Cancel, result: str) -> None:
        self._metrics.cancels.add(1, {"result": result})
        with self._lock:
            self._open -= 1

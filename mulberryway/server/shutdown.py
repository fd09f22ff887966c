"""Ends the requests of a VM that shuts down, within its grace period."""

import collections.abc

from mulberryway import clock
from mulberryway import errors
from mulberryway.filters import base
from mulberryway.policy import shutdown
from mulberryway.server import shutdown_reports

__all__ = ["ShutdownController"]

POLL_MS = 20
# The maximum time for which requests sent before the VM began to reject may
# still be in transit.
MAX_IN_FLIGHT_MS = 200
# Each wait for threads takes at most this part of the time until the process
# exits, because three of them follow each other.
JOIN_DIVISOR = 3


class ShutdownController:
    """Waits for open requests, and answers those that take too long.

    :param clock_: the source of the current time
    :param list_open: returns the requests in progress, the oldest first
    :param cut_streams: aborts all streams with a fault
    """

    def __init__(
        self,
        clock_: clock.Clock,
        list_open: collections.abc.Callable[[], list[base.Exchange]],
        cut_streams: collections.abc.Callable[[errors.Fault], None],
    ) -> None:
        self._clock = clock_
        self._list_open = list_open
        self._cut_streams = cut_streams
        self._plan: shutdown.ShutdownPlan | None = None
        self._is_hastened = False
        self._is_aborting = False
        self.reports = shutdown_reports.ShutdownReports(list_open, clock_)
        # Returns the number of other VMs' requests that pass through this VM;
        # a graceful shutdown waits for them as well.
        self.count_forwarded: collections.abc.Callable[[], int] = lambda: 0

    @property
    def plan(self) -> shutdown.ShutdownPlan | None:
        """The plan of the shutdown; none if it has not begun."""
        return self._plan

    @property
    def is_rejecting(self) -> bool:
        """Whether new requests are rejected."""
        plan = self._plan
        return plan is not None and self._clock.now_ms() >= plan.reject_ms

    def get_time_to_abort_ms(self) -> int | None:
        """Return the time until the VM answers open requests itself, in ms.

        :returns: none if no shutdown has begun
        """
        plan = self._plan
        if plan is None:
            return None
        return max(plan.abort_ms - self._clock.now_ms(), 0)

    def begin(self, grace_ms: int, caching_ms: int) -> shutdown.ShutdownPlan:
        """Begin a shutdown.

        :param grace_ms: the time after which the process is killed, in ms
        :param caching_ms: how long callers may use a discovery response, in
            ms
        :returns: its plan
        """
        now_ms = self._clock.now_ms()
        self._plan = shutdown.make_plan(now_ms, grace_ms, caching_ms)
        # Checked last: ``hasten`` changes only a plan that it finds.
        if self._is_hastened:
            self._plan = self._plan.hasten(now_ms)
        return self._plan

    def hasten(self) -> None:
        """Answer the open requests now instead of waiting for upstreams."""
        self._is_hastened = True
        if self._plan is not None:
            self._plan = self._plan.hasten(self._clock.now_ms())

    def end_requests(self) -> None:
        """Wait until no request is open, and answer those that stay open."""
        while not self.is_rejecting:
            self._clock.sleep_ms(POLL_MS)
        while self.get_time_to_abort_ms():
            if self._is_in_use():
                self._report_wait()
                self._clock.sleep_ms(POLL_MS)
                continue
            self._clock.sleep_ms(MAX_IN_FLIGHT_MS)
            if not self._is_in_use():
                return
        self._abort_open()

    def has_time(self) -> bool:
        """Return whether connections may stay open."""
        plan = self._plan
        return plan is not None and self._clock.now_ms() < plan.close_ms

    def is_overdue(self) -> bool:
        """Return whether the process has to exit at once."""
        plan = self._plan
        if plan is None:
            return False
        exit_ms = plan.exit_ms
        if not self._is_aborting and self._list_open():
            # This VM was frozen, and has not answered yet.
            exit_ms += shutdown.LATE_ABORT_MS
        return self._clock.now_ms() >= exit_ms

    def compute_join_ms(self, max_ms: int) -> int:
        """Return how long the VM may wait for a thread of its own, in ms.

        :param max_ms: the maximum, which holds outside of a shutdown
        """
        plan = self._plan
        if plan is None:
            return max_ms
        left_ms = max(plan.exit_ms - self._clock.now_ms(), 0)
        return min(left_ms // JOIN_DIVISOR, max_ms)

    def _is_in_use(self) -> bool:
        return bool(self._list_open() or self.count_forwarded())

    def _report_wait(self) -> None:
        if self._plan is not None:
            self.reports.report_wait(self._plan.since_ms, self._plan.abort_ms)

    def _abort_open(self) -> None:
        if self._plan is not None:
            self._plan = self._plan.catch_up(self._clock.now_ms())
        self._is_aborting = True
        while self.has_time():
            open_requests = self._list_open()
            if not open_requests:
                return
            for exchange in open_requests:
                if exchange.abort(_make_fault()):
                    self._report_abort(exchange)
            # A stream may have been handed to the relay since the last time.
            self._cut_streams(_make_fault())
            self._clock.sleep_ms(POLL_MS)
        if self._plan is not None:
            self.reports.report_cut(self._plan.since_ms)

    def _report_abort(self, exchange: base.Exchange) -> None:
        if self._plan is not None:
            self.reports.report_abort(exchange, self._plan.since_ms)


def _make_fault() -> errors.Fault:
    return errors.Fault(
        errors.Code.UPSTREAM_TIMEOUT,
        errors.Step.CALLER,
        run=errors.ExecutionStatus.MAY_HAVE_RUN,
        message="this VM is shutting down, and no upstream has answered yet",
    )

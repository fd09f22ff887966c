"""Reports what keeps a VM from ending while it shuts down."""

import collections
import collections.abc
import logging

from mulberryway import clock
from mulberryway import logs
from mulberryway import metrics
from mulberryway.filters import base

__all__ = ["ShutdownReports"]

LOG = logging.getLogger(__name__)

WAIT_LOG_INTERVAL_MS = 1_000


class ShutdownReports:
    """Logs and counts the requests that are open during a shutdown.

    :param list_open: returns the requests in progress, the oldest first
    :param clock_: the source of the current time
    """

    def __init__(
        self,
        list_open: collections.abc.Callable[[], list[base.Exchange]],
        clock_: clock.Clock,
    ) -> None:
        self._list_open = list_open
        self._clock = clock_
        self._logged_ms: int | None = None
        self._outcomes: collections.Counter[str] = collections.Counter()

    def report_wait(self, since_ms: int, end_ms: int) -> None:
        """Log at intervals that the VM waits for open requests.

        :param since_ms: when the shutdown began
        :param end_ms: when the wait ends at the latest
        """
        now_ms = self._clock.now_ms()
        logged_ms = self._logged_ms
        if logged_ms is not None and now_ms - logged_ms < WAIT_LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        open_requests = self._list_open()
        oldest = open_requests[0] if open_requests else None
        LOG.info(
            "the VM waits for open requests",
            extra=logs.make_extra(
                open=len(open_requests),
                after_signal_ms=now_ms - since_ms,
                left_ms=end_ms - now_ms,
                oldest="" if oldest is None else oldest.request_id,
                oldest_ms=0 if oldest is None else now_ms - oldest.arrived_ms,
            ),
        )

    def report_abort(self, exchange: base.Exchange, since_ms: int) -> None:
        """Log a request that the VM answers itself at the end of the wait.

        :param exchange: the request
        :param since_ms: when the shutdown began
        """
        self._outcomes["answered"] += 1
        LOG.warning(
            "a request is given up by its VM, which has to end",
            extra=logs.make_extra(**self._describe(exchange, since_ms)),
        )

    def report_cut(self, since_ms: int) -> None:
        """Log each request that is open when the process has to end.

        :param since_ms: when the shutdown began
        """
        for exchange in self._list_open():
            self._outcomes["cut"] += 1
            LOG.warning(
                "a request is cut off by the end of its VM",
                extra=logs.make_extra(
                    **self._describe(exchange, since_ms),
                ),
            )

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register the metrics of shutdowns.

        :param metrics_: the process's instruments
        """
        metrics_.register_counter(
            "shutdown.requests",
            "requests that were open when their VM had to end, by outcome",
            lambda: [
                ({"outcome": outcome}, count)
                for outcome, count in self._outcomes.copy().items()
            ],
        )

    def _describe(
        self, exchange: base.Exchange, since_ms: int
    ) -> dict[str, str | int]:
        """Return the fields of a log line on an open request."""
        route = getattr(exchange, "route", None)
        return {
            "request_id": exchange.request_id,
            "route": "" if route is None else route.name,
            "upstream": exchange.tried[-1] if exchange.tried else "",
            "after_signal_ms": exchange.arrived_ms - since_ms,
            "open_ms": self._clock.now_ms() - exchange.arrived_ms,
        }

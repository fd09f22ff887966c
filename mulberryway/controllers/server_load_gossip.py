"""Tells the other VMs of the calls to plain servers, and hears of theirs."""

import collections.abc
import logging
import threading

from mulberryway import clock
from mulberryway import logs
from mulberryway import metrics
from mulberryway.controllers import base
from mulberryway.peers import gossip_messages
from mulberryway.policy import server_load_book
from mulberryway.policy import server_loads

__all__ = ["ServerLoadGossip"]

LOG = logging.getLogger(__name__)

# Log lines about refused calls or malformed reports are this far apart.
LOG_INTERVAL_MS = 5_000


class ServerLoadGossip(base.Controller):
    """Locks a book of calls, and sends its reports at a fixed interval.

    A report samples the calls in flight.  Reports that followed the start of
    a call would count it for much longer than it lasts.

    :param vm: this VM's name
    :param incarnation: the incarnation of its router
    :param count_vms: returns the number of VMs considered alive
    :param clock_: the clock
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        count_vms: collections.abc.Callable[[], int],
        clock_: clock.Clock,
    ) -> None:
        super().__init__(
            "server_loads", clock_, server_load_book.MIN_INTERVAL_MS
        )
        self.book = server_load_book.ServerLoadBook(vm, incarnation)
        # Also guards the server selector that uses the book.
        self.lock = threading.Lock()
        self._count_vms = count_vms
        self._logged_ms = clock_.now_ms()
        self._logged_refusals = 0
        self._has_logged_malformed = False
        # Sends a gossip message to all VMs; set by the code that creates the
        # gossip's transport.
        self.publish: collections.abc.Callable[[bytes, bool], None] = (
            lambda payload, is_urgent: None
        )

    def take_report(self, report: server_loads.ServerLoadReport) -> None:
        """Apply another VM's report.

        :param report: the report
        """
        with self.lock:
            is_valid = self.book.record_report(report, self.clock.now_ms())
        if not is_valid and not self._has_logged_malformed:
            self._has_logged_malformed = True
            LOG.error(
                "a report on plain servers is malformed",
                extra=logs.make_extra(source=report.vm),
            )

    def step(self) -> None:
        """Tell the other VMs what has changed."""
        vms = self._count_vms()
        now_ms = self.clock.now_ms()
        with self.lock:
            self.book.set_vm_count(vms)
            report = self.book.make_report(now_ms)
            self.period_ms = self.book.interval_ms
        if report is not None and vms > 1:
            self.publish(gossip_messages.encode_server_loads(report), False)
        if now_ms - self._logged_ms >= LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            self._has_logged_malformed = False
            self._log_refusals()

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register metrics of the servers and of early refusals.

        :param metrics_: the process's instruments
        """
        metrics_.register_labeled_gauge(
            "service.in_flight",
            "calls of all VMs to a plain server",
            lambda: self._list_values(0),
        )
        metrics_.register_labeled_gauge(
            "service.concurrency",
            "calls that a plain server runs at once, as learnt",
            lambda: self._list_values(1),
        )
        metrics_.register_labeled_gauge(
            "service.duration_ms",
            "duration of a call that does not wait, as learnt",
            lambda: self._list_values(2),
        )
        metrics_.register_counter(
            "service.refused",
            "calls refused early because the servers are busy, by rank",
            self._list_refusals,
        )

    def _read_servers(
        self,
    ) -> list[tuple[metrics.Labels, tuple[int, int, int]]]:
        """Return labels, calls in flight, concurrency and service time."""
        now_ms = self.clock.now_ms()
        with self.lock:
            return [
                (
                    {"pool": pool, "upstream": server},
                    (
                        round(self.book.count_in_flight(pool, server, now_ms)),
                        round(estimate.concurrency),
                        round(estimate.service_ms),
                    ),
                )
                for pool, server, estimate in self.book.list_servers()
            ]

    def _list_values(self, index: int) -> list[tuple[metrics.Labels, int]]:
        return [
            (labels, values[index]) for labels, values in self._read_servers()
        ]

    def _list_refusals(self) -> list[tuple[metrics.Labels, int]]:
        with self.lock:
            return [
                ({"pool": pool, "rank": rank}, count)
                for (pool, rank), count in self.book.refused.items()
            ]

    def _log_refusals(self) -> None:
        with self.lock:
            total = self.book.refused.total()
        refused = total - self._logged_refusals
        self._logged_refusals = total
        if not refused:
            return
        LOG.info(
            "calls to plain servers were refused early",
            extra=logs.make_extra(
                refused=refused,
                servers={
                    labels["upstream"]: values
                    for labels, values in self._read_servers()
                },
            ),
        )

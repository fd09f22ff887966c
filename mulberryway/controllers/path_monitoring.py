"""Monitors this VM's paths to upstreams, and probes the ones that failed."""

import collections
import logging
import random
import threading

from mulberryway import clock
from mulberryway import logs
from mulberryway import metrics
from mulberryway import tables
from mulberryway.controllers import base
from mulberryway.policy import paths
from mulberryway.upstreams import dialing

__all__ = ["CONNECT_TIMEOUT_MS", "PathMonitor"]

LOG = logging.getLogger(__name__)

IDLE_MS = 1_000
# Connecting takes a few milliseconds within a region.
CONNECT_TIMEOUT_MS = 150
MS_IN_S = 1_000


class PathMonitor(base.Controller):
    """Locks the table of paths, and probes suspect paths on its own thread.

    A probe only opens a connection, so no request depends on a path that may
    be cut.

    :param vm: this VM's name
    :param clock_: the clock
    """

    def __init__(self, vm: str, clock_: clock.Clock) -> None:
        super().__init__("paths", clock_, IDLE_MS)
        self._lock = threading.Lock()
        self._random = random.Random(f"{vm}/{clock_.now_ms()}")
        self._table = paths.PathTable(self._random)
        self._changed_ms = clock_.now_ms()
        self._connects: collections.Counter[str] = collections.Counter()

    def update_tables(self, changed: tables.Tables) -> None:
        """Monitor the paths to the upstreams of new tables.

        :param changed: the new tables
        """
        addresses = {
            upstream.address
            for pool in changed.pools.values()
            for upstream in pool.upstreams
        }
        with self._lock:
            self._table.retain(addresses)

    def is_suspect(self, address: str) -> bool:
        """Return whether connects to an upstream would probably fail.

        :param address: ``host:port``
        """
        with self._lock:
            return self._table.is_suspect(address)

    def is_cut_off(self) -> bool:
        """Return whether this VM seems to reach no upstream."""
        with self._lock:
            return self._table.is_cut_off

    def get_epoch(self, address: str) -> int:
        """Return a number that changes when the path is lost or restored.

        :param address: ``host:port``
        """
        with self._lock:
            return self._table.get_epoch(address)

    def record_success(self, address: str) -> None:
        """Record that a connect succeeded.

        :param address: ``host:port``
        """
        with self._lock:
            self._connects["direct"] += 1
            was_suspect = self._table.is_suspect(address)
            was_cut_off = self._table.is_cut_off
            self._table.record_success(address, self.clock.now_ms())
            is_cut_off = self._table.is_cut_off
        if was_suspect:
            LOG.info(
                "an upstream is reached again",
                extra=logs.make_extra(upstream=address),
            )
            self._handle_change(was_cut_off, is_cut_off)

    def record_failure(self, address: str, failure: OSError) -> None:
        """Record that a connect failed or timed out.

        :param address: ``host:port``
        :param failure: the error
        """
        with self._lock:
            self._connects["failed"] += 1
            was_suspect = self._table.is_suspect(address)
            was_cut_off = self._table.is_cut_off
            self._table.record_failure(address, self.clock.now_ms())
            is_cut_off = self._table.is_cut_off
        if not was_suspect:
            LOG.info(
                "an upstream cannot be reached",
                extra=logs.make_extra(upstream=address, reason=repr(failure)),
            )
        self._handle_change(was_cut_off, is_cut_off)

    def record_doubt(self, address: str) -> None:
        """Probe a path soon, because a call on an open connection failed.

        :param address: ``host:port``
        """
        with self._lock:
            self._table.request_probe(address, self.clock.now_ms())
        self.wake()

    def step(self) -> None:
        """Probe the path that is due."""
        now_ms = self.clock.now_ms()
        with self._lock:
            address = self._table.choose_probe(now_ms)
        if address is not None:
            self._probe(address)
        with self._lock:
            probe_ms = self._table.get_probe_ms()
        self.period_ms = IDLE_MS
        if probe_ms is not None:
            delay_ms = max(probe_ms - self.clock.now_ms(), 1)
            self.period_ms = min(delay_ms, IDLE_MS)

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register metrics for connects and suspect paths.

        :param metrics_: the process's instruments
        """
        metrics_.register_counter(
            "upstream.connects",
            "connections to upstreams, by how they were opened",
            lambda: [
                ({"path": path}, count)
                for path, count in self._connects.copy().items()
            ],
        )
        metrics_.register_gauge(
            "upstream.suspect_paths",
            "upstreams that this VM cannot reach directly",
            self._count_suspect,
        )

    def _count_suspect(self) -> int:
        with self._lock:
            return len(self._table.list_suspect())

    def _probe(self, address: str) -> None:
        try:
            dialing.connect_directly(address, CONNECT_TIMEOUT_MS).close()
        except OSError as failure:
            self.record_failure(address, failure)
        else:
            self.record_success(address)

    def _handle_change(self, was_cut_off: bool, is_cut_off: bool) -> None:
        if was_cut_off != is_cut_off:
            now_ms = self.clock.now_ms()
            LOG.warning(
                "this VM reaches no upstream"
                if is_cut_off
                else "this VM reaches upstreams again",
                extra=logs.make_extra(
                    suspect=self._count_suspect(),
                    after_ms=now_ms - self._changed_ms,
                ),
            )
            self._changed_ms = now_ms
        self.wake()

"""Collects what upstreams say of themselves, for all requests of a VM."""

import logging
import threading

from mulberryway import clock
from mulberryway import logs
from mulberryway import metrics
from mulberryway import tables
from mulberryway.policy import advisories

__all__ = ["UpstreamAdvisories"]

LOG = logging.getLogger(__name__)


class UpstreamAdvisories:
    """Locks a register of advisories, and logs its changes.

    :param register: the register
    :param clock_: the source of the current time
    """

    def __init__(
        self, register: advisories.AdvisoryRegister, clock_: clock.Clock
    ) -> None:
        self._register = register
        self._clock = clock_
        self._lock = threading.Lock()

    def record(self, upstream: str, advisory: advisories.Advisory) -> None:
        """Apply what a response says.

        :param upstream: the name of its upstream
        :param advisory: what it says
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            change = self._register.record(upstream, advisory, now_ms)
        if change is not None:
            self._log(change, took_ms=now_ms - advisory.sent_ms)

    def update_tables(self, changed: tables.Tables) -> None:
        """Forget what previous incarnations of upstreams have said.

        :param changed: the new tables
        """
        with self._lock:
            self._register.update_tables(changed)

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register metrics of what upstreams say.

        :param metrics_: the process's instruments
        """
        metrics_.register_gauge(
            "upstreams.rate_limited",
            "upstreams that name a rate limit in their responses",
            self._register.count_limited,
        )

    @staticmethod
    def _log(change: advisories.RateLimitChange, **fields: object) -> None:
        LOG.info(
            "the rate limit of an upstream has changed",
            extra=logs.make_extra(
                upstream=change.upstream,
                rate_per_s=change.rate_per_s,
                previous_per_s=change.previous_per_s,
                **fields,
            ),
        )

"""Holds this VM's decisions on traffic between availability zones."""

import logging
import threading

from mulberryway import logs
from mulberryway import metrics
from mulberryway import settings
from mulberryway.policy import zone_costs
from mulberryway.policy import zone_overflow

__all__ = ["ZoneTraffic"]

LOG = logging.getLogger(__name__)

# Bounds the log lines on loads that cannot be used, for each pool.
INVALID_INTERVAL_MS = 60_000


class ZoneTraffic:
    """The decisions for plain services and for engines, with their reports.

    Callers of the decisions hold locks of their own.

    :param settings_: the settings of the process
    """

    def __init__(self, settings_: settings.Settings) -> None:
        distance = (
            settings_.vm_zone,
            settings_.zones_round_trip_ms or zone_overflow.ROUND_TRIP_MS,
            settings_.zones_margin_ms,
        )
        self.overflow = zone_overflow.ZoneOverflow(*distance)
        self.costs = zone_costs.ZoneCosts(*distance)
        self.overflow.on_change = _log_change
        self.overflow.on_invalid = self._log_invalid
        self._lock = threading.Lock()
        self._invalid_ms: dict[str, int] = {}

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register metrics of traffic between zones.

        :param metrics_: the process's instruments
        """
        metrics_.register_labeled_gauge(
            "zones.share_percent",
            "part of a pool's plain requests that may leave the zone, by pool",
            lambda: [
                ({"pool": pool}, round(share * 100))
                for pool, share in self.overflow.list_shares()
            ],
        )
        metrics_.register_counter(
            "zones.released",
            "plain requests that might leave the zone, by pool",
            lambda: [
                ({"pool": pool}, total)
                for pool, total in self.overflow.list_released()
            ],
        )
        metrics_.register_counter(
            "zones.left",
            "streams and KV caches sent to another zone, by pool and kind",
            self._list_left,
        )
        metrics_.register_counter(
            "zones.kv_bytes",
            "bytes of KV caches sent between zones, by pool",
            lambda: [
                ({"pool": pool}, total)
                for pool, total in self.costs.list_bytes()
            ],
        )

    def _list_left(self) -> list[tuple[metrics.Labels, int]]:
        return [
            ({"pool": pool, "kind": kind}, total)
            for pool, kind, total in self.costs.list_left()
        ]

    def _log_invalid(
        self, pool: str, option: zone_overflow.ServerOption, now_ms: int
    ) -> None:
        with self._lock:
            logged_ms = self._invalid_ms.get(pool)
            if (
                logged_ms is not None
                and now_ms - logged_ms < INVALID_INTERVAL_MS
            ):
                return
            self._invalid_ms[pool] = now_ms
        LOG.error(
            "the load of a server cannot be used",
            extra=logs.make_extra(
                pool=pool,
                upstream=option.name,
                wait_ms=str(option.wait_ms),
                free=str(option.free),
            ),
        )


def _log_change(change: zone_overflow.ZoneChange) -> None:
    LOG.info(
        "requests may leave the zone"
        if change.share
        else "requests stay in the zone",
        extra=logs.make_extra(
            pool=change.pool,
            share=round(change.share, 3),
            local_ms=_round(change.local_ms),
            remote_ms=_round(change.remote_ms),
        ),
    )


def _round(value_ms: float | None) -> float | None:
    return None if value_ms is None else round(value_ms, 1)

"""Marks the versions of upstreams that have ended in the active tables."""

import collections.abc
import logging
import threading

from mulberryway import clock
from mulberryway import logs
from mulberryway import tables
from mulberryway.policy import unproven_versions

__all__ = ["UpstreamEnds"]

LOG = logging.getLogger(__name__)

# An upstream may have started again, and changed its entry, after this time.
MAX_NEWS_AGE_MS = 1_000


class UpstreamEnds:
    """Records the ends of upstreams, and has the tables built anew.

    :param source: provides the active tables
    :param refresh: builds new tables, which ask :meth:`find_version`
    :param clock_: the source of the current time
    """

    def __init__(
        self,
        source: tables.TableSource,
        refresh: collections.abc.Callable[[], None],
        clock_: clock.Clock,
    ) -> None:
        self._source = source
        self._refresh = refresh
        self._clock = clock_
        self._lock = threading.Lock()
        self._versions = unproven_versions.UnprovenVersions()

    def record(self, pool: str, name: str, at_ms: int) -> None:
        """Record that an upstream has ended.

        :param pool: the name of its pool
        :param name: its name
        :param at_ms: when that was found, in ms
        """
        row = self._find_row(pool, name)
        if row is None or self._clock.now_ms() - at_ms > MAX_NEWS_AGE_MS:
            return
        with self._lock:
            is_new = self._versions.record_end(row, at_ms)
        if is_new:
            LOG.info(
                "the version of an upstream that has ended is unproven",
                extra=logs.make_extra(upstream=name, version=row.version),
            )
            self._refresh()

    def find_version(self, upstream: tables.Upstream) -> str:
        """Return the version that an upstream counts as.

        :param upstream: its entry
        """
        with self._lock:
            return self._versions.find_version(upstream, self._clock.now_ms())

    def _find_row(self, pool: str, name: str) -> tables.Upstream | None:
        active = self._source.get_tables()
        known = None if active is None else active.pools.get(pool)
        if known is None:
            return None
        return next((row for row in known.upstreams if row.name == name), None)

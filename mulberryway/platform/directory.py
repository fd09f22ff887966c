"""Finds the object that stands for one of the platform's upstreams."""

import threading
import typing

from mulberryway import clock
from mulberryway import tables
from mulberryway.platform import engine
from mulberryway.platform import service
from mulberryway.upstreams import base
from mulberryway.upstreams import directory

__all__ = ["PlatformDirectory"]

PlatformUpstream = engine.PlatformEngine | service.PlatformService


class PlatformDirectory(directory.UpstreamDirectory):
    """Keeps one object, with its connections, for each incarnation.

    An address may pass to another server, so the address alone names none.

    :param clock_: where the time comes from
    """

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self._lock = threading.Lock()
        self._found: dict[tuple[str, str, type], PlatformUpstream] = {}

    def find_engine(
        self, pool: tables.Pool, upstream: tables.Upstream
    ) -> base.Engine:
        """Return the engine that an upstream's row names.

        :param pool: the pool
        :param upstream: the upstream
        :returns: the engine
        """
        return typing.cast(
            base.Engine, self._find(upstream, engine.PlatformEngine)
        )

    def find_service(
        self, pool: tables.Pool, upstream: tables.Upstream
    ) -> base.UpstreamService:
        """Return the plain service that an upstream's row names.

        :param pool: the pool
        :param upstream: the upstream
        :returns: the service
        """
        return typing.cast(
            base.UpstreamService, self._find(upstream, service.PlatformService)
        )

    def update_tables(self, changed: tables.Tables) -> None:
        """Forget upstreams that the tables no longer hold.

        :param changed: the new tables
        """
        wanted = {
            (upstream.name, upstream.address)
            for pool in changed.pools.values()
            for upstream in pool.upstreams
        }
        with self._lock:
            gone = [key for key in self._found if key[:2] not in wanted]
            closing = [self._found.pop(key) for key in gone]
        for found in closing:
            found.close()

    def _find(
        self, upstream: tables.Upstream, kind: type[PlatformUpstream]
    ) -> PlatformUpstream:
        key = (upstream.name, upstream.address, kind)
        with self._lock:
            found = self._found.get(key)
            if found is None:
                found = kind(upstream.name, upstream.address, self._clock)
                self._found[key] = found
            return found

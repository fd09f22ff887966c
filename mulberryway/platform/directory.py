"""Holds the client object of each of the platform's upstreams."""

import threading
import typing

from mulberryway import clock
from mulberryway import tables
from mulberryway.platform import advisories
from mulberryway.platform import engine
from mulberryway.platform import service
from mulberryway.upstreams import base
from mulberryway.upstreams import dialing
from mulberryway.upstreams import directory

__all__ = ["PlatformDirectory"]

PlatformUpstream = engine.PlatformEngine | service.PlatformService


class PlatformDirectory(directory.UpstreamDirectory):
    """Holds one client object, with its connections, per incarnation.

    An address can be reused by another server, so an address alone does not
    identify an incarnation.

    :param clock_: the clock
    :param dialer: opens the connections
    :param listener: called with what each response says of its upstream
    """

    def __init__(
        self,
        clock_: clock.Clock,
        dialer: dialing.Dialer = dialing.DIRECT,
        listener: advisories.Listener = advisories.ignore,
    ) -> None:
        self._clock = clock_
        self._listener = listener
        self.dialer = dialer
        self._lock = threading.Lock()
        self._upstreams_by_key: dict[
            tuple[str, str, type], PlatformUpstream
        ] = {}

    def find_engine(
        self, pool: tables.Pool, upstream: tables.Upstream
    ) -> base.Engine:
        """Return the engine for an upstream.

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
        """Return the plain service for an upstream.

        :param pool: the pool
        :param upstream: the upstream
        :returns: the service
        """
        return typing.cast(
            base.UpstreamService, self._find(upstream, service.PlatformService)
        )

    def update_tables(self, changed: tables.Tables) -> None:
        """Close and remove upstreams that are missing from new tables.

        :param changed: the new tables
        """
        current = {
            (upstream.name, upstream.address): upstream
            for pool in changed.pools.values()
            for upstream in pool.upstreams
        }
        with self._lock:
            for key, client in self._upstreams_by_key.items():
                if key[:2] in current:
                    client.is_cordoned = current[key[:2]].cordoned
            removed = [
                key for key in self._upstreams_by_key if key[:2] not in current
            ]
            closing = [self._upstreams_by_key.pop(key) for key in removed]
        for client in closing:
            client.close()

    def _find(
        self, upstream: tables.Upstream, kind: type[PlatformUpstream]
    ) -> PlatformUpstream:
        key = (upstream.name, upstream.address, kind)
        with self._lock:
            client = self._upstreams_by_key.get(key)
            if client is None:
                client = kind(
                    upstream.name,
                    upstream.address,
                    self._clock,
                    self.dialer,
                    self._listener,
                )
                client.is_cordoned = upstream.cordoned
                self._upstreams_by_key[key] = client
            return client

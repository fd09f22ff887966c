"""Maps upstreams of the tables to their client objects."""

import abc
import threading
import typing

from mulberryway import clock
from mulberryway import tables
from mulberryway.upstreams import base
from mulberryway.upstreams import dialing
from mulberryway.upstreams import http_engine
from mulberryway.upstreams import http_service

__all__ = ["HttpDirectory", "UpstreamDirectory", "find_engine_by_name"]

HttpUpstream = http_engine.HttpEngine | http_service.HttpService


class UpstreamDirectory(abc.ABC):
    """Interface that provides the client objects of engines and services.

    Support for another protocol is added by implementing this interface.
    """

    # Opens the connections to all upstreams.
    dialer: dialing.Dialer = dialing.DIRECT

    @abc.abstractmethod
    def find_engine(
        self, pool: tables.Pool, upstream: tables.Upstream
    ) -> base.Engine:
        """Return the engine at an upstream's address.

        :param pool: the pool; its credential is used
        :param upstream: the upstream
        :returns: the engine
        """

    @abc.abstractmethod
    def find_service(
        self, pool: tables.Pool, upstream: tables.Upstream
    ) -> base.UpstreamService:
        """Return the plain service at an upstream's address.

        :param pool: the pool; its credential is used
        :param upstream: the upstream
        :returns: the service
        """

    @abc.abstractmethod
    def update_tables(self, changed: tables.Tables) -> None:
        """Evict the upstreams that the new tables lack.

        :param changed: the new tables
        """


def find_engine_by_name(
    tables_: tables.Tables | None,
    directory: UpstreamDirectory,
    pool: str,
    upstream: str,
) -> base.Engine | None:
    """Look up an engine by its pool and upstream name.

    :param tables_: the active tables, or none
    :param directory: provides the engine object
    :param pool: the pool's name
    :param upstream: the upstream's name
    :returns: the engine; none if the tables do not contain it
    """
    row = tables_.pools.get(pool) if tables_ is not None else None
    return next(
        (
            directory.find_engine(row, candidate)
            for candidate in (row.upstreams if row is not None else ())
            if candidate.name == upstream
        ),
        None,
    )


class HttpDirectory(UpstreamDirectory):
    """Caches one client object, with its connections, for each address.

    :param clock_: the clock
    :param dialer: opens the connections
    """

    def __init__(
        self, clock_: clock.Clock, dialer: dialing.Dialer = dialing.DIRECT
    ) -> None:
        self._clock = clock_
        self.dialer = dialer
        self._lock = threading.Lock()
        self._upstreams: dict[tuple[str, str, type], HttpUpstream] = {}

    def find_engine(
        self, pool: tables.Pool, upstream: tables.Upstream
    ) -> base.Engine:
        """Return the engine at an upstream's address.

        :param pool: the pool; its credential is used
        :param upstream: the upstream
        :returns: the engine
        """
        return typing.cast(
            base.Engine, self._find(pool, upstream, http_engine.HttpEngine)
        )

    def find_service(
        self, pool: tables.Pool, upstream: tables.Upstream
    ) -> base.UpstreamService:
        """Return the plain service at an upstream's address.

        :param pool: the pool; its credential is used
        :param upstream: the upstream
        :returns: the service
        """
        return typing.cast(
            base.UpstreamService,
            self._find(pool, upstream, http_service.HttpService),
        )

    def update_tables(self, changed: tables.Tables) -> None:
        """Evict the upstreams that the new tables lack.

        :param changed: the new tables
        """
        current_keys = {
            (upstream.address, pool.credential)
            for pool in changed.pools.values()
            for upstream in pool.upstreams
        }
        with self._lock:
            removed_keys = [
                key for key in self._upstreams if key[:2] not in current_keys
            ]
            removed = [self._upstreams.pop(key) for key in removed_keys]
        for client in removed:
            client.close()

    def _find(
        self,
        pool: tables.Pool,
        upstream: tables.Upstream,
        kind: type[HttpUpstream],
    ) -> HttpUpstream:
        key = (upstream.address, pool.credential, kind)
        with self._lock:
            client = self._upstreams.get(key)
            if client is None:
                client = kind(
                    upstream.address,
                    pool.credential,
                    self._clock,
                    self.dialer,
                )
                self._upstreams[key] = client
            return client

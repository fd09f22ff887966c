"""Active tables built from mirrors of the platform's store."""

import abc
import collections.abc
import logging
import threading

from mulberryway import logs
from mulberryway import tables
from mulberryway.controllers import mirrors
from mulberryway.objects import base as objects

__all__ = ["MirroredTables", "Reader"]

LOG = logging.getLogger(__name__)

OnChange = collections.abc.Callable[[tables.Tables], None]


class Reader(abc.ABC):
    """Builds tables from the store's objects."""

    @abc.abstractmethod
    def read(
        self,
        configuration: collections.abc.Mapping[str, objects.StoredObject],
        servers: collections.abc.Iterable[objects.StoredObject],
        revision: int,
        evacuations: collections.abc.Iterable[objects.StoredObject] = (),
    ) -> tables.Tables | None:
        """Build the tables.

        :param configuration: the configuration's objects by name
        :param servers: the entries of upstreams
        :param revision: the revision of the new tables
        :param evacuations: the entries of availability zones whose upstreams
            get no requests
        :returns: the tables, or None while there is no configuration
        :raises ValueError: if the configuration is malformed
        """


class MirroredTables(tables.TableSource):
    """Builds new tables whenever one of its mirrors has changed.

    The mirrors' controllers have to call :meth:`refresh` on a change.
    ``evacuations`` is None where the platform evacuates no zones.

    :param reader: builds tables from the store's objects

    ``is_leaving`` tells which upstreams have said themselves that they will
    end; the store may learn of it much later.  ``find_version`` returns the
    version that an upstream counts as.
    """

    def __init__(self, reader: Reader) -> None:
        self._reader = reader
        self.is_leaving: collections.abc.Callable[[tables.Upstream], bool] = (
            lambda upstream: False
        )
        self.find_version: collections.abc.Callable[[tables.Upstream], str] = (
            lambda upstream: upstream.version
        )
        self._lock = threading.Lock()
        self._tables: tables.Tables | None = None
        self._subscribers: list[OnChange] = []
        self._revision = 0
        self.configuration: mirrors.MirrorController | None = None
        self.servers: mirrors.MirrorController | None = None
        self.evacuations: mirrors.MirrorController | None = None

    def get_tables(self) -> tables.Tables | None:
        """Return the active tables, or None before the first are known."""
        return self._tables

    def subscribe(self, on_change: OnChange) -> None:
        """Call a function after each change, on the thread that makes it.

        :param on_change: called with the new tables; must return quickly
        """
        self._subscribers.append(on_change)

    def refresh(self) -> None:
        """Rebuild the tables from the mirrors and notify the subscribers."""
        with self._lock:
            if not _have_synced(self.configuration, self.servers):
                # Tables without upstreams would admit requests that are then
                # rejected.
                return
            evacuations = self.evacuations
            if evacuations is not None and not evacuations.has_synced:
                return
            self._revision += 1
            rows = {
                item.name: item for item in self.configuration.list_objects()
            }
            try:
                built = self._reader.read(
                    rows,
                    self.servers.list_objects(),
                    self._revision,
                    evacuations.list_objects() if evacuations else (),
                )
            except (ValueError, KeyError, TypeError) as error:
                # The previous tables stay active, because a guess could route
                # requests to upstreams that must not get them.
                LOG.error(
                    "the configuration cannot be read",
                    extra=logs.make_extra(reason=repr(error)),
                )
                return
            if built is None:
                return
            built.era = self.configuration.changed.era
            for pool in built.pools.values():
                for upstream in pool.upstreams:
                    if self.is_leaving(upstream):
                        upstream.leaving = True
                    upstream.version = self.find_version(upstream)
            self._tables = built
            for on_change in self._subscribers:
                on_change(built)
        LOG.info(
            "tables are in force",
            extra=logs.make_extra(
                revision=built.revision,
                era=built.era,
                configuration=self.configuration.changed.revision,
                servers=self.servers.changed.revision,
                routes=len(built.routes),
                upstreams=sum(
                    len(pool.upstreams) for pool in built.pools.values()
                ),
            ),
        )


def _have_synced(*controllers: mirrors.MirrorController | None) -> bool:
    return all(
        controller is not None and controller.has_synced
        for controller in controllers
    )

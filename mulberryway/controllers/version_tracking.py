"""Finds out which software version began a stream, with other VMs' help."""

import collections
import collections.abc
import enum
import logging
import threading

from mulberryway import clock
from mulberryway import logs
from mulberryway import metrics
from mulberryway import peers
from mulberryway import tables
from mulberryway.peers import gossip_messages
from mulberryway.peers.gen.streams import Streams
from mulberryway.peers.gen.streams import ttypes
from mulberryway.policy import member
from mulberryway.policy import stream_owners
from mulberryway.policy import stream_versions

__all__ = ["FoundVersion", "VersionHandler", "VersionSource", "VersionTracker"]

LOG = logging.getLogger(__name__)

# Timeouts of asking one VM and all VMs; the caller waits meanwhile.
ASK_TIMEOUT_MS = 250
ASK_ALL_TIMEOUT_MS = 600
# Interval of log lines on streams that are dropped for lack of memory.
EVICTION_LOG_INTERVAL_MS = 10_000
# Most streams of a version end within this time after its last server has
# left.
SEVERAL_VERSIONS_WINDOW_MS = 30_000


class VersionSource(enum.Enum):
    """How the version of a resumed stream was found; a metric's label.

    ``SOLE``: no other version can have begun it.
    """

    KNOWN = "known"
    ASKED = "asked"
    SOLE = "sole"
    UNKNOWN = "unknown"


class FoundVersion:
    """The result of a search for a stream's version.

    :param version: the version; none if it is unknown
    :param source: how it was found
    :param asked: how many VMs were asked, and how many answered
    :param serving: the versions that have served the pool of late
    """

    __slots__ = ("version", "source", "asked", "serving")

    def __init__(
        self,
        version: str | None,
        source: VersionSource,
        asked: tuple[int, int] = (0, 0),
        serving: frozenset[str] = frozenset(),
    ) -> None:
        self.version = version
        self.source = source
        self.asked = asked
        self.serving = serving


class VersionTracker:
    """Records streams at the VMs that own them, and finds resumed ones.

    A record is sent before the stream's first event goes to its caller.  A VM
    that has no record, because it is no owner, has started later or a
    datagram was lost, asks the owners.

    :param vm: this VM's name
    :param client: calls other VMs
    :param has_current_tables: returns whether the store confirms the tables
    :param clock_: the source of the current time
    """

    def __init__(
        self,
        vm: str,
        client: peers.PeerClient,
        has_current_tables: collections.abc.Callable[[], bool],
        clock_: clock.Clock,
    ) -> None:
        self._vm = vm
        self._client = client
        self._has_current_tables = has_current_tables
        self._clock = clock_
        self._lock = threading.Lock()
        self._table = stream_versions.StreamVersionTable()
        self._history = stream_versions.VersionHistory()
        self._found: collections.Counter[VersionSource] = collections.Counter()
        self._owners = stream_owners.StreamOwners({})
        self._addresses: dict[str, str] = {}
        self._eviction_logged_ms: int | None = None
        # The longest time for which streams of a pool may return, by pool.  A
        # configuration may shorten it while streams run.
        self._windows_ms: dict[str, int] = {}
        # Grows with each batch of records.
        self.changes = 0
        # Sends a gossip message to some VMs; set by the code that creates the
        # gossip's transport.
        self.send: collections.abc.Callable[
            [bytes, collections.abc.Iterable[str]], None
        ] = lambda payload, names: None

    def update_members(self, alive: list[member.Member]) -> None:
        """Replace the list of VMs that may own streams.

        :param alive: the VMs considered alive, including this one
        """
        owners = stream_owners.StreamOwners({vm.name: vm.zone for vm in alive})
        with self._lock:
            self._addresses = {vm.name: vm.peer for vm in alive}
            self._owners = owners

    def update_tables(self, changed: tables.Tables) -> None:
        """Apply new tables.

        :param changed: the tables
        """
        versions = {
            pool.name: frozenset(row.version for row in pool.upstreams)
            for pool in changed.pools.values()
        }
        with self._lock:
            self._history.update(versions, self._clock.now_ms())

    def record(
        self, stream: bytes, pool: str, version: str, ttl_ms: int
    ) -> None:
        """Record a stream whose first event has arrived; must return quickly.

        :param stream: the digest of the stream
        :param pool: the pool's name
        :param version: the software version that wrote the event
        :param ttl_ms: how long the stream may be resumed, in ms
        """
        record = stream_versions.StreamVersion(stream, pool, version, ttl_ms)
        with self._lock:
            self._widen(pool, ttl_ms)
        self.receive([record])
        self.send(
            gossip_messages.encode_stream_version(record),
            [name for name, _ in self._list_other_owners(stream)],
        )

    def receive(self, records: list[stream_versions.StreamVersion]) -> None:
        """Apply records.

        :param records: records of this VM or of others
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            self.changes += 1
            evicted = self._table.evicted
            conflicting = [
                record
                for record in records
                if not self._table.record(record, now_ms)
            ]
            has_evicted = self._table.evicted > evicted
        for record in conflicting:
            LOG.warning(
                "two versions were recorded for one stream",
                extra=logs.make_extra(
                    pool=record.pool,
                    stream=record.stream.hex(),
                    version=record.version,
                ),
            )
        if has_evicted:
            self._log_eviction(now_ms)

    def list_records(self) -> list[stream_versions.StreamVersion]:
        """Return the streams that this VM knows."""
        with self._lock:
            return self._table.list_records(self._clock.now_ms())

    def has_several_versions(self) -> bool:
        """Return whether a pool has been served by several versions lately."""
        with self._lock:
            return self._history.has_several_versions(
                SEVERAL_VERSIONS_WINDOW_MS, self._clock.now_ms()
            )

    def find(self, stream: bytes, pool: str, window_ms: int) -> FoundVersion:
        """Find the version that began a stream; may ask other VMs.

        :param stream: the digest of the stream
        :param pool: the pool's name
        :param window_ms: how long ago it may have begun, in ms
        :returns: the version, or that it is unknown
        """
        found = self._find(stream, pool, window_ms)
        with self._lock:
            self._found[found.source] += 1
        return found

    def answer(
        self, stream: bytes, pool: str, window_ms: int
    ) -> ttypes.VersionReply:
        """Return what this VM knows of a stream, for another VM.

        :param stream: the digest of the stream
        :param pool: the pool's name
        :param window_ms: how long ago it may have begun, in ms
        """
        now_ms = self._clock.now_ms()
        is_current = self._has_current_tables()
        with self._lock:
            window_ms = self._widen(pool, window_ms)
            known = self._table.find(stream, pool, now_ms)
            if known is not None:
                return ttypes.VersionReply(known)
            if not is_current or self._table.is_ambiguous(stream):
                return ttypes.VersionReply()
            return ttypes.VersionReply(
                None, self._history.find_sole_version(pool, window_ms, now_ms)
            )

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register metrics for resumed streams and known streams.

        :param metrics_: the process's instruments
        """
        metrics_.register_counter(
            "streams.resumed",
            "streams that callers resumed, by how their version was found",
            lambda: [
                ({"source": source.value}, self._found[source])
                for source in VersionSource
            ],
        )
        metrics_.register_gauge(
            "streams.versions",
            "streams whose software version is known",
            lambda: len(self._table),
        )
        metrics_.register_counter(
            "streams.evicted",
            "streams whose software version was dropped for lack of memory",
            lambda: [({}, self._table.evicted)],
        )

    def _log_eviction(self, now_ms: int) -> None:
        logged_ms = self._eviction_logged_ms
        if (
            logged_ms is not None
            and now_ms - logged_ms < EVICTION_LOG_INTERVAL_MS
        ):
            return
        self._eviction_logged_ms = now_ms
        LOG.warning(
            "too many streams to remember their versions",
            extra=logs.make_extra(evicted=self._table.evicted),
        )

    def _find(self, stream: bytes, pool: str, window_ms: int) -> FoundVersion:
        now_ms = self._clock.now_ms()
        with self._lock:
            window_ms = self._widen(pool, window_ms)
            known = self._table.find(stream, pool, now_ms)
            serving = self._history.list_versions(pool, window_ms, now_ms)
            sole = self._history.find_sole_version(pool, window_ms, now_ms)
            is_ambiguous = self._table.is_ambiguous(stream)
        if known is not None:
            return FoundVersion(known, VersionSource.KNOWN)
        if is_ambiguous:
            return FoundVersion(None, VersionSource.UNKNOWN, serving=serving)
        owners = self._list_other_owners(stream)
        if not owners and sole is not None and self._has_current_tables():
            return FoundVersion(sole, VersionSource.SOLE)
        asked, answered = 0, 0
        deadline = clock.Deadline(now_ms + ASK_ALL_TIMEOUT_MS)
        for _, address in owners:
            left_ms = deadline.left_ms(self._clock.now_ms())
            if left_ms <= 0:
                break
            asked += 1
            reply = self._client.call(
                address,
                Streams.Client,
                "find_version",
                stream,
                pool,
                window_ms,
                timeout_ms=min(ASK_TIMEOUT_MS, left_ms),
                is_idempotent=True,
            )
            if reply.is_error():
                continue
            answered += 1
            counts = (asked, answered)
            if reply.ok.version is not None:
                return FoundVersion(
                    reply.ok.version, VersionSource.ASKED, counts, serving
                )
            sole = reply.ok.sole_version
            # This VM may know of a version that the other one has not seen.
            if sole is not None and serving <= {sole}:
                return FoundVersion(sole, VersionSource.SOLE, counts, serving)
        return FoundVersion(
            None, VersionSource.UNKNOWN, (asked, answered), serving
        )

    def _widen(self, pool: str, window_ms: int) -> int:
        """Return the longest window of a pool so far, in ms."""
        longest_ms = max(window_ms, self._windows_ms.get(pool, 0))
        self._windows_ms[pool] = longest_ms
        return longest_ms

    def _list_other_owners(self, stream: bytes) -> list[tuple[str, str]]:
        """Return the names and peer addresses of a stream's owners."""
        with self._lock:
            owners, addresses = self._owners, self._addresses
        return [
            (name, addresses[name])
            for name in owners.choose(stream)
            if name != self._vm
        ]


class VersionHandler:
    """Answers other VMs' questions for streams.

    :param tracker: knows the streams
    """

    def __init__(self, tracker: VersionTracker) -> None:
        self._tracker = tracker

    def find_version(
        self, stream: bytes, pool: str, window_ms: int
    ) -> ttypes.VersionReply:
        """Return what this VM knows of a stream.

        :param stream: the digest of the stream
        :param pool: the pool's name
        :param window_ms: how long ago it may have begun, in ms
        """
        return self._tracker.answer(stream, pool, window_ms)

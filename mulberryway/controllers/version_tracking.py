"""Knows which software version began each stream, over all VMs."""

import collections
import collections.abc
import enum
import logging
import random
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
from mulberryway.policy import stream_versions

__all__ = ["FoundVersion", "VersionHandler", "VersionSource", "VersionTracker"]

LOG = logging.getLogger(__name__)

# VMs that are asked for a stream that this VM does not know, and the timeout
# of each.  The caller waits meanwhile.
MAX_ASKED = 3
ASK_TIMEOUT_MS = 250


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
    """Records streams, tells the other VMs, and finds resumed streams.

    A record is sent to all VMs before the stream's first event goes to its
    caller.  A VM that has no record, because it started later or a datagram
    was lost, asks others.

    :param vm: this VM's name
    :param zone: its availability zone
    :param client: calls other VMs
    :param list_members: returns all known VMs
    :param has_current_tables: returns whether the store confirms the tables
    :param clock_: the source of the current time
    """

    def __init__(
        self,
        vm: str,
        zone: str,
        client: peers.PeerClient,
        list_members: collections.abc.Callable[[], list[member.Member]],
        has_current_tables: collections.abc.Callable[[], bool],
        clock_: clock.Clock,
    ) -> None:
        self._vm = vm
        self._zone = zone
        self._client = client
        self._list_members = list_members
        self._has_current_tables = has_current_tables
        self._clock = clock_
        self._random = random.Random()
        self._lock = threading.Lock()
        self._table = stream_versions.StreamVersionTable()
        self._history = stream_versions.VersionHistory()
        self._found: collections.Counter[VersionSource] = collections.Counter()
        # Sends a gossip message to all VMs; set by the code that creates the
        # gossip's transport.
        self.publish: collections.abc.Callable[[bytes], None] = (
            lambda payload: None
        )

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
        self.receive([record])
        self.publish(gossip_messages.encode_stream_version(record))

    def receive(self, records: list[stream_versions.StreamVersion]) -> None:
        """Apply records of other VMs.

        :param records: the records
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            evicted = self._table.evicted
            conflicting = [
                record
                for record in records
                if not self._table.record(record, now_ms)
            ]
            evicted = self._table.evicted - evicted
        for record in conflicting:
            LOG.warning(
                "two versions were recorded for one stream",
                extra=logs.make_extra(
                    pool=record.pool,
                    stream=record.stream.hex(),
                    version=record.version,
                ),
            )
        if evicted:
            LOG.warning(
                "too many streams to remember their versions",
                extra=logs.make_extra(evicted=evicted),
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

    def _find(self, stream: bytes, pool: str, window_ms: int) -> FoundVersion:
        now_ms = self._clock.now_ms()
        with self._lock:
            known = self._table.find(stream, pool, now_ms)
            serving = self._history.list_versions(pool, window_ms, now_ms)
            sole = self._history.find_sole_version(pool, window_ms, now_ms)
            is_ambiguous = self._table.is_ambiguous(stream)
        if known is not None:
            return FoundVersion(known, VersionSource.KNOWN)
        if is_ambiguous:
            return FoundVersion(None, VersionSource.UNKNOWN, serving=serving)
        asked = self._choose_peers()
        if not asked and sole is not None and self._has_current_tables():
            return FoundVersion(sole, VersionSource.SOLE)
        answered = 0
        for peer in asked:
            reply = self._client.call(
                peer.peer,
                Streams.Client,
                "find_version",
                stream,
                pool,
                window_ms,
                timeout_ms=ASK_TIMEOUT_MS,
                is_idempotent=True,
            )
            if reply.is_error():
                continue
            answered += 1
            if reply.ok.version is not None:
                return FoundVersion(
                    reply.ok.version,
                    VersionSource.ASKED,
                    (len(asked), answered),
                    serving,
                )
            # This VM may know of a version that the other one has not seen.
            if reply.ok.sole_version is not None and serving <= {
                reply.ok.sole_version
            }:
                return FoundVersion(
                    reply.ok.sole_version,
                    VersionSource.SOLE,
                    (len(asked), answered),
                    serving,
                )
        return FoundVersion(
            None, VersionSource.UNKNOWN, (len(asked), answered), serving
        )

    def _choose_peers(self) -> list[member.Member]:
        """Return VMs to ask; one of this VM's zone first."""
        others = [
            vm
            for vm in self._list_members()
            if vm.name != self._vm
            and vm.health is not member.MemberStatus.DEAD
        ]
        self._random.shuffle(others)
        others.sort(key=lambda vm: (vm.is_starting, vm.zone != self._zone))
        local = others[:1]
        remote = [vm for vm in others[1:] if vm.zone != self._zone]
        rest = [vm for vm in others[1:] if vm.zone == self._zone]
        return [*local, *remote, *rest][:MAX_ASKED]


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

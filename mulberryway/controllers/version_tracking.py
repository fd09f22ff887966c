"""Finds out which software version began a stream, with other VMs' help."""

import collections
import collections.abc
import enum
import itertools
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
from mulberryway.policy import store_reachability
from mulberryway.policy import stream_owners
from mulberryway.policy import stream_versions
from mulberryway.policy import unproven_versions

__all__ = ["FoundVersion", "VersionHandler", "VersionSource", "VersionTracker"]

LOG = logging.getLogger(__name__)

# Timeouts of asking one VM and all VMs, for a record and then for a proof; the
# caller waits meanwhile.
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
    :param confirm_history: asks the store for the changes of servers up to the
        call, passes them to :meth:`record_seen`, and returns since when this
        VM has missed none, in ms; none if it cannot tell
    :param clock_: the source of the current time
    """

    def __init__(
        self,
        vm: str,
        client: peers.PeerClient,
        confirm_history: collections.abc.Callable[[], int | None],
        clock_: clock.Clock,
    ) -> None:
        self._vm = vm
        self._client = client
        self._confirm_history = confirm_history
        self._clock = clock_
        self._lock = threading.Lock()
        self._table = stream_versions.StreamVersionTable()
        self._history = stream_versions.VersionHistory()
        self._found: collections.Counter[VersionSource] = collections.Counter()
        self._owners = stream_owners.StreamOwners({})
        self._addresses: dict[str, str] = {}
        # The VMs that follow the changes in the store.
        self._watchers: list[str] = []
        self._turns = itertools.count()
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
        watchers = store_reachability.choose_watchers(vm.name for vm in alive)
        with self._lock:
            self._addresses = {vm.name: vm.peer for vm in alive}
            self._owners = owners
            self._watchers = watchers

    def update_tables(self, changed: tables.Tables) -> None:
        """Apply new tables.

        :param changed: the tables
        """
        versions = {
            pool.name: frozenset(
                row.version
                for row in pool.upstreams
                if not unproven_versions.is_unproven(row.version)
            )
            for pool in changed.pools.values()
        }
        with self._lock:
            self._history.update(versions, self._clock.now_ms())

    def record_seen(
        self, versions: collections.abc.Iterable[tuple[str, str]]
    ) -> None:
        """Remember versions of servers that may have left since.

        :param versions: names of pools and versions
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            for pool, version in versions:
                self._history.record_seen(pool, version, now_ms)

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

    def find(
        self,
        stream: bytes,
        pool: str,
        window_ms: int,
        has_record: bool = True,
    ) -> FoundVersion:
        """Find the version that began a stream; may ask other VMs.

        :param stream: the digest of the stream
        :param pool: the pool's name
        :param window_ms: how long ago it may have begun, in ms
        :param has_record: whether a VM may have a record under the digest
        :returns: the version, or that it is unknown
        """
        found = self._find(stream, pool, window_ms, has_record)
        with self._lock:
            self._found[found.source] += 1
        return found

    def answer(
        self, stream: bytes, pool: str, window_ms: int
    ) -> ttypes.VersionReply:
        """Return what this VM knows of a stream, for another VM.

        :param stream: the digest of the stream
        :param pool: the pool's name
        :param window_ms: how long ago it may have begun, in ms; 0 to ask for
            a record only, which needs no call to the store
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            known = self._table.find(stream, pool, now_ms)
            is_ambiguous = self._table.is_ambiguous(stream)
        if known is not None:
            return ttypes.VersionReply(known)
        if is_ambiguous or window_ms <= 0:
            return ttypes.VersionReply()
        return ttypes.VersionReply(None, self._prove_sole(pool, window_ms))

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

    def _find(
        self, stream: bytes, pool: str, window_ms: int, has_record: bool
    ) -> FoundVersion:
        now_ms = self._clock.now_ms()
        with self._lock:
            window_ms = self._widen(pool, window_ms)
            known = self._table.find(stream, pool, now_ms)
            serving = self._history.list_versions(pool, window_ms, now_ms)
            is_ambiguous = self._table.is_ambiguous(stream)
        if known is not None:
            return FoundVersion(known, VersionSource.KNOWN)
        if is_ambiguous:
            return FoundVersion(None, VersionSource.UNKNOWN, serving=serving)
        counts = (0, 0)
        owners = self._list_other_owners(stream) if has_record else []
        for counts, reply in self._ask(owners, stream, pool, 0):
            if reply is not None and reply.version is not None:
                return FoundVersion(
                    reply.version, VersionSource.ASKED, counts, serving
                )
        sole = None
        # Where several versions have served, no VM can prove the contrary.
        if len(serving) <= 1:
            sole = self._find_sole(stream, pool, window_ms)
            with self._lock:
                # This VM may know of a version that another one has not seen.
                serving = self._history.list_versions(
                    pool, window_ms, self._clock.now_ms()
                )
        if sole is not None and serving <= {sole}:
            return FoundVersion(sole, VersionSource.SOLE, counts, serving)
        return FoundVersion(None, VersionSource.UNKNOWN, counts, serving)

    def _find_sole(
        self, stream: bytes, pool: str, window_ms: int
    ) -> str | None:
        """Return the only version that can have begun a stream, if proven."""
        others = self._list_other_watchers()
        if not others:
            return self._prove_sole(pool, window_ms)
        return next(
            (
                reply.sole_version
                for _, reply in self._ask(others, stream, pool, window_ms)
                if reply is not None and reply.sole_version is not None
            ),
            None,
        )

    def _prove_sole(self, pool: str, window_ms: int) -> str | None:
        """Return the only version that can have begun a stream by now.

        The store is asked after the question, so the proof covers streams
        that began until then, at VMs that are not in touch as well.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            window_ms = self._widen(pool, window_ms)
            sole = self._history.find_sole_version(pool, window_ms, now_ms)
        if sole is None:
            return None
        followed_ms = self._confirm_history()
        if followed_ms is None:
            return None
        with self._lock:
            return self._history.find_sole_version(
                pool, window_ms, now_ms, followed_ms
            )

    def _ask(
        self,
        vms: list[tuple[str, str]],
        stream: bytes,
        pool: str,
        window_ms: int,
    ) -> collections.abc.Iterator[
        tuple[tuple[int, int], ttypes.VersionReply | None]
    ]:
        """Ask VMs one after the other, while there is time.

        :returns: after each VM, how many were asked and how many answered, and
            its reply, if any
        """
        answered = 0
        deadline = clock.Deadline(self._clock.now_ms() + ASK_ALL_TIMEOUT_MS)
        for asked, (_, address) in enumerate(vms, 1):
            left_ms = deadline.left_ms(self._clock.now_ms())
            if left_ms <= 0:
                return
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
            is_answered = not reply.is_error()
            answered += is_answered
            yield (asked, answered), reply.ok if is_answered else None

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

    def _list_other_watchers(self) -> list[tuple[str, str]]:
        """Return names and addresses of the VMs that follow the store.

        They begin with another one each time.
        """
        with self._lock:
            watchers, addresses = self._watchers, self._addresses
        others = [name for name in watchers if name != self._vm]
        start = next(self._turns) % len(others) if others else 0
        return [
            (name, addresses[name])
            for name in (*others[start:], *others[:start])
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

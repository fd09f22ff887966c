"""The active tables of this VM; their revision never decreases."""

import collections.abc
import enum
import logging
import threading

from mulberryway import clock
from mulberryway import errors
from mulberryway import tables
from mulberryway.tables import freshness
from mulberryway.tables import root as roots
from mulberryway.tables import segments

__all__ = ["OfferResult", "ActiveTables"]

LOG = logging.getLogger(__name__)

Fetch = collections.abc.Callable[
    [list[str]], collections.abc.Mapping[str, bytes]
]


class OfferResult(enum.Enum):
    """Result of offering a root."""

    INSTALLED = "taken"
    UNCHANGED = "known"
    STALE = "old"
    INCOMPLETE = "incomplete"
    CONFLICTING = "different"


class ActiveTables(tables.TableSource):
    """Installs newer roots, rejects older ones and tracks their age.

    :param clock_: the clock
    :param fresh_ms: how long a confirmation is sufficient without a
        majority of the VMs, in milliseconds
    :param outage_ms: how long the tables may be used while the platform is
        unreachable, in milliseconds
    """

    def __init__(
        self, clock_: clock.Clock, fresh_ms: int, outage_ms: int
    ) -> None:
        self._clock = clock_
        self._fresh_ms = fresh_ms
        self._outage_ms = outage_ms
        self._started_ms = clock_.now_ms()
        self._lock = threading.RLock()
        self._cache = segments.SegmentCache()
        self._root = roots.Root.make_empty()
        self._tables: tables.Tables | None = None
        self._confirmation: freshness.Confirmation | None = None
        self._newest_revision = 0
        self._quorum_ms: int | None = None
        self._subscribers: list[
            collections.abc.Callable[[tables.Tables], None]
        ] = []

    def get_tables(self) -> tables.Tables | None:
        """Return the tables, or None while they must not be used."""
        if self.evaluate_freshness() is freshness.Freshness.PARTITIONED:
            return None
        return self._tables

    def subscribe(
        self, on_change: collections.abc.Callable[[tables.Tables], None]
    ) -> None:
        """Call a function after each change; see the base class."""
        self._subscribers.append(on_change)

    @property
    def root(self) -> roots.Root:
        """The active root; it has revision 0 before the first is installed."""
        return self._root

    @property
    def confirmation(self) -> freshness.Confirmation | None:
        """The last confirmation that the platform held no newer root."""
        return self._confirmation

    def age_ms(self) -> int | None:
        """Return the time since the root was confirmed, in ms, or None."""
        confirmation = self._confirmation
        if confirmation is None:
            return None
        return self._clock.now_ms() - confirmation.at_ms

    def is_witness(self) -> bool:
        """Return whether this VM counts towards a majority.

        A VM that was restarted in an outage has lost the state of its
        previous incarnation.  If it counted, partitioned VMs could form a
        majority in which no VM has received an accepted edit.

        :returns: whether the platform has confirmed a root since this
            process was started
        """
        confirmation = self._confirmation
        return (
            confirmation is not None and confirmation.at_ms >= self._started_ms
        )

    def evaluate_freshness(self) -> freshness.Freshness:
        """Return the freshness of the tables at the current time."""
        confirmation = self._confirmation
        if confirmation is None:
            return freshness.Freshness.PARTITIONED
        # Both times are compared with the clock for each request, because a
        # VM that was paused must not rely on its state from before the pause.
        return freshness.evaluate_freshness(
            confirmation,
            self._quorum_ms,
            self._clock.now_ms(),
            self._fresh_ms,
            self._outage_ms,
        )

    def set_quorum_time(self, at_ms: int | None) -> None:
        """Set the time since which a majority has reported no newer root.

        :param at_ms: when the oldest request needed for a majority was
            sent, in ms, or None without a majority
        """
        self._quorum_ms = at_ms

    def find_segment(self, digest: str) -> bytes | None:
        """Return a segment's content, or None if it is not known.

        :param digest: the segment's digest
        """
        return self._cache.find(digest)

    def offer(self, root: roots.Root, fetch: Fetch) -> OfferResult:
        """Install a root if it is newer than the active one.

        Roots arrive from watches with reordered events, from platform
        replicas and peers that lag, and from restarted VMs.  Only the
        revision matters, regardless of the sender: an older root could
        restore a revoked key.

        :param root: the root
        :param fetch: returns the contents of missing segments
        :returns: the result
        """
        with self._lock:
            self._newest_revision = max(self._newest_revision, root.revision)
            offer = self._evaluate_offer(root)
            missing = self._cache.list_missing(root)
        if offer is not OfferResult.INSTALLED:
            return offer
        # Fetching may take seconds, and another thread may install a newer
        # root meanwhile, so the root is evaluated again.
        fetched = fetch(missing) if missing else {}
        with self._lock:
            offer = self._evaluate_offer(root)
            if offer is not OfferResult.INSTALLED:
                return offer
            if not self._add_segments(root, fetched):
                return OfferResult.INCOMPLETE
            self._install(root)
        return OfferResult.INSTALLED

    def confirm(self, revision: int, at_ms: int, fleet_size: int) -> bool:
        """Record that the platform held no newer root at a given time.

        Once a newer root has been offered, the active one is outdated and is
        not confirmed any more, even if the newer one could not be installed.

        :param revision: the revision of the confirmed root
        :param at_ms: the time by this VM's clock before the request was
            sent, so that a pause or a slow reply can only make the
            confirmation older
        :param fleet_size: the number of VMs alive at that time
        :returns: whether the confirmation is newer than the last
        """
        with self._lock:
            if revision != self._root.revision or revision == 0:
                return False
            if revision < self._newest_revision:
                return False
            last = self._confirmation
            if last is not None and last.at_ms >= at_ms:
                return False
            self._confirmation = freshness.Confirmation(at_ms, fleet_size)
            return True

    def _evaluate_offer(self, root: roots.Root) -> OfferResult:
        if root.revision < self._root.revision:
            LOG.warning(
                "old root rejected: revision %d, active revision %d",
                root.revision,
                self._root.revision,
            )
            return OfferResult.STALE
        if root.revision > self._root.revision:
            return OfferResult.INSTALLED
        if root.digest() == self._root.digest():
            return OfferResult.UNCHANGED
        # The platform has lost an accepted root, or its root was edited
        # manually.  Installing the other root would revert accepted edits.
        LOG.error("conflicting roots of revision %d", root.revision)
        return OfferResult.CONFLICTING

    def _add_segments(
        self, root: roots.Root, fetched: collections.abc.Mapping[str, bytes]
    ) -> bool:
        try:
            for digest, content in fetched.items():
                if not self._cache.add(digest, content):
                    LOG.error("the segment does not match its digest")
        except errors.TablesError as error:
            LOG.error(
                "tables of revision %d are malformed: %s", root.revision, error
            )
            return False
        return not self._cache.list_missing(root)

    def _install(self, root: roots.Root) -> None:
        """Activate a root and notify subscribers in order of revision."""
        installed = self._cache.assemble_tables(root)
        self._tables = installed
        self._root = root
        self._cache.retain(root.list_row_segments())
        LOG.info("revision %d is active on this VM", root.revision)
        for on_change in self._subscribers:
            on_change(installed)

"""The tables that this VM decides by; a promise."""

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
    """What became of a root that was offered."""

    INSTALLED = "taken"
    UNCHANGED = "known"
    STALE = "old"
    INCOMPLETE = "incomplete"
    CONFLICTING = "different"


class ActiveTables(tables.TableSource):
    """Takes newer roots, refuses older ones, and knows their age.

    :param clock_: where the time comes from
    :param fresh_ms: how long a confirmation is enough by itself
    :param outage_ms: the longest use in an outage of the platform
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
        self._newest_seen = 0
        self._quorum_ms: int | None = None
        self._subscribers: list[
            collections.abc.Callable[[tables.Tables], None]
        ] = []

    def read_tables(self) -> tables.Tables | None:
        """Return the tables, or none while they must not be used."""
        if self.judge() is freshness.Freshness.PARTITIONED:
            return None
        return self._tables

    def subscribe(
        self, on_change: collections.abc.Callable[[tables.Tables], None]
    ) -> None:
        """Call a function after each change; see the base class."""
        self._subscribers.append(on_change)

    @property
    def root(self) -> roots.Root:
        """The root in force; of revision 0 before the first."""
        return self._root

    @property
    def confirmation(self) -> freshness.Confirmation | None:
        """When the platform last held no newer root."""
        return self._confirmation

    def age_ms(self) -> int | None:
        """Return how long ago the root was confirmed, or none."""
        confirmation = self._confirmation
        if confirmation is None:
            return None
        return self._clock.now_ms() - confirmation.at_ms

    def is_witness(self) -> bool:
        """Tell whether this VM's word counts towards a majority.

        A VM that was started in an outage has forgotten what the one
        before it knew.  With its word, VMs that were cut off could make a
        majority that has never heard of an edit.

        :returns: whether the platform has confirmed a root since this
            process was started
        """
        confirmation = self._confirmation
        return (
            confirmation is not None and confirmation.at_ms >= self._started_ms
        )

    def judge(self) -> freshness.Freshness:
        """Decide whether the tables may be used now."""
        confirmation = self._confirmation
        if confirmation is None:
            return freshness.Freshness.PARTITIONED
        # Both times are compared with the clock at each request: a VM that
        # was paused must not go on by what it knew before the pause.
        return freshness.evaluate_freshness(
            confirmation,
            self._quorum_ms,
            self._clock.now_ms(),
            self._fresh_ms,
            self._outage_ms,
        )

    def set_quorum_time(self, at_ms: int | None) -> None:
        """Tell since when most VMs have said that they know no newer root.

        :param at_ms: the time of the oldest question that is needed for a
            majority; none without one
        """
        self._quorum_ms = at_ms

    def find_segment(self, digest: str) -> bytes | None:
        """Return a segment's content for a peer, or none.

        :param digest: the segment's digest
        """
        return self._cache.find(digest)

    def offer(self, root: roots.Root, fetch: Fetch) -> OfferResult:
        """Take a root over if it is newer than the one in force.

        A root comes from watches whose events may be crossed, platform
        replicas and peers that lag, and VMs that were started anew.  Only
        its revision counts, whoever sends it: an older one would bring a
        withdrawn key back.

        :param root: the root
        :param fetch: returns the contents of missing segments
        :returns: what became of it
        """
        with self._lock:
            self._newest_seen = max(self._newest_seen, root.revision)
            offer = self._compare(root)
            missing = self._cache.list_missing(root)
        if offer is not OfferResult.INSTALLED:
            return offer
        # Fetching may take seconds; meanwhile another thread may take a
        # newer root, so everything is compared again.
        fetched = fetch(missing) if missing else {}
        with self._lock:
            offer = self._compare(root)
            if offer is not OfferResult.INSTALLED:
                return offer
            if not self._fill(root, fetched):
                return OfferResult.INCOMPLETE
            self._install(root)
        return OfferResult.INSTALLED

    def confirm(self, revision: int, at_ms: int, fleet_size: int) -> bool:
        """Note that the platform held no newer root at a time.

        A root that was heard of but could not be taken yet makes the one
        in force outdated, whoever confirms it.

        :param revision: the root that was confirmed
        :param at_ms: when, by this VM's clock: before the question was
            asked that led to the answer, so that a pause or a slow reply
            makes the confirmation older and never younger
        :param fleet_size: how many VMs were alive then
        :returns: whether the confirmation is newer than the last
        """
        with self._lock:
            if revision != self._root.revision or revision == 0:
                return False
            if revision < self._newest_seen:
                return False
            last = self._confirmation
            if last is not None and last.at_ms >= at_ms:
                return False
            self._confirmation = freshness.Confirmation(at_ms, fleet_size)
            return True

    def _compare(self, root: roots.Root) -> OfferResult:
        if root.revision < self._root.revision:
            LOG.warning(
                "an old root was refused: revision %d, in force %d",
                root.revision,
                self._root.revision,
            )
            return OfferResult.STALE
        if root.revision > self._root.revision:
            return OfferResult.INSTALLED
        if root.digest() == self._root.digest():
            return OfferResult.UNCHANGED
        # The platform lost an accepted root, or somebody wrote to it by
        # hand.  Taking the other one would revert what was accepted.
        LOG.error("two roots of revision %d", root.revision)
        return OfferResult.CONFLICTING

    def _fill(
        self, root: roots.Root, fetched: collections.abc.Mapping[str, bytes]
    ) -> bool:
        try:
            for digest, content in fetched.items():
                if not self._cache.add(digest, content):
                    LOG.error("a segment is not what its digest says")
        except errors.TablesError as error:
            LOG.error("revision %d is malformed: %s", root.revision, error)
            return False
        return not self._cache.list_missing(root)

    def _install(self, root: roots.Root) -> None:
        """Put a root in force; subscribers hear of roots in their order."""
        taken = self._cache.join(root)
        self._tables = taken
        self._root = root
        self._cache.retain(root.list_row_segments())
        LOG.info("revision %d is in force on this VM", root.revision)
        for on_change in self._subscribers:
            on_change(taken)

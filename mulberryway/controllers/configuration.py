"""Fetches the newest accepted tables from the platform and other VMs."""

import json
import logging
import random
import threading

from mulberryway import clock
from mulberryway import errors
from mulberryway import settings
from mulberryway.controllers import base
from mulberryway.controllers import configuration_peers
from mulberryway.controllers import configuration_watch
from mulberryway.controllers import peak_fleet_size
from mulberryway.controllers import tables_in_force
from mulberryway.objects import base as platform
from mulberryway.objects import roots as root_store
from mulberryway.objects import segments as segment_store
from mulberryway.tables import freshness
from mulberryway.tables import root as roots

__all__ = ["Configuration"]

LOG = logging.getLogger(__name__)

READ_PURPOSE = "configuration_read"
PERIOD_MS = 1_000
# Interval at which the selected VMs read the root from the platform.  Other
# VMs get the confirmation from them.
CONFIRM_INTERVAL_MS = 2_000
# A confirmation older than this cannot be explained by the delay between VMs,
# so the VM reads from the platform itself.  The interval grows with the number
# of VMs: a network partition between them adds at most some twenty reads a
# second at the platform.
STALE_CONFIRMATION_MS = 8_000
READ_SPACING_MS = 50
PEER_SAMPLE_SIZE = 3
# With a stale confirmation, a majority of the VMs is asked within this many
# steps; with 410 VMs each sends 41 requests a second until the platform
# answers again.
QUORUM_STEPS = 5


class Configuration(base.Controller):
    """Keeps the active tables current from random peers and the platform.

    :param settings_: this VM's settings
    :param store: the platform's store
    :param peers: calls other VMs
    :param clock_: the clock
    :param rng: random generator that selects VMs
    """

    def __init__(
        self,
        settings_: settings.Settings,
        store: platform.ObjectStore,
        peers: configuration_peers.PeerSource,
        clock_: clock.Clock,
        rng: random.Random,
    ) -> None:
        super().__init__("configuration", clock_, PERIOD_MS)
        self.active_tables = tables_in_force.ActiveTables(
            clock_,
            settings_.configuration_fresh_ms,
            settings_.configuration_outage_ms,
        )
        self._settings = settings_
        self._store = store
        self._segments = segment_store.SegmentStore(store)
        self._peers = peers
        self._random = rng
        self._lock = threading.Lock()
        self._newer_addresses: set[str] = set()
        self._next_read_ms = 0
        self._last_freshness: freshness.Freshness | None = None
        self._witness_reply_ms: dict[str, int] = {}
        self._fleet = peak_fleet_size.PeakFleetSize()

    def step(self) -> None:
        """Fetch newer roots, refresh the confirmation and log freshness."""
        peers = self._peers.list_peers()
        self._fleet.note(1 + len(peers), self.clock.now_ms())
        for address in self._drain_newer_addresses():
            self.pull(address)
        if self._must_read_platform(peers):
            self.read_platform()
        self._ask_peers(peers)
        self.active_tables.set_quorum_time(self._find_quorum_time())
        self._report()

    def record_newer_root(self, address: str, revision: int) -> None:
        """Record another VM's root revision; the next step fetches the root.

        :param address: the VM's ``host:port``
        :param revision: its root's revision
        """
        if revision <= self.active_tables.root.revision:
            return
        with self._lock:
            self._newer_addresses.add(address)
        self.wake()

    def install_accepted(
        self, content: bytes, new_segments: dict[str, bytes]
    ) -> bool:
        """Install a root that the administration API has sent.

        The platform may become unreachable right after it has accepted an
        edit, before any VM has read it.  All VMs would then use the old tables
        until the outage ends, and only the tables' age would show it.
        Therefore the administration API also sends the root itself.

        :param content: the root as canonical JSON
        :param new_segments: contents by digest
        :returns: whether this root or a newer one is active now
        """
        root = self._read_content(content, "the administration API")
        if root is None:
            return False

        def fetch(missing: list[str]) -> dict[str, bytes]:
            known = [item for item in missing if item in new_segments]
            rest = [item for item in missing if item not in new_segments]
            offered = {digest: new_segments[digest] for digest in known}
            return offered | self._fetch(rest, "")

        self.active_tables.offer(root, fetch)
        self.wake()
        return self.active_tables.root.revision >= root.revision

    def list_members(self) -> list[configuration_peers.PeerVm]:
        """Return all known VMs, this one first."""
        own = configuration_peers.PeerVm(
            self._settings.vm_name,
            self._settings.vm_zone,
            self._settings.vm_region,
            f"{self._settings.vm_address}:{self._settings.peers_port}",
        )
        return [own, *self._peers.list_known()]

    def is_watcher(self) -> bool:
        """Return whether this VM is selected to watch the platform."""
        region = self._settings.vm_region
        names = [
            peer.name
            for peer in self._peers.list_peers()
            if peer.region == region
        ]
        return configuration_watch.is_selected_watcher(
            self._settings.vm_name,
            names,
            self._settings.configuration_watchers,
        )

    def read_platform(self) -> bool:
        """Read the root from the platform.

        :returns: whether the active root has a newer confirmation now
        """
        asked_ms = self.clock.now_ms()
        result = self._store.read(
            root_store.KIND, root_store.NAME, READ_PURPOSE
        )
        if result.is_error():
            return False
        revision = self.offer_value(result.ok.value)
        if revision is None:
            return False
        return self.active_tables.confirm(
            revision, asked_ms, self._fleet.maximum
        )

    def offer_value(self, value: dict[str, object]) -> int | None:
        """Offer a root from the platform to the active tables.

        :param value: the root as stored in the platform
        :returns: its revision if it is active now, or None
        """
        try:
            root = roots.Root.decode(value)
        except errors.TablesError as error:
            LOG.error("the platform's root is malformed: %s", error)
            return None
        return self._offer(root, "")

    def pull(self, address: str) -> bool:
        """Fetch a VM's root and its confirmation, and apply both.

        :param address: the VM's ``host:port``
        :returns: whether it answered
        """
        asked_ms = self.clock.now_ms()
        known = self.active_tables.root.revision
        answer = self._peers.read_root(address, known)
        if answer.is_error():
            return False
        reply = answer.ok
        revision: int | None = reply.revision
        if reply.content:
            revision = self._offer_content(reply.content, address)
        if revision is not None and reply.age_ms >= 0:
            self.active_tables.confirm(
                revision,
                asked_ms - reply.age_ms,
                max(reply.fleet_size, self._fleet.maximum),
            )
        is_known = 0 < reply.revision <= self.active_tables.root.revision
        if is_known and reply.is_witness:
            self._witness_reply_ms[address] = asked_ms
        return True

    def _offer_content(self, content: bytes, address: str) -> int | None:
        root = self._read_content(content, address)
        return None if root is None else self._offer(root, address)

    def _read_content(self, content: bytes, sender: str) -> roots.Root | None:
        try:
            return roots.Root.decode(json.loads(content))
        except (ValueError, errors.TablesError) as error:
            LOG.error("%s sent a malformed root: %s", sender, error)
            return None

    def _offer(self, root: roots.Root, address: str) -> int | None:
        offer = self.active_tables.offer(
            root, lambda missing: self._fetch(missing, address)
        )
        active_results = (
            tables_in_force.OfferResult.INSTALLED,
            tables_in_force.OfferResult.UNCHANGED,
        )
        return root.revision if offer in active_results else None

    def _fetch(self, missing: list[str], address: str) -> dict[str, bytes]:
        """Fetch segments from the VM that sent the root, else the platform."""
        contents: dict[str, bytes] = {}
        while address and len(contents) < len(missing):
            wanted = [digest for digest in missing if digest not in contents]
            fetched = self._peers.read_segments(address, wanted)
            if fetched.is_error() or not fetched.ok:
                break
            contents.update(fetched.ok)
        for digest in missing:
            if digest not in contents:
                read = self._segments.read(digest)
                if read.is_error():
                    break
                contents[digest] = read.ok
        return contents

    def _must_read_platform(
        self, peers: list[configuration_peers.PeerVm]
    ) -> bool:
        now_ms = self.clock.now_ms()
        if now_ms < self._next_read_ms:
            return False
        age_ms = self.active_tables.age_ms()
        is_old = age_ms is None or age_ms > STALE_CONFIRMATION_MS
        if self.is_watcher():
            self._next_read_ms = now_ms + CONFIRM_INTERVAL_MS
            return True
        if is_old:
            spacing_ms = max(CONFIRM_INTERVAL_MS, READ_SPACING_MS * len(peers))
            self._next_read_ms = now_ms + self._random.randint(
                spacing_ms // 2, spacing_ms * 3 // 2
            )
        return is_old

    def _ask_peers(self, peers: list[configuration_peers.PeerVm]) -> None:
        age_ms = self.active_tables.age_ms()
        if age_ms is not None and age_ms <= STALE_CONFIRMATION_MS:
            sampled = self._random.sample(
                peers, min(PEER_SAMPLE_SIZE, len(peers))
            )
            any(self.pull(peer.address) for peer in sampled)
            return
        shuffled = self._random.sample(peers, len(peers))
        least_recent = sorted(
            shuffled,
            key=lambda peer: self._witness_reply_ms.get(peer.address, 0),
        )
        needed = freshness.count_quorum_peers(self._fleet.maximum)
        count = PEER_SAMPLE_SIZE + needed // QUORUM_STEPS
        for peer in least_recent[:count]:
            self.pull(peer.address)

    def _find_quorum_time(self) -> int | None:
        """Return the time since which a majority has replied, or None."""
        now_ms = self.clock.now_ms()
        limit_ms = now_ms - self._settings.configuration_fresh_ms
        self._witness_reply_ms = {
            address: at_ms
            for address, at_ms in self._witness_reply_ms.items()
            if at_ms >= limit_ms
        }
        confirmation = self.active_tables.confirmation
        if confirmation is None:
            return None
        # The confirmation of a VM that was started during a network partition
        # may contain a fleet that is too small, so VMs seen alive since then
        # are counted too.
        fleet_size = max(confirmation.fleet_size, self._fleet.maximum)
        needed = freshness.count_quorum_peers(fleet_size)
        if not self.active_tables.is_witness():
            needed += 1
        reply_times_ms = sorted(self._witness_reply_ms.values(), reverse=True)
        if needed == 0:
            return now_ms
        return (
            reply_times_ms[needed - 1]
            if len(reply_times_ms) >= needed
            else None
        )

    def _drain_newer_addresses(self) -> list[str]:
        with self._lock:
            addresses, self._newer_addresses = self._newer_addresses, set()
        return sorted(addresses)

    def _report(self) -> None:
        current = self.active_tables.evaluate_freshness()
        if current is not self._last_freshness:
            LOG.warning(
                "tables are %s: revision %d, confirmed %s ms ago",
                current.value,
                self.active_tables.root.revision,
                self.active_tables.age_ms(),
            )
        self._last_freshness = current

"""Monitors the VMs' paths to upstreams, and probes this VM's own."""

import collections
import collections.abc
import logging
import random
import threading

from mulberryway import clock
from mulberryway import logs
from mulberryway import metrics
from mulberryway import tables
from mulberryway.controllers import base
from mulberryway.peers import gossip_messages
from mulberryway.policy import forwarders
from mulberryway.policy import member
from mulberryway.policy import paths
from mulberryway.upstreams import dialing

__all__ = ["CONNECT_TIMEOUT_MS", "PathMonitor"]

LOG = logging.getLogger(__name__)

IDLE_MS = 1_000
# Connecting takes a few milliseconds within a region.
CONNECT_TIMEOUT_MS = 150
# A VM that has reached an upstream this recently is not cut off.
REACHED_MS = 2_000
# Copying the members of a large fleet for each connect would take too long.
MEMBERS_TTL_MS = 1_000
# Bounds the messages of a VM whose link loses packets.
MIN_REPORT_INTERVAL_MS = 100
# A report that is lost, or a VM that has just started, waits this long.
REPEAT_INTERVAL_MS = 2_000


class PathMonitor(base.Controller):
    """Locks the tables of paths, and probes suspect paths on its own thread.

    A probe only opens a connection, so no request depends on a path that may
    be cut.  Changes are told to the other VMs, and repeated while there are
    unreachable upstreams.

    :param vm: this VM's name
    :param zone: its availability zone
    :param incarnation: the incarnation of its router
    :param list_members: returns all known VMs
    :param clock_: the clock
    """

    def __init__(
        self,
        vm: str,
        zone: str,
        incarnation: int,
        list_members: collections.abc.Callable[[], list[member.Member]],
        clock_: clock.Clock,
    ) -> None:
        super().__init__("paths", clock_, IDLE_MS)
        self._vm = vm
        self._incarnation = incarnation
        self._list_members = list_members
        self._lock = threading.Lock()
        random_ = random.Random(f"{vm}/{incarnation}")
        self._table = paths.PathTable(random_)
        self._forwarders = forwarders.ForwarderTable(vm, zone, random_)
        self._members: list[member.Member] = []
        self._members_expiry_ms = 0
        self._changed_ms = clock_.now_ms()
        self._connects: collections.Counter[str] = collections.Counter()
        self._sequence = 0
        self._published: tuple[bool, frozenset[str]] = (False, frozenset())
        self._published_ms = 0
        # Sends a gossip message to all VMs; set by the code that creates the
        # gossip's transport.
        self.publish: collections.abc.Callable[[bytes, bool], None] = (
            lambda payload, is_urgent: None
        )

    def update_tables(self, changed: tables.Tables) -> None:
        """Monitor the paths to the upstreams of new tables.

        :param changed: the new tables
        """
        addresses = {
            upstream.address
            for pool in changed.pools.values()
            for upstream in pool.upstreams
        }
        with self._lock:
            self._table.retain(addresses, self.clock.now_ms())
            self._forwarders.retain(addresses)

    def is_suspect(self, address: str) -> bool:
        """Return whether connects to an upstream would probably fail.

        :param address: ``host:port``
        """
        with self._lock:
            return self._table.is_suspect(address)

    def has_failed(self, address: str) -> bool:
        """Return whether a connect to an upstream has failed.

        :param address: ``host:port``
        """
        with self._lock:
            return self._table.has_failed(address)

    def get_epoch(self, address: str) -> int:
        """Return a number that changes when the path is lost or restored.

        It changes as well when a VM that forwards connections stops.

        :param address: ``host:port``
        """
        with self._lock:
            return self._table.get_epoch(address) + (
                self._forwarders.get_epoch(address)
            )

    def record_success(self, address: str) -> None:
        """Record that a connect succeeded.

        :param address: ``host:port``
        """
        with self._lock:
            self._connects["direct"] += 1
            was_suspect = self._table.is_suspect(address)
            was_cut_off = self._table.is_cut_off
            self._table.record_success(address, self.clock.now_ms())
            is_cut_off = self._table.is_cut_off
        if was_suspect:
            LOG.info(
                "an upstream is reached again",
                extra=logs.make_extra(upstream=address),
            )
            self._handle_change(was_cut_off, is_cut_off)

    def record_failure(self, address: str, failure: OSError) -> None:
        """Record that a connect failed or timed out.

        :param address: ``host:port``
        :param failure: the error
        """
        with self._lock:
            self._connects["failed"] += 1
            was_suspect = self._table.is_suspect(address)
            was_cut_off = self._table.is_cut_off
            self._table.record_failure(address, self.clock.now_ms())
            is_cut_off = self._table.is_cut_off
        if not was_suspect:
            LOG.info(
                "an upstream cannot be reached",
                extra=logs.make_extra(upstream=address, reason=repr(failure)),
            )
        self._handle_change(was_cut_off, is_cut_off)

    def record_doubt(self, address: str) -> None:
        """Probe a path soon, because a call on an open connection failed.

        :param address: ``host:port``
        """
        with self._lock:
            self._table.request_probe(address, self.clock.now_ms())
        self.wake()

    def is_reaching(self) -> bool:
        """Return whether this VM has reached an upstream lately."""
        since_ms = self.clock.now_ms() - REACHED_MS
        with self._lock:
            return not self._table.is_cut_off and (
                self._table.has_reached_since(since_ms)
            )

    def record_upstream_down(self, address: str) -> None:
        """Record that a VM which reaches others cannot reach an upstream.

        :param address: ``host:port``
        """
        with self._lock:
            was_cut_off = self._table.is_cut_off
            self._table.record_upstream_down(address, self.clock.now_ms())
            is_cut_off = self._table.is_cut_off
        self._handle_change(was_cut_off, is_cut_off)

    def record_tunnel(
        self,
        vm: str,
        address: str,
        outcome: forwarders.TunnelOutcome | None,
    ) -> None:
        """Record a VM's answer to a request for a tunnel.

        :param vm: the VM's name
        :param address: the upstream's ``host:port``
        :param outcome: its answer; None if there was none
        """
        with self._lock:
            name = "unanswered" if outcome is None else outcome.name.lower()
            self._connects[f"tunnel_{name}"] += 1
            if outcome is forwarders.TunnelOutcome.OPEN:
                self._forwarders.record_open(vm, address)
            elif outcome is not forwarders.TunnelOutcome.UNREACHABLE:
                self._forwarders.record_unavailable(vm, self.clock.now_ms())

    def take_report(self, report: forwarders.PathReport) -> None:
        """Apply another VM's report on its paths.

        :param report: the report
        """
        with self._lock:
            self._forwarders.record_report(report, self.clock.now_ms())

    def choose_forwarders(self, address: str) -> list[member.Member]:
        """Return the VMs to ask for a tunnel, in the order of asking.

        :param address: the upstream's ``host:port``
        """
        members = self._read_members()
        with self._lock:
            return self._forwarders.choose(
                members, address, self.clock.now_ms()
            )

    def is_unreachable_elsewhere(self, address: str) -> bool:
        """Return whether a VM that reaches others cannot reach an upstream.

        :param address: ``host:port``
        """
        with self._lock:
            return self._forwarders.is_unreachable_elsewhere(
                address, self.clock.now_ms()
            )

    def has_other_vms(self) -> bool:
        """Return whether another VM is known."""
        return len(self._read_members()) > 1

    def list_reaching(
        self, vms: collections.abc.Iterable[str]
    ) -> tuple[str, ...]:
        """Return the VMs that reach upstreams; all of them if none does.

        :param vms: names of VMs
        """
        names = tuple(vms)
        now_ms = self.clock.now_ms()
        with self._lock:
            cut_off = {
                name
                for name in names
                if self._forwarders.excludes(name, "", now_ms)
                or (name == self._vm and self._table.is_cut_off)
            }
        return tuple(name for name in names if name not in cut_off) or names

    def step(self) -> None:
        """Tell the other VMs what has changed, and probe a path."""
        self._read_members()
        self._publish_report()
        now_ms = self.clock.now_ms()
        with self._lock:
            address = self._table.choose_probe(now_ms)
        if address is not None:
            self._probe(address)
        with self._lock:
            probe_ms = self._table.get_probe_ms()
        self.period_ms = IDLE_MS
        if probe_ms is not None:
            delay_ms = max(probe_ms - self.clock.now_ms(), 1)
            self.period_ms = min(delay_ms, IDLE_MS)

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register metrics for connects and suspect paths.

        :param metrics_: the process's instruments
        """
        metrics_.register_counter(
            "upstream.connects",
            "connections to upstreams, by how they were opened",
            lambda: [
                ({"path": path}, count)
                for path, count in self._connects.copy().items()
            ],
        )
        metrics_.register_gauge(
            "upstream.suspect_paths",
            "upstreams that this VM cannot reach directly",
            self._count_suspect,
        )

    def _read_members(self) -> list[member.Member]:
        """Return all VMs as of a moment ago."""
        now_ms = self.clock.now_ms()
        if now_ms >= self._members_expiry_ms:
            self._members = self._list_members()
            self._members_expiry_ms = now_ms + MEMBERS_TTL_MS
            with self._lock:
                self._forwarders.update_members(self._members, now_ms)
        return self._members

    def _publish_report(self) -> None:
        now_ms = self.clock.now_ms()
        with self._lock:
            is_cut_off = self._table.is_cut_off
            unreachable = frozenset(self._table.list_suspect())
            state = (is_cut_off, frozenset() if is_cut_off else unreachable)
            has_changed = state != self._published
            has_any = any(state)
            age_ms = now_ms - self._published_ms
            is_due = age_ms >= (
                MIN_REPORT_INTERVAL_MS if has_changed else REPEAT_INTERVAL_MS
            )
            if not is_due or not (has_changed or has_any):
                return
            self._sequence += 1
            self._published, self._published_ms = state, now_ms
            report = forwarders.PathReport(
                self._vm, self._incarnation, self._sequence, *state
            )
        self.publish(gossip_messages.encode_paths(report), has_changed)

    def _count_suspect(self) -> int:
        with self._lock:
            return len(self._table.list_suspect())

    def _probe(self, address: str) -> None:
        try:
            dialing.connect_directly(address, CONNECT_TIMEOUT_MS).close()
        except OSError as failure:
            self.record_failure(address, failure)
        else:
            self.record_success(address)

    def _handle_change(self, was_cut_off: bool, is_cut_off: bool) -> None:
        if was_cut_off != is_cut_off:
            now_ms = self.clock.now_ms()
            LOG.warning(
                "this VM reaches no upstream"
                if is_cut_off
                else "this VM reaches upstreams again",
                extra=logs.make_extra(
                    suspect=self._count_suspect(),
                    after_ms=now_ms - self._changed_ms,
                ),
            )
            self._changed_ms = now_ms
        self.wake()

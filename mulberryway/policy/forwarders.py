"""Chooses VMs that forward connections to upstreams; without I/O.

VMs tell one another which upstreams they cannot reach, so silence means that a
VM reaches all.  What they tell expires, and what a VM learns by asking is kept
for a moment as well.
"""

import collections
import collections.abc
import enum
import itertools
import random

from mulberryway.policy import member

__all__ = ["ForwarderTable", "PathReport", "TunnelOutcome"]

# A report that is not repeated expires; the interval is that of two repeats in
# a large fleet.
REPORT_TTL_MS = 5_000
# A VM that refused a tunnel or did not answer is not asked for this long.
UNAVAILABLE_MS = 1_000
# Each VM asked takes time that the request needs for another upstream.
MAX_FORWARDERS = 4
# VMs whose bandwidth is not known count as having this much.
DEFAULT_LINK_MBPS = 100


class TunnelOutcome(enum.IntEnum):
    """A VM's answer to a request for a tunnel, as in ``tunnels.thrift``."""

    OPEN = 1
    UNREACHABLE = 2
    CUT_OFF = 3
    BUSY = 4
    UNKNOWN = 5

    @classmethod
    def _missing_(cls, value: object) -> "TunnelOutcome":
        # An answer of a newer build; no tunnel was opened.
        return cls.BUSY


class PathReport:
    """The upstreams that a VM cannot reach directly.

    :param vm: the VM's name
    :param incarnation: the incarnation of its process
    :param sequence: increases with each report
    :param is_cut_off: whether it reaches no upstream
    :param unreachable: the upstreams' addresses; empty if it is cut off
    """

    __slots__ = (
        "vm",
        "incarnation",
        "sequence",
        "is_cut_off",
        "unreachable",
    )

    def __init__(
        self,
        vm: str,
        incarnation: int,
        sequence: int,
        is_cut_off: bool,
        unreachable: collections.abc.Iterable[str],
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.sequence = sequence
        self.is_cut_off = is_cut_off
        self.unreachable = frozenset(unreachable)

    def is_newer_than(self, other: "PathReport") -> bool:
        """Return whether this report replaces another one of the same VM.

        :param other: the other report
        """
        return (self.incarnation, self.sequence) > (
            other.incarnation,
            other.sequence,
        )

    def excludes(self, address: str) -> bool:
        """Return whether the VM cannot reach an upstream.

        :param address: ``host:port``
        """
        return self.is_cut_off or address in self.unreachable


class ForwarderTable:
    """Other VMs' paths, as far as this VM knows; not thread-safe.

    :param vm: this VM's name
    :param zone: its availability zone
    :param random_: spreads the tunnels over the VMs
    """

    def __init__(self, vm: str, zone: str, random_: random.Random) -> None:
        self._vm = vm
        self._zone = zone
        self._random = random_
        self._reports: dict[str, tuple[PathReport, int]] = {}
        self._unavailable_until_ms: dict[str, int] = {}
        # The VMs that have opened tunnels to an upstream, by its address.
        self._carriers: collections.defaultdict[str, set[str]] = (
            collections.defaultdict(set)
        )
        self._epochs: collections.Counter[str] = collections.Counter()

    def record_report(self, report: PathReport, now_ms: int) -> None:
        """Apply another VM's report.

        :param report: the report
        :param now_ms: current time in ms
        """
        known = self._reports.get(report.vm)
        if known is None or report.is_newer_than(known[0]):
            self._reports[report.vm] = (report, now_ms)

    def record_unavailable(self, vm: str, now_ms: int) -> None:
        """Record that a VM has refused a tunnel or did not answer.

        :param vm: the VM's name
        :param now_ms: current time in ms
        """
        self._unavailable_until_ms[vm] = now_ms + UNAVAILABLE_MS

    def record_open(self, vm: str, address: str) -> None:
        """Record that a VM has opened a tunnel.

        :param vm: the VM's name
        :param address: the upstream's ``host:port``
        """
        self._unavailable_until_ms.pop(vm, None)
        self._carriers[address].add(vm)

    def retain(self, addresses: collections.abc.Container[str]) -> None:
        """Forget the tunnels to upstreams that are gone.

        :param addresses: the addresses of those that are left
        """
        for address in [*self._carriers]:
            if address not in addresses:
                del self._carriers[address]
                del self._epochs[address]

    def update_members(
        self, members: collections.abc.Collection[member.Member], now_ms: int
    ) -> None:
        """Give up the tunnels of VMs that stop, if others may take over.

        :param members: all known VMs
        :param now_ms: current time in ms
        """
        staying = {vm.name for vm in members if vm.accepts_callers}
        for address, vms in self._carriers.items():
            if vms - staying and self._list_usable(members, address, now_ms):
                vms &= staying
                self._epochs[address] += 1

    def get_epoch(self, address: str) -> int:
        """Return a number that changes when tunnels are given up.

        :param address: the upstream's ``host:port``
        """
        return self._epochs[address]

    def excludes(self, vm: str, address: str, now_ms: int) -> bool:
        """Return whether a VM has told that it cannot reach an upstream.

        :param vm: the VM's name
        :param address: the upstream's ``host:port``; empty for all upstreams
        :param now_ms: current time in ms
        """
        known = self._reports.get(vm)
        if known is None:
            return False
        if now_ms - known[1] >= REPORT_TTL_MS:
            del self._reports[vm]
            return False
        return known[0].excludes(address)

    def is_unreachable_elsewhere(self, address: str, now_ms: int) -> bool:
        """Return whether a VM that reaches others cannot reach an upstream.

        :param address: ``host:port``
        :param now_ms: current time in ms
        """
        return any(
            now_ms - heard_ms < REPORT_TTL_MS and address in report.unreachable
            for report, heard_ms in self._reports.values()
        )

    def choose(
        self,
        members: collections.abc.Iterable[member.Member],
        address: str,
        now_ms: int,
    ) -> list[member.Member]:
        """Return the VMs to ask for a tunnel, in the order of asking.

        VMs of this VM's zone and of others alternate, because a whole zone may
        be cut off.  VMs with faster links are asked more often.

        :param members: all known VMs
        :param address: the upstream's ``host:port``
        :param now_ms: current time in ms
        """
        usable = self._list_usable(members, address, now_ms)
        available = [
            vm
            for vm in usable
            if self._unavailable_until_ms.get(vm.name, 0) <= now_ms
        ]
        shuffled = sorted(available or usable, key=self._draw)
        local = [vm for vm in shuffled if vm.zone == self._zone]
        remote = [vm for vm in shuffled if vm.zone != self._zone]
        alternating = itertools.chain.from_iterable(
            itertools.zip_longest(local, remote)
        )
        return list(filter(None, alternating))[:MAX_FORWARDERS]

    def _list_usable(
        self,
        members: collections.abc.Iterable[member.Member],
        address: str,
        now_ms: int,
    ) -> list[member.Member]:
        """Return the VMs that may open a tunnel to an upstream."""
        return [
            vm
            for vm in members
            if vm.name != self._vm
            and vm.accepts_callers
            and not vm.is_starting
            and not self.excludes(vm.name, address, now_ms)
        ]

    def _draw(self, vm: member.Member) -> float:
        """Return a sort key: a random order, weighted by bandwidth."""
        weight = vm.link_mbps or DEFAULT_LINK_MBPS
        return self._random.expovariate(weight)

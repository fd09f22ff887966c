"""Distinguishes a fleet-wide outage of the store from a local one."""

import collections.abc
import hashlib

__all__ = ["WATCHER_COUNT", "StoreReachability", "choose_watchers"]

# A VM that has sent nothing for this long is ignored; it is two heartbeats of
# a fleet of ninety VMs.
PEER_REPORT_TTL_MS = 5_000
# The store counts each waiting watch as a call, and its rate limits grow more
# slowly than the fleet. So this number of VMs watch and immediately send
# changes to the others; the other VMs poll the store only while no VM reports
# that it is reachable.
WATCHER_COUNT = 9


class _Peer:
    """The last reports of one VM, with their times in ms."""

    __slots__ = ("heard_ms", "unreachable_ms", "is_reached")

    def __init__(self) -> None:
        self.heard_ms = 0
        self.is_reached = False
        self.unreachable_ms: int | None = None


class StoreReachability:
    """Reports of VMs on whether they reach the store.

    A store may reject some VMs while it serves the others. A VM that mistook
    its own failure for an outage would continue to send to servers that have
    deregistered meanwhile.
    """

    __slots__ = ("_peers", "_vms", "_watchers")

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._vms: tuple[str, ...] = ()
        self._watchers: list[str] = []

    def record_peer(
        self, vm: str, is_reached: bool | None, now_ms: int
    ) -> None:
        """Record another VM's report.

        :param vm: name of the VM
        :param is_reached: whether the store responds to it; none if it does
            not poll
        :param now_ms: current time in ms
        """
        if is_reached is None:
            self._peers.pop(vm, None)
            return
        peer = self._peers.setdefault(vm, _Peer())
        peer.heard_ms = now_ms
        peer.is_reached = is_reached
        if not is_reached:
            peer.unreachable_ms = now_ms

    def is_fleet_wide(self, since_ms: int, now_ms: int) -> bool:
        """Return whether the outage affects every VM with a recent report.

        A VM is affected if it reported the store as unreachable at any time
        since ``since_ms``.

        :param since_ms: when the store stopped answering this VM
        :param now_ms: current time in ms
        :returns: true also if there is no recent report
        """
        return all(
            _was_unreachable(peer, since_ms)
            for peer in self._list_recent(now_ms)
        )

    def is_informed(self, now_ms: int) -> bool:
        """Return whether another VM that polls the store was heard recently.

        :param now_ms: current time in ms
        """
        return bool(self._list_recent(now_ms))

    def describe(self, since_ms: int, now_ms: int) -> dict[str, int]:
        """Return the facts behind :meth:`is_fleet_wide`, for logs.

        :param since_ms: when the store stopped answering this VM
        :param now_ms: current time in ms
        :returns: number of other VMs with a recent report, and how many of
            them failed to reach the store
        """
        recent = self._list_recent(now_ms)
        unreachable = sum(_was_unreachable(peer, since_ms) for peer in recent)
        return {"vms_heard": len(recent), "vms_away": unreachable}

    def must_poll(self, vm: str, vms: tuple[str, ...], now_ms: int) -> bool:
        """Return whether a VM has to poll the store itself.

        :param vm: the VM
        :param vms: all VMs that are considered alive, including this one
        :param now_ms: current time in ms
        """
        if vms != self._vms:
            # Ranking all VMs for each of about thirty calls per second costs
            # more time than anything else that an idle VM of a large fleet
            # does.
            self._vms = vms
            self._watchers = choose_watchers(vms)
        if vm in self._watchers:
            return True
        return not any(peer.is_reached for peer in self._list_recent(now_ms))

    def _list_recent(self, now_ms: int) -> list[_Peer]:
        # Other threads record reports concurrently.
        known = list(self._peers.items())
        for vm, peer in known:
            if now_ms - peer.heard_ms >= PEER_REPORT_TTL_MS:
                self._peers.pop(vm, None)
        return [
            peer
            for _, peer in known
            if now_ms - peer.heard_ms < PEER_REPORT_TTL_MS
        ]


def choose_watchers(vms: collections.abc.Iterable[str]) -> list[str]:
    """Return the VMs that watch the store on behalf of all.

    They are ranked by a hash of their names, so a VM that leaves moves only
    one watch.

    :param vms: all VMs that are considered alive
    :returns: at most :data:`WATCHER_COUNT`
    """
    return sorted(vms, key=_hash)[:WATCHER_COUNT]


def _was_unreachable(peer: _Peer, since_ms: int) -> bool:
    return peer.unreachable_ms is not None and peer.unreachable_ms >= since_ms


def _hash(vm: str) -> bytes:
    return hashlib.blake2b(f"watcher/{vm}".encode(), digest_size=8).digest()

"""Whether the platform's store is away for all VMs, or only for this one."""

import collections.abc
import hashlib

__all__ = ["WATCHER_COUNT", "StoreReachability", "choose_watchers"]

# A VM that has told nothing for so long is not asked for its opinion; it is
# two heartbeats of a fleet of ninety.
PEER_REPORT_TTL_MS = 5_000
# The store counts each waiting watch as a call, and its rates grow more slowly
# than the fleet.  So many VMs watch, and tell the others of changes at once;
# each other one asks the store only while it hears no VM that it answers.
WATCHER_COUNT = 9


class _Peer:
    __slots__ = ("heard_ms", "away_ms", "is_reached")

    def __init__(self) -> None:
        self.heard_ms = 0
        self.is_reached = False
        self.away_ms: int | None = None


class StoreReachability:
    """What VMs tell of the store.

    A store may turn some VMs away while it serves the others.  A VM that took
    its own trouble for an outage would go on sending to servers that have
    left meanwhile.
    """

    __slots__ = ("_peers", "_vms", "_watchers")

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._vms: tuple[str, ...] = ()
        self._watchers: list[str] = []

    def note_peer(self, vm: str, is_reached: bool | None, now_ms: int) -> None:
        """Take in what another VM tells.

        :param vm: its name
        :param is_reached: whether the store answers it; none if it does not
            ask
        :param now_ms: the present
        """
        if is_reached is None:
            self._peers.pop(vm, None)
            return
        peer = self._peers.setdefault(vm, _Peer())
        peer.heard_ms = now_ms
        peer.is_reached = is_reached
        if not is_reached:
            peer.away_ms = now_ms

    def is_fleet_wide(self, since_ms: int, now_ms: int) -> bool:
        """Tell whether every VM that is heard has missed the store since.

        :param since_ms: when the store stopped answering this VM
        :param now_ms: the present
        :returns: true also where nobody is heard
        """
        return all(
            _was_away(peer, since_ms) for peer in self._list_heard(now_ms)
        )

    def describe(self, since_ms: int, now_ms: int) -> dict[str, int]:
        """Return what decides whether an outage is shared, for logs.

        :param since_ms: when the store stopped answering this VM
        :param now_ms: the present
        :returns: how many other VMs are heard, and how many of these missed
            the store
        """
        heard = self._list_heard(now_ms)
        away = sum(_was_away(peer, since_ms) for peer in heard)
        return {"vms_heard": len(heard), "vms_away": away}

    def must_poll(self, vm: str, vms: tuple[str, ...], now_ms: int) -> bool:
        """Tell whether a VM has to ask the store itself.

        :param vm: the VM
        :param vms: all VMs that are thought to live, this one among them
        :param now_ms: the present
        """
        if vms != self._vms:
            # Ranking all VMs for each of some thirty calls a second takes
            # longer than anything else a VM of a large fleet does at rest.
            self._vms = vms
            self._watchers = choose_watchers(vms)
        if vm in self._watchers:
            return True
        return not any(peer.is_reached for peer in self._list_heard(now_ms))

    def _list_heard(self, now_ms: int) -> list[_Peer]:
        # Other threads take in what VMs tell meanwhile.
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
    """Return the VMs that watch the store for all.

    By a hash of their names, so that a VM's going moves one watch only.

    :param vms: all VMs that are thought to live
    :returns: at most :data:`WATCHER_COUNT`
    """
    return sorted(vms, key=_hash)[:WATCHER_COUNT]


def _was_away(peer: _Peer, since_ms: int) -> bool:
    return peer.away_ms is not None and peer.away_ms >= since_ms


def _hash(vm: str) -> bytes:
    return hashlib.blake2b(f"watcher/{vm}".encode(), digest_size=8).digest()

"""Whether the platform's store is away for all VMs, or only for this one."""

__all__ = ["Outages"]

# What a VM told of the store counts for so long after the store has
# answered it again; entries that lapsed are back well before.
REMEMBERED_MS = 6_000
# A VM that has told nothing for so long is not asked for its opinion.
HEARD_MS = 3_000


class _Peer:
    __slots__ = ("heard_ms", "away_ms")

    def __init__(self) -> None:
        self.heard_ms = 0
        self.away_ms: int | None = None


class Outages:
    """What VMs tell of the store.

    Load: a store that turns some VMs away while it serves the others.
    Harm: entries that are removed meanwhile name servers that have left; a
    VM that took its own trouble for the store's would go on sending there.
    """

    __slots__ = ("_peers",)

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}

    def note_peer(self, vm: str, is_reached: bool, now_ms: int) -> None:
        """Take in what another VM tells.

        :param vm: its name
        :param is_reached: whether the store answers it
        :param now_ms: the present
        """
        peer = self._peers.setdefault(vm, _Peer())
        peer.heard_ms = now_ms
        if not is_reached:
            peer.away_ms = now_ms

    def is_shared(self, now_ms: int) -> bool:
        """Tell whether every VM that is heard missed the store of late.

        :param now_ms: the present
        :returns: true also where nobody is heard
        """
        self._peers = {
            vm: peer
            for vm, peer in self._peers.items()
            if now_ms - peer.heard_ms < HEARD_MS
        }
        return all(
            peer.away_ms is not None and now_ms - peer.away_ms < REMEMBERED_MS
            for peer in self._peers.values()
        )

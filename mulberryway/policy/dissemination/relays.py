"""Selects the VM of a zone that relays items to the others."""

import hashlib

from mulberryway.policy.dissemination import messages

__all__ = ["RelaySelector"]

# Backoff of a relay that did not acknowledge an item.
BACKOFF_MS = 3_000


class RelaySelector:
    """Ranks the VMs of one zone as relays.

    All VMs of a fleet compute the same ranking, so their items go through the
    same relay and are batched together. A relay sends each batch to its whole
    zone, so VMs with faster links come first. Rendezvous hashing orders VMs
    with equal links, and a VM that joins or leaves changes no other VM's rank.

    :param zone: the zone's name
    """

    __slots__ = ("_zone", "_ranked", "_backoff_until_ms")

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._ranked: list[messages.Receiver] = []
        self._backoff_until_ms: dict[str, int] = {}

    def set_receivers(self, receivers: list[messages.Receiver]) -> None:
        """Replace the VMs of the zone.

        :param receivers: the VMs that may relay
        """
        self._ranked = sorted(receivers, key=self._rank)
        names = {receiver.name for receiver in receivers}
        self._backoff_until_ms = {
            name: until_ms
            for name, until_ms in self._backoff_until_ms.items()
            if name in names
        }

    def choose(self, now_ms: int) -> messages.Receiver | None:
        """Return the relay to use now.

        :param now_ms: current time in ms
        :returns: the first that is not in backoff; if all are, the one whose
            backoff ends first; none if the zone has no VM
        """
        for receiver in self._ranked:
            if self._backoff_until_ms.get(receiver.name, 0) <= now_ms:
                return receiver
        return min(
            self._ranked,
            key=lambda receiver: self._backoff_until_ms[receiver.name],
            default=None,
        )

    def mark_unresponsive(self, name: str, now_ms: int) -> None:
        """Back off from a relay that did not acknowledge in time.

        :param name: the relay
        :param now_ms: current time in ms
        """
        self._backoff_until_ms[name] = now_ms + BACKOFF_MS

    def _rank(self, receiver: messages.Receiver) -> tuple[int, bytes, str]:
        # Links are compared by powers of two, so that a small difference does
        # not make one VM the permanent relay.
        speed = receiver.link_mbps.bit_length()
        text = f"{self._zone}/{receiver.name}".encode()
        digest = hashlib.blake2b(text, digest_size=8).digest()
        return -speed, digest, receiver.name

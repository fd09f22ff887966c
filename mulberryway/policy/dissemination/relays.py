"""Which VM of a zone relays items to the others."""

import hashlib

from mulberryway.policy.dissemination import messages

__all__ = ["RelaySelector"]

# How long a relay that did not acknowledge is passed over.
AVOID_MS = 3_000


class RelaySelector:
    """Ranks the VMs of one zone as relays.

    All VMs of a fleet rank alike, so that their items meet at one relay and
    travel on together.  A relay sends each batch to its whole zone, so VMs
    with faster links come first; rendezvous hashing decides among equals,
    and a VM's coming or going moves no other's rank.

    :param zone: the zone's name
    """

    __slots__ = ("_zone", "_ranked", "_avoid_until_ms")

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._ranked: list[messages.Receiver] = []
        self._avoid_until_ms: dict[str, int] = {}

    def change(self, receivers: list[messages.Receiver]) -> None:
        """Take over the VMs of the zone.

        :param receivers: those that may relay
        """
        self._ranked = sorted(receivers, key=self._rank)
        names = {one.name for one in receivers}
        self._avoid_until_ms = {
            name: until_ms
            for name, until_ms in self._avoid_until_ms.items()
            if name in names
        }

    def choose(self, now_ms: int) -> messages.Receiver | None:
        """Return the relay to use now.

        :param now_ms: the present
        :returns: the first that is not passed over; if all are, the one
            that will be tried again soonest; none if the zone has no VM
        """
        for receiver in self._ranked:
            if self._avoid_until_ms.get(receiver.name, 0) <= now_ms:
                return receiver
        return min(
            self._ranked,
            key=lambda one: self._avoid_until_ms[one.name],
            default=None,
        )

    def note_silent(self, name: str, now_ms: int) -> None:
        """Pass a relay over for a while: it did not acknowledge in time.

        :param name: the relay
        :param now_ms: the present
        """
        self._avoid_until_ms[name] = now_ms + AVOID_MS

    def _rank(self, receiver: messages.Receiver) -> tuple[int, bytes, str]:
        # Links count by powers of two, so that a small difference does not
        # make one VM the relay of all its life.
        speed = receiver.link_mbps.bit_length()
        text = f"{self._zone}/{receiver.name}".encode()
        digest = hashlib.blake2b(text, digest_size=8).digest()
        return -speed, digest, receiver.name

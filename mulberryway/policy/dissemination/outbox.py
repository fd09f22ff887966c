"""What was sent to one zone's relay and not acknowledged yet."""

import collections

from mulberryway.policy.dissemination import messages
from mulberryway.policy.dissemination import relays

__all__ = ["UnackedItem", "ZoneOutbox"]

# A relay acknowledges within a round trip and its own scheduling delay.
ACKNOWLEDGE_MS = 150
# Relays that one item is sent to; after that it is given up, as hints are
# repeated in full from time to time anyway.
MOST_RELAYS = 2
# Items kept for a further relay; beyond that the oldest are given up.
MOST_PENDING = 64


class UnackedItem:
    """An item that awaits its acknowledgement.

    :param item: the item
    :param relay: the relay's name
    :param sent_ms: when it was sent
    :param relays_: how many relays have got the item, this one included
    :param is_deferrable: whether the relay may keep it for a moment
    """

    __slots__ = ("item", "relay", "sent_ms", "relays", "is_deferrable")

    def __init__(
        self,
        item: bytes,
        relay: str,
        sent_ms: int,
        relays_: int,
        is_deferrable: bool,
    ) -> None:
        self.item = item
        self.relay = relay
        self.sent_ms = sent_ms
        self.relays = relays_
        self.is_deferrable = is_deferrable


class ZoneOutbox:
    """Sends items to one zone's relay, and to another if that is silent.

    :param zone: the zone's name
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._pending: collections.OrderedDict[int, UnackedItem] = (
            collections.OrderedDict()
        )
        self.chooser = relays.RelaySelector(zone)
        # Counters for metrics.
        self.resent = 0
        self.given_up = 0

    def send(
        self,
        item: bytes,
        relay: messages.Receiver,
        number: int,
        now_ms: int,
        tries: int = 1,
        is_deferrable: bool = False,
    ) -> messages.Packet:
        """Return the packet that brings an item to a relay.

        :param item: the item
        :param relay: the relay
        :param number: names the packet in its acknowledgement
        :param now_ms: the present
        :param tries: how many relays have got the item, this one included
        :param is_deferrable: whether the relay may keep it for a moment
        """
        self._pending[number] = UnackedItem(
            item, relay.name, now_ms, tries, is_deferrable
        )
        while len(self._pending) > MOST_PENDING:
            self._pending.popitem(last=False)
            self.given_up += 1
        return messages.Packet(
            messages.Kind.RELAY,
            relay.address,
            self._zone,
            messages.Envelope([item], number, is_deferrable=is_deferrable),
        )

    def acknowledge(self, number: int) -> bool:
        """Forget an item that a relay has taken.

        :param number: the packet's number
        :returns: whether it was pending here
        """
        return self._pending.pop(number, None) is not None

    def pop_overdue(self, now_ms: int) -> list[UnackedItem]:
        """Pass silent relays over, and return what has to be sent again.

        :param now_ms: the present
        :returns: what was sent, in that order
        """
        if not self._is_overdue(now_ms):
            return []
        silent = {
            one.relay
            for one in self._pending.values()
            if now_ms - one.sent_ms >= ACKNOWLEDGE_MS
        }
        for name in silent:
            self.chooser.note_silent(name, now_ms)
        # What was sent to a silent relay later goes along, in order.
        numbers = [
            number
            for number, one in self._pending.items()
            if one.relay in silent
        ]
        overdue = [self._pending.pop(number) for number in numbers]
        again = [one for one in overdue if one.relays < MOST_RELAYS]
        self.resent += len(again)
        self.given_up += len(overdue) - len(again)
        return again

    def read_due_ms(self) -> int | None:
        """Return when to look for overdue items; none if nothing pends."""
        oldest = next(iter(self._pending.values()), None)
        return None if oldest is None else oldest.sent_ms + ACKNOWLEDGE_MS

    def _is_overdue(self, now_ms: int) -> bool:
        due_ms = self.read_due_ms()
        return due_ms is not None and now_ms >= due_ms

"""Items sent to one zone's relay and not acknowledged yet."""

import collections

from mulberryway.policy.dissemination import messages
from mulberryway.policy.dissemination import relays

__all__ = ["UnackedItem", "ZoneOutbox"]

# A relay acknowledges within a round trip and its own scheduling delay.
ACKNOWLEDGE_MS = 150
# Maximum number of relays that an item is sent to. After that it is dropped,
# since the full state is sent from time to time anyway.
MAX_RELAYS = 2
# Maximum number of unacknowledged items; beyond that the oldest are dropped.
MAX_PENDING = 64


class UnackedItem:
    """An item that awaits its acknowledgement.

    :param item: the item
    :param relay: the relay's name
    :param sent_ms: when it was sent, in ms
    :param attempts: number of relays tried, including this one
    :param is_deferrable: whether the relay may delay it to batch it
    """

    __slots__ = ("item", "relay", "sent_ms", "attempts", "is_deferrable")

    def __init__(
        self,
        item: bytes,
        relay: str,
        sent_ms: int,
        attempts: int,
        is_deferrable: bool,
    ) -> None:
        self.item = item
        self.relay = relay
        self.sent_ms = sent_ms
        self.attempts = attempts
        self.is_deferrable = is_deferrable


class ZoneOutbox:
    """Sends items to one zone's relay, and to another if it is unresponsive.

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
        self.dropped = 0

    def send(
        self,
        item: bytes,
        relay: messages.Receiver,
        number: int,
        now_ms: int,
        attempts: int = 1,
        is_deferrable: bool = False,
    ) -> messages.Packet:
        """Return the packet that sends an item to a relay.

        :param item: the item
        :param relay: the relay
        :param number: identifies the packet in its acknowledgement
        :param now_ms: current time in ms
        :param attempts: number of relays tried, including this one
        :param is_deferrable: whether the relay may delay it to batch it
        """
        self._pending[number] = UnackedItem(
            item, relay.name, now_ms, attempts, is_deferrable
        )
        while len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)
            self.dropped += 1
        return messages.Packet(
            messages.Kind.RELAY,
            relay.address,
            self._zone,
            messages.Envelope([item], number, is_deferrable=is_deferrable),
        )

    def acknowledge(self, number: int) -> bool:
        """Remove an acknowledged item.

        :param number: the packet's number
        :returns: whether it was pending in this outbox
        """
        return self._pending.pop(number, None) is not None

    def pop_overdue(self, now_ms: int) -> list[UnackedItem]:
        """Back off from unresponsive relays, and return what to retransmit.

        :param now_ms: current time in ms
        :returns: the items in the order in which they were sent
        """
        if not self._is_overdue(now_ms):
            return []
        unresponsive = {
            pending.relay
            for pending in self._pending.values()
            if now_ms - pending.sent_ms >= ACKNOWLEDGE_MS
        }
        for name in unresponsive:
            self.chooser.mark_unresponsive(name, now_ms)
        # Later items for an unresponsive relay are retransmitted too, in
        # order.
        numbers = [
            number
            for number, pending in self._pending.items()
            if pending.relay in unresponsive
        ]
        overdue = [self._pending.pop(number) for number in numbers]
        retransmitted = [
            pending for pending in overdue if pending.attempts < MAX_RELAYS
        ]
        self.resent += len(retransmitted)
        self.dropped += len(overdue) - len(retransmitted)
        return retransmitted

    def read_due_ms(self) -> int | None:
        """Return when the next item is overdue, in ms; none if none pends."""
        oldest = next(iter(self._pending.values()), None)
        return None if oldest is None else oldest.sent_ms + ACKNOWLEDGE_MS

    def _is_overdue(self, now_ms: int) -> bool:
        due_ms = self.read_due_ms()
        return due_ms is not None and now_ms >= due_ms

"""Sends items to all VMs through relays, and relays those of others."""

import collections.abc
import itertools

from mulberryway.policy.dissemination import batch
from mulberryway.policy.dissemination import messages
from mulberryway.policy.dissemination import outbox

__all__ = ["Disseminator"]

# In a zone with at most this many receivers, a relay saves little and costs a
# hop.
MAX_DIRECT = 4


class Disseminator:
    """One VM's side of the dissemination; without I/O, threads or clock.

    Delivery is best effort: items may be lost, duplicated or reordered. An
    item is sent again only if a relay did not acknowledge it.

    :param own: this VM
    """

    def __init__(self, own: messages.Receiver) -> None:
        self._own = own
        self._zones: dict[str, list[messages.Receiver]] = {}
        self._outboxes: dict[str, outbox.ZoneOutbox] = {}
        self._batch = batch.RelayBatch()
        self._numbers = itertools.count(1)
        # Counters for metrics.
        self.relayed = 0

    def set_receivers(
        self, receivers: collections.abc.Iterable[messages.Receiver]
    ) -> None:
        """Replace the set of other VMs.

        :param receivers: all VMs that are considered alive
        """
        zones: dict[str, list[messages.Receiver]] = {}
        for receiver in receivers:
            if receiver.name != self._own.name:
                zones.setdefault(receiver.zone, []).append(receiver)
        self._zones = zones
        self._outboxes = {
            zone: self._outboxes.get(zone) or outbox.ZoneOutbox(zone)
            for zone in zones
        }
        for zone, zone_receivers in zones.items():
            own = [self._own] if zone == self._own.zone else []
            self._outboxes[zone].chooser.set_receivers(zone_receivers + own)

    def publish(
        self, item: bytes, now_ms: int, is_deferrable: bool = False
    ) -> list[messages.Packet]:
        """Return the packets that send an item to all VMs.

        :param item: the item
        :param now_ms: current time in ms
        :param is_deferrable: whether relays may delay it to batch it
        """
        return [
            packet
            for zone in self._zones
            for packet in self._publish_zone(
                zone, item, 0, now_ms, is_deferrable
            )
        ]

    def take(
        self, envelope: messages.Envelope, sender: str, now_ms: int
    ) -> list[messages.Packet]:
        """Process a received envelope; the caller handles its items.

        :param envelope: the envelope
        :param sender: ``host:port`` of the sending VM
        :param now_ms: current time in ms
        :returns: the packets to send in response
        """
        if envelope.acknowledged:
            for zone_outbox in self._outboxes.values():
                if zone_outbox.acknowledge(envelope.acknowledged):
                    break
        if not envelope.relay_number:
            return []
        self.relayed += len(envelope.items)
        acknowledgement = messages.Packet(
            messages.Kind.ACKNOWLEDGEMENT,
            sender,
            "",
            messages.Envelope([], 0, envelope.relay_number),
        )
        relayed = self._relay(envelope.items, now_ms, envelope.is_deferrable)
        return [acknowledgement, *relayed]

    def poll(self, now_ms: int) -> list[messages.Packet]:
        """Return the packets that are due by time alone.

        :param now_ms: current time in ms
        """
        packets = [
            packet
            for items in self._batch.pop_due(now_ms)
            for packet in self._send_batch(items)
        ]
        for zone, outbox_ in self._outboxes.items():
            for unacked in outbox_.pop_overdue(now_ms):
                packets += self._publish_zone(
                    zone,
                    unacked.item,
                    unacked.attempts,
                    now_ms,
                    unacked.is_deferrable,
                )
        return packets

    def read_due_ms(self) -> int | None:
        """Return when to poll again, in ms; none while nothing is due."""
        due_times = [
            self._batch.read_due_ms(),
            *(outbox_.read_due_ms() for outbox_ in self._outboxes.values()),
        ]
        return min((due for due in due_times if due is not None), default=None)

    def count_resent(self) -> int:
        """Return how many items were sent to a second relay."""
        return sum(outbox_.resent for outbox_ in self._outboxes.values())

    def count_dropped(self) -> int:
        """Return how many items no relay has acknowledged."""
        return sum(outbox_.dropped for outbox_ in self._outboxes.values())

    def _publish_zone(
        self,
        zone: str,
        item: bytes,
        attempts: int,
        now_ms: int,
        is_deferrable: bool,
    ) -> list[messages.Packet]:
        receivers = self._zones[zone]
        if len(receivers) <= MAX_DIRECT:
            envelope = messages.Envelope([item])
            return _address(messages.Kind.DIRECT, receivers, envelope)
        outbox_ = self._outboxes[zone]
        relay = outbox_.chooser.choose(now_ms)
        assert relay is not None
        if relay.name == self._own.name:
            return self._relay([item], now_ms, is_deferrable)
        number = next(self._numbers)
        return [
            outbox_.send(
                item, relay, number, now_ms, attempts + 1, is_deferrable
            )
        ]

    def _relay(
        self, items: list[bytes], now_ms: int, is_deferrable: bool
    ) -> list[messages.Packet]:
        return [
            packet
            for due in self._batch.add(items, now_ms, is_deferrable)
            for packet in self._send_batch(due)
        ]

    def _send_batch(self, items: list[bytes]) -> list[messages.Packet]:
        receivers = self._zones.get(self._own.zone, [])
        envelope = messages.Envelope(items)
        return _address(messages.Kind.BATCH, receivers, envelope)


def _address(
    kind: messages.Kind,
    receivers: list[messages.Receiver],
    envelope: messages.Envelope,
) -> list[messages.Packet]:
    return [
        messages.Packet(kind, receiver.address, receiver.zone, envelope)
        for receiver in receivers
    ]

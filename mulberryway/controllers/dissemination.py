"""Sends gossip messages to the other VMs and relays those of others."""

import collections.abc
import threading

from mulberryway import clock
from mulberryway import metrics
from mulberryway.controllers import base
from mulberryway.objects import base as objects
from mulberryway.peers import datagrams
from mulberryway.peers import envelopes
from mulberryway.policy import dissemination
from mulberryway.policy import member

__all__ = ["DisseminationController"]

# VMs that the store lists count as alive for this long after the listing: the
# membership protocol may take seconds to name all VMs of a large fleet that
# has just started.
LISTED_TTL_MS = 5_000
# Period of the thread while no message is pending.
IDLE_MS = 1_000
# A fleet of more VMs than this sends hundreds of datagrams a second to each
# VM, so received datagrams are collected for a moment and handled in batches.
MAX_UNBATCHED_VMS = 40
RECEIVE_BATCH_MS = 20
DIRECTIONS = {True: "sent", False: "received"}


class DisseminationController(base.Controller):
    """Locks a disseminator and sends the packets that it returns.

    ``datagrams`` is set by the code that opens the port, with ``take`` as its
    receiver.  ``on_items`` is set by the receiver of the items; it must
    return quickly.

    :param own: this VM
    :param clock_: the clock
    """

    def __init__(self, own: member.Member, clock_: clock.Clock) -> None:
        super().__init__("dissemination", clock_, IDLE_MS)
        self.datagrams: datagrams.DatagramTransport | None = None
        self.on_items: collections.abc.Callable[[list[bytes]], None] = (
            lambda items: None
        )
        self._lock = threading.Lock()
        self._addresses: dict[str, str] = {}
        self._alive: list[dissemination.Receiver] = []
        self._listed: list[dissemination.Receiver] = []
        # Until when the listed VMs count as alive; None if they do not.
        self._listed_until_ms: int | None = None
        self._disseminator = dissemination.Disseminator(_make_receiver(own))

    def update_members(self, alive: list[member.Member]) -> None:
        """Replace the list of receivers.

        :param alive: the VMs considered alive
        """
        self._alive = list(map(_make_receiver, alive))
        self._update_receivers()

    def add_listed(
        self, listed: collections.abc.Iterable[objects.ListedVm]
    ) -> None:
        """Add VMs that membership may not know yet.

        :param listed: the VMs that are registered in the store
        """
        self._listed = [
            dissemination.Receiver(vm.name, vm.address, vm.zone)
            for vm in listed
        ]
        self._listed_until_ms = self.clock.now_ms() + LISTED_TTL_MS
        self._update_receivers()

    def _update_receivers(self) -> None:
        with self._lock:
            known = {entry.name: entry for entry in self._listed}
            if self._listed_until_ms is None:
                known = {}
            known |= {entry.name: entry for entry in self._alive}
            self._addresses = {
                name: entry.address for name, entry in known.items()
            }
            self._disseminator.set_receivers(known.values())
        if self.datagrams is not None:
            is_large = len(known) > MAX_UNBATCHED_VMS
            self.datagrams.batch_delay_ms = RECEIVE_BATCH_MS if is_large else 0

    def find_address(self, name: str) -> str:
        """Return the address of a VM's peer server; empty if unknown.

        :param name: the VM's name
        """
        return self._addresses.get(name, "")

    def publish(self, item: bytes, is_urgent: bool = True) -> None:
        """Send an item to all VMs considered alive.

        :param item: an encoded gossip message
        :param is_urgent: whether it has new contents; false for heartbeats
        """
        with self._lock:
            packets = self._disseminator.publish(
                item, self.clock.now_ms(), not is_urgent
            )
            due_ms = self._disseminator.read_due_ms()
        self._send(packets)
        self._wake_by(due_ms)

    def send(self, item: bytes, names: collections.abc.Iterable[str]) -> None:
        """Send an item directly to some VMs, without relays.

        :param item: an encoded gossip message
        :param names: names of VMs; unknown ones are skipped
        """
        addresses = filter(None, map(self.find_address, names))
        envelope = dissemination.Envelope([item])
        self._send(
            [
                dissemination.Packet(
                    dissemination.Kind.DIRECT, address, "", envelope
                )
                for address in addresses
            ]
        )

    def take(self, payload: bytes, sender: str) -> None:
        """Handle a received datagram.

        :param payload: its payload
        :param sender: ``host:port`` of the VM that sent it
        """
        envelope = envelopes.decode_envelope(payload)
        with self._lock:
            packets = self._disseminator.take(
                envelope, sender, self.clock.now_ms()
            )
            due_ms = self._disseminator.read_due_ms()
        self._send(packets)
        if envelope.items:
            self.on_items(envelope.items)
        if packets:
            self._wake_by(due_ms)

    def step(self) -> None:
        """Send the packets that are due."""
        if (
            self._listed_until_ms is not None
            and self.clock.now_ms() >= self._listed_until_ms
        ):
            self._listed_until_ms = None
            self._update_receivers()
        with self._lock:
            packets = self._disseminator.poll(self.clock.now_ms())
            due_ms = self._disseminator.read_due_ms()
        self._send(packets)
        self.period_ms = self._compute_delay_ms(due_ms)

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register metrics for traffic and for relayed, resent and lost items.

        :param metrics_: the process's instruments
        """
        metrics_.register_counter(
            "peers.datagrams",
            "datagrams between VMs, by purpose, zone and direction",
            lambda: self._list_traffic("messages"),
        )
        metrics_.register_counter(
            "peers.datagram_bytes",
            "bytes of datagrams between VMs, by purpose, zone and direction",
            lambda: self._list_traffic("payload_bytes"),
        )
        metrics_.register_counter(
            "dissemination.items",
            "items that were relayed, sent to a second relay, or given up",
            lambda: [
                ({"outcome": "relayed"}, self._disseminator.relayed),
                ({"outcome": "resent"}, self._disseminator.count_resent()),
                ({"outcome": "lost"}, self._disseminator.count_dropped()),
            ],
        )

    def _list_traffic(
        self, attribute: str
    ) -> list[tuple[metrics.Labels, int]]:
        if self.datagrams is None:
            return []
        return [
            (
                {
                    "purpose": entry.kind.partition(":")[0],
                    "zone": entry.kind.partition(":")[2],
                    "direction": DIRECTIONS[entry.is_sent],
                },
                getattr(entry, attribute),
            )
            for entry in self.datagrams.traffic.get_counts()
        ]

    def _send(self, packets: list[dissemination.Packet]) -> None:
        if self.datagrams is None or not packets:
            return
        # The packets of a batch share their envelope.
        payloads: dict[int, bytes] = {}
        for packet in packets:
            key = id(packet.envelope)
            if key not in payloads:
                payloads[key] = envelopes.encode_envelope(packet.envelope)
            self.datagrams.send(
                packet.address,
                payloads[key],
                f"{packet.kind.value}:{packet.zone}",
            )

    def _wake_by(self, due_ms: int | None) -> None:
        """Wake the thread if it would otherwise sleep past ``due_ms``."""
        delay_ms = self._compute_delay_ms(due_ms)
        if delay_ms < self.period_ms:
            self.period_ms = delay_ms
            self.wake()

    def _compute_delay_ms(self, due_ms: int | None) -> int:
        if due_ms is None:
            return IDLE_MS
        return min(max(due_ms - self.clock.now_ms(), 1), IDLE_MS)


def _make_receiver(entry: member.Member) -> dissemination.Receiver:
    return dissemination.Receiver(
        entry.name, entry.peer, entry.zone, entry.link_mbps
    )

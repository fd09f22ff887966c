"""Simulates gossip dissemination between VMs in virtual time."""

import abc
import collections
import heapq
import itertools
import math
import random
import statistics

from mulberryway.policy import dissemination

__all__ = [
    "DirectNode",
    "SimulatedNetwork",
    "GossipNode",
    "Node",
    "RelayNode",
    "Summary",
]

# One-way network latency; up to JITTER_MS is added at random.
SAME_ZONE_MS = 0.3
OTHER_ZONE_MS = 0.9
JITTER_MS = 0.4
LOSS_PROBABILITY = 0.001
# IP and UDP headers and the datagram's signature.
OVERHEAD_BYTES = 44
UPDATE_OVERHEAD_BYTES = 3
GOSSIP_FAN_OUT = 3
GOSSIP_HOPS = 8
# Content that marks a poll event; all other events are datagrams.
POLL = object()


class Node(abc.ABC):
    """One VM; subclasses implement a dissemination method.

    :param network: the network
    :param own: this VM as a receiver
    """

    def __init__(
        self, network: "SimulatedNetwork", own: dissemination.Receiver
    ) -> None:
        self.network = network
        self.own = own
        self.seen: set[bytes] = set()

    @abc.abstractmethod
    def publish(self, update: bytes) -> None:
        """Send an update to all other VMs."""

    @abc.abstractmethod
    def take(self, content: object, sender: str) -> list[bytes]:
        """Handle a received datagram.

        :param content: content of the datagram
        :param sender: name of the VM that sent it
        :returns: the updates in it
        """

    def poll(self) -> None:
        """Perform the work that is scheduled for the current time."""
        return

    def read_due_ms(self) -> float | None:
        """Return the simulated time of the next poll, or none if idle."""
        return None


class DirectNode(Node):
    """Sends each update to every other VM."""

    def publish(self, update: bytes) -> None:
        """Send an update to all other VMs."""
        for name in self.network.nodes:
            if name != self.own.name:
                self.network.send(self.own.name, name, [update], len(update))

    def take(self, content: list[bytes], sender: str) -> list[bytes]:
        """Return the updates of a datagram."""
        return content


class GossipNode(Node):
    """Forwards each new update to a few random VMs."""

    def publish(self, update: bytes) -> None:
        """Send an update to random VMs, which forward it."""
        self._forward(update, GOSSIP_HOPS)

    def take(self, content: tuple[bytes, int], sender: str) -> list[bytes]:
        """Forward a new update and return it."""
        update, hops = content
        if update not in self.seen and hops:
            self._forward(update, hops - 1)
        return [update]

    def _forward(self, update: bytes, hops: int) -> None:
        others = self.network.random.sample(
            self.network.names, min(GOSSIP_FAN_OUT, len(self.network.names))
        )
        for name in others:
            if name != self.own.name:
                self.network.send(
                    self.own.name, name, (update, hops), len(update) + 1
                )


class RelayNode(Node):
    """Uses the router's disseminator, which sends through relays."""

    def __init__(
        self, network: "SimulatedNetwork", own: dissemination.Receiver
    ) -> None:
        super().__init__(network, own)
        self.disseminator = dissemination.Disseminator(own)

    def publish(self, update: bytes) -> None:
        """Send an update to all other VMs through relays."""
        self._send(self.disseminator.publish(update, self.network.now_ms))

    def take(
        self, content: dissemination.Envelope, sender: str
    ) -> list[bytes]:
        """Forward an envelope if this VM is a relay; return its updates."""
        self._send(
            self.disseminator.take(content, sender, self.network.now_ms)
        )
        return content.items

    def poll(self) -> None:
        """Send the packets that are scheduled for the current time."""
        self._send(self.disseminator.poll(self.network.now_ms))

    def read_due_ms(self) -> float | None:
        """Return the simulated time of the next poll, or none if idle."""
        return self.disseminator.read_due_ms()

    def _send(self, packets: list[dissemination.Packet]) -> None:
        for packet in packets:
            items = packet.envelope.items
            size = sum(map(len, items)) + UPDATE_OVERHEAD_BYTES * len(items)
            self.network.send(
                self.own.name, packet.address, packet.envelope, size
            )


class Summary:
    """Metrics of one run.

    :param sent: datagrams sent per second and VM, on average
    :param most_sent: datagrams sent per second by the VM that sent most
    :param received: datagrams received per second and VM, on average
    :param bytes_sent: bytes sent per second and VM, on average
    :param zone_bytes: bytes per second between zones, of all VMs together
    :param age_ms: median delay from publication to arrival in ms
    :param worst_age_ms: 99th percentile of the same delay in ms
    :param missed: fraction of the expected arrivals that did not happen
    """

    __slots__ = (
        "sent",
        "most_sent",
        "received",
        "bytes_sent",
        "zone_bytes",
        "age_ms",
        "worst_age_ms",
        "missed",
    )

    def __init__(
        self,
        sent: float,
        most_sent: float,
        received: float,
        bytes_sent: float,
        zone_bytes: float,
        age_ms: float,
        worst_age_ms: float,
        missed: float,
    ) -> None:
        self.sent = sent
        self.most_sent = most_sent
        self.received = received
        self.bytes_sent = bytes_sent
        self.zone_bytes = zone_bytes
        self.age_ms = age_ms
        self.worst_age_ms = worst_age_ms
        self.missed = missed


class SimulatedNetwork:
    """Simulates VMs in availability zones and the datagrams between them.

    :param vms: number of VMs
    :param zones: number of zones
    :param node_class: implementation of each VM
    :param seed: seed of the random generator
    """

    def __init__(
        self, vms: int, zones: int, node_class: type[Node], seed: int = 1
    ) -> None:
        self.now_ms = 0
        self.random = random.Random(seed)
        self.receivers = [
            dissemination.Receiver(
                f"vm{n}",
                f"vm{n}",
                f"z{n % zones}",
                100 if n // zones < 3 else 10,
            )
            for n in range(vms)
        ]
        self.names = [receiver.name for receiver in self.receivers]
        self.zone_of = {
            receiver.name: receiver.zone for receiver in self.receivers
        }
        self.nodes = {
            receiver.name: node_class(self, receiver)
            for receiver in self.receivers
        }
        for node in self.nodes.values():
            if isinstance(node, RelayNode):
                node.disseminator.set_receivers(self.receivers)
        # VMs that neither send nor receive, and pairs of sender and receiver
        # that are partitioned in this direction.
        self.frozen: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.sent: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()
        self.bytes_sent = 0
        self.zone_bytes = 0
        self.published: dict[bytes, tuple[int, str]] = {}
        self.ages_ms: list[float] = []
        self.arrivals: collections.Counter[bytes] = collections.Counter()
        self._order = itertools.count()
        self._events: list[tuple[float, int, str, object, str]] = []
        self._numbers = itertools.count()
        # Simulated time of each VM's scheduled poll.
        self._scheduled_polls: dict[str, float] = {}

    def send(
        self, source: str, target: str, content: object, size: int
    ) -> None:
        """Send a datagram, which may be lost.

        :param source: name of the sending VM
        :param target: name of the receiving VM
        :param content: content of the datagram
        :param size: size of the payload in bytes
        """
        is_same_zone = self.zone_of[source] == self.zone_of[target]
        self.sent[source] += 1
        self.bytes_sent += size + OVERHEAD_BYTES
        self.zone_bytes += 0 if is_same_zone else size + OVERHEAD_BYTES
        is_lost = self.random.random() < LOSS_PROBABILITY
        if is_lost or (source, target) in self.cut:
            return
        latency_ms = SAME_ZONE_MS if is_same_zone else OTHER_ZONE_MS
        latency_ms += self.random.random() * JITTER_MS
        self._push(self.now_ms + latency_ms, target, content, source)

    def publish(self, name: str, size: int = 100) -> bytes:
        """Publish a new update from a VM.

        :param name: the VM
        :param size: size of the update in bytes
        :returns: the update
        """
        update = next(self._numbers).to_bytes(8, "big").ljust(size, b".")
        self.published[update] = (self.now_ms, name)
        self.nodes[name].publish(update)
        self._schedule_poll(name)
        return update

    def run(self, until_ms: int, per_s: float = 0.0, size: int = 100) -> None:
        """Advance the simulation.

        :param until_ms: simulated time in ms at which to stop
        :param per_s: updates published per second by all VMs together
        :param size: size of an update in bytes
        """
        next_ms = self._draw_next_publication(per_s)
        while self.now_ms < until_ms:
            self.now_ms += 1
            while next_ms is not None and next_ms <= self.now_ms:
                name = self.random.choice(self.names)
                if name not in self.frozen:
                    self.publish(name, size)
                next_ms += self.random.expovariate(per_s / 1_000)
            self._deliver()

    def summarize(self, duration_ms: int) -> Summary:
        """Compute the metrics of the run.

        :param duration_ms: simulated duration of the run in ms
        :returns: the metrics
        """
        count, seconds = len(self.names), duration_ms / 1_000
        ages = sorted(self.ages_ms) or [0.0]
        expected = len(self.published) * (count - 1)
        return Summary(
            sum(self.sent.values()) / count / seconds,
            max(self.sent.values(), default=0) / seconds,
            sum(self.received.values()) / count / seconds,
            self.bytes_sent / count / seconds,
            self.zone_bytes / seconds,
            statistics.median(ages),
            ages[int(len(ages) * 0.99)],
            1.0 - sum(self.arrivals.values()) / max(expected, 1),
        )

    def _draw_next_publication(self, per_s: float) -> float | None:
        if not per_s:
            return None
        return self.now_ms + self.random.expovariate(per_s / 1_000)

    def _push(
        self, at_ms: float, target: str, content: object, source: str
    ) -> None:
        heapq.heappush(
            self._events, (at_ms, next(self._order), target, content, source)
        )

    def _deliver(self) -> None:
        while self._events and self._events[0][0] <= self.now_ms:
            at_ms, _, target, content, source = heapq.heappop(self._events)
            if target in self.frozen:
                continue
            node = self.nodes[target]
            if content is POLL:
                self._scheduled_polls.pop(target, None)
                node.poll()
            else:
                self.received[target] += 1
                for update in node.take(content, source):
                    self._record_arrival(node, update, at_ms)
            self._schedule_poll(target)

    def _schedule_poll(self, name: str) -> None:
        poll_ms = self.nodes[name].read_due_ms()
        if (
            poll_ms is None
            or self._scheduled_polls.get(name, math.inf) <= poll_ms
        ):
            return
        self._scheduled_polls[name] = poll_ms
        self._push(max(poll_ms, self.now_ms), name, POLL, name)

    def _record_arrival(self, node: Node, update: bytes, at_ms: float) -> None:
        published_ms, publisher = self.published[update]
        if update in node.seen or node.own.name == publisher:
            return
        node.seen.add(update)
        self.arrivals[update] += 1
        self.ages_ms.append(at_ms - published_ms)

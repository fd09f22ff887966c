"""A network of VMs in which items spread, on a clock of its own."""

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

# One way, in milliseconds; SPREAD_MS more by chance.
SAME_ZONE_MS = 0.3
OTHER_ZONE_MS = 0.9
SPREAD_MS = 0.4
LOST_PART = 0.001
# IP, UDP and our signature.
OVERHEAD_BYTES = 44
ITEM_OVERHEAD_BYTES = 3
GOSSIP_FAN_OUT = 3
GOSSIP_HOPS = 8
# The content of an event that is no datagram.
POLL = object()


class Node(abc.ABC):
    """One VM.

    :param fleet: the network
    :param own: the VM
    """

    def __init__(
        self, fleet: "SimulatedNetwork", own: dissemination.Receiver
    ) -> None:
        self.fleet = fleet
        self.own = own
        self.seen: set[bytes] = set()

    @abc.abstractmethod
    def publish(self, item: bytes) -> None:
        """Bring an item to all other VMs."""

    @abc.abstractmethod
    def take(self, content: object, sender: str) -> list[bytes]:
        """Take in what came, and return the items in it."""

    def poll(self) -> None:
        """Do what is due by time."""
        return

    def read_due_ms(self) -> float | None:
        """Return when to poll again; none while nothing is due."""
        return None


class DirectNode(Node):
    """Sends each item to each other VM."""

    def publish(self, item: bytes) -> None:
        """Bring an item to all other VMs."""
        for name in self.fleet.nodes:
            if name != self.own.name:
                self.fleet.send(self.own.name, name, [item], len(item))

    def take(self, content: list[bytes], sender: str) -> list[bytes]:
        """Return the items that came."""
        return content


class GossipNode(Node):
    """Sends each new item on to a few random VMs."""

    def publish(self, item: bytes) -> None:
        """Bring an item to some VMs, which pass it on."""
        self._pass_on(item, GOSSIP_HOPS)

    def take(self, content: tuple[bytes, int], sender: str) -> list[bytes]:
        """Pass a new item on, and return it."""
        item, hops = content
        if item not in self.seen and hops:
            self._pass_on(item, hops - 1)
        return [item]

    def _pass_on(self, item: bytes, hops: int) -> None:
        others = self.fleet.random.sample(
            self.fleet.names, min(GOSSIP_FAN_OUT, len(self.fleet.names))
        )
        for name in others:
            if name != self.own.name:
                self.fleet.send(
                    self.own.name, name, (item, hops), len(item) + 1
                )


class RelayNode(Node):
    """Runs the product's own disseminator."""

    def __init__(
        self, fleet: "SimulatedNetwork", own: dissemination.Receiver
    ) -> None:
        super().__init__(fleet, own)
        self.disseminator = dissemination.Disseminator(own)

    def publish(self, item: bytes) -> None:
        """Bring an item to all other VMs by way of relays."""
        self._send(self.disseminator.publish(item, self.fleet.now_ms))

    def take(
        self, content: dissemination.Envelope, sender: str
    ) -> list[bytes]:
        """Relay what is to be relayed, and return the items."""
        self._send(self.disseminator.take(content, sender, self.fleet.now_ms))
        return content.items

    def poll(self) -> None:
        """Send what is due by time."""
        self._send(self.disseminator.poll(self.fleet.now_ms))

    def read_due_ms(self) -> float | None:
        """Return when to poll again; none while nothing is due."""
        return self.disseminator.read_due_ms()

    def _send(self, packets: list[dissemination.Packet]) -> None:
        for packet in packets:
            items = packet.envelope.items
            size = sum(map(len, items)) + ITEM_OVERHEAD_BYTES * len(items)
            self.fleet.send(
                self.own.name, packet.address, packet.envelope, size
            )


class Summary:
    """What a run came to.

    :param sent: datagrams that a VM sent a second, in the mean
    :param most_sent: datagrams of the VM that sent most
    :param received: datagrams that a VM received a second, in the mean
    :param bytes_sent: bytes that a VM sent a second, in the mean
    :param zone_bytes: bytes a second between zones, all VMs together
    :param age_ms: median time from an item's publication to its arrival
    :param worst_age_ms: the same for 99 in 100
    :param missed: part of all arrivals that never came
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
    """VMs in zones, and the datagrams between them.

    :param vms: how many
    :param zones: in how many zones
    :param kind: what each VM runs
    :param seed: makes a run repeatable
    """

    def __init__(
        self, vms: int, zones: int, kind: type[Node], seed: int = 1
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
        self.names = [one.name for one in self.receivers]
        self.zone_of = {one.name: one.zone for one in self.receivers}
        self.nodes = {one.name: kind(self, one) for one in self.receivers}
        for node in self.nodes.values():
            if isinstance(node, RelayNode):
                node.disseminator.set_receivers(self.receivers)
        # VMs that neither send nor receive, and pairs cut one way.
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
        # When each VM's next poll is planned.
        self._planned: dict[str, float] = {}

    def send(
        self, source: str, target: str, content: object, size: int
    ) -> None:
        """Put a datagram on its way.

        :param source: the VM that sends
        :param target: the VM that may receive it
        :param content: what it holds
        :param size: its payload's bytes
        """
        same = self.zone_of[source] == self.zone_of[target]
        self.sent[source] += 1
        self.bytes_sent += size + OVERHEAD_BYTES
        self.zone_bytes += 0 if same else size + OVERHEAD_BYTES
        is_lost = self.random.random() < LOST_PART
        if is_lost or (source, target) in self.cut:
            return
        way_ms = SAME_ZONE_MS if same else OTHER_ZONE_MS
        way_ms += self.random.random() * SPREAD_MS
        self._push(self.now_ms + way_ms, target, content, source)

    def publish(self, name: str, size: int = 100) -> bytes:
        """Let a VM publish a new item.

        :param name: the VM
        :param size: the item's bytes
        :returns: the item
        """
        item = next(self._numbers).to_bytes(8, "big").ljust(size, b".")
        self.published[item] = (self.now_ms, name)
        self.nodes[name].publish(item)
        self._plan_poll(name)
        return item

    def run(self, until_ms: int, per_s: float = 0.0, size: int = 100) -> None:
        """Let time pass.

        :param until_ms: until when
        :param per_s: items that all VMs together publish a second
        :param size: bytes of an item
        """
        next_ms = self._draw_next(per_s)
        while self.now_ms < until_ms:
            self.now_ms += 1
            while next_ms is not None and next_ms <= self.now_ms:
                name = self.random.choice(self.names)
                if name not in self.frozen:
                    self.publish(name, size)
                next_ms += self.random.expovariate(per_s / 1_000)
            self._deliver()

    def summarize(self, duration_ms: int) -> Summary:
        """Return what the run came to.

        :param duration_ms: how long it lasted
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

    def _draw_next(self, per_s: float) -> float | None:
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
                self._planned.pop(target, None)
                node.poll()
            else:
                self.received[target] += 1
                for item in node.take(content, source):
                    self._note_arrival(node, item, at_ms)
            self._plan_poll(target)

    def _plan_poll(self, name: str) -> None:
        due_ms = self.nodes[name].read_due_ms()
        if due_ms is None or self._planned.get(name, math.inf) <= due_ms:
            return
        self._planned[name] = due_ms
        self._push(max(due_ms, self.now_ms), name, POLL, name)

    def _note_arrival(self, node: Node, item: bytes, at_ms: float) -> None:
        published_ms, publisher = self.published[item]
        if item in node.seen or node.own.name == publisher:
            return
        node.seen.add(item)
        self.arrivals[item] += 1
        self.ages_ms.append(at_ms - published_ms)

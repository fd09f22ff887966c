"""Tests of the dissemination over relays, without a network."""

import unittest

from benchmarks import dissemination_model as model
from mulberryway.policy import dissemination

VMS = 195
ZONES = 5
# Stream starts and ends, counts and heartbeats of a fleet at normal load.
ITEMS_PER_S = 250
# A placement in a burst needs the other VMs' placements within this time.
FRESH_MS = 50


def make_fleet(vms=VMS, zones=ZONES):
    return model.SimulatedNetwork(vms, zones, model.RelayNode)


def find_relay(zone):
    """Return the VM that all other VMs use as their relay in a zone."""
    fleet = make_fleet()
    source = next(n for n in fleet.nodes.values() if n.own.zone != zone)
    packets = source.disseminator.publish(b"x" * 20, 0)
    return next(packet.address for packet in packets if packet.zone == zone)


class FleetTest(unittest.TestCase):
    def count_missing(self, fleet, item, among):
        publisher = fleet.published[item][1]
        return sum(
            item not in fleet.nodes[name].seen
            for name in among
            if name != publisher
        )

    def test_all_vms_receive_quickly_with_few_datagrams(self):
        """Guard against traffic that grows with the square of the fleet."""
        fleet = make_fleet()
        fleet.run(2_000, ITEMS_PER_S)
        result = fleet.summarize(2_000)
        self.assertLess(result.worst_age_ms, FRESH_MS)
        self.assertLess(result.missed, 0.02)
        direct = model.SimulatedNetwork(VMS, ZONES, model.DirectNode)
        direct.run(2_000, ITEMS_PER_S)
        baseline = direct.summarize(2_000)
        self.assertLess(result.zone_bytes * 10, baseline.zone_bytes)
        self.assertLess(result.received * 2, baseline.received)

    def test_small_fleet_sends_directly(self):
        """Guard against a second hop in small deployments."""
        fleet = make_fleet(vms=9, zones=3)
        packets = fleet.nodes["vm0"].disseminator.publish(b"x", 0)
        kinds = {packet.kind for packet in packets}
        self.assertEqual(len(packets), 8)
        self.assertEqual(kinds, {dissemination.Kind.DIRECT})

    def test_frozen_relay_is_replaced(self):
        """Guard against a zone that receives nothing from a frozen relay."""
        fleet = make_fleet()
        relay = find_relay("z1")
        fleet.frozen.add(relay)
        item = fleet.publish("vm0")
        alive = [name for name in fleet.names if name != relay]
        fleet.run(fleet.now_ms + 250)
        self.assertEqual(self.count_missing(fleet, item, alive), 0)
        later = fleet.publish("vm0")
        fleet.run(fleet.now_ms + FRESH_MS)
        self.assertEqual(self.count_missing(fleet, later, alive), 0)

    def test_relay_that_receives_nothing_is_replaced(self):
        """Guard against a relay that can send but not receive."""
        fleet = make_fleet()
        relay = find_relay("z2")
        fleet.cut |= {(name, relay) for name in fleet.names}
        item = fleet.publish("vm0")
        fleet.run(fleet.now_ms + 250)
        alive = [name for name in fleet.names if name != relay]
        self.assertEqual(self.count_missing(fleet, item, alive), 0)

    def test_lost_acknowledgements_bound_retransmits(self):
        """Guard against endless retransmits without acknowledgements."""
        fleet = make_fleet()
        fleet.cut |= {
            (name, "vm100") for name in fleet.names if name != "vm100"
        }
        for _ in range(20):
            fleet.publish("vm100")
            fleet.run(fleet.now_ms + 50)
        fleet.run(fleet.now_ms + 2_000)
        # To at most two relays per zone.
        self.assertLessEqual(fleet.sent["vm100"], 20 * 2 * ZONES)
        self.assertIsNone(fleet.nodes["vm100"].disseminator.read_due_ms())

    def test_burst_from_all_vms_is_batched(self):
        """Guard against a burst of datagrams when all VMs start together."""
        fleet = make_fleet()
        items = [fleet.publish(name) for name in fleet.names]
        fleet.run(100)
        missing = sum(
            self.count_missing(fleet, item, fleet.names) for item in items
        )
        self.assertLess(missing, 0.02 * VMS * VMS)
        # A direct exchange would send each VM one datagram per other VM.
        relays = {find_relay(f"z{n}") for n in range(ZONES)}
        busiest = max(
            count
            for name, count in fleet.received.items()
            if name not in relays
        )
        self.assertLess(busiest, VMS / 2)

    def test_relays_have_fast_links(self):
        """Guard against VMs with slow links as relays of their zone."""
        fleet = make_fleet()
        for zone in range(ZONES):
            relay = find_relay(f"z{zone}")
            self.assertEqual(fleet.nodes[relay].own.link_mbps, 100)

    def test_removed_vm_receives_nothing(self):
        """Guard against items for VMs that have left the fleet."""
        fleet = make_fleet()
        removed = find_relay("z3")
        remaining = [vm for vm in fleet.receivers if vm.name != removed]
        node = fleet.nodes["vm0"].disseminator
        node.set_receivers(remaining)
        self.assertNotIn(
            removed, [packet.address for packet in node.publish(b"x" * 20, 0)]
        )


class BatchTest(unittest.TestCase):
    def test_single_item_is_sent_at_once(self):
        batch = dissemination.RelayBatch()
        self.assertEqual(batch.add([b"a"], 0), [[b"a"]])
        self.assertEqual(batch.add([b"b"], 5), [])
        self.assertEqual(batch.add([b"c"], 10), [])
        self.assertEqual(batch.pop_due(20), [[b"b", b"c"]])
        self.assertIsNone(batch.read_due_ms())

    def test_heartbeats_share_a_batch(self):
        """Guard against a datagram for every few heartbeats."""
        batch = dissemination.RelayBatch()
        sent = [
            item
            for now_ms in range(0, 1_000, 8)
            for item in batch.add([b"beat"], now_ms, is_deferrable=True)
            + batch.pop_due(now_ms)
        ]
        self.assertLessEqual(len(sent), 10)
        self.assertGreaterEqual(sum(map(len, sent)), 110)

    def test_urgent_item_flushes_waiting_heartbeats(self):
        """Guard against urgent items that wait as long as heartbeats may."""
        batch = dissemination.RelayBatch()
        self.assertEqual(batch.add([b"beat"], 0, is_deferrable=True), [])
        self.assertEqual(batch.add([b"news"], 10), [[b"beat", b"news"]])
        self.assertEqual(batch.add([b"beat"], 12, is_deferrable=True), [])
        self.assertEqual(batch.read_due_ms(), 112)
        self.assertEqual(batch.add([b"news"], 15), [])
        self.assertEqual(batch.read_due_ms(), 30)

    def test_batch_fits_one_frame(self):
        """Guard against datagrams that are fragmented, and lost as a whole."""
        batch = dissemination.RelayBatch()
        batch.add([b"a"], 0)
        items = [bytes(300)] * 9
        batches = batch.add(items, 1) + batch.pop_due(100)
        self.assertEqual(sum(map(len, batches)), 9)
        self.assertLessEqual(
            max(sum(map(len, packed)) for packed in batches), 1_300
        )


class OutboxTest(unittest.TestCase):
    def test_pending_items_are_bounded(self):
        """Guard against unbounded memory while no relay acknowledges."""
        zone_outbox = dissemination.ZoneOutbox("z")
        relay = dissemination.Receiver("r", "r", "z")
        for number in range(1, 1_001):
            zone_outbox.send(b"item", relay, number, 0)
        self.assertLessEqual(len(zone_outbox.pop_overdue(1_000)), 64)
        self.assertGreaterEqual(zone_outbox.dropped, 900)

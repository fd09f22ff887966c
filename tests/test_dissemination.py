"""Items that spread over a fleet by relays, without a network."""

import unittest

from benchmarks import dissemination_model as model
from mulberryway.policy import dissemination

VMS = 195
ZONES = 5
# Stream starts and ends, counts and heartbeats of a fleet at its usual load.
ITEMS_PER_S = 250
# A placement in a burst wants to know of others' placements by then.
FRESH_MS = 50


def make_fleet(vms=VMS, zones=ZONES):
    return model.SimulatedNetwork(vms, zones, model.RelayNode)


def find_relay(zone):
    """Return the VM that all others use as their relay in a zone."""
    fleet = make_fleet()
    source = next(n for n in fleet.nodes.values() if n.own.zone != zone)
    packets = source.disseminator.publish(b"x" * 20, 0)
    return next(one.address for one in packets if one.zone == zone)


class FleetTest(unittest.TestCase):
    def count_missing(self, fleet, item, among):
        publisher = fleet.published[item][1]
        return sum(
            item not in fleet.nodes[name].seen
            for name in among
            if name != publisher
        )

    def test_all_vms_hear_soon_at_a_few_datagrams(self):
        """Guards against traffic that grows with the square of the fleet."""
        fleet = make_fleet()
        fleet.run(2_000, ITEMS_PER_S)
        found = fleet.summarize(2_000)
        self.assertLess(found.worst_age_ms, FRESH_MS)
        self.assertLess(found.missed, 0.02)
        direct = model.SimulatedNetwork(VMS, ZONES, model.DirectNode)
        direct.run(2_000, ITEMS_PER_S)
        before = direct.summarize(2_000)
        self.assertLess(found.zone_bytes * 10, before.zone_bytes)
        self.assertLess(found.received * 2, before.received)

    def test_a_small_fleet_hears_directly(self):
        """Guards small deployments against a second hop."""
        fleet = make_fleet(vms=9, zones=3)
        packets = fleet.nodes["vm0"].disseminator.publish(b"x", 0)
        kinds = {one.kind for one in packets}
        self.assertEqual(len(packets), 8)
        self.assertEqual(kinds, {dissemination.Kind.DIRECT})

    def test_a_relay_freezes(self):
        """Guards against a zone that hears nothing while its relay stands."""
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

    def test_a_relay_is_cut_off_one_way(self):
        """Guards against a relay that is heard and does not hear."""
        fleet = make_fleet()
        relay = find_relay("z2")
        fleet.cut |= {(name, relay) for name in fleet.names}
        item = fleet.publish("vm0")
        fleet.run(fleet.now_ms + 250)
        alive = [name for name in fleet.names if name != relay]
        self.assertEqual(self.count_missing(fleet, item, alive), 0)

    def test_acknowledgements_are_lost(self):
        """Guards against items sent without end where no answer comes."""
        fleet = make_fleet()
        fleet.cut |= {
            (name, "vm100") for name in fleet.names if name != "vm100"
        }
        for _ in range(20):
            fleet.publish("vm100")
            fleet.run(fleet.now_ms + 50)
        fleet.run(fleet.now_ms + 2_000)
        # To two relays of each zone at most.
        self.assertLessEqual(fleet.sent["vm100"], 20 * 2 * ZONES)
        self.assertIsNone(fleet.nodes["vm100"].disseminator.read_due_ms())

    def test_all_vms_publish_at_once(self):
        """Guards against a burst of datagrams when all VMs start together."""
        fleet = make_fleet()
        items = [fleet.publish(name) for name in fleet.names]
        fleet.run(100)
        missing = sum(
            self.count_missing(fleet, item, fleet.names) for item in items
        )
        self.assertLess(missing, 0.02 * VMS * VMS)
        # A direct exchange would bring each VM one datagram of each other.
        relays = {find_relay(f"z{n}") for n in range(ZONES)}
        busiest = max(
            count
            for name, count in fleet.received.items()
            if name not in relays
        )
        self.assertLess(busiest, VMS / 2)

    def test_relays_have_fast_links(self):
        """Guards VMs with slow links against relaying for their zone."""
        fleet = make_fleet()
        for zone in range(ZONES):
            relay = find_relay(f"z{zone}")
            self.assertEqual(fleet.nodes[relay].own.link_mbps, 100)

    def test_a_vm_that_left_gets_nothing(self):
        """Guards against items for VMs that are gone."""
        fleet = make_fleet()
        gone = find_relay("z3")
        left = [one for one in fleet.receivers if one.name != gone]
        node = fleet.nodes["vm0"].disseminator
        node.set_receivers(left)
        self.assertNotIn(
            gone, [one.address for one in node.publish(b"x" * 20, 0)]
        )


class BatchTest(unittest.TestCase):
    def test_a_single_item_goes_at_once(self):
        batch = dissemination.RelayBatch()
        self.assertEqual(batch.add([b"a"], 0), [[b"a"]])
        self.assertEqual(batch.add([b"b"], 5), [])
        self.assertEqual(batch.add([b"c"], 10), [])
        self.assertEqual(batch.pop_due(20), [[b"b", b"c"]])
        self.assertIsNone(batch.read_due_ms())

    def test_heartbeats_share_a_batch(self):
        """Guards against a datagram for every few heartbeats."""
        batch = dissemination.RelayBatch()
        sent = [
            one
            for now_ms in range(0, 1_000, 8)
            for one in batch.add([b"beat"], now_ms, is_deferrable=True)
            + batch.pop_due(now_ms)
        ]
        self.assertLessEqual(len(sent), 10)
        self.assertGreaterEqual(sum(map(len, sent)), 110)

    def test_news_takes_waiting_heartbeats_along(self):
        """Guards news against the wait that heartbeats may have."""
        batch = dissemination.RelayBatch()
        self.assertEqual(batch.add([b"beat"], 0, is_deferrable=True), [])
        self.assertEqual(batch.add([b"news"], 10), [[b"beat", b"news"]])
        self.assertEqual(batch.add([b"beat"], 12, is_deferrable=True), [])
        self.assertEqual(batch.read_due_ms(), 112)
        self.assertEqual(batch.add([b"news"], 15), [])
        self.assertEqual(batch.read_due_ms(), 30)

    def test_a_batch_fits_one_frame(self):
        """Guards against datagrams that are lost with any fragment."""
        batch = dissemination.RelayBatch()
        batch.add([b"a"], 0)
        items = [bytes(300)] * 9
        batches = batch.add(items, 1) + batch.pop_due(100)
        self.assertEqual(sum(map(len, batches)), 9)
        self.assertLessEqual(max(sum(map(len, one)) for one in batches), 1_300)


class OutboxTest(unittest.TestCase):
    def test_pending_items_are_bounded(self):
        """Guards a VM's memory while no relay answers."""
        box = dissemination.ZoneOutbox("z")
        relay = dissemination.Receiver("r", "r", "z")
        for number in range(1, 1_001):
            box.send(b"item", relay, number, 0)
        self.assertLessEqual(len(box.pop_overdue(1_000)), 64)
        self.assertGreaterEqual(box.given_up, 900)

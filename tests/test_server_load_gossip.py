"""Tests of the exchange of plain servers' loads between VMs."""

import unittest

from mulberryway import clock
from mulberryway import metrics
from mulberryway.controllers import server_load_gossip
from mulberryway.peers import gossip_messages
from tests import advisory_fleet
from tests import processes

POOL = "app"


class GossipTest(unittest.TestCase):
    """Two VMs in this process, whose messages arrive at once."""

    def setUp(self):
        self.clock = clock.ManualClock(1_000)
        self.sent = []
        self.first, self.second = (
            server_load_gossip.ServerLoadGossip(name, 1, lambda: 2, self.clock)
            for name in ("vm0", "vm1")
        )
        self.first.publish = self.deliver

    def deliver(self, payload, is_urgent):
        self.sent.append(payload)
        self.assertFalse(is_urgent)
        datagram = gossip_messages.decode_datagram(payload)
        self.second.take_report(datagram.server_loads)

    def read(self, name):
        instruments = metrics.Metrics("vm1")
        self.addCleanup(instruments.stop)
        self.second.report(instruments)
        return [
            (point["labels"], point["value"])
            for point in instruments.read()[f"mulberryway.service.{name}"]
        ]

    def test_calls_are_known_to_the_other_vm(self):
        self.first.book.begin(POOL, "s0", 1_000)
        self.first.step()
        self.assertEqual(
            self.second.book.count_in_flight(POOL, "s0", 1_000), 1
        )
        labels = {"pool": POOL, "upstream": "s0"}
        self.assertEqual(self.read("in_flight"), [(labels, 1)])

    def test_vm_without_calls_sends_nothing(self):
        """Guards against messages that grow with the idle fleet."""
        for _ in range(20):
            self.first.step()
            self.clock.advance_ms(500)
        self.assertEqual(self.sent, [])

    def test_interval_grows_with_the_fleet(self):
        self.first._count_vms = lambda: 91
        self.first.step()
        self.assertEqual(self.first.period_ms, 455)

    def test_refusals_are_logged_and_counted(self):
        self.second.book.record_refusal(POOL, 2, 1_000)
        self.second.step()
        self.clock.advance_ms(server_load_gossip.LOG_INTERVAL_MS)
        with self.assertLogs(server_load_gossip.LOG, "INFO") as logged:
            self.second.step()
        self.assertEqual(len(logged.records), 1)
        labels = {"pool": POOL, "rank": 2}
        self.assertEqual(self.read("refused"), [(labels, 1)])

    def test_malformed_report_is_logged_once(self):
        """Guards against a log that a faulty VM fills."""
        book = self.first.book
        book.begin(POOL, "s0", 1_000)
        report = book.make_report(1_000)
        report.loads[0].in_flight = -1
        with self.assertLogs(server_load_gossip.LOG, "ERROR") as logged:
            self.second.take_report(report)
            self.second.take_report(report)
        self.assertEqual(len(logged.records), 1)
        self.assertEqual(
            self.second.book.count_in_flight(POOL, "s0", 1_000), 0
        )


class FleetTest(unittest.TestCase):
    """Three VMs and three servers."""

    def test_loads_reach_a_vm_without_calls(self):
        """Guards against reports that are not sent, relayed or applied."""
        with advisory_fleet.AdvisoryFleet() as fleet:

            def is_known():
                port = fleet.ports[1][4]
                text = processes.call(port, "GET", "/metrics").body.decode()
                return any(
                    f'pool="app",upstream="{name}"' in text
                    for name in advisory_fleet.SERVERS
                )

            self.assertFalse(is_known())
            with advisory_fleet.Load(fleet, 1 / 20, pick_vm=lambda number: 0):
                self.assertTrue(processes.wait_until(is_known))

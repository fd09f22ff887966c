"""Tests of the book of calls to plain servers."""

import unittest

from mulberryway.policy import server_load_book
from mulberryway.policy import server_loads

POOL = "app"


def make_report(sequence, in_flight, vm="vm1", incarnation=1, **counts):
    load = server_loads.ServerLoad(POOL, "s0", in_flight, **counts)
    return server_loads.ServerLoadReport(vm, incarnation, sequence, [load])


class BookTest(unittest.TestCase):
    def setUp(self):
        self.book = server_load_book.ServerLoadBook("vm0", 1)
        self.other = server_load_book.ServerLoadBook("vm1", 1)

    def count(self, now_ms):
        return self.book.count_in_flight(POOL, "s0", now_ms)

    def test_calls_of_all_vms(self):
        self.book.begin(POOL, "s0", 0)
        self.book.record_report(make_report(1, 2), 0)
        self.book.record_report(make_report(1, 3, "vm2"), 0)
        self.assertEqual(self.count(0), 6)

    def test_late_and_duplicate_reports(self):
        """Guards against an old count that replaces a newer one."""
        self.book.record_report(make_report(2, 1), 0)
        self.book.record_report(make_report(1, 5), 1)
        self.book.record_report(make_report(2, 1, completed=90), 2)
        self.assertEqual(self.count(2), 1)
        self.assertEqual(self.book.ignored, 2)

    def test_lost_report(self):
        """Guards against calls that have ended and count for ever."""
        self.book.record_report(make_report(1, 4), 0)
        self.assertEqual(self.count(150), 4)
        self.assertEqual(self.count(900), 0)

    def test_new_incarnation(self):
        """Guards against the calls of a VM's previous incarnation, and
        against ignoring the lower sequence numbers of the new one.
        """
        self.book.set_vm_count(100)
        self.book.record_report(make_report(9, 4), 0)
        self.book.record_report(make_report(1, 1, incarnation=2), 10)
        self.assertEqual(self.count(200), 1)
        self.book.record_report(make_report(10, 4), 210)
        self.assertEqual(self.count(310), 1)

    def test_dead_vm(self):
        """Guards against the calls and the news of a VM that has died."""
        self.book.record_report(make_report(1, 4), 0)
        self.assertEqual(self.book.get_news_age_ms(500), 500)
        self.book.make_report(4_000)
        self.assertEqual(self.count(4_000), 0)
        self.assertIsNone(self.book.get_news_age_ms(4_000))

    def test_older_vm(self):
        """Guards against counting on VMs that report no calls."""
        self.assertIsNone(self.book.get_news_age_ms(100))
        self.assertEqual(self.count(100), 0)

    def test_malformed_report(self):
        """Guards against counts that no VM can have."""
        self.book.record_report(make_report(1, 2), 0)
        for bad in (-1, "2", None, 1 << 40):
            with self.subTest(bad=bad):
                self.assertFalse(
                    self.book.record_report(make_report(2, bad), 1)
                )
        self.assertEqual(self.count(1), 2)

    def test_own_report_from_elsewhere(self):
        """Guards against counting own calls twice."""
        self.book.begin(POOL, "s0", 0)
        self.book.record_report(make_report(1, 5, "vm0"), 0)
        self.assertEqual(self.count(0), 1)

    def test_nothing_to_report(self):
        self.assertIsNone(self.other.make_report(0))
        self.other.begin(POOL, "s0", 0)
        (load,) = self.other.make_report(10).loads
        self.assertEqual(load.in_flight, 1)
        self.assertIsNone(self.other.make_report(110))

    def test_long_calls_are_repeated(self):
        """Guards against long calls that seem to have ended."""
        self.other.begin(POOL, "s0", 0)
        self.other.make_report(10)
        self.assertIsNotNone(self.other.make_report(1_010))

    def test_counts_since_the_last_report(self):
        for took_ms in (40, 60):
            self.other.begin(POOL, "s0", 0)
            self.other.finish(POOL, "s0", took_ms, False, took_ms)
        self.other.begin(POOL, "s0", 70)
        self.other.finish(POOL, "s0", None, True, 71)
        (load,) = self.other.make_report(100).loads
        self.assertEqual(
            (load.in_flight, load.completed, load.rejected, load.busy_ms),
            (0, 2, 1, 100),
        )
        self.assertIsNone(self.other.make_report(200))

    def test_refused_calls_count_as_demand(self):
        """Guards against admitting more because others refuse."""
        for _ in range(50):
            self.other.record_refusal(POOL, 2, 0)
        self.book.record_report(self.other.make_report(10), 20)
        traffic = self.book.get_traffic(POOL, 20)
        self.assertGreater(traffic.demand_per_ms, 0.1)
        self.assertEqual(traffic.sent_per_ms, 0)
        self.assertEqual(self.book.list_servers(), [])

    def test_removed_server(self):
        """Guards against memory for servers that were replaced."""
        self.book.record_report(make_report(1, 4, completed=3, busy_ms=90), 0)
        self.book.retain(POOL, {"s1"})
        self.assertEqual(self.book.list_servers(), [])
        self.assertEqual(self.count(200), 0)

    def test_reports_a_vm_receives(self):
        """More VMs report less often, so that each hears 200/s."""
        for vms in (1, 6, 68, 91, 410):
            interval_ms = server_load_book.compute_interval_ms(vms)
            self.assertGreaterEqual(interval_ms, 100)
            self.assertLessEqual(vms * 1_000 / interval_ms, 201)

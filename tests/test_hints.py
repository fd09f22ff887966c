"""Tests of subsets, prefix indexes, ejection and transfer links."""

import random
import unittest

from mulberryway.policy import health
from mulberryway.policy import prefix_index
from mulberryway.policy import subsetting
from mulberryway.policy import transfers
from mulberryway.upstreams import base as upstreams


class SubsetsTest(unittest.TestCase):
    def setUp(self):
        self.vms = [f"vm{n}" for n in range(410)]
        self.engines = [f"e{n}" for n in range(4_800)]
        self.subsets = subsetting.Subsets(75, self.vms)

    def test_every_engine_has_a_few_routers(self):
        """Each router considers only a subset of the engines.  An engine
        without a router would stay idle while callers are rejected.
        """
        counts = dict.fromkeys(self.engines, 0)
        for vm in self.vms:
            for engine in self.subsets.choose(vm, self.engines):
                counts[engine] += 1
        self.assertGreaterEqual(min(counts.values()), 1)
        self.assertLessEqual(max(counts.values()), 6)
        self.assertEqual(
            {len(self.subsets.list_peers(vm)) <= 5 for vm in self.vms},
            {True},
        )

    def test_removed_vm_moves_few_others(self):
        after = subsetting.Subsets(75, self.vms[1:])
        moved = sum(
            after.find_subset(vm) != self.subsets.find_subset(vm)
            for vm in self.vms[1:]
        )
        self.assertLess(moved, 40)


class PrefixIndexTest(unittest.TestCase):
    def test_event_gap_marks_older_blocks_stale(self):
        """The event of an eviction was lost.  If older blocks kept their full
        weight, prefills would take far longer than planned and miss the
        first token target.
        """
        index = prefix_index.PrefixIndex()
        event = upstreams.CacheEvent
        index.apply_events([event(1, ("a", "b"), ())])
        self.assertEqual(index.count_hits(("a", "b", "c")), 2)
        index.apply_events([event(3, ("c",), ())])
        self.assertEqual(index.count_hits(("a", "b", "c")), 2)
        index.apply_events([event(4, (), ("a",))])
        self.assertEqual(index.count_hits(("a", "b", "c")), 0)
        index.apply_events([event(2, ("a",), ())])
        self.assertEqual(index.count_hits(("a",)), 0)

    def test_size_is_bounded(self):
        index = prefix_index.PrefixIndex()
        index.record_own(tuple(f"h{n}" for n in range(5_000)))
        self.assertEqual(len(index), prefix_index.MAX_BLOCKS)


class OutlierDetectorTest(unittest.TestCase):
    def setUp(self):
        self.health = health.OutlierDetector(random.Random(1))

    def test_failures_of_one_batch_eject_once(self):
        for _ in range(20):
            self.health.record_failure(True, 100)
        self.assertTrue(self.health.is_ejected(1_000))
        self.assertFalse(self.health.is_ejected(1_500))

    def test_failing_probes_back_off(self):
        now_ms, waits = 0, []
        for _ in range(8):
            self.health.record_failure(True, now_ms)
            start_ms = now_ms
            while self.health.is_ejected(now_ms):
                now_ms += 50
            waits.append(now_ms - start_ms)
            self.health.record_start(now_ms)
            self.assertTrue(self.health.is_ejected(now_ms))
        self.assertGreater(waits[3], 5 * waits[0])
        self.assertLess(waits[-1], 40_000)
        self.health.record_success()
        self.assertFalse(self.health.is_ejected(now_ms))

    def test_inconclusive_probe_allows_another(self):
        self.health.record_failure(True, 0)
        self.health.record_start(2_000)
        self.health.record_inconclusive()
        self.assertFalse(self.health.is_ejected(2_001))

    def test_single_failures_do_not_eject(self):
        for now_ms in range(6):
            self.health.record_failure(False, now_ms)
            self.health.record_success()
        self.assertFalse(self.health.is_ejected(10))


class TransferLinksTest(unittest.TestCase):
    def test_transfers_queue_on_a_link(self):
        links = transfers.TransferLinks()
        zones = ("a", "b")
        self.assertEqual(links.estimate_ms(zones, 1_000, 10_000, 0), 100)
        links.reserve(zones, 1_000, 10_000, 0)
        self.assertEqual(links.estimate_ms(zones, 1_000, 10_000, 50), 150)
        self.assertEqual(links.estimate_ms(("b", "a"), 10, 10_000, 50), 1)

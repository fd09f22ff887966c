"""Cells, prefix indexes and health: what the choice of upstreams rests on."""

import random
import unittest

from mulberryway.policy import health
from mulberryway.policy import prefix_index
from mulberryway.policy import subsetting
from mulberryway.policy import transfers
from mulberryway.upstreams import base as upstreams


class CellsTest(unittest.TestCase):
    def setUp(self):
        self.vms = [f"vm{n}" for n in range(410)]
        self.engines = [f"e{n}" for n in range(4_800)]
        self.division = subsetting.Subsets(75, self.vms)

    def test_every_engine_has_routers_and_few(self):
        """Each router looks at a part of the engines.  An engine in nobody's
        part would idle for ever while callers are refused.
        """
        counts = dict.fromkeys(self.engines, 0)
        for vm in self.vms:
            for engine in self.division.choose(vm, self.engines):
                counts[engine] += 1
        self.assertGreaterEqual(min(counts.values()), 1)
        self.assertLessEqual(max(counts.values()), 6)
        self.assertEqual(
            {len(self.division.list_peers(vm)) <= 5 for vm in self.vms},
            {True},
        )

    def test_a_vm_that_goes_moves_few_others(self):
        after = subsetting.Subsets(75, self.vms[1:])
        moved = sum(
            after.find_subset(vm) != self.division.find_subset(vm)
            for vm in self.vms[1:]
        )
        self.assertLess(moved, 40)


class PrefixesTest(unittest.TestCase):
    def test_a_gap_makes_older_blocks_doubtful(self):
        """An event that told of an eviction was lost.  Blocks that are
        trusted all the same start prefills which take far longer than
        planned, and the first token is late.
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

    def test_bounded(self):
        index = prefix_index.PrefixIndex()
        index.record_own(tuple(f"h{n}" for n in range(5_000)))
        self.assertEqual(len(index), prefix_index.MAX_BLOCKS)


class HealthTest(unittest.TestCase):
    def setUp(self):
        self.health = health.OutlierDetector(random.Random(1))

    def test_a_batch_that_dies_ejects_once(self):
        for _ in range(20):
            self.health.record_failure(True, 100)
        self.assertTrue(self.health.is_ejected(1_000))
        self.assertFalse(self.health.is_ejected(1_500))

    def test_failing_probes_come_ever_more_seldom(self):
        now_ms, waits = 0, []
        for _ in range(8):
            self.health.record_failure(True, now_ms)
            begun = now_ms
            while self.health.is_ejected(now_ms):
                now_ms += 50
            waits.append(now_ms - begun)
            self.health.record_start(now_ms)
            self.assertTrue(self.health.is_ejected(now_ms))
        self.assertGreater(waits[3], 5 * waits[0])
        self.assertLess(waits[-1], 40_000)
        self.health.record_success()
        self.assertFalse(self.health.is_ejected(now_ms))

    def test_a_probe_whose_caller_goes_makes_room_for_another(self):
        self.health.record_failure(True, 0)
        self.health.record_start(2_000)
        self.health.record_inconclusive()
        self.assertFalse(self.health.is_ejected(2_001))

    def test_single_failures_do_not_eject(self):
        for now_ms in range(6):
            self.health.record_failure(False, now_ms)
            self.health.record_success()
        self.assertFalse(self.health.is_ejected(10))


class LinksTest(unittest.TestCase):
    def test_transfers_wait_for_one_another(self):
        links = transfers.TransferLinks()
        way = ("a", "b")
        self.assertEqual(links.estimate_ms(way, 1_000, 10_000, 0), 100)
        links.reserve(way, 1_000, 10_000, 0)
        self.assertEqual(links.estimate_ms(way, 1_000, 10_000, 50), 150)
        self.assertEqual(links.estimate_ms(("b", "a"), 10, 10_000, 50), 1)

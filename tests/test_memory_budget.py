"""Tests of what a VM holds for slow readers, without a network."""

import unittest

from mulberryway.policy import memory_budget

MB = 1_000_000
NOW_MS = 60_000


def make_reader(key, unread_bytes, behind_for_ms=5_000):
    reader = memory_budget.Reader(key, NOW_MS - behind_for_ms)
    reader.unread_bytes = unread_bytes
    return reader


class SizeTest(unittest.TestCase):
    def test_budget_of_a_small_vm(self):
        """A VM of 128 MB keeps room for all that is not in the budget."""
        self.assertEqual(memory_budget.compute_budget_bytes(128), 40 * MB)

    def test_unknown_memory(self):
        """Without a memory limit each stream alone is bounded, as before."""
        budget = memory_budget.MemoryBudget(
            memory_budget.compute_budget_bytes(0)
        )
        budget.add(1 << 40)
        self.assertEqual(budget.compute_limit_bytes(), 262_144)
        self.assertTrue(budget.try_reserve(1 << 30))
        self.assertEqual(budget.compute_excess_bytes(), 0)

    def test_memory_below_what_is_used_at_rest(self):
        """A VM that is too small bounds what it holds all the same."""
        self.assertGreater(memory_budget.compute_budget_bytes(20), 0)


class LimitTest(unittest.TestCase):
    def setUp(self):
        self.budget = memory_budget.MemoryBudget(40 * MB)

    def test_one_slow_reader(self):
        """A single slow reader need not stop its upstream."""
        self.assertGreater(self.budget.compute_limit_bytes(), 3 * MB)

    def test_many_slow_readers(self):
        """Of 400 slow readers that take all they get, none fills the budget,
        and bodies find room beside them.
        """
        held = [0] * 400
        for _ in range(200):
            for index in range(len(held)):
                size = min(
                    max(self.budget.compute_limit_bytes() - held[index], 0),
                    65_536,
                )
                held[index] += size
                self.budget.add(size)
        self.assertLessEqual(sum(held), 30 * MB)
        self.assertTrue(self.budget.try_reserve(4 * MB))
        self.assertEqual(self.budget.compute_excess_bytes(), 0)

    def test_bodies_beyond_the_budget(self):
        """Large bodies that arrive together are refused beyond the budget."""
        taken = [self.budget.try_reserve(4 * MB) for _ in range(12)]
        self.assertEqual(taken.count(True), 10)
        self.budget.add(-4 * MB)
        self.assertTrue(self.budget.try_reserve(4 * MB))

    def test_excess(self):
        """Readers and bodies that together fill the budget."""
        self.budget.add(36 * MB)
        self.assertEqual(self.budget.compute_excess_bytes(), 1 * MB)


class ChoiceTest(unittest.TestCase):
    def choose(self, readers, excess_bytes):
        return [
            reader.key
            for reader in memory_budget.choose_slowest(
                readers, excess_bytes, NOW_MS
            )
        ]

    def test_few_are_given_up(self):
        """The largest backlogs go first, and no more than needed."""
        readers = [make_reader(size, size * MB) for size in (1, 4, 2, 3)]
        self.assertEqual(self.choose(readers, 5 * MB), [4, 3])

    def test_longest_behind(self):
        """Of equal backlogs the one that makes no progress goes first."""
        readers = [
            make_reader("new", MB, 2_000),
            make_reader("old", MB, 9_000),
        ]
        self.assertEqual(self.choose(readers, 1), ["old"])

    def test_burst(self):
        """A reader that fell behind only just now reads well enough."""
        self.assertEqual(
            self.choose([make_reader("burst", 9 * MB, 500)], MB), []
        )

    def test_no_excess(self):
        """Nobody is given up for being slow while there is room."""
        self.assertEqual(self.choose([make_reader("slow", MB)], 0), [])

    def test_pause(self):
        """A reader whose upstream waits for seconds loses it anyway."""
        reader = make_reader("slow", MB)
        self.assertFalse(memory_budget.is_stalled(reader, NOW_MS))
        reader.paused_ms = NOW_MS - 1_999
        self.assertFalse(memory_budget.is_stalled(reader, NOW_MS))
        reader.paused_ms = NOW_MS - 2_000
        self.assertTrue(memory_budget.is_stalled(reader, NOW_MS))

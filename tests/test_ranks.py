"""Tests ranks of model jobs under overload, without a network."""

import unittest

from mulberryway.policy import ranks


class QueueFractionTest(unittest.TestCase):
    """Tests the share of a queue that a rank may fill."""

    def test_lower_ranks_leave_room(self):
        """A burst of light requests that arrives before urgent ones."""
        fractions = [
            ranks.get_queue_fraction(rank, 0)
            for rank in range(ranks.LOWEST_RANK + 1)
        ]
        self.assertEqual(1.0, fractions[0])
        self.assertEqual(sorted(fractions, reverse=True), fractions)
        self.assertEqual(len(fractions), len(set(fractions)))
        self.assertGreater(fractions[-1], ranks.MIN_QUEUE_FRACTION)

    def test_single_rank_fills_the_queue(self):
        """A burst of the only rank in use."""
        self.assertEqual(1.0, ranks.get_queue_fraction(2, 2))
        self.assertEqual(1.0, ranks.get_queue_fraction(0, 2))

"""Tests of the retry budget that is shared by all VMs."""

import unittest

from mulberryway import clock
from mulberryway.filters import repeats
from mulberryway.policy import retries

SLACK = 50


class SharedBudgetTest(unittest.TestCase):
    def make(self, vms):
        self.vms = vms
        return repeats.SharedRetryBudget(
            retries.FleetRetryBudget(0.0, 10_000, SLACK),
            clock.ManualClock(),
            lambda: self.vms,
        )

    def withdraw_all(self, budget):
        count = 0
        while budget.try_withdraw("app"):
            count += 1
        return count

    def test_restarted_vm_uses_only_its_fraction(self):
        """Guards against a restarted VM that knows no other VM when it loads
        its first tables, and keeps using the whole budget.
        """
        budget = self.make(1)
        self.vms = 7
        self.assertLessEqual(self.withdraw_all(budget), SLACK // 7)

    def test_partitioned_vms_together_stay_within_the_slack(self):
        """Guards against partitioned VMs that each use the whole slack:
        unresponsive VMs must still be counted.
        """
        spent = sum(self.withdraw_all(self.make(7)) for _ in range(7))
        self.assertLessEqual(spent, SLACK)

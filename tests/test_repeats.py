"""The budget for repeats, shared by VMs that see one another or not."""

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

    def spend_all(self, budget):
        count = 0
        while budget.try_withdraw("app"):
            count += 1
        return count

    def test_a_vm_that_has_just_started_takes_its_share_only(self):
        """Guards against a restarted VM that knows nobody when it gets its
        first tables, and goes on with the share of a lone one.
        """
        budget = self.make(1)
        self.vms = 7
        self.assertLessEqual(self.spend_all(budget), SLACK // 7)

    def test_shares_of_vms_that_are_all_cut_off_stay_within_the_slack(self):
        """Guards against VMs that hear nobody and each take the whole slack:
        those that fell silent still count.
        """
        spent = sum(self.spend_all(self.make(7)) for _ in range(7))
        self.assertLessEqual(spent, SLACK)

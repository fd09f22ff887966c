"""Jobs that wait at one VM while the other VMs of a large fleet tell news."""

import time
import unittest

from mulberryway import clock
from mulberryway.controllers import scheduling
from mulberryway.policy import hints
from mulberryway.policy import scheduler
from tests import policy_cases as cases

GUARD_S = 20
SLOTS = 2


class CountingScheduler(scheduler.FairScheduler):
    """Counts the rounds in which waiting jobs were looked at."""

    def __init__(self):
        super().__init__("vm0", seed=1)
        self.rounds = 0

    def dispatch(self, now_ms):
        self.rounds += 1
        return super().dispatch(now_ms)


def make_note(sequence, decodes, vm="vm1"):
    return hints.Note(
        vm, 1, sequence, [hints.Holding("lm", "d0", decodes, 0)], [], []
    )


class HintsTest(unittest.TestCase):
    def make(self, clock_):
        self.scheduler = CountingScheduler()
        pool = cases.make_pool(prefills=1, decodes=1, slots=SLOTS)
        self.scheduler.change_pools({pool.name: pool}, clock_.now_ms())
        return scheduling.SchedulingController(self.scheduler, clock_)

    def test_a_flood_of_hints_shares_few_rounds(self):
        """Guards a burst's processor time against one round for each hint."""
        clock_ = clock.ManualClock()
        controller = self.make(clock_)
        controller.apply_hints([make_note(1, SLOTS)])
        tickets = [
            controller.submit(cases.make_job(f"j{number}", str(number))).ok
            for number in range(3)
        ]
        self.assertFalse(any(one.decided.is_set() for one in tickets))
        before = self.scheduler.rounds
        for sequence in range(2, 402):
            clock_.advance_ms(1)
            controller.apply_hints([make_note(sequence, SLOTS)])
        self.assertLessEqual(
            self.scheduler.rounds - before,
            400 / scheduling.GOSSIP_DISPATCH_INTERVAL_MS,
        )

    def test_a_slot_that_another_vm_frees_is_taken_soon(self):
        """Guards against jobs that wait on after the last hint has come."""
        controller = self.make(clock.SystemClock())
        controller.start()
        self.addCleanup(controller.stop)
        controller.apply_hints([make_note(1, SLOTS)])
        job = cases.make_job("j", now_ms=controller.clock.now_ms())
        ticket = controller.submit(job).ok
        self.assertFalse(ticket.decided.is_set())
        # The second comes right after a round and has none of its own.
        controller.apply_hints([make_note(2, SLOTS)])
        began_s = time.monotonic()
        controller.apply_hints([make_note(3, 0)])
        self.assertTrue(ticket.decided.wait(GUARD_S))
        self.assertLess(time.monotonic() - began_s, 0.5)
        self.assertTrue(ticket.decision.is_ok())

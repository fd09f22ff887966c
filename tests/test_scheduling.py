"""Tests of waiting jobs under the gossip of a large fleet."""

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
    """Counts dispatches."""

    def __init__(self):
        super().__init__("vm0", seed=1)
        self.dispatches = 0

    def dispatch(self, now_ms):
        self.dispatches += 1
        return super().dispatch(now_ms)


def make_note(sequence, decodes, vm="vm1"):
    return hints.Note(
        vm, 1, sequence, [hints.Holding("lm", "d0", decodes, 0)], [], []
    )


class GossipTest(unittest.TestCase):
    def make(self, clock_):
        self.scheduler = CountingScheduler()
        pool = cases.make_pool(prefills=1, decodes=1, slots=SLOTS)
        self.scheduler.change_pools({pool.name: pool}, clock_.now_ms())
        return scheduling.SchedulingController(self.scheduler, clock_)

    def test_burst_of_messages_shares_few_dispatches(self):
        """One dispatch per gossip message would cost too much in a burst."""
        clock_ = clock.ManualClock()
        controller = self.make(clock_)
        controller.apply_hints([make_note(1, SLOTS)])
        tickets = [
            controller.submit(cases.make_job(f"j{number}", str(number))).ok
            for number in range(3)
        ]
        self.assertFalse(any(one.decided.is_set() for one in tickets))
        before = self.scheduler.dispatches
        for sequence in range(2, 402):
            clock_.advance_ms(1)
            controller.apply_hints([make_note(sequence, SLOTS)])
        self.assertLessEqual(
            self.scheduler.dispatches - before,
            400 / scheduling.GOSSIP_DISPATCH_INTERVAL_MS,
        )

    def test_slot_freed_by_another_vm_is_assigned_soon(self):
        """A job must not keep waiting after the last gossip message."""
        controller = self.make(clock.SystemClock())
        controller.start()
        self.addCleanup(controller.stop)
        controller.apply_hints([make_note(1, SLOTS)])
        job = cases.make_job("j", now_ms=controller.clock.now_ms())
        ticket = controller.submit(job).ok
        self.assertFalse(ticket.decided.is_set())
        # The second arrives right after a dispatch and gets none of its own.
        controller.apply_hints([make_note(2, SLOTS)])
        start_s = time.monotonic()
        controller.apply_hints([make_note(3, 0)])
        self.assertTrue(ticket.decided.wait(GUARD_S))
        self.assertLess(time.monotonic() - start_s, 0.5)
        self.assertTrue(ticket.decision.is_ok())

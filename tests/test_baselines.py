"""Tests that the baseline schedulers fulfil the scheduler's contract."""

import unittest

from mulberryway import errors
from mulberryway.policy import baselines
from mulberryway.policy import jobs
from tests import policy_cases as cases


class BaselinesTest(unittest.TestCase):
    def make_schedulers(self, **pool):
        for kind in (
            baselines.FirstComeScheduler,
            baselines.RandomOfTwoScheduler,
        ):
            scheduler = kind(seed=1)
            scheduler.change_pools({"lm": cases.make_pool(**pool)}, 0)
            with self.subTest(kind=kind.__name__):
                yield scheduler

    def test_slots_are_released(self):
        for scheduler in self.make_schedulers(decodes=1, slots=2):
            for i in range(3):
                scheduler.submit(cases.make_job(f"j{i}"), 0)
            first = scheduler.dispatch(0)
            self.assertEqual(
                [a.job_id for a in first.assignments], ["j0", "j1"]
            )
            self.assertEqual(first.wake_ms, 1_100)
            scheduler.finish("j0", jobs.JobOutcome.DONE, "", 10)
            second = scheduler.dispatch(10)
            self.assertEqual([a.job_id for a in second.assignments], ["j2"])

    def test_expired_cancelled_and_unknown_jobs(self):
        for scheduler in self.make_schedulers(decodes=0):
            scheduler.submit(cases.make_job("late"), 0)
            scheduler.submit(cases.make_job("gone"), 0)
            self.assertTrue(scheduler.cancel("gone", 1))
            self.assertFalse(scheduler.cancel("gone", 1))
            refusals = scheduler.dispatch(1_100).refusals
            self.assertEqual([r.job_id for r in refusals], ["late"])
            self.assertIs(
                refusals[0].fault.run, errors.ExecutionStatus.NOT_RUN
            )
            other = cases.make_job("x", pool="none")
            self.assertTrue(scheduler.submit(other, 0).is_error())

    def test_draining_upstreams_get_no_jobs(self):
        for scheduler in self.make_schedulers(leaving=("p0", "d1")):
            for i in range(4):
                scheduler.submit(cases.make_job(f"j{i}"), 0)
            self.assertEqual(
                {
                    (a.prefill, a.decode)
                    for a in scheduler.dispatch(0).assignments
                },
                {("p1", "d0")},
            )

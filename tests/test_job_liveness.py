"""Tests of started jobs that nobody ends."""

import unittest

from mulberryway import clock
from mulberryway import metrics
from mulberryway.controllers import scheduling
from mulberryway.policy import job_liveness
from mulberryway.policy import scheduler
from tests import policy_cases as cases

DEADLINE_MS = 10_000


class JobLivenessTest(unittest.TestCase):
    def test_lost_after_its_deadline(self):
        jobs = job_liveness.JobLiveness()
        jobs.begin("j1", clock.Deadline(DEADLINE_MS), 0)
        lost_ms = DEADLINE_MS + job_liveness.LOST_MS
        self.assertEqual(jobs.list_lost(lost_ms - 1), [])
        self.assertEqual(jobs.list_lost(lost_ms), ["j1"])
        self.assertEqual(
            jobs.get_longest_silence_ms(lost_ms), job_liveness.LOST_MS
        )
        self.assertTrue(jobs.end("j1"))
        self.assertFalse(jobs.end("j1"))
        self.assertEqual(jobs.list_lost(lost_ms), [])

    def test_long_stream_is_not_lost(self):
        """Guards against the end of a stream that runs on past its deadline
        and reports its tokens.
        """
        jobs = job_liveness.JobLiveness()
        jobs.begin("j1", clock.Deadline(DEADLINE_MS), 0)
        for now_ms in range(0, 10 * job_liveness.LOST_MS, 1_000):
            jobs.report("j1", now_ms)
            self.assertEqual(jobs.list_lost(now_ms), [])
        self.assertEqual(jobs.get_longest_silence_ms(0), 0)

    def test_slot_of_a_lost_job(self):
        """Guards against slots that a lost job keeps from all later requests
        until the VM restarts.
        """
        clock_ = clock.ManualClock()
        policy = scheduler.FairScheduler("vm0", seed=1)
        pool = cases.make_pool(prefills=1, decodes=1, slots=1)
        policy.change_pools({pool.name: pool}, clock_.now_ms())
        controller = scheduling.SchedulingController(policy, clock_)
        metrics_ = metrics.Metrics("vm0")
        controller.report(metrics_)
        lost = controller.submit(cases.make_job("j1", "a")).ok
        self.assertTrue(lost.decided.is_set())
        clock_.advance_ms(
            lost.job.caller_deadline.left_ms(clock_.now_ms())
            + job_liveness.LOST_MS
        )
        waiting = controller.submit(
            cases.make_job("j2", "b", now_ms=clock_.now_ms())
        ).ok
        self.assertFalse(waiting.decided.is_set())
        with self.assertLogs(scheduling.LOG, "ERROR"):
            controller.step()
        self.assertTrue(waiting.decided.is_set())
        self.assertTrue(waiting.decision.is_ok())
        self.assertEqual(controller.started, 1)

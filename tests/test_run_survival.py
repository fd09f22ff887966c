"""Tests of what a run proves about the parts of its prompt."""

import unittest

from mulberryway.policy import jobs
from mulberryway.policy import part_records
from mulberryway.policy import part_trials
from mulberryway.policy import poison
from mulberryway.policy import run_survival
from mulberryway.policy import scheduler
from tests import policy_cases as cases

State = part_records.PartState
DIED = jobs.JobOutcome.DIED
DONE = jobs.JobOutcome.DONE
CANCELLED = jobs.JobOutcome.CANCELLED
UNREACHED = jobs.JobOutcome.UNREACHED
PART = "part:m/c0"
SHARED = "part:m/aa"
SURVIVAL_MS = run_survival.SURVIVAL_MS


class RunCase(unittest.TestCase):
    """Base class: one router with one decode engine, or more."""

    decodes = 1

    def setUp(self):
        self.now_ms = 50_000
        self.number = 0
        self.router = scheduler.FairScheduler("vm0", seed=5)
        pool = cases.make_pool(prefills=2, decodes=self.decodes, slots=8)
        self.router.change_pools({"lm": pool}, 0)

    def submit(self, *parts, digest="", **values):
        self.number += 1
        job = cases.make_job(
            f"j{self.number}",
            now_ms=self.now_ms,
            within_ms=20_000,
            part_keys=parts,
            digest=digest,
            **values,
        )
        return job.job_id, self.router.submit(job, self.now_ms)

    def start(self, *parts, **values):
        """Start a job; return its id and its decode engine."""
        job_id, result = self.submit(*parts, **values)
        self.assertTrue(result.is_ok(), result)
        for assignment in self.router.dispatch(self.now_ms).assignments:
            if assignment.job_id == job_id:
                self.router.record_prefilled(job_id, self.now_ms)
                return job_id, assignment.decode
        self.fail(f"{job_id} has not started")

    def begin(self, *parts, **values):
        """Start a job whose engine begins to write at once."""
        job_id, decode = self.start(*parts, **values)
        self.router.record_output(job_id, self.now_ms)
        return job_id, decode

    def finish(self, run, outcome):
        job_id, decode = run
        failed = "" if outcome in (DONE, CANCELLED) else decode
        self.router.finish(job_id, outcome, failed, self.now_ms)

    def get_state(self, *parts):
        return self.router.parts.assess(parts, self.now_ms).state

    def check_proof(self, is_proof):
        """Check whether a part is protected from the next crash."""
        upstream = "lm/x"
        self.router.parts.record_crash((PART,), upstream, self.now_ms)
        expected = State.CLEAR if is_proof else State.SUSPECT
        self.assertIs(self.get_state(PART), expected)


class ProofTest(RunCase):
    def test_run_that_goes_on_is_a_proof(self):
        job_id, _ = self.begin(PART)
        self.now_ms += SURVIVAL_MS
        self.router.record_tokens(job_id, 5, self.now_ms)
        self.check_proof(True)

    def test_prompt_that_was_read_is_no_proof(self):
        """Guards against a prefill that is taken for a sound answer."""
        run = self.start(PART)
        self.now_ms += 2 * SURVIVAL_MS
        self.finish(run, CANCELLED)
        self.check_proof(False)

    def test_short_answer_is_no_proof_by_itself(self):
        """Guards against an engine that ends after its answer is whole."""
        run = self.begin(PART)
        self.now_ms += 50
        self.finish(run, DONE)
        self.check_proof(False)

    def test_short_answer_of_an_engine_that_lives_on_is_a_proof(self):
        """Guards against short answers that never prove their parts."""
        run = self.begin(PART)
        self.now_ms += 50
        self.finish(run, DONE)
        self.now_ms += SURVIVAL_MS
        self.begin(SHARED)
        self.check_proof(True)

    def test_cancelled_run_is_no_proof(self):
        """Guards against a caller that left before the engine crashed."""
        run = self.begin(PART)
        self.now_ms += 50
        self.finish(run, CANCELLED)
        self.now_ms += SURVIVAL_MS
        self.begin(SHARED)
        self.check_proof(False)

    def test_old_output_is_a_proof_of_its_time_only(self):
        """Guards against the time of detection as a sign of life."""
        run = self.begin(PART)
        self.router.record_break(run[0], self.now_ms + 80, self.now_ms)
        self.now_ms += SURVIVAL_MS + 200
        self.check_proof(False)


class CrashTest(RunCase):
    decodes = 3

    def test_run_that_had_begun_is_blamed(self):
        run = self.begin(PART, SHARED)
        self.now_ms += 100
        self.finish(run, DIED)
        self.assertIs(self.get_state(PART), State.SUSPECT)

    def test_run_that_had_not_begun_is_blamed(self):
        """Guards against a crash before the first event has arrived."""
        run = self.start(PART)
        self.now_ms += 100
        self.finish(run, DIED)
        self.assertIs(self.get_state(PART), State.SUSPECT)

    def test_long_run_is_not_blamed(self):
        """Guards against blaming all streams beside the crashing one."""
        run = self.begin(SHARED)
        self.now_ms += SURVIVAL_MS + 500
        self.router.record_break(run[0], self.now_ms - 5, self.now_ms)
        self.finish(run, DIED)
        self.assertIs(self.get_state(SHARED), State.CLEAR)

    def test_answer_that_was_whole_before_the_crash_is_blamed(self):
        """Guards against a short answer whose engine ends after it."""
        short = self.begin(PART)
        self.finish(short, DONE)
        self.now_ms += 100
        for _ in range(12):
            beside = self.begin(SHARED)
            if beside[1] == short[1]:
                self.finish(beside, DIED)
                break
        self.assertIs(self.get_state(PART), State.SUSPECT)

    def test_engine_that_cannot_be_reached_has_crashed(self):
        """Guards against a short answer whose idle engine ends unseen."""
        short = self.begin(PART, digest="d")
        self.now_ms += 50
        self.finish(short, DONE)
        self.now_ms += 5_000
        for _ in range(12):
            beside = self.start(SHARED)
            if beside[1] == short[1]:
                self.finish(beside, UNREACHED)
                break
        self.assertIs(self.get_state(PART), State.SUSPECT)
        self.assertIs(self.get_state(SHARED), State.CLEAR)
        self.assertIs(
            self.router.register.get_state("d", self.now_ms),
            poison.QuarantineState.SUSPECT,
        )

    def test_crash_that_another_vm_has_seen(self):
        """Guards against a short answer whose engine ends for others."""
        short = self.begin(PART)
        self.finish(short, DONE)
        other = scheduler.FairScheduler("vm1", seed=6)
        other.parts.report_crash(f"lm/{short[1]}", self.now_ms + 100)
        self.now_ms += 150
        updates = other.parts.drain_updates(self.now_ms)
        self.assertEqual(len(updates), 1)
        self.router.record_crashes(updates, self.now_ms)
        self.assertIs(self.get_state(PART), State.SUSPECT)

    def test_repeat_with_short_answers_is_quarantined(self):
        """Guards against one request that crashes engines after its end."""
        for number in range(2):
            run = self.begin(digest="d")
            self.now_ms += 50
            self.finish(run, DONE)
            self.now_ms += 2_000
            completion = self.router._pool_set.find_completion("lm")
            completion.record_unreached(run[1], self.now_ms)
            self.assertEqual(
                self.router.register.get_state("d", self.now_ms),
                (
                    poison.QuarantineState.SUSPECT,
                    poison.QuarantineState.QUARANTINED,
                )[number],
            )

    def test_crash_counts_from_the_break(self):
        """Guards against a check of the path that makes a crash look late."""
        run = self.begin(SHARED)
        self.now_ms += 100
        self.router.record_break(run[0], self.now_ms, self.now_ms)
        self.now_ms += run_survival.DETECTION_MS + SURVIVAL_MS
        self.finish(run, DIED)
        self.assertIs(self.get_state(SHARED), State.SUSPECT)


class AdmissionTest(RunCase):
    decodes = 3

    def quarantine(self):
        for number in range(2):
            self.now_ms += part_records.SAME_EVENT_MS
            self.router.parts.record_crash(
                (PART,), f"lm/x{number}", self.now_ms
            )

    def test_rejected_at_once_with_the_time_of_the_trial(self):
        """Guards against callers that return each second."""
        self.quarantine()
        _, result = self.submit(PART)
        fault = result.error
        self.assertEqual(fault.code.value, "quarantined")
        self.assertEqual(fault.run.value, "not_run")
        self.assertGreaterEqual(
            fault.retry_after_ms, part_trials.TRIAL_DELAYS_MS[0]
        )
        self.assertEqual(fault.inputs["part"], PART)
        self.assertEqual(fault.inputs["crashed"], "lm/x0 lm/x1")

    def test_waiting_job_is_rejected(self):
        """Guards against a queue that empties onto one engine after another.

        The engines are full, so the job waits.
        """
        for _ in range(24):
            self.begin()
        job_id, result = self.submit(PART)
        self.assertTrue(result.is_ok())
        self.quarantine()
        decided = self.router.dispatch(self.now_ms)
        self.assertEqual([item.job_id for item in decided.refusals], [job_id])

    def test_prefilled_job_is_not_sent_to_a_decode_engine(self):
        """Guards against a decode of a prompt that was read before."""
        job_id, _ = self.start(PART)
        self.assertIsNone(self.router.check_running(job_id, self.now_ms))
        self.quarantine()
        fault = self.router.check_running(job_id, self.now_ms)
        self.assertEqual(fault.code.value, "quarantined")

    def test_trial_may_decode(self):
        """Guards against a trial that stops itself."""
        self.quarantine()
        self.now_ms += 5_000
        job_id, _ = self.start(PART)
        self.assertIsNone(self.router.check_running(job_id, self.now_ms))
        _, result = self.submit(PART)
        self.assertEqual(result.error.code.value, "quarantined")

    def test_suspects_run_on_separate_engines_until_proven(self):
        """Guards against a second suspect on an engine that may crash."""
        self.router.parts.record_crash((PART,), "lm/x", self.now_ms)
        first = self.begin(PART)
        second = self.begin(PART)
        self.assertNotEqual(first[1], second[1])
        self.now_ms += SURVIVAL_MS + 100
        self.router.record_tokens(first[0], 5, self.now_ms)
        self.assertIs(self.get_state(PART), State.CLEAR)
        for _ in range(6):
            self.begin(PART)

    def test_suspect_with_a_short_answer_is_confirmed(self):
        """Guards against a suspect that nothing shows to be sound."""
        self.router.parts.record_crash((PART,), "lm/x", self.now_ms)
        run = self.begin(PART)
        self.finish(run, DONE)
        self.now_ms += SURVIVAL_MS
        self.assertEqual(
            self.router.list_unconfirmed(self.now_ms), [("lm", run[1])]
        )
        self.router.record_alive("lm", run[1], self.now_ms, self.now_ms)
        self.assertIs(self.get_state(PART), State.CLEAR)
        self.assertEqual(self.router.list_unconfirmed(self.now_ms), [])


class TrackerTest(unittest.TestCase):
    def test_bounded(self):
        """Guards against memory that grows with engines that are gone."""
        tracker = run_survival.SurvivalTracker()
        for number in range(2_000):
            for _ in range(3):
                tracker.begin(f"e{number}", None, number)
        runs = sum(
            len(tracker.record_crash(f"e{number}", 2_000, False))
            for number in range(2_000)
        )
        self.assertLessEqual(runs, 3 * run_survival.MAX_UPSTREAMS)

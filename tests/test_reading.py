"""Tests of chunked prefill on decode engines."""

import unittest

from mulberryway.policy import chunked_prefill
from mulberryway.policy import health
from mulberryway.policy import jobs
from mulberryway.policy import retries
from mulberryway.policy import scheduler
from tests import policy_cases as cases

# The traffic of an operator's data sheet: prompts of 3,200 tokens on average
# and up to 6,600.  A decode engine prefills 1,024 tokens in 61 ms and emits an
# event of twelve tokens in 40 to 50 ms.  The target for the gap between events
# is 300 ms, and an engine's memory holds ten streams.
GAP_MS = 300
STEP_MS = 45.0
PREFILL_RATE = 0.030
TOKENS = 42_454
SHORT, USUAL, LONG = 1_500, 3_000, 5_500


class Rig:
    """Routers of several VMs with gossip only on request."""

    def __init__(self, vms=1, prefills=0, decodes=4):
        pool = cases.make_reading_pool(
            prefills,
            decodes,
            kv_bytes_per_token=18_432,
            link_bytes_per_s=18_750_000_000,
            kv_capacity_tokens=TOKENS,
            pause_ms=GAP_MS,
        )
        self.routers = [
            scheduler.FairScheduler(
                f"vm{n}",
                seed=n,
                token_gap_ms=GAP_MS,
                budget=retries.UnlimitedRetryBudget,
                prefill_rate=PREFILL_RATE,
            )
            for n in range(vms)
        ]
        for router in self.routers:
            router.change_pools({pool.name: pool}, 0)
        self.count = 0

    def submit(self, now_ms, prompt=USUAL, vm=0):
        self.count += 1
        job = cases.make_job(
            f"j{self.count}",
            now_ms=now_ms,
            within_ms=1_980,
            prompt_tokens=prompt,
            max_tokens=2_040,
            expected_tokens=840,
            first_token_target_ms=now_ms + 900,
        )
        admitted = self.routers[vm].submit(job, now_ms)
        assert admitted.is_ok(), admitted.error
        return job.job_id

    def start(self, now_ms, vm=0):
        return self.routers[vm].dispatch(now_ms).assignments

    def gossip(self, now_ms, vm=0):
        """Send one VM's gossip message to all others."""
        note = self.routers[vm].drain_hints(now_ms)
        for other in self.routers:
            if note is not None and other is not self.routers[vm]:
                other.apply_hints(note, now_ms)

    def run_streams(self, count, now_ms=0):
        """Start streams one after another and return the time after them."""
        for _ in range(count):
            self.submit(now_ms)
            for one in self.start(now_ms):
                self.routers[0].record_prefilled(one.job_id, now_ms + 215)
            now_ms += 300
        return now_ms


class ChunkedPrefillBudgetTest(unittest.TestCase):
    def test_prefills_within_one_decode_step_add_up(self):
        """An engine gets two chunked prefills within one decode step.  Each
        alone fits; both together delay the next event of every stream of the
        engine to 0.4 s.
        """
        budget = chunked_prefill.ChunkedPrefillBudget()
        budget.note(190.0, GAP_MS, STEP_MS, 8, 1_000)
        self.assertFalse(budget.fits(190.0, GAP_MS, STEP_MS, 1_100))
        self.assertFalse(budget.fits(190.0, GAP_MS, STEP_MS, 1_200))
        self.assertTrue(budget.fits(190.0, GAP_MS, STEP_MS, 1_240))
        # Short prefills may share one gap.
        self.assertTrue(budget.fits(50.0, GAP_MS, STEP_MS, 1_100))

    def test_late_prefill_moves_the_next_one(self):
        """A chunked prefill takes longer than estimated.  Without the shift,
        the next one would begin before the streams have had a decode step.
        """
        budget = chunked_prefill.ChunkedPrefillBudget()
        budget.note(190.0, GAP_MS, STEP_MS, 8, 1_000)
        budget.shift(60.0)
        self.assertFalse(budget.fits(190.0, GAP_MS, STEP_MS, 1_240))
        self.assertTrue(budget.fits(190.0, GAP_MS, STEP_MS, 1_300))

    def test_gap_counts_as_exceeded_while_streams_last(self):
        budget = chunked_prefill.ChunkedPrefillBudget()
        budget.note(190.0, GAP_MS, STEP_MS, 8, 1_000)
        self.assertFalse(budget.is_gap_exceeded(4_000, 1_100))
        budget.note(190.0, GAP_MS, STEP_MS, 8, 1_100)
        self.assertTrue(budget.is_gap_exceeded(4_000, 1_500))
        self.assertFalse(budget.is_gap_exceeded(4_000, 6_000))

    def test_engine_without_streams_exceeds_no_gap(self):
        budget = chunked_prefill.ChunkedPrefillBudget()
        budget.note(500.0, GAP_MS, STEP_MS, 0, 1_000)
        self.assertFalse(budget.is_gap_exceeded(4_000, 1_600))


class LatencyFloorTest(unittest.TestCase):
    def test_waits_for_other_prefills_do_not_count(self):
        """Prompts of several VMs queue at one engine.  If the estimate
        included the wait, no chunked prefill would seem to fit and callers
        would be rejected.
        """
        floor = health.LatencyFloor(0.036)
        for observed in (0.066, 0.21, 0.067, 0.14, 0.066, 0.3, 0.068, 0.12):
            floor.note(observed)
        self.assertLess(floor.value, 0.085)
        self.assertGreater(floor.value, 0.06)

    def test_single_slow_prefill_does_not_count(self):
        """The first prefill of a VM's incarnation hangs.  If it determined the
        estimate, every prompt would seem too long, and the VM would never use
        the engine again.
        """
        floor = health.LatencyFloor(0.036)
        floor.note(0.4)
        self.assertLess(floor.value, 0.05)


class ChunkedPrefillTest(unittest.TestCase):
    def test_burst_without_prefill_engines_spreads(self):
        """The pool has lost its prefill engines, and four prompts arrive at
        once.  On one engine they would delay all its streams.
        """
        rig = Rig()
        now_ms = rig.run_streams(8)
        for _ in range(4):
            rig.submit(now_ms)
        chosen = {one.decode for one in rig.start(now_ms)}
        self.assertEqual(len(chosen), 4)

    def test_no_second_prefill_before_a_decode_step(self):
        rig = Rig(decodes=1)
        now_ms = rig.run_streams(2)
        for _ in range(2):
            rig.submit(now_ms)
        self.assertEqual(len(rig.start(now_ms)), 1)
        self.assertEqual(rig.start(now_ms + 100), [])
        self.assertEqual(len(rig.start(now_ms + 300)), 1)

    def test_prefill_of_another_vm_counts(self):
        """Another VM has announced a chunked prefill on an engine.  A VM that
        counted only its own prefills would add a second one.
        """
        rig = Rig(vms=2, decodes=1)
        now_ms = rig.run_streams(2)
        rig.gossip(now_ms)
        rig.submit(now_ms + 10, vm=1)
        rig.submit(now_ms + 10, vm=0)
        self.assertEqual(len(rig.start(now_ms + 10)), 1)
        rig.gossip(now_ms + 15)
        self.assertEqual(rig.start(now_ms + 20, vm=1), [])
        self.assertEqual(len(rig.start(now_ms + 320, vm=1)), 1)

    def test_prefill_after_an_unanswered_one_is_announced(self):
        """A prefill engine does not respond, and the decode engine with the
        reserved slot prefills the prompt.  A VM that does not learn of it soon
        adds a second prompt, and every stream of the engine waits for both.
        """
        rig = Rig(vms=2, prefills=1, decodes=1)
        rig.submit(0)
        (assignment,) = rig.start(0)
        rig.gossip(10)
        router = rig.routers[0]
        router.record_prefill_failed(assignment.job_id, 400)
        rig.gossip(410)
        budget = (
            rig.routers[1]
            ._pool_set.find_any("lm")
            .members.find("d0")
            .prefill_budget
        )
        self.assertFalse(budget.fits(190.0, GAP_MS, STEP_MS, 420))

    def test_overlong_prompts_use_one_engine(self):
        """Prompts arrive that are too long for chunked prefill, and there is
        no prefill engine.  Spread over all engines, they would delay every
        stream; on one engine, the streams of the others meet their target.
        """
        rig = Rig()
        now_ms = rig.run_streams(8)
        chosen = []
        for _ in range(3):
            rig.submit(now_ms, LONG)
            assignments = rig.start(now_ms)
            chosen += [item.decode for item in assignments]
            now_ms += 500
        self.assertEqual(len(chosen), 3)
        self.assertEqual(len(set(chosen)), 1)
        rig.submit(now_ms, SHORT)
        (short,) = rig.start(now_ms)
        self.assertNotEqual(short.decode, chosen[0])

    def test_no_chunked_prefill_if_a_prefill_engine_meets_the_target(self):
        """A prefill engine has a short queue and would meet every target.
        Chunked prefills would be slightly faster, but delay all streams of the
        decode engines.
        """
        rig = Rig(prefills=1)
        for _ in range(5):
            rig.submit(0)
        self.assertEqual({one.prefill for one in rig.start(0)}, {"p0"})

    def test_chunked_prefill_if_a_prefill_engine_misses_the_target(self):
        rig = Rig(prefills=1)
        for _ in range(16):
            rig.submit(0)
        engines = [one.prefill for one in rig.start(0)]
        self.assertIn("p0", engines)
        self.assertGreater(len(set(engines)), 1)

    def test_prefill_engine_changes_its_role(self):
        """The last prefill engine was ordered to decode and rejects prompts
        for six seconds while the tables still have its old role.  Prompts that
        go there are rejected, although decode engines could prefill them.
        """
        rig = Rig(prefills=1)
        first = rig.submit(0)
        rig.start(0)
        router = rig.routers[0]
        router.finish(first, jobs.JobOutcome.REFUSED_BY_ENGINE, "p0", 5)
        rig.submit(10)
        (assignment,) = rig.start(10)
        self.assertEqual(assignment.prefill, assignment.decode)


class QueueTest(unittest.TestCase):
    def test_one_delay_counts_once_for_a_queue(self):
        """A prefill engine with a queue stalls for 0.3 s, so each of its
        prompts ends 0.3 s late.  If the delay were added for each, the idle
        engine would seem busy for more than a second.
        """
        rig = Rig(prefills=1)
        jobs = [rig.submit(0) for _ in range(4)]
        started = {one.job_id: one for one in rig.start(0)}
        router = rig.routers[0]
        for job_id in jobs:
            end_ms = started[job_id].ready_in_ms + 300
            router.record_prefilled(job_id, end_ms)
        view = router._pool_set.find_any("lm").members.find("p0")
        self.assertLess(view.estimate_prefill_wait_ms(end_ms), 30)


class IdleTest(unittest.TestCase):
    def test_no_engine_scan_with_an_empty_queue(self):
        """Eighty VMs announce each start and end of a stream, and each VM
        receives four hundred such messages per second.  If each led to a scan
        of all engines, a small VM would waste one percent of its core.
        """
        rig = Rig(vms=2, decodes=50)
        rig.submit(0, vm=1)
        rig.start(0, vm=1)
        pool = rig.routers[0]._pool_set.find_any("lm")
        calls = []
        count_free = pool.placer.estimate_free_slots
        pool.placer.estimate_free_slots = lambda now_ms, version=None: (
            calls.append(now_ms) or count_free(now_ms, version)
        )
        rig.gossip(10, vm=1)
        rig.start(10)
        self.assertEqual(calls, [])
        rig.submit(20)
        rig.start(20)
        self.assertTrue(calls)


class CapacityTest(unittest.TestCase):
    def test_free_capacity_counts_memory(self):
        """Each engine has 64 slots and memory for ten streams.  If only slots
        counted, all VMs would see enough free capacity and use the last of the
        memory at the same time.
        """
        rig = Rig(decodes=1)
        rig.run_streams(9)
        pool = rig.routers[0]._pool_set.find_any("lm")
        self.assertLessEqual(pool.placer.estimate_free_slots(3_000), 2)


class TargetTest(unittest.TestCase):
    def test_each_pool_has_its_own_gap_target(self):
        """Two routes have different inter-token gap targets.  With a common
        target, an engine that is fast enough for one would be excluded for
        both, or miss the target of the other.
        """
        rig = Rig()
        pool = rig.routers[0]._pool_set.find_any("lm")
        (view, *_) = pool.members.decodes
        for _ in range(20):
            view.record_step(200.0, 1_000)
        self.assertFalse(pool.placer.slowness.is_slow(view, 1_000))
        view.pause_ms = 150
        self.assertTrue(pool.placer.slowness.is_slow(view, 1_000))

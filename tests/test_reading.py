"""Prompts that decode engines read between the tokens of their streams."""

import unittest

from mulberryway.policy import chunked_prefill
from mulberryway.policy import health
from mulberryway.policy import jobs
from mulberryway.policy import retries
from mulberryway.policy import scheduler
from tests import policy_cases as cases

# The pattern that these answer, by an operator's sheet: prompts of 3,200
# tokens on average, up to 6,600; a decode engine reads 1,024 of them in 61 ms
# and makes an event of twelve tokens in 40 to 50 ms; a pause is on time up to
# 300 ms; an engine's memory holds ten streams.
PAUSE_MS = 300
EVENT_MS = 45.0
PREFILL_RATE = 0.030
TOKENS = 42_454
SHORT, USUAL, LONG = 1_500, 3_000, 5_500


class Rig:
    """Routers of several VMs, which hear of one another at once or never."""

    def __init__(self, vms=1, prefills=0, decodes=4):
        pool = cases.make_reading_pool(
            prefills,
            decodes,
            kv_bytes_per_token=18_432,
            link_bytes_per_s=18_750_000_000,
            kv_capacity_tokens=TOKENS,
            pause_ms=PAUSE_MS,
        )
        self.routers = [
            scheduler.FairScheduler(
                f"vm{n}",
                seed=n,
                token_gap_ms=PAUSE_MS,
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
        taken = self.routers[vm].submit(job, now_ms)
        assert taken.is_ok(), taken.error
        return job.job_id

    def start(self, now_ms, vm=0):
        return self.routers[vm].dispatch(now_ms).assignments

    def tell(self, now_ms, vm=0):
        """Let all others hear what a VM has to tell."""
        note = self.routers[vm].drain_hints(now_ms)
        for other in self.routers:
            if note is not None and other is not self.routers[vm]:
                other.apply_hints(note, now_ms)

    def run_streams(self, count, now_ms=0):
        """Start streams one after another, and return when all have begun."""
        for _ in range(count):
            self.submit(now_ms)
            for one in self.start(now_ms):
                self.routers[0].record_prefilled(one.job_id, now_ms + 215)
            now_ms += 300
        return now_ms


class ReadingBudgetTest(unittest.TestCase):
    def test_reads_within_one_event_add_up(self):
        """Two prompts are read at one engine within the time of one event.
        Each by itself is no harm; both together make every caller of the
        engine wait 0.4 s for the next event.
        """
        budget = chunked_prefill.ChunkedPrefillBudget()
        budget.note(190.0, PAUSE_MS, EVENT_MS, 8, 1_000)
        self.assertFalse(budget.fits(190.0, PAUSE_MS, EVENT_MS, 1_100))
        self.assertFalse(budget.fits(190.0, PAUSE_MS, EVENT_MS, 1_200))
        self.assertTrue(budget.fits(190.0, PAUSE_MS, EVENT_MS, 1_240))
        # Small ones may share an event.
        self.assertTrue(budget.fits(50.0, PAUSE_MS, EVENT_MS, 1_100))

    def test_read_that_is_late_moves_the_rest(self):
        """An engine needs longer for a read than was thought.  The next one
        would begin before its streams have had an event.
        """
        budget = chunked_prefill.ChunkedPrefillBudget()
        budget.note(190.0, PAUSE_MS, EVENT_MS, 8, 1_000)
        budget.shift(60.0)
        self.assertFalse(budget.fits(190.0, PAUSE_MS, EVENT_MS, 1_240))
        self.assertTrue(budget.fits(190.0, PAUSE_MS, EVENT_MS, 1_300))

    def test_streams_that_have_paused_too_long(self):
        budget = chunked_prefill.ChunkedPrefillBudget()
        budget.note(190.0, PAUSE_MS, EVENT_MS, 8, 1_000)
        self.assertFalse(budget.is_gap_exceeded(4_000, 1_100))
        budget.note(190.0, PAUSE_MS, EVENT_MS, 8, 1_100)
        self.assertTrue(budget.is_gap_exceeded(4_000, 1_500))
        self.assertFalse(budget.is_gap_exceeded(4_000, 6_000))

    def test_engine_without_streams_harms_nobody(self):
        budget = chunked_prefill.ChunkedPrefillBudget()
        budget.note(500.0, PAUSE_MS, EVENT_MS, 0, 1_000)
        self.assertFalse(budget.is_gap_exceeded(4_000, 1_600))


class SpeedTest(unittest.TestCase):
    def test_waits_for_others_are_no_part_of_the_speed(self):
        """Several VMs' prompts meet at one engine.  Whoever takes the wait
        for the speed believes that no read fits, and refuses callers.
        """
        speed = health.LatencyFloor(0.036)
        for observed in (0.066, 0.21, 0.067, 0.14, 0.066, 0.3, 0.068, 0.12):
            speed.note(observed)
        self.assertLess(speed.value, 0.085)
        self.assertGreater(speed.value, 0.06)

    def test_one_read_that_got_stuck(self):
        """The first read of a VM's life hangs.  Taken for the engine's speed
        it would make every prompt look too long, and the VM would never ask
        the engine again.
        """
        speed = health.LatencyFloor(0.036)
        speed.note(0.4)
        self.assertLess(speed.value, 0.05)


class BesideStreamsTest(unittest.TestCase):
    def test_burst_without_prefill_engines_spreads(self):
        """The pool has lost its prefill engines, and four prompts come at
        once.  At one engine they would make all its streams wait.
        """
        rig = Rig()
        now_ms = rig.run_streams(8)
        for _ in range(4):
            rig.submit(now_ms)
        chosen = {one.decode for one in rig.start(now_ms)}
        self.assertEqual(len(chosen), 4)

    def test_no_second_read_before_an_event(self):
        rig = Rig(decodes=1)
        now_ms = rig.run_streams(2)
        for _ in range(2):
            rig.submit(now_ms)
        self.assertEqual(len(rig.start(now_ms)), 1)
        self.assertEqual(rig.start(now_ms + 100), [])
        self.assertEqual(len(rig.start(now_ms + 300)), 1)

    def test_read_that_another_vm_began(self):
        """Another VM's prompt is being read by an engine, and its note says
        so.  A VM that counted its own reads only would add a second one.
        """
        rig = Rig(vms=2, decodes=1)
        now_ms = rig.run_streams(2)
        rig.tell(now_ms)
        rig.submit(now_ms + 10, vm=1)
        rig.submit(now_ms + 10, vm=0)
        self.assertEqual(len(rig.start(now_ms + 10)), 1)
        rig.tell(now_ms + 15)
        self.assertEqual(rig.start(now_ms + 20, vm=1), [])
        self.assertEqual(len(rig.start(now_ms + 320, vm=1)), 1)

    def test_read_after_a_prefill_without_an_answer(self):
        """A prefill has no answer, and the decode engine that holds the slot
        reads the prompt.  A VM that hears of it late adds a second prompt,
        and every caller of that engine waits for both.
        """
        rig = Rig(vms=2, prefills=1, decodes=1)
        rig.submit(0)
        (one,) = rig.start(0)
        rig.tell(10)
        router = rig.routers[0]
        router.record_prefill_failed(one.job_id, 400)
        rig.tell(410)
        reads = (
            rig.routers[1]
            ._pool_set.find_any("lm")
            .members.find("d0")
            .prefill_budget
        )
        self.assertFalse(reads.fits(190.0, PAUSE_MS, EVENT_MS, 420))

    def test_long_prompts_keep_to_one_engine(self):
        """Prompts come that are too long to read beside any stream, and no
        prefill engine is there.  Spread over all engines they make every
        caller wait; at one engine the callers of the others are on time.
        """
        rig = Rig()
        now_ms = rig.run_streams(8)
        chosen = []
        for _ in range(3):
            rig.submit(now_ms, LONG)
            found = rig.start(now_ms)
            chosen += [one.decode for one in found]
            now_ms += 500
        self.assertEqual(len(chosen), 3)
        self.assertEqual(len(set(chosen)), 1)
        rig.submit(now_ms, SHORT)
        (short,) = rig.start(now_ms)
        self.assertNotEqual(short.decode, chosen[0])

    def test_prompt_that_is_on_time_elsewhere_is_not_read_beside(self):
        """A prefill engine's queue is a few prompts long, and they would all
        still be on time.  Read beside streams they would come a little sooner
        and make every one of these pause.
        """
        rig = Rig(prefills=1)
        for _ in range(5):
            rig.submit(0)
        self.assertEqual({one.prefill for one in rig.start(0)}, {"p0"})

    def test_prompt_that_would_be_late_is_read_beside(self):
        rig = Rig(prefills=1)
        for _ in range(16):
            rig.submit(0)
        readers = [one.prefill for one in rig.start(0)]
        self.assertIn("p0", readers)
        self.assertGreater(len(set(readers)), 1)

    def test_prefill_engine_that_changes_its_role(self):
        """The last prefill engine was told to decode and refuses prompts for
        six seconds while the tables still say that it reads.  Prompts that
        go there are refused; decode engines can read them.
        """
        rig = Rig(prefills=1)
        first = rig.submit(0)
        rig.start(0)
        router = rig.routers[0]
        router.finish(first, jobs.JobOutcome.REFUSED_BY_ENGINE, "p0", 5)
        rig.submit(10)
        (one,) = rig.start(10)
        self.assertEqual(one.prefill, one.decode)


class QueueTest(unittest.TestCase):
    def test_one_delay_counts_once_for_a_queue(self):
        """A prefill engine has a queue of prompts and stands still for 0.3 s.
        All of them end later by that.  Were the delay counted for each, the
        engine would seem to be busy for more than a second when it is idle.
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
    def test_no_look_at_engines_while_nothing_waits(self):
        """A fleet of eighty VMs tells of each stream that begins or ends, and
        each VM hears four hundred such notes a second.  Were all engines
        looked at for each, a small VM would spend a hundredth of its core for
        nothing.
        """
        rig = Rig(vms=2, decodes=50)
        rig.submit(0, vm=1)
        rig.start(0, vm=1)
        pool = rig.routers[0]._pool_set.find_any("lm")
        looks = []
        count_free = pool.placer.estimate_free_slots
        pool.placer.estimate_free_slots = lambda now_ms: (
            looks.append(now_ms) or count_free(now_ms)
        )
        rig.tell(10, vm=1)
        rig.start(10)
        self.assertEqual(looks, [])
        rig.submit(20)
        rig.start(20)
        self.assertTrue(looks)


class RoomTest(unittest.TestCase):
    def test_room_counts_by_memory(self):
        """Each engine has 64 slots and memory for ten streams.  Where slots
        are counted, all VMs think that there is room for everybody and take
        the last place at the same moment.
        """
        rig = Rig(decodes=1)
        rig.run_streams(9)
        pool = rig.routers[0]._pool_set.find_any("lm")
        self.assertLessEqual(pool.placer.estimate_free_slots(3_000), 2)


class TargetTest(unittest.TestCase):
    def test_each_pool_has_its_routes_target_for_pauses(self):
        """Two customers' routes differ in how long a pause may be.  An engine
        that is good enough for one would be passed over for both, or keep
        every caller of the other waiting.
        """
        rig = Rig()
        pool = rig.routers[0]._pool_set.find_any("lm")
        (view, *_) = pool.members.decodes
        for _ in range(20):
            view.record_step(200.0, 1_000)
        self.assertFalse(pool.placer.slowness.is_slow(view, 1_000))
        view.pause_ms = 150
        self.assertTrue(pool.placer.slowness.is_slow(view, 1_000))

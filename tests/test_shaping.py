"""Pools of long answers: shape, room in memory, and who reads prompts."""

import unittest

from mulberryway.policy import jobs
from mulberryway.policy import retries
from mulberryway.policy import role_planner
from mulberryway.policy import scheduler
from tests import policy_cases as cases

# The pattern that these answer, by the operators' sheets: prompts of 5,000
# tokens that a prefill engine reads in 90 ms and a decode engine in 180,
# answers of about 5,000 tokens that last for 4 s, engines that hold 96,693.
PROMPT = 5_000
ANSWER = 5_180
TOKENS = 96_693
GAP_MS = 300
RATE = 0.018


def make_pool(prefills=2, decodes=4, self_reading=True, leaving=()):
    return cases.make_reading_pool(
        prefills,
        decodes,
        leaving=leaving,
        kv_bytes_per_token=163_840,
        link_bytes_per_s=675_000_000_000,
        kv_capacity_tokens=TOKENS,
        self_reading=self_reading,
        pause_ms=GAP_MS,
    )


class Rig:
    """One router's scheduler, with jobs of the pattern's size."""

    def __init__(self, vm="vm1", **pool):
        self.scheduler = scheduler.FairScheduler(
            vm,
            seed=3,
            token_gap_ms=GAP_MS,
            budget=retries.UnlimitedRetryBudget,
            prefill_rate=RATE,
        )
        self.scheduler.change_pools({"lm": make_pool(**pool)}, 0)
        self.count = 0

    def submit(self, now_ms, prompt=PROMPT, target_ms=900):
        self.count += 1
        job = cases.make_job(
            f"j{self.count}",
            now_ms=now_ms,
            within_ms=1_980,
            prompt_tokens=prompt,
            max_tokens=9_620,
            expected_tokens=ANSWER,
            first_token_target_ms=now_ms + target_ms,
        )
        return self.scheduler.submit(job, now_ms)

    def start(self, now_ms):
        return self.scheduler.dispatch(now_ms).assignments


class RoomTest(unittest.TestCase):
    def test_burst_starts_only_what_memory_holds(self):
        """A burst brings forty streams at once.  Each engine has 64 slots
        and memory for ten such streams; were all started, most would be
        refused by the engines after their prompt had been read.
        """
        rig = Rig(decodes=2)
        for _ in range(40):
            rig.submit(0)
        started = rig.start(0)
        self.assertGreaterEqual(len(started), 16)
        self.assertLessEqual(len(started), 20)
        for name in ("d0", "d1"):
            self.assertLessEqual(
                sum(one.decode == name for one in started), 10
            )

    def test_other_routers_work_counts(self):
        """Another router has filled an engine, and told so.  A router that
        counted only its own streams would send more there.
        """
        one, other = Rig("vm1", decodes=1), Rig("vm2", decodes=1)
        for _ in range(20):
            one.submit(0)
        started = one.start(0)
        other.scheduler.apply_hints(one.scheduler.drain_hints(1), 2)
        for _ in range(20):
            other.submit(3)
        self.assertEqual(len(started) + len(other.start(3)), len(started))

    def test_what_can_be_on_time_goes_first(self):
        """Streams wait in a burst until their first event would be late.
        Served by age, every later one would be late as well.
        """
        rig = Rig(prefills=1, decodes=1)
        for _ in range(12):
            rig.submit(0)
        running = rig.start(0)
        rig.submit(0)
        rig.submit(1_000)
        for one in running:
            rig.scheduler.finish(one.job_id, jobs.JobOutcome.DONE, "", 1_100)
        first = rig.start(1_100)
        self.assertEqual(first[0].job_id, f"j{rig.count}")


class SelfReadingTest(unittest.TestCase):
    def test_prefill_engines_read_in_quiet_times(self):
        rig = Rig()
        rig.submit(0)
        (one,) = rig.start(0)
        self.assertNotEqual(one.prefill, one.decode)

    def test_without_prefill_engines_decode_engines_read(self):
        """Every prefill engine is down.  Without this all streams would be
        refused, though decode engines can serve them whole.
        """
        rig = Rig(prefills=0)
        rig.submit(0)
        (one,) = rig.start(0)
        self.assertEqual(one.prefill, one.decode)

    def test_one_prompt_at_a_time_beside_streams(self):
        """A burst of prompts meets decode engines that run streams.  Two
        prompts read in a row would make all of their pauses too long.
        """
        rig = Rig(prefills=0, decodes=1)
        rig.submit(0)
        self.assertEqual(len(rig.start(0)), 1)
        rig.submit(1)
        self.assertEqual(len(rig.start(1)), 0)
        later = rig.start(1 + 200 + GAP_MS)
        self.assertEqual(len(later), 1)

    def test_long_prompt_waits_for_a_prefill_engine(self):
        rig = Rig(prefills=1, decodes=1)
        rig.submit(0)
        rig.start(0)
        rig.submit(400, prompt=11_000)
        (one,) = rig.start(400)
        self.assertEqual(one.prefill, "p0")

    def test_pool_that_does_not_read_itself_refuses(self):
        rig = Rig(prefills=0, self_reading=False)
        self.assertTrue(rig.submit(0).is_error())


class ShapeTest(unittest.TestCase):
    def plan(self, planner, now_ms=0, **pool):
        return planner.plan({"lm": make_pool(**pool)}, {}, now_ms)

    def test_surplus_prefill_engines_become_decode_engines(self):
        found = self.plan(role_planner.RolePlanner(), prefills=4, decodes=3)
        self.assertEqual([one.row.name for one in found], ["p0", "p1"])
        self.assertEqual({one.argument for one in found}, {"decode"})

    def test_pool_in_shape_needs_nothing(self):
        planner = role_planner.RolePlanner()
        self.assertEqual(self.plan(planner, prefills=2, decodes=4), [])
        self.assertEqual(self.plan(planner, prefills=0, decodes=4), [])

    def test_small_pool_stays_as_it_is(self):
        planner = role_planner.RolePlanner()
        self.assertEqual(self.plan(planner, prefills=2, decodes=0), [])

    def test_order_is_not_repeated_while_it_may_be_under_way(self):
        """An order got no answer, and may be carried out twelve seconds
        later.  Repeated, it would empty another engine as well.
        """
        planner = role_planner.RolePlanner()
        for order in self.plan(planner, prefills=4, decodes=3):
            planner.record_failed(order, 0)
        self.assertEqual(self.plan(planner, 12_000, prefills=4, decodes=3), [])
        again = self.plan(planner, 20_000, prefills=4, decodes=3)
        self.assertEqual(len(again), 2)

    def test_leaving_engines_do_not_count(self):
        found = self.plan(
            role_planner.RolePlanner(),
            prefills=3,
            decodes=3,
            leaving=("p0", "p1"),
        )
        self.assertEqual(found, [])

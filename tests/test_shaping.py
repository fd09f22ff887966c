"""Tests of pools with long responses: roles, KV capacity and prefill."""

import unittest

from mulberryway.policy import jobs
from mulberryway.policy import retries
from mulberryway.policy import role_planner
from mulberryway.policy import scheduler
from tests import policy_cases as cases

# The traffic of the operators' data sheets: prompts of 5,000 tokens that take
# 90 ms on a prefill engine and 180 ms on a decode engine, responses of about
# 5,000 tokens that last for 4 s, engines with memory for 96,693 tokens.
PROMPT = 5_000
RESPONSE = 5_180
TOKENS = 96_693
GAP_MS = 300
RATE = 0.018


def make_pool(
    prefills=2, decodes=4, has_chunked_prefill=True, leaving=(), cordoned=()
):
    return cases.make_reading_pool(
        prefills,
        decodes,
        leaving=leaving,
        cordoned=cordoned,
        kv_bytes_per_token=163_840,
        link_bytes_per_s=675_000_000_000,
        kv_capacity_tokens=TOKENS,
        has_chunked_prefill=has_chunked_prefill,
        pause_ms=GAP_MS,
    )


class Rig:
    """One router's scheduler with jobs of the traffic above."""

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
            expected_tokens=RESPONSE,
            first_token_target_ms=now_ms + target_ms,
        )
        return self.scheduler.submit(job, now_ms)

    def start(self, now_ms):
        return self.scheduler.dispatch(now_ms).assignments


class CapacityTest(unittest.TestCase):
    def test_burst_starts_only_what_fits_into_memory(self):
        """A burst of forty streams arrives.  Each engine has 64 slots and
        memory for ten such streams.  If all were started, the engines would
        reject most of them after their prefill.
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

    def test_load_of_other_routers_counts(self):
        """Another router has filled an engine and announced its load.  A
        router that counted only its own streams would send more there.
        """
        sender, receiver = Rig("vm1", decodes=1), Rig("vm2", decodes=1)
        for _ in range(20):
            sender.submit(0)
        started = sender.start(0)
        receiver.scheduler.apply_hints(sender.scheduler.drain_hints(1), 2)
        for _ in range(20):
            receiver.submit(3)
        self.assertEqual(len(started) + len(receiver.start(3)), len(started))

    def test_jobs_that_can_meet_their_target_go_first(self):
        """In a burst, jobs wait until they miss their first token target.
        In order of age, every later job would miss its target as well.
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


class ChunkedPrefillTest(unittest.TestCase):
    def test_prefill_engine_is_used_under_light_load(self):
        rig = Rig()
        rig.submit(0)
        (one,) = rig.start(0)
        self.assertNotEqual(one.prefill, one.decode)

    def test_decode_engines_prefill_without_prefill_engines(self):
        """Every prefill engine is down.  Without chunked prefill, all streams
        would be rejected, although decode engines can serve them alone.
        """
        rig = Rig(prefills=0)
        rig.submit(0)
        (one,) = rig.start(0)
        self.assertEqual(one.prefill, one.decode)

    def test_one_chunked_prefill_at_a_time(self):
        """A burst of prompts arrives at decode engines that run streams.  Two
        consecutive prefills would exceed the inter-token gap of all streams.
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

    def test_pool_without_chunked_prefill_rejects(self):
        rig = Rig(prefills=0, has_chunked_prefill=False)
        self.assertTrue(rig.submit(0).is_error())


class RolePlannerTest(unittest.TestCase):
    def plan(self, planner, now_ms=0, **pool):
        return planner.plan({"lm": make_pool(**pool)}, {}, now_ms)

    def test_surplus_prefill_engines_become_decode_engines(self):
        orders = self.plan(role_planner.RolePlanner(), prefills=4, decodes=3)
        self.assertEqual([item.row.name for item in orders], ["p0", "p1"])
        self.assertEqual({item.argument for item in orders}, {"decode"})

    def test_balanced_pool_needs_no_orders(self):
        planner = role_planner.RolePlanner()
        self.assertEqual(self.plan(planner, prefills=2, decodes=4), [])
        self.assertEqual(self.plan(planner, prefills=0, decodes=4), [])

    def test_small_pool_keeps_its_roles(self):
        planner = role_planner.RolePlanner()
        self.assertEqual(self.plan(planner, prefills=2, decodes=0), [])

    def test_order_is_not_retried_while_it_may_be_executed(self):
        """An order got no response, and may be executed up to twelve seconds
        later.  A new order before that would drain another engine as well.
        """
        planner = role_planner.RolePlanner()
        for order in self.plan(planner, prefills=4, decodes=3):
            planner.record_failed(order, 0)
        self.assertEqual(self.plan(planner, 12_000, prefills=4, decodes=3), [])
        again = self.plan(planner, 20_000, prefills=4, decodes=3)
        self.assertEqual(len(again), 2)

    def test_draining_engines_do_not_count(self):
        found = self.plan(
            role_planner.RolePlanner(),
            prefills=3,
            decodes=3,
            leaving=("p0", "p1"),
        )
        self.assertEqual(found, [])

    def test_evacuated_zone_changes_no_roles(self):
        """Guards against an engine that serves nobody for seconds, because it
        changes its role while a zone is evacuated for a moment.
        """
        found = self.plan(
            role_planner.RolePlanner(),
            prefills=4,
            decodes=10,
            cordoned=("d0", "d1", "d2", "d3", "d4", "d5"),
        )
        self.assertEqual(found, [])

    def test_no_order_to_an_evacuated_zone(self):
        found = self.plan(
            role_planner.RolePlanner(),
            prefills=4,
            decodes=3,
            cordoned=("p0", "p1"),
        )
        self.assertEqual([item.row.name for item in found], ["p2", "p3"])

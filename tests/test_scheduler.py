"""Tests of the scheduler's single decisions."""

import unittest

from mulberryway import errors
from mulberryway import tables
from mulberryway.policy import fair_queue
from mulberryway.policy import jobs
from mulberryway.policy import retries
from mulberryway.policy import scheduler
from mulberryway.upstreams import base as upstreams
from tests import policy_cases as cases

End = jobs.JobOutcome


class SchedulerCase(unittest.TestCase):
    def make(self, vm="vm1", **pool):
        made = scheduler.FairScheduler(vm, seed=2)
        made.change_pools({"lm": cases.make_pool(**pool)}, 0)
        return made

    def submit(self, router, job_id, now_ms=0, **values):
        job = cases.make_job(job_id, now_ms=now_ms, **values)
        return router.submit(job, now_ms)

    def start(self, router, now_ms=0):
        assignments = router.dispatch(now_ms).assignments
        return {item.job_id: item for item in assignments}


class AdmissionTest(SchedulerCase):
    def test_infeasible_prompt_is_rejected_immediately(self):
        """A prompt takes four seconds to prefill and has a deadline of one.
        If started anyway, it would block every short prompt behind it and
        still miss its deadline.
        """
        router = self.make()
        fault = self.submit(router, "j", prompt_tokens=40_000).error
        self.assertIs(fault.code, errors.Code.DEADLINE_EXCEEDED)
        self.assertIs(fault.run, errors.ExecutionStatus.NOT_RUN)
        self.assertIsNone(fault.retry_after_ms)

    def test_waiting_job_is_rejected_before_its_deadline(self):
        """All slots are taken beyond a job's deadline.  A rejection at the
        deadline would leave the caller no time to try another VM.
        """
        router = self.make(decodes=1, slots=20)
        for n in range(20):
            self.submit(router, f"runs{n}", prompt_tokens=60)
        self.assertEqual(len(self.start(router)), 20)
        self.assertTrue(self.submit(router, "waits", 10).is_ok())
        wake_ms = router.dispatch(20).wake_ms
        while not (result := router.dispatch(wake_ms)).refusals:
            wake_ms = result.wake_ms
        self.assertLess(wake_ms, 1_110)
        fault = result.refusals[0].fault
        self.assertIs(fault.run, errors.ExecutionStatus.NOT_RUN)
        self.assertGreater(fault.retry_after_ms, 0)

    def test_long_queue_rejects_early(self):
        router = self.make(decodes=1, slots=1)
        self.submit(router, "runs")
        self.start(router)
        results = [
            self.submit(router, f"j{n}", 10, within_ms=9_000) for n in range(9)
        ]
        rejected = [item.error for item in results if item.is_error()]
        self.assertTrue(rejected)
        self.assertTrue(results[0].is_ok())
        self.assertGreater(rejected[-1].retry_after_ms, 500)

    def test_no_decode_upstream(self):
        router = self.make(decodes=0)
        fault = self.submit(router, "j").error
        self.assertIs(fault.code, errors.Code.NO_UPSTREAM)

    def test_retries_are_limited(self):
        """Every engine rejects requests for a while, and each rejected request
        is retried.  Without a limit the retries alone keep the engines full.
        """
        router = self.make()
        admitted = sum(
            self.submit(router, f"j{n}", attempt=1, within_ms=60_000).is_ok()
            for n in range(200)
        )
        self.assertLessEqual(admitted, retries.MAX_BALANCE)


class PlacementTest(SchedulerCase):
    def test_slot_is_reserved_before_the_prefill(self):
        router = self.make(decodes=2, slots=2)
        for n in range(6):
            self.submit(router, f"j{n}", prompt_tokens=100, within_ms=30_000)
        started = self.start(router)
        decodes = [item.decode for item in started.values()]
        self.assertEqual(sorted(decodes), ["d0", "d0", "d1", "d1"])
        router.finish("j0", End.CANCELLED, "", 5)
        self.assertEqual(len(self.start(router, 5)), 1)

    def test_one_prefill_upstream_is_kept_for_short_prompts(self):
        """Several prompts of eight thousand tokens arrive at once.  If each
        prefill upstream got one, every short prompt would wait behind them
        and miss its first token target.
        """
        router = self.make(decodes=2, slots=8)
        for n in range(4):
            self.submit(router, f"long{n}", prompt_tokens=8_000)
        started = self.start(router)
        used = {item.prefill for item in started.values()}
        self.assertEqual(len(used), 1)
        self.assertTrue(all(item.priority for item in started.values()))
        self.submit(router, "short", 5, prompt_tokens=100)
        self.assertNotIn(self.start(router, 5)["short"].prefill, used)

    def test_rejecting_prefill_engine_is_in_backoff(self):
        """A prefill engine changes its role or sheds load.  It is idle and so
        looked best: every prompt went there and every caller was rejected,
        although the other engine had free capacity.
        """
        router = self.make(prefills=2, decodes=2, slots=8)
        self.submit(router, "j0", prompt_tokens=60)
        rejecting = self.start(router)["j0"].prefill
        router.finish("j0", End.REFUSED_BY_ENGINE, rejecting, 2)
        for n in range(1, 7):
            self.submit(router, f"j{n}", 2 + n, prompt_tokens=60)
            assignment = self.start(router, 2 + n)[f"j{n}"]
            self.assertNotEqual(assignment.prefill, rejecting)
            router.record_prefilled(f"j{n}", 2 + n)

    def test_backoff_grows_while_a_prefill_engine_rejects(self):
        """An engine's entry still has the prefill role although it became a
        decode engine.  With a constant backoff, one caller would be rejected
        there every quarter of a second while the entry is wrong.
        """
        router = self.make(prefills=2, decodes=2, slots=8)
        rejected, now_ms = 0, 0
        for n in range(400):
            now_ms += 10
            self.submit(router, f"j{n}", now_ms, prompt_tokens=60)
            assignment = self.start(router, now_ms)[f"j{n}"]
            if assignment.prefill == "p0":
                rejected += 1
                outcome, at_fault = End.REFUSED_BY_ENGINE, "p0"
            else:
                router.record_prefilled(f"j{n}", now_ms)
                outcome, at_fault = End.DONE, ""
            router.finish(f"j{n}", outcome, at_fault, now_ms)
        self.assertLessEqual(rejected, 5)

    def test_unanswered_prefill_is_removed_from_the_queue(self):
        """A prefill engine is unresponsive, and decode engines prefill the
        prompts instead.  Its estimated queue must not grow forever, and three
        consecutive failures must eject it.
        """
        router = self.make(prefills=2, decodes=2, slots=8)
        for n in range(8):
            self.submit(router, f"j{n}", 10 * n, prompt_tokens=60)
            assignment = self.start(router, 10 * n)[f"j{n}"]
            if assignment.prefill == "p0":
                router.record_prefill_failed(f"j{n}", 10 * n + 5)
            else:
                router.record_prefilled(f"j{n}", 10 * n + 5)
            router.finish(f"j{n}", End.DONE, "", 10 * n + 8)
        view = router._pools["lm"].members.find("p0")
        self.assertEqual(view.own_prefills, 0)
        self.assertTrue(view.health.is_ejected(100))

    def test_prefix_hits_attract_a_prompt(self):
        router = self.make(prefills=3)
        hashes = tuple(f"h{n}" for n in range(6))
        event = upstreams.CacheEvent(1, hashes, ())
        router.record_cache_events("lm", "p2", [event], 0)
        self.submit(router, "j", prompt_tokens=6 * 1_024, prefix_hashes=hashes)
        self.assertEqual(self.start(router)["j"].prefill, "p2")

    def test_report_counts_only_unattributed_load(self):
        router = self.make(decodes=2, slots=4)
        router.record_load("lm", "d0", cases.make_load(running=4), 0)
        for n in range(6):
            self.submit(router, f"j{n}", prompt_tokens=100, within_ms=30_000)
        started = self.start(router)
        self.assertEqual({item.decode for item in started.values()}, {"d1"})
        # The next report shows this router's own four streams, which are not
        # unattributed load.
        router.record_load("lm", "d1", cases.make_load(running=4), 300)
        router.finish(next(iter(started)), End.DONE, "", 310)
        self.assertEqual(len(self.start(router, 310)), 1)

    def test_full_decode_engine_is_in_backoff(self):
        router = self.make(decodes=2, slots=4)
        self.submit(router, "j0")
        full = self.start(router)["j0"].decode
        router.finish("j0", End.REFUSED_BY_ENGINE, full, 5)
        for n in range(1, 4):
            self.submit(router, f"j{n}", 10)
        started = self.start(router, 10)
        self.assertNotIn(full, {item.decode for item in started.values()})

    def test_rejected_decode_is_reassigned(self):
        router = self.make(decodes=2, slots=1)
        self.submit(router, "j")
        first = self.start(router)["j"].decode
        second = router.reassign_decode("j", first, 100)
        self.assertNotIn(second, (None, first))
        self.assertIsNone(router.reassign_decode("j", second, 110))
        router.finish("j", End.DONE, "", 500)
        views = router._pools["lm"].members.list_all()
        self.assertEqual([view.own_decodes for view in views], [0] * 4)

    def test_failing_upstream_is_ejected_and_probed(self):
        """An engine closes each connection and so always looks idle.  It
        would attract and fail all new requests.  After the ejection it must
        get requests again, beginning with a single probe.
        """
        router = self.make(decodes=2, slots=8)
        self.submit(router, "j")
        bad = self.start(router)["j"].decode
        router.finish("j", End.DIED, bad, 10)
        for n in range(3):
            self.submit(router, f"a{n}", 20)
        used = {item.decode for item in self.start(router, 20).values()}
        self.assertNotIn(bad, used)
        for n in range(6):
            self.submit(router, f"b{n}", 2_000)
        used = [item.decode for item in self.start(router, 2_000).values()]
        self.assertEqual(used.count(bad), 1)


class PoolChangeTest(SchedulerCase):
    def test_draining_upstream_gets_no_jobs(self):
        """Operators drain an engine while requests wait.  A request that is
        sent there after the change is aborted when the engine stops.
        """
        router = self.make(decodes=2, slots=8)
        for n in range(4):
            self.submit(router, f"j{n}")
        before = self.start(router)
        self.submit(router, "late", 10)
        leaving = cases.make_pool(decodes=2, slots=8, leaving=("d0", "p1"))
        router.change_pools({"lm": leaving}, 10)
        assignment = self.start(router, 10)["late"]
        self.assertEqual((assignment.prefill, assignment.decode), ("p0", "d1"))
        for job_id in before:
            router.finish(job_id, End.DONE, "", 20)

    def test_counts_are_retained_while_a_row_is_removed(self):
        router = self.make(decodes=1, slots=2)
        self.submit(router, "j")
        self.start(router)
        router.change_pools({"lm": cases.make_pool(decodes=0)}, 10)
        router.change_pools({"lm": cases.make_pool(decodes=1, slots=2)}, 20)
        for n in range(3):
            self.submit(router, f"k{n}", 30)
        self.assertEqual(len(self.start(router, 30)), 1)

    def test_changed_role_takes_effect(self):
        router = self.make(prefills=2, decodes=1)
        pool = cases.make_pool(prefills=2, decodes=1)
        rows = [
            tables.Upstream(
                row.name,
                row.address,
                row.zone,
                cases.ROLES.DECODE if row.name == "p1" else row.role,
            )
            for row in pool.upstreams
        ]
        changed = tables.Pool("lm", pool.kind, tuple(rows), slots=4)
        router.change_pools({"lm": changed}, 10)
        for n in range(8):
            self.submit(router, f"j{n}", 20, prompt_tokens=100)
        started = self.start(router, 20).values()
        self.assertEqual({item.prefill for item in started}, {"p0"})
        self.assertEqual({item.decode for item in started}, {"p1", "d0"})

    def test_jobs_of_a_removed_pool_are_rejected(self):
        router = self.make(decodes=1, slots=1)
        self.submit(router, "a")
        self.start(router)
        self.submit(router, "b", 5, within_ms=30_000)
        router.change_pools({}, 10)
        refusals = router.dispatch(10).refusals
        self.assertEqual([item.job_id for item in refusals], ["b"])
        router.finish("a", End.DONE, "", 20)


class KvReservationTest(unittest.TestCase):
    def start(self, engine_tokens):
        router = scheduler.FairScheduler("vm1", seed=2)
        pool = cases.make_reading_pool(1, 2, kv_capacity_tokens=engine_tokens)
        router.change_pools({"lm": pool}, 0)
        job = cases.make_job("j", prompt_tokens=500, max_tokens=100)
        self.assertTrue(router.submit(job, 0).is_ok())
        return router.dispatch(0).assignments[0]

    def test_prompt_is_reserved_where_few_streams_fit(self):
        """Guards against wasted prefills for engines that peers have filled
        since their last gossip message.
        """
        self.assertEqual(self.start(1_500).kv_tokens, 500)
        self.assertEqual(self.start(90_000).kv_tokens, 0)


class PeersTest(SchedulerCase):
    def exchange(self, sender, receiver, now_ms):
        note = sender.drain_hints(now_ms)
        if note is not None:
            receiver.apply_hints(note, now_ms)
        return note

    def test_slots_of_a_peer_count_until_its_timeout(self):
        """A router crashes while it holds all slots.  If its load counted
        forever, the engines would always look full to the others.
        """
        one = self.make("vm1", decodes=1, slots=2)
        two = self.make("vm2", decodes=1, slots=2)
        for n in range(2):
            self.submit(one, f"a{n}")
        self.start(one)
        self.exchange(one, two, 1)
        self.submit(two, "b", 5)
        self.assertEqual(self.start(two, 5), {})
        two.cancel("b", 6)
        self.submit(two, "c", 4_000)
        self.assertEqual(list(self.start(two, 4_000)), ["c"])

    def test_free_slot_is_yielded_to_the_account_with_less_service(self):
        """A small account's callers all use one VM and a large account's
        another.  If the large account's VM took each slot that becomes free
        there, the small account would never get any.
        """
        large = self.make("vm1", decodes=1, slots=1)
        small = self.make("vm2", decodes=1, slots=1)
        for n in range(30):
            self.submit(large, f"l{n}", 0, account="large")
            for job_id in self.start(large, n):
                large.finish(job_id, End.DONE, "", n)
        self.submit(large, "runs", 40, account="large")
        self.assertEqual(list(self.start(large, 40)), ["runs"])
        self.exchange(large, small, 45)
        waits = {"now_ms": 50, "within_ms": 30_000}
        self.submit(small, "s", account="small", **waits)
        self.submit(large, "l", account="large", **waits)
        self.assertEqual(self.start(small, 50), {})
        self.exchange(small, large, 52)
        large.finish("runs", End.DONE, "", 60)
        self.assertEqual(self.start(large, 60), {})
        self.exchange(large, small, 62)
        self.assertEqual(list(self.start(small, 62)), ["s"])

    def test_unclaimed_slot_is_used(self):
        one = self.make("vm1", decodes=1, slots=1)
        two = self.make("vm2", decodes=1, slots=1)
        self.submit(one, "runs", account="big")
        self.start(one)
        self.exchange(one, two, 10)
        self.submit(two, "w", 20, account="small", within_ms=30_000)
        self.assertEqual(self.start(two, 20), {})
        self.submit(one, "l", 25, account="big", within_ms=30_000)
        self.exchange(two, one, 30)
        one.finish("runs", End.DONE, "", 50)
        started = [self.start(one, at) for at in range(50, 250, 10)]
        self.assertIn("l", {job for found in started for job in found})

    def test_old_message_is_ignored(self):
        one = self.make("vm1", decodes=1, slots=2)
        two = self.make("vm2", decodes=1, slots=2)
        self.submit(one, "a")
        self.start(one)
        old = one.drain_hints(1)
        one.finish("a", End.DONE, "", 10)
        self.exchange(one, two, 20)
        two.apply_hints(old, 30)
        view = two._pools["lm"].members.find("d0")
        self.assertEqual(view.peers, 0)

    def test_idle_routers_send_few_messages(self):
        router = self.make()
        messages = [router.drain_hints(at) for at in range(0, 10_000, 10)]
        self.assertLessEqual(sum(note is not None for note in messages), 11)


class OrderTest(SchedulerCase):
    def test_only_goodput_starts_cheap_prompts_first(self):
        for name, expected in (("worst_served", "dear"), ("goodput", "cheap")):
            mode = scheduler.fairness.find_fairness_mode(name)
            router = scheduler.FairScheduler("vm1", fairness_mode=mode)
            pool = cases.make_pool(decodes=1, slots=1)
            router.change_pools({"lm": pool}, 0)
            self.submit(router, "runs", account="c")
            self.start(router)
            self.submit(router, "dear", 5, account="a", prompt_tokens=2_000)
            self.submit(router, "cheap", 6, account="b", prompt_tokens=50)
            router.finish("runs", End.DONE, "", 10)
            with self.subTest(name):
                self.assertEqual(list(self.start(router, 10)), [expected])

    def test_short_jobs_overtake_a_blocked_long_job(self):
        router = self.make(prefills=2, decodes=1, slots=8)
        for n in range(3):
            self.submit(router, f"long{n}", prompt_tokens=8_500)
        self.submit(router, "short", 5, prompt_tokens=60)
        started = self.start(router, 5)
        self.assertIn("short", started)
        fair = router._pools["lm"].queue
        lanes = fair.list_next(1)[0].lanes
        self.assertTrue(lanes[fair_queue.Lane.LONG])

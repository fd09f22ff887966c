"""Tests of the choice among upstreams that want no requests for a while."""

import unittest

from mulberryway import errors
from mulberryway import tables
from mulberryway.policy import rate_limits
from mulberryway.policy import scheduler
from mulberryway.policy import server_selection
from tests import policy_cases
from tests import test_rate_limits

make_pool = test_rate_limits.make_pool


class RegisterTest(unittest.TestCase):
    def setUp(self):
        self.register = test_rate_limits.make_register()

    def test_nothing_is_sent_in_a_pause(self):
        """Guards against requests for which an upstream was chosen before it
        has asked for a pause.
        """
        self.register.record_choice("s0", 900)
        self.register.pauses.record("s0", 3_000, 1_000)
        for now_ms, is_open in ((1_000, False), (3_999, False), (4_000, True)):
            self.assertEqual(self.register.has_room("s0", now_ms), is_open)
            self.assertEqual(self.register.try_send("s0", now_ms), is_open)
        self.assertTrue(self.register.try_send("s1", 1_000))

    def test_shorter_pause_does_not_end_a_longer_one(self):
        self.register.pauses.record("s0", 3_000, 0)
        self.register.pauses.record("s0", 100, 500)
        self.assertEqual(self.register.get_wait_ms("s0", 1_000), 2_000)

    def test_each_pause_is_reported_once(self):
        reported = [
            self.register.pauses.record("s0", 1_000, now_ms)
            for now_ms in (0, 500, 1_400, 3_000)
        ]
        self.assertEqual(reported, [True, False, False, True])

    def test_restart_ends_a_pause(self):
        """Guards against a pause that outlives its server's incarnation."""
        for started_ms in (5, 6):
            pool = make_pool(started_ms=started_ms)
            self.register.update_tables(tables.Tables(1, (), (pool,), ()))
            if started_ms == 5:
                self.register.pauses.record("s0", 9_000, 0)
                self.assertEqual(self.register.pauses.count(0), 1)
        self.assertEqual(self.register.pauses.count(0), 0)

    def test_limit_and_pause_hold_together(self):
        test_rate_limits.name_limit(self.register, 0.25, 0, 0)
        self.assertTrue(self.register.try_send("s0", 0))
        self.register.pauses.record("s0", 1_000, 0)
        self.assertEqual(
            self.register.get_wait_ms("s0", 0), rate_limits.WINDOW_MS
        )
        self.assertFalse(self.register.has_room("s0", 2_000))
        self.register.pauses.record("s0", 9_000, 0)
        self.assertEqual(self.register.get_wait_ms("s0", 0), 9_000)


class SelectorTest(unittest.TestCase):
    def setUp(self):
        self.register = test_rate_limits.make_register()
        self.selector = server_selection.ServerSelector(
            "a", limits=self.register
        )
        self.pool = make_pool()

    def choose(self, now_ms):
        return self.selector.choose(self.pool, frozenset(), now_ms)

    def test_paused_server_is_no_last_resort(self):
        """Guards against a pause that is a preference only: all others are
        worse, or have paused themselves.
        """
        for number in range(3):
            self.register.pauses.record(f"s{number}", 1_000 + number, 0)
        self.assertIsNone(self.choose(999))
        self.assertEqual(self.selector.get_wait_ms(self.pool, 400), 600)
        self.assertEqual(self.choose(1_000).name, "s0")


class SchedulerTest(unittest.TestCase):
    def setUp(self):
        self.register = test_rate_limits.make_register()
        self.scheduler = scheduler.FairScheduler("vm0", limits=self.register)
        self.pool = policy_cases.make_pool()
        self.scheduler.change_pools({self.pool.name: self.pool}, 0)

    def pause(self, *names, pause_ms=3_000):
        for name in names:
            self.register.pauses.record(name, pause_ms, 0)

    def submit(self, job_id, within_ms):
        job = policy_cases.make_job(job_id, now_ms=0, within_ms=within_ms)
        return self.scheduler.submit(job, 0)

    def start(self, now_ms):
        started = self.scheduler.dispatch(now_ms).assignments
        return [one.decode for one in started], [
            one.prefill for one in started
        ]

    def test_other_engines_are_chosen(self):
        self.pause("p0", "d0")
        self.submit("j0", 2_000)
        self.assertEqual(self.start(0), (["d1"], ["p1"]))

    def test_job_is_rejected_at_once(self):
        """Guards against jobs that wait for engines which take none before
        the jobs' deadlines.
        """
        for names in (("d0", "d1"), ("p0", "p1")):
            self.setUp()
            self.pause(*names)
            result = self.submit("j0", 2_000)
            self.assertIs(result.error.code, errors.Code.OVERLOADED)
            self.assertTrue(result.error.retry_after_ms)
            # The reason by which losses are counted.
            self.assertEqual(
                "no engine accepts" in result.error.message, "d0" in names
            )

    def test_job_waits_for_the_end_of_a_pause(self):
        self.pause("d0", "d1", pause_ms=500)
        self.assertTrue(self.submit("j0", 4_000).is_ok())
        self.assertEqual(self.start(499)[0], [])
        self.assertEqual(len(self.start(501)[0]), 1)

    def test_paused_engine_replaces_no_other(self):
        """Guards against a stalled stream that is searched another engine for
        which takes none.
        """
        self.submit("j0", 2_000)
        decode = self.start(0)[0][0]
        self.assertTrue(self.scheduler.has_decode_capacity("lm", decode, 10))
        self.pause("d0", "d1")
        self.assertFalse(self.scheduler.has_decode_capacity("lm", decode, 10))

    def test_decode_is_not_sent_in_a_pause(self):
        """Guards against a decode at an engine that has asked for a pause
        during the prefill.
        """
        self.submit("j0", 2_000)
        decode = self.start(0)[0][0]
        self.pause(decode)
        self.assertFalse(self.scheduler.try_send("j0", decode, 10))
        other = self.scheduler.reassign_decode("j0", decode, 10)
        self.assertNotIn(other, (None, decode))
        self.assertTrue(self.scheduler.try_send("j0", other, 10))

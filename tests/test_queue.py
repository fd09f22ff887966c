"""Tests of the fair queue's order, limits and expiry."""

import unittest

from mulberryway.policy import fair_queue
from tests import policy_cases as cases


def push(fair, job_id, account, cost=100.0, latest_ms=1_000, **values):
    job = cases.make_job(job_id, account, **values)
    fair.push(
        fair_queue.QueueEntry(job, fair_queue.Lane.SHORT, cost, latest_ms)
    )


def serve(fair):
    """Remove and charge the next job, and return its account."""
    state = fair.list_next(1)[0]
    entry = state.list_heads()[0]
    fair.remove(entry.job.job_id)
    fair.charge(state.name, state.weight, entry.cost)
    return state.name


class QueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = fair_queue.FairQueue(100, 1_000_000)

    def test_fair_share_counts_tokens_not_requests(self):
        """One account sends few expensive requests and another many cheap
        ones.  If requests were counted, the first would get ten times the
        tokens at the expense of the second.
        """
        for number in range(4):
            push(self.queue, f"d{number}", "dear", cost=1_000)
        for number in range(40):
            push(self.queue, f"c{number}", "cheap", cost=100)
        served = [serve(self.queue) for _ in range(22)]
        self.assertAlmostEqual(served.count("cheap"), 20, delta=1)

    def test_shares_follow_weights(self):
        for number in range(30):
            push(self.queue, f"a{number}", "a", weight=2)
            push(self.queue, f"b{number}", "b", weight=1)
        served = [serve(self.queue) for _ in range(30)]
        self.assertAlmostEqual(served.count("a"), 20, delta=1)

    def test_idle_period_earns_bounded_credit(self):
        """An account sends a burst after an hour without requests.  With
        unlimited credit for the idle period it would starve all others for
        as long as it was idle.
        """
        for number in range(300):
            push(self.queue, f"a{number}", "a", cost=1_000)
            serve(self.queue)
        for number in range(50):
            push(self.queue, f"b{number}", "b", cost=1_000)
            push(self.queue, f"c{number}", "a", cost=1_000)
        served = [serve(self.queue) for _ in range(40)]
        credit = fair_queue.MAX_CREDIT_TOKENS / 1_000
        self.assertGreaterEqual(served.count("a"), (40 - credit) / 2 - 1)

    def test_one_account_cannot_fill_the_queue(self):
        """One account sends many times its rate while all slots are taken.
        If it could fill the queue, other accounts would be rejected although
        they keep to their rates.
        """
        for number in range(50):
            self.assertTrue(
                self.queue.has_room(cases.make_job(f"a{number}", "a"))
            )
            push(self.queue, f"a{number}", "a")
        self.assertFalse(self.queue.has_room(cases.make_job("x", "a")))
        self.assertTrue(self.queue.has_room(cases.make_job("y", "b")))

    def test_bytes_are_limited_and_released(self):
        push(self.queue, "a", "a", body_bytes=400_000)
        big = cases.make_job("b", "a", body_bytes=200_000)
        self.assertFalse(self.queue.has_room(big))
        self.assertIsNotNone(self.queue.remove("a"))
        self.assertTrue(self.queue.has_room(big))
        self.assertEqual((self.queue.bytes, self.queue.weight_waiting), (0, 0))

    def test_expired_jobs_are_popped_once(self):
        push(self.queue, "a", "a", latest_ms=10)
        push(self.queue, "b", "a", latest_ms=20)
        push(self.queue, "c", "b", latest_ms=30)
        self.queue.remove("b")
        self.assertEqual(self.queue.get_next_expiry_ms(), 10)
        expired = [entry.job.job_id for entry in self.queue.pop_expired(25)]
        self.assertEqual(expired, ["a"])
        self.assertEqual(self.queue.get_next_expiry_ms(), 30)

    def test_lanes_may_overtake_each_other(self):
        job = cases.make_job("long", "a")
        self.queue.push(
            fair_queue.QueueEntry(job, fair_queue.Lane.LONG, 1, 1_000)
        )
        push(self.queue, "short", "a", now_ms=5)
        heads = self.queue.list_next(1)[0].list_heads()
        self.assertEqual([e.job.job_id for e in heads], ["long", "short"])
        self.queue.move("short", fair_queue.Lane.SUSPECT)
        self.queue.remove("long")
        heads = self.queue.list_next(1)[0].list_heads()
        self.assertEqual([e.job.job_id for e in heads], ["short"])

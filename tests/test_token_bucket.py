"""Token bucket against the bound on any window, in exact arithmetic."""

import random
import unittest

from mulberryway.policy import token_bucket


class TokenBucketTest(unittest.TestCase):
    def test_partitions_are_exact(self):
        bucket = token_bucket.TokenBucket(10, 70, 7, 0, is_full=True)
        self.assertEqual(bucket.read_level(0), 10)
        self.assertTrue(bucket.take(10, 0))
        # A seventh of ten tokens per second, less one per mille.
        self.assertEqual(bucket.read_level(700), 0)
        self.assertEqual(bucket.read_level(701), 1)
        self.assertEqual(bucket.time_until(10, 701), 6_307)
        self.assertIsNone(bucket.time_until(11, 701))

    def test_refund_is_complete_without_overflow(self):
        bucket = token_bucket.TokenBucket(10, 1_000, 1, 0, is_full=True)
        stamps = []
        for _ in range(10):
            self.assertTrue(bucket.take(100, 0))
            stamps.append(bucket.mark(0))
        refunds = [bucket.refund(90, stamp, 1) for stamp in stamps]
        self.assertEqual(refunds, [90] * 10)

    def test_late_refund_allows_no_second_burst(self):
        """Guards against a burst twice in one window.

        A caller reserves its whole burst, uses nothing and waits until the
        bucket is full again.  The refund must not be added to that.
        """
        bucket = token_bucket.TokenBucket(10, 100, 1, 0, is_full=True)
        bucket.take(100, 0)
        stamp = bucket.mark(0)
        self.assertTrue(bucket.take(100, 11_000))
        self.assertEqual(bucket.refund(100, stamp, 11_000), 0)
        self.assertFalse(bucket.take(1, 11_000))

    def test_tokens_on_loan_reserve_capacity(self):
        """Guards against a burst twice in one window.

        A lender's bucket refills while a borrower still holds its tokens, and
        both could spend a full burst at once.
        """
        bucket = token_bucket.TokenBucket(10, 100, 1, 0, is_full=True)
        self.assertTrue(bucket.lend(60, 0))
        self.assertEqual(bucket.read_level(60_000), 40)
        bucket.end_loan(60, 20, 60_000)
        self.assertEqual(bucket.read_level(60_000), 60)
        self.assertEqual(bucket.read_level(70_000), 100)
        self.assertFalse(bucket.take(101, 70_000))

    def test_update_limits_adds_no_tokens(self):
        bucket = token_bucket.TokenBucket(10, 100, 1, 0, is_full=True)
        bucket.update_limits(20, 40, 0)
        self.assertEqual(bucket.read_level(0), 40)
        bucket.update_limits(20, 400, 0)
        self.assertEqual(bucket.read_level(0), 40)

    def test_used_tokens_keep_the_window_bound(self):
        """Guards against an account getting more than its rate and burst.

        Requests reserve too many tokens and settle late, in any order.
        """
        for seed in range(100):
            rng = random.Random(seed)
            used = _run_random_requests(rng)
            worst = max(
                sum(n for at, n in used if start <= at <= end)
                - 5 * (end - start)
                - 200 * 1_000
                for start, _ in used
                for end, _ in used
                if start <= end
            )
            self.assertLessEqual(worst, 0, seed)


def _run_random_requests(rng):
    """Return pairs of time in ms and used thousandths of tokens."""
    bucket = token_bucket.TokenBucket(5, 200, 1, 0, is_full=True)
    now_ms = 0
    used, pending = [], []
    for _ in range(80):
        now_ms += rng.choice((0, 1, 300, 5_000))
        tokens = rng.randint(1, 120)
        if bucket.take(tokens, now_ms):
            spent = rng.randint(0, tokens)
            used.append((now_ms, spent * 1_000))
            pending.append((tokens - spent, bucket.mark(now_ms)))
        if pending and rng.random() < 0.5:
            unused, stamp = pending.pop(rng.randrange(len(pending)))
            bucket.refund(unused, stamp, now_ms)
    return used

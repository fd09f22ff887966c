"""Tests of the scheduler jobs of model requests."""

import types
import unittest

from mulberryway import clock
from mulberryway import tables
from mulberryway.filters import model_job
from mulberryway.policy import queue_entries
from tests import router_fixture

ARRIVED_MS = 1_000
TARGET_MS = 900


def make_job(now_ms, since_ms, priority=None, accounts=()):
    """Return the job of a stream that needs an engine."""
    account = tables.ClientAccount("a", (), 0, 0, priority=priority)
    route = tables.Route(
        "r",
        "/",
        "p",
        ("m",),
        is_streaming=True,
        target_ms=TARGET_MS,
        target_gap_ms=300,
        priority=3,
    )
    exchange = types.SimpleNamespace(
        request_id="r",
        account=account,
        pool=types.SimpleNamespace(name="p", upstreams=()),
        tables=tables.Tables(1, (route,), (), (account, *accounts)),
        model="m",
        estimate=100,
        max_tokens=100,
        prefix_hashes=(),
        part_keys=(),
        body=b"",
        digest="",
        expected_tokens=0,
        arrived_ms=ARRIVED_MS,
        method="POST",
        route=route,
    )
    builder = model_job.JobBuilder(
        exchange,
        clock.ManualClock(now_ms),
        router_fixture.StaticTables(),
    )
    limit = clock.Deadline(now_ms + 10_000)
    return builder.make(0, frozenset(), limit, since_ms)


class LostStreamTest(unittest.TestCase):
    def test_resumed_stream_is_not_late_when_queued(self):
        """Guards against resumed streams queued behind all jobs that can be on
        time, and cut off there, because their target counted from arrival.
        """
        lost_ms = ARRIVED_MS + 5_000
        job = make_job(lost_ms, lost_ms)
        entry = queue_entries.QueueEntry(
            job, queue_entries.Lane.SHORT, 100, lost_ms + 2_000
        )
        self.assertFalse(entry.is_late(lost_ms))
        self.assertTrue(entry.is_late(lost_ms + TARGET_MS + 1))

    def test_first_token_target_counts_from_the_arrival(self):
        """Guards against retries that restart the request's target."""
        job = make_job(ARRIVED_MS + 500, ARRIVED_MS)
        self.assertEqual(job.first_token_target_ms, ARRIVED_MS + TARGET_MS)


class RankTest(unittest.TestCase):
    def test_account_rank_goes_before_the_routes(self):
        """Guards against an urgent account that is queued as its route."""
        other = tables.ClientAccount("b", (), 0, 0)
        job = make_job(ARRIVED_MS, ARRIVED_MS, 1, (other,))
        self.assertEqual(1, job.rank)
        self.assertEqual(
            (1, 3), (job.pool_ranks.highest, job.pool_ranks.lowest)
        )
        self.assertEqual(ARRIVED_MS + 10_000, job.caller_deadline.at_ms)
        self.assertLess(job.deadline.at_ms, job.caller_deadline.at_ms)

    def test_single_rank(self):
        """Guards against decisions by rank in deployments with one."""
        job = make_job(ARRIVED_MS, ARRIVED_MS)
        self.assertEqual(3, job.rank)
        self.assertFalse(job.pool_ranks.differ)
        self.assertEqual(0, job.compute_queue_rank())

"""Tests ranks of model jobs under overload, without a network."""

import itertools
import socket
import threading
import unittest

from mulberryway import clock
from mulberryway.objects import base
from mulberryway.platform import engine
from mulberryway.platform import tables as platform_tables
from mulberryway.platform import wire
from mulberryway.policy import ranks
from mulberryway.upstreams import base as upstreams
from tests import policy_cases as cases

URGENT, LIGHT = 0, 2
BOTH = ranks.PoolRanks(URGENT, LIGHT)


def read_tables(reader, version, routes, accounts=()):
    """Return tables of ranks: by route, and by account where given."""
    value = {
        "routes": [
            {
                "name": name,
                "host": "h",
                "path_prefix": f"/{name}/",
                "kind": "streaming",
                "timeout_ms": 1_000,
                "service": "lm",
            }
            | rank
            for name, rank in routes.items()
        ],
        "services": [{"name": "lm"}],
        "tenants": [
            {"name": name, "api_keys": [name]} | rank
            for name, rank in dict(accounts).items()
        ],
    }
    stored = base.StoredObject("config", "main", version, value)
    return reader.read({"main": stored}, [], version)


class QueueFractionTest(unittest.TestCase):
    """Tests the share of a queue that a rank may fill."""

    def test_lower_ranks_leave_room(self):
        """A burst of light requests that arrives before urgent ones."""
        fractions = [
            ranks.get_queue_fraction(rank, 0)
            for rank in range(ranks.LOWEST_RANK + 1)
        ]
        self.assertEqual(1.0, fractions[0])
        self.assertEqual(sorted(fractions, reverse=True), fractions)
        self.assertEqual(len(fractions), len(set(fractions)))
        self.assertGreater(fractions[-1], ranks.MIN_QUEUE_FRACTION)

    def test_single_rank_fills_the_queue(self):
        """A burst of the only rank in use."""
        self.assertEqual(1.0, ranks.get_queue_fraction(2, 2))
        self.assertEqual(1.0, ranks.get_queue_fraction(0, 2))


class ConfigurationTest(unittest.TestCase):
    """Tests which ranks the tables name, also malformed ones."""

    def setUp(self):
        self.reader = platform_tables.TablesReader()
        self.versions = itertools.count(1)

    def read(self, routes, accounts=()):
        return read_tables(
            self.reader,
            next(self.versions),
            {name: {"priority": rank} for name, rank in routes.items()},
            {
                name: {"priority": rank}
                for name, rank in dict(accounts).items()
            },
        )

    def test_malformed_rank_keeps_the_one_in_force(self):
        """Guards against a new configuration whose keys and routes are not
        applied, or fail later, because one rank is malformed.
        """
        self.read({"r": 1}, {"a": 3})
        for malformed in (-1, "2", True, 1.5, [], {}):
            with self.subTest(malformed), self.assertLogs(level="ERROR"):
                found = self.read({"r": malformed, "new": 0}, {"a": malformed})
                self.assertEqual(1, found.routes["r"].priority)
                self.assertEqual(3, found.accounts["a"].priority)
                self.assertIn("new", found.routes)

    def test_malformed_rank_without_one_in_force(self):
        """Guards against a first configuration without any tables."""
        with self.assertLogs(level="ERROR"):
            found = self.read({"r": "x"}, {"a": "y"})
        self.assertEqual(0, found.routes["r"].priority)
        self.assertIsNone(found.accounts["a"].priority)

    def test_missing_and_too_large_ranks(self):
        """Guards against ranks that engines do not know."""
        found = self.read({"r": None, "s": 400}, {"a": None})
        self.assertEqual(0, found.routes["r"].priority)
        pool_ranks = ranks.make_pool_ranks(found.list_priorities("lm"))
        self.assertEqual(
            (0, ranks.LOWEST_RANK), (pool_ranks.highest, pool_ranks.lowest)
        )

    def test_account_rank_goes_first(self):
        """An account whose requests are urgent on every route."""
        self.assertEqual(0, ranks.compute_rank(2, 0))
        self.assertEqual(2, ranks.compute_rank(2, None))
        self.assertEqual(9, ranks.compute_rank(2, 12))

    def test_ranks_of_a_pool(self):
        """Guards against decisions by rank in deployments with one rank."""
        for routes, accounts, expected in (
            ({"r": 1, "s": 1}, {}, {1}),
            ({"r": 1, "s": 1}, {"a": None}, {1}),
            ({"r": 1, "s": 1}, {"a": 1}, {1}),
            ({"r": 1, "s": 2}, {"a": 1}, {1}),
            ({"r": 1, "s": 2}, {"a": None}, {1, 2}),
            ({"r": 1}, {"a": None, "b": 3}, {1, 3}),
        ):
            with self.subTest(routes=routes, accounts=accounts):
                found = self.read(routes, accounts).list_priorities("lm")
                self.assertEqual(expected, set(found))
        empty = self.read({"r": 4}).list_priorities("other")
        self.assertFalse(ranks.make_pool_ranks(empty).differ)


class QueueRankTest(unittest.TestCase):
    """Tests the queue rank of jobs."""

    def make(self, name, rank, pool_ranks=BOTH, **values):
        return cases.make_job(
            name, rank=rank, pool_ranks=pool_ranks, **values
        ).compute_queue_rank()

    def test_share_of_lower_ranks(self):
        """Long overload by the highest rank, under which no other starves."""
        found = [self.make(f"r{n}-0", LIGHT) for n in range(2_000)]
        self.assertEqual({0, LIGHT}, set(found))
        share = found.count(0) / len(found)
        self.assertAlmostEqual(ranks.EXPEDITED_FRACTION, share, delta=0.04)

    def test_retry_keeps_the_queue_rank(self):
        """Guards against requests that draw again with each engine."""
        for number in range(20):
            first, second = (
                self.make(f"r{number}-{attempt}", LIGHT) for attempt in (0, 1)
            )
            self.assertEqual(first, second)

    def test_resumed_stream_is_not_put_behind(self):
        """Guards against broken streams that wait behind new ones."""
        found = {
            self.make(f"r{n}-1", LIGHT, required_version="v")
            for n in range(20)
        }
        self.assertEqual({0}, found)

    def test_single_rank(self):
        """Guards against a share of jobs that goes first without ranks."""
        single = ranks.PoolRanks(5, 5)
        found = {self.make(f"r{n}-0", 5, single) for n in range(20)}
        self.assertEqual({0}, found)


class ReturnTest(unittest.TestCase):
    """Tests when callers that were refused should return."""

    def list_times(self, steps, wait_ms=1_000, left_ms=14_000):
        return [
            ranks.compute_return_ms(wait_ms, steps, f"r{n}", left_ms)
            for n in range(200)
        ]

    def test_callers_refused_together_are_spread(self):
        """A burst whose callers would return as the same burst."""
        times = self.list_times(0)
        self.assertGreaterEqual(min(times), 1_000)
        self.assertGreater(max(times) - min(times), 400)
        fifths = {time // 100 for time in times}
        self.assertEqual(5, len(fifths))

    def test_higher_ranks_return_earlier(self):
        """Both ranks are refused together and return to the same room."""
        self.assertLess(max(self.list_times(0)), min(self.list_times(2)))
        self.assertLess(max(self.list_times(1)), min(self.list_times(2)))

    def test_deadline_bounds_the_time(self):
        """Callers with little time, who don't honour more than a third."""
        for left_ms in (2_000, 300, 0, -10):
            times = self.list_times(2, 5_000, left_ms)
            self.assertLessEqual(max(times), max(left_ms / 3, 0))
            self.assertGreaterEqual(min(times), max(left_ms / 4 - 1, 0))
        self.assertGreater(len(set(self.list_times(0, 5_000, 2_000))), 100)


class UrgencyTest(unittest.TestCase):
    """Tests the rank that engines are told."""

    def call(self, urgency, method):
        """Return the head of a call to an engine."""
        heads = []
        with socket.create_server(("127.0.0.1", 0)) as listener:

            def answer():
                with listener.accept()[0] as connection:
                    heads.append(connection.recv(65_536).decode().lower())
                    connection.sendall(b"HTTP/1.1 503 x\r\n\r\n")

            thread = threading.Thread(target=answer)
            thread.start()
            host, port = listener.getsockname()
            clock_ = clock.SystemClock()
            engine_ = engine.PlatformEngine("i", f"{host}:{port}", clock_)
            label = upstreams.AttemptLabel("r", "vm", 1, urgency=urgency)
            request = upstreams.PassthroughRequest(
                "POST",
                "/",
                [("Attempt-Id", "a")],
                b"{}",
                "a",
                "",
                clock.Deadline(clock_.now_ms() + 5_000),
            )
            if method == "prefill":
                engine_.prefill(label, request, 5_000)
            else:
                engine_.decode(label, request, {}, 0, 5_000)
            thread.join()
            engine_.close()
        return heads[0]

    def test_rank_is_sent_as_it_is(self):
        """Guards against engines that preempt an urgent stream."""
        for method in ("prefill", "decode"):
            for urgency in (0, 9):
                self.assertIn(
                    f"request-urgency: {urgency}\r\n",
                    self.call(urgency, method),
                )

    def test_single_rank_is_not_sent(self):
        """Guards against another order at engines without ranks."""
        for method in ("prefill", "decode"):
            self.assertNotIn("request-urgency", self.call(None, method))

    def test_callers_rank_is_removed(self):
        """Guards against callers who make their own requests urgent."""
        self.assertIn(wire.URGENCY.lower(), wire.RESERVED_HEADERS)

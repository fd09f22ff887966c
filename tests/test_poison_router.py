"""Tests of a request that crashes engines, with a router and processes."""

import unittest

from mulberryway.policy import scheduler
from tests import processes
from tests import router_fixture

# Long enough that the engine crashes during the prefill.
POISON = "POISON in the log " + "x" * 10_000
ROLES = ("prefill", "prefill", "prefill", "prefill", "decode")


class PoisonRouterTest(unittest.TestCase):
    def setUp(self):
        self.group = processes.Group()
        self.addCleanup(self.group.stop)
        started = [
            processes.start_engines(
                self.group, [role], "--token_ms=10", "--crash_marker=POISON"
            )
            for role in ROLES
        ]
        self.engines = [process for process, _ in started]
        tables = router_fixture.make_tables(
            map(
                router_fixture.make_upstream,
                ROLES,
                [port for _, (port,) in started],
            ),
            timeout_ms=5_000,
        )
        fair = scheduler.FairScheduler("vm1", seed=1)
        self.fixture = router_fixture.RouterFixture(tables, scheduler=fair)
        self.fixture.__enter__()
        self.addCleanup(self.fixture.__exit__)

    def count_crashed(self):
        return sum(
            process.popen.poll() is not None for process in self.engines
        )

    def test_quarantined_after_second_crash(self):
        """A caller retries a request that crashes every engine that runs it.

        Other callers must still be served.
        """
        for _ in range(4):
            response = self.fixture.complete(POISON)
            self.assertNotEqual(response.status, 200)
        self.assertEqual(self.count_crashed(), 2)
        self.assertIn(b"quarantined", response.body)
        self.assertIn(b'"not_run"', response.body)
        self.assertEqual(self.fixture.complete("why did it drift").status, 200)
        self.assertEqual(self.count_crashed(), 2)

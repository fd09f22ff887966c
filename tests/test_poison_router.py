"""A request that crashes engines, through a router and real processes."""

import unittest

from mulberryway.policy import scheduler
from tests import processes
from tests import router_fixture

# Long enough that the engine dies during the prefill.
POISON = "POISON in the log " + "x" * 10_000
ROLES = ("prefill", "prefill", "prefill", "prefill", "decode")


class PoisonTest(unittest.TestCase):
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
        self.rig = router_fixture.RouterFixture(tables, scheduler=fair)
        self.rig.__enter__()
        self.addCleanup(self.rig.__exit__)

    def count_dead(self):
        return sum(one.popen.poll() is not None for one in self.engines)

    def test_the_second_engine_is_the_last(self):
        """A caller's request crashes every engine that runs it, and the
        caller sends it again and again.  Other callers must go on to be
        served.
        """
        for _ in range(4):
            answer = self.rig.complete(POISON)
            self.assertNotEqual(answer.status, 200)
        self.assertEqual(self.count_dead(), 2)
        self.assertIn(b"quarantined", answer.body)
        self.assertIn(b'"not_run"', answer.body)
        self.assertEqual(self.rig.complete("why did it drift").status, 200)
        self.assertEqual(self.count_dead(), 2)

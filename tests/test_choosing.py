"""Tests of server selection and of the fleet's retry budget."""

import collections
import unittest

from mulberryway import tables
from mulberryway.policy import retries
from mulberryway.policy import server_selection

End = server_selection.CallOutcome
ZONES = ("a", "b", "c")


def make_pool(count=3):
    rows = tuple(
        tables.Upstream(
            f"s{n}", f"10.0.0.{n}:1", ZONES[n], tables.UpstreamRole.SERVICE
        )
        for n in range(count)
    )
    return tables.Pool("app", tables.PoolKind.PLAIN, rows)


class ServerSelectorTest(unittest.TestCase):
    def setUp(self):
        self.pool = make_pool()
        self.selector = server_selection.ServerSelector("a")

    def call(self, now_ms, get_outcome, took_ms=60):
        """Make one call, wait for its end and return the server's name."""
        chosen = self.selector.choose(self.pool, frozenset(), now_ms)
        outcome = get_outcome(chosen.name)
        self.selector.finish(self.pool, chosen, outcome, took_ms, now_ms)
        return chosen.name

    def test_calls_spread_over_busy_servers(self):
        """Calls arrive faster than they end.  On a single server they would
        queue while the others are idle.
        """
        found = collections.Counter(
            self.selector.choose(self.pool, frozenset(), 0).name
            for _ in range(12)
        )
        self.assertEqual(set(found.values()), {4})

    def test_slow_server_gets_fewer_calls(self):
        for n in range(30):
            chosen = self.selector.choose(self.pool, frozenset(), n)
            took_ms = 600 if chosen.name == "s0" else 60
            self.selector.finish(self.pool, chosen, End.DONE, took_ms, n)
        found = collections.Counter(
            self.selector.choose(self.pool, frozenset(), 100).name
            for _ in range(12)
        )
        self.assertLess(found["s0"], 3)

    def test_failing_server_is_avoided_and_tried_again(self):
        """One server fails every call immediately and so looks idle.  It
        would attract all calls.  Once recovered, it must be used again.
        """

        def get_outcome(name):
            return End.FAILED if name == "s0" else End.DONE

        found = collections.Counter(
            self.call(n * 100, get_outcome, 5 if n else 60) for n in range(50)
        )
        self.assertLess(found["s0"], 8)
        later = {
            self.call(5_000 + n * 100, lambda name: End.DONE)
            for n in range(200)
        }
        self.assertIn("s0", later)

    def test_equal_failure_rates_exclude_no_server(self):
        """A fraction of all calls fails at every server alike.  No server is
        at fault, and excluding some would only slow down the others.
        """
        for n in range(120):
            for row in self.pool.upstreams:
                outcome = End.FAILED if n % 7 == 0 else End.DONE
                self.selector.finish(self.pool, row, outcome, 60, n)
        found = collections.Counter(
            self.selector.choose(self.pool, frozenset(), 120).name
            for _ in range(12)
        )
        self.assertEqual(set(found.values()), {4})

    def test_unreachable_server_is_in_backoff(self):
        self.call(0, lambda name: End.UNREACHED)
        names = {self.call(n, lambda name: End.DONE) for n in range(1, 20)}
        self.assertNotIn("s0", names)

    def test_disconnected_callers_do_not_affect_the_choice(self):
        for n in range(20):
            self.call(n, lambda name: End.NO_VERDICT)
        found = self.selector.choose(self.pool, frozenset(), 100)
        self.assertEqual(found.name, "s0")


class FleetRetryBudgetTest(unittest.TestCase):
    def test_retries_of_all_vms_stay_within_the_budget(self):
        """Servers crash, and all VMs retry at once.  The total number of
        retries must stay within the configured budget of the fleet.
        """
        budgets = [retries.FleetRetryBudget(0.2, 10_000, 52) for _ in range(6)]
        spent = 0
        for budget in budgets:
            budget.set_vm_count(6)
            for n in range(20):
                budget.deposit("lm", n)
            while budget.try_withdraw("lm", 100):
                spent += 1
        self.assertLessEqual(spent, 0.2 * 120 + 52)
        self.assertGreater(spent, 40)

    def test_budget_is_available_again_after_the_window(self):
        budget = retries.FleetRetryBudget(0.0, 10_000, 10)
        while budget.try_withdraw("lm", 0):
            continue
        self.assertFalse(budget.try_withdraw("lm", 9_999))
        self.assertTrue(budget.try_withdraw("lm", 10_000))

    def test_each_pool_has_its_own_budget(self):
        budget = retries.FleetRetryBudget(0.0, 10_000, 10)
        while budget.try_withdraw("lm", 0):
            continue
        self.assertTrue(budget.try_withdraw("app", 0))

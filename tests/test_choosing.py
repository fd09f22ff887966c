"""Which server of a plain service gets a call, under load and failures."""

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


class ChooserTest(unittest.TestCase):
    def setUp(self):
        self.pool = make_pool()
        self.chooser = server_selection.ServerSelector("a")

    def call(self, now_ms, judge, took_ms=60):
        """Make one call, one after another, and return the server."""
        chosen = self.chooser.choose(self.pool, frozenset(), now_ms)
        end = judge(chosen.name)
        self.chooser.finish(self.pool, chosen, end, took_ms, now_ms)
        return chosen.name

    def test_calls_spread_over_busy_servers(self):
        """Calls come faster than they end.  All at one server would queue
        there, while the others are idle.
        """
        found = collections.Counter(
            self.chooser.choose(self.pool, frozenset(), 0).name
            for _ in range(12)
        )
        self.assertEqual(set(found.values()), {4})

    def test_slow_server_gets_less(self):
        for n in range(30):
            chosen = self.chooser.choose(self.pool, frozenset(), n)
            took_ms = 600 if chosen.name == "s0" else 60
            self.chooser.finish(self.pool, chosen, End.DONE, took_ms, n)
        found = collections.Counter(
            self.chooser.choose(self.pool, frozenset(), 100).name
            for _ in range(12)
        )
        self.assertLess(found["s0"], 3)

    def test_failing_server_is_left_and_tried_again(self):
        """One server fails every call at once, and so looks idle.  It would
        draw the calls of all; and once mended, it must be used again.
        """

        def judge(name):
            return End.FAILED if name == "s0" else End.DONE

        found = collections.Counter(
            self.call(n * 100, judge, 5 if n else 60) for n in range(50)
        )
        self.assertLess(found["s0"], 8)
        later = {
            self.call(5_000 + n * 100, lambda name: End.DONE)
            for n in range(200)
        }
        self.assertIn("s0", later)

    def test_service_that_fails_everywhere_stays_in_use(self):
        """A part of all calls fails at every server alike.  Nobody is to
        blame, and leaving servers out would only make the rest slower.
        """
        for n in range(120):
            for row in self.pool.upstreams:
                end = End.FAILED if n % 7 == 0 else End.DONE
                self.chooser.finish(self.pool, row, end, 60, n)
        found = collections.Counter(
            self.chooser.choose(self.pool, frozenset(), 120).name
            for _ in range(12)
        )
        self.assertEqual(set(found.values()), {4})

    def test_unreachable_server_is_passed_over(self):
        self.call(0, lambda name: End.UNREACHED)
        names = {self.call(n, lambda name: End.DONE) for n in range(1, 20)}
        self.assertNotIn("s0", names)

    def test_callers_that_go_say_nothing_of_a_server(self):
        for n in range(20):
            self.call(n, lambda name: End.NO_VERDICT)
        found = self.chooser.choose(self.pool, frozenset(), 100)
        self.assertEqual(found.name, "s0")


class FleetBudgetTest(unittest.TestCase):
    def test_all_vms_together_stay_within(self):
        """Servers crash, and all VMs repeat at once.  What they send again
        must stay within what operators allow over all of them.
        """
        books = [retries.FleetRetryBudget(0.2, 10_000, 52) for _ in range(6)]
        spent = 0
        for book in books:
            book.change_vms(6)
            for n in range(20):
                book.deposit("lm", n)
            while book.try_withdraw("lm", 100):
                spent += 1
        self.assertLessEqual(spent, 0.2 * 120 + 52)
        self.assertGreater(spent, 40)

    def test_window_moves_on(self):
        book = retries.FleetRetryBudget(0.0, 10_000, 10)
        while book.try_withdraw("lm", 0):
            continue
        self.assertFalse(book.try_withdraw("lm", 9_999))
        self.assertTrue(book.try_withdraw("lm", 10_000))

    def test_pools_have_budgets_of_their_own(self):
        book = retries.FleetRetryBudget(0.0, 10_000, 10)
        while book.try_withdraw("lm", 0):
            continue
        self.assertTrue(book.try_withdraw("app", 0))

"""Tests of calls to plain servers under load, without a network."""

import itertools
import unittest

from mulberryway.policy import call_admission
from mulberryway.policy import server_load_book
from mulberryway.policy import server_loads
from mulberryway.policy import server_selection
from tests import plain_fleet


class OverloadTest(unittest.TestCase):
    """Calls arrive faster than the servers finish them."""

    def check_admitted(self, fleet, per_s, min_fraction):
        """Raise the load in a steady fleet; return the calls of later."""
        fleet.load(100, 0, 2_000)
        fleet.load(per_s, 2_000, 8_000, ranks=(0,), accounts=range(16))
        fleet.run(10_000)
        calls = fleet.list_calls(4_000, 8_000)
        self.assertGreaterEqual(fleet.count_within_target(calls), min_fraction)
        return calls

    def test_half_more_than_the_servers_bear(self):
        """68 VMs, 600 calls/s of 45 ms at 18 places, target 209 ms."""
        calls = self.check_admitted(plain_fleet.Fleet(), 600, 0.7)
        met = sum(0 <= (took_ms or -1) <= 209 for *_, took_ms in calls)
        self.assertGreater(met, 0.7 * 4 * 400)

    def test_short_calls(self):
        """91 VMs, 1,200 calls/s of 22.5 ms at 18 places, 155 ms."""
        fleet = plain_fleet.Fleet(91, 22.5, 155)
        calls = self.check_admitted(fleet, 1_200, 0.7)
        met = sum(0 <= (took_ms or -1) <= 155 for *_, took_ms in calls)
        self.assertGreater(met, 0.7 * 4 * 800)

    def test_accounts_are_served_alike(self):
        """Overload by accounts of which one is large."""
        fleet = plain_fleet.Fleet()
        fleet.load(100, 0, 2_000)
        fleet.load(600, 2_000, 8_000, accounts=(0,) * 8 + tuple(range(1, 9)))
        fleet.run(10_000)
        calls = fleet.list_calls(3_000, 8_000)
        served = sum(call[3] is not None for call in calls) / len(calls)
        for account in range(9):
            own = [call for call in calls if call[2] == account]
            part = sum(call[3] is not None for call in own) / len(own)
            self.assertGreater(part, 0.7 * served, account)

    def test_lower_ranks_are_refused_first(self):
        """Overload by two ranks, of which the higher one fits."""
        fleet = plain_fleet.Fleet()
        fleet.load(100, 0, 2_000, ranks=(0, 2))
        fleet.load(600, 2_000, 10_000, ranks=(0, 2))
        fleet.run(12_000)
        calls = fleet.list_calls(5_000, 10_000)
        parts = {}
        for rank in (0, 2):
            own = [call for call in calls if call[1] == rank]
            parts[rank] = sum(call[3] is not None for call in own) / len(own)
        served = sum(call[3] is not None for call in calls) / len(calls)
        self.assertGreater(parts[0], parts[2] + 0.2)
        self.assertGreater(parts[2], 0.25 * served)

    def test_load_that_the_servers_just_bear(self):
        """400 calls/s of 45 ms at 18 places, which can run 400."""
        calls = self.check_admitted(plain_fleet.Fleet(), 400, 0.85)
        refused = sum(call[3] is None for call in calls)
        self.assertLess(refused, 0.1 * len(calls))

    def test_no_refusal_beside_free_room(self):
        """Calls of one zone's VMs alone, which three servers bear."""
        fleet = plain_fleet.Fleet()
        fleet.load(100, 0, 2_000)
        fleet.load(250, 2_000, 8_000, vms=range(0, 66, 3))
        fleet.run(10_000)
        calls = fleet.list_calls(3_000, 8_000)
        refused = sum(call[3] is None for call in calls)
        self.assertLess(refused, 0.01 * len(calls))
        self.assertGreater(fleet.count_within_target(calls), 0.9)

    def test_end_of_the_overload(self):
        """A burst that ends; nobody is refused long afterwards."""
        fleet = plain_fleet.Fleet()
        fleet.load(100, 0, 2_000)
        fleet.load(600, 2_000, 5_000)
        fleet.load(100, 5_000, 8_000)
        fleet.run(9_000)
        calls = fleet.list_calls(6_000, 8_000)
        self.assertNotIn(None, [call[3] for call in calls])


class SpreadTest(unittest.TestCase):
    """The choice among servers by news that is old."""

    def test_no_herd_on_old_news(self):
        """A burst, while all VMs see the same server idle."""
        fleet = plain_fleet.Fleet()
        fleet.load(380, 0, 6_000)
        fleet.run(2_000)
        fleet.servers["s0"].rejects = True
        fleet.run(2_500)
        fleet.servers["s0"].rejects = False
        before = fleet.servers["s0"].received
        fleet.run(6_000)
        calls = fleet.list_calls(3_000, 6_000)
        turned_away = sum(call[3] == -1 for call in calls)
        self.assertLess(turned_away, 0.05 * len(calls))
        received = fleet.servers["s0"].received - before
        self.assertGreater(received, 0.2 * 3.5 * 380)

    def test_server_that_rejects_at_once(self):
        """A server turns all calls away at once and looks fast."""
        fleet = plain_fleet.Fleet()
        fleet.load(150, 0, 8_000)
        fleet.run(2_000)
        fleet.servers["s1"].rejects = True
        fleet.run(8_000)
        calls = fleet.list_calls(3_000, 8_000)
        turned_away = sum(call[3] == -1 for call in calls)
        self.assertLess(turned_away, 0.1 * len(calls))

    def test_server_that_is_slow_by_five(self):
        """150 calls/s at three servers, of which one becomes slow."""
        fleet = plain_fleet.Fleet()
        fleet.load(150, 0, 10_000)
        fleet.run(2_000)
        fleet.servers["s1"].work_ms *= 5
        before = fleet.servers["s1"].received
        fleet.run(10_000)
        calls = fleet.list_calls(6_000, 10_000)
        self.assertGreater(fleet.count_within_target(calls), 0.85)
        received = fleet.servers["s1"].received - before
        self.assertLess(received, 0.25 * 8 * 150)

    def test_three_servers_with_one_gone(self):
        """200 calls/s at two servers that bear 266, a third is gone."""
        fleet = plain_fleet.Fleet()
        fleet.load(200, 0, 8_000)
        fleet.run(2_000)
        fleet.set_servers(("s0", "s2"))
        fleet.run(8_000)
        calls = fleet.list_calls(3_000, 8_000)
        self.assertGreater(fleet.count_within_target(calls), 0.9)
        self.assertLess(
            sum(call[3] is None for call in calls), 0.02 * len(calls)
        )

    def test_idle_servers_are_chosen_by_zone(self):
        """A third of what the servers bear, evenly over the zones."""
        fleet = plain_fleet.Fleet()
        fleet.load(100, 0, 10_000)
        fleet.run(10_000)
        for server in fleet.servers.values():
            self.assertGreater(server.received, 0.2 * 10 * 100)

    def test_unknown_concurrency(self):
        """Overload at servers that do not report their places."""
        fleet = plain_fleet.Fleet(slots=0)
        fleet.load(100, 0, 2_000)
        fleet.load(600, 2_000, 8_000)
        fleet.run(10_000)
        calls = fleet.list_calls(4_000, 8_000)
        self.assertGreater(fleet.count_within_target(calls), 0.5)


class AdmissionTest(unittest.TestCase):
    """What one VM refuses."""

    def setUp(self):
        fleet = plain_fleet.Fleet(vms=0)
        self.pool = fleet.pool
        self.book = server_load_book.ServerLoadBook("vm0", 1)
        self.selector = server_selection.ServerSelector("a", book=self.book)
        self.numbers = itertools.count()

    def report(self, in_flight, now_ms, started=0):
        for name in ("s0", "s1", "s2"):
            self.book.record_report(
                server_loads.ServerLoadReport(
                    "vm1",
                    1,
                    next(self.numbers),
                    [
                        server_loads.ServerLoad(
                            plain_fleet.POOL,
                            name,
                            in_flight,
                            started,
                            0,
                            started * 45,
                        )
                    ],
                ),
                now_ms,
            )

    def admit(self, now_ms, deadline_ms=2_600):
        needs = call_admission.CallNeeds(
            209, deadline_ms, 0, f"r{next(self.numbers)}"
        )
        return self.selector.admit(self.pool, needs, now_ms)

    def fill(self):
        """Report full servers, and far more calls than they finish."""
        for now_ms in range(0, 2_000, 100):
            self.report(30, now_ms, 40)

    def test_refused_at_once_if_it_cannot_be_in_time(self):
        """The queues are longer than the deadline allows."""
        self.fill()
        self.assertGreater(self.admit(2_000, 100), 0)

    def test_return_is_spread_and_grows_with_the_queue(self):
        """Many callers are refused together."""
        self.fill()
        waits = {self.admit(2_000, 100) for _ in range(20)}
        self.assertGreater(len(waits), 10)
        self.report(12, 2_100)
        shorter = {self.admit(2_100, 50) for _ in range(20)}
        self.assertLess(max(shorter), max(waits))

    def test_nothing_is_refused_on_old_news(self):
        """Full servers by news of a VM that hears nothing any more."""
        self.fill()
        self.assertIsNone(self.admit(3_100, 100))

    def test_nothing_is_refused_alone(self):
        """Calls of a VM that no other VM is known to."""
        for now_ms in range(1_000):
            self.selector.choose(self.pool, frozenset(), now_ms)
        self.assertIsNone(self.admit(1_000))

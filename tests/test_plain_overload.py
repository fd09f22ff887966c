"""Tests of calls to plain servers under load, without a network.

Many VMs choose by reports that arrive late; the servers have places and a
queue each.
"""

import collections
import heapq
import itertools
import random
import unittest

from mulberryway import tables
from mulberryway.policy import call_admission
from mulberryway.policy import server_load_book
from mulberryway.policy import server_loads
from mulberryway.policy import server_selection

End = server_selection.CallOutcome
POOL = "app"
ZONES = ("a", "b", "c")
PLACES = 6
QUEUE = 24
MIN_DELAY_MS, MAX_DELAY_MS = 100, 300


class Server:
    """A server that runs some calls at once and queues some more."""

    def __init__(self, work_ms):
        self.work_ms = work_ms
        self.running = 0
        self.waiting = collections.deque()
        self.rejects = False
        self.received = 0


class Fleet:
    """VMs, their servers and the events between them, in order of time."""

    def __init__(self, vms=68, work_ms=45.0, target_ms=209, slots=PLACES):
        self.random = random.Random(7)
        self.target_ms = target_ms
        self.now_ms = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.servers = {f"s{n}": Server(work_ms) for n in range(3)}
        self.set_servers(self.servers, slots)
        self.books = []
        self.selectors = []
        for number in range(vms):
            book = server_load_book.ServerLoadBook(f"vm{number}", 1)
            book.set_vm_count(vms)
            self.books.append(book)
            self.selectors.append(
                server_selection.ServerSelector(
                    ZONES[number % 3], book=book, random_=self.random
                )
            )
            self.at(
                self.random.uniform(0, book.interval_ms), self.report, number
            )
        # Of each call: its start, rank, account and duration; no duration if
        # it was refused, a negative one if it was turned away.
        self.calls = []

    def set_servers(self, names, slots=PLACES):
        rows = tuple(
            tables.Upstream(
                name,
                "10.0.0.1:1",
                ZONES[int(name[1])],
                tables.UpstreamRole.SERVICE,
                slots=slots,
            )
            for name in names
        )
        self.pool = tables.Pool(POOL, tables.PoolKind.PLAIN, rows)

    def at(self, delay_ms, action, *arguments):
        heapq.heappush(
            self.events,
            (self.now_ms + delay_ms, next(self.numbers), action, arguments),
        )

    def run(self, until_ms):
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now_ms = until_ms

    def load(self, per_s, from_ms, to_ms, vms=None, ranks=(0,), accounts=(0,)):
        """Make calls at random times."""
        at_ms = float(from_ms)
        while at_ms < to_ms:
            self.at(
                at_ms - self.now_ms,
                self.call,
                self.random.choice(vms or range(len(self.books))),
                self.random.choice(ranks),
                self.random.choice(accounts),
            )
            at_ms += self.random.expovariate(per_s / 1_000)

    def report(self, number):
        book = self.books[number]
        report = book.make_report(int(self.now_ms))
        if report is not None:
            self.at(
                self.random.uniform(MIN_DELAY_MS, MAX_DELAY_MS),
                self.deliver,
                report,
            )
        self.at(book.interval_ms, self.report, number)

    def deliver(self, report):
        for book in self.books:
            book.record_report(report, int(self.now_ms))

    def call(self, vm, rank, account):
        started_ms = self.now_ms
        needs = call_admission.CallNeeds(
            self.target_ms, 2_600, rank, f"r{next(self.numbers)}"
        )
        selector = self.selectors[vm]
        if selector.admit(self.pool, needs, int(started_ms)) is not None:
            self.calls.append((started_ms, rank, account, None))
            return
        row = selector.choose(self.pool, frozenset(), int(started_ms))
        server = self.servers[row.name]
        server.received += 1

        def end(outcome):
            took_ms = self.now_ms - started_ms
            selector.finish(
                self.pool, row, outcome, int(took_ms), int(self.now_ms)
            )
            is_done = outcome is End.DONE
            self.calls.append(
                (started_ms, rank, account, took_ms if is_done else -1.0)
            )

        if server.rejects or len(server.waiting) >= QUEUE:
            end(End.REJECTED)
        elif server.running < PLACES:
            self.start(server, end)
        else:
            server.waiting.append(end)

    def start(self, server, end):
        server.running += 1
        work_ms = server.work_ms * self.random.gammavariate(4, 0.25)
        self.at(work_ms, self.finish, server, end)

    def finish(self, server, end):
        server.running -= 1
        end(End.DONE)
        if server.waiting:
            self.start(server, server.waiting.popleft())

    def list_calls(self, from_ms, to_ms):
        return [call for call in self.calls if from_ms <= call[0] < to_ms]

    def count_within_target(self, calls):
        """Return the part of the calls let in that met the target."""
        admitted = [call[3] for call in calls if call[3] is not None]
        met = sum(0 <= took_ms <= self.target_ms for took_ms in admitted)
        return met / len(admitted)


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
        """Load: 68 VMs, 600 calls/s of 45 ms at 18 places, target 209 ms."""
        calls = self.check_admitted(Fleet(), 600, 0.7)
        met = sum(0 <= (took_ms or -1) <= 209 for *_, took_ms in calls)
        self.assertGreater(met, 0.7 * 4 * 400)

    def test_short_calls(self):
        """Load: 91 VMs, 1,200 calls/s of 22.5 ms at 18 places, 155 ms."""
        fleet = Fleet(91, 22.5, 155)
        calls = self.check_admitted(fleet, 1_200, 0.7)
        met = sum(0 <= (took_ms or -1) <= 155 for *_, took_ms in calls)
        self.assertGreater(met, 0.7 * 4 * 800)

    def test_accounts_are_served_alike(self):
        """Load: overload by accounts of which one is large."""
        fleet = Fleet()
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
        """Load: overload by two ranks, of which the higher one fits."""
        fleet = Fleet()
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
        """Load: 400 calls/s of 45 ms at 18 places, which can run 400."""
        calls = self.check_admitted(Fleet(), 400, 0.85)
        refused = sum(call[3] is None for call in calls)
        self.assertLess(refused, 0.1 * len(calls))

    def test_no_refusal_beside_free_room(self):
        """Load: calls of one zone's VMs alone, which three servers bear."""
        fleet = Fleet()
        fleet.load(100, 0, 2_000)
        fleet.load(250, 2_000, 8_000, vms=range(0, 66, 3))
        fleet.run(10_000)
        calls = fleet.list_calls(3_000, 8_000)
        refused = sum(call[3] is None for call in calls)
        self.assertLess(refused, 0.01 * len(calls))
        self.assertGreater(fleet.count_within_target(calls), 0.9)

    def test_end_of_the_overload(self):
        """Load: a burst that ends; nobody is refused long afterwards."""
        fleet = Fleet()
        fleet.load(100, 0, 2_000)
        fleet.load(600, 2_000, 5_000)
        fleet.load(100, 5_000, 8_000)
        fleet.run(9_000)
        calls = fleet.list_calls(6_000, 8_000)
        self.assertNotIn(None, [call[3] for call in calls])


class SpreadTest(unittest.TestCase):
    """The choice among servers by news that is old."""

    def test_no_herd_on_old_news(self):
        """Load: a burst, while all VMs see the same server idle."""
        fleet = Fleet()
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
        """Load: a server turns all calls away at once and looks fast."""
        fleet = Fleet()
        fleet.load(150, 0, 8_000)
        fleet.run(2_000)
        fleet.servers["s1"].rejects = True
        fleet.run(8_000)
        calls = fleet.list_calls(3_000, 8_000)
        turned_away = sum(call[3] == -1 for call in calls)
        self.assertLess(turned_away, 0.1 * len(calls))

    def test_server_that_is_slow_by_five(self):
        """Load: 150 calls/s at three servers, of which one becomes slow."""
        fleet = Fleet()
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
        """Load: 200 calls/s at two servers that bear 266, a third is gone."""
        fleet = Fleet()
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
        """Load: a third of what the servers bear, evenly over the zones."""
        fleet = Fleet()
        fleet.load(100, 0, 10_000)
        fleet.run(10_000)
        for server in fleet.servers.values():
            self.assertGreater(server.received, 0.2 * 10 * 100)

    def test_unknown_concurrency(self):
        """Load: overload at servers that do not report their places."""
        fleet = Fleet(slots=0)
        fleet.load(100, 0, 2_000)
        fleet.load(600, 2_000, 8_000)
        fleet.run(10_000)
        calls = fleet.list_calls(4_000, 8_000)
        self.assertGreater(fleet.count_within_target(calls), 0.5)


class AdmissionTest(unittest.TestCase):
    """What one VM refuses."""

    def setUp(self):
        fleet = Fleet(vms=0)
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
                            POOL, name, in_flight, started, 0, started * 45
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
        """Load: the queues are longer than the deadline allows."""
        self.fill()
        self.assertGreater(self.admit(2_000, 100), 0)

    def test_return_is_spread_and_grows_with_the_queue(self):
        """Load: many callers are refused together."""
        self.fill()
        waits = {self.admit(2_000, 100) for _ in range(20)}
        self.assertGreater(len(waits), 10)
        self.report(12, 2_100)
        shorter = {self.admit(2_100, 50) for _ in range(20)}
        self.assertLess(max(shorter), max(waits))

    def test_nothing_is_refused_on_old_news(self):
        """Load: full servers by news of a VM that hears nothing any more."""
        self.fill()
        self.assertIsNone(self.admit(3_100, 100))

    def test_nothing_is_refused_alone(self):
        """Load: calls of a VM that no other VM is known to."""
        for now_ms in range(1_000):
            self.selector.choose(self.pool, frozenset(), now_ms)
        self.assertIsNone(self.admit(1_000))

"""A fleet of VMs that call plain servers, for tests without a network.

Many VMs choose by reports that arrive late; the servers have places and a
queue each.
"""

import collections
import heapq
import itertools
import random

from mulberryway import tables
from mulberryway.policy import call_admission
from mulberryway.policy import server_load_book
from mulberryway.policy import server_selection
from mulberryway.policy import zone_overflow

__all__ = ["Fleet", "POOL", "ZONES"]

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
        self.is_dead = False
        self.received = 0


class Fleet:
    """VMs, their servers and the events between them, in order of time.

    :param decides_zones: whether calls leave their zone only where that pays
    :param delays_ms: least and greatest delay of a report
    """

    def __init__(
        self,
        vms=68,
        work_ms=45.0,
        target_ms=209,
        slots=PLACES,
        decides_zones=False,
        seed=7,
        delays_ms=(MIN_DELAY_MS, MAX_DELAY_MS),
    ):
        self.random = random.Random(seed)
        self.delays_ms = delays_ms
        self.target_ms = target_ms
        self.now_ms = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.servers = {f"s{n}": Server(work_ms) for n in range(3)}
        self.set_servers(self.servers, slots)
        self.books = []
        self.selectors = []
        self.overflows = []
        for number in range(vms):
            book = server_load_book.ServerLoadBook(f"vm{number}", 1)
            book.set_vm_count(vms)
            self.books.append(book)
            zone = ZONES[number % 3] if decides_zones else ""
            self.overflows.append(zone_overflow.ZoneOverflow(zone))
            self.selectors.append(
                server_selection.ServerSelector(
                    ZONES[number % 3],
                    book=book,
                    zones=self.overflows[-1],
                    random_=self.random,
                )
            )
            self.at(
                self.random.uniform(0, book.interval_ms), self.report, number
            )
        # Of each call: its start, rank, account and duration; no duration if
        # it was refused, a negative one if it was turned away.
        self.calls = []
        # Of each call that was sent: its start, the zones of its VM and of
        # its server, and its duration as above.
        self.sent = []

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
                self.random.uniform(*self.delays_ms),
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
            took_ms = took_ms if is_done else -1.0
            self.calls.append((started_ms, rank, account, took_ms))
            self.sent.append((started_ms, ZONES[vm % 3], row.zone, took_ms))

        if server.is_dead:
            end(End.UNREACHED)
        elif server.rejects or len(server.waiting) >= QUEUE:
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

    def count_left(self, zone, from_ms, to_ms):
        """Return the part of a zone's calls that went to another zone."""
        calls = [
            call
            for call in self.sent
            if call[1] == zone and from_ms <= call[0] < to_ms
        ]
        return sum(call[2] != zone for call in calls) / len(calls)

    def count_in_target(self, zone, from_ms, to_ms):
        """Return the part of a zone's calls sent that met the target."""
        calls = [
            call[3]
            for call in self.sent
            if call[1] == zone and from_ms <= call[0] < to_ms
        ]
        met = sum(0 <= took_ms <= self.target_ms for took_ms in calls)
        return met / len(calls)

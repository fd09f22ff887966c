"""Tests of rate limits that upstreams name, over all VMs of a fleet."""

import heapq
import itertools
import random
import unittest

from mulberryway import clock
from mulberryway import tables
from mulberryway.controllers import fleet_shares
from mulberryway.objects import position
from mulberryway.policy import advisories
from mulberryway.policy import cold_start
from mulberryway.policy import rate_limits
from mulberryway.policy import request_window
from mulberryway.policy import send_limits
from mulberryway.policy import server_selection
from tests import advisory_fleet

SERVER = "s0"
WINDOW_MS = rate_limits.WINDOW_MS
TOLD_MS = advisory_fleet.TOLD_MS
SEEDS = 5


def make_shares(vm="vm0", vms=("vm0",)):
    shares = cold_start.FleetShares(vm)
    shares.vms, shares.is_complete = frozenset(vms), True
    return shares


def make_register(vm="vm0", vms=("vm0",)):
    return advisories.AdvisoryRegister(make_shares(vm, vms))


def make_pool(servers=3, started_ms=0):
    rows = tuple(
        tables.Upstream(
            f"s{n}",
            f"10.0.0.{n}:1",
            "a",
            tables.UpstreamRole.SERVICE,
            started_ms=started_ms,
        )
        for n in range(servers)
    )
    return tables.Pool("app", tables.PoolKind.PLAIN, rows)


def name_limit(register, rate, sent_ms, now_ms, server=SERVER):
    advisory = advisories.Advisory(sent_ms, rate, ends_limit=rate is None)
    return register.record_rate(server, advisory, now_ms)


def count_allowed(rate):
    return int(1.5 * rate * 4 + 5)


class WindowTest(unittest.TestCase):
    def test_wait_ends_when_a_request_is_allowed(self):
        window = request_window.RequestWindow(1_000)
        for now_ms in (0, 100, 300):
            window.record_choice(now_ms)
        window.record_send(400)
        for limit, wait_ms in ((3, 600), (2, 700), (1, 1_000), (4, 0)):
            self.assertEqual(window.get_wait_ms(limit, 400), wait_ms)
            self.assertLess(window.count(400 + wait_ms), limit)


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.register = make_register()

    def test_overtaken_response_does_not_end_a_limit(self):
        """Guards against a response that was written before the limit was
        named and arrives after it.
        """
        name_limit(self.register, 2.0, 100, 200)
        self.assertIsNone(name_limit(self.register, None, 150, 300))
        self.assertIsNotNone(name_limit(self.register, None, 200, 400))
        self.assertEqual(self.register.rate_limits.count(), 0)

    def test_overtaken_response_does_not_raise_a_limit(self):
        name_limit(self.register, 1.0, 100, 200)
        self.assertIsNone(name_limit(self.register, 5.0, 150, 300))
        change = name_limit(self.register, 5.0, 250, 350)
        self.assertEqual((change.previous_per_s, change.rate_per_s), (1, 5))

    def test_raised_limit_holds_under_steady_load(self):
        """Guards against overtaking responses that keep a limit from being
        raised for good, because each of them counts as news of the old one.
        """
        name_limit(self.register, 1.0, 0, 100)
        changes = [
            name_limit(self.register, 5.0, now_ms - 90, now_ms)
            for now_ms in range(110, 300, 10)
        ]
        self.assertEqual(1, sum(change is not None for change in changes))

    def test_rejection_does_not_end_a_limit(self):
        name_limit(self.register, 1.0, 0, 100)
        change = self.register.record_rate(
            SERVER, advisories.Advisory(200), 300
        )
        self.assertIsNone(change)
        self.assertEqual(self.register.rate_limits.count(), 1)

    def test_restart_ends_a_limit(self):
        """Guards against a limit that outlives its server's incarnation."""
        for started_ms, count in ((5, 1), (5, 1), (6, 0)):
            pool = make_pool(started_ms=started_ms)
            self.register.update_tables(tables.Tables(1, (), (pool,), ()))
            if started_ms == 5:
                name_limit(self.register, 1.0, 0, 100)
            self.assertEqual(self.register.rate_limits.count(), count)

    def test_missing_entry_does_not_end_a_limit(self):
        """Guards against a limit that is forgotten while the store has lost
        its server's entry.
        """
        for servers in (1, 0, 1):
            pool = make_pool(servers, started_ms=5)
            self.register.update_tables(tables.Tables(1, (), (pool,), ()))
            if servers:
                name_limit(self.register, 1.0, 0, 100)
        self.assertEqual(self.register.rate_limits.count(), 1)

    def test_memory_is_bounded(self):
        for number in range(send_limits.MAX_UPSTREAMS + 10):
            name_limit(self.register, 1.0, 0, 0, f"s{number}")
        self.assertEqual(
            self.register.rate_limits.count(), send_limits.MAX_UPSTREAMS
        )


class ShareTest(unittest.TestCase):
    def test_shares_add_up_to_the_limit(self):
        for rate, count in itertools.product(
            (0, 0.1, 0.5, 2.3, 12), (1, 6, 76, 200)
        ):
            vms = [f"vm{n}" for n in range(count)]
            registers = [make_register(vm, vms) for vm in vms]
            for register in registers:
                name_limit(register, rate, 0, 0)
            sent = sum(
                register.try_send(SERVER, 0)
                for register in registers
                for _ in range(100)
            )
            self.assertEqual(sent, max(int(4 * rate), 1))
            self.assertLessEqual(sent, count_allowed(rate))

    def test_large_limit_changes_nothing(self):
        register = make_register()
        name_limit(register, 1e6, 0, 0)
        self.assertTrue(
            all(register.try_send(SERVER, now) for now in range(4_000))
        )

    def test_no_share_before_the_fleet_is_known(self):
        """Guards against a VM that starts and takes a whole limit."""
        register = advisories.AdvisoryRegister(cold_start.FleetShares("vm0"))
        name_limit(register, 2.3, 0, 0)
        self.assertFalse(register.try_send(SERVER, 0))

    def test_one_vm_after_another_asks_a_silent_server(self):
        """Guards against VMs without a share that never hear that a limit has
        ended, and against VMs that all ask at once.
        """
        vms = [f"vm{n}" for n in range(50)]
        registers = [make_register(vm, vms) for vm in vms]
        for register in registers:
            name_limit(register, 0.5, 0, 0)
        asked = {
            now_ms: sum(
                register.has_room(SERVER, now_ms) for register in registers
            )
            for now_ms in range(0, 60_000, 100)
        }
        # Two have a share.
        self.assertEqual(asked[rate_limits.SILENCE_MS - 100], 2)
        later_ms = rate_limits.SILENCE_MS + 10 * rate_limits.PROBE_INTERVAL_MS
        self.assertEqual(asked[later_ms], 11)
        self.assertEqual(asked[59_900], 50)

    def test_dead_vms_lose_their_shares(self):
        """Guards against shares that shrink with each VM that is replaced."""
        clock_ = clock.ManualClock()
        shares = cold_start.FleetShares("vm0")
        updater = fleet_shares.FleetSharesUpdater(
            shares, lambda: True, clock_, fleet_shares.DEAD_VM_TTL_MS
        )
        updater.record_known(("vm0", "vm1"))
        clock_.advance_ms(fleet_shares.SETTLE_MS)
        updater.record_known(("vm0",))
        self.assertEqual(4, shares.compute(8, SERVER))
        clock_.advance_ms(fleet_shares.DEAD_VM_TTL_MS)
        updater.record_known(("vm0",))
        self.assertEqual(8, shares.compute(8, SERVER))


class ColdServerTest(unittest.TestCase):
    def test_the_smaller_bound_holds(self):
        """Guards against a limit that replaces that of a cold server, and the
        other way round.
        """
        for rate, sent in ((100, 8), (1, 4)):
            register = make_register()
            limiter = cold_start.ColdStartLimiter(
                make_shares(), cold_start.ColdStartLimits(1.0, 0)
            )
            row = tables.Upstream(
                SERVER,
                "10.0.0.1:1",
                "a",
                tables.UpstreamRole.SERVICE,
                cold_left_ms=3_000,
                position_=position.Position(1, 1),
            )
            pool = tables.Pool(
                "app",
                tables.PoolKind.PLAIN,
                (row,),
                cold_requests_per_s=10.0,
                cold_ms=3_000,
            )
            limiter.update_pool(pool, 0)
            name_limit(register, rate, 0, 0)
            limits = send_limits.CombinedSendLimits((limiter, register))
            count = sum(limits.try_send(SERVER, 0) for _ in range(50))
            self.assertEqual(count, sent)


class SelectorTest(unittest.TestCase):
    def setUp(self):
        self.register = make_register()
        self.selector = server_selection.ServerSelector(
            "a", limits=self.register
        )
        self.pool = make_pool()

    def choose(self, now_ms=0):
        return self.selector.choose(self.pool, frozenset(), now_ms)

    def test_other_servers_take_the_rest(self):
        name_limit(self.register, 0.5, 0, 0)
        chosen = [self.choose().name for _ in range(60)]
        self.assertEqual(chosen.count(SERVER), 2)

    def test_nothing_is_chosen_if_all_have_got_their_requests(self):
        for server in ("s0", "s1", "s2"):
            name_limit(self.register, 0.25, 0, 0, server)
        chosen = [self.choose() for _ in range(5)]
        self.assertEqual(
            [row is None for row in chosen], [False] * 3 + [True] * 2
        )
        wait_ms = self.selector.get_wait_ms(self.pool, 1_000)
        self.assertEqual(wait_ms, WINDOW_MS - 1_000)
        self.assertIsNotNone(self.choose(1_000 + wait_ms))


class FleetModel:
    """VMs before one server that names a limit, without sockets.

    :param random_: seeded random generator
    :param vms: the number of VMs
    :param rate: the limit that the server names from the start on
    :param weights: the share of all callers at each VM
    :param has_gossip: whether VMs hear what others have heard
    """

    RESPONSE_MS = (20, 200)
    GOSSIP_MS = (20, 1_000)

    def __init__(self, random_, vms, rate, weights, has_gossip=True):
        names = [f"vm{n}" for n in range(vms)]
        self.registers = [make_register(name, names) for name in names]
        self.random = random_
        self.rate = rate
        self.weights = weights
        self.has_gossip = has_gossip
        self.told = {}
        self.arrivals = []
        self.events = []
        self.numbers = itertools.count()

    def run(self, calls_per_s, until_ms):
        """Let callers arrive; return the times of the counted requests."""
        at_ms = 0.0
        while at_ms < until_ms:
            at_ms += self.random.expovariate(calls_per_s / 1_000)
            self._push(int(at_ms), self._send)
        while self.events:
            now_ms, _, action, arguments = heapq.heappop(self.events)
            action(now_ms, *arguments)
        return [
            at_ms
            for at_ms, vm in self.arrivals
            if at_ms >= self.told.get(vm, at_ms) + TOLD_MS
        ]

    def end_limit(self, at_ms):
        """Let the server name no limit any more from a moment on."""
        self._push(at_ms, lambda now_ms: setattr(self, "rate", None))

    def _push(self, at_ms, action, *arguments):
        heapq.heappush(
            self.events, (at_ms, next(self.numbers), action, arguments)
        )

    def _send(self, now_ms):
        vm = self.random.choices(range(len(self.registers)), self.weights)[0]
        if self.registers[vm].try_send(SERVER, now_ms):
            self.arrivals.append((now_ms, vm))
            delay_ms = self.random.randint(*self.RESPONSE_MS)
            self._push(now_ms + delay_ms, self._hear, vm, now_ms)

    def _hear(self, now_ms, vm, sent_ms):
        self.told.setdefault(vm, now_ms)
        register = self.registers[vm]
        advisory = advisories.Advisory(
            sent_ms, self.rate, ends_limit=self.rate is None
        )
        change = register.record_rate(SERVER, advisory, now_ms)
        news = register.make_news(SERVER, advisory, change, now_ms)
        if news is not None and self.has_gossip:
            for other in range(len(self.registers)):
                delay_ms = self.random.randint(*self.GOSSIP_MS)
                self._push(now_ms + delay_ms, self._take, other, news, now_ms)

    def _take(self, now_ms, vm, news, made_ms):
        received = rate_limits.RateLimitNews(
            news.upstream,
            news.started_ms,
            news.rate_per_s,
            news.age_ms + now_ms - made_ms,
        )
        self.registers[vm].record_news(received, now_ms)


class FleetModelTest(unittest.TestCase):
    def check(self, vms, rate, weigh=lambda number: 1.0, **options):
        allowed = count_allowed(rate)
        weights = [weigh(number) for number in range(vms)]
        for seed in range(SEEDS):
            model = FleetModel(
                random.Random(seed), vms, rate, weights, **options
            )
            times = model.run(60, 20_000)
            with self.subTest(vms=vms, rate=rate, seed=seed):
                self.assertLessEqual(advisory_fleet.count_most(times), allowed)

    def test_even_load(self):
        for vms, rate in ((6, 2.3), (76, 0.5), (200, 0.5), (200, 4)):
            self.check(vms, rate)

    def test_uneven_load(self):
        """Guards against a limit that holds only if callers are spread."""
        for vms, rate in ((6, 2.3), (76, 0.5), (200, 4)):
            self.check(vms, rate, lambda number: 0.5**number)

    def test_vms_that_hear_nothing_of_each_other(self):
        """Guards against shares that depend on messages between VMs."""
        for vms, rate in ((6, 2.3), (76, 0.5), (200, 4)):
            self.check(vms, rate, has_gossip=False)

    def test_all_vms_hear_that_a_limit_has_ended(self):
        for seed in range(SEEDS):
            model = FleetModel(random.Random(seed), 76, 0.5, [1.0] * 76)
            model.end_limit(8_000)
            model.run(60, 30_000)
            limited = sum(one.rate_limits.count() for one in model.registers)
            with self.subTest(seed=seed):
                self.assertEqual(limited, 0)

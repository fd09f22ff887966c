"""Tests of the limit on requests to servers after their cold start."""

import collections
import itertools
import random
import unittest

from mulberryway import clock
from mulberryway import tables
from mulberryway.controllers import fleet_shares
from mulberryway.objects import position
from mulberryway.policy import cold_start
from mulberryway.policy import scheduler
from mulberryway.policy import server_selection
from tests import policy_cases

LIMITS = cold_start.ColdStartLimits(1.5, 5)
SEEDS = 40
STEP_MS = 10


def make_pool(cold_left_ms, revision=1, rate=31.0, servers=2, **options):
    rows = tuple(
        tables.Upstream(
            f"s{n}",
            f"10.0.0.{n}:1",
            "a",
            tables.UpstreamRole.SERVICE,
            cold_left_ms=0 if n else cold_left_ms,
            position_=position.Position(1, revision),
        )
        for n in range(servers)
    )
    return tables.Pool(
        "app",
        tables.PoolKind.PLAIN,
        rows,
        cold_requests_per_s=rate,
        cold_ms=3_000,
        **options,
    )


def make_stream(job_id, now_ms=0):
    return policy_cases.make_job(
        job_id, now_ms=now_ms, within_ms=8_000, pool="llm", prompt_tokens=10
    )


def make_shares(vm="vm0", vms=("vm0",)):
    shares = cold_start.FleetShares(vm)
    shares.vms, shares.is_complete = frozenset(vms), True
    return shares


def count_most(times):
    """Return the highest number of times within one second."""
    times, first, most = sorted(times), 0, 0
    for last, at_ms in enumerate(times):
        while at_ms - times[first] >= cold_start.WINDOW_MS:
            first += 1
        most = max(most, last - first + 1)
    return most


class FleetSharesTest(unittest.TestCase):
    def test_shares_add_up_to_the_limit(self):
        for limit, count in itertools.product(
            (1, 9, 41, 400), (1, 6, 76, 200)
        ):
            vms = [f"vm{n}" for n in range(count)]
            shares = [make_shares(vm, vms).compute(limit, "s0") for vm in vms]
            self.assertEqual(sum(shares), limit)
            self.assertLessEqual(max(shares) - min(shares), 1)

    def test_rest_goes_to_other_vms_for_other_servers(self):
        vms = [f"vm{n}" for n in range(200)]
        chosen = {
            server: {
                vm for vm in vms if make_shares(vm, vms).compute(9, server)
            }
            for server in ("s0", "s1", "s2")
        }
        self.assertEqual({9}, set(map(len, chosen.values())))
        self.assertGreater(len(set().union(*chosen.values())), 18)

    def test_no_share_before_the_fleet_is_known(self):
        """Guards against VMs that start together and each take the whole
        limit.
        """
        clock_ = clock.ManualClock()
        shares = cold_start.FleetShares("vm0")
        updater = fleet_shares.FleetSharesUpdater(shares, lambda: True, clock_)
        updater.record_known(("vm0", "vm1"))
        self.assertEqual(0, shares.compute(8, "s0"))
        clock_.advance_ms(fleet_shares.SETTLE_MS)
        updater.record_known(("vm0", "vm1"))
        self.assertEqual(4, shares.compute(8, "s0"))
        updater.record_listed([f"vm{n}" for n in range(8)])
        self.assertEqual(1, shares.compute(8, "s0"))

    def test_no_share_in_the_window_of_a_previous_incarnation(self):
        clock_ = clock.ManualClock()
        shares = cold_start.FleetShares("vm0")
        updater = fleet_shares.FleetSharesUpdater(shares, lambda: True, clock_)
        updater.record_listed(["vm0"])
        self.assertEqual(0, shares.compute(8, "s0"))
        clock_.advance_ms(cold_start.WINDOW_MS)
        updater.record_known(("vm0",))
        self.assertEqual(8, shares.compute(8, "s0"))


class InformedTest(unittest.TestCase):
    def test_vm_is_informed_until_it_hears_nobody_for_long(self):
        """Guards against a VM that takes all servers for cold just after its
        start, when it has not heard another VM yet.
        """
        clock_ = clock.ManualClock()
        shares = cold_start.FleetShares("vm0")
        heard = [False]
        updater = fleet_shares.FleetSharesUpdater(
            shares, lambda: heard[0], clock_
        )
        updater.record_known(("vm0",))
        self.assertTrue(shares.is_informed)
        clock_.advance_ms(fleet_shares.INFORMATION_TTL_MS)
        updater.record_known(("vm0",))
        self.assertFalse(shares.is_informed)
        heard[0] = True
        updater.record_known(("vm0",))
        self.assertTrue(shares.is_informed)


class LimiterTest(unittest.TestCase):
    def setUp(self):
        self.shares = make_shares()
        self.limiter = cold_start.ColdStartLimiter(self.shares, LIMITS)

    def count_sent(self, now_ms, server="s0"):
        return sum(self.limiter.try_send(server, now_ms) for _ in range(1_000))

    def test_limit_while_cold(self):
        self.limiter.update_pool(make_pool(2_000), 0)
        self.assertEqual(41, self.count_sent(0))
        self.assertEqual(0, self.count_sent(999))
        self.assertEqual(41, self.count_sent(1_000))
        self.assertEqual(1_000, self.count_sent(2_000))

    def test_warm_server_is_not_limited(self):
        self.limiter.update_pool(make_pool(2_000), 0)
        self.assertEqual(1_000, self.count_sent(0, "s1"))

    def test_requests_before_it_became_cold_count(self):
        self.limiter.update_pool(make_pool(0), 0)
        self.assertEqual(1_000, self.count_sent(0))
        self.limiter.update_pool(make_pool(2_000, revision=2), 500)
        self.assertEqual(0, self.count_sent(999))

    def test_report_counts_from_its_receipt(self):
        """Guards against a server that stays cold because each new table
        repeats its last report.
        """
        for now_ms in (0, 1_000, 1_900):
            self.limiter.update_pool(make_pool(2_000), now_ms)
        self.assertEqual(1_000, self.count_sent(2_000))
        self.limiter.update_pool(make_pool(2_000, revision=2), 2_000)
        self.assertEqual(0, self.count_sent(2_001))

    def test_older_row_does_not_make_it_warm(self):
        """Guards against calls that have begun under older tables."""
        self.limiter.update_pool(make_pool(2_000, revision=2), 0)
        self.limiter.update_pool(make_pool(0, revision=1), 0)
        self.assertEqual(41, self.count_sent(0))

    def test_pool_without_a_limit(self):
        self.limiter.update_pool(make_pool(2_000, rate=0.0), 0)
        self.assertEqual(1_000, self.count_sent(0))

    def test_choices_count_until_they_are_sent(self):
        self.limiter.update_pool(make_pool(2_000), 0)
        for _ in range(41):
            self.assertTrue(self.limiter.has_room("s0", 0))
            self.limiter.record_choice("s0", 0)
        self.assertFalse(self.limiter.has_room("s0", 0))
        self.assertTrue(self.limiter.has_share("s0", 0))

    def test_server_that_was_down_is_cold(self):
        """Guards against the usual rate at a server that restarts while the
        store cannot tell so.
        """
        self.limiter.update_pool(make_pool(0), 0)
        self.limiter.expect_restart("s0", 0)
        self.assertEqual(41, self.count_sent(2_999))
        self.assertEqual(1_000, self.count_sent(4_000))

    def test_vm_that_would_not_learn_of_it(self):
        """Guards against the usual rate from a VM that reaches neither the
        store nor another VM.
        """
        self.limiter.update_pool(make_pool(0), 0)
        self.shares.is_informed = False
        self.assertEqual(41, self.count_sent(0))


class SelectionTest(unittest.TestCase):
    def test_calls_go_to_warm_servers(self):
        selector = server_selection.ServerSelector("a", make_shares(), LIMITS)
        pool = make_pool(3_000, rate=3.0)
        found = collections.Counter(
            selector.choose(pool, frozenset(), 0).name for _ in range(40)
        )
        self.assertEqual({"s0": 7, "s1": 33}, found)

    def test_no_server_if_all_are_cold(self):
        selector = server_selection.ServerSelector("a", make_shares(), LIMITS)
        pool = make_pool(3_000, rate=3.0, servers=1)
        found = [selector.choose(pool, frozenset(), 0) for _ in range(8)]
        self.assertEqual(7, sum(row is not None for row in found))


class ReturnedZoneTest(unittest.TestCase):
    """Pattern: a zone serves again, all its engines are cold, and a burst of
    streams waits.
    """

    def setUp(self):
        self.router = scheduler.FairScheduler(
            "vm0",
            shares=make_shares(),
            cold_limits=cold_start.ColdStartLimits(1.0, 0),
        )

    def change(self, cold_left_ms, cold=("p0", "d0"), now_ms=0):
        rows = tuple(
            tables.Upstream(
                name,
                f"10.0.0.{n}:1",
                "a",
                tables.UpstreamRole.PREFILL
                if name.startswith("p")
                else tables.UpstreamRole.DECODE,
                cold_left_ms=cold_left_ms if name in cold else 0,
                position_=position.Position(1, 1),
            )
            for n, name in enumerate(("p0", "p1", "d0", "d1"))
        )
        pool = tables.Pool(
            "llm",
            tables.PoolKind.MODEL,
            rows,
            slots=64,
            cold_requests_per_s=5.0,
            cold_ms=3_000,
        )
        self.router.change_pools({"llm": pool}, now_ms)

    def start(self, count, now_ms):
        """Submit streams and return the engines that they start at."""
        for n in range(count):
            self.router.submit(make_stream(f"{now_ms}-{n}", now_ms), now_ms)
        started = self.router.dispatch(now_ms).assignments
        for item in started:
            self.assertTrue(
                self.router.try_send(item.job_id, item.prefill, now_ms)
            )
            self.assertTrue(
                self.router.try_send(item.job_id, item.decode, now_ms)
            )
        return collections.Counter(
            itertools.chain.from_iterable(
                (item.prefill, item.decode) for item in started
            )
        )

    def test_burst_goes_to_warm_engines(self):
        self.change(3_000)
        found = self.start(40, 0)
        self.assertEqual(sum(found.values()), 80)
        self.assertLessEqual(max(found["p0"], found["d0"]), 4)

    def test_streams_wait_while_all_are_cold(self):
        self.change(3_000, ("p0", "p1", "d0", "d1"))
        found = self.start(40, 0)
        self.assertEqual(sum(found.values()), 16)
        self.assertLessEqual(max(found.values()), 4)
        self.assertEqual(sum(self.start(0, 1_000).values()), 16)

    def test_rejection_without_a_share(self):
        """Guards against streams that wait for engines which this VM may not
        use.
        """
        self.change(3_000, ("p0", "p1", "d0", "d1"))
        self.router._pool_set._shares.is_complete = False
        self.router._pool_set._shares.vms = frozenset(("vm0", "vm1"))
        rejected = self.router.submit(make_stream("r"), 0)
        self.assertTrue(rejected.is_error())

    def test_load_report_is_no_request(self):
        self.change(3_000)
        self.router.record_load("llm", "d0", policy_cases.make_load(), 0)
        self.assertEqual(4, self.start(40, 0)["d0"])


class Vm:
    """One VM of the model that sends to a cold server as fast as it may."""

    def __init__(self, name, pool):
        self.name = name
        self.pool = pool
        self.begin(0)

    def begin(self, now_ms):
        self.shares = cold_start.FleetShares(self.name)
        self.limiter = cold_start.ColdStartLimiter(self.shares, LIMITS)
        self.limiter.update_pool(self.pool, now_ms)
        self.paused_until_ms = now_ms


def play(seed, count, rate):
    """Return how many requests reach the server in the worst second.

    VMs restart one by one and all at once, are paused, are cut off from all
    others, and know of some VMs only later.
    """
    random_ = random.Random(seed)
    pool = make_pool(60_000, rate=rate, servers=1)
    names = [f"vm{n}" for n in range(count)]
    # Up to a fifth of the VMs are known only to themselves and to one another.
    added = set(random_.sample(names, random_.randint(0, count // 5)))
    vms = [Vm(name, pool) for name in names]
    for vm in vms:
        known = names if vm.name in added else set(names) - added
        vm.shares.vms = frozenset(known)
        vm.shares.is_complete = True
    herd_ms = random_.randint(1_000, 4_000)
    sent = []
    for now_ms in range(0, 6_000, STEP_MS):
        for vm in vms:
            if now_ms == herd_ms and random_.random() < 0.6:
                vm.begin(now_ms)
                vm.complete_ms = now_ms + random_.randint(
                    cold_start.WINDOW_MS, 3_000
                )
            if not vm.shares.is_complete and now_ms >= vm.complete_ms:
                vm.shares.vms = frozenset(names)
                vm.shares.is_complete = True
            if random_.random() < 0.002:
                vm.paused_until_ms = now_ms + random_.randint(100, 2_500)
            if now_ms >= vm.paused_until_ms and vm.limiter.try_send(
                "s0", now_ms
            ):
                sent.append(now_ms)
    return count_most(sent), len(sent)


class FleetModelTest(unittest.TestCase):
    def test_limit_over_all_vms(self):
        """Guards against more requests than operators allow, in fleets of any
        size that herds, pauses and wrong membership befall.
        """
        for count, rate in ((6, 31.0), (76, 31.0), (200, 5.0), (3, 1.0)):
            allowed = int(rate * LIMITS.over_part + LIMITS.slack)
            for seed in range(SEEDS // (1 + count // 60)):
                with self.subTest(count=count, rate=rate, seed=seed):
                    most, total = play(seed, count, rate)
                    self.assertLessEqual(most, allowed)
                    self.assertGreater(total, 0)

    def test_model_finds_vms_that_do_not_share(self):
        """The model must fail with VMs that take the whole limit each."""
        original = cold_start.FleetShares.compute
        self.addCleanup(setattr, cold_start.FleetShares, "compute", original)
        cold_start.FleetShares.compute = lambda self, limit, server: limit
        self.assertGreater(play(0, 6, 31.0)[0], 51)


if __name__ == "__main__":
    unittest.main()

"""Tests of orders to engines: one leader at a time, and limited loads."""

import random
import unittest
import unittest.mock

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import tables
from mulberryway.controllers import orders as controllers
from mulberryway.objects import base as platform
from mulberryway.objects import position
from mulberryway.policy import leader_lease
from mulberryway.policy import orders
from mulberryway.upstreams import base as upstreams
from tests import fakes

ROLES = tables.UpstreamRole
VMS = ["vm0", "vm1", "vm2"]
# The store returns from a copy that is some seconds old.
MAX_BACKUP_AGE_MS = 10_000


def make_pool(count=4, models=("m",), checks=(True, False)):
    rows = tuple(
        tables.Upstream(
            f"e{n}",
            f"10.0.0.{n}:1",
            "a",
            ROLES.BOTH,
            checks_fencing=checks[n % len(checks)],
        )
        for n in range(count)
    )
    return tables.Pool("lm", tables.PoolKind.MODEL, rows, models)


def make_load(*models):
    return upstreams.EngineLoad(0, 0, 20, 9, 9, models)


class PlannerTest(unittest.TestCase):
    def setUp(self):
        self.planner = orders.OrderPlanner(most_loads=2)
        self.loads = {("lm", f"e{n}"): make_load() for n in range(4)}

    def plan(self, now_ms, verb, models=("m",)):
        pools = {"lm": make_pool(models=models)}
        found = self.planner.plan(pools, self.loads, now_ms)
        return [order for order in found if order.verb == verb]

    def test_concurrent_loads_are_limited(self):
        """A new model has to be loaded on every engine.

        If all loaded it at once from a store with limited bandwidth, no engine
        would serve for a long time.
        """
        first = self.plan(0, "load")
        self.assertEqual(len(first), 2)
        for order in first:
            self.planner.record_accepted(order, 0)
        self.assertEqual(self.plan(1_000, "load"), [])
        done = first[0].row.name
        self.loads["lm", done] = make_load("m")
        third = self.plan(2_000, "load")
        self.assertEqual(len(third), 1)
        self.assertNotIn(third[0].row.name, {o.row.name for o in first})
        again = self.plan(orders.LOAD_TIMEOUT_MS, "load")
        self.assertEqual(len(again), 2)

    def test_old_model_is_unloaded_after_the_new_one_is_loaded(self):
        self.loads["lm", "e0"] = make_load("old")
        self.assertEqual(self.plan(0, "unload"), [])
        self.loads["lm", "e0"] = make_load("old", "m")
        self.assertEqual(
            [(o.row.name, o.argument) for o in self.plan(0, "unload")],
            [("e0", "old")],
        )

    def test_unknown_and_draining_engines_get_no_load(self):
        self.loads = {}
        self.assertEqual(self.plan(0, "load"), [])
        row = tables.Upstream("x", "10.0.0.9:1", "a", ROLES.BOTH, True)
        pool = tables.Pool("lm", tables.PoolKind.MODEL, (row,), ("m",))
        loads = {("lm", "x"): make_load()}
        self.assertEqual(self.planner.plan({"lm": pool}, loads, 0), [])

    def test_roles_are_sent_once_and_failures_retried(self):
        first = self.plan(0, "role")
        self.assertEqual(len(first), 4)
        self.planner.record_accepted(first[0], 0)
        self.planner.record_failed(first[1], 0)
        self.assertEqual(len(self.plan(1_000, "role")), 2)
        self.assertEqual(len(self.plan(orders.RETRY_MS, "role")), 3)


class LeaseTest(unittest.TestCase):
    def test_all_vms_choose_the_same_few_candidates(self):
        vms = [f"vm{n}" for n in range(410)]
        chosen = leader_lease.choose_candidates(vms)
        self.assertEqual(len(chosen), leader_lease.CANDIDATE_COUNT)
        self.assertEqual(chosen, leader_lease.choose_candidates(reversed(vms)))

    def test_stale_read_restores_no_previous_holder(self):
        lease = leader_lease.LeaderLease("a", 1)
        newer, older = position.Position(0, 50), position.Position(0, 40)
        lease.record_read(leader_lease.LeaseRecord("b", 1, 5, 0), newer, 0)
        lease.record_read(leader_lease.LeaseRecord("c", 1, 4, 9), older, 10)
        self.assertEqual((lease.fencing, lease.version), (5, newer))


class MalformedLeaseTest(unittest.TestCase):
    def test_lease_is_taken_over(self):
        """Guards against engines that get no order any more, because another
        writer has left a lease that cannot be read.
        """
        sound = {"holder": "x", "incarnation": 1, "fencing": 3, "renewal": 1}
        for odd in (
            {},
            sound | {"holder": [[]]},
            sound | {"fencing": float("inf")},
            sound | {"fencing": float("nan")},
            sound | {"fencing": 2**63},
            sound | {"fencing": "9" * 5_000},
            sound | {"renewal": None},
            sound | {"incarnation": -1},
            sound | {"renewal": True},
        ):
            with self.subTest(odd):
                clock_ = clock.ManualClock()
                store = unittest.mock.Mock()
                stored = platform.StoredObject("leases", "orders", 5, odd)
                store.read.return_value = expression.Ok(stored)
                store.update.return_value = expression.Ok(
                    platform.StoredObject("leases", "orders", 6, {})
                )
                controller = controllers.OrdersController(
                    "vm0",
                    1,
                    store,
                    unittest.mock.Mock(),
                    lambda pool, name: None,
                    dict,
                    lambda: True,
                    clock_,
                )
                controller._maintain_lease()
                clock_.advance_ms(leader_lease.TAKEOVER_WAIT_MS - 1)
                controller._maintain_lease()
                store.update.assert_not_called()
                clock_.advance_ms(1)
                controller._maintain_lease()
                store.update.assert_called_once()
                self.assertTrue(
                    controller._lease.may_send(True, clock_.now_ms())
                )


class PartitionableStore:
    """The store as seen by one VM, which may be partitioned from it."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        # The era of the last response.
        self.era = world.store.era

    def __getattr__(self, method):
        if self.name in self.world.cut:
            return lambda *arguments: expression.Error(
                fakes.make_fault(errors.Code.PLATFORM_UNAVAILABLE)
            )

        def call(*arguments):
            result = getattr(self.world.store, method)(*arguments)
            if not self.world.store.outage:
                self.era = self.world.store.era
            return result

        return call


class World:
    """Several VMs, one platform and some engines with a manual clock.

    :param seed: seed of all random choices
    :param returns: fraction of steps before which the store returns from a
        copy that is some seconds old
    """

    def __init__(self, seed, returns=0.0):
        self.returns = returns
        self.random = random.Random(seed)
        self.clock = clock.ManualClock(1_000)
        self.store = fakes.MemoryStore(seed)
        self.store.era = 1 if returns else 0
        self.make_backup()
        self.pool = make_pool()
        self.tables = tables.Tables(1, (), (self.pool,), ())
        self.arrivals = {row.name: [] for row in self.pool.upstreams}
        self.cut = set()
        # Holders of each fencing number.
        self.holders = {}
        self.incarnations = 1
        self.vms = [self.make_vm(name) for name in VMS]
        # An era that has begun before a VM's first step is not its first.
        for vm in self.vms if returns else ():
            vm.step()
        # A process may be paused just before any call.
        self.store.on_call = self.pause

    def get_tables(self):
        return self.tables

    def subscribe(self, on_change):
        raise NotImplementedError

    def make_vm(self, name, incarnation=1):
        store = PartitionableStore(self, name)
        return controllers.OrdersController(
            name,
            incarnation,
            store,
            self,
            lambda pool, upstream: WorldEngine(self, upstream),
            dict,
            lambda: True,
            self.clock,
            read_era=lambda: store.era,
            is_first_start=incarnation == 1,
        )

    def pause(self):
        if self.random.random() < 0.02:
            self.clock.advance_ms(self.random.randint(0, 70_000))

    def run(self, steps):
        for _ in range(steps):
            self.clock.advance_ms(self.random.randint(1, 700))
            if self.random.random() < 0.03:
                self.cut = set(self.random.sample(VMS, 1))
            if self.random.random() < 0.03:
                self.cut = set()
            if self.random.random() < 0.01:
                self.store.outage = not self.store.outage
            if self.random.random() < 0.3:
                self.store.lose_reply = self.random.choice((0, 0.3))
                self.store.lose_write = self.random.choice((0, 0.3))
                self.store.stale = self.random.choice((0, 0.3))
            self.change_era()
            self.random.choice(self.vms).step()

    def change_era(self):
        if not self.returns:
            return
        if self.random.random() < 0.01:
            number = self.random.randrange(len(VMS))
            self.incarnations += 1
            self.vms[number] = self.make_vm(VMS[number], self.incarnations)
        if self.clock.now_ms() - self.backup_ms > MAX_BACKUP_AGE_MS:
            self.make_backup()
        if self.random.random() < self.returns:
            self.store.return_to_backup()
            self.make_backup()

    def make_backup(self):
        self.store.make_backup()
        self.backup_ms = self.clock.now_ms()


class WorldEngine:
    """Receives orders after a random delay up to the maximum."""

    def __init__(self, world, name):
        self.world = world
        self.name = name

    def send_order(self, order):
        world = self.world
        delay_ms = world.random.randint(0, leader_lease.MAX_IN_FLIGHT_MS)
        at_ms = world.clock.now_ms() + delay_ms
        world.arrivals[self.name].append((at_ms, order.fencing))
        world.holders.setdefault(order.fencing, set()).add(order.holder)
        # Most answers are lost, so that orders are sent continually.
        if world.random.random() < 0.9:
            return expression.Error(
                errors.Fault(errors.Code.UPSTREAM_TIMEOUT, errors.Step.ADMIN)
            )
        return expression.Ok(None)


class LeaderTest(unittest.TestCase):
    def check_arrivals(self, world, seed):
        """Check the order of arrivals; return the number of leaders."""
        leaders = 0
        for row in world.pool.upstreams:
            if row.checks_fencing:
                continue
            arrived = [f for _, f in sorted(world.arrivals[row.name])]
            self.assertEqual(arrived, sorted(arrived), seed)
            leaders += len(set(arrived))
        return leaders

    def test_no_old_order_arrives_after_a_newer_one(self):
        """No order of a previous leader arrives after one of its successor.

        Leaders are paused or partitioned, the platform fails and reads are
        stale, while orders take seconds to arrive.  An engine that ignores
        fencing numbers would otherwise serve the wrong model.
        """
        leaders = 0
        for seed in range(40):
            world = World(seed)
            world.run(1_500)
            leaders += self.check_arrivals(world, seed)
        # The test is only meaningful with many changes of leader.
        self.assertGreater(leaders, 120)

    def test_returns_of_the_store(self):
        """Guards against two leaders, or two with one fencing number, after
        the store has lost the lease.
        """
        leaders = eras = 0
        for seed in range(40):
            world = World(seed, returns=0.02)
            world.run(1_500)
            eras += world.store.era
            self.assertTrue(
                all(len(names) == 1 for names in world.holders.values()), seed
            )
            leaders += self.check_arrivals(world, seed)
        self.assertGreater(leaders, 120)
        self.assertGreater(eras, 800)

    def test_few_calls_to_the_platform(self):
        world = World(0)
        world.store.on_call = lambda: None
        for _ in range(600):
            world.clock.advance_ms(1_000)
            for vm in world.vms:
                vm.step()
        calls = world.store.counts["orders"]
        self.assertLess(calls, 600)
        self.assertTrue(all(world.arrivals.values()))

    def test_rejected_fencing_number_ends_the_lease(self):
        world = World(1)
        world.store.on_call = lambda: None
        refused = errors.Fault(errors.Code.UPSTREAM_REFUSED, errors.Step.ADMIN)
        engine = unittest.mock.Mock()
        engine.send_order.return_value = expression.Error(refused)
        vm = world.vms[0]
        vm._find_engine = lambda pool, upstream: engine
        vm.step()
        self.assertEqual(engine.send_order.call_count, 1)

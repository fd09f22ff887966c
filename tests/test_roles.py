"""Tests of engines' roles by what is asked of their pool."""

import unittest

from mulberryway import tables
from mulberryway.policy import hints
from mulberryway.policy import orders
from mulberryway.policy import pool_demand
from mulberryway.policy import role_planner
from mulberryway.policy import scheduler
from tests import policy_cases as cases
from tests import test_shaping as shaping

ROLES = tables.UpstreamRole
# Sixteen prompts a second of 94 ms each.
LOAD = 1.5
NOW_MS = 100_000


def make_pool(prefills, decodes, versions=(), **values):
    """Return a pool; its decode engines have the versions, the others 0."""
    pool = shaping.make_pool(prefills, decodes, **values)
    changed = dict(zip(("d0", "d1", "d2", "d3"), versions, strict=False))
    for row in pool.upstreams:
        row.version = changed.get(row.name, row.version)
    return pool


def make_demand(prefill=LOAD, memory=0.5, full_s=0, busy_s=60, idle=0.3):
    """Return a demand whose last seconds are busy or have full memory."""
    return pool_demand.PoolDemand(
        [idle] * (60 - busy_s) + [prefill] * busy_s,
        [memory] * (60 - full_s) + [1.1] * full_s,
    )


class Planning:
    """A planner with a demand, and the orders that it plans."""

    def __init__(self):
        self.planner = role_planner.RolePlanner()

    def plan(self, pool, demand=None, now_ms=NOW_MS):
        demands = {} if demand is None else {"lm": demand}
        self.planner.update_demands(demands)
        return self.planner.plan({"lm": pool}, {}, now_ms)

    def list_orders(self, pool, demand=None, now_ms=NOW_MS):
        return [
            (order.row.name, order.argument)
            for order in self.plan(pool, demand, now_ms)
        ]


class DemandTest(unittest.TestCase):
    def setUp(self):
        self.planning = Planning()

    def test_memory_is_short_beside_idle_prefill_engines(self):
        """Streams fill the memory of 16 engines for 20 s, while 7 prefill
        engines have the work of 1.5.
        """
        found = self.planning.list_orders(
            make_pool(7, 16), make_demand(full_s=20)
        )
        self.assertEqual(found, [("p0", "decode"), ("p1", "decode")])

    def test_as_many_prefill_engines_stay_as_the_demand_needs(self):
        found = self.planning.list_orders(
            make_pool(3, 20), make_demand(full_s=20)
        )
        self.assertEqual(found, [])

    def test_two_prefill_engines_stay(self):
        """Memory is short, and no prompt was asked for in the last minute.
        One of them may crash.
        """
        demand = make_demand(prefill=0.0, idle=0.0, full_s=60)
        for prefills in (1, 2):
            pool = make_pool(prefills, 21)
            self.assertEqual(self.planning.list_orders(pool, demand), [])

    def test_peak_of_prompts_keeps_prefill_engines(self):
        """Prompts come in bursts of three seconds, four times as many."""
        demand = make_demand(prefill=6.0, idle=LOAD, busy_s=3, full_s=20)
        self.assertEqual(
            self.planning.list_orders(make_pool(7, 16), demand), []
        )

    def test_short_burst_of_streams_changes_nothing(self):
        """Memory is full for four seconds, less than a change takes."""
        found = self.planning.list_orders(
            make_pool(7, 16), make_demand(full_s=4)
        )
        self.assertEqual(found, [])

    def test_prompts_queue(self):
        """Long prompts with short answers: two prefill engines are asked for
        five engines' work for 20 s.
        """
        found = self.planning.list_orders(
            make_pool(2, 10), make_demand(prefill=5.0, busy_s=20, memory=0.2)
        )
        self.assertEqual([role for _, role in found], ["prefill", "prefill"])

    def test_short_burst_of_prompts_changes_nothing(self):
        """Two prefill engines are asked for five engines' work for 6 s."""
        found = self.planning.list_orders(
            make_pool(2, 10), make_demand(prefill=5.0, busy_s=6, memory=0.2)
        )
        self.assertEqual(found, [])

    def test_memory_goes_before_queues_of_prompts(self):
        """Prompts queue and memory is nearly full: a decode engine less would
        only move the shortage.
        """
        found = self.planning.list_orders(
            make_pool(2, 10), make_demand(prefill=5.0, busy_s=20, memory=0.85)
        )
        self.assertEqual(found, [])

    def test_emptiest_decode_engine_becomes_a_prefill_engine(self):
        demand = make_demand(prefill=5.0, busy_s=20, memory=0.2)
        demand.held_blocks = {f"d{index}": 100 - index for index in range(10)}
        found = self.planning.list_orders(make_pool(2, 10), demand)
        self.assertEqual([name for name, _ in found], ["d9", "d8"])

    def test_no_change_back_soon(self):
        """The demand shifts from prompts to answers within a minute.  Only
        the fixed rule, three prefill engines of twelve, changes roles soon.
        """
        prompts = make_demand(prefill=5.0, busy_s=20, memory=0.2)
        self.planning.plan(make_pool(2, 10), prompts)
        changed = make_pool(2, 10)
        for row in changed.upstreams[2:4]:
            row.role = ROLES.PREFILL
        answers = make_demand(prefill=0.2, idle=0.2, full_s=30)
        soon = self.planning.list_orders(changed, answers, NOW_MS + 30_000)
        self.assertEqual(len(soon), 1)
        later = self.planning.list_orders(changed, answers, NOW_MS + 95_000)
        self.assertEqual(len(later), 2)

    def test_unknown_demand_keeps_the_fixed_rule(self):
        """A VM has started a moment ago, or hears nothing."""
        few = pool_demand.PoolDemand([LOAD] * 5, [1.0] * 5)
        for demand in (None, few):
            pool = make_pool(8, 15)
            found = self.planning.list_orders(pool, demand)
            self.assertEqual(found, [("p0", "decode")])

    def test_pool_of_three_engines_keeps_its_roles(self):
        for prefills, demand in (
            (1, make_demand(full_s=60)),
            (1, make_demand(prefill=5.0, memory=0.1)),
        ):
            pool = make_pool(prefills, 3 - prefills)
            self.assertEqual(self.planning.list_orders(pool, demand), [])

    def test_last_engine_of_a_version_stays(self):
        """Streams that a version began resume at its only decode engine."""
        pool = make_pool(2, 4, versions=("1", "1", "2", "3"))
        demand = make_demand(prefill=5.0, busy_s=30, memory=0.1)
        found = self.planning.list_orders(pool, demand)
        self.assertEqual(found, [("d0", "prefill")])


class FailureTest(unittest.TestCase):
    def setUp(self):
        self.planning = Planning()
        self.pool = make_pool(2, 10)
        self.demand = make_demand(prefill=5.0, busy_s=30, memory=0.2)

    def test_lost_orders_are_repeated_after_their_time(self):
        """No response came to two orders, and they are not carried out."""
        for order in self.planning.plan(self.pool, self.demand):
            self.planning.planner.record_failed(order, NOW_MS)
        soon = self.planning.list_orders(
            self.pool, self.demand, NOW_MS + 12_000
        )
        self.assertEqual(soon, [])
        later = self.planning.list_orders(
            self.pool, self.demand, NOW_MS + 20_000
        )
        self.assertEqual(len(later), 2)

    def test_late_orders_count(self):
        """An order is carried out after twelve seconds.  Meanwhile, another
        engine must not get one for the same need.
        """
        demand = make_demand(prefill=2.0, busy_s=30, memory=0.2)
        (first, second) = self.planning.plan(self.pool, demand)
        self.planning.planner.record_failed(first, NOW_MS)
        self.planning.planner.record_accepted(second, NOW_MS)
        found = self.planning.list_orders(self.pool, demand, NOW_MS + 11_000)
        self.assertEqual(found, [])

    def test_new_leader_begins_from_the_tables(self):
        """The issuer dies after one of its orders was carried out."""
        changed = make_pool(2, 10)
        changed.upstreams[2].role = ROLES.PREFILL
        found = Planning().list_orders(changed, self.demand, NOW_MS + 8_000)
        self.assertEqual(len(found), 2)
        self.assertNotIn(changed.upstreams[2].name, dict(found))

    def test_lost_leadership_keeps_the_dwell_time(self):
        """A VM loses the lease; the tables have shown it the last change."""
        self.planning.plan(self.pool, self.demand)
        changed = make_pool(2, 10)
        changed.upstreams[2].role = ROLES.PREFILL
        self.planning.plan(changed, self.demand, NOW_MS + 8_000)
        self.planning.planner.reset()
        answers = make_demand(prefill=0.2, idle=0.2, full_s=30)
        found = self.planning.list_orders(changed, answers, NOW_MS + 9_000)
        self.assertEqual(found, [])

    def test_evacuated_zone_changes_no_roles(self):
        """A zone is evacuated, so the rest of the memory is full."""
        pool = make_pool(7, 16, cordoned=("d0", "d3", "d6", "d9", "d12"))
        found = self.planning.list_orders(pool, make_demand(full_s=40))
        self.assertEqual(found, [])

    def test_engine_that_changes_its_role_is_missing(self):
        """An engine leaves the tables while it changes its role; the others
        of its pool do not look like changed ones.
        """
        demand = make_demand(full_s=30)
        first = self.planning.list_orders(make_pool(7, 16), demand)
        self.assertEqual(len(first), 2)
        found = self.planning.list_orders(
            make_pool(6, 16), demand, NOW_MS + 3_000
        )
        self.assertTrue(all(role == "decode" for _, role in found))


class ObservationTest(unittest.TestCase):
    def test_work_of_all_vms_counts(self):
        """Two VMs' prompts keep an engine busy for 0.8 s in each second."""
        known = scheduler.FairScheduler("vm1")
        known.change_pools({"lm": shaping.make_pool()}, 0)
        for sequence in range(1, 40):
            now_ms = sequence * 500
            known.dispatch(now_ms)
            for vm in ("vm2", "vm3"):
                holding = hints.Holding("lm", "p0", 0, 200, blocks=0)
                note = hints.Note(vm, 1, sequence, [holding], [], [])
                known.apply_hints(note, now_ms)
        demand = known.read_demands(19_900)["lm"]
        self.assertAlmostEqual(demand.get_mean_prefill(12), 0.8, delta=0.01)
        self.assertGreaterEqual(len(demand.memory_load), 18)

    def test_chunked_prefills_count_as_work_of_prefill_engines(self):
        """A decode engine needs twice the time for a prompt."""
        rig = shaping.Rig(prefills=0)
        rig.start(0)
        rig.submit(2_000)
        rig.start(2_000)
        demand = rig.scheduler.read_demands(4_000)["lm"]
        self.assertAlmostEqual(sum(demand.prefill_load), 0.09, delta=0.02)

    def test_reserved_memory(self):
        """A burst fills the memory of two decode engines."""
        rig = shaping.Rig(prefills=2, decodes=2)
        rig.start(0)
        for _ in range(40):
            rig.submit(3_000)
        rig.start(3_000)
        rig.start(3_400)
        demand = rig.scheduler.read_demands(5_000)["lm"]
        self.assertGreater(max(demand.memory_load), 0.85)
        self.assertEqual(demand.count_full_s(0.85), 1)

    def test_nothing_is_known_before_the_first_second(self):
        known = scheduler.FairScheduler("vm1")
        known.change_pools({"lm": cases.make_pool()}, 0)
        self.assertEqual(known.read_demands(0), {})

    def test_work_of_an_impossible_size(self):
        """Guards against notes that tell years of work, or less than none."""
        history = pool_demand.DemandHistory()
        history.note_memory(0.0, 0)
        history.note_prefill(1e15, 2_000)
        history.note_prefill(-5.0, 2_000)
        demand = history.summarize(1.0, {}, 3_000)
        self.assertEqual(max(demand.prefill_load), 60.0)

    def test_history_is_bounded(self):
        history = pool_demand.DemandHistory()
        for now_ms in range(0, 600_000, 250):
            history.note_memory(0.5, now_ms)
            history.note_prefill(10.0, now_ms)
        demand = history.summarize(1.0, {}, 600_000)
        self.assertEqual(len(demand.memory_load), 60)


class PlannerTest(unittest.TestCase):
    def test_planners_without_demand_ignore_it(self):
        planner = orders.OrderPlanner()
        planner.update_demands({"lm": make_demand()})
        self.assertEqual(planner.plan({}, {}, 0), [])

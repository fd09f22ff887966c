"""Tests of the distance between zones in the choice of engines."""

import collections
import itertools
import unittest

from mulberryway.policy import jobs
from mulberryway.policy import scheduler
from mulberryway.policy import zone_costs
from tests import policy_cases as cases

ZONES = ("a", "b", "c")
Outcome = jobs.JobOutcome
# Three engines of each role, one in each zone, by name.
ZONE_OF = {f"{role}{n}": ZONES[n % 3] for role in "pd" for n in range(9)}


def make_router(vm="vm0", zone="a", costs=None, seed=4, **pool):
    costs = costs or zone_costs.ZoneCosts(zone, 2, 3)
    router = scheduler.FairScheduler(vm, seed=seed, zones=costs)
    values = {"prefills": 3, "decodes": 3, "slots": 12} | pool
    router.change_pools({"lm": cases.make_pool(**values)}, 0)
    return router


class Streams:
    """Starts streams at routers that exchange notes at once."""

    def __init__(self, *routers):
        self.routers = routers
        self.numbers = itertools.count()
        self.found = []
        self.prefills = []

    def start(self, router, now_ms, **values):
        """Start one stream and return the zones of its engines."""
        self.end_prefills(now_ms)
        job_id = f"j{next(self.numbers)}"
        values = {"within_ms": 30_000, "prompt_tokens": 500} | values
        job = cases.make_job(job_id, now_ms=now_ms, **values)
        assert router.submit(job, now_ms).is_ok()
        (started,) = router.dispatch(now_ms).assignments
        self.found.append(started)
        self.tell(router, now_ms)
        self.prefills.append((now_ms + started.ready_in_ms, router, job_id))
        return ZONE_OF[started.prefill], ZONE_OF[started.decode]

    def end_prefills(self, now_ms):
        """End the prefills that are due; they take as long as estimated."""
        for item in [item for item in self.prefills if item[0] <= now_ms]:
            self.prefills.remove(item)
            ended_ms, router, job_id = item
            router.record_prefilled(job_id, ended_ms)
            self.tell(router, ended_ms)

    def finish(self, router, job_id, now_ms):
        self.end_prefills(now_ms)
        router.record_first_token(job_id, now_ms)
        router.finish(job_id, Outcome.DONE, "", now_ms)
        self.tell(router, now_ms)

    def tell(self, router, now_ms):
        note = router.drain_hints(now_ms)
        for other in self.routers:
            if note is not None and other is not router:
                other.apply_hints(note, now_ms)


class ZoneTest(unittest.TestCase):
    def test_equal_room(self):
        """One stream at a time finds all engines idle."""
        for zone in ZONES:
            costs = zone_costs.ZoneCosts(zone, 2, 3)
            router = make_router(costs=costs)
            streams = Streams(router)
            for n in range(50):
                pair = streams.start(router, n * 1_000)
                self.assertEqual(pair, (zone, zone))
                streams.finish(router, f"j{n}", n * 1_000 + 900)
            self.assertEqual(sum(left for *_, left in costs.list_left()), 0)
            self.assertEqual(costs.list_bytes(), [])

    def test_zone_of_the_prefill_engine(self):
        """The VM's zone has no engines: both are in one zone all the same."""
        router = make_router(zone="d")
        streams = Streams(router)
        for n in range(50):
            source, target = streams.start(router, n * 1_000)
            self.assertEqual(source, target)
            streams.finish(router, f"j{n}", n * 1_000 + 900)

    def test_home_is_full(self):
        """Streams that last fill the zone's decode engine: later ones leave
        as a pair of engines, and none waits.
        """
        router = make_router(slots=4)
        streams = Streams(router)
        pairs = [streams.start(router, n * 500) for n in range(12)]
        self.assertEqual(pairs[0], ("a", "a"))
        targets = collections.Counter(target for _, target in pairs)
        self.assertEqual(targets, dict.fromkeys(ZONES, 4))
        crossing = sum(source != target for source, target in pairs)
        self.assertLess(crossing, 4)

    def test_long_wait_at_home(self):
        """A long prompt keeps the zone's prefill engine busy."""
        router = make_router()
        streams = Streams(router)
        first = streams.start(router, 0, prompt_tokens=4_000)
        second = streams.start(router, 1)
        self.assertEqual(first, ("a", "a"))
        self.assertNotEqual(second[0], "a")
        self.assertEqual(second[0], second[1])

    def test_no_engine_at_home(self):
        """The zone's engines are drained: others serve at once."""
        router = make_router(leaving=("p0", "d0"))
        source, target = Streams(router).start(router, 0)
        self.assertIn(source, "bc")
        self.assertEqual(source, target)

    def test_evacuated_zone(self):
        """An evacuated zone gets nothing, though it is the VM's own."""
        router = make_router(cordoned=("p0", "d0"))
        streams = Streams(router)
        for n in range(9):
            self.assertNotIn("a", streams.start(router, n * 500))

    def test_vms_of_three_zones(self):
        """VMs of three zones get as much to do as one another: each stays in
        its zone, and none of the engines gets more than others.
        """
        routers = [
            make_router(f"vm{n}", zone, seed=n) for n, zone in enumerate(ZONES)
        ]
        for router in routers:
            router.update_vms(("vm0", "vm1", "vm2"), 0)
        streams = Streams(*routers)
        for n in range(30):
            streams.start(routers[n % 3], n * 40, prompt_tokens=300)
        loads = collections.Counter(item.decode for item in streams.found)
        self.assertEqual(set(loads.values()), {10})

    def test_vms_of_one_zone(self):
        """All callers are in one zone: its three VMs don't crowd its engines
        while others are idle.
        """
        routers = [make_router(f"vm{n}", "a", seed=n) for n in range(3)]
        for router in routers:
            router.update_vms(("vm0", "vm1", "vm2"), 0)
        streams = Streams(*routers)
        for n in range(24):
            streams.start(routers[n % 3], n * 40, prompt_tokens=300)
        loads = collections.Counter(item.decode for item in streams.found)
        self.assertEqual(loads.total(), 24)
        self.assertGreater(loads["d0"], 8)
        self.assertLess(max(loads.values()) - min(loads.values()), 6)

    def test_first_token_is_not_later_than_the_distance(self):
        """Guards against waiting at home for longer than leaving takes."""
        for seed in range(20):
            near, far = make_router(seed=seed), make_router(zone="", seed=seed)
            for router in (near, far):
                streams = Streams(router)
                for n in range(6):
                    streams.start(router, n * 7, prompt_tokens=200 + 90 * n)
            waits = [
                max(
                    running.placement.ready_ms
                    for running in router._running.values()
                )
                for router in (near, far)
            ]
            # Two round trips, the margin, the KV cache and the tie.
            self.assertLess(waits[0] - waits[1], 2 * 2 + 3 + 4 + 3)

    def test_one_zone(self):
        """All engines are in one zone, the VM in another: nothing changes."""
        found = []
        for zone in ("", "z"):
            router = make_router(zone=zone, prefills=1, decodes=1)
            streams = Streams(router)
            for n in range(8):
                streams.start(router, n * 30)
            found.append([(one.prefill, one.decode) for one in streams.found])
        self.assertEqual(*found)

    def test_vm_without_zone(self):
        """Without a zone nothing is charged or counted."""
        costs = zone_costs.ZoneCosts()
        router = make_router(costs=costs)
        streams = Streams(router)
        for n in range(30):
            streams.start(router, n * 1_000)
        self.assertEqual(costs.list_left(), [])
        self.assertEqual(costs.list_bytes(), [])

    def test_counts(self):
        """A VM without engines in its zone sends all of its requests out."""
        costs = zone_costs.ZoneCosts("d")
        router = make_router(costs=costs)
        streams = Streams(router)
        for n in range(5):
            streams.start(router, n * 1_000)
            streams.finish(router, f"j{n}", n * 1_000 + 900)
        self.assertEqual(
            sorted(costs.list_left()),
            [("lm", "decode", 5), ("lm", "kv", 0), ("lm", "prefill", 5)],
        )


class ChunkedPrefillTest(unittest.TestCase):
    def test_engine_for_both(self):
        """No prefill engine accepts prompts, and all others are idle."""
        pool = cases.make_reading_pool(0, 3)
        router = scheduler.FairScheduler(
            "vm0", seed=4, zones=zone_costs.ZoneCosts("b", 2, 3)
        )
        router.change_pools({"lm": pool}, 0)
        streams = Streams(router)
        found = collections.Counter()
        for n in range(20):
            found[streams.start(router, n * 1_000)] += 1
            streams.finish(router, f"j{n}", n * 1_000 + 900)
        self.assertEqual(found, {("b", "b"): 20})

"""Tests of goodput, waste and fairness under load, with several routers.

The engines are the timing model of the stand-ins, in virtual time.  Each test
compares with a baseline scheduler on the same arrivals, or checks a bound.
"""

import functools
import unittest

from benchmarks import decisions
from benchmarks import decisions_simulation as fleet
from benchmarks import decisions_workloads as workloads

LENGTH_MS = 80_000
KANDURATA = workloads.DEPLOYMENTS[0]


@functools.cache
def run(load, rival="worst_served", routers=3):
    case = decisions.Case("kandurata", routers, load, rival)
    return decisions.run_case(case, LENGTH_MS)


class DecisionsTest(unittest.TestCase):
    def check(self, row, **bounds):
        lower_bounded = {"goodput_part", "worst_served_part"}
        for name, bound in bounds.items():
            check = self.assertGreaterEqual
            if name not in lower_bounded:
                check = self.assertLessEqual
            check(row[name], bound, (name, row))

    def test_below_saturation_no_request_is_rejected(self):
        for routers in (3, 9):
            self.check(
                run("below", routers=routers),
                goodput_part=0.98,
                worst_served_part=0.95,
                wasted_part=0.01,
                refused=0,
            )

    def test_saturation(self):
        """Demand equals the engines' capacity.

        A router that starts prefills without a free decode slot wastes a
        tenth of them, and callers wait for requests that could have been
        rejected at once.
        """
        for routers in (3, 9):
            self.check(
                run("saturation", routers=routers),
                goodput_part=0.9,
                wasted_part=0.01,
            )

    def test_overload(self):
        """Demand is 1.5 times the engines' capacity.

        In order of arrival every request waits until it misses its targets,
        and goodput collapses although all engines are busy.
        """
        fair = run("1.5 saturation")
        self.check(fair, goodput_part=0.94, wasted_part=0.04, late=8)
        baseline = run("1.5 saturation", "first_come")
        self.assertGreater(
            fair["goodput_part"], baseline["goodput_part"] + 0.1
        )
        self.assertGreater(
            fair["worst_served_part"], baseline["worst_served_part"] + 0.1
        )

    def test_one_account_exceeds_its_share(self):
        """One account sends several times its fair share.

        Each account's callers all use the same VM for a while.  In order of
        arrival the small accounts are served no better than the large one.
        """
        for routers in (3, 9):
            fair = run("skewed", routers=routers)
            baseline = run("skewed", "first_come", routers)
            self.check(fair, worst_served_part=0.85, goodput_part=0.9)
            self.assertGreater(
                fair["worst_served_part"], baseline["worst_served_part"] + 0.2
            )

    def test_bursts(self):
        for routers in (3, 9):
            self.check(
                run("bursts", routers=routers),
                goodput_part=0.95,
                worst_served_part=0.9,
                wasted_part=0.01,
            )

    def test_one_slow_upstream(self):
        """A decode engine slows to less than half its speed, unreported.

        With least connections a quarter of all callers still get slow
        responses.
        """
        for routers in (3, 9):
            fair = run("slow upstream", routers=routers)
            baseline = run("slow upstream", "first_come", routers)
            self.check(fair, goodput_part=0.94)
            self.assertGreater(
                fair["goodput_part"], baseline["goodput_part"] + 0.04
            )

    def test_long_and_short(self):
        """Long and short prompts are mixed.

        A short prompt that waits behind a long prefill gets its first token
        too late.
        """
        for routers in (3, 9):
            fair = run("long and short", routers=routers)
            self.check(fair, goodput_part=0.95, late=4)

    def test_lost_gossip(self):
        """All gossip messages between routers are lost.

        The routers then get each other's load only from stale engine
        reports.  If all choose the engine that looks best, most decodes are
        rejected after their prefill.
        """
        load = next(o for o in workloads.WORKLOADS if o.name == "saturation")
        arrivals = workloads.generate_arrivals(KANDURATA, load, LENGTH_MS, 1)
        routers = [
            decisions.make_scheduler("worst_served", n) for n in range(9)
        ]
        isolated = fleet.Simulation(KANDURATA, routers, notes=False)
        outcomes = isolated.run(arrivals, LENGTH_MS)
        row = decisions.compute_metrics(KANDURATA, load, outcomes, LENGTH_MS)
        self.check(row, goodput_part=0.7, wasted_part=0.2)

    def test_draining_engine_gets_no_requests(self):
        """An engine starts draining at the peak of the load.

        The routers get the changed pool one after another within two
        seconds.  A request sent there later would be truncated when the
        engine stops.
        """
        load = next(o for o in workloads.WORKLOADS if o.name == "saturation")
        arrivals = workloads.generate_arrivals(KANDURATA, load, 60_000, 1)
        routers = [
            decisions.make_scheduler("worst_served", n) for n in range(3)
        ]
        simulation = fleet.Simulation(KANDURATA, routers)
        simulation.plan_leaving("d2", 30_000, 1_000)
        outcomes = simulation.run(arrivals, 60_000)
        self.assertLessEqual(simulation.last_start_ms["d2"], 32_000)
        self.assertGreater(simulation.last_start_ms["d3"], 50_000)
        for outcome in outcomes:
            is_refused = outcome.refused_ms is not None
            self.assertNotEqual(outcome.is_whole, is_refused)

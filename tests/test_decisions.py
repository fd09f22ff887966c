"""What callers get under load, from several routers before real queues.

Engines are the timing model of the stand-ins, in virtual time; each test
compares with a plain scheduler on the same arrivals, or states a bound.
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
        low = {"goodput_part", "worst_served_part"}
        for name, bound in bounds.items():
            check = self.assertGreaterEqual
            if name not in low:
                check = self.assertLessEqual
            check(row[name], bound, (name, row))

    def test_below_saturation_nobody_is_refused(self):
        for routers in (3, 9):
            self.check(
                run("below", routers=routers),
                goodput_part=0.98,
                worst_served_part=0.95,
                wasted_part=0.01,
                refused=0,
            )

    def test_saturation(self):
        """Demand just fills the engines.  A router that sends prefills for
        which no slot is left loses a tenth of them, and callers wait for
        answers that could have been refused at once.
        """
        for routers in (3, 9):
            self.check(
                run("saturation", routers=routers),
                goodput_part=0.9,
                wasted_part=0.01,
            )

    def test_half_as_much_again(self):
        """Half more is asked than the engines can do.  In order of arrival
        every caller waits until it is too late, and goodput collapses
        although all engines are busy.
        """
        own = run("1.5 saturation")
        self.check(own, goodput_part=0.94, wasted_part=0.04, late=8)
        plain = run("1.5 saturation", "first_come")
        self.assertGreater(own["goodput_part"], plain["goodput_part"] + 0.1)
        self.assertGreater(
            own["worst_served_part"], plain["worst_served_part"] + 0.1
        )

    def test_one_account_floods(self):
        """One account sends several times its due, and each account's
        callers all use one VM for a while.  In order of arrival the small
        accounts are served no better than the flood.
        """
        for routers in (3, 9):
            own = run("skewed", routers=routers)
            plain = run("skewed", "first_come", routers)
            self.check(own, worst_served_part=0.85, goodput_part=0.9)
            self.assertGreater(
                own["worst_served_part"], plain["worst_served_part"] + 0.2
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
        """A decode engine drops to less than half its speed and reports
        nothing of it.  With least connections a quarter of all callers go
        on to get slow answers.
        """
        for routers in (3, 9):
            own = run("slow upstream", routers=routers)
            plain = run("slow upstream", "first_come", routers)
            self.check(own, goodput_part=0.94)
            self.assertGreater(
                own["goodput_part"], plain["goodput_part"] + 0.04
            )

    def test_long_and_short(self):
        """Long logs and short questions come mixed.  A short question that
        waits behind a long prefill gets its first token too late.
        """
        for routers in (3, 9):
            own = run("long and short", routers=routers)
            self.check(own, goodput_part=0.95, late=4)

    def test_blind_routers_do_not_run_together(self):
        """Notes between routers are lost for the whole time, so all they
        see of one another are stale reports.  If all then choose what looks
        best, most decodes are refused after their prefill.
        """
        load = next(o for o in workloads.WORKLOADS if o.name == "saturation")
        arrivals = workloads.generate_arrivals(KANDURATA, load, LENGTH_MS, 1)
        routers = [
            decisions.make_scheduler("worst_served", n) for n in range(9)
        ]
        blind = fleet.Simulation(KANDURATA, routers, notes=False)
        outcomes = blind.run(arrivals, LENGTH_MS)
        row = decisions.compute_metrics(KANDURATA, load, outcomes, LENGTH_MS)
        self.check(row, goodput_part=0.7, wasted_part=0.2)

    def test_a_leaving_engine_gets_nothing_and_cuts_nothing(self):
        """An engine leaves at the peak, and the routers hear of it one
        after another within two seconds.  What is sent there later would be
        cut when it stops.
        """
        load = next(o for o in workloads.WORKLOADS if o.name == "saturation")
        arrivals = workloads.generate_arrivals(KANDURATA, load, 60_000, 1)
        routers = [
            decisions.make_scheduler("worst_served", n) for n in range(3)
        ]
        leaving = fleet.Simulation(KANDURATA, routers)
        leaving.plan_leaving("d2", 30_000, 1_000)
        outcomes = leaving.run(arrivals, 60_000)
        self.assertLessEqual(leaving.last_start_ms["d2"], 32_000)
        self.assertGreater(leaving.last_start_ms["d3"], 50_000)
        for outcome in outcomes:
            is_refused = outcome.refused_ms is not None
            self.assertNotEqual(outcome.is_whole, is_refused)

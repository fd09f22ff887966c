"""Tests of the probes of ejected engines."""

import unittest

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.controllers import probing
from mulberryway.policy import member
from mulberryway.policy import pool_subsets
from mulberryway.policy import probes
from tests import policy_cases as cases

VMS = tuple(f"vm{n}" for n in range(40))


class Tables:
    pools = {"lm": cases.make_pool(prefills=2, decodes=6)}


class Stub:
    """Replaces all collaborators of a probing controller."""

    def __init__(self, name, ejected, answers):
        self.own = member.Member(name, "127.0.0.1", 1, 2, "z", "r", 1)
        self.ejected = ejected
        self.answers = answers
        self.probed = []
        self.recorded = []
        self.unconfirmed = []
        self.alive = []

    def list_alive(self):
        return VMS

    def get_tables(self):
        return Tables

    def list_ejected(self):
        return self.ejected

    def list_unconfirmed(self):
        return self.unconfirmed

    def record_alive(self, pool, upstream):
        self.alive.append((pool, upstream))

    def record_probe(self, pool, upstream, has_passed):
        self.recorded.append((upstream, has_passed))

    def find_engine(self, pool, upstream):
        self.probed.append(upstream.name)
        return self

    def report_load(self):
        if self.answers:
            return expression.Ok(cases.make_load())
        return expression.Error(
            errors.Fault(errors.Code.UPSTREAM_TIMEOUT, errors.Step.DECODE)
        )


class ProbingTest(unittest.TestCase):
    def step(self, name, ejected, answers=True):
        stub = Stub(name, ejected, answers)
        made = probing.ProbingController(
            stub, stub, stub, stub, clock.ManualClock(0)
        )
        self.addCleanup(made.stop)
        made.step()
        return stub, made

    def test_one_vm_probes_for_the_fleet(self):
        """A recovering engine must not be probed by every VM."""
        due = [probes.EjectedUpstream("lm", "d0", True)]
        probed = [name for name in VMS if self.step(name, due)[0].probed]
        self.assertEqual(probed, [pool_subsets.choose_load_poller("d0", VMS)])

    def test_result_is_recorded(self):
        prober = pool_subsets.choose_load_poller("d1", VMS)
        due = [probes.EjectedUpstream("lm", "d1", True)]
        self.assertEqual(self.step(prober, due)[0].recorded, [("d1", True)])
        failed, _ = self.step(prober, due, answers=False)
        self.assertEqual(failed.recorded, [("d1", False)])

    def test_nothing_is_probed_before_it_is_due(self):
        prober = pool_subsets.choose_load_poller("d1", VMS)
        early = [probes.EjectedUpstream("lm", "d1", False)]
        stub, made = self.step(prober, early)
        self.assertEqual(stub.probed, [])
        self.assertEqual(made.period_ms, probing.PERIOD_MS)
        self.assertEqual(self.step(prober, [])[1].period_ms, probing.IDLE_MS)

    def test_changes_are_logged_once(self):
        ejected = [probes.EjectedUpstream("lm", "d1", False)]
        with self.assertLogs("mulberryway.controllers.probing") as found:
            _, made = self.step("vm0", ejected)
            made.step()
        self.assertEqual(len(found.records), 1)

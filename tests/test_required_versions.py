"""Tests of jobs that only engines of one software version may decode."""

import unittest

from mulberryway import errors
from mulberryway import tables
from mulberryway.policy import jobs
from mulberryway.policy import pool_upstreams
from mulberryway.policy import scheduler
from tests import policy_cases as cases

OLD, NEW = "v1", "v1.2"
ROLES = tables.UpstreamRole
SLOTS = 2
WITHIN_MS = 10_000


def make_pool(old=1, new=3, prefills=1, **states):
    """Return a pool with prefill engines p0.. and decode engines o0.., n0..

    :param states: whether engines are draining, by name
    """
    engines = [(f"p{n}", ROLES.PREFILL, NEW) for n in range(prefills)]
    engines += [(f"o{n}", ROLES.DECODE, OLD) for n in range(old)]
    engines += [(f"n{n}", ROLES.DECODE, NEW) for n in range(new)]
    rows = tuple(
        tables.Upstream(
            name,
            f"127.0.0.1:{number}",
            "a",
            role,
            states.get(name, False),
            version=version,
        )
        for number, (name, role, version) in enumerate(engines)
    )
    return tables.Pool("lm", tables.PoolKind.MODEL, rows, ("m",), slots=SLOTS)


class RequiredVersionTest(unittest.TestCase):
    def setUp(self):
        self.router = scheduler.FairScheduler("vm1", seed=2)
        self.change(make_pool())

    def change(self, pool, now_ms=0):
        self.router.change_pools({"lm": pool}, now_ms)

    def submit(self, job_id, version=OLD, now_ms=0, **values):
        settings = {"within_ms": WITHIN_MS, "prompt_tokens": 60} | values
        job = cases.make_job(
            job_id, now_ms=now_ms, required_version=version, **settings
        )
        return self.router.submit(job, now_ms)

    def start(self, now_ms=0):
        return {
            item.job_id: item.decode
            for item in self.router.dispatch(now_ms).assignments
        }

    def test_own_version_only(self):
        """Guards against the engine with the most free capacity, whose
        version is another one.
        """
        for number in range(SLOTS):
            self.submit(f"j{number}")
        self.assertEqual(set(self.start().values()), {"o0"})

    def test_any_version_without_a_condition(self):
        self.submit("j", None)
        self.assertTrue(self.start()["j"].startswith("n"))

    def test_excluded_engine_of_its_version(self):
        """Guards against giving up the version where its only engine has
        failed the request before.
        """
        self.submit("j", excluded_upstreams=frozenset({"o0"}))
        self.assertEqual(self.start(), {"j": "o0"})

    def test_full_version_blocks_no_other_job(self):
        """Guards against resumed streams that wait for a full engine and
        keep the account's other requests waiting behind them.
        """
        for number in range(SLOTS):
            self.submit(f"runs{number}")
        self.start()
        for number in range(8):
            self.submit(f"waits{number}", now_ms=1)
        self.submit("new", NEW, now_ms=2)
        self.submit("any", None, now_ms=2)
        self.assertEqual(set(self.start(2)), {"new", "any"})
        self.router.finish("runs0", jobs.JobOutcome.DONE, "", 3)
        self.assertEqual(set(self.start(3).values()), {"o0"})

    def test_waiting_streams_reject_no_other_job(self):
        """Guards against counting jobs that wait for a full version as ahead
        of those that other engines can start at once.
        """
        for number in range(SLOTS + 8):
            self.submit(f"old{number}")
        self.start()
        soon = {"within_ms": 1_100}
        self.assertTrue(self.submit("new", NEW, 2, **soon).is_ok())
        self.assertTrue(self.submit("any", None, 2, **soon).is_ok())

    def test_refused_decode_stays_with_its_version(self):
        """Guards against a refused decode that moves to another version."""
        self.submit("j")
        self.start()
        self.assertIsNone(self.router.reassign_decode("j", "o0", 1))
        self.change(make_pool(old=2))
        self.assertEqual(self.router.reassign_decode("j", "o0", 2), "o1")

    def test_no_engine_of_the_version(self):
        """Guards against a wait for a version that has left."""
        self.change(make_pool(o0=True))
        fault = self.submit("j").error
        self.assertIs(fault.code, errors.Code.NO_UPSTREAM)
        self.assertIs(fault.run, errors.ExecutionStatus.NOT_RUN)
        self.assertGreater(fault.retry_after_ms, 0)
        self.assertTrue(self.submit("new", NEW).is_ok())

    def test_version_leaves_while_its_job_waits(self):
        """Guards against a job that waits until its deadline although the
        last engine of its version has left.
        """
        for number in range(SLOTS + 1):
            self.submit(f"j{number}")
        self.start()
        self.change(make_pool(o0=True), 1)
        (rejection,) = self.router.dispatch(1).refusals
        self.assertEqual(rejection.job_id, f"j{SLOTS}")
        self.assertIs(rejection.fault.run, errors.ExecutionStatus.NOT_RUN)

    def test_capacity_of_the_version(self):
        """Guards against leaving a stalled engine for no other one."""
        ask = self.router.has_decode_capacity
        self.assertTrue(ask("lm", "o0", 0))
        self.assertFalse(ask("lm", "o0", 0, OLD))
        self.assertTrue(ask("lm", "n0", 0, NEW))


class SubsetTest(unittest.TestCase):
    """A pool that is so large that a router uses a part of it."""

    def setUp(self):
        self.vms = tuple(f"vm{number}" for number in range(8))
        self.pool = make_pool(old=1, new=300, prefills=60)
        self.routers = {vm: self.make(vm) for vm in self.vms}

    def make(self, vm):
        made = scheduler.FairScheduler(vm, seed=2)
        made.change_pools({"lm": self.pool}, 0)
        made.update_vms(self.vms, 0)
        return made

    def test_last_engine_of_a_version_serves_all_routers(self):
        """Guards against refusals at the routers whose part of the pool has
        no engine of the stream's version.
        """
        for router in self.routers.values():
            job = cases.make_job("j", prompt_tokens=60, required_version=OLD)
            self.assertTrue(router.submit(job, 0).is_ok())
            (assignment,) = router.dispatch(0).assignments
            self.assertEqual(assignment.decode, "o0")

    def test_not_used_by_new_streams(self):
        """Guards against all routers sending new streams to the last engine
        of a version.
        """
        members = [pool_upstreams.PoolUpstreams(vm, None) for vm in self.vms]
        users = 0
        for views in members:
            views.change(self.pool, self.vms)
            users += "o0" in {view.row.name for view in views.decodes}
            self.assertEqual(len(views.list_decodes(OLD)), 1)
        self.assertLess(users, len(self.vms))


if __name__ == "__main__":
    unittest.main()

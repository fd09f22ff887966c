"""Requests that crash upstreams, and the innocent ones beside them."""

import unittest

from mulberryway import errors
from mulberryway.policy import jobs
from mulberryway.policy import poison
from mulberryway.policy import scheduler
from tests import policy_cases as cases

DIED = jobs.JobOutcome.DIED
DONE = jobs.JobOutcome.DONE


class RouterCase(unittest.TestCase):
    """Some routers before one pool, and jobs sent through them."""

    def setUp(self):
        self.now_ms = 0
        self.number = 0
        self.routers = [self.make_router(f"vm{n}") for n in range(2)]

    def make_router(self, name):
        router = scheduler.FairScheduler(name, seed=5)
        pool = cases.make_pool(prefills=3, decodes=3, slots=8)
        router.change_pools({"lm": pool}, 0)
        return router

    def exchange(self):
        self.now_ms += 50
        for router in self.routers:
            note = router.drain_hints(self.now_ms)
            if note is not None:
                for other in self.routers:
                    other.apply_hints(note, self.now_ms)

    def send(self, router, digest):
        """Submit a request under a fresh id; return the id or the fault."""
        self.number += 1
        job = cases.make_job(
            f"j{self.number}", now_ms=self.now_ms, digest=digest
        )
        result = router.submit(job, self.now_ms)
        return result.error if result.is_error() else job.job_id

    def start(self, router):
        found = router.dispatch(self.now_ms).assignments
        return {one.job_id: one for one in found}

    def run_one(self, router, digest, end):
        """Run a request by itself to an end; return where it decoded."""
        job_id = self.send(router, digest)
        self.assertIsInstance(job_id, str, job_id)
        assignment = self.start(router)[job_id]
        blamed = "" if end is DONE else assignment.decode
        router.record_prefilled(job_id, self.now_ms)
        router.finish(job_id, end, blamed, self.now_ms)
        self.exchange()
        self.now_ms += 3_000
        self.exchange()
        return assignment.decode


class PoisonTest(RouterCase):
    def test_the_second_upstream_is_the_last(self):
        """A request crashes the engine that runs it.  Its caller sends it
        again with another id, and again to another VM.  Without a memory
        over all VMs it takes down the pool, one engine after another.
        """
        first, second = self.routers
        self.run_one(first, "bad", DIED)
        self.run_one(second, "bad", DIED)
        for router in self.routers:
            refused = self.send(router, "bad")
            self.assertIs(refused.code, errors.Code.QUARANTINED)
            self.assertIs(refused.run, errors.ExecutionStatus.NOT_RUN)
        self.assertIsInstance(self.send(first, "other"), str)

    def test_bystanders_are_cleared_and_the_culprit_is_not(self):
        """A batch of five dies with its engine; one of them did it.  All are
        sent again.  If the five may share an engine again, the innocent
        four are shut out with the culprit; so each suspect runs as the only
        one on its engine.
        """
        router = self.routers[0]
        digests = self.crash_batch(router)
        self.now_ms += 3_000
        jobs = {self.send(router, digest): digest for digest in digests}
        open_ = dict(jobs)
        while open_:
            started = self.start(router)
            decodes = [one.decode for one in started.values()]
            self.assertEqual(len(decodes), len(set(decodes)))
            self.assertTrue(started)
            for job_id, one in started.items():
                is_bad = open_.pop(job_id) == "bad"
                end = DIED if is_bad else DONE
                blamed = one.decode if is_bad else ""
                router.finish(job_id, end, blamed, self.now_ms)
            self.now_ms += 100
        self.assertGreater(len(digests), 3)
        standings = {
            digest: router.register.read_standing(digest, self.now_ms)
            for digest in digests
        }
        self.assertIs(standings.pop("bad"), poison.QuarantineState.QUARANTINED)
        self.assertEqual(
            set(standings.values()), {poison.QuarantineState.CLEAR}
        )

    def crash_batch(self, router):
        """Let one engine die with its batch; return the batch's digests."""
        jobs = {self.send(router, f"b{n}"): f"b{n}" for n in range(11)}
        jobs[self.send(router, "bad")] = "bad"
        started = self.start(router)
        where = started[next(i for i in jobs if jobs[i] == "bad")].decode
        batch = [i for i in jobs if started[i].decode == where]
        for job_id in started:
            end = DIED if job_id in batch else DONE
            blamed = where if job_id in batch else ""
            router.finish(job_id, end, blamed, self.now_ms)
        return [jobs[job_id] for job_id in batch]

    def test_new_requests_beside_a_suspect_are_not_suspected(self):
        """A suspect runs again and crashes its second engine, on which new
        requests run as well.  The culprit is known now; suspecting the new
        ones would hold up their repeats for nothing.
        """
        router = self.routers[0]
        self.run_one(router, "bad", DIED)
        suspect = self.send(router, "bad")
        where = self.start(router)[suspect].decode
        beside = None
        for number in range(12):
            job_id = self.send(router, f"n{number}")
            one = self.start(router)[job_id]
            if one.decode == where:
                beside = f"n{number}"
                router.finish(job_id, DIED, where, self.now_ms)
                break
        self.assertIsNotNone(beside)
        router.finish(suspect, DIED, where, self.now_ms)
        register = router.register
        self.assertIs(
            register.read_standing(beside, self.now_ms),
            poison.QuarantineState.CLEAR,
        )
        self.assertIs(
            register.read_standing("bad", self.now_ms),
            poison.QuarantineState.QUARANTINED,
        )

    def test_waiting_repeats_are_refused_when_the_news_comes(self):
        first, second = self.routers
        waiting = self.send(first, "bad")
        self.run_one(second, "bad", DIED)
        self.now_ms = 10
        for upstream in ("lm/d0", "lm/d1"):
            first.register.record_crash("bad", upstream, True, self.now_ms)
        decided = first.dispatch(self.now_ms)
        self.assertEqual([r.job_id for r in decided.refusals], [waiting])
        self.assertEqual(decided.assignments, [])


class RegisterTest(unittest.TestCase):
    def setUp(self):
        self.register = poison.PoisonRegistry()

    def read(self, digest, now_ms):
        return self.register.read_standing(digest, now_ms)

    def test_digest_separates_its_parts(self):
        digests = {
            poison.digest_request(*parts)
            for parts in (
                ("a", "m", b"x"),
                ("am", "", b"x"),
                ("a", "m", b"y"),
                ("b", "m", b"x"),
            )
        }
        self.assertEqual(len(digests), 4)

    def test_one_death_seen_twice_is_one(self):
        self.register.record_crash("d", "lm/d0", False, 0)
        self.register.record_crash("d", "lm/d0", False, 400)
        self.assertIs(self.read("d", 1_000), poison.QuarantineState.SUSPECT)
        # Started again at once, the same upstream can die a second time.
        self.register.record_crash("d", "lm/d0", False, 1_100)
        self.assertIs(
            self.read("d", 1_100), poison.QuarantineState.QUARANTINED
        )

    def test_unproven_is_tried_again_and_proven_is_not(self):
        """Many callers send the same small request, and it was in two
        batches that died, by chance.  Shut out for good, it would fail for
        all of them; so it runs again after a minute, alone.
        """
        for digest, proven in (("chance", False), ("bad", True)):
            self.register.record_crash(digest, "lm/d0", False, 0)
            self.register.record_crash(digest, "lm/d1", proven, 10_000)
            self.assertIs(
                self.read(digest, 11_000), poison.QuarantineState.QUARANTINED
            )
        later = 10_000 + poison.UNPROVEN_QUARANTINE_MS
        self.assertIs(
            self.read("chance", later), poison.QuarantineState.SUSPECT
        )
        self.assertIs(
            self.read("bad", later), poison.QuarantineState.QUARANTINED
        )

    def test_bounded_in_size_and_time(self):
        for number in range(poison.MAX_DIGESTS + 50):
            self.register.record_crash(f"d{number}", "lm/d0", False, number)
        self.assertEqual(len(self.register), poison.MAX_DIGESTS)
        self.assertIs(self.read("d0", 5_000), poison.QuarantineState.CLEAR)
        late = 5_000 + poison.QUARANTINE_MS
        self.assertIs(self.read("d4000", late), poison.QuarantineState.CLEAR)

    def test_a_repeat_renews_the_quarantine(self):
        self.register.record_crash("d", "lm/d0", False, 0)
        self.register.record_crash("d", "lm/d1", True, 6_000)
        almost = 6_000 + poison.QUARANTINE_MS - 1
        self.register.renew_quarantine("d", almost)
        self.assertIs(
            self.read("d", almost + 10), poison.QuarantineState.QUARANTINED
        )

    def test_a_new_router_gets_all_that_is_known(self):
        self.register.record_crash("d", "lm/d0", False, 0)
        self.register.record_crash("d", "lm/d1", True, 6_000)
        other = poison.PoisonRegistry()
        other.note_news(self.register.list_crashes(7_000), 100_000)
        self.assertIs(
            other.read_standing("d", 100_000),
            poison.QuarantineState.QUARANTINED,
        )

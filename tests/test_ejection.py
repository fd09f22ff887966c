"""Outlier ejection by what all VMs have seen, and probes after it."""

import heapq
import itertools
import random
import unittest

from mulberryway.peers import datagrams
from mulberryway.peers import gossip_messages
from mulberryway.policy import failure_reports
from mulberryway.policy import fairness
from mulberryway.policy import health
from mulberryway.policy import hints
from mulberryway.policy import jobs
from mulberryway.policy import note_receiver
from mulberryway.policy import note_sender
from mulberryway.policy import poison
from mulberryway.policy import pool_set
from mulberryway.policy import retries
from mulberryway.policy import scheduler
from tests import policy_cases as cases

End = jobs.JobOutcome
# How late other VMs hear of something in a large fleet.
NEWS_MS = 30


class TrustTest(unittest.TestCase):
    def test_vms_that_are_gone_are_forgotten(self):
        """Guards against a memory that grows with every VM that ever was."""
        remembered = failure_reports.FailureReportFilter()
        for number in range(1_000):
            now_ms = number * 1_000
            remembered.accepts(f"vm{number}", ("lm", "d0"), 8, now_ms)
            remembered.accepts("steady", ("lm", "d1"), 8, now_ms)
        self.assertLessEqual(remembered.size, 32)


class HearingTest(unittest.TestCase):
    def test_upstreams_that_have_left_are_forgotten(self):
        """Guards against a memory that grows with every engine that was."""
        register = poison.PoisonRegistry()
        hearer = note_receiver.NoteReceiver("vm1", register)
        known = pool_set.PoolSet(
            "vm1",
            fairness.find_fairness_mode("goodput"),
            register,
            random.Random(1),
            300,
            100,
            100_000,
            retries.UnlimitedRetryBudget,
            0.018,
        )
        for number in range(100):
            now_ms = number * 1_000
            pool = cases.make_pool(1, 4, name=f"lm-{number % 50}")
            known.change({pool.name: pool})
            holdings = [
                hints.Holding(pool.name, f"d{decode}", 1, 0)
                for decode in range(4)
            ]
            note = hints.Note("vm2", 1, number + 1, holdings, [], [])
            hearer.note(note, known.pools, now_ms)
            hearer.expire_peers(known.pools, now_ms)
        self.assertLessEqual(hearer.size, 4 * 11)


class TellingTest(unittest.TestCase):
    names = tuple(f"d{number}" for number in range(60))

    def setUp(self):
        pools = {
            name: cases.make_pool(1, len(self.names), name=name)
            for name in ("lm", "lm-2")
        }
        self.router = scheduler.FairScheduler("vm1", seed=1)
        self.router.change_pools(pools, 0)
        self.router.drain_hints(0)
        for pool, name in itertools.product(pools, self.names):
            self.router.record_probe(pool, name, True, 50)

    def test_what_is_too_much_for_one_note_is_told_in_several(self):
        """Guards against outcomes that are lost beyond a note's limit."""
        received = [
            gossip_messages.decode_datagram(
                gossip_messages.encode_note(note)
            ).note
            for now_ms in (100, 200, 300)
            if (note := self.router.drain_hints(now_ms)) is not None
        ]
        told = [
            holding.outcomes.probes_passed
            for note in received
            for holding in note.holdings
        ]
        self.assertEqual(sum(told), 2 * len(self.names))

    def test_a_changed_pace_goes_along_with_other_news(self):
        """Guards against a note for each stream and second of a fleet."""
        while self.router.drain_hints(100) is not None:
            pass
        self.router.submit(cases.make_job("j"), 100)
        (started,) = self.router.dispatch(100).assignments
        self.router.record_prefilled("j", 100)
        self.router.record_first_token("j", 110)
        self.router.drain_hints(120)
        notes = []
        tokens = 0
        for step, now_ms in enumerate(range(200, 2_200, 20)):
            # A pace that changes by more than the part that is news.
            tokens += (8, 80)[step % 2]
            self.router.record_tokens("j", tokens, now_ms)
            notes.append(self.router.drain_hints(now_ms))
        told = [
            note
            for note in filter(None, notes)
            if any(one.upstream == started.decode for one in note.holdings)
        ]
        self.assertLessEqual(len(told), 2_000 / note_sender.MAX_DEFER_MS + 1)
        self.assertGreaterEqual(len(told), 4)

    def test_a_note_fits_a_datagram(self):
        """Guards against notes that are too large to be sent."""
        payload = gossip_messages.encode_note(self.router.drain_hints(100))
        self.assertLessEqual(len(payload), datagrams.MAX_PAYLOAD_BYTES)


class HealthTest(unittest.TestCase):
    def setUp(self):
        self.health = health.OutlierDetector(random.Random(1))

    def test_failures_of_several_vms_count_in_a_row(self):
        """Guards against each VM learning of a resetting engine by itself."""
        self.health.record_failure(False, 0)
        self.health.note_peer(health.Outcomes(failed=1), 10)
        self.assertFalse(self.health.is_ejected(10))
        self.health.note_peer(health.Outcomes(failed=1), 20)
        self.assertTrue(self.health.is_ejected(20))

    def test_a_success_of_another_vm_ends_the_row(self):
        for now_ms in range(0, 100, 10):
            self.health.note_peer(health.Outcomes(failed=1), now_ms)
            self.health.note_peer(health.Outcomes(succeeded=1), now_ms + 5)
        self.assertFalse(self.health.is_ejected(100))

    def test_a_stream_that_began_before_the_failure_proves_nothing(self):
        """Guards against old streams that end well at an engine which resets
        all new connections.
        """
        self.health.record_failure(True, 1_000)
        self.health.record_success(started_ms=500)
        self.assertTrue(self.health.is_ejected(1_100))
        self.assertEqual(self.health.take_news().succeeded, 0)
        self.health.record_success(started_ms=1_050)
        self.assertFalse(self.health.is_ejected(1_100))

    def test_an_old_success_is_not_told_after_a_failure(self):
        """Guards against an ejection that ends by news from before it."""
        self.health.record_success(started_ms=100)
        self.health.note_peer(health.Outcomes(unreached=1), 200)
        self.assertEqual(self.health.take_news().succeeded, 0)

    def test_a_probe_that_passes_ends_the_ejection_of_what_was_down(self):
        self.health.record_failure(True, 0)
        self.assertFalse(self.health.needs_probe(50))
        self.assertTrue(self.health.needs_probe(150))
        self.health.record_probe(True, 150)
        self.assertFalse(self.health.is_ejected(150))
        # On trial: one failure more ejects it, and for longer.
        self.health.record_failure(False, 200)
        self.assertTrue(self.health.is_ejected(1_500))

    def test_a_probe_says_nothing_of_requests_that_fail(self):
        """Guards against an engine that answers probes and resets requests."""
        for now_ms in range(3):
            self.health.record_failure(False, now_ms)
        self.health.record_probe(True, 600)
        self.assertTrue(self.health.is_ejected(700))

    def test_probes_that_fail_keep_requests_away(self):
        self.health.record_failure(True, 0)
        for now_ms in range(500, 5_000, 500):
            self.health.note_peer(health.Outcomes(probes_failed=1), now_ms)
            self.assertTrue(self.health.is_ejected(now_ms + 499))

    def test_one_request_probes_for_the_fleet(self):
        """Guards against a whole prompt of each VM as its probe."""
        self.health.record_failure(True, 0)
        # The other VM's ejection has ended a little sooner than this one's.
        self.health.record_peer_start(900)
        self.assertTrue(self.health.is_ejected(1_500))
        self.health.note_peer(health.Outcomes(succeeded=1), 1_700)
        self.assertFalse(self.health.is_ejected(1_700))

    def test_the_trial_is_left_to_requests_that_may_move(self):
        """Guards against streams that cannot be resumed and fail as trials
        of an engine which still resets them.
        """
        for now_ms in range(3):
            self.health.record_failure(False, now_ms)
        self.assertFalse(self.health.admits(True, 900))
        self.assertTrue(self.health.admits(True, 1_300))
        self.assertFalse(self.health.admits(False, 1_300))
        self.assertTrue(self.health.admits(False, 2_300))


class Fleet:
    """Schedulers of many VMs that hear each other's notes a little late."""

    def __init__(self, vms, prefills, decodes):
        self.routers = [
            scheduler.FairScheduler(f"vm{n}", seed=n) for n in range(vms)
        ]
        pool = cases.make_pool(prefills, decodes, slots=12)
        for router in self.routers:
            router.change_pools({"lm": pool}, 0)
            router.change_vms(tuple(f"vm{n}" for n in range(vms)), 0)
        self.random = random.Random(3)
        self.numbers = itertools.count()
        self.order = itertools.count()
        self.events = []
        self.sent = []

    def at(self, at_ms, act):
        heapq.heappush(self.events, (at_ms, next(self.order), act))

    def run(self, until_ms):
        while self.events and self.events[0][0] <= until_ms:
            at_ms, _, act = heapq.heappop(self.events)
            act(at_ms)

    def tell(self, vm, now_ms):
        note = self.routers[vm].drain_hints(now_ms)
        if note is None:
            return
        others = [one for n, one in enumerate(self.routers) if n != vm]
        self.at(
            now_ms + NEWS_MS,
            lambda at_ms: [one.apply_hints(note, at_ms) for one in others],
        )

    def serve(self, now_ms, fails):
        """Run one short stream at a random VM; some engines fail it."""
        vm = self.random.randrange(len(self.routers))
        router, job_id = self.routers[vm], f"j{next(self.numbers)}"
        job = cases.make_job(job_id, now_ms=now_ms, prompt_tokens=100)
        if router.submit(job, now_ms).is_error():
            return
        found = router.dispatch(now_ms).assignments
        if not found:
            router.cancel(job_id, now_ms)
            return
        self.sent.append((now_ms, vm, found[0].decode))
        self.tell(vm, now_ms)

        def end(at_ms):
            router.record_prefilled(job_id, at_ms)
            if fails(found[0].decode, vm):
                router.finish(job_id, End.FAILED, found[0].decode, at_ms)
            else:
                router.record_first_token(job_id, at_ms)
                router.finish(job_id, End.DONE, "", at_ms + 5)
            self.at(at_ms + 10, lambda later_ms: self.tell(vm, later_ms))

        self.at(now_ms + 40, end)

    def serve_all(self, until_ms, each_ms, fails):
        for at_ms in range(0, until_ms, each_ms):
            self.at(at_ms, lambda now_ms: self.serve(now_ms, fails))
        self.run(until_ms)


class LargeFleetTest(unittest.TestCase):
    def test_an_engine_that_resets_is_left_by_all_at_once(self):
        """Guards against prompts that each of 195 VMs reads in vain for an
        engine which takes connections and resets them.
        """
        fleet = Fleet(195, 2, 6)
        fleet.serve_all(7_000, 40, lambda decode, vm: decode == "d0")
        lost = [at_ms for at_ms, _, decode in fleet.sent if decode == "d0"]
        # Three in a row, what was under way by then, and three probes.
        self.assertLess(len(lost), 14)
        self.assertEqual(len(fleet.sent), 7_000 // 40)

    def test_a_vm_at_fault_does_not_condemn_all_engines(self):
        """Guards a fleet against the word of one VM that is cut off from all
        engines and not from the other VMs.
        """
        fleet = Fleet(40, 2, 8)
        fleet.serve_all(10_000, 20, lambda decode, vm: vm == 7)
        served = sum(vm != 7 for _, vm, _ in fleet.sent)
        self.assertGreater(served, 0.95 * 500 * 39 / 40)
        for router in fleet.routers:
            views = router._pools["lm"].members.decodes
            ejected = sum(one.health.is_ejected(10_000) for one in views)
            self.assertTrue(ejected <= 2 or router is fleet.routers[7])

    def test_probes_are_listed_until_the_engine_answers(self):
        fleet = Fleet(2, 1, 2)
        router = fleet.routers[0]
        router.record_probe("lm", "d0", True, 0)
        view = router._pools["lm"].members.find("d0")
        view.health.record_failure(True, 0)
        found = router.list_ejected(200)
        self.assertEqual(
            [(one.upstream, one.is_due) for one in found], [("d0", True)]
        )
        router.record_probe("lm", "d0", True, 200)
        self.assertEqual(router.list_ejected(200), [])

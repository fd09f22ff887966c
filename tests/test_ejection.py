"""Tests of outlier ejection over all VMs, and of probes after it."""

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
from mulberryway.policy import part_quarantine
from mulberryway.policy import poison
from mulberryway.policy import pool_set
from mulberryway.policy import retries
from mulberryway.policy import scheduler
from tests import policy_cases as cases

Outcome = jobs.JobOutcome
# Delay of gossip messages in a large fleet, in ms.
GOSSIP_DELAY_MS = 30


class FailureReportFilterTest(unittest.TestCase):
    def test_old_reports_are_evicted(self):
        """Guard against memory that grows with every VM that ever reported."""
        report_filter = failure_reports.FailureReportFilter()
        for number in range(1_000):
            now_ms = number * 1_000
            report_filter.accepts(f"vm{number}", ("lm", "d0"), 8, now_ms)
            report_filter.accepts("steady", ("lm", "d1"), 8, now_ms)
        self.assertLessEqual(report_filter.size, 32)


class NoteReceiverTest(unittest.TestCase):
    def test_deregistered_upstreams_are_evicted(self):
        """Guard against memory that grows with all engines ever registered."""
        register = poison.PoisonRegistry()
        receiver = note_receiver.NoteReceiver("vm1", register)
        pool_set_ = pool_set.PoolSet(
            "vm1",
            fairness.find_fairness_mode("goodput"),
            register,
            part_quarantine.PartQuarantine("vm1", random.Random(1)),
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
            pool_set_.change({pool.name: pool}, 0)
            holdings = [
                hints.Holding(pool.name, f"d{decode}", 1, 0)
                for decode in range(4)
            ]
            note = hints.Note("vm2", 1, number + 1, holdings, [], [])
            receiver.note(note, pool_set_.pools, now_ms)
            receiver.expire_peers(pool_set_.pools, now_ms)
        self.assertLessEqual(receiver.size, 4 * 11)


class NoteSenderTest(unittest.TestCase):
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

    def test_excess_holdings_follow_in_further_notes(self):
        """Guard against losing the outcomes that exceed a note's limit."""
        received = [
            gossip_messages.decode_datagram(
                gossip_messages.encode_note(note)
            ).note
            for now_ms in (100, 200, 300)
            if (note := self.router.drain_hints(now_ms)) is not None
        ]
        sent = [
            holding.outcomes.probes_passed
            for note in received
            for holding in note.holdings
        ]
        self.assertEqual(sum(sent), 2 * len(self.names))

    def test_changed_pace_is_piggybacked(self):
        """Guard against a note per stream and second of a fleet."""
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
            # The pace changes by more than the fraction that is worth a note.
            tokens += (8, 80)[step % 2]
            self.router.record_tokens("j", tokens, now_ms)
            notes.append(self.router.drain_hints(now_ms))
        sent = [
            note
            for note in filter(None, notes)
            if any(
                holding.upstream == started.decode for holding in note.holdings
            )
        ]
        self.assertLessEqual(len(sent), 2_000 / note_sender.MAX_DEFER_MS + 1)
        self.assertGreaterEqual(len(sent), 4)

    def test_note_fits_a_datagram(self):
        """Guard against notes that are too large to be sent."""
        payload = gossip_messages.encode_note(self.router.drain_hints(100))
        self.assertLessEqual(len(payload), datagrams.MAX_PAYLOAD_BYTES)


class OutlierDetectorTest(unittest.TestCase):
    def setUp(self):
        self.health = health.OutlierDetector(random.Random(1))

    def test_failures_of_several_vms_are_consecutive(self):
        """Guard against each VM detecting a resetting engine on its own."""
        self.health.record_failure(False, 0)
        self.health.apply_peer_outcomes(health.Outcomes(failed=1), 10)
        self.assertFalse(self.health.is_ejected(10))
        self.health.apply_peer_outcomes(health.Outcomes(failed=1), 20)
        self.assertTrue(self.health.is_ejected(20))

    def test_success_at_a_peer_resets_failures(self):
        for now_ms in range(0, 100, 10):
            self.health.apply_peer_outcomes(health.Outcomes(failed=1), now_ms)
            self.health.apply_peer_outcomes(
                health.Outcomes(succeeded=1), now_ms + 5
            )
        self.assertFalse(self.health.is_ejected(100))

    def test_earlier_stream_does_not_reset_failure(self):
        """An old stream ends well at an engine that resets new connections.

        Its success must not end the ejection.
        """
        self.health.record_failure(True, 1_000)
        self.health.record_success(started_ms=500)
        self.assertTrue(self.health.is_ejected(1_100))
        self.assertEqual(self.health.drain_outcomes().succeeded, 0)
        self.health.record_success(started_ms=1_050)
        self.assertFalse(self.health.is_ejected(1_100))

    def test_earlier_success_is_not_sent_after_a_failure(self):
        """Guard against an ejection that is ended by an earlier success."""
        self.health.record_success(started_ms=100)
        self.health.apply_peer_outcomes(health.Outcomes(unreached=1), 200)
        self.assertEqual(self.health.drain_outcomes().succeeded, 0)

    def test_passed_probe_ends_ejection_of_unreachable(self):
        self.health.record_failure(True, 0)
        self.assertFalse(self.health.needs_probe(50))
        self.assertTrue(self.health.needs_probe(150))
        self.health.record_probe(True, 150)
        self.assertFalse(self.health.is_ejected(150))
        # Half-open: one more failure ejects it, and for longer.
        self.health.record_failure(False, 200)
        self.assertTrue(self.health.is_ejected(1_500))

    def test_passed_probe_keeps_ejection_for_failures(self):
        """Guard against an engine that answers probes and resets requests."""
        for now_ms in range(3):
            self.health.record_failure(False, now_ms)
        self.health.record_probe(True, 600)
        self.assertTrue(self.health.is_ejected(700))

    def test_failed_probes_extend_the_ejection(self):
        self.health.record_failure(True, 0)
        for now_ms in range(500, 5_000, 500):
            self.health.apply_peer_outcomes(
                health.Outcomes(probes_failed=1), now_ms
            )
            self.assertTrue(self.health.is_ejected(now_ms + 499))

    def test_one_trial_request_per_fleet(self):
        """Guard against each VM sending a full prompt as its trial."""
        self.health.record_failure(True, 0)
        # The peer's ejection has expired slightly earlier than this VM's.
        self.health.record_peer_start(900)
        self.assertTrue(self.health.is_ejected(1_500))
        self.health.apply_peer_outcomes(health.Outcomes(succeeded=1), 1_700)
        self.assertFalse(self.health.is_ejected(1_700))

    def test_trial_requires_a_request_that_may_move(self):
        """Guard against trial requests that cannot be resumed.

        They would fail at an engine that still resets its streams.
        """
        for now_ms in range(3):
            self.health.record_failure(False, now_ms)
        self.assertFalse(self.health.admits(True, 900))
        self.assertTrue(self.health.admits(True, 1_300))
        self.assertFalse(self.health.admits(False, 1_300))
        self.assertTrue(self.health.admits(False, 2_300))


class Fleet:
    """Schedulers of many VMs that exchange notes with a delay."""

    def __init__(self, vms, prefills, decodes):
        self.routers = [
            scheduler.FairScheduler(f"vm{n}", seed=n) for n in range(vms)
        ]
        pool = cases.make_pool(prefills, decodes, slots=12)
        for router in self.routers:
            router.change_pools({"lm": pool}, 0)
            router.update_vms(tuple(f"vm{n}" for n in range(vms)), 0)
        self.random = random.Random(3)
        self.numbers = itertools.count()
        self.order = itertools.count()
        self.events = []
        self.sent = []

    def schedule(self, at_ms, action):
        heapq.heappush(self.events, (at_ms, next(self.order), action))

    def run(self, until_ms):
        while self.events and self.events[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self.events)
            action(at_ms)

    def send_note(self, vm, now_ms):
        note = self.routers[vm].drain_hints(now_ms)
        if note is None:
            return
        others = [router for n, router in enumerate(self.routers) if n != vm]
        self.schedule(
            now_ms + GOSSIP_DELAY_MS,
            lambda at_ms: [other.apply_hints(note, at_ms) for other in others],
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
        self.send_note(vm, now_ms)

        def finish(at_ms):
            router.record_prefilled(job_id, at_ms)
            if fails(found[0].decode, vm):
                router.finish(job_id, Outcome.FAILED, found[0].decode, at_ms)
            else:
                router.record_first_token(job_id, at_ms)
                router.finish(job_id, Outcome.DONE, "", at_ms + 5)
            self.schedule(
                at_ms + 10, lambda later_ms: self.send_note(vm, later_ms)
            )

        self.schedule(now_ms + 40, finish)

    def serve_all(self, until_ms, each_ms, fails):
        for at_ms in range(0, until_ms, each_ms):
            self.schedule(at_ms, lambda now_ms: self.serve(now_ms, fails))
        self.run(until_ms)


class LargeFleetTest(unittest.TestCase):
    def test_resetting_engine_is_ejected_by_all_vms(self):
        """Guard against prefills wasted by each of 195 VMs on one engine.

        The engine accepts connections and resets them.
        """
        fleet = Fleet(195, 2, 6)
        fleet.serve_all(7_000, 40, lambda decode, vm: decode == "d0")
        failed_ms = [
            at_ms for at_ms, _, decode in fleet.sent if decode == "d0"
        ]
        # Three consecutive failures, requests in flight by then, and three
        # probes.
        self.assertLess(len(failed_ms), 14)
        self.assertEqual(len(fleet.sent), 7_000 // 40)

    def test_faulty_vm_does_not_eject_all_engines(self):
        """Guard against failure reports of one VM that reaches no engine.

        The VM is partitioned from all engines, but not from the other VMs.
        """
        fleet = Fleet(40, 2, 8)
        fleet.serve_all(10_000, 20, lambda decode, vm: vm == 7)
        served = sum(vm != 7 for _, vm, _ in fleet.sent)
        self.assertGreater(served, 0.95 * 500 * 39 / 40)
        for router in fleet.routers:
            views = router._pools["lm"].members.decodes
            ejected = sum(view.health.is_ejected(10_000) for view in views)
            self.assertTrue(ejected <= 2 or router is fleet.routers[7])

    def test_probe_is_listed_until_the_engine_responds(self):
        fleet = Fleet(2, 1, 2)
        router = fleet.routers[0]
        router.record_probe("lm", "d0", True, 0)
        view = router._pools["lm"].members.find("d0")
        view.health.record_failure(True, 0)
        found = router.list_ejected(200)
        self.assertEqual(
            [(upstream.upstream, upstream.is_due) for upstream in found],
            [("d0", True)],
        )
        router.record_probe("lm", "d0", True, 200)
        self.assertEqual(router.list_ejected(200), [])

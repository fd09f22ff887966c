"""Tests of the quarantine of prompt parts that crash engines."""

import itertools
import random
import unittest

from mulberryway.peers import gossip_messages
from mulberryway.policy import crash_reports
from mulberryway.policy import hints
from mulberryway.policy import part_quarantine
from mulberryway.policy import part_records
from mulberryway.policy import part_trials
from mulberryway.policy import poison

State = part_records.PartState
SHARED, BAD, OTHER = "part:m/aa", "part:m/c0", "part:m/c1"
SOUND = ("part:m/b0", "part:m/b1", "part:m/b2")
COUNTED_CRASHES, MAX_LATE = 5, 3
VMS = tuple(f"vm{number}" for number in range(6))


class QuarantineCase(unittest.TestCase):
    """Base class: VMs that exchange updates when a test lets them."""

    def setUp(self):
        self.now_ms = 100_000
        self.numbers = itertools.count()
        self.vms = [self.make_vm(name) for name in VMS]
        self.vm = self.vms[0]

    def make_vm(self, name):
        vm = part_quarantine.PartQuarantine(name, random.Random(name))
        vm.update_vms(VMS)
        return vm

    def crash(self, *keys, vm=None):
        """Let an engine crash on a request by itself; return its name."""
        self.now_ms += part_records.SAME_EVENT_MS
        return self.crash_at_once(*keys, vm=vm)

    def crash_at_once(self, *keys, vm=None):
        """Let an engine crash at the same time as another one."""
        upstream = f"llm/e{next(self.numbers)}"
        (vm or self.vm).record_crash(keys, upstream, self.now_ms)
        return upstream

    def survive(self, *keys, vm=None):
        """Let an engine survive a run that began a second ago."""
        vm = vm or self.vm
        vm.record_survival(keys, self.now_ms - 1_000, self.now_ms)

    def exchange(self, delay_ms=20):
        """Deliver all updates to all VMs, encoded, after a delay."""
        drained = [vm.drain_updates(self.now_ms) for vm in self.vms]
        self.now_ms += delay_ms
        for sender, updates in zip(self.vms, drained, strict=True):
            for receiver in self.vms:
                if receiver is not sender:
                    self.deliver(updates, receiver)

    def deliver(self, updates, receiver):
        for update in updates:
            payload = gossip_messages.encode_death(update)
            receiver.apply_update(
                gossip_messages.decode_death(payload), self.now_ms
            )

    def wait_for_trial(self, *keys):
        """Let time pass until a VM may try; return it, or none in an hour."""
        for _ in range(3_600):
            for vm in self.vms:
                if vm.assess(keys, self.now_ms).is_trial:
                    return vm
            self.now_ms += 100
        return None

    def get_state(self, *keys, vm=None):
        return (vm or self.vm).assess(keys, self.now_ms).state


class BlameTest(QuarantineCase):
    def test_second_crash_quarantines(self):
        self.crash(BAD)
        self.assertIs(self.get_state(BAD), State.SUSPECT)
        self.crash(BAD)
        self.assertIs(self.get_state(BAD), State.QUARANTINED)
        self.assertIs(self.get_state(SHARED), State.CLEAR)

    def test_crashes_at_one_moment_count_once(self):
        """Guards against blaming a new part for a loss of power."""
        for _ in range(2):
            self.crash_at_once(SOUND[0])
            self.now_ms += 50
        self.assertIs(self.get_state(SOUND[0]), State.SUSPECT)
        self.crash(SOUND[0])
        self.assertIs(self.get_state(SOUND[0]), State.QUARANTINED)

    def test_many_crashes_at_one_moment_quarantine(self):
        """Guards against batches of requests that crash engines together."""
        for _ in range(2):
            for _ in range(2 * part_records.MAX_CRASHES_PER_PART):
                self.crash_at_once(BAD)
            self.assertIs(self.get_state(BAD), State.QUARANTINED)
            self.now_ms += 1_000

    def test_proven_part_is_not_blamed(self):
        """Guards against quarantining the part that a whole route shares."""
        self.survive(SHARED)
        for _ in range(5):
            self.crash(SHARED, BAD)
        self.assertIs(self.get_state(SHARED, SOUND[0]), State.CLEAR)
        self.assertIs(self.get_state(SHARED, BAD), State.QUARANTINED)

    def test_proof_ends_a_blame(self):
        """Guards against a sound part that stays suspect for minutes."""
        self.crash(SOUND[0])
        self.now_ms += 2_000
        self.survive(SOUND[0])
        self.assertIs(self.get_state(SOUND[0]), State.CLEAR)

    def test_old_proof_does_not_protect(self):
        """Guards against a part that begins to crash engines."""
        self.survive(BAD)
        self.now_ms += part_quarantine.PROOF_TTL_MS
        self.crash(BAD)
        self.crash(BAD)
        self.assertIs(self.get_state(BAD), State.QUARANTINED)

    def test_shared_part_without_history_may_prove_itself(self):
        """Guards against rejecting all of a route that has just begun."""
        for _ in range(3):
            self.crash(SHARED, BAD)
        self.assertIs(self.get_state(SHARED, BAD), State.QUARANTINED)
        self.assertIs(self.get_state(SHARED, SOUND[0]), State.SUSPECT)
        self.now_ms += 1_500
        self.survive(SHARED, SOUND[0])
        self.assertIs(self.get_state(SHARED, SOUND[1]), State.CLEAR)
        self.assertIs(self.get_state(SHARED, BAD), State.QUARANTINED)
        self.assertIs(self.get_state(BAD), State.QUARANTINED)

    def test_several_parts(self):
        """Guards against one crashing part that hides another one."""
        self.survive(SHARED)
        for part in (BAD, OTHER, BAD, OTHER):
            self.crash(SHARED, part)
        for part in (BAD, OTHER):
            self.assertIs(self.get_state(SHARED, part), State.QUARANTINED)
        self.assertIs(self.get_state(SHARED, SOUND[0]), State.CLEAR)

    def test_sound_part_of_two_crashing_ones_is_tried_soon(self):
        """Guards against blaming what two crashing parts have in common."""
        for part in (BAD, OTHER, OTHER, BAD, OTHER, BAD, BAD):
            self.crash(SOUND[0], part)
        self.assertIs(self.get_state(SOUND[0]), State.QUARANTINED)
        self.exchange()
        began_ms = self.now_ms
        self.assertIsNotNone(self.wait_for_trial(SOUND[0]))
        self.assertLess(
            self.now_ms - began_ms, part_trials.TRIAL_DELAYS_MS[0] // 2
        )
        self.assertFalse(self.vm.assess((OTHER,), self.now_ms).is_trial)

    def test_doubtful_part_is_not_tried_for_ever(self):
        """Guards against a crashing part with other new parts each time."""
        for number in range(2):
            self.crash(BAD, f"part:m/f{number}")
        trials = 0
        for _ in range(3_600):
            if self.vm.assess((BAD,), self.now_ms).is_trial:
                trials += 1
                self.vm.begin_trial((BAD,), self.now_ms)
                self.now_ms += 200
                self.crash(BAD, f"part:m/f{trials}0")
            self.now_ms += 100
        self.assertEqual(trials, len(part_trials.DOUBTFUL_TRIAL_DELAYS_MS))

    def test_one_crash_seen_twice_counts_once(self):
        """Guards against counting each VM's report of one crash."""
        upstream = self.crash(BAD)
        for vm in self.vms[1:]:
            vm.record_crash((BAD,), upstream, self.now_ms + 100)
        self.exchange()
        self.exchange()
        states = {self.get_state(BAD, vm=vm) for vm in self.vms}
        self.assertEqual(states, {State.SUSPECT})

    def test_verdict_names_part_and_engines(self):
        """Guards against a rejection that on-call cannot trace."""
        engines = (self.crash(BAD, SOUND[0]), self.crash(BAD, SOUND[1]))
        verdict = self.vm.assess((SOUND[2], BAD), self.now_ms)
        self.assertEqual((verdict.key, verdict.upstreams), (BAD, engines))
        self.assertGreater(verdict.retry_after_ms, 0)

    def test_bounded(self):
        """Guards against memory that grows with prompts of an attacker."""
        for number in range(3 * part_quarantine.MAX_PROOFS):
            key = f"part:m/{number:x}"
            self.survive(f"{key}0")
            self.crash(key)
        self.assertLessEqual(
            sum(self.vm.count(state) for state in State),
            part_quarantine.MAX_PARTS,
        )
        self.assertLessEqual(
            len(self.vm.drain_updates(self.now_ms)), part_quarantine.MAX_PARTS
        )

    def test_crash_of_many_parts_sends_few_updates(self):
        """Guards against a datagram that holds thousands of parts."""
        keys = [f"part:m/{number:x}" for number in range(500)]
        self.crash(BAD)
        self.vm.drain_updates(self.now_ms)
        self.crash(*keys, BAD)
        updates = self.vm.drain_updates(self.now_ms)
        self.assertEqual(len(updates), part_quarantine.MAX_BLAMED_PARTS)
        self.assertEqual(updates[0].digest, BAD)


class TrialTest(QuarantineCase):
    def quarantine(self, *keys):
        for _ in range(2):
            self.crash(*keys)
            self.exchange()

    def test_sound_part_comes_free_within_seconds(self):
        """Guards against ten minutes for a part of two ordinary crashes."""
        began_ms = self.now_ms
        self.quarantine(SOUND[0])
        vm = self.wait_for_trial(SOUND[0])
        vm.begin_trial((SOUND[0],), self.now_ms)
        self.now_ms += 1_200
        self.survive(SOUND[0], vm=vm)
        self.exchange()
        states = {self.get_state(SOUND[0], vm=vm) for vm in self.vms}
        self.assertEqual(states, {State.CLEAR})
        self.assertLess(self.now_ms - began_ms, 8_000)

    def test_one_trial_at_a_time(self):
        """Guards against a trial on each of the VMs at the same moment."""
        self.quarantine(BAD)
        vm = self.wait_for_trial(BAD)
        vm.begin_trial((BAD,), self.now_ms)
        self.exchange()
        for _ in range(20):
            for other in self.vms:
                self.assertIs(self.get_state(BAD, vm=other), State.QUARANTINED)
            self.now_ms += 100

    def test_vms_begin_trials_by_turns(self):
        """Guards against a batch of requests that are all trials."""
        self.quarantine(BAD)
        for _ in range(part_trials.FEW_CRASHES):
            self.crash(BAD)
            self.exchange()
        turns = []
        for _ in range(300):
            self.now_ms += 100
            turns.append(
                sum(vm.assess((BAD,), self.now_ms).is_trial for vm in self.vms)
            )
        self.assertEqual(max(turns), 1)
        self.assertGreater(sum(turns), 200)

    def test_lost_trial_is_repeated(self):
        """Guards against a quarantine that waits for a VM that was killed."""
        self.quarantine(BAD)
        self.wait_for_trial(BAD).begin_trial((BAD,), self.now_ms)
        self.exchange()
        self.assertIsNotNone(self.wait_for_trial(BAD))

    def test_at_most_three_trials_after_the_fifth_crash(self):
        """Guards against trials that crash engines one after another.

        The users allow three requests after the fifth crash.
        """
        crashes = COUNTED_CRASHES
        for _ in range(crashes):
            self.crash(BAD)
            self.exchange()
        while (vm := self.wait_for_trial(BAD)) is not None:
            vm.begin_trial((BAD,), self.now_ms)
            self.exchange()
            self.now_ms += 200
            self.crash(BAD, vm=vm)
            self.exchange()
            crashes += 1
        self.assertGreater(crashes, COUNTED_CRASHES)
        self.assertLessEqual(crashes, COUNTED_CRASHES + MAX_LATE)

    def test_quarantine_ends_if_the_part_is_not_requested(self):
        """Guards against a quarantine that outlasts a repaired model."""
        self.quarantine(BAD)
        self.now_ms += part_quarantine.RETENTION_MS
        self.assertIs(self.get_state(BAD), State.CLEAR)


class ExchangeTest(QuarantineCase):
    def test_crashes_seen_by_different_vms(self):
        """Guards against VMs that each know of one crash only."""
        self.crash(BAD, vm=self.vms[1])
        self.exchange()
        self.crash(BAD, vm=self.vms[2])
        self.exchange()
        states = {self.get_state(BAD, vm=vm) for vm in self.vms}
        self.assertEqual(states, {State.QUARANTINED})

    def test_vm_with_a_proof_refutes_a_blame(self):
        """Guards against a VM that has seen too few runs of a part."""
        self.survive(SHARED, vm=self.vms[3])
        self.crash(SHARED)
        self.crash(SHARED)
        for _ in range(20):
            self.exchange()
        states = {self.get_state(SHARED, vm=vm) for vm in self.vms}
        self.assertEqual(states, {State.CLEAR})

    def test_refutations_are_few(self):
        """Guards against an answer of each VM to each crash."""
        for vm in self.vms[1:]:
            self.survive(SHARED, vm=vm)
        self.crash(SHARED)
        sent = 0
        for _ in range(20):
            drained = [vm.drain_updates(self.now_ms) for vm in self.vms]
            sent += sum(
                not update.upstream
                for updates in drained
                for update in updates
            )
            self.now_ms += 20
            for sender, updates in zip(self.vms, drained, strict=True):
                for receiver in self.vms:
                    if receiver is not sender:
                        self.deliver(updates, receiver)
        self.assertLess(sent, len(self.vms) - 1)
        self.assertGreater(sent, 0)

    def test_clearance_that_a_newer_crash_overtakes(self):
        """Guards against a late clearance that frees a crashing part."""
        self.survive(BAD)
        clearance = hints.Death(BAD, "", 1_000, True)
        self.now_ms += part_quarantine.PROOF_TTL_MS
        other = self.vms[1]
        self.crash(BAD, vm=other)
        self.crash(BAD, vm=other)
        clearance.age_ms += part_quarantine.PROOF_TTL_MS
        self.deliver([clearance], other)
        self.assertIs(self.get_state(BAD, vm=other), State.QUARANTINED)

    def test_updates_in_any_order(self):
        """Guards against a result that depends on the order of datagrams."""
        for seed in range(50):
            rng = random.Random(seed)
            updates = [
                hints.Death(BAD, f"llm/e{number}", age_ms, False)
                for number, age_ms in enumerate((9_000, 5_000, 4_500, 200))
            ]
            updates += [hints.Death(BAD, "", 8_800, True), *updates[:2]]
            rng.shuffle(updates)
            vm = self.make_vm("vm0")
            self.deliver(updates, vm)
            self.assertEqual(
                len(vm.assess((BAD,), self.now_ms).upstreams), 2, seed
            )

    def test_crash_without_parts_is_told(self):
        """Guards against a VM whose short answer has crashed an engine."""
        self.vm.report_crash("llm/e1", self.now_ms)
        self.vm.report_crash("llm/e1", self.now_ms + 50)
        updates = self.vm.drain_updates(self.now_ms + 50)
        self.assertEqual([update.upstream for update in updates], ["llm/e1"])
        self.deliver(updates, self.vms[1])
        self.assertEqual(self.vms[1].count(State.SUSPECT), 0)


class CrashReportsTest(QuarantineCase):
    def make_reports(self, vm, peers=5):
        reports = crash_reports.CrashReports(
            poison.PoisonRegistry(), vm, random.Random(1)
        )
        reports.update_peers(peers)
        return reports

    def drain_for(self, reports, duration_ms):
        updates = []
        for _ in range(0, duration_ms, 20):
            self.now_ms += 20
            updates += reports.drain_updates(self.now_ms)
        return updates

    def test_started_vm_hears_of_quarantined_parts(self):
        """Guards against a restarted VM that lets the part through."""
        reports = self.make_reports(self.vm)
        self.crash(BAD)
        self.crash(BAD)
        self.drain_for(reports, 6_000)
        self.vm.begin_trial((BAD,), self.now_ms)
        updates = self.drain_for(reports, 2_100)
        self.assertTrue(any(update.is_repeated for update in updates))
        started = self.make_vm("vm1")
        self.make_reports(started).apply_updates(updates, self.now_ms)
        verdict = started.assess((BAD,), self.now_ms)
        self.assertEqual(len(verdict.upstreams), 2)
        self.assertFalse(verdict.is_trial)

    def test_repeats_do_not_grow_with_the_fleet(self):
        """Guards against 195 VMs that repeat all they know each second."""
        reports = self.make_reports(self.vm, 194)
        self.crash(BAD)
        self.crash(BAD)
        self.drain_for(reports, 1_000)
        repeated = self.drain_for(reports, 60_000)
        self.assertLessEqual(len(repeated), 2 * 2)

    def test_updates_reach_their_registries(self):
        """Guards against parts that fill the registry of requests."""
        register = poison.PoisonRegistry()
        seen = []
        reports = crash_reports.CrashReports(
            register, self.vm, random.Random(1)
        )
        reports.on_peer_crash = lambda *crash: seen.append(crash)
        updates = [
            hints.Death("digest", "llm/e1", 100, False),
            hints.Death(BAD, "llm/e1", 100, False),
            hints.Death(BAD, part_records.TRIAL, 0, False),
            hints.Death(part_records.NO_PART_KEY, "llm/e2", 300, False),
        ]
        reports.apply_updates(updates, self.now_ms)
        self.assertEqual(len(register), 1)
        self.assertEqual(self.vm.count(State.SUSPECT), 1)
        self.assertEqual(
            seen,
            [
                ("llm", "e1", self.now_ms - 100),
                ("llm", "e1", self.now_ms - 100),
                ("llm", "e2", self.now_ms - 300),
            ],
        )

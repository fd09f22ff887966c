"""Allowances of a few VMs: slot holders, loans and rejections."""

import unittest

from mulberryway import errors
from mulberryway.controllers import allowance_state
from mulberryway.policy import allowance_slots
from mulberryway.policy import allowance_times
from mulberryway.policy import slot_lease_manager
from tests import allowance_simulation

TAKE = slot_lease_manager.LeaseAction.TAKE
NONE = slot_lease_manager.LeaseAction.NONE
RELEASE = slot_lease_manager.LeaseAction.RELEASE


class FaultFreeSimulation(allowance_simulation.Simulation):
    """VMs, a platform and a network without faults."""

    def draw(self, probability):
        return False

    def consume_time(self, max_ms):
        self.now_ms += 1


class AllowancesTest(unittest.TestCase):
    def setUp(self):
        self.simulation = FaultFreeSimulation(1, "calm")
        self.simulation.is_fault_free = True
        self.advance_time(3_000)
        self.vms = list(self.simulation.vms.values())

    def advance_time(self, duration_ms):
        for _ in range(duration_ms // 100):
            self.simulation.now_ms += 100
            for vm in self.simulation.vms.values():
                vm.allowances.step()
                vm.slots.step()

    def take(self, vm, account, tokens):
        result = vm.allowances.reserve(account, tokens)
        if not result.is_ok():
            return 0
        self.assertTrue(vm.allowances.commit(result.ok))
        return tokens

    def test_every_slot_has_one_holder(self):
        held = [s for vm in self.vms for s in vm.state.lease_manager.holdings]
        self.assertEqual(sorted(held), list(range(8)))

    def test_one_vm_gets_the_whole_allowance(self):
        """Guards an account whose callers all connect to one VM.

        With static fractions, three quarters of its requests would be
        rejected.
        """
        for vm in self.vms:
            taken = sum(self.take(vm, "tea", 20) for _ in range(40))
            self.assertGreater(taken, 500, vm.name)
            self.assertLessEqual(taken, 600 + 40)
            self.advance_time(3_000)

    def test_a_large_request_uses_several_loans(self):
        self.assertEqual(self.take(self.vms[0], "tea", 550), 550)

    def test_rejections_have_a_retry_hint(self):
        self.take(self.vms[0], "tea", 590)
        result = self.vms[1].allowances.reserve("tea", 200)
        self.assertIs(result.error.code, errors.Code.OVER_ALLOWANCE)
        self.assertGreater(result.error.retry_after_ms, 200)
        self.assertIs(result.error.run, errors.ExecutionStatus.NOT_RUN)
        unknown = self.vms[0].allowances.reserve("nobody", 1)
        self.assertFalse(unknown.is_ok())

    def test_unused_tokens_are_returned_to_the_lender(self):
        """Guards borrowed tokens against loss.

        Requests reserve the maximum that they may generate and use little.
        """
        for _ in range(20):
            result = self.vms[0].allowances.reserve("tea", 300)
            self.assertTrue(result.is_ok())
            self.vms[0].allowances.commit(result.ok)
            self.vms[0].allowances.settle(result.ok, 5)
        self.advance_time(1_200)
        self.assertEqual(self.take(self.vms[1], "tea", 400), 400)

    def test_a_platform_outage_rejects_no_requests(self):
        """Leases outlast a platform outage, and loans do not need it."""
        self.simulation.is_platform_down = True
        self.advance_time(4_000)
        self.assertEqual(self.take(self.vms[0], "tea", 500), 500)

    def test_a_lease_expires_in_a_longer_outage(self):
        """An outage outlasts all leases; other VMs may then hold the slots."""
        self.simulation.is_platform_down = True
        self.advance_time(9_000)
        self.assertEqual(self.take(self.vms[0], "tea", 1), 0)
        self.simulation.is_platform_down = False
        self.advance_time(3_000)
        self.assertEqual(self.take(self.vms[0], "tea", 500), 500)

    def test_a_graceful_shutdown_releases_all_slots(self):
        self.vms[2].stop()
        del self.simulation.vms["vm2"]
        self.advance_time(4_000)
        held = [
            slot
            for vm in self.simulation.vms.values()
            for slot in vm.state.lease_manager.holdings
        ]
        self.assertEqual(sorted(held), list(range(8)))
        self.assertEqual(self.take(self.vms[0], "tea", 500), 500)

    def test_use_beyond_the_reservation_is_charged_later(self):
        """A prompt is longer than estimated; the account still pays."""
        vm = self.vms[0]
        result = vm.allowances.reserve("tea", 10)
        vm.allowances.commit(result.ok)
        vm.allowances.settle(result.ok, 300)
        self.assertEqual(self.take(vm, "tea", 550), 0)
        self.assertEqual(self.take(vm, "tea", 250), 250)


class SlotLeaseManagerTest(unittest.TestCase):
    def setUp(self):
        self.times = allowance_times.AllowanceTimes()
        self.lease_manager = slot_lease_manager.SlotLeaseManager(
            "b", "10.0.0.2", 7, self.times
        )

    def decide(self, record, now_ms=0, is_preferred_holder=True):
        return self.lease_manager.decide(
            3, record, is_preferred_holder, now_ms
        )

    def make(self, vm="a", address="10.0.0.1", incarnation=9, **options):
        return allowance_slots.SlotRecord(
            vm, address, incarnation, 4, **options
        )

    def test_free_slots_are_taken(self):
        self.assertIs(self.decide(None), TAKE)
        self.assertIs(self.decide(self.make(is_released=True)), TAKE)
        self.assertIs(self.decide(None, is_preferred_holder=False), NONE)

    def test_slots_of_an_older_incarnation_are_taken_over(self):
        older = self.make("b", "10.0.0.2", 6)
        self.assertIs(self.decide(older), TAKE)
        self.assertIs(self.decide(older, is_preferred_holder=False), RELEASE)
        self.assertIs(self.decide(self.make("b", "10.0.0.9", 6)), NONE)
        self.assertIs(self.decide(self.make("b", "10.0.0.2", 8)), NONE)

    def test_slots_of_a_removed_vm_are_taken_over(self):
        record = self.make(is_listed=True)
        self.assertIs(self.decide(record, 0), NONE)
        for at_ms in (1_000, 30_000, 60_000):
            self.lease_manager.update_vm_list(set(), at_ms)
            self.lease_manager.track_absence(3, record, set(), at_ms)
            self.assertIs(self.decide(record, at_ms), NONE)
        self.lease_manager.update_vm_list(set(), 61_000)
        self.assertIs(self.decide(record, 61_000), TAKE)

    def test_slots_of_a_relisted_vm_are_not_taken_over(self):
        """Guards a VM that was removed, listed again and took the slot anew.

        Its earlier absence must not count against its new incarnation.
        """
        record = self.make(is_listed=True)
        self.decide(record, 0)
        self.lease_manager.update_vm_list(set(), 1_000)
        self.lease_manager.track_absence(3, record, set(), 1_000)
        self.lease_manager.update_vm_list(set(), 70_000)
        record.term += 1
        self.assertIs(self.decide(record, 71_000), NONE)

    def test_slots_of_a_never_listed_vm_are_not_taken_over(self):
        record = self.make(is_listed=False)
        self.decide(record, 0)
        for at_ms in (1_000, 90_000):
            self.lease_manager.update_vm_list(set(), at_ms)
            self.lease_manager.track_absence(3, record, set(), at_ms)
        self.assertIs(self.decide(record, 90_000), NONE)

    def test_slots_with_an_expired_lease_are_taken_over(self):
        record = self.make()
        expiry_ms = self.times.lease_ms + self.times.lease_margin_ms
        self.assertIs(self.decide(record, 0), NONE)
        self.assertIs(self.decide(record, expiry_ms - 1), NONE)
        record.renewals += 1
        self.assertIs(self.decide(record, expiry_ms), NONE)
        self.assertIs(self.decide(record, 2 * expiry_ms), TAKE)

    def test_few_slots_move_when_a_vm_joins(self):
        vms = [f"vm{n}" for n in range(9)]
        choose = allowance_slots.choose_holder
        before = [choose(slot, vms) for slot in range(512)]
        after = [choose(slot, [*vms, "new"]) for slot in range(512)]
        moved = sum(a != b for a, b in zip(before, after, strict=True))
        self.assertLess(moved, 100)
        self.assertGreater(min(before.count(vm) for vm in vms), 25)

    def test_holdings_take_two_bytes_per_slot(self):
        packed = allowance_state.pack_holdings([511, 3])
        self.assertEqual(len(packed), 4)
        self.assertEqual(
            allowance_state.unpack_holdings(packed + b"x"), [3, 511]
        )

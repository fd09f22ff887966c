"""Allowances of a few VMs: who holds what, and what callers are refused."""

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


class CalmWorld(allowance_simulation.Simulation):
    """VMs, a platform and a network that work as they should."""

    def chance(self, probability):
        return False

    def take_time(self, most_ms):
        self.now_ms += 1


class AllowancesTest(unittest.TestCase):
    def setUp(self):
        self.world = CalmWorld(1, "calm")
        self.world.is_reusable = True
        self.pass_time(3_000)
        self.vms = list(self.world.vms.values())

    def pass_time(self, duration_ms):
        for _ in range(duration_ms // 100):
            self.world.now_ms += 100
            for vm in self.world.vms.values():
                vm.allowances.step()
                vm.slots.step()

    def take(self, vm, account, tokens):
        result = vm.allowances.reserve(account, tokens)
        if not result.is_ok():
            return 0
        self.assertTrue(vm.allowances.is_usable(result.ok))
        return tokens

    def test_every_slot_has_one_holder(self):
        held = [s for vm in self.vms for s in vm.state.keeper.holdings]
        self.assertEqual(sorted(held), list(range(8)))

    def test_one_vm_gets_the_whole_allowance(self):
        """All of an account's callers meet one VM, as with few callers.

        With a fixed split three quarters of its allowance would be refused.
        """
        for vm in self.vms:
            taken = sum(self.take(vm, "tea", 20) for _ in range(40))
            self.assertGreater(taken, 500, vm.name)
            self.assertLessEqual(taken, 600 + 40)
            self.pass_time(3_000)

    def test_a_large_request_gathers_loans(self):
        self.assertEqual(self.take(self.vms[0], "tea", 550), 550)

    def test_refusals_tell_when_to_come_again(self):
        self.take(self.vms[0], "tea", 590)
        result = self.vms[1].allowances.reserve("tea", 200)
        self.assertIs(result.error.code, errors.Code.OVER_ALLOWANCE)
        self.assertGreater(result.error.retry_after_ms, 200)
        self.assertIs(result.error.run, errors.ExecutionStatus.NOT_RUN)
        unknown = self.vms[0].allowances.reserve("nobody", 1)
        self.assertFalse(unknown.is_ok())

    def test_unused_tokens_come_back_to_the_lender(self):
        """Requests reserve the most they may generate and use little.

        Tokens that were borrowed for it must not be lost to the account.
        """
        for _ in range(20):
            result = self.vms[0].allowances.reserve("tea", 300)
            self.assertTrue(result.is_ok())
            self.vms[0].allowances.is_usable(result.ok)
            self.vms[0].allowances.settle(result.ok, 5)
        self.pass_time(1_200)
        self.assertEqual(self.take(self.vms[1], "tea", 400), 400)

    def test_an_outage_of_the_platform_stops_nobody(self):
        """The platform is down; leases run on, and loans need it not."""
        self.world.is_platform_down = True
        self.pass_time(4_000)
        self.assertEqual(self.take(self.vms[0], "tea", 500), 500)

    def test_a_lease_ends_in_a_longer_outage(self):
        """The outage outlasts every lease; others may hold the slots then."""
        self.world.is_platform_down = True
        self.pass_time(9_000)
        self.assertEqual(self.take(self.vms[0], "tea", 1), 0)
        self.world.is_platform_down = False
        self.pass_time(3_000)
        self.assertEqual(self.take(self.vms[0], "tea", 500), 500)

    def test_a_planned_stop_hands_all_slots_over(self):
        self.vms[2].stop()
        del self.world.vms["vm2"]
        self.pass_time(4_000)
        held = [
            slot
            for vm in self.world.vms.values()
            for slot in vm.state.keeper.holdings
        ]
        self.assertEqual(sorted(held), list(range(8)))
        self.assertEqual(self.take(self.vms[0], "tea", 500), 500)

    def test_a_request_that_used_more_than_it_reserved_leaves_a_debt(self):
        """The prompt was longer than estimated; the account still pays."""
        vm = self.vms[0]
        result = vm.allowances.reserve("tea", 10)
        vm.allowances.is_usable(result.ok)
        vm.allowances.settle(result.ok, 300)
        self.assertEqual(self.take(vm, "tea", 550), 0)
        self.assertEqual(self.take(vm, "tea", 250), 250)


class SlotKeeperTest(unittest.TestCase):
    def setUp(self):
        self.times = allowance_times.AllowanceTimes()
        self.keeper = slot_lease_manager.SlotLeaseManager(
            "b", "10.0.0.2", 7, self.times
        )

    def decide(self, record, now_ms=0, is_wanted=True):
        return self.keeper.decide(3, record, is_wanted, now_ms)

    def make(self, vm="a", address="10.0.0.1", incarnation=9, **more):
        return allowance_slots.SlotRecord(vm, address, incarnation, 4, **more)

    def test_free_slots_are_taken(self):
        self.assertIs(self.decide(None), TAKE)
        self.assertIs(self.decide(self.make(is_released=True)), TAKE)
        self.assertIs(self.decide(None, is_wanted=False), NONE)

    def test_an_older_life_of_the_same_vm_is_followed(self):
        older = self.make("b", "10.0.0.2", 6)
        self.assertIs(self.decide(older), TAKE)
        self.assertIs(self.decide(older, is_wanted=False), RELEASE)
        self.assertIs(self.decide(self.make("b", "10.0.0.9", 6)), NONE)
        self.assertIs(self.decide(self.make("b", "10.0.0.2", 8)), NONE)

    def test_a_vm_that_left_the_list_for_long_is_followed(self):
        record = self.make(is_listed=True)
        self.assertIs(self.decide(record, 0), NONE)
        for at_ms in (1_000, 30_000, 60_000):
            self.keeper.update_vm_list(set(), at_ms)
            self.keeper.track_absence(3, record, set(), at_ms)
            self.assertIs(self.decide(record, at_ms), NONE)
        self.keeper.update_vm_list(set(), 61_000)
        self.assertIs(self.decide(record, 61_000), TAKE)

    def test_a_vm_that_came_back_is_not_followed(self):
        """The VM was gone from the list, came back and took the slot anew.

        Its earlier absence must not count against its new life.
        """
        record = self.make(is_listed=True)
        self.decide(record, 0)
        self.keeper.update_vm_list(set(), 1_000)
        self.keeper.track_absence(3, record, set(), 1_000)
        self.keeper.update_vm_list(set(), 70_000)
        record.term += 1
        self.assertIs(self.decide(record, 71_000), NONE)

    def test_a_vm_that_was_never_listed_is_new(self):
        record = self.make(is_listed=False)
        self.decide(record, 0)
        for at_ms in (1_000, 90_000):
            self.keeper.update_vm_list(set(), at_ms)
            self.keeper.track_absence(3, record, set(), at_ms)
        self.assertIs(self.decide(record, 90_000), NONE)

    def test_a_lease_that_ended_is_followed(self):
        record = self.make()
        ends_ms = self.times.lease_ms + self.times.lease_margin_ms
        self.assertIs(self.decide(record, 0), NONE)
        self.assertIs(self.decide(record, ends_ms - 1), NONE)
        record.renewals += 1
        self.assertIs(self.decide(record, ends_ms), NONE)
        self.assertIs(self.decide(record, 2 * ends_ms), TAKE)

    def test_few_slots_move_when_a_vm_comes(self):
        vms = [f"vm{n}" for n in range(9)]
        choose = allowance_slots.choose_holder
        before = [choose(slot, vms) for slot in range(512)]
        after = [choose(slot, [*vms, "new"]) for slot in range(512)]
        moved = sum(a != b for a, b in zip(before, after, strict=True))
        self.assertLess(moved, 100)
        self.assertGreater(min(before.count(vm) for vm in vms), 25)

    def test_holdings_are_told_in_two_bytes_a_slot(self):
        packed = allowance_state.pack_holdings([511, 3])
        self.assertEqual(len(packed), 4)
        self.assertEqual(
            allowance_state.unpack_holdings(packed + b"x"), [3, 511]
        )

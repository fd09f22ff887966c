"""Tests of membership: joining, failure detection and rejoining."""

import unittest

from mulberryway import clock
from mulberryway.controllers import membership as controllers
from mulberryway.policy import member
from tests import membership_fleet
from tests import peer_network


class ExpiryTest(unittest.TestCase):
    def test_suspect_expires_on_time_while_probes_wait(self):
        """A suspected VM is considered dead on time during blocking calls.

        Probes and store calls may wait for seconds; timeouts must not depend
        on their end.
        """
        clock_ = clock.ManualClock()
        own, other = (
            member.Member(name, "127.0.0.1", port, 9, "z", "r", 1)
            for port, name in enumerate(("vm0", "vm1"), 1)
        )
        controller = controllers.MembershipController(
            own, (), peer_network.Network(), None, clock_, 500
        )
        view = controller.exchange.view
        view.apply(other, 0)
        view.mark_suspect("vm1", 1, 0)
        self.assertEqual(controller.list_alive(), ("vm0", "vm1"))
        clock_.advance_ms(10_000)
        self.assertEqual(controller.list_alive(), ("vm0",))
        dead = next(vm for vm in controller.list_members() if vm.name == "vm1")
        self.assertIs(dead.health, member.MemberStatus.DEAD)


class MembershipTest(unittest.TestCase):
    def check_all_see(self, fleet, name, health, excluded=()):
        for vm in fleet.vms:
            if vm.own.name != name and vm.own.name not in excluded:
                seen = fleet.see(vm, name)
                self.assertIs(seen.health, health, vm.own.name)

    def test_all_vms_join_through_one_seed(self):
        fleet = membership_fleet.Fleet(27)
        fleet.run(20)
        for vm in fleet.vms:
            self.assertEqual(len(vm.list_members()), 27)
        digests = {vm.exchange.view.digest() for vm in fleet.vms}
        self.assertEqual(len(digests), 1)

    def test_dead_vm_is_not_in_discovery_responses(self):
        """A VM fails without announcing it.

        A discovery response that still lists it costs callers a failed
        attempt.
        """
        fleet = membership_fleet.Fleet(9)
        fleet.run(20)
        fleet.network.down.add("vm4:1")
        fleet.run(4)
        answers = [vm.list_addresses("zone1") for vm in fleet.vms]
        addresses = {
            endpoint.address for answer in answers[:4] for endpoint in answer
        }
        self.assertNotIn("vm4:2", addresses)
        fleet.run(20)
        self.check_all_see(fleet, "vm4", member.MemberStatus.DEAD)

    def test_last_peer_fails_and_recovers(self):
        """A VM considers all others dead, as a partitioned VM does.

        Without a probe target it once searched for one in an endless loop with
        its view's lock held, and exchanged no more gossip.
        """
        fleet = membership_fleet.Fleet(2)
        fleet.run(20)
        fleet.network.down.add("vm1:1")
        fleet.run(30)
        survivor = fleet.vms[0]
        self.assertIs(
            fleet.see(survivor, "vm1").health, member.MemberStatus.DEAD
        )
        self.assertIsNone(survivor.exchange.view.choose_probe_target())
        fleet.network.down.discard("vm1:1")
        fleet.run(40)
        self.assertIs(
            fleet.see(survivor, "vm1").health, member.MemberStatus.ALIVE
        )

    def test_one_broken_link_marks_no_vm_dead(self):
        """Two VMs cannot reach each other, but all others reach both.

        If one failed probe were sufficient, both would be considered dead
        repeatedly.
        """
        fleet = membership_fleet.Fleet(9)
        fleet.run(20)
        fleet.network.cut.add(("vm3:1", "vm5:1"))
        fleet.run(40)
        self.check_all_see(fleet, "vm3", member.MemberStatus.ALIVE)
        self.check_all_see(fleet, "vm5", member.MemberStatus.ALIVE)

    def test_partitioned_regions_rejoin(self):
        """Two halves are partitioned until each considers the other dead."""
        fleet = membership_fleet.Fleet(8)
        fleet.run(20)
        halves = [
            (near.own.peer, far.own.peer)
            for near in fleet.vms[:4]
            for far in fleet.vms[4:]
        ]
        fleet.network.cut.update(halves)
        fleet.run(40)
        dead = fleet.see(fleet.vms[0], "vm7")
        self.assertIs(dead.health, member.MemberStatus.DEAD)
        fleet.network.cut.clear()
        fleet.run(60)
        for vm in fleet.vms:
            self.check_all_see(fleet, vm.own.name, member.MemberStatus.ALIVE)

    def test_new_vm_at_an_old_address_is_alive(self):
        """A VM is replaced by one with the same name and address.

        Late gossip of the old VM's failure must not affect the new one.
        """
        fleet = membership_fleet.Fleet(9)
        fleet.run(20)
        fleet.network.down.add("vm4:1")
        fleet.run(30)
        fleet.network.down.clear()
        fleet.vms[4] = fleet.make("vm4", 1, incarnation=2)
        fleet.run(20)
        self.check_all_see(fleet, "vm4", member.MemberStatus.ALIVE)
        self.assertEqual(fleet.see(fleet.vms[0], "vm4").incarnation, 2)

    def test_vm_with_a_smaller_incarnation_increases_it(self):
        """A restarted VM has a smaller incarnation than its previous one.

        Its updates would be ignored as outdated until the old entry is
        removed.
        """
        fleet = membership_fleet.Fleet(9)
        fleet.run(20)
        fleet.vms[4] = fleet.make("vm4", 1, incarnation=0)
        fleet.run(20)
        self.check_all_see(fleet, "vm4", member.MemberStatus.ALIVE)
        self.assertEqual(
            fleet.see(fleet.vms[0], "vm4").incarnation,
            fleet.vms[4].own.incarnation,
        )

    def test_stopping_vm_is_excluded_within_a_few_periods(self):
        fleet = membership_fleet.Fleet(27)
        fleet.run(30)
        fleet.vms[5].update_local(is_stopping=True)
        fleet.run(4)
        for vm in fleet.vms:
            self.assertTrue(fleet.see(vm, "vm5").is_stopping)
            addresses = [
                endpoint.address for endpoint in vm.list_addresses("zone2")
            ]
            self.assertNotIn("vm5:2", addresses)

    def test_starting_vm_is_excluded(self):
        """A VM has just started and has no token allowances yet.

        It would reject callers that are within their rate.
        """
        fleet = membership_fleet.Fleet(9)
        fleet.run(20)
        fleet.vms[5].update_local(is_starting=True)
        fleet.run(4)
        for vm in fleet.vms[:5]:
            addresses = [
                endpoint.address for endpoint in vm.list_addresses("zone2")
            ]
            self.assertNotIn("vm5:2", addresses)
        fleet.vms[5].update_local(is_starting=False)
        fleet.run(4)
        self.assertFalse(fleet.see(fleet.vms[0], "vm5").is_starting)

    def test_messages_reach_all_vms_once(self):
        fleet = membership_fleet.Fleet(27)
        fleet.run(30)
        received = []
        for vm in fleet.vms:
            vm.subscribe(
                "poison",
                lambda hint, name=vm.own.name: received.append(
                    (name, hint.key)
                ),
            )
        fleet.vms[3].publish("poison", "digest", b"x", 60_000)
        fleet.run(6)
        names = {vm.own.name for vm in fleet.vms} - {"vm3"}
        self.assertEqual(
            sorted(received), sorted((n, "digest") for n in names)
        )

    def test_newer_tables_are_announced(self):
        """An edit has reached only one VM; the others must learn of it."""
        fleet = membership_fleet.Fleet(9)
        fleet.run(20)
        notified = set()
        for vm in fleet.vms:

            def take(sender, vm=vm):
                notified.add(vm.own.name)
                vm.announce_revision(sender.revision)

            vm.subscribe_newer_tables(take)
        fleet.vms[2].announce_revision(7)
        fleet.run(4)
        self.assertEqual(len(notified), 8)

    def test_new_incarnation_exceeds_those_known_to_peers(self):
        """A VM's clock was set back while it was down.

        With a smaller incarnation, other VMs would cancel its running requests
        as orphaned.
        """
        fleet = membership_fleet.Fleet(3)
        fleet.run(20)
        peers = peer_network.FakePeers(fleet.network, "vm2:1")
        old = fleet.vms[2].own.incarnation
        fleet.network.down.add("vm0:1")
        seeds = ("vm0:1", "vm1:1")
        behind = clock.ManualClock(old - 1)
        ahead = clock.ManualClock(old + 500)
        for clock_, expected in ((behind, old + 1), (ahead, old + 500)):
            incarnation = controllers.choose_incarnation(
                "vm2", seeds, peers, clock_
            )
            self.assertEqual(incarnation, expected)

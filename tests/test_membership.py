"""VMs that find, suspect, lose and find one another again."""

import unittest

from mulberryway import clock
from mulberryway.controllers import membership as controllers
from mulberryway.policy import member
from tests import membership_fleet
from tests import peer_network


class ExpiryTest(unittest.TestCase):
    def test_a_suspect_is_dead_on_time_while_probes_wait(self):
        """Guards against VMs that count as alive for as long as this VM's
        calls to other VMs, or to the store, wait for answers.
        """
        clock_ = clock.ManualClock()
        own, other = (
            member.Member(name, "127.0.0.1", port, 9, "z", "r", 1)
            for port, name in enumerate(("vm0", "vm1"), 1)
        )
        found = controllers.MembershipController(
            own, (), peer_network.Network(), None, clock_, 500
        )
        view = found.exchange.view
        view.apply(other, 0)
        view.note_silent("vm1", 1, 0)
        self.assertEqual(found.list_alive(), ("vm0", "vm1"))
        clock_.advance_ms(10_000)
        self.assertEqual(found.list_alive(), ("vm0",))
        dead = next(one for one in found.list_members() if one.name == "vm1")
        self.assertIs(dead.health, member.MemberStatus.DEAD)


class MembershipTest(unittest.TestCase):
    def check_all_see(self, fleet, name, health, besides=()):
        for vm in fleet.vms:
            if vm.own.name != name and vm.own.name not in besides:
                seen = fleet.see(vm, name)
                self.assertIs(seen.health, health, vm.own.name)

    def test_all_find_one_another_through_one_seed(self):
        fleet = membership_fleet.Fleet(27)
        fleet.run(20)
        for vm in fleet.vms:
            self.assertEqual(len(vm.list_members()), 27)
        digests = {vm.exchange.view.digest() for vm in fleet.vms}
        self.assertEqual(len(digests), 1)

    def test_a_dead_vm_is_left_out_of_entry_answers(self):
        """A VM dies without a word; callers were sent to it before.

        An entry answer that still names it costs callers a failed try.
        """
        fleet = membership_fleet.Fleet(9)
        fleet.run(20)
        fleet.network.down.add("vm4:1")
        fleet.run(4)
        answers = [vm.list_addresses("zone1") for vm in fleet.vms]
        named = {one.address for answer in answers[:4] for one in answer}
        self.assertNotIn("vm4:2", named)
        fleet.run(20)
        self.check_all_see(fleet, "vm4", member.MemberStatus.DEAD)

    def test_the_last_other_vm_dies_and_comes_back(self):
        """A VM takes all others for dead, as one that is cut off does.  With
        nobody left to probe it looked for one for ever, held its view's lock
        meanwhile, and heard and told nothing any more, also afterwards.
        """
        fleet = membership_fleet.Fleet(2)
        fleet.run(20)
        fleet.network.down.add("vm1:1")
        fleet.run(30)
        first = fleet.vms[0]
        self.assertIs(fleet.see(first, "vm1").health, member.MemberStatus.DEAD)
        self.assertIsNone(first.exchange.view.choose_probe_target())
        fleet.network.down.discard("vm1:1")
        fleet.run(40)
        self.assertIs(
            fleet.see(first, "vm1").health, member.MemberStatus.ALIVE
        )

    def test_one_lost_link_kills_nobody(self):
        """Two VMs cannot reach each other, though all others reach both.

        Were one probe enough, both would be thrown out again and again.
        """
        fleet = membership_fleet.Fleet(9)
        fleet.run(20)
        fleet.network.cut.add(("vm3:1", "vm5:1"))
        fleet.run(40)
        self.check_all_see(fleet, "vm3", member.MemberStatus.ALIVE)
        self.check_all_see(fleet, "vm5", member.MemberStatus.ALIVE)

    def test_regions_that_lost_each_other_join_again(self):
        """Two halves are cut apart until each takes the other for dead."""
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

    def test_a_new_vm_at_an_old_address_is_not_the_old_one(self):
        """A VM is replaced; the new one has its name and IP number.

        Late news of the old one's death must not count against it.
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

    def test_a_vm_whose_clock_went_back_gets_a_larger_incarnation(self):
        """A restarted VM has a smaller incarnation than its old life.

        Taken for the old one, it would be ignored until that is forgotten.
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

    def test_a_stopping_vm_is_left_out_within_a_few_periods(self):
        fleet = membership_fleet.Fleet(27)
        fleet.run(30)
        fleet.vms[5].update_local(is_stopping=True)
        fleet.run(4)
        for vm in fleet.vms:
            self.assertTrue(fleet.see(vm, "vm5").is_stopping)
            named = [one.address for one in vm.list_addresses("zone2")]
            self.assertNotIn("vm5:2", named)

    def test_a_vm_that_cannot_serve_yet_is_left_out(self):
        """A VM has just begun and does not know where tokens are yet.
        Callers sent there would be refused within their rate.
        """
        fleet = membership_fleet.Fleet(9)
        fleet.run(20)
        fleet.vms[5].update_local(is_starting=True)
        fleet.run(4)
        for vm in fleet.vms[:5]:
            named = [one.address for one in vm.list_addresses("zone2")]
            self.assertNotIn("vm5:2", named)
        fleet.vms[5].update_local(is_starting=False)
        fleet.run(4)
        self.assertFalse(fleet.see(fleet.vms[0], "vm5").is_starting)

    def test_hints_reach_everybody_once(self):
        fleet = membership_fleet.Fleet(27)
        fleet.run(30)
        got = []
        for vm in fleet.vms:
            vm.subscribe(
                "poison",
                lambda hint, name=vm.own.name: got.append((name, hint.key)),
            )
        fleet.vms[3].publish("poison", "digest", b"x", 60_000)
        fleet.run(6)
        names = {vm.own.name for vm in fleet.vms} - {"vm3"}
        self.assertEqual(sorted(got), sorted((n, "digest") for n in names))

    def test_newer_tables_are_noticed(self):
        """An edit has reached one VM only; the others must hear of it."""
        fleet = membership_fleet.Fleet(9)
        fleet.run(20)
        heard = set()
        for vm in fleet.vms:

            def take(teller, vm=vm):
                heard.add(vm.own.name)
                vm.announce_revision(teller.revision)

            vm.subscribe_newer_tables(take)
        fleet.vms[2].announce_revision(7)
        fleet.run(4)
        self.assertEqual(len(heard), 8)

    def test_a_new_life_counts_on_from_what_peers_know(self):
        """A VM's clock went back while it was down.  Its new life would
        bear a smaller number, and others would cancel its running requests
        as those of a dead owner.
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
            found = controllers.choose_incarnation("vm2", seeds, peers, clock_)
            self.assertEqual(found, expected)

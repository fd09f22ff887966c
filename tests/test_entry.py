"""Tests of the choice of addresses for callers."""

import collections
import random
import unittest

from mulberryway.policy import endpoints
from mulberryway.policy import member


def make_member(
    name, zone, health=member.MemberStatus.ALIVE, is_stopping=False
):
    return member.Member(
        name, name, 1, 2, zone, "r", 1, 0, health, is_stopping
    )


class EndpointsTest(unittest.TestCase):
    def choose(self, members, zone="a", seed=0):
        return endpoints.choose_endpoints(
            members, zone, random.Random(seed), 0
        )

    def test_callers_zone_first_and_another_zone_last(self):
        members = [make_member(f"{z}{n}", z) for z in "abc" for n in range(3)]
        zones = [vm.zone for vm in self.choose(members)]
        self.assertEqual(zones[:2], ["a", "a"])
        self.assertNotEqual(zones[2], "a")

    def test_zone_without_vms_gets_other_zones(self):
        members = [make_member("b1", "b"), make_member("c1", "c")]
        self.assertEqual(len(self.choose(members)), 2)

    def test_suspected_and_stopping_vms_are_the_last_resort(self):
        """All VMs but one are suspected, because this VM's link failed.

        An empty response would keep callers from VMs that may be healthy.
        """
        suspect = make_member("a1", "a", member.MemberStatus.SUSPECT)
        stopping = make_member("a2", "a", is_stopping=True)
        healthy = make_member("b1", "b")
        chosen = self.choose([suspect, stopping, healthy])
        self.assertEqual([vm.address for vm in chosen], ["b1:2"])
        chosen = self.choose([suspect, stopping])
        self.assertEqual([vm.address for vm in chosen], ["a2:2"])
        self.assertEqual(len(self.choose([suspect])), 1)

    def test_callers_are_spread_over_vms(self):
        """A thousand callers get addresses between two updates of the counts.

        If all were sent to the VM with the lowest count, they would overload
        it.
        """
        members = [make_member(f"a{n}", "a") for n in range(6)]
        for number, vm in enumerate(members):
            vm.streams, vm.heard_ms = number, 0
        first = collections.Counter(
            self.choose(members, seed=seed)[0].address for seed in range(1_000)
        )
        self.assertLess(max(first.values()), 400)
        self.assertGreater(first["a0:2"], first["a4:2"])

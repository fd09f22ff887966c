"""Which addresses callers are told."""

import collections
import random
import unittest

from mulberryway.policy import endpoints
from mulberryway.policy import member


def make(name, zone, health=member.MemberStatus.ALIVE, is_stopping=False):
    return member.Member(
        name, name, 1, 2, zone, "r", 1, 0, health, is_stopping
    )


class EntryTest(unittest.TestCase):
    def choose(self, members, zone="a", seed=0):
        return endpoints.choose_endpoints(
            members, zone, random.Random(seed), 0
        )

    def test_the_callers_zone_first_and_another_zone_last(self):
        members = [make(f"{z}{n}", z) for z in "abc" for n in range(3)]
        zones = [one.zone for one in self.choose(members)]
        self.assertEqual(zones[:2], ["a", "a"])
        self.assertNotEqual(zones[2], "a")

    def test_a_zone_without_vms_gets_others(self):
        members = [make("b1", "b"), make("c1", "c")]
        self.assertEqual(len(self.choose(members)), 2)

    def test_suspects_and_stopping_vms_only_if_nobody_else_is_left(self):
        """All VMs but one are suspected: the link of the asked one failed.

        An empty answer would cut callers off from VMs that may well work.
        """
        suspect = make("a1", "a", member.MemberStatus.SUSPECT)
        stopping = make("a2", "a", is_stopping=True)
        good = make("b1", "b")
        chosen = self.choose([suspect, stopping, good])
        self.assertEqual([one.address for one in chosen], ["b1:2"])
        chosen = self.choose([suspect, stopping])
        self.assertEqual([one.address for one in chosen], ["a2:2"])
        self.assertEqual(len(self.choose([suspect])), 1)

    def test_callers_do_not_herd(self):
        """A thousand callers ask between two counts of running requests.

        If all were sent to the VM with the lowest count, it would be buried.
        """
        members = [make(f"a{n}", "a") for n in range(6)]
        for number, one in enumerate(members):
            one.streams, one.heard_ms = number, 0
        first = collections.Counter(
            self.choose(members, seed=seed)[0].address for seed in range(1_000)
        )
        self.assertLess(max(first.values()), 400)
        self.assertGreater(first["a0:2"], first["a4:2"])

"""Tests of which orphaned requests are cancelled."""

import unittest

import expression

from mulberryway import clock
from mulberryway import metrics
from mulberryway.controllers import owner_liveness
from mulberryway.controllers import reconciling
from mulberryway.objects import base as platform
from mulberryway.policy import member
from mulberryway.upstreams import base as upstreams
from tests import fakes


class FakeEngine:
    """An engine with given requests that records cancels."""

    def __init__(self, *labels):
        self.held = list(labels)
        self.cancelled = []

    def list_in_flight(self):
        return expression.Ok(
            [upstreams.InFlightRequest(one, "decode", 1) for one in self.held]
        )

    def cancel(self, label):
        self.cancelled.append(label.request_id)
        self.held.remove(label)
        return expression.Ok(True)


def make_member(name, incarnation, health=member.MemberStatus.ALIVE):
    return member.Member(
        name, "127.0.0.1", 1, 2, "z", "r", incarnation, health=health
    )


class ReconcilingTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.ManualClock(1_000)
        self.store = fakes.MemoryStore()
        self.store.vms = [platform.ListedVm("a", "", "z", False)]
        self.members = [make_member("a", 5)]
        self.running = set()

    def reconcile(self, engine, rounds=6):
        controller = reconciling.ReconcileController(
            "a",
            5,
            lambda: [engine],
            self.running.__contains__,
            owner_liveness.MembershipLivenessChecker(
                lambda: self.members, self.store, self.clock
            ),
            metrics.Metrics("a"),
            self.clock,
        )
        for _ in range(rounds):
            controller.step()
            self.clock.advance_ms(1_000)
        return engine.cancelled

    def label(self, request_id, vm, incarnation):
        return upstreams.AttemptLabel(request_id, vm, incarnation)

    def test_previous_incarnation(self):
        """A VM's router was killed and restarted.

        Requests of its previous incarnation must be cancelled, by that VM or
        by any other.
        """
        self.members.append(make_member("b", 9))
        engine = FakeEngine(
            self.label("own-old", "a", 4),
            self.label("b-old", "b", 8),
            self.label("b-new", "b", 9),
        )
        self.assertEqual(self.reconcile(engine), ["own-old", "b-old"])

    def test_removed_vm(self):
        """A VM is unreachable and no longer in the platform's list.

        Its requests would occupy slots forever.
        """
        self.members.append(make_member("b", 9, member.MemberStatus.DEAD))
        engine = FakeEngine(self.label("left", "b", 9))
        self.assertEqual(self.reconcile(engine), ["left"])

    def test_unreachable_is_not_dead(self):
        """A VM is unreachable for other VMs but not for callers and engines.

        Its running requests must not be cancelled.
        """
        self.members.append(make_member("b", 9, member.MemberStatus.DEAD))
        self.store.vms.append(platform.ListedVm("b", "", "z", False))
        engine = FakeEngine(self.label("live", "b", 9))
        self.assertEqual(self.reconcile(engine, 30), [])

    def test_platform_down(self):
        self.members.append(make_member("b", 9, member.MemberStatus.DEAD))
        self.store.outage = True
        engine = FakeEngine(self.label("live", "b", 9))
        self.assertEqual(self.reconcile(engine, 30), [])

    def test_unknown_owners(self):
        """An owner is not known, or newer than the known incarnation.

        This happens after a VM's start and does not prove that the owner is
        dead.
        """
        engine = FakeEngine(
            self.label("stranger", "c", 1),
            self.label("newer", "a", 6),
            self.label("odd", "", -1),
        )
        self.assertEqual(self.reconcile(engine, 30), [])

    def test_own_orphan_after_grace(self):
        """A cancel of this router was never confirmed.

        Its attempt must be cancelled, but not one that has just started.
        """
        engine = FakeEngine(
            self.label("orphan", "a", 5), self.label("live", "a", 5)
        )
        self.running.add("live")
        self.assertEqual(self.reconcile(engine, 3), [])
        self.assertEqual(self.reconcile(engine, 5), ["orphan"])

"""Servers that leave and entries that lapse, in fleets of several sizes.

A model of the store, its servers and the VMs' mirrors in virtual time: the
store refuses all VMs, or goes away itself, for 0.1 to 12 s, and a server
leaves at any moment.
"""

import random
import unittest

from mulberryway.objects import base
from mulberryway.policy import mass_expiry
from mulberryway.policy import mirrors
from mulberryway.policy import store_reachability

HEARTBEAT_MS = 1_200
DRAIN_MS = 2_000
# A VM reads what the store tells within so long, and other VMs hear of it.
POLL_MS = 50
TOLD_MS = 60
SHORTEST_MS, LONGEST_MS = 100, 12_000
END_MS = 30_000
# Days by how many VMs the fleet has.
DAYS = {6: 40, 79: 2, 195: 1}
# Right after an outage of the store operators bound nothing.
SETTLE_MS = 3_000


class Store:
    """Servers' entries, and the changes that watches tell.

    :param servers: how many there are
    :param drawn: draws when each server renews its entry
    """

    def __init__(self, servers, drawn):
        self.revision = 0
        self.entries = {}
        self.changes = []
        self.renewed_ms = {}
        self.phase_ms = {
            f"s{n}": drawn.randrange(HEARTBEAT_MS) for n in range(servers)
        }
        for name in self.phase_ms:
            self.put(name, 0)

    def put(self, name, now_ms):
        self.renewed_ms[name] = now_ms
        if name not in self.entries:
            self.revision += 1
            found = base.StoredObject("servers", name, self.revision, {})
            self.entries[name] = found
            self.changes.append((self.revision, False, found))

    def drop(self, name):
        found = self.entries.pop(name, None)
        if found is not None:
            self.revision += 1
            self.changes.append((self.revision, True, found))

    def advance(self, now_ms, is_away, live):
        """Let servers renew their entries, and drop those that lapsed."""
        for name in live:
            is_beat = (now_ms - self.phase_ms[name]) % HEARTBEAT_MS < POLL_MS
            if is_beat and not is_away:
                self.put(name, now_ms)
        for name in list(self.entries):
            if now_ms - self.renewed_ms[name] > 3 * HEARTBEAT_MS:
                self.drop(name)

    def list_events(self, revision):
        return [
            base.WatchEvent(
                base.EventType.DELETED if is_gone else base.EventType.MODIFIED,
                found,
            )
            for changed, is_gone, found in self.changes
            if changed > revision
        ]


class Vm:
    """One VM's mirror, and when it asks the store next."""

    def __init__(self, name):
        self.name = name
        self.outages = store_reachability.StoreReachability()
        limits = mass_expiry.RegistrationLimits(HEARTBEAT_MS, DRAIN_MS)
        self.mirror = mirrors.Mirror(
            "servers", mass_expiry.MassExpiryDetector(limits, self.outages)
        )
        self.is_reached = True
        self.get_next_event_ms = 0

    def step(self, store, is_answered, now_ms, pause_ms):
        """Ask the store if it is time to, and give up what is due."""
        self.mirror.expire(now_ms)
        if now_ms < self.get_next_event_ms:
            return
        self.is_reached = is_answered
        if not is_answered:
            self.mirror.record_failure(now_ms, "refused")
            self.get_next_event_ms = now_ms + pause_ms
            return
        self.mirror.record_response(now_ms)
        events = store.list_events(self.mirror.revision)
        self.mirror.apply(events, store.revision, now_ms)

    def names(self):
        return {one.name for one in self.mirror.list_objects()}


class Day:
    """One drawn day.

    :param size: how many VMs
    :param seed: draws all times
    :param is_outage: whether the store itself is away, so that servers cannot
        renew their entries either
    """

    def __init__(self, size, seed, is_outage):
        self.drawn = random.Random(seed)
        self.is_outage = is_outage
        self.vms = [Vm(f"a{n}") for n in range(size)]
        self.store = Store(8, self.drawn)
        self.live = set(self.store.phase_ms)
        self.from_ms = self.drawn.randrange(4_000, 6_000)
        self.to_ms = self.from_ms + self.drawn.randrange(
            SHORTEST_MS, LONGEST_MS
        )
        self.leaves_ms = self.drawn.randrange(4_000, END_MS - 6_000)
        self.leaving = self.drawn.choice(sorted(self.live))
        self.left_ms = END_MS
        self.late_ms = 0
        self.fewest = len(self.live)
        self.told_ms = -TOLD_MS

    def inject_all(self):
        for now_ms in range(0, END_MS, POLL_MS):
            is_away = self.from_ms <= now_ms < self.to_ms
            if now_ms >= self.leaves_ms and self.leaving in self.live:
                if not (is_away and self.is_outage):
                    self.live.discard(self.leaving)
                    self.store.drop(self.leaving)
                    self.left_ms = now_ms
            self.store.advance(now_ms, is_away and self.is_outage, self.live)
            for vm in self.vms:
                pause_ms = self.drawn.randrange(100, 1_250)
                vm.step(self.store, not is_away, now_ms, pause_ms)
            self.exchange(now_ms)
            self.judge(now_ms)
        return self

    def exchange(self, now_ms):
        """Tell who is reached, and pass on copies to those who are behind."""
        if now_ms - self.told_ms < TOLD_MS:
            return
        self.told_ms = now_ms
        newest = max(self.vms, key=lambda vm: vm.mirror.changed_revision)
        for vm in self.vms:
            for other in self.drawn.sample(self.vms, min(len(self.vms), 12)):
                if other is not vm:
                    vm.outages.note_peer(other.name, other.is_reached, now_ms)
            if vm.mirror.changed_revision < newest.mirror.changed_revision:
                vm.mirror.replace_from_peer(
                    list(newest.mirror.objects.values()),
                    newest.mirror.changed_revision,
                    now_ms,
                    [
                        mirrors.RetainedObject(
                            one.object, one.revision, now_ms, one.until_ms
                        )
                        for one in newest.mirror.list_retained()
                    ],
                )

    def find_bound(self):
        """Return from when on the server's leaving counts."""
        if not self.from_ms <= self.left_ms < self.to_ms + SETTLE_MS:
            return self.left_ms
        if self.is_outage:
            return END_MS
        # Where no VM was answered none could have known.
        return max(self.left_ms, self.to_ms)

    def judge(self, now_ms):
        for vm in self.vms:
            names = vm.names()
            if self.leaving in names and self.leaving not in self.live:
                self.late_ms = max(self.late_ms, now_ms - self.find_bound())
            self.fewest = min(self.fewest, len(names & self.live))


class LapseModelTest(unittest.TestCase):
    def list_days(self, is_outage):
        for size, days in DAYS.items():
            for seed in range(days):
                yield size, seed, Day(size, seed, is_outage).inject_all()

    def test_server_that_leaves_beside_refusals_is_given_up_in_time(self):
        """Guards against requests for a server that has left, whatever kept
        all VMs from the store meanwhile.
        """
        for size, seed, day in self.list_days(is_outage=False):
            with self.subTest(vms=size, seed=seed):
                self.assertLess(day.late_ms, DRAIN_MS)

    def test_entries_that_lapse_in_an_outage_cost_no_server(self):
        """Guards against VMs without servers after an outage of the store in
        which all entries lapsed.
        """
        for size, seed, day in self.list_days(is_outage=True):
            with self.subTest(vms=size, seed=seed):
                self.assertGreaterEqual(day.fewest, len(day.live) // 2)
                self.assertLess(day.late_ms, DRAIN_MS)

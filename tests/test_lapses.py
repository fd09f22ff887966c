"""Model of deregistered servers and expired entries, in virtual time.

It contains the store, its servers and the mirrors of fleets of several sizes.
The store rejects all VMs, or has an outage itself, for 0.1 to 12 s, and a
server deregisters at a random time.
"""

import random
import unittest

from mulberryway.objects import base
from mulberryway.objects import position
from mulberryway.policy import mass_expiry
from mulberryway.policy import mirrors
from mulberryway.policy import store_reachability

HEARTBEAT_MS = 1_200
DRAIN_MS = 2_000
# VMs poll the store and exchange their state at these intervals.
POLL_MS = 50
EXCHANGE_MS = 60
SHORTEST_MS, LONGEST_MS = 100, 12_000
END_MS = 30_000
# Number of runs by number of VMs.
RUNS_BY_VMS = {6: 40, 79: 2, 195: 1}
# No bound applies immediately after an outage of the store.
SETTLE_MS = 3_000


class Store:
    """Servers' entries, and the changes that watches return.

    :param servers: number of servers
    :param rng: chooses when each server renews its entry
    """

    def __init__(self, servers, rng):
        self.revision = 0
        self.entries = {}
        self.changes = []
        self.renewed_ms = {}
        self.phase_ms = {
            f"s{n}": rng.randrange(HEARTBEAT_MS) for n in range(servers)
        }
        for name in self.phase_ms:
            self.put(name, 0)

    def put(self, name, now_ms):
        self.renewed_ms[name] = now_ms
        if name not in self.entries:
            self.revision += 1
            entry = base.StoredObject("servers", name, self.revision, {})
            self.entries[name] = entry
            self.changes.append((self.revision, False, entry))

    def remove(self, name):
        entry = self.entries.pop(name, None)
        if entry is not None:
            self.revision += 1
            self.changes.append((self.revision, True, entry))

    def advance(self, now_ms, is_down, live):
        """Let servers renew their entries, and remove those that expired."""
        for name in live:
            is_renewal_due = (
                now_ms - self.phase_ms[name]
            ) % HEARTBEAT_MS < POLL_MS
            if is_renewal_due and not is_down:
                self.put(name, now_ms)
        for name in list(self.entries):
            if now_ms - self.renewed_ms[name] > 3 * HEARTBEAT_MS:
                self.remove(name)

    def list_events(self, revision):
        return [
            base.WatchEvent(
                base.EventType.DELETED
                if is_deleted
                else base.EventType.MODIFIED,
                entry,
            )
            for changed, is_deleted, entry in self.changes
            if changed > revision
        ]


class Vm:
    """One VM's mirror, and the time of its next poll."""

    def __init__(self, name):
        self.name = name
        self.reachability = store_reachability.StoreReachability()
        limits = mass_expiry.RegistrationLimits(HEARTBEAT_MS, DRAIN_MS)
        self.mirror = mirrors.Mirror(
            "servers",
            mass_expiry.MassExpiryDetector(limits, self.reachability),
        )
        self.is_reached = True
        self.next_poll_ms = 0

    def step(self, store, is_answered, now_ms, backoff_ms):
        """Poll the store if that is due, and expire retained objects."""
        self.mirror.expire(now_ms)
        if now_ms < self.next_poll_ms:
            return
        self.is_reached = is_answered
        if not is_answered:
            self.mirror.record_failure(now_ms, "refused")
            self.next_poll_ms = now_ms + backoff_ms
            return
        self.mirror.record_response(now_ms)
        events = store.list_events(self.mirror.position.revision)
        self.mirror.apply(events, position.Position(0, store.revision), now_ms)

    def names(self):
        return {object_.name for object_ in self.mirror.list_objects()}


class Run:
    """One simulated run with random times.

    :param size: number of VMs
    :param seed: seed of the random generator
    :param is_outage: whether the store itself is down, so that servers cannot
        renew their entries either
    """

    def __init__(self, size, seed, is_outage):
        self.rng = random.Random(seed)
        self.is_outage = is_outage
        self.vms = [Vm(f"a{n}") for n in range(size)]
        self.store = Store(8, self.rng)
        self.live = set(self.store.phase_ms)
        self.from_ms = self.rng.randrange(4_000, 6_000)
        self.to_ms = self.from_ms + self.rng.randrange(SHORTEST_MS, LONGEST_MS)
        self.deregister_ms = self.rng.randrange(4_000, END_MS - 6_000)
        self.leaving = self.rng.choice(sorted(self.live))
        self.left_ms = END_MS
        self.max_stale_ms = 0
        self.min_servers = len(self.live)
        self.exchanged_ms = -EXCHANGE_MS

    def execute(self):
        for now_ms in range(0, END_MS, POLL_MS):
            is_unreachable = self.from_ms <= now_ms < self.to_ms
            if now_ms >= self.deregister_ms and self.leaving in self.live:
                if not (is_unreachable and self.is_outage):
                    self.live.discard(self.leaving)
                    self.store.remove(self.leaving)
                    self.left_ms = now_ms
            self.store.advance(
                now_ms, is_unreachable and self.is_outage, self.live
            )
            for vm in self.vms:
                backoff_ms = self.rng.randrange(100, 1_250)
                vm.step(self.store, not is_unreachable, now_ms, backoff_ms)
            self.exchange(now_ms)
            self.measure(now_ms)
        return self

    def exchange(self, now_ms):
        """Exchange reachability reports and copies between VMs."""
        if now_ms - self.exchanged_ms < EXCHANGE_MS:
            return
        self.exchanged_ms = now_ms
        newest = max(self.vms, key=lambda vm: vm.mirror.changed)
        for vm in self.vms:
            for other in self.rng.sample(self.vms, min(len(self.vms), 12)):
                if other is not vm:
                    vm.reachability.record_peer(
                        other.name, other.is_reached, now_ms
                    )
            if vm.mirror.changed < newest.mirror.changed:
                vm.mirror.replace_from_peer(
                    list(newest.mirror.objects.values()),
                    newest.mirror.changed,
                    now_ms,
                    [
                        mirrors.RetainedObject(
                            item.object, item.position, now_ms, item.until_ms
                        )
                        for item in newest.mirror.list_retained()
                    ],
                )

    def compute_bound_ms(self):
        """Return from when on the server counts as deregistered, in ms."""
        if not self.from_ms <= self.left_ms < self.to_ms + SETTLE_MS:
            return self.left_ms
        if self.is_outage:
            return END_MS
        # No VM could know earlier, because the store answered none.
        return max(self.left_ms, self.to_ms)

    def measure(self, now_ms):
        for vm in self.vms:
            names = vm.names()
            if self.leaving in names and self.leaving not in self.live:
                self.max_stale_ms = max(
                    self.max_stale_ms, now_ms - self.compute_bound_ms()
                )
            self.min_servers = min(self.min_servers, len(names & self.live))


class MassExpiryModelTest(unittest.TestCase):
    def run_all(self, is_outage):
        for size, runs in RUNS_BY_VMS.items():
            for seed in range(runs):
                yield size, seed, Run(size, seed, is_outage).execute()

    def test_deregistered_server_is_removed_despite_rejections(self):
        """Guard against requests to a deregistered server.

        All VMs are rejected by the store around the time of the
        deregistration.
        """
        for size, seed, run in self.run_all(is_outage=False):
            with self.subTest(vms=size, seed=seed):
                self.assertLess(run.max_stale_ms, DRAIN_MS)

    def test_entries_expired_in_an_outage_are_retained(self):
        """Guard against VMs without servers after an outage of the store.

        All entries expire in the outage.
        """
        for size, seed, run in self.run_all(is_outage=True):
            with self.subTest(vms=size, seed=seed):
                self.assertGreaterEqual(run.min_servers, len(run.live) // 2)
                self.assertLess(run.max_stale_ms, DRAIN_MS)

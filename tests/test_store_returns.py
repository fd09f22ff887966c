"""Tests of a store that returns from a copy some seconds old."""

import time
import unittest

from tests import advisory_fleet
from tests import hosted_fleet
from tests import processes

# How long after an acknowledgement a change may take to be in force.
BOUND_MS = 2_000
MS_IN_S = 1_000
AWAY_S = 0.8
# Calls are repeated after the longest pause by then.
LONG_AWAY_S = 2.6
# What the operators and the servers lost is written again after this time.
REWRITE_S = 0.4
PLAY_S = 6.0
# All watches have ended and been renewed after this time.
POLL_S = 3.0
PLAIN_S = 1 / 33
# 410 VMs share a store that takes 6,000 reads per second.
MAX_CALLS_PER_S = 14
LOST = hosted_fleet.make_route("r-lost", "/lost/", "app", "idempotent", 2)
NEWER = hosted_fleet.make_route("r-newer", "/newer/", "app", "idempotent", 2)


class ReturnTest(unittest.TestCase):
    """Three VMs under load while their store returns from a copy."""

    def setUp(self):
        self.fleet = advisory_fleet.AdvisoryFleet()
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__)
        self.vms = range(len(self.fleet.vms))

    def write_noise(self, count):
        """Write objects that have no meaning for VMs."""
        for number in range(count):
            self.fleet.put("notes", f"n{number}", {})

    def lose_changes(self, count, away_s=AWAY_S):
        """Let the store return from a copy without a version and changes."""
        self.fleet.copy_store()
        self.write_noise(count - 1)
        self.fleet.configure(more=[LOST])
        self.wait_served("/lost/a")
        time.sleep(POLL_S)
        self.fleet.restore_store(away_s)
        time.sleep(REWRITE_S)

    def wait_served(self, path):
        for vm in self.vms:
            self.assertTrue(
                processes.wait_until(
                    lambda vm=vm: self.get_status(vm, path) == 200, 5
                ),
                f"{path} at VM {vm}",
            )

    def get_status(self, vm, path):
        return self.fleet.send(vm, path, f"{vm}-{time.monotonic_ns()}").status

    def list_late(self, server, since_ms):
        """Return the arrivals at a server later than a change may take."""
        return [
            request["at_ms"]
            for request in self.fleet.list_requests(server)
            if request["at_ms"] > since_ms + BOUND_MS
        ]

    def check_changes(self, newer, acked_ms):
        """Check that a new route and a server's leaving are in force."""
        self.assertEqual(len(self.list_late("s0", acked_ms)), 0)
        requests = newer.list_since(acked_ms + BOUND_MS)
        self.assertEqual(
            advisory_fleet.count_served(requests), len(requests), "/newer/"
        )

    def check_changes_after_a_return(self, lost, noise):
        """Write a version and let a server leave after a return."""
        self.lose_changes(lost)
        self.fleet.version -= 3
        self.fleet.configure(more=[LOST])
        self.fleet.configure(more=[LOST, NEWER])
        self.fleet.register("s0", "draining", sequence=2)
        acked_ms = advisory_fleet.now_ms()
        self.write_noise(noise)
        calls = self.fleet.count_store_calls()
        with (
            advisory_fleet.Load(self.fleet, PLAIN_S),
            advisory_fleet.Load(self.fleet, PLAIN_S, "/newer/") as newer,
        ):
            time.sleep(PLAY_S)
            rate = (self.fleet.count_store_calls() - calls) / PLAY_S
        self.check_changes(newer, acked_ms)
        self.assertLessEqual(rate, MAX_CALLS_PER_S * len(self.vms))

    def test_few_changes_are_lost(self):
        """Guards against a watch that goes on from a revision which was given
        out again, and so misses changes for good.
        """
        self.check_changes_after_a_return(lost=3, noise=0)

    def test_many_changes_are_lost(self):
        """Guards against listings that are dropped because the store's
        revision is lower than before.
        """
        self.check_changes_after_a_return(lost=40, noise=0)

    def test_revisions_pass_the_lost_ones(self):
        """Guards against changes of the new era that are missed because the
        old one had their revisions too.
        """
        self.check_changes_after_a_return(lost=6, noise=8)

    def test_vm_that_is_cut_off_learns_of_the_return(self):
        """Guards against a VM that takes changes of the new era, which it
        hears of from other VMs only, for older ones.
        """
        proxy = hosted_fleet.StoreProxy(self.fleet)
        self.fleet.vms[0].kill()
        self.fleet.start_vm(0, proxy.port).wait_ready()
        processes.wait_until(lambda: self.fleet.is_ready(self.fleet.ports[0]))
        self.fleet.copy_store()
        self.write_noise(40)
        self.fleet.configure()
        time.sleep(POLL_S)
        proxy.cut_off()
        self.fleet.restore_store(AWAY_S)
        time.sleep(REWRITE_S)
        self.fleet.configure(more=[NEWER])
        self.fleet.register("s0", "draining", sequence=2)
        acked_ms = advisory_fleet.now_ms()
        with advisory_fleet.Load(self.fleet, PLAIN_S, "/newer/") as newer:
            time.sleep(PLAY_S)
        self.check_changes(newer, acked_ms)

    def test_configuration_does_not_go_back(self):
        """Guards against a version in force that is replaced by the older one
        of the copy, also on a VM that has started since.
        """
        self.lose_changes(10)
        self.fleet.vms[0].kill()
        self.fleet.start_vm(0).wait_ready()
        processes.wait_until(lambda: self.fleet.is_ready(self.fleet.ports[0]))
        # A VM that has just started may take a while to learn of it.
        time.sleep(BOUND_MS / MS_IN_S)
        with advisory_fleet.Load(self.fleet, PLAIN_S, "/lost/") as lost:
            time.sleep(3)
        self.assertEqual(
            advisory_fleet.count_served(lost.sent), len(lost.sent), "/lost/"
        )

    def test_leaving_server_does_not_come_back(self):
        """Guards against a server that said it leaves and is ready in the
        copy.
        """
        self.fleet.copy_store()
        self.fleet.register("s0", "draining", sequence=2)
        acked_ms = advisory_fleet.now_ms()
        with advisory_fleet.Load(self.fleet, PLAIN_S):
            time.sleep(1)
            self.fleet.restore_store(AWAY_S)
            time.sleep(2)
            self.fleet.register("s0", "draining", sequence=3)
            time.sleep(2)
        self.assertEqual(len(self.list_late("s0", acked_ms)), 0)

    def test_servers_registered_since_the_copy_are_kept(self):
        """Guards against requests that are rejected because the copy lacks
        all servers, which register again within two seconds.
        """
        for name in advisory_fleet.SERVERS:
            self.fleet.drop("servers", name)
        self.fleet.copy_store()
        for name in advisory_fleet.SERVERS:
            self.fleet.register(name, sequence=2)
        self.wait_served("/plain/a")
        with advisory_fleet.Load(self.fleet, PLAIN_S) as load:
            self.fleet.restore_store(AWAY_S)
            time.sleep(1.5)
            for name in advisory_fleet.SERVERS:
                self.fleet.register(name, sequence=3)
            time.sleep(2)
        self.assertEqual(
            advisory_fleet.count_served(load.sent), len(load.sent)
        )

    def test_history_is_lost_soon_after_a_return(self):
        """Guards against pauses from before the return that delay the next
        listing beyond the time that a change may take.
        """
        for number in range(3):
            self.lose_changes(20, LONG_AWAY_S)
            time.sleep(1)
            self.fleet.compact_store()
            route = hosted_fleet.make_route(
                f"r-{number}", f"/again{number}/", "app", "idempotent", 2
            )
            self.fleet.configure(more=[LOST, route])
            time.sleep(BOUND_MS / MS_IN_S)
            statuses = [
                self.get_status(vm, f"/again{number}/a") for vm in self.vms
            ]
            self.assertEqual(set(statuses), {200}, number)

    def test_vms_register_again(self):
        """Guards against a fleet whose VMs are missing in the store for
        good.
        """
        self.fleet.drop_all("vms")
        self.fleet.copy_store()
        self.fleet.restore_store(AWAY_S)
        self.assertTrue(
            processes.wait_until(
                lambda: len(self.fleet.list_stored("vms")) == len(self.vms),
                10,
            )
        )

    def test_returns_in_series(self):
        """Guards against a VM that takes the second of two returns for the
        first.
        """
        self.lose_changes(20)
        self.fleet.restore_store(0.3)
        self.fleet.vms[1].kill()
        self.fleet.start_vm(1)
        self.fleet.restore_store(0.3)
        time.sleep(REWRITE_S)
        self.fleet.configure(more=[LOST, NEWER])
        self.fleet.register("s0", "draining", sequence=2)
        acked_ms = advisory_fleet.now_ms()
        processes.wait_until(lambda: self.fleet.is_ready(self.fleet.ports[1]))
        with advisory_fleet.Load(self.fleet, PLAIN_S, "/newer/") as newer:
            time.sleep(PLAY_S)
        self.check_changes(newer, acked_ms)


class HeaderTest(unittest.TestCase):
    """A store whose header is missing or malformed."""

    def test_store_without_eras(self):
        """Guards against VMs that need the header."""
        with advisory_fleet.AdvisoryFleet() as fleet:
            fleet.set_era_header("")
            fleet.configure(more=[NEWER])
            for vm in range(len(fleet.vms)):
                self.assertTrue(
                    processes.wait_until(
                        lambda vm=vm: (
                            fleet.send(vm, "/newer/a", f"{vm}-a").status == 200
                        ),
                        5,
                    )
                )

    def test_malformed_era(self):
        """Guards against requests that fail because of a malformed header."""
        for header in ("x", "-1", "1.5", "0", "9" * 40):
            with self.subTest(header=header):
                self.check_header(header)

    def check_header(self, header):
        with advisory_fleet.AdvisoryFleet(vms=1) as fleet:
            fleet.set_era_header(header)
            fleet.configure(more=[])
            time.sleep(1)
            with advisory_fleet.Load(fleet, PLAIN_S) as load:
                time.sleep(1)
            fleet.set_era_header(None)
            fleet.configure(more=[NEWER])
            self.assertTrue(
                processes.wait_until(
                    lambda: fleet.send(0, "/newer/a", "0-a").status == 200, 5
                )
            )
        self.assertEqual(
            advisory_fleet.count_served(load.sent), len(load.sent)
        )

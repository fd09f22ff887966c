"""Tests of servers that say in their answers that they leave."""

import time
import unittest

from tests import advisory_fleet
from tests import processes

HEADER = "Server-Leaving"
DRAIN_MS = 2_000
WARM_UP_S = 3
LEAVING_S = 7
PLAIN_S = 1 / 33
STREAM_S = 1 / 7
MIN_SERVED_FRACTION = 0.95
AT_ONCE_MS = 500


class LeavingTest(unittest.TestCase):
    def play(
        self,
        fleet,
        servers,
        interval_s=PLAIN_S,
        path=advisory_fleet.PLAIN_PATH,
        **faults,
    ):
        """Let servers leave under load; return the later requests."""
        with advisory_fleet.Load(fleet, interval_s, path) as load:
            time.sleep(WARM_UP_S)
            began_ms = advisory_fleet.now_ms()
            for server in servers:
                fleet.set_fault(server, leaving=1, **faults)
            time.sleep(LEAVING_S)
            ended_ms = advisory_fleet.now_ms()
        for server in servers:
            late = fleet.list_counted(server, HEADER, DRAIN_MS)
            self.assertEqual(len(late), 0, server)
        return load.list_since(began_ms, ended_ms)

    def check_served(self, requests):
        self.assertGreaterEqual(
            advisory_fleet.count_served(requests),
            MIN_SERVED_FRACTION * len(requests),
        )

    def test_server_leaves_while_the_store_is_away(self):
        """Guards against calls to a server that only its answers show to be
        leaving.
        """
        with advisory_fleet.AdvisoryFleet() as fleet:
            fleet.set_store_fault("silent")
            self.check_served(self.play(fleet, ("s0",)))

    def test_store_lists_the_servers_as_ready(self):
        """Guards against entries in the store that bring a leaving server
        back.
        """
        with advisory_fleet.AdvisoryFleet() as fleet:
            self.check_served(self.play(fleet, ("s0", "s1")))
            fleet.register("s0")
            fleet.configure()
            with advisory_fleet.Load(fleet, PLAIN_S):
                time.sleep(1)
            late = fleet.list_counted("s0", HEADER, DRAIN_MS)
            self.assertEqual(len(late), 0)

    def test_server_leaves_and_rejects(self):
        """Guards against rejections of which only the status is read."""
        with advisory_fleet.AdvisoryFleet() as fleet:
            self.check_served(self.play(fleet, ("s0",), full=1))

    def test_decode_engine_leaves(self):
        """Guards against decodes at an engine that only its answers show to
        be leaving.
        """
        with advisory_fleet.AdvisoryFleet() as fleet:
            fleet.set_store_fault("silent")
            self.check_served(
                self.play(fleet, ("e1",), STREAM_S, advisory_fleet.STREAM_PATH)
            )

    def test_prefill_engine_leaves(self):
        """Guards against prefills at an engine that only its answers show to
        be leaving.
        """
        with advisory_fleet.AdvisoryFleet() as fleet:
            fleet.set_store_fault("silent")
            self.check_served(
                self.play(fleet, ("e0",), STREAM_S, advisory_fleet.STREAM_PATH)
            )

    def test_all_servers_leave(self):
        """Guards against calls that wait for servers which all leave, and
        against a VM that does not find the new ones.
        """
        with advisory_fleet.AdvisoryFleet() as fleet:
            requests = self.play(fleet, advisory_fleet.SERVERS)
            rejected = [one for one in requests if one.status == 503]
            self.assertTrue(rejected)
            self.assertTrue(all(one.retry_after_s for one in rejected))
            self.assertLess(max(one.took_ms for one in rejected), AT_ONCE_MS)
            fleet.start_upstream("s9", "app")
            for vm in range(len(fleet.vms)):
                self.assertTrue(
                    processes.wait_until(
                        lambda vm=vm: (
                            fleet.send(vm, "/plain/x", f"{vm}-n").status == 200
                        )
                    )
                )

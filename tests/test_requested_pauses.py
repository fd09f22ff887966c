"""Tests of servers that reject requests and want none for a while."""

import time
import unittest

from tests import advisory_fleet

HEADER = "Retry-After"
# Requests that are on their way may still arrive.
IN_FLIGHT_MS = 500
MAX_IN_PAUSE = 2
WARM_UP_S = 3
PAUSED_S = 8
PLAIN_S = 1 / 33
STREAM_S = 1 / 7
MIN_SERVED_FRACTION = 0.95
AT_ONCE_MS = 500


def count_most_in_pause(fleet, server):
    """Return the most requests that one VM sent within one pause."""
    requests = fleet.list_requests(server)
    return max(
        (
            sum(
                advisory_fleet.find_vm(other) == advisory_fleet.find_vm(one)
                and IN_FLIGHT_MS
                <= other["at_ms"] - one["said_ms"]
                < float(one["said"][HEADER]) * 1_000
                for other in requests
            )
            for one in requests
            if HEADER in one["said"]
        ),
        default=0,
    )


class PauseTest(unittest.TestCase):
    def play(
        self,
        fleet,
        servers,
        interval_s=PLAIN_S,
        path=advisory_fleet.PLAIN_PATH,
        **faults,
    ):
        """Let servers want pauses under load; return the later requests."""
        with advisory_fleet.Load(fleet, interval_s, path) as load:
            time.sleep(WARM_UP_S)
            began_ms = advisory_fleet.now_ms()
            for server in servers:
                fleet.set_fault(server, **({"pause_s": 3} | faults))
            time.sleep(PAUSED_S)
            ended_ms = advisory_fleet.now_ms()
        for server in servers:
            most = count_most_in_pause(fleet, server)
            self.assertLessEqual(most, MAX_IN_PAUSE, server)
        return load.list_since(began_ms, ended_ms)

    def check_served(self, requests):
        self.assertGreaterEqual(
            advisory_fleet.count_served(requests),
            MIN_SERVED_FRACTION * len(requests),
        )

    def test_one_server(self):
        """Guards against calls to a server that has asked for a pause."""
        with advisory_fleet.AdvisoryFleet() as fleet:
            self.check_served(self.play(fleet, ("s0",)))

    def test_two_servers_at_times(self):
        """Guards against a pause that ends with the next success."""
        with advisory_fleet.AdvisoryFleet() as fleet:
            requests = self.play(
                fleet, ("s0", "s1"), pause_s=2.5, pause_every=3
            )
            self.check_served(requests)

    def test_too_many_requests(self):
        """Guards against a pause that is read from one status only."""
        with advisory_fleet.AdvisoryFleet() as fleet:
            requests = self.play(fleet, ("s0",), pause_status=429)
            self.check_served(requests)

    def test_all_servers(self):
        """Guards against calls that go on or wait while all servers want a
        pause, and against rejections without its end.
        """
        with advisory_fleet.AdvisoryFleet() as fleet:
            requests = self.play(fleet, advisory_fleet.SERVERS)
            rejected = [one for one in requests if one.status == 503]
            self.assertTrue(rejected)
            waits_s = [float(one.retry_after_s) for one in rejected]
            # A caller returns within a third of its 4 s.
            self.assertLessEqual(max(waits_s), 3)
            self.assertLess(max(one.took_ms for one in rejected), AT_ONCE_MS)

    def test_decode_engine(self):
        """Guards against decodes at an engine that has asked for a pause, and
        against streams that are rejected while other engines are free.
        """
        with advisory_fleet.AdvisoryFleet() as fleet:
            self.play(fleet, ("e1",), STREAM_S, advisory_fleet.STREAM_PATH)

    def test_prefill_engine(self):
        """Guards against prefills at an engine that has asked for a pause."""
        with advisory_fleet.AdvisoryFleet() as fleet:
            self.play(fleet, ("e0",), STREAM_S, advisory_fleet.STREAM_PATH)

    def test_all_decode_engines(self):
        """Guards against streams that wait while all engines want a pause."""
        with advisory_fleet.AdvisoryFleet() as fleet:
            self.play(
                fleet,
                ("e1", "e2", "e3"),
                STREAM_S,
                advisory_fleet.STREAM_PATH,
            )

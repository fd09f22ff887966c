"""Tests of fleets whose servers name rate limits in their answers."""

import time
import unittest

from tests import advisory_fleet
from tests import processes

HEADER = "Server-Limit"
LIMIT_ENDED = '"rate_per_s": null'
# The rule allows one and a half times the limit in 4 s, and five requests.
OVER_FACTOR = 1.5
SLACK = 5
SECONDS = 4
WARM_UP_S = 3
LIMITED_S = 10
PLAIN_S = 1 / 33
STREAM_S = 1 / 7
MIN_SERVED_FRACTION = 0.95
# A rejection that was known at once.
AT_ONCE_MS = 500


def compute_allowed(limit):
    return int(OVER_FACTOR * limit * SECONDS + SLACK)


class LimitCase(unittest.TestCase):
    def check_limit(self, fleet, server, limit):
        times = fleet.list_counted(server, HEADER)
        self.assertLessEqual(
            advisory_fleet.count_most(times),
            compute_allowed(limit),
            f"{server} got {len(times)} requests",
        )

    def check_served(self, requests):
        self.assertGreaterEqual(
            advisory_fleet.count_served(requests),
            MIN_SERVED_FRACTION * len(requests),
        )

    def play(self, fleet, limits, **load):
        """Let servers name limits under load; return the later requests."""
        with advisory_fleet.Load(fleet, PLAIN_S, **load) as sent:
            time.sleep(WARM_UP_S)
            began_ms = advisory_fleet.now_ms()
            for server, limit in limits.items():
                fleet.set_fault(server, limit_per_s=limit)
            time.sleep(LIMITED_S)
            ended_ms = advisory_fleet.now_ms()
        return sent.list_since(began_ms, ended_ms)


class PlainServerTest(LimitCase):
    def test_one_server_names_a_limit(self):
        """Guards against a named limit that no VM reads, and against callers
        who are not served although other servers are free.
        """
        with advisory_fleet.AdvisoryFleet() as fleet:
            requests = self.play(fleet, {"s0": 2.3})
            self.check_limit(fleet, "s0", 2.3)
            self.check_served(requests)

    def test_limit_below_one_request_of_each_vm(self):
        """Guards against VMs that each take a small limit for themselves."""
        with advisory_fleet.AdvisoryFleet() as fleet:
            requests = self.play(fleet, {"s0": 0.5})
            self.check_limit(fleet, "s0", 0.5)
            self.check_served(requests)

    def test_all_callers_at_one_vm(self):
        """Guards against a limit that holds for even load only."""
        with advisory_fleet.AdvisoryFleet() as fleet:
            requests = self.play(fleet, {"s0": 2.3}, pick_vm=lambda number: 0)
            self.check_limit(fleet, "s0", 2.3)
            self.check_served(requests)

    def test_all_servers_name_limits(self):
        """Guards against calls that wait, and against rejections without a
        time, while all servers have got what they accept.
        """
        limits = dict.fromkeys(advisory_fleet.SERVERS, 2.3)
        with advisory_fleet.AdvisoryFleet() as fleet:
            requests = self.play(fleet, limits)
            for server in limits:
                self.check_limit(fleet, server, 2.3)
            served = advisory_fleet.count_served(requests)
            # Half of what the servers accept, for callers spread at random.
            self.assertGreaterEqual(served, 3 * 2.3 * LIMITED_S / 2)
            rejected = [one for one in requests if one.status != 200]
            self.assertTrue(rejected)
            self.assertEqual({503}, {one.status for one in rejected})
            self.assertTrue(all(one.retry_after_s for one in rejected))
            self.assertLess(max(one.took_ms for one in rejected), AT_ONCE_MS)

    def test_limit_is_lowered(self):
        """Guards against a limit that only the first answer sets."""
        with advisory_fleet.AdvisoryFleet() as fleet:
            with advisory_fleet.Load(fleet, PLAIN_S):
                fleet.set_fault("s0", limit_per_s=12)
                time.sleep(7)
                fleet.set_fault("s0", limit_per_s=1.5)
                lowered_ms = advisory_fleet.now_ms()
                time.sleep(LIMITED_S)
            times = fleet.list_counted("s0", HEADER)
            self.assertLessEqual(
                advisory_fleet.count_most(times), compute_allowed(12)
            )
            # VMs with few requests to the server hear of it from the others.
            late = [at for at in times if at >= lowered_ms + 3_000]
            self.assertLessEqual(
                advisory_fleet.count_most(late), compute_allowed(1.5)
            )

    def test_limit_ends(self):
        """Guards against VMs without a share of a limit that never hear that
        it has ended.
        """
        with advisory_fleet.AdvisoryFleet() as fleet:
            with advisory_fleet.Load(fleet, PLAIN_S):
                time.sleep(1)
                fleet.set_fault("s0", limit_per_s=0.5)
                time.sleep(5)
                fleet.set_fault("s0", limit_per_s=0)
                # VMs may prefer other servers and leave this one alone.
                for server in ("s1", "s2"):
                    fleet.set_fault(server, full=1)
                self.assertTrue(
                    processes.wait_until(
                        lambda: count_ends(fleet) == len(fleet.vms), 10, 0.2
                    )
                )


def count_ends(fleet):
    """Return how many VMs know that a limit has ended."""
    return sum(
        LIMIT_ENDED in fleet.find_log(number).read_text()
        for number in range(len(fleet.vms))
    )


class EngineTest(LimitCase):
    def check_engine(self, engine, limit):
        with advisory_fleet.AdvisoryFleet() as fleet:
            with advisory_fleet.Load(
                fleet, STREAM_S, advisory_fleet.STREAM_PATH
            ) as sent:
                time.sleep(WARM_UP_S)
                began_ms = advisory_fleet.now_ms()
                fleet.set_fault(engine, limit_per_s=limit)
                time.sleep(LIMITED_S)
                ended_ms = advisory_fleet.now_ms()
            self.check_limit(fleet, engine, limit)
            self.check_served(sent.list_since(began_ms, ended_ms))

    def test_decode_engine_names_a_limit(self):
        """Guards against decodes beyond the limit that an engine names."""
        self.check_engine("e1", 0.3)

    def test_prefill_engine_names_a_limit(self):
        """Guards against prefills beyond the limit that an engine names."""
        self.check_engine("e0", 0.3)

    def test_all_decode_engines_name_limits(self):
        """Guards against streams that wait for engines which have got what
        they accept.
        """
        engines = ("e1", "e2", "e3")
        with advisory_fleet.AdvisoryFleet() as fleet:
            with advisory_fleet.Load(
                fleet, STREAM_S, advisory_fleet.STREAM_PATH
            ) as sent:
                time.sleep(WARM_UP_S)
                for engine in engines:
                    fleet.set_fault(engine, limit_per_s=0.3)
                time.sleep(LIMITED_S)
            for engine in engines:
                self.check_limit(fleet, engine, 0.3)
            rejected = [one for one in sent.sent if one.status == 503]
            self.assertTrue(rejected)
            self.assertTrue(all(one.retry_after_s for one in rejected))

"""Tests of at-most-once bookings with routers that are killed and paused."""

import collections
import concurrent.futures
import contextlib
import random
import signal
import time
import unittest

from mulberryway.policy import claim_records
from tests import deployment
from tests import processes

BOOKINGS = 36
MAX_ATTEMPTS = 4
SENDERS = 8
SERVICE_MS = 20


class OnceDeploymentTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(deployment.Deployment(vms=3))
        processes.call(
            cls.fleet.service_port,
            "POST",
            "/standin/faults",
            {"delay_ms": SERVICE_MS},
        )

    def setUp(self):
        self.random = random.Random(self.id())
        self.replies_by_key = collections.defaultdict(list)

    def make_key(self):
        return claim_records.make_uuid7(
            time.time_ns() // 1_000_000, self.random.getrandbits(70)
        )

    def book(self, vm, key):
        """Send a booking; return its response, or None without a response."""
        remote = deployment.RemoteRouter(self.fleet.ports[vm])
        with contextlib.suppress(OSError):
            reply = remote.call(
                "POST", "/bookings", key.encode(), Idempotency_Key=key
            )
            self.replies_by_key[key].append(reply)
            return reply
        return None

    def send(self, key, first):
        """Send a booking to one VM after another until it succeeds."""
        for number in range(MAX_ATTEMPTS):
            reply = self.book((first + number) % 3, key)
            if reply is not None and reply.status == 201:
                return

    def count_runs(self):
        response = processes.call(
            self.fleet.service_port, "GET", "/standin/bookings"
        )
        return collections.Counter(response.json()["by_key"])

    def check(self, keys):
        """Check the executions of each booking against its responses."""
        runs = self.count_runs()
        self.assertLessEqual(max(runs.values()), 1)
        for key in keys:
            replies = self.replies_by_key[key]
            bodies = {reply.body for reply in replies if reply.status == 201}
            self.assertLessEqual(len(bodies), 1)
            if bodies:
                self.assertEqual(runs[key], 1)
            reported_runs = {
                reply.json()["error"]["run"]
                for reply in replies
                if reply.status >= 400
            }
            if len(replies) == MAX_ATTEMPTS and reported_runs == {"not_run"}:
                self.assertEqual(runs[key], 0)
        return runs

    def run_with(self, inject_fault):
        keys = [self.make_key() for _ in range(BOOKINGS)]
        with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
            tasks = [
                pool.submit(self.send, key, number)
                for number, key in enumerate(keys)
            ]
            inject_fault()
            for one in tasks:
                one.result()
        runs = self.check(keys)
        executed = sum(runs[key] for key in keys)
        self.assertGreater(executed, BOOKINGS * 3 / 4)

    def test_killed_router_runs_no_booking_twice(self):
        """A VM crashes with bookings in flight, and callers retry elsewhere.

        Bookings that were executed must not be executed again, and the
        others must be made.
        """

        def inject_fault():
            time.sleep(0.2)
            self.fleet.routers[1].kill()

        self.run_with(inject_fault)
        self.fleet.start_router(1)

    def test_paused_router_runs_no_booking_twice(self):
        """A VM is paused with bookings in flight and resumes later.

        It must not execute a booking that was executed elsewhere meanwhile.
        """

        def inject_fault():
            time.sleep(0.2)
            self.fleet.routers[1].send_signal(signal.SIGSTOP)
            time.sleep(2)
            self.fleet.routers[1].send_signal(signal.SIGCONT)

        self.run_with(inject_fault)


if __name__ == "__main__":
    unittest.main()

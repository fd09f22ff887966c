"""Bookings through real routers that are killed and paused."""

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
TRIES = 4
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
        self.answers = collections.defaultdict(list)

    def make_key(self):
        return claim_records.make_uuid7(
            time.time_ns() // 1_000_000, self.random.getrandbits(70)
        )

    def book(self, vm, key):
        """Send a booking; return its reply, or none if none came."""
        rig = deployment.RemoteRouter(self.fleet.ports[vm])
        with contextlib.suppress(OSError):
            reply = rig.call(
                "POST", "/bookings", key.encode(), Idempotency_Key=key
            )
            self.answers[key].append(reply)
            return reply
        return None

    def send(self, key, first):
        """Repeat a booking at one VM after another, as callers do."""
        for number in range(TRIES):
            reply = self.book((first + number) % 3, key)
            if reply is not None and reply.status == 201:
                return

    def count_runs(self):
        shown = processes.call(
            self.fleet.service_port, "GET", "/standin/bookings"
        )
        return collections.Counter(shown.json()["by_key"])

    def check(self, keys):
        """Check each booking's runs against what its caller was told."""
        runs = self.count_runs()
        self.assertLessEqual(max(runs.values()), 1)
        for key in keys:
            replies = self.answers[key]
            bodies = {reply.body for reply in replies if reply.status == 201}
            self.assertLessEqual(len(bodies), 1)
            if bodies:
                self.assertEqual(runs[key], 1)
            runs_told = {
                reply.json()["error"]["run"]
                for reply in replies
                if reply.status >= 400
            }
            if len(replies) == TRIES and runs_told == {"not_run"}:
                self.assertEqual(runs[key], 0)
        return runs

    def run_with(self, disturb):
        keys = [self.make_key() for _ in range(BOOKINGS)]
        with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
            sent = [
                pool.submit(self.send, key, number)
                for number, key in enumerate(keys)
            ]
            disturb()
            for one in sent:
                one.result()
        runs = self.check(keys)
        made = sum(runs[key] for key in keys)
        self.assertGreater(made, BOOKINGS * 3 / 4)

    def test_killed_router_runs_no_booking_twice(self):
        """A VM dies with bookings under way and callers send them again
        elsewhere.  Those that ran must not run again, and the others are
        made.
        """

        def disturb():
            time.sleep(0.2)
            self.fleet.routers[1].kill()

        self.run_with(disturb)
        self.fleet.start_router(1)

    def test_paused_router_runs_no_booking_twice(self):
        """A VM is paused with bookings under way and wakes up later.  What
        it then goes on with must not have run elsewhere meanwhile.
        """

        def disturb():
            time.sleep(0.2)
            self.fleet.routers[1].send_signal(signal.SIGSTOP)
            time.sleep(2)
            self.fleet.routers[1].send_signal(signal.SIGCONT)

        self.run_with(disturb)


if __name__ == "__main__":
    unittest.main()

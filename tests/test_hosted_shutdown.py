"""Tests of requests that reach an entry VM while it shuts down."""

import concurrent.futures
import contextlib
import http.client
import time
import unittest

from tests import hosted_fleet
from tests import processes

EVENT_IDS = list(range(1, 21))
# How long callers use an address after they have asked for it, as in
# deploy/settings.tmpl: most for this time, some for three times as long.
ENTRY_TTL_S = 2
ENTRY_LIVES = 3
GRACE_S = 8
SENDERS = 4
# From before the signal until the VM has exited.
SENDING_S = 6


class StoppingVmTest(unittest.TestCase):
    def check_whole(self, fleet, reply):
        self.assertEqual(reply.status, 200, fleet.read_logs())
        self.assertFalse(reply.is_cut)
        self.assertEqual(hosted_fleet.list_ids(reply.body), EVENT_IDS)

    def check_rejection(self, fleet, reply, attempt):
        """Check that a reply promises that the request has not run, says when
        to send it again and on another connection, and that this is true.
        """
        self.assertEqual(reply.status, 503, fleet.read_logs())
        fault = reply.json()["error"]
        self.assertEqual(fault["code"], "stopping")
        self.assertEqual(fault["run"], "not_run")
        self.assertGreater(float(reply.headers["Retry-After"]), 0)
        self.assertEqual(reply.headers["Connection"], "close")
        self.assertEqual(fleet.count_seen(f"Attempt-Id: {attempt}\n"), 0)

    def send_stream(self, fleet, number, attempt, kept=None):
        return fleet.send(
            number,
            "/talk/a",
            attempt,
            headers=hosted_fleet.STREAM,
            kept=kept,
        )

    def open_kept(self, fleet, attempt):
        """Return a connection to the first VM that has served a request."""
        kept = hosted_fleet.connect(fleet.ports[0][0])
        self.addCleanup(kept.close)
        reply = fleet.send(0, "/plain/x", attempt, kept=kept)
        self.assertEqual(reply.status, 200, fleet.read_logs())
        self.assertIsNotNone(kept.sock)
        return kept

    def stop_vm(self, fleet):
        """Send the signal and return the time just before it."""
        signalled_s = time.monotonic()
        fleet.vms[0].terminate()
        self.assertTrue(
            processes.wait_until(
                lambda: not fleet.is_ready(fleet.ports[0]), 2
            ),
            fleet.read_logs(),
        )
        return signalled_s

    def test_rejected_stream_has_not_run_and_is_served_elsewhere(self):
        """Guards against a rejection after the signal of a stream that was
        passed on, and of one that its caller could not send again.
        """
        with (
            hosted_fleet.Fleet() as fleet,
            concurrent.futures.ThreadPoolExecutor(1) as pool,
        ):
            kept = self.open_kept(fleet, "warm")
            fleet.slow_down_streams()
            before = len(fleet.list_runs("e1"))
            running = pool.submit(fleet.send_slow, 0, "running")
            self.assertTrue(
                processes.wait_until(
                    lambda: fleet.read_state("e1")["running"] == 1, 10
                ),
                fleet.read_logs(),
            )
            self.stop_vm(fleet)
            for name, connection in (("kept", kept), ("new", None)):
                with self.subTest(connection=name):
                    reply = self.send_stream(fleet, 0, name, connection)
                    self.check_rejection(fleet, reply, name)
                    self.assertIsNone(kept.sock)
            fleet.set_fault("e1", event_ms=hosted_fleet.FAST_EVENT_MS)
            for name in ("kept-again", "new-again"):
                with self.subTest(attempt=name):
                    reply = self.send_stream(fleet, 1, name)
                    self.check_whole(fleet, reply)
            self.check_whole(fleet, running.result())
            self.assertEqual(
                [run["id"] for run in fleet.list_runs("e1")][before:],
                ["running", "kept-again", "new-again"],
            )

    def test_stream_is_either_served_or_not_run(self):
        """Guards against a stream that is cut off or rejected after it was
        passed on because it arrives together with the signal.
        """
        with (
            hosted_fleet.Fleet() as fleet,
            concurrent.futures.ThreadPoolExecutor(SENDERS) as pool,
        ):
            until_s = time.monotonic() + SENDING_S
            senders = [
                pool.submit(self.send_until, fleet, until_s, f"n{n}", n % 2)
                for n in range(SENDERS)
            ]
            self.assertTrue(
                processes.wait_until(
                    lambda: len(fleet.list_runs("e1")) >= SENDERS, 3
                ),
                fleet.read_logs(),
            )
            self.stop_vm(fleet)
            replies = [entry for each in senders for entry in each.result()]
            runs = [run["id"] for run in fleet.list_runs("e1")]
            served = [
                attempt for attempt, reply in replies if attempt in set(runs)
            ]
            self.assertCountEqual(runs, served)
            for attempt, reply in replies:
                with self.subTest(attempt=attempt):
                    if attempt in set(runs):
                        self.check_whole(fleet, reply)
                    elif reply is not None:
                        self.check_rejection(fleet, reply, attempt)
            rejected = {
                attempt.partition("-")[0]
                for attempt, reply in replies
                if reply is not None and reply.status == 503
            }
            self.assertEqual(rejected, {f"n{n}" for n in range(SENDERS)})

    def send_until(self, fleet, until_s, name, keeps):
        """Send streams one after the other until a time.

        :returns: attempts with their replies; without a reply, the VM had
            closed the connection or refused a new one
        """
        replies = []
        with contextlib.closing(
            hosted_fleet.connect(fleet.ports[0][0])
        ) as kept:
            while time.monotonic() < until_s:
                attempt = f"{name}-{len(replies):04d}"
                try:
                    reply = self.send_stream(
                        fleet, 0, attempt, kept if keeps else None
                    )
                except (OSError, http.client.HTTPException):
                    kept.close()
                    reply = None
                    time.sleep(processes.POLL_S)
                replies.append((attempt, reply))
        return replies

    def test_vm_serves_while_callers_use_its_address(self):
        """Guards against a VM that rejects requests of callers that could not
        know yet that it shuts down.
        """
        router = {
            "entry_ttl_ms": ENTRY_TTL_S * 1_000,
            "entry_lives": ENTRY_LIVES,
            "grace_s": GRACE_S,
        }
        with hosted_fleet.Fleet(router=router) as fleet:
            kept = self.open_kept(fleet, "warm")
            signalled_s = self.stop_vm(fleet)
            reply = self.send_stream(fleet, 0, "kept", kept)
            self.check_whole(fleet, reply)
            self.assertEqual(reply.headers["Connection"], "close")
            rejected_s = self.find_rejection(
                fleet, signalled_s, self.send_stream
            )
            self.assertGreater(rejected_s, ENTRY_TTL_S)
            rejected_s = self.find_rejection(
                fleet, signalled_s, self.send_plain
            )
            self.assertGreater(rejected_s, ENTRY_TTL_S * ENTRY_LIVES)
            # At the end of the grace period the platform kills the process.
            left_s = signalled_s + GRACE_S - time.monotonic()
            self.assertEqual(fleet.vms[0].popen.wait(left_s), 0)

    def send_plain(self, fleet, number, attempt):
        return fleet.send(number, "/plain/x", attempt)

    def find_rejection(self, fleet, signalled_s, send):
        """Return how many seconds after the signal a request was rejected
        first, or found the VM gone.
        """
        attempts = 0
        while True:
            attempt = f"{send.__name__}-{attempts}"
            attempts += 1
            try:
                reply = send(fleet, 0, attempt)
            except OSError:
                break
            if reply.status == 503:
                self.check_rejection(fleet, reply, attempt)
                break
            self.assertEqual(reply.status, 200, fleet.read_logs())
            self.assertFalse(reply.is_cut)
            self.assertEqual(reply.headers["Connection"], "close")
        self.assertGreater(attempts, 1)
        return time.monotonic() - signalled_s

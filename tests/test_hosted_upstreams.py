"""Tests of upstream failures during requests of entry VMs."""

import concurrent.futures
import time
import unittest

from tests import hosted_fleet
from tests import processes

ALL_IDS = list(range(1, 21))
STREAM = hosted_fleet.STREAM
# KV cache capacity, in tokens, that fits two of these streams.
SMALL_KV_TOKENS = 300


class HostedUpstreamTest(unittest.TestCase):
    def test_stream_fails_over_to_another_engine(self):
        """An engine aborts a stream in the middle.  A resumable stream must
        fail over to another engine within the same reply, without missing or
        duplicate events; another stream must end visibly truncated.
        """
        phases = ("prefill", "decode", "decode")
        with hosted_fleet.Fleet(1, phases=phases) as fleet:
            for name in ("e1", "e2"):
                fleet.set_fault(name, cut_after=7)
            truncated = fleet.send(0, "/talk/a", "d-1", headers=STREAM)
            self.assertTrue(truncated.is_cut)
            first = _find_executing_engine(fleet, "d-1")
            other = {"e1": "e2", "e2": "e1"}[first]
            fleet.set_fault(other, cut_after=0)
            fleet.set_fault(first, cut_after=0)
            processes.wait_until(
                lambda: (
                    fleet.send(0, "/talk/p", "d-p", headers=STREAM).status
                    == 200
                )
            )
            fleet.set_fault(first, cut_after=7)
            fleet.set_fault(other, cut_after=7)
            with concurrent.futures.ThreadPoolExecutor() as pool:
                answer = pool.submit(
                    fleet.send,
                    0,
                    "/digest/b",
                    "d-2",
                    headers=STREAM,
                )
                processes.wait_until(
                    lambda: _find_executing_engine(fleet, "d-2")
                )
                current = _find_executing_engine(fleet, "d-2")
                replacement = {"e1": "e2", "e2": "e1"}[current]
                fleet.set_fault(replacement, cut_after=0)
                complete = answer.result()
            self.assertEqual(hosted_fleet.list_ids(complete.body), ALL_IDS)
            self.assertFalse(complete.is_cut)

    def test_expired_handle_is_prefilled_again(self):
        """Prefill results expire at once.  The decode engine must prefill the
        prompt itself, and the caller must receive the complete answer.
        """
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("e0", lapse=1)
            reply = fleet.send(0, "/talk/a", "h-1", headers=STREAM)
            self.assertEqual(reply.status, 200)
            self.assertEqual(hosted_fleet.list_ids(reply.body), ALL_IDS)

    def test_no_prefill_for_a_crashed_engine(self):
        """A decode engine crashes while it is still listed.  Prefills for it
        would be wasted, and their callers would wait for another prefill.
        """
        phases = ("prefill", "decode", "decode")
        with hosted_fleet.Fleet(1, phases=phases) as fleet:
            fleet.kill_upstream("e1")
            for number in range(6):
                reply = fleet.send(
                    0, f"/talk/{number}", f"g-{number}", headers=STREAM
                )
                self.assertEqual(reply.status, 200)
            self.assertEqual(fleet.read_state("e0")["prompts"], 6)

    def test_decode_engine_crashes_during_prefill(self):
        """Guards against failed streams and repeated prefills if a decode
        engine crashes before the decode is sent.
        """
        phases = ("prefill", "decode", "decode")
        with (
            hosted_fleet.Fleet(1, phases=phases) as fleet,
            concurrent.futures.ThreadPoolExecutor() as pool,
        ):
            fleet.set_fault("e0", read_ms=300)
            sent = [
                pool.submit(
                    fleet.send, 0, f"/talk/{n}", f"d-{n}", headers=STREAM
                )
                for n in range(6)
            ]
            time.sleep(0.15)
            fleet.kill_upstream("e1")
            for future in sent:
                self.assertEqual(future.result().status, 200)
                self.assertEqual(
                    hosted_fleet.list_ids(future.result().body), ALL_IDS
                )
            self.assertEqual(fleet.read_state("e0")["prompts"], 6)

    def test_no_prefill_for_a_full_engine(self):
        """Guards against wasted prefills if several VMs choose the same
        engine before they receive each other's gossip messages.
        """
        phases = ("prefill", "decode", "decode")
        with hosted_fleet.Fleet(
            1, phases=phases, engine_tokens=SMALL_KV_TOKENS
        ) as fleet:
            fleet.set_fault("e1", no_room=1)
            for number in range(6):
                reply = fleet.send(
                    0, f"/talk/{number}", f"n-{number}", headers=STREAM
                )
                self.assertEqual(reply.status, 200)
                self.assertEqual(hosted_fleet.list_ids(reply.body), ALL_IDS)
            self.assertEqual(fleet.read_state("e0")["prompts"], 6)
            self.assertGreater(fleet.read_state("e1")["refused_holds"], 0)
            self.assertEqual(fleet.read_state("e2")["held_decodes"], 6)

    def test_reservation_is_released_if_the_prefill_is_rejected(self):
        """Guards against reservations that are not released if the prefill
        is rejected.
        """
        with hosted_fleet.Fleet(1, engine_tokens=SMALL_KV_TOKENS) as fleet:
            fleet.set_fault("e0", full=1)
            reply = fleet.send(0, "/talk/a", "b-1", headers=STREAM)
            self.assertEqual(reply.status, 503)
            self.assertTrue(
                processes.wait_until(
                    lambda: not fleet.read_state("e1")["holds"], 1
                )
            )

    def test_rejection_by_all_engines(self):
        """Every engine is full.  The caller must receive 503 with
        Retry-After, and its request must not be executed afterwards.
        """
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("e1", full=1)
            reply = fleet.send(0, "/talk/a", "f-1", headers=STREAM)
            self.assertEqual(reply.status, 503)
            self.assertGreater(float(reply.headers["Retry-After"]), 0)
            self.assertEqual(fleet.list_runs("e1"), [])
            self.assertTrue(
                processes.wait_until(
                    lambda: not fleet.read_state("e0")["handles"], 2
                )
            )

    def test_failed_booking_is_forwarded_and_not_retried(self):
        """A service responds to a booking with status 500.  A retry at
        another server could execute the booking twice.
        """
        with hosted_fleet.Fleet(1) as fleet:
            for name in ("s0", "s1"):
                fleet.set_fault(name, fail_status=500)
            reply = fleet.send(0, "/book/a", "b-1")
            self.assertEqual(reply.status, 500)
            self.assertEqual(reply.body, b"failed")
            self.assertTrue(reply.headers["Server-Seal"])
            self.assertEqual(fleet.count_seen("b-1"), 1)

    def test_call_that_crashes_servers_is_rejected(self):
        """A call crashes each server that executes it, and its caller retries
        it at any VM.  Unless such calls are recorded and rejected, all servers
        of the service crash.
        """
        with hosted_fleet.Fleet() as fleet:
            fleet.start_upstream("s2", "app")
            processes.wait_until(
                lambda: (
                    fleet.send(0, "/plain/x", "k-0").status == 200
                    and self._count_servers(fleet) == 3
                )
            )
            statuses = []
            for number in range(6):
                reply = fleet.send(
                    number % 2, "/book/k", f"k-{number}", body=b"poison"
                )
                statuses.append(reply.status)
                time.sleep(1)
            self.assertEqual(self._count_servers(fleet), 1, fleet.read_logs())
            self.assertEqual(statuses[-3:], [503] * 3)
            self.assertEqual(fleet.send(1, "/book/z", "k-9").status, 200)

    def test_lost_responses_do_not_count_as_crashes(self):
        """Servers execute a call and its response is lost, repeatedly.  If
        this counted as crashes, the call would be rejected although the
        servers are running.
        """
        with hosted_fleet.Fleet(1) as fleet:
            for name in ("s0", "s1"):
                fleet.set_fault(name, lose_answer=1)
            for number in range(4):
                reply = fleet.send(0, "/book/k", f"n-{number}")
                self.assertEqual(reply.status, 502)
                time.sleep(0.5)
            for name in ("s0", "s1"):
                fleet.set_fault(name, lose_answer=0)
            self.assertEqual(fleet.send(0, "/book/k", "n-9").status, 200)

    def _count_servers(self, fleet):
        return sum(
            processes.is_open(port)
            for name, (_, port, _, _) in fleet.upstreams.items()
            if name.startswith("s")
        )

    def test_idempotent_call_is_retried(self):
        """One server responds to every call with status 500.  A call that may
        be retried must be served by another server.
        """
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("s0", fail_status=500)
            statuses = [
                fleet.send(0, "/plain/a", f"i-{n}", method="GET").status
                for n in range(8)
            ]
            self.assertEqual(statuses, [200] * 8)

    def test_prefill_whose_response_is_lost(self):
        """A prefill engine computes the prompt but its response never
        arrives.  The decode engine, where a slot is reserved, must prefill
        the prompt itself.  Guards against callers that wait for two seconds
        and are then rejected.
        """
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("e0", mute=1)
            start_s = time.monotonic()
            reply = fleet.send(0, "/talk/m", "m-1", headers=STREAM)
            took_s = time.monotonic() - start_s
            self.assertEqual(reply.status, 200)
            self.assertEqual(hosted_fleet.list_ids(reply.body), ALL_IDS)
            self.assertLess(took_s, 1.5)
            self.assertEqual(len(fleet.list_runs("e1")), 1)


def _find_executing_engine(fleet, attempt):
    return next(
        (
            name
            for name in ("e1", "e2")
            for run in fleet.list_runs(name)
            if run["id"] == attempt
        ),
        None,
    )

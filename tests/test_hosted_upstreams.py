"""Upstreams that fail under the requests of entry VMs."""

import concurrent.futures
import time
import unittest

from tests import hosted_fleet
from tests import processes

ALL = list(range(1, 21))
STREAM = hosted_fleet.STREAM
# Tokens of an engine that holds two of these streams.
SMALL_KV_TOKENS = 300


class HostedUpstreamTest(unittest.TestCase):
    def test_stream_goes_on_at_another_engine(self):
        """An engine breaks a stream off in the middle.  A stream that may
        be resumed goes on elsewhere within the same answer, and no event is
        missing or comes twice; one that may not looks cut.
        """
        phases = ("prefill", "decode", "decode")
        with hosted_fleet.Fleet(1, phases=phases) as fleet:
            for name in ("e1", "e2"):
                fleet.set_fault(name, cut_after=7)
            cut = fleet.send(0, "/talk/a", "d-1", headers=STREAM)
            self.assertTrue(cut.is_cut)
            first = _find_first(fleet, "d-1")
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
                processes.wait_until(lambda: _find_first(fleet, "d-2"))
                begun = _find_first(fleet, "d-2")
                rest = {"e1": "e2", "e2": "e1"}[begun]
                fleet.set_fault(rest, cut_after=0)
                whole = answer.result()
            self.assertEqual(hosted_fleet.list_ids(whole.body), ALL)
            self.assertFalse(whole.is_cut)

    def test_handle_that_has_lapsed_is_made_good(self):
        """KV caches lapse at once.  The decode engine then reads the prompt
        itself, and the caller notices nothing.
        """
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("e0", lapse=1)
            reply = fleet.send(0, "/talk/a", "h-1", headers=STREAM)
            self.assertEqual(reply.status, 200)
            self.assertEqual(hosted_fleet.list_ids(reply.body), ALL)

    def test_no_prompt_is_read_for_an_engine_that_is_gone(self):
        """A decode engine goes down while its entry is still there.  Prompts
        that were read for it would be work for nobody, and their callers would
        wait for the next read.
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

    def test_decode_engine_dies_while_the_prompt_is_read(self):
        """Guards against streams that fail, and prompts that are read twice,
        because an engine died before its decode was sent.
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
            for one in sent:
                self.assertEqual(one.result().status, 200)
                self.assertEqual(hosted_fleet.list_ids(one.result().body), ALL)
            self.assertEqual(fleet.read_state("e0")["prompts"], 6)

    def test_no_prompt_is_read_for_an_engine_without_room(self):
        """Guards against prompts that are read in vain because several VMs
        chose the same engine before they heard of each other.
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
                self.assertEqual(hosted_fleet.list_ids(reply.body), ALL)
            self.assertEqual(fleet.read_state("e0")["prompts"], 6)
            self.assertGreater(fleet.read_state("e1")["refused_holds"], 0)
            self.assertEqual(fleet.read_state("e2")["held_decodes"], 6)

    def test_room_is_given_back_when_the_prefill_is_refused(self):
        """Guards engines against memory that stays reserved for nobody."""
        with hosted_fleet.Fleet(1, engine_tokens=SMALL_KV_TOKENS) as fleet:
            fleet.set_fault("e0", full=1)
            reply = fleet.send(0, "/talk/a", "b-1", headers=STREAM)
            self.assertEqual(reply.status, 503)
            self.assertTrue(
                processes.wait_until(
                    lambda: not fleet.read_state("e1")["holds"], 1
                )
            )

    def test_refusal_by_all_engines_promises_truly(self):
        """Every engine is full.  The caller hears that its request has not
        run and when to come again, and nothing runs afterwards.
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

    def test_failed_booking_is_passed_on_and_not_repeated(self):
        """A service fails a booking with an answer of its own.  Repeated at
        another server, it could run twice.
        """
        with hosted_fleet.Fleet(1) as fleet:
            for name in ("s0", "s1"):
                fleet.set_fault(name, fail_status=500)
            reply = fleet.send(0, "/book/a", "b-1")
            self.assertEqual(reply.status, 500)
            self.assertEqual(reply.body, b"failed")
            self.assertTrue(reply.headers["Server-Seal"])
            self.assertEqual(fleet.count_seen("b-1"), 1)

    def test_call_that_kills_servers_is_kept_back(self):
        """One call crashes each server that runs it, and its caller sends it
        again at any VM.  Without a register of such calls the whole service
        would go down with it.
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

    def test_lost_answers_are_no_deaths(self):
        """Servers run a call and lose its answer, again and again.  Taken
        for deaths, the call would be kept back from servers that live.
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

    def test_read_is_repeated_at_another_server(self):
        """One server fails every call with an answer of its own.  A call
        that may be repeated is served by another one.
        """
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("s0", fail_status=500)
            found = [
                fleet.send(0, "/plain/a", f"i-{n}", method="GET").status
                for n in range(8)
            ]
            self.assertEqual(found, [200] * 8)

    def test_prefill_whose_answer_is_lost(self):
        """A prefill engine reads the prompt and its answer never comes.  The
        caller waited for two seconds and was refused, though a decode engine
        held a slot for it and can read the prompt itself.
        """
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("e0", mute=1)
            began = time.monotonic()
            reply = fleet.send(0, "/talk/m", "m-1", headers=STREAM)
            took_s = time.monotonic() - began
            self.assertEqual(reply.status, 200)
            self.assertEqual(hosted_fleet.list_ids(reply.body), ALL)
            self.assertLess(took_s, 1.5)
            self.assertEqual(len(fleet.list_runs("e1")), 1)


def _find_first(fleet, attempt):
    return next(
        (
            name
            for name in ("e1", "e2")
            for run in fleet.list_runs(name)
            if run["id"] == attempt
        ),
        None,
    )

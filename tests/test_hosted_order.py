"""Tests of signals to a VM while it replaces a silent engine."""

import concurrent.futures
import signal
import unittest

from tests import hosted_fleet
from tests import processes

EVENT_COUNT = 20
HELD_EVENT = 10
WAIT_S = 10
ROUTE_MS = 8_000
DECODE_ENGINES = ("e1", "e2")
ROUTE = hosted_fleet.make_route(
    "r-long", "/long/", "llm", "streaming", 2, True
) | {"timeout_ms": ROUTE_MS}


class SignalTest(unittest.TestCase):
    """One VM, a prefill engine and two decode engines."""

    def setUp(self):
        self.fleet = hosted_fleet.Fleet(
            vms=1, phases=("prefill", "decode", "decode")
        )
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__)
        self.fleet.configure(more=[ROUTE])
        self.pool = concurrent.futures.ThreadPoolExecutor(1)
        self.addCleanup(self.pool.shutdown)
        self.await_true(
            lambda: (
                self.fleet.send(
                    0, "/long/x", "w", headers=hosted_fleet.STREAM
                ).status
                == 200
            )
        )

    def await_true(self, condition):
        self.assertTrue(
            processes.wait_until(condition, WAIT_S), self.fleet.read_logs()
        )

    def begin_search(self):
        """Start a stream; return it once the search reads its prompt."""
        for name in DECODE_ENGINES:
            self.fleet.set_fault(name, hold_at=HELD_EVENT)
        stream = self.pool.submit(
            self.fleet.send,
            0,
            "/long/a",
            "g-1",
            headers=hosted_fleet.STREAM,
            deadline_ms=ROUTE_MS,
        )
        self.await_true(self.find_held)
        (decoding,) = self.find_held()
        self.fleet.set_fault("e0", hold_prompts=1)
        for name in set(DECODE_ENGINES) - {decoding}:
            self.fleet.set_fault(name, hold_at=0)
        self.await_true(lambda: self.fleet.read_state("e0")["held"])
        return stream

    def find_held(self):
        return [
            name
            for name in DECODE_ENGINES
            if self.fleet.read_state(name)["held"]
        ]

    def await_log(self, message):
        self.await_true(lambda: message in self.fleet.find_log(0).read_text())

    def check_resumed(self, stream):
        """Let the search go on and check the whole answer."""
        self.fleet.set_fault("e0", hold_prompts=0)
        reply = stream.result()
        logs = self.fleet.read_logs()
        self.assertEqual(reply.status, 200, logs)
        self.assertEqual(
            hosted_fleet.list_ids(reply.body),
            list(range(1, EVENT_COUNT + 1)),
            logs,
        )
        self.assertFalse(reply.is_cut, logs)

    def test_signals_during_a_search(self):
        """Guards against a search that ends with a SIGHUP, whether or not
        the file is valid, with a SIGTERM or with a SIGHUP after it.
        """
        stream = self.begin_search()
        file = self.fleet.write_settings(0)
        valid = file.read_text()
        for text, message in (
            ("not valid", "the changed settings file is invalid"),
            (valid, "the changed settings are active"),
        ):
            file.write_text(text, encoding="utf-8")
            self.fleet.vms[0].send_signal(signal.SIGHUP)
            self.await_log(message)
        self.fleet.vms[0].send_signal(signal.SIGTERM)
        self.await_log("the entry VM stops")
        self.fleet.vms[0].send_signal(signal.SIGHUP)
        self.check_resumed(stream)

"""Tests of what callers get on their connections when an answer fails."""

import socket

from mulberryway.relay import linger
from tests import gated_engine
from tests import hosted_fleet
from tests import order_fixture
from tests import test_replacement_order

HOST = "127.0.0.1"
WAIT_S = order_fixture.WAIT_S
FIRST_EVENTS = order_fixture.FIRST_IDS
LAST_EVENT = b"id: %d\ndata: t%d\n\n" % ((gated_engine.EVENT_COUNT,) * 2)


def make_request(method, path, version, *lines):
    """Return a request as raw bytes."""
    head = [
        f"{method} {path} HTTP/{version}",
        f"Host: {hosted_fleet.SITE}",
        "Attempt-Id: a",
        "Deadline-Ms: 8000",
        f"Authorization: Token {order_fixture.TENANT_KEY}",
        *lines,
    ]
    return "\r\n".join([*head, "", ""]).encode()


class AnswerEndTest(test_replacement_order.SearchTest):
    """Base class: callers that read and write raw bytes."""

    def connect(self):
        caller = socket.create_connection((HOST, self.router.port), WAIT_S)
        self.addCleanup(caller.close)
        return caller

    def read_until(self, caller, text):
        received = b""
        while text not in received:
            data = caller.recv(65_536)
            self.assertTrue(data, received)
            received += data
        return received


class OldCallerTest(AnswerEndTest):
    """Callers of HTTP/1.0, whose answers end with their connection."""

    def begin(self, events=FIRST_EVENTS):
        self.silent.allow(events)
        caller = self.connect()
        caller.sendall(make_request("POST", "/long/a", "1.0"))
        last = b"data: t%d\n\n" % events
        return caller, self.read_until(caller, last)

    def test_whole_answer(self):
        caller, received = self.begin(gated_engine.EVENT_COUNT)
        self.assertNotIn(b"chunked", received)
        self.assertEqual(caller.recv(100), b"")

    def test_cut_answer(self):
        """Guards against a cut answer that looks complete to a caller for
        whom only the end of its connection ends an answer.
        """
        self.budget.left = 0
        caller, _ = self.begin()
        self.silent.stream.abort(False)
        with self.assertRaises(ConnectionResetError):
            caller.recv(100)

    def test_answer_of_a_slow_caller(self):
        """Guards against a given-up answer that looks complete."""
        caller, _ = self.begin()
        relay = self.router.relay
        (stream,) = relay._streams
        self.router.loop.post(lambda: relay._give_up(stream))
        with self.assertRaises(ConnectionResetError):
            caller.recv(100)

    def test_vm_that_may_be_killed(self):
        """Guards against an answer that looks complete because its VM was
        killed, which closes its connections.
        """
        self.begin()
        (stream,) = self.router.relay._streams
        self.assertTrue(linger.has_reset_on_close(stream.caller))

    def test_failure_before_the_first_event(self):
        """Guards against an error reply that a reset overtakes."""
        self.budget.left = 0
        self.silent.allow(0)
        caller = self.connect()
        caller.sendall(make_request("POST", "/long/a", "1.0"))
        self.await_true(lambda: self.router.relay._streams)
        self.silent.stream.abort(False)
        received = b"".join(iter(lambda: caller.recv(65_536), b""))
        self.assertIn(b" 502 ", received)
        self.assertIn(b'"code": "upstream_failed"', received)

"""Tests of what callers get on their connections when an answer fails."""

import re
import socket
from unittest import mock

from mulberryway import replies
from mulberryway.filters import base
from mulberryway.filters import chain
from mulberryway.relay import linger
from mulberryway.relay import writers
from mulberryway.server import gateway
from mulberryway.server import http_server
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


class Answers:
    """Splits what a caller has received into answers.

    :param received: all bytes of a connection
    """

    def __init__(self, received):
        self.rest = received

    def take(self, is_head=False):
        """Return an answer's status and body; check its framing."""
        head, end, self.rest = self.rest.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        match = re.fullmatch(rb"HTTP/1\.1 (\d{3}) [A-Za-z ]+", lines[0])
        assert match and end, (head, self.rest)
        headers = dict(line.lower().split(b": ", 1) for line in lines[1:])
        status = int(match[1])
        if is_head or status in (204, 304):
            return status, b""
        if headers.get(b"transfer-encoding") == b"chunked":
            return status, self._take_chunks()
        length = int(headers[b"content-length"])
        body, self.rest = self.rest[:length], self.rest[length:]
        assert len(body) == length, (head, body)
        return status, body

    def _take_chunks(self):
        body = b""
        while True:
            size, end, self.rest = self.rest.partition(b"\r\n")
            length = int(size, 16)
            body += self.rest[:length]
            assert end and self.rest[length : length + 2] == b"\r\n", size
            self.rest = self.rest[length + 2 :]
            if not length:
                return body


class OneAnswerTest(AnswerEndTest):
    """Each request gets one answer, and the connection nothing else."""

    def exchange(self, *requests):
        """Send requests at once; return all that is received."""
        caller = self.connect()
        caller.sendall(b"".join(requests))
        received = b"".join(iter(lambda: caller.recv(65_536), b""))
        return Answers(received)

    def make_last(self):
        return make_request("GET", "/plain/a", "1.1", "Connection: close")

    def check(self, request, status, is_head=False):
        """Check that a request and the next one have one answer each."""
        answers = self.exchange(request, self.make_last())
        found, body = answers.take(is_head)
        self.assertEqual(found, status, body)
        self.assertEqual(answers.take()[0], 200)
        self.assertEqual(answers.rest, b"")
        return body

    def test_plain_calls(self):
        for method in ("GET", "POST", "PUT", "DELETE"):
            with self.subTest(method):
                self.check(make_request(method, "/plain/a", "1.1"), 200)

    def test_stream(self):
        request = make_request("POST", "/long/a", "1.1")
        self.silent.allow(gated_engine.EVENT_COUNT)
        self.assertTrue(self.check(request, 200).endswith(LAST_EVENT))

    def test_refused_stream(self):
        self.silent.actions.extend(["reset"] * test_replacement_order.OFTEN)
        self.budget.left = 0
        self.check(make_request("POST", "/long/a", "1.1"), 502)

    def test_unknown_route(self):
        for method in ("GET", "HEAD"):
            with self.subTest(method):
                self.check(
                    make_request(method, "/x", "1.1"), 404, method == "HEAD"
                )

    def test_refused_stream_without_a_body(self):
        """Guards against bytes after the answer to a HEAD request, which its
        caller reads as the next answer.
        """
        self.budget.left = 0
        request = make_request("HEAD", "/long/a", "1.1")
        self.silent.actions.extend(["reset"] * test_replacement_order.OFTEN)
        self.check(request, 502, is_head=True)

    def test_stream_that_fails_without_a_body(self):
        """Guards against the same after an engine has accepted it."""
        self.budget.left = 0
        self.silent.actions.append("head_close")
        request = make_request("HEAD", "/long/a", "1.1")
        self.check(request, 502, is_head=True)

    def test_stream_for_a_request_without_a_body(self):
        """Guards against events of an engine that answers HEAD like POST."""
        self.silent.allow(gated_engine.EVENT_COUNT)
        request = make_request("HEAD", "/long/a", "1.1")
        self.check(request, 200, is_head=True)

    def test_statuses_without_a_body(self):
        """Guards against a length, or a body, where there can be none."""
        for status in (204, 304):
            with self.subTest(status):
                head = writers.ReplyHead(True, True, [])
                reply = replies.Reply(status, [("A", "b")], b"body")
                written = head.write_reply(reply)
                self.assertTrue(written.endswith(b"\r\n\r\n"))
                self.assertNotIn(b"Content-Length", written)

    def test_oversized_request_without_a_body_in_its_answer(self):
        request = make_request(
            "HEAD", "/plain/a", "1.1", "Content-Length: 999999999"
        )
        answers = self.exchange(request)
        self.assertEqual(answers.take(is_head=True)[0], 413)
        self.assertEqual(answers.rest, b"")

    def check_one(self, request, status=200):
        """Check that a connection brings one answer and then ends."""
        answers = self.exchange(request, self.make_last())
        self.assertEqual(answers.take()[0], status)
        self.assertEqual(answers.rest, b"")

    def test_failure_after_the_answer(self):
        """Guards against a second answer for a failure after the first."""
        for name in ("finish", "add_completion_callback"):
            with self.subTest(name):
                is_written = name == "finish"
                patcher = mock.patch.object(
                    base.Exchange, name, side_effect=ValueError("unexpected")
                )
                with patcher, self.assertLogs(http_server.LOG, "ERROR"):
                    self.check_one(
                        make_request("GET", "/plain/a", "1.1"),
                        200 if is_written else 500,
                    )

    def test_failing_completion_callback(self):
        """Guards against a connection that ends, or brings a second answer,
        because what follows an answer fails.
        """
        with (
            mock.patch.object(
                gateway.GatewayFactory,
                "decrement_running",
                side_effect=ValueError("unexpected"),
            ),
            self.assertLogs(base.LOG, "ERROR"),
        ):
            self.check(make_request("GET", "/plain/a", "1.1"), 200)

    def test_failing_handler(self):
        with (
            mock.patch.object(
                chain.Chain, "handle", side_effect=ValueError("unexpected")
            ),
            self.assertLogs(http_server.LOG, "ERROR"),
        ):
            self.check_one(make_request("GET", "/plain/a", "1.1"), 500)

    def test_rejected_body(self):
        """Guards against the rest of a rejected request as the next one."""
        lines = ("Transfer-Encoding: chunked",)
        for body in (b"zz\r\n", b"5\r\nabcdefgh\r\n", b"fffffff\r\n"):
            with self.subTest(body):
                request = make_request("POST", "/plain/a", "1.1", *lines)
                answers = self.exchange(request + body, self.make_last())
                self.assertIn(answers.take()[0], (400, 413))
                self.assertEqual(answers.rest, b"")

    def test_expected_body(self):
        """Guards against an interim answer that comes twice or too late."""
        request = make_request(
            "POST",
            "/plain/a",
            "1.1",
            "Expect: 100-continue",
            "Content-Length: 2",
        )
        answers = self.exchange(request + b"{}", self.make_last())
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        self.assertTrue(answers.rest.startswith(interim))
        answers.rest = answers.rest.removeprefix(interim)
        self.assertEqual([answers.take()[0] for _ in range(2)], [200, 200])
        self.assertEqual(answers.rest, b"")

    def test_expected_body_of_an_old_caller(self):
        """Guards against an interim answer that HTTP/1.0 does not know, which
        its caller takes for the answer.
        """
        request = make_request(
            "POST",
            "/plain/a",
            "1.0",
            "Expect: 100-continue",
            "Content-Length: 2",
        )
        answers = self.exchange(request + b"{}")
        self.assertEqual(answers.take()[0], 200)
        self.assertEqual(answers.rest, b"")

    def test_cut_stream_ends_its_connection(self):
        """Guards against an answer to the next request after a cut one."""
        self.budget.left = 0
        caller = self.connect()
        self.silent.allow(FIRST_EVENTS)
        caller.sendall(
            make_request("POST", "/long/a", "1.1") + self.make_last()
        )
        last = b"data: t%d\n\n\r\n" % FIRST_EVENTS
        self.read_until(caller, last)
        self.silent.stream.abort(False)
        try:
            self.assertEqual(caller.recv(65_536), b"")
        except ConnectionResetError:
            # The next request was not read.
            return

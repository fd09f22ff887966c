"""Tests of what counts as an engine's response on the operators' platform."""

import json
import socket
import threading
import time
import unittest

from mulberryway import clock
from mulberryway import errors
from mulberryway.platform import engine
from mulberryway.platform import service
from mulberryway.upstreams import base
from tests import tcp_pair

TIMEOUT_MS = 2_000
PREFILL = json.dumps({"cache_handle": "h", "tokens": 9, "version": 1})
EVENT = b"id: 1\ndata: x\n\n"


class RawEngine:
    """A server that gives one answer, byte for byte, to each request.

    :param answer: the bytes
    :param may_end: when its connections may be closed; at once by default
    """

    def __init__(self, answer, may_end=None):
        self.answer = answer
        self.may_end = may_end
        self.listener = socket.create_server((tcp_pair.HOST, 0))
        port = self.listener.getsockname()[1]
        self.address = f"{tcp_pair.HOST}:{port}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection:
            if connection.recv(65_536):
                connection.sendall(self.answer)
                if self.may_end is not None:
                    self.may_end.wait(tcp_pair.TIMEOUT_S)

    def close(self):
        self.listener.close()


def make_answer(status, body, *headers, attempt="a"):
    """Return an answer whose body has a length."""
    lines = [
        f"HTTP/1.1 {status} Text",
        f"Attempt-Id: {attempt}",
        *headers,
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


class EngineResponseTest(unittest.TestCase):
    def make_engine(self, answer, may_end=None):
        server = RawEngine(answer, may_end)
        self.addCleanup(server.close)
        self.clock = clock.SystemClock()
        made = engine.PlatformEngine("e", server.address, self.clock)
        self.addCleanup(made.close)
        self.label = base.AttemptLabel("r", "vm0", 1)
        self.request = base.PassthroughRequest(
            "POST",
            "/long/a",
            [("Attempt-Id", "a")],
            b"{}",
            "a",
            "",
            clock.Deadline(self.clock.now_ms() + TIMEOUT_MS),
        )
        return made

    def prefill(self, answer):
        return self.make_engine(answer).prefill(
            self.label, self.request, TIMEOUT_MS
        )

    def decode(self, answer):
        result = self.make_engine(answer).decode(
            self.label, self.request, {}, 0, TIMEOUT_MS
        )
        if result.is_ok():
            self.addCleanup(result.ok.connection.close)
        return result

    def check_encoded(self, result, run):
        fault = result.error
        self.assertIs(fault.code, errors.Code.UPSTREAM_FAILED)
        self.assertIs(fault.run, run)
        self.assertEqual(fault.inputs["failure"], "encoded")
        self.assertIsNone(fault.answer)

    def test_sound_responses(self):
        answer = make_answer(200, PREFILL.encode())
        self.assertEqual(self.prefill(answer).ok.prompt_tokens, 9)
        answer = make_answer(200, EVENT, "Server-Seal: s")
        self.assertTrue(self.decode(answer).is_ok())

    def test_encoded_prefill(self):
        """Guards against a handle from a body that is not the engine's."""
        answer = make_answer(200, PREFILL.encode(), "Content-Encoding: gzip")
        self.check_encoded(
            self.prefill(answer), errors.ExecutionStatus.NOT_RUN
        )

    def test_encoded_stream(self):
        """Guards against a stream whose body is not the engine's."""
        answer = make_answer(
            200, EVENT, "Server-Seal: s", "content-encoding: identity"
        )
        self.check_encoded(
            self.decode(answer), errors.ExecutionStatus.MAY_HAVE_RUN
        )

    def test_encoded_failure(self):
        """Guards against an engine's failure that callers get with a body
        which is not the engine's.
        """
        answer = make_answer(
            500, b"why", "Server-Seal: s", "Content-Encoding: gzip"
        )
        self.check_encoded(
            self.decode(answer), errors.ExecutionStatus.MAY_HAVE_RUN
        )

    def test_encoded_rejection(self):
        """Guards against a rejection that counts as a run for its body."""
        answer = make_answer(
            503, b"full", "Not-Executed: 1", "Content-Encoding: gzip"
        )
        for result in (self.decode(answer), self.prefill(answer)):
            fault = result.error
            self.assertIs(fault.code, errors.Code.UPSTREAM_REFUSED)
            self.assertIs(fault.run, errors.ExecutionStatus.NOT_RUN)
            self.assertIsNone(fault.answer)

    def test_encoded_control_response(self):
        """Guards against a reservation, or a load, from a body that is not
        the engine's.
        """
        body = json.dumps({"hold": "h"}).encode()
        answer = make_answer(200, body, "Content-Encoding: gzip")
        for is_required in (True, False):
            with self.subTest(is_required):
                made = self.make_engine(answer)
                requested = base.ReservationRequest(9, 1_000, is_required)
                made.prepare_decode(self.label, requested)
                self.assertIsNone(made._pop_reservation(self.label))
        self.check_encoded(
            self.make_engine(answer).report_load(),
            errors.ExecutionStatus.MAY_HAVE_RUN,
        )

    def test_sound_reservation(self):
        body = json.dumps({"hold": "h"}).encode()
        made = self.make_engine(make_answer(200, body))
        made.prepare_decode(self.label, base.ReservationRequest(9, 1_000))
        self.assertEqual(made._pop_reservation(self.label).name, "h")

    def test_rejection_of_another_request(self):
        """Guards against a request that counts as not executed by the answer
        to another one.
        """
        for status in (421, 503, 500):
            with self.subTest(status):
                answer = make_answer(
                    status, b"", "Not-Executed: 1", attempt="b"
                )
                fault = self.decode(answer).error
                self.assertIs(fault.run, errors.ExecutionStatus.MAY_HAVE_RUN)
                self.assertIsNone(fault.answer)
                self.assertEqual(fault.inputs["failure"], "other_request")

    def test_success_with_another_status(self):
        """Guards against a success without a signature that is passed on like
        an engine's failure.
        """
        for status in (201, 202, 206):
            with self.subTest(status):
                fault = self.decode(make_answer(status, b"x")).error
                self.assertIsNone(fault.answer)
                self.assertEqual(fault.inputs["failure"], "unsigned")
        answer = make_answer(206, b"x", "Server-Seal: s")
        self.assertEqual(self.decode(answer).error.answer.status, 206)

    def test_success_that_says_not_executed(self):
        """Guards against a plain success without a signature that is passed
        on because it contradicts itself.
        """
        answer = make_answer(200, b"x", "Not-Executed: 1")
        server = RawEngine(answer)
        self.addCleanup(server.close)
        made = service.PlatformService(
            "s", server.address, clock.SystemClock()
        )
        self.addCleanup(made.close)
        result = made.call(
            "r", "GET", "/plain/a", [("Attempt-Id", "a")], b"", TIMEOUT_MS
        )
        self.assertIsNone(result.error.answer)
        self.assertEqual(result.error.inputs["failure"], "unsigned")

    def test_rejection_whose_body_never_ends(self):
        """Guards against a request that waits for the body of a rejection
        until its own time is over, if the engine will close the connection.
        """
        may_end = threading.Event()
        self.addCleanup(may_end.set)
        for line in ("Connection: close", "Keep-Alive: timeout=5"):
            with self.subTest(line):
                answer = make_answer(503, b"full", "Not-Executed: 1", line)
                made = self.make_engine(answer[:-1], may_end)
                started_s = time.monotonic()
                result = made.decode(
                    self.label, self.request, {}, 0, TIMEOUT_MS
                )
                took_s = time.monotonic() - started_s
                self.assertIs(result.error.run, errors.ExecutionStatus.NOT_RUN)
                self.assertLess(took_s, TIMEOUT_MS / 2_000)

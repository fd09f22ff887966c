"""Tests of what logs and metrics say about how a response arrived."""

import socket
import threading

from mulberryway import metrics
from mulberryway.upstreams import call_details
from tests import test_torn_heads

HOST = test_torn_heads.HOST
STATUS, ECHO = test_torn_heads.STATUS, test_torn_heads.ECHO
SEAL, BODY = test_torn_heads.SEAL, test_torn_heads.BODY
HEAD = STATUS + ECHO + SEAL
LENGTH, CHUNKED = test_torn_heads.LENGTH, test_torn_heads.CHUNKED
CHUNKS = test_torn_heads.CHUNKS
OTHER_ECHO = b"Attempt-Id: b\r\n"
# Responses, the reason of their failure and what ends their body.
FAILURES = {
    "torn head": (STATUS + ECHO, "invalid_head", "unknown"),
    "malformed head": (STATUS + b"x\r\n", "invalid_head", "unknown"),
    "nothing": (b"", "no_response", "unknown"),
    "half a body": (
        HEAD + LENGTH + b"\r\n" + BODY[:5],
        "incomplete_body",
        "length",
    ),
    "half a chunk": (
        HEAD + CHUNKED + b"\r\n" + CHUNKS[:9],
        "incomplete_body",
        "chunks",
    ),
    "no signature": (
        STATUS + ECHO + LENGTH + b"\r\n" + BODY,
        "unsigned",
        "length",
    ),
    "another id": (
        STATUS + OTHER_ECHO + SEAL + LENGTH + b"\r\n" + BODY,
        "other_request",
        "length",
    ),
    "no id": (STATUS + SEAL + b"\r\n" + BODY, "other_request", "connection"),
    "an encoding": (
        HEAD + b"Content-Encoding: gzip\r\n" + LENGTH + b"\r\n" + BODY,
        "encoded",
        "length",
    ),
}
WHOLE = {
    "length": HEAD + LENGTH + b"\r\n" + BODY,
    "chunks": HEAD + CHUNKED + b"\r\n" + CHUNKS,
    "connection": HEAD + b"\r\n" + BODY,
}


class CallDetailsTest(test_torn_heads.OneAnswerCase):
    def test_failures(self):
        """Guards against failed calls whose log line tells no reason."""
        for name, (answer, reason, framing) in FAILURES.items():
            with self.subTest(name):
                fault = self.call(answer, test_torn_heads.call_plain).error
                self.assertEqual(fault.inputs["failure"], reason)
                self.assertEqual(fault.inputs["framing"], framing)
                self.assertEqual(fault.inputs["connection_use"], 1)
                self.assertEqual(fault.inputs["received_bytes"], len(answer))

    def test_decodes(self):
        for name in ("torn head", "nothing", "another id"):
            with self.subTest(name):
                answer, reason, framing = FAILURES[name]
                fault = self.call(answer, test_torn_heads.decode).error
                self.assertEqual(fault.inputs["failure"], reason)
                self.assertEqual(fault.inputs["framing"], framing)

    def test_decode_that_ends_its_connection(self):
        """Guards against a log line that says that nothing was received."""
        answer = FAILURES["no id"][0]
        fault = self.call(answer, test_torn_heads.decode).error
        self.assertEqual(fault.inputs["received_bytes"], len(answer))

    def test_decode_that_fails_for_another_request(self):
        """Guards against a failed decode whose log line tells no reason."""
        answer = FAILURES["another id"][0].replace(b"200 OK", b"500 Error")
        fault = self.call(answer, test_torn_heads.decode).error
        self.assertEqual(fault.inputs.get("failure"), "other_request")

    def test_success(self):
        for framing, answer in WHOLE.items():
            with self.subTest(framing):
                reply = self.call(answer, test_torn_heads.call_plain).ok
                self.assertEqual(reply.arrival["framing"], framing)
                self.assertEqual(reply.arrival["connection_use"], 1)

    def test_unreachable_server(self):
        with socket.create_server((HOST, 0)) as listener:
            address = f"{HOST}:{listener.getsockname()[1]}"
        fault = test_torn_heads.call_plain(address).error
        self.assertEqual(fault.inputs["failure"], "unreachable")
        self.assertEqual(fault.inputs["connection_use"], 0)

    def test_metric(self):
        counter = call_details.FailureCounter()
        exposed = metrics.Metrics("vm0")
        counter.report(exposed)
        fault = self.call(STATUS, test_torn_heads.call_plain).error
        threads = [
            threading.Thread(
                target=counter.record,
                args=(fault, call_details.FailureReason.INVALID_HEAD),
            )
            for _ in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        (point,) = exposed.read()["mulberryway.upstream.failed_calls"]
        self.assertEqual(point["value"], len(threads))
        self.assertEqual(
            point["labels"], {"step": "service", "reason": "invalid_head"}
        )
        exposed.stop()

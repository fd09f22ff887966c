"""Tests of the engine stand-in as a process, over HTTP as routers use it."""

import asyncio
import json
import socket
import unittest

from standins import answers
from standins import engine_completion
from standins import engine_types
from tests import processes

PROMPT = "drifted fix " * 30


def read_events(body):
    lines = [line for line in body.split(b"\n\n") if line]
    return [line.removeprefix(b"data: ") for line in lines]


class EngineTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.group = processes.Group()
        cls.addClassCleanup(cls.group.stop)
        _, engine_ports = processes.start_engines(
            cls.group,
            ("prefill", "decode"),
            "--token_ms=5",
            "--credential=pool-secret",
            "--load_lag_ms=0",
        )
        cls.prefill_port, cls.decode_port = engine_ports

    def post(self, port, request_id, **values):
        body = {"model": "m", "prompt": PROMPT, "max_tokens": 20} | values
        headers = {
            "Authorization": "Bearer pool-secret",
            "X-Request-Id": request_id,
            "X-Request-Owner": "a1/7",
        }
        return processes.call(port, "POST", "/v1/completions", body, headers)

    def prefill(self, request_id):
        reply = self.post(
            self.prefill_port,
            request_id,
            kv_transfer_params={"do_remote_decode": True},
        )
        self.assertEqual(reply.status, 200, reply.body)
        return reply.json()["kv_transfer_params"]

    def decode(self, request_id, params, **values):
        params = params | {"do_remote_prefill": True}
        return self.post(
            self.decode_port,
            request_id,
            kv_transfer_params=params,
            stream=True,
            **values,
        )

    def list_requests(self, port):
        return processes.call(port, "GET", "/v1/requests").json()["requests"]

    def check_no_requests(self):
        engine_ports = (self.prefill_port, self.decode_port)
        self.assertTrue(
            processes.wait_until(
                lambda: not any(map(self.list_requests, engine_ports))
            )
        )

    def test_prefill_and_decode_return_the_expected_text(self):
        reply = self.decode("r1", self.prefill("r1"))
        self.assertEqual(reply.headers["X-Request-Id"], "r1")
        events = read_events(reply.body)
        self.assertEqual(events.pop(), b"[DONE]")
        events = [json.loads(event) for event in events]
        self.assertEqual([event["index"] for event in events], [*range(20)])
        text = "".join(event["choices"][0]["text"] for event in events)
        self.assertEqual(text, answers.Answer("m", PROMPT, 20).text())
        self.assertEqual(events[-1]["choices"][0]["finish_reason"], "length")
        self.check_no_requests()

    def test_resume_starts_at_the_offset(self):
        reply = self.decode("r2", self.prefill("r2"), resume_offset=15)
        events = [json.loads(event) for event in read_events(reply.body)[:-1]]
        self.assertEqual(
            [event["index"] for event in events], [*range(15, 20)]
        )

    def test_unknown_handle_is_rejected(self):
        """A decode whose prefill result has expired gets status 410.

        Without the rejection the caller would wait for tokens that never come.
        """
        params = self.prefill("r3") | {"remote_handle": "none"}
        self.assertEqual(self.decode("r3", params).status, 410)
        self.check_no_requests()

    def test_full_engine_rejects(self):
        """An engine without a free slot rejects streams.

        Load reports lag, so a router may send more streams than the engine
        can hold and detects this only by the rejection.
        """
        faults = {"slots": 0}
        processes.call(self.decode_port, "POST", "/standin/faults", faults)
        self.assertEqual(self.decode("r4", self.prefill("r4")).status, 429)
        faults = {"slots": 20}
        processes.call(self.decode_port, "POST", "/standin/faults", faults)

    def open_stream(self, request_id):
        body = {
            "model": "m",
            "prompt": PROMPT,
            "max_tokens": 100_000,
            "stream": True,
            "kv_transfer_params": self.prefill(request_id)
            | {"do_remote_prefill": True},
        }
        data = json.dumps(body).encode()
        sock = socket.create_connection((processes.HOST, self.decode_port))
        self.addCleanup(sock.close)
        sock.settimeout(10)
        sock.sendall(
            b"POST /v1/completions HTTP/1.1\r\nHost: e\r\n"
            b"Authorization: Bearer pool-secret\r\n"
            b"X-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s"
            % (request_id.encode(), len(data), data)
        )
        received = b""
        while b"data: " not in received:
            received += sock.recv(65_536)
        return sock

    def test_closed_connection_frees_memory(self):
        """An engine frees a stream's slot when its connection closes.

        A router closes the connection after its caller has disconnected, and
        sends no further request about the stream.
        """
        sock = self.open_stream("r5")
        self.assertEqual(len(self.list_requests(self.decode_port)), 1)
        sock.close()
        self.check_no_requests()

    def test_cancel_frees_memory_and_truncates_the_stream(self):
        """A stream that another client cancels ends without a final chunk.

        Otherwise its reader would treat a truncated response as complete.
        """
        sock = self.open_stream("r6")
        path = "/v1/requests/r6"
        for held in (True, False):
            reply = processes.call(self.decode_port, "DELETE", path)
            self.assertEqual(reply.json(), {"held": held})
        received = b""
        while data := sock.recv(65_536):
            received += data
        self.assertNotIn(b"[DONE]", received)
        self.assertFalse(received.endswith(b"0\r\n\r\n"))
        self.check_no_requests()

    def test_requests_are_recorded(self):
        self.prefill("needle-1")
        for needle, count in (("needle-1", 1), ("needle-none", 0)):
            path = f"/standin/seen?needle={needle}"
            seen = processes.call(self.prefill_port, "GET", path).json()
            self.assertEqual(seen["count"], count)
        runs = processes.call(self.prefill_port, "GET", "/standin/runs")
        run = next(
            run for run in runs.json()["runs"] if run["id"] == "needle-1"
        )
        self.assertEqual((run["owner"], run["kind"]), ("a1/7", "prefill"))

    def test_missing_credential_is_rejected(self):
        reply = processes.call(
            self.prefill_port, "POST", "/v1/completions", {"model": "m"}
        )
        self.assertEqual(reply.status, 401)


if __name__ == "__main__":
    unittest.main()


class FakeTransport:
    def __init__(self):
        self.written = b""

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        self.written += data


class CompletionResponderTest(unittest.IsolatedAsyncioTestCase):
    async def test_tokens_before_the_headers_are_not_lost(self):
        """Tokens are sent that were generated before the response headers.

        On a busy machine the first tokens may come while the headers are still
        being written.  They were lost, and a check reported a router fault.
        """
        await asyncio.sleep(0)
        call = engine_completion.parse_completion_request(
            {"model": "m", "prompt": PROMPT, "max_tokens": 3, "stream": True}
        )
        run = engine_types.EngineRequest("r-1", "a1/7", "m", (), 90, 3)
        responder = engine_completion.CompletionResponder(
            call, run, {"tokens": 0}
        )
        responder.send_token(0)
        transport = FakeTransport()
        responder.start_streaming(transport)
        responder.send_token(1)
        self.assertEqual(
            [transport.written.count(b'"index": %d, "ch' % n) for n in (0, 1)],
            [1, 1],
        )

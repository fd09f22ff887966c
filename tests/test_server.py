"""Tests of malformed requests and of overload of the callers' HTTP server."""

import json
import socket
import time
import unittest
from unittest import mock

from mulberryway.server import http_server
from tests import processes
from tests import router_fixture

# Longer than any test waits.
LONG_INTERVAL_S = 60.0
MAX_STOP_S = 5
SETTLE_S = 0.5
KEY_LINE = f"Authorization: Bearer {router_fixture.KEY}\r\n"


class ServerTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        settings_ = router_fixture.make_settings()
        settings_.router_body_bytes = 10_000
        settings_.router_header_bytes = 2_000
        settings_.router_body_ms = 600
        settings_.router_threads = 4
        cls.rig = router_fixture.RouterFixture(
            router_fixture.make_tables(), settings_
        )
        cls.rig.__enter__()
        cls.addClassCleanup(cls.rig.__exit__)

    def exchange(self, *chunks):
        """Send raw bytes and return everything received until the close."""
        with socket.create_connection(
            ("127.0.0.1", self.rig.port), router_fixture.TEST_TIMEOUT_S
        ) as connection:
            for chunk in chunks:
                connection.sendall(chunk.encode())
            return b"".join(iter(lambda: connection.recv(65_536), b""))

    def check_error(self, status, code, *chunks):
        answer = self.exchange(*chunks)
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertIn(f"HTTP/1.1 {status} ".encode(), head)
        self.assertIn(b"Connection: close", head)
        error = json.loads(body)["error"]
        self.assertEqual(error["code"], code)
        self.assertEqual(error["run"], "not_run")
        return error

    def post(self, *lines, body="", path="/v1/completions"):
        head = f"POST {path} HTTP/1.1\r\nHost: x\r\n{KEY_LINE}"
        return head + "".join(f"{line}\r\n" for line in lines) + "\r\n" + body

    def test_ambiguous_bodies(self):
        """Two programs that disagree about a body's length parse the rest as
        another request, which would be executed without an API key check.
        """
        for lines in (
            ("Content-Length: 4", "Transfer-Encoding: chunked"),
            ("Content-Length: 4", "Content-Length: 5"),
            ("Content-Length: +4",),
            ("Content-Length: 4 4",),
            ("Content-Length : 4",),
            ("Transfer-Encoding: gzip, chunked",),
            ("Transfer-Encoding: xchunked",),
            ("X-A: 1", " folded: 2"),
        ):
            with self.subTest(lines=lines):
                self.check_error(400, "bad_request", self.post(*lines))

    def test_what_no_other_request_can_carry(self):
        """Guards against requests that are admitted and that the library of
        an upstream's client refuses to send, after engines were assigned.
        """
        for line in (
            "X-A: b\rc",
            "X-A: b\nX-B: c",
            "X-A: b\0c",
            "X-A: b\x7fc",
            "X-\u00e9: b",
            "X A: b",
            ": b",
            "X-A : b",
        ):
            with self.subTest(line):
                self.check_error(400, "bad_request", self.post(line))
        for path in ("/a\tb", "/a\x01", "/\u00e9", "/a\rb"):
            with self.subTest(path):
                self.check_error(400, "bad_request", self.post(path=path))
        for method in ("P\x01ST", "P(ST", "P\u00c9ST"):
            with self.subTest(method):
                self.check_error(
                    400, "bad_request", f"{method} / HTTP/1.1\r\n\r\n"
                )

    def test_bad_chunks(self):
        coding = "Transfer-Encoding: chunked"
        for body in ("zz\r\n", "4\r\nabcdef\r\n", "-1\r\n\r\n", "\r\n"):
            with self.subTest(body=body):
                self.check_error(
                    400, "bad_request", self.post(coding, body=body)
                )
        self.check_error(
            413, "body_too_large", self.post(coding, body="ffffff\r\n")
        )

    def test_chunked_body_is_read(self):
        body = json.dumps({"model": "x", "prompt": "p"})
        coded = f"{len(body):x}\r\n{body}\r\n0\r\nTrailer: 1\r\n\r\n"
        raw = self.post(
            "Transfer-Encoding: chunked", "Connection: close", body=coded
        )
        self.assertIn(b"unknown_model", self.exchange(raw))

    def test_oversized(self):
        """A caller sends a request larger than the limit.  It must receive
        the error reply and not a reset, which may arrive before the reply.
        """
        self.check_error(
            413,
            "body_too_large",
            self.post("Content-Length: 200000", body="x" * 200_000),
        )
        self.check_error(
            413, "body_too_large", self.post("X-Long: " + "x" * 5_000)
        )

    def test_slow_body(self):
        """A caller sends its body slowly.  It must not occupy a worker thread
        for longer than the timeout of the complete request.
        """
        error = self.check_error(
            408, "bad_request", self.post("Content-Length: 100", body="{")
        )
        self.assertEqual(error["step"], "caller")

    def test_malformed_json_keeps_the_connection(self):
        body = '{"model": '
        raw = self.post(f"Content-Length: {len(body)}", body=body)
        second = "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n"
        answers = self.exchange(raw, second)
        self.assertIn(b"400 Bad Request", answers)
        self.assertIn(b'{"alive": true}', answers)

    def test_deep_json(self):
        body = "[" * 9_000
        reply = self.rig.call("POST", "/v1/completions", body.encode())
        self.assertEqual(reply.status, 400)

    def test_idle_connections_occupy_no_thread(self):
        """More callers than worker threads connect and send nothing.  All
        other callers must still be served.
        """
        idle = [
            socket.create_connection(("127.0.0.1", self.rig.port))
            for _ in range(12)
        ]
        try:
            for _ in range(8):
                reply = self.rig.call("GET", "/healthz", key="")
                self.assertEqual(reply.status, 200)
        finally:
            for connection in idle:
                connection.close()


class StopTest(unittest.TestCase):
    @mock.patch.object(
        http_server.HttpServer, "expiration_interval", LONG_INTERVAL_S
    )
    def test_idle_server_stops_at_once(self):
        """Guards against a VM that is killed at the end of its grace period
        because each of its servers first waits for its idle check.
        """
        rig = router_fixture.RouterFixture(router_fixture.make_tables())
        with rig:
            self.assertEqual(rig.call("GET", "/readyz", key="").status, 200)
            # Wait until the accepting thread sleeps again.
            time.sleep(SETTLE_S)
            started_s = time.monotonic()
        self.assertLess(time.monotonic() - started_s, MAX_STOP_S)


class NoTablesTest(unittest.TestCase):
    def test_reply_without_configuration(self):
        """A VM starts while the platform is down and no other VM is
        reachable.  It must reply that it has no configuration.
        """
        with router_fixture.RouterFixture() as rig:
            self.assertEqual(rig.call("GET", "/readyz", key="").status, 503)
            reply = rig.complete()
            self.assertEqual(reply.status, 503)
            self.assertEqual(reply.json()["error"]["code"], "no_configuration")
            self.assertIsNotNone(reply.headers["Retry-After"])


class OverloadTest(unittest.TestCase):
    def test_more_callers_than_workers(self):
        """Many callers send requests while all workers wait for a slow
        service.  Requests that cannot be queued must be rejected at once.
        """
        settings_ = router_fixture.make_settings()
        settings_.router_threads = 1
        with processes.Group() as group:
            _, port = processes.start_standin(
                group, "service", "--delay_ms=1500"
            )
            service = router_fixture.make_upstream("service", port)
            with router_fixture.RouterFixture(
                router_fixture.make_tables((), [service]), settings_
            ) as rig:
                callers = [rig.connect() for _ in range(8)]
                for caller in callers:
                    caller.request(
                        "GET",
                        "/member/x",
                        headers={
                            "Authorization": f"Bearer {router_fixture.KEY}"
                        },
                    )
                statuses = [caller.getresponse().status for caller in callers]
                self.assertIn(503, statuses)
                self.assertIn(200, statuses)
                for caller in callers:
                    caller.close()

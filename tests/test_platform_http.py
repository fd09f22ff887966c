"""Tests of the HTTP client of the platform with scripted replies."""

import http.server
import json
import threading
import unittest

from mulberryway import clock
from mulberryway import errors
from mulberryway.objects import base
from mulberryway.objects import call_metrics
from mulberryway.objects import http as platform

ITEM = {"metadata": {"name": "a", "resourceVersion": "7"}, "value": {"x": 1}}


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers each request with the next scripted reply."""

    protocol_version = "HTTP/1.1"

    def answer(self):
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        self.server.seen.append((self.command, self.path, body))
        self.server.script.pop(0)(self)

    do_GET = do_POST = do_PUT = do_DELETE = answer

    def log_message(self, *args):
        pass


def reply(status, body, headers=()):
    def respond(handler):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        handler.send_response(status)
        for name, value in headers:
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)

    return respond


def cut(handler):
    handler.close_connection = True


class HttpTest(unittest.TestCase):
    def setUp(self):
        self.server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), Handler
        )
        self.server.daemon_threads = True
        self.server.seen, self.server.script = [], []
        self.released = threading.Event()
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.addCleanup(self.released.set)
        self.counts = call_metrics.InMemoryCallCounter()
        self.store = platform.HttpObjectStore(
            f"http://127.0.0.1:{self.server.server_port}",
            300,
            clock.SystemClock(),
            self.counts,
        )

    def script(self, *handlers):
        self.server.script[:] = handlers

    def stall(self, handler):
        self.released.wait(20)
        handler.close_connection = True

    def check_fault(self, result, code, run):
        self.assertTrue(result.is_error())
        self.assertEqual(result.error.code, code)
        self.assertEqual(result.error.run, run)

    def test_calls_have_the_documented_form(self):
        self.script(*[reply(200, ITEM)] * 3, reply(200, {"items": [ITEM]}))
        self.assertEqual(self.store.read("k", "a", "p").ok.version, 7)
        self.store.create("k", "a", {"x": 1}, "p")
        self.store.update("k", "a", {"x": 1}, 6, "p")
        self.assertEqual(len(self.store.read_all("k", "p").ok), 1)
        verbs = [(verb, path) for verb, path, _ in self.server.seen]
        prefix = "/apis/mulberryway.dev/v1/k"
        self.assertEqual(
            verbs,
            [
                ("GET", prefix + "/a"),
                ("POST", prefix),
                ("PUT", prefix + "/a"),
                ("GET", prefix),
            ],
        )
        sent = json.loads(self.server.seen[2][2])
        self.assertEqual(sent["metadata"]["resourceVersion"], "6")
        self.assertEqual(self.counts.get_counts()[("p", "ok")].calls, 4)

    def test_rejections(self):
        code, run = errors.Code, errors.ExecutionStatus
        for status, expected, expected_run in (
            (404, code.NOT_FOUND, run.NOT_RUN),
            (409, code.CONFLICT, run.NOT_RUN),
            (413, code.BODY_TOO_LARGE, run.NOT_RUN),
            (429, code.PLATFORM_UNAVAILABLE, run.NOT_RUN),
            (503, code.PLATFORM_UNAVAILABLE, run.MAY_HAVE_RUN),
        ):
            with self.subTest(status=status):
                self.script(reply(status, {}))
                result = self.store.update("k", "a", {}, 1, "p")
                self.check_fault(result, expected, expected_run)

    def test_lost_reply_may_have_run(self):
        """The connection fails after the platform received a write.

        If the edit were reported as failed, an operator could retry it, or
        assume that a revoked key is still valid.
        """
        for handler in (cut, self.stall, reply(200, b"not json")):
            self.script(handler)
            result = self.store.create("k", "a", {}, "p")
            self.check_fault(
                result,
                errors.Code.PLATFORM_UNAVAILABLE,
                errors.ExecutionStatus.MAY_HAVE_RUN,
            )

    def test_unreachable_is_not_run(self):
        """No server listens at the platform's address.

        No write can have taken effect, so the fault must be not run.
        """
        self.server.shutdown()
        self.server.server_close()
        result = self.store.create("k", "a", {}, "p")
        self.check_fault(
            result,
            errors.Code.PLATFORM_UNAVAILABLE,
            errors.ExecutionStatus.NOT_RUN,
        )

    def test_half_open_watch_times_out(self):
        """A watch's connection becomes half-open and no events arrive.

        Without a timeout, edits would take effect on this VM only after a
        restart.
        """

        def respond(handler):
            handler.send_response(200)
            handler.send_header("Transfer-Encoding", "chunked")
            handler.end_headers()
            line = json.dumps({"type": "MODIFIED", "object": ITEM}).encode()
            line += b"\n"
            for part in (line[:10], line[10:]):
                handler.wfile.write(b"%x\r\n%b\r\n" % (len(part), part))
                handler.wfile.flush()
            self.stall(handler)

        self.script(respond)
        events = list(self.store.watch("k", 6, 300, "w"))
        self.assertEqual(events[0].ok.type, base.EventType.MODIFIED)
        self.assertEqual(events[0].ok.object.value, {"x": 1})
        self.assertEqual(len(events), 2)
        self.assertTrue(events[1].is_error())

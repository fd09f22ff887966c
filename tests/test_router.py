"""Tests of the whole request path with stand-in upstreams."""

import concurrent.futures
import json
import unittest

from tests import processes
from tests import router_fixture


class PathTest(unittest.TestCase):
    """One router with two prefill and two decode engines."""

    @classmethod
    def setUpClass(cls):
        cls.group = processes.Group()
        roles = ["prefill", "prefill", "decode", "decode"]
        _, cls.ports = processes.start_engines(
            cls.group,
            roles,
            "--token_ms=5",
            f"--credential={router_fixture.CREDENTIAL}",
        )
        cls.service, cls.service_port = processes.start_standin(
            cls.group, "service", f"--credential={router_fixture.CREDENTIAL}"
        )
        cls.tables = router_fixture.make_tables(
            map(router_fixture.make_upstream, roles, cls.ports),
            [router_fixture.make_upstream("service", cls.service_port)],
        )
        cls.fixture = router_fixture.RouterFixture(cls.tables).__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.fixture.__exit__()
        cls.group.stop()

    def test_stream(self):
        stream = router_fixture.OpenStream(self.fixture, "why", 20)
        events = stream.read_all()
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(
            router_fixture.join_text(events),
            router_fixture.expect_text("why", 20),
        )
        self.assertEqual(stream.reply.read(), b"\n")
        stream.close()

    def test_connection_is_reused_after_a_stream(self):
        stream = router_fixture.OpenStream(self.fixture, "one", 5)
        stream.read_all()
        stream.reply.read()
        stream.connection.request("GET", "/healthz")
        self.assertEqual(stream.connection.getresponse().status, 200)
        stream.close()

    def test_whole_completion(self):
        reply = self.fixture.complete("whole", max_tokens=6)
        self.assertEqual(reply.status, 200)
        choice = reply.json()["choices"][0]
        self.assertEqual(
            choice["text"], router_fixture.expect_text("whole", 6)
        )
        self.assertEqual(choice["finish_reason"], "length")
        self.assertEqual(reply.json()["usage"]["completion_tokens"], 6)

    def test_fifty_concurrent_streams(self):
        def read(number):
            prompt = f"log {number}"
            stream = router_fixture.OpenStream(self.fixture, prompt, 10)
            events = stream.read_all()
            stream.close()
            return router_fixture.join_text(
                events
            ) == router_fixture.expect_text(prompt, 10)

        with concurrent.futures.ThreadPoolExecutor(50) as callers:
            self.assertTrue(all(callers.map(read, range(50))))
        self.assertTrue(self.fixture.wait_idle())

    def test_plain_call(self):
        reply = self.fixture.call(
            "PUT", "/member/7?x=1&api_key=abc", b"hello", X_Thing="t"
        )
        self.assertEqual(reply.status, 200)
        self.assertEqual(
            reply.json(),
            {"method": "PUT", "target": "/member/7?x=1", "body": "hello"},
        )

    def test_no_key_reaches_an_upstream(self):
        """A caller sends its key in unusual places.  An upstream that logs its
        requests would then store a key that allows its readers to spend the
        account's allowance.
        """
        key = router_fixture.KEY
        self.fixture.call(
            "POST",
            f"/member/x?a=1&note={key}&key={key}",
            json.dumps({"auth": key, "deep": [{"k": key}], "t": f"a {key}"}),
            X_Api_Key=key,
            Cookie=f"session={key}",
            X_Odd=f"v {key}",
            Content_Type="application/json",
        )
        self.fixture.call(
            "POST",
            "/member/form",
            f"a=1&b={key}".encode(),
            Content_Type="application/x-www-form-urlencoded",
        )
        self.fixture.complete(f"my key is {key}", user=key, api_key=key)
        for port in (*self.ports, self.service_port):
            seen = processes.call(port, "GET", f"/standin/seen?needle={key}")
            self.assertEqual(seen.json()["count"], 0)
        raw = self.fixture.call(
            "POST",
            "/member/raw",
            f"raw {key}".encode(),
            Content_Type="text/plain",
        )
        self.assertEqual(raw.status, 400)

    def test_tokens_are_settled_once(self):
        # A stream's tokens are settled after its caller has read its end.
        self.assertTrue(self.fixture.wait_idle())
        before = len(self.fixture.allowances.settled)
        self.fixture.complete("four" * 10, max_tokens=7)
        self.assertTrue(self.fixture.wait_idle())
        self.assertEqual(
            self.fixture.allowances.settled[before:], [("tea-estate", 17, 17)]
        )

    def test_rejections(self):
        for status, code, call in (
            (401, "unauthenticated", {"key": "nobody"}),
            (401, "unauthenticated", {"key": ""}),
            (404, "unknown_model", {"model": "x"}),
            (400, "bad_request", {"max_tokens": 0}),
            (400, "bad_request", {"prompt": 5}),
        ):
            with self.subTest(code=code, call=call):
                reply = self.fixture.complete(**call)
                self.assertEqual(reply.status, status)
                error = reply.json()["error"]
                self.assertEqual(error["code"], code)
                self.assertEqual(error["run"], "not_run")
        reply = self.fixture.call("GET", "/nowhere")
        self.assertEqual(reply.status, 404)
        reply = self.fixture.call("POST", "/bookings", b"{}")
        self.assertEqual(reply.json()["error"]["code"], "request_id_required")

    def test_endpoints_without_a_key(self):
        self.assertEqual(
            self.fixture.call("GET", "/readyz", key="").status, 200
        )
        reply = self.fixture.call("GET", "/v1/entry", key="").json()
        self.assertEqual(len(reply["addresses"]), 1)
        self.assertEqual(reply["ttl_ms"], 100)

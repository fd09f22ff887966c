"""Tests of the request path on the operators' platform."""

import unittest

from tests import hosted_fleet
from tests import processes

ALL_IDS = list(range(1, 21))


class HostedPathTest(unittest.TestCase):
    """Requests to a fleet that all tests share, to save its startup time."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = hosted_fleet.Fleet(phases=("prefill", "decode", "decode"))
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__)

    def test_stream_is_complete_and_keeps_the_seal(self):
        reply = self.fleet.send(
            0, "/talk/a", "a-1", headers=hosted_fleet.STREAM
        )
        self.assertEqual(reply.status, 200)
        self.assertEqual(hosted_fleet.list_ids(reply.body), ALL_IDS)
        self.assertTrue(reply.headers["Server-Seal"])
        self.assertEqual(reply.headers["Attempt-Id"], "a-1")
        self.assertFalse(reply.is_cut)

    def test_plain_call_is_forwarded_unchanged(self):
        reply = self.fleet.send(1, "/plain/x?y=1", "a-2", body=b"ab\0c")
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.body, b"POST /plain/x?y=1 ab\0c")

    def test_unknown_key_and_unknown_route(self):
        refused = self.fleet.send(0, "/plain/x", "a-3", key="nobody")
        self.assertEqual(refused.status, 401)
        self.assertEqual(self.fleet.send(0, "/none/x", "a-4").status, 404)

    def test_key_and_forged_account_are_not_forwarded(self):
        """A caller forges another account, the KV cache handle of another
        request, and a reservation.  If forwarded, the request would be charged
        to the other account or could read the other's prompt.
        """
        headers = {
            "Tenant": "small-as-claimed",
            "Kv-Hold": "hold-as-claimed",
            "Serving-Phase": "prefill-as-claimed",
        }
        reply = self.fleet.send(
            0, "/talk/b", "a-5", headers=headers | hosted_fleet.STREAM
        )
        self.assertEqual(reply.status, 200)
        self.assertEqual(self.fleet.count_seen("k-large"), 0)
        self.assertEqual(self.fleet.count_seen("as-claimed"), 0)
        self.assertGreater(self.fleet.count_seen("Tenant: large"), 0)

    def test_connection_header_takes_nothing_away(self):
        """Guards against requests without an account, and against requests
        without an id, which a caller's Connection header brings about.
        """
        options = "keep-alive, Tenant, Attempt-Id, Model, Token-Counts"
        headers = {"Connection": options, "X-Hop": "hop-as-claimed"}
        headers["Connection"] += ", X-Hop"
        for number, path in enumerate(("/talk/c", "/plain/c")):
            attempt = f"c-{number}"
            seen = self.fleet.count_seen("Tenant: large")
            reply = self.fleet.send(
                0, path, attempt, headers=headers | hosted_fleet.STREAM
            )
            self.assertEqual(reply.status, 200)
            self.assertGreater(self.fleet.count_seen("Tenant: large"), seen)
            self.assertGreater(
                self.fleet.count_seen(f"Attempt-Id: {attempt}"), 0
            )
        self.assertEqual(self.fleet.count_seen("hop-as-claimed"), 0)

    def test_request_smuggled_in_a_body_is_not_run(self):
        """A caller embeds a request in the body of another one.  If it was
        parsed as a request, it would run without authentication.
        """
        smuggled = b"POST /book/hidden HTTP/1.1\r\nHost: x\r\n\r\n"
        reply = self.fleet.send(0, "/plain/outer", "a-6", body=smuggled)
        self.assertTrue(reply.body.endswith(smuggled))
        self.assertEqual(self.fleet.count_seen("POST /book/hidden "), 1)

    def test_forwarded_deadline_is_not_longer_than_the_callers(self):
        self.fleet.send(0, "/book/c", "a-7", deadline_ms=1500)
        runs = [
            run
            for name in ("s0", "s1")
            for run in self.fleet.list_runs(name)
            if run["id"] == "a-7"
        ]
        self.assertEqual(len(runs), 1)
        self.assertLessEqual(int(runs[0]["deadline"]), 1500)

    def test_metrics_are_served_as_text(self):
        self.fleet.send(0, "/plain/m", "a-8")
        reply = processes.call(self.fleet.ports[0][4], "GET", "/metrics")
        self.assertIn(b"mulberryway_requests_total", reply.body)
        self.assertIn(b"mulberryway_request_time", reply.body)

    def test_disconnect_frees_the_engine(self):
        """A caller disconnects during a stream.  An engine that continued
        would hold memory for an answer that is not read.
        """
        with hosted_fleet.open_stream(
            self.fleet.ports[0][0], "/talk/g", "a-9"
        ) as connection:
            connection.recv(1)
            self.assertGreater(self._count_running(), 0)
        # The stream itself would run for another 0.2 seconds.
        self.assertTrue(
            processes.wait_until(lambda: self._count_running() == 0, 0.15)
        )

    def _count_running(self):
        return sum(
            self.fleet.read_state(name)["running"] for name in ("e1", "e2")
        )

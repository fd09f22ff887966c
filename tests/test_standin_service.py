"""Tests of the service stand-in as a process."""

import http.client
import unittest

from tests import processes


class ServiceTest(unittest.TestCase):
    def setUp(self):
        group = processes.Group()
        self.addCleanup(group.stop)
        _, self.port = processes.start_standin(group, "service")

    def call(self, method, path, body=None, **headers):
        return processes.call(self.port, method, path, body, headers)

    def test_echo(self):
        reply = self.call(
            "PUT", "/pens/7?lake=begnas", b"nets", **{"X-Request-Id": "r1"}
        )
        self.assertEqual(reply.headers["X-Request-Id"], "r1")
        self.assertEqual(
            reply.json(),
            {"method": "PUT", "target": "/pens/7?lake=begnas", "body": "nets"},
        )

    def test_repeated_booking_is_counted_twice(self):
        """A booking that is retried after a lost reply counts twice.

        Tests detect duplicate executions by these counts.
        """
        headers = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}
        self.call("POST", "/standin/faults", {"lost_replies": 1})
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.call("POST", "/bookings", {"pen": 7}, **headers)
        self.assertEqual(
            self.call("POST", "/bookings", {"pen": 7}, **headers).status, 201
        )
        counts = self.call("GET", "/standin/bookings").json()
        self.assertEqual(counts["by_key"], {"k1": 2})
        self.assertEqual(counts["by_request"], {"r1": 2})
        self.assertEqual([*counts["by_body"].values()], [2])

    def test_failure_without_effect(self):
        self.call("POST", "/standin/faults", {"fail_status": 503})
        self.assertEqual(self.call("POST", "/bookings", {}).status, 503)
        counts = self.call("GET", "/standin/bookings").json()
        self.assertEqual(counts["total"], 0)


if __name__ == "__main__":
    unittest.main()

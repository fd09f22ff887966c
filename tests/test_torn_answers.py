"""Tests of callers whose servers break off in the heads of their answers."""

import unittest

from tests import hosted_fleet

ALL_IDS = list(range(1, 21))
CALLS = 20
FAULTS = ("torn_head", "malformed_head")


class TornAnswerTest(unittest.TestCase):
    def test_plain_calls(self):
        """Guards against empty or wrong successes, and against servers that
        are chosen as before while they break off in their heads.
        """
        for fault in FAULTS:
            with self.subTest(fault), hosted_fleet.Fleet(1) as fleet:
                fleet.set_fault("s0", **{fault: 1})
                for number in range(CALLS):
                    path = f"/plain/{number}"
                    reply = fleet.send(0, path, f"p-{number}")
                    self.assertEqual(reply.status, 200)
                    self.assertEqual(reply.body, f"POST {path} {{}}".encode())
                replies = [
                    fleet.send(0, f"/book/{number}", f"b-{number}")
                    for number in range(CALLS)
                ]
                served = [one for one in replies if one.status == 200]
                for reply in served:
                    self.assertTrue(reply.headers["Server-Seal"])
                    self.assertTrue(reply.body.startswith(b"POST /book/"))
                # Bookings may have run, so they are not sent elsewhere.
                others = {one.status for one in replies} - {200}
                self.assertLessEqual(others, {502})
                self.assertGreater(len(served), CALLS // 2)

    def test_streams(self):
        """Guards against streams that wait for an engine which has closed, or
        that get the sizes of its chunks as events.
        """
        phases = ("prefill", "decode", "decode")
        for fault in FAULTS:
            with (
                self.subTest(fault),
                hosted_fleet.Fleet(1, phases=phases) as fleet,
            ):
                fleet.set_fault("e1", **{fault: 1})
                for number in range(4):
                    reply = fleet.send(
                        0,
                        f"/digest/{number}",
                        f"d-{number}",
                        headers=hosted_fleet.STREAM,
                        deadline_ms=4_000,
                    )
                    self.assertEqual(reply.status, 200)
                    self.assertEqual(
                        hosted_fleet.list_ids(reply.body), ALL_IDS
                    )

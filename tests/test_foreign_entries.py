"""Tests of server entries that another writer has left in the store."""

import time
import unittest

from tests import hosted_fleet
from tests import processes

ALL_IDS = list(range(1, 21))
ENTRY = {
    "service": "llm",
    "address": "\ufffd\ufffd\ufffd:8080",
    "zone": "kandy-a",
    "version": hosted_fleet.VERSION,
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "phase": "prefill",
    "sequence": 0,
}


class ForeignEntryTest(unittest.TestCase):
    def test_unreadable_addresses_end_no_stream(self):
        """Guards against streams that fail while entries with unreadable
        addresses exist, and against slots that stay taken after them.
        """
        with hosted_fleet.Fleet(1) as fleet:
            for number in range(3):
                fleet.put("servers", f"i-{number}", ENTRY)
            # So that the next view of the servers has the entries.
            time.sleep(1)
            for number in range(8):
                reply = fleet.send(
                    0,
                    f"/talk/{number}",
                    f"u-{number}",
                    headers=hosted_fleet.STREAM,
                )
                self.assertEqual(reply.status, 200)
                self.assertEqual(hosted_fleet.list_ids(reply.body), ALL_IDS)
            self.assertTrue(
                processes.wait_until(
                    lambda: not fleet.read_state("e1")["holds"]
                )
            )

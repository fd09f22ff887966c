"""Tests of VMs as processes beside odd entries of other writers."""

import json
import time
import unittest

from tests import hosted_fleet
from tests import odd_entries
from tests import processes
from tests import test_foreign_entries

ENTRY = test_foreign_entries.ENTRY | {"address": "127.0.0.1:9"}
ALL_IDS = list(range(1, 21))
WAIT_S = 10.0
MAX_SMALL = 10_000


def make_texts():
    """Return the contents of odd entries by their names."""
    texts = {}
    values = list(odd_entries.list_worst_values().values())
    values += [b'"\xff\xfe"', b"1e400", b"9" * 5_000, b'"\\ud800"', b"NaN"]
    for number, value in enumerate(values):
        entry = ENTRY | {("sequence", "zone", "x")[number % 3]: "@"}
        entry["state"] = "none"
        text = json.dumps(entry).encode().replace(b'"@"', value)
        texts[f"odd-{number}"] = text
    for number, address in enumerate(odd_entries.ADDRESSES):
        entry = ENTRY | {"address": address}
        texts[f"port-{number}"] = json.dumps(entry).encode()
    return texts


class OddEntryTest(unittest.TestCase):
    def check_calls(self, fleet, number, server):
        """Check streams and plain calls of a VM; a server gets some."""

        def reaches():
            self.calls += 1
            name = f"p-{self.calls}"
            reply = fleet.send(number, "/plain/a", name)
            self.assertEqual(reply.status, 200)
            return any(run["id"] == name for run in fleet.list_runs(server))

        for _ in range(3):
            self.calls += 1
            reply = fleet.send(
                number,
                "/talk/a",
                f"t-{self.calls}",
                headers=hosted_fleet.STREAM,
            )
            self.assertEqual(reply.status, 200)
            self.assertEqual(hosted_fleet.list_ids(reply.body), ALL_IDS)
        self.assertTrue(processes.wait_until(reaches, WAIT_S))

    def test_vms_follow_the_servers(self):
        """Guards against VMs that end, or that stop following the servers,
        while odd entries of another writer are in the store.
        """
        self.calls = 0
        with hosted_fleet.Fleet(2) as fleet:
            late = fleet.vms[1]
            late.kill()
            for name, text in make_texts().items():
                fleet.put_text("servers", name, text)
                if len(text) < MAX_SMALL:
                    fleet.put_text("vms", name, text)
                    fleet.put_text("evacuations", name, text)
            fleet.start_upstream("s2", "app")
            for name in ("s0", "s1"):
                fleet.drop("servers", name)
            self.check_calls(fleet, 0, "s2")
            for _ in range(2):
                fleet.put_text(
                    "servers", "odd-0", b"[" * 40_000 + b"]" * 40_000
                )
            fleet.start_vm(1).wait_ready()
            self.assertTrue(
                processes.wait_until(
                    lambda: fleet.is_ready(fleet.ports[1]), WAIT_S
                )
            )
            time.sleep(1)
            fleet.start_upstream("s3", "app")
            fleet.drop("servers", "s2")
            for number in range(2):
                self.check_calls(fleet, number, "s3")
                self.assertTrue(fleet.is_ready(fleet.ports[number]))
            log = fleet.read_logs()
            self.assertNotIn("Traceback", log)
            self.assertNotIn("a controller step failed", log)
            self.assertLess(log.count("name no server"), 100)

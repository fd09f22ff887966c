"""Tests of table edits with real processes, under seeded faults."""

import random
import threading
import time
import tomllib
import unittest

import expression

from mulberryway import clock
from mulberryway import peers
from mulberryway.peers.gen.configuration import Configuration
from tests import configuration_fleet
from tests import samples

VMS = 3
EDITS = 12
OPERATORS = 3
TIMEOUT_MS = 30_000


class Sampler(threading.Thread):
    """Polls the revision of each VM.

    ``incarnation_counts`` is incremented at each restart of a VM, to assign
    each sample to one incarnation.  A sample is discarded if the VM restarted
    while it was taken.
    """

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.client = peers.PeerClient(
            "fleet secret", clock.SystemClock(), TIMEOUT_MS
        )
        self.incarnation_counts = [0] * VMS
        self.samples = []
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.wait(0.05):
            for number in range(VMS):
                incarnation = self.incarnation_counts[number]
                revision = self.read(number)
                if (
                    revision is not None
                    and incarnation == self.incarnation_counts[number]
                ):
                    self.samples.append(((number, incarnation), revision))

    def read(self, number):
        response: expression.Result = self.client.call(
            f"127.0.0.1:{self.fleet.peer_ports[number]}",
            Configuration.Client,
            "read_root",
            1 << 62,
            timeout_ms=1_000,
            is_idempotent=True,
        )
        return response.ok.revision if response.is_ok() else None

    def stop(self):
        self.stopping.set()
        self.join()
        self.client.close()


class Operator(threading.Thread):
    """Edits its own row repeatedly and records the responses."""

    def __init__(self, fleet, number):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.name_ = f"operator{number}"
        self.random = random.Random(number)
        self.answers = {}

    def run(self):
        for number in range(EDITS):
            edit_id = f"{self.name_}-{number}"
            values = {"key_digests": [], "rate": 1 + number, "burst": 1}
            reply = self.fleet.call_admin(
                "PUT",
                f"/v1/tables/accounts/{self.name_}",
                {"values": values, "edit_id": edit_id},
                self.random.randrange(2),
            )
            self.answers[edit_id] = reply
            time.sleep(self.random.uniform(0, 0.2))


class ProcessScheduleTest(unittest.TestCase):
    def setUp(self):
        fleet = configuration_fleet.ConfigurationFleet(VMS, 2)
        self.fleet = fleet.__enter__()
        self.addCleanup(fleet.__exit__)
        body = {"text": samples.TABLES, "revision": 0, "edit_id": "first"}
        reply = self.fleet.call_admin("PUT", "/v1/tables", body)
        self.assertEqual(reply.status, 200, reply.body)

    def test_edits_are_not_lost(self):
        """Edits are reported correctly and never rolled back under faults.

        Three operators edit through two administration APIs.  Meanwhile a VM
        is killed and restarted, and the platform loses responses, stalls
        watches and has outages.  Each response must match the history, and
        no VM may return to older tables.
        """
        sampler = Sampler(self.fleet)
        sampler.start()
        operators = [Operator(self.fleet, n) for n in range(OPERATORS)]
        for operator in operators:
            operator.start()
        self.make_faults(sampler, operators)
        for operator in operators:
            operator.join()
        self.fleet.fault(outage=False, lost_share=0.0)
        status, response = self.fleet.run_admin_command("wait")
        self.assertEqual(status, 0, response)
        sampler.stop()
        self.check_answers(operators)
        self.check_samples(sampler)

    def make_faults(self, sampler, operators):
        rng = random.Random(5)
        while any(operator.is_alive() for operator in operators):
            kind = rng.randrange(4)
            if kind == 0:
                self.fleet.fault(outage=True)
                time.sleep(0.3)
                self.fleet.fault(outage=False)
            elif kind == 1:
                self.fleet.fault(silent_watches=True)
            elif kind == 2:
                self.fleet.fault(lost_share=rng.choice((0.0, 0.3)))
            else:
                # The first two VMs also run the administration APIs.
                number = VMS - 1
                self.fleet.vms[number].kill()
                sampler.incarnation_counts[number] += 1
                self.fleet.vms[number] = self.fleet.start_vm(number)
            time.sleep(0.2)

    def check_answers(self, operators):
        reply = self.fleet.call_admin("GET", "/v1/history").json()
        accepted = {
            edit["edit_id"]: edit["revision"] for edit in reply["edits"]
        }
        self.assertEqual(
            sorted(accepted.values()), list(range(1, len(accepted) + 1))
        )
        text = self.fleet.call_admin("GET", "/v1/tables").json()["text"]
        rows = tomllib.loads(text)["accounts"]
        confirmed = 0
        for operator in operators:
            for edit_id, response in operator.answers.items():
                body = response.json()
                if response.status == 200:
                    confirmed += 1
                    self.assertEqual(accepted.get(edit_id), body["revision"])
                elif body["error"]["run"] == "not_run":
                    self.assertNotIn(edit_id, accepted)
            own_edits = [one for one in accepted if one in operator.answers]
            last = max(own_edits, key=accepted.get)
            number = int(last.rpartition("-")[2])
            self.assertEqual(rows[operator.name_]["rate"], 1 + number)
        self.assertGreater(confirmed, 0)

    def check_samples(self, sampler):
        newest_revisions = {}
        for incarnation, revision in sampler.samples:
            self.assertGreaterEqual(
                revision, newest_revisions.get(incarnation, 0), incarnation
            )
            newest_revisions[incarnation] = revision
        self.assertGreater(len(sampler.samples), VMS)

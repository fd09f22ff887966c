"""Operators, VMs and the platform as processes, under seeded faults."""

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
GUARD_MS = 30_000


class Sampler(threading.Thread):
    """Asks each VM again and again for its revision.

    ``incarnation_counts`` counts up with each restart of a VM, so that a
    sample belongs to one life; a sample around a restart is thrown away.
    """

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.client = peers.PeerClient(
            "fleet secret", clock.SystemClock(), GUARD_MS
        )
        self.incarnation_counts = [0] * VMS
        self.samples = []
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.wait(0.05):
            for number in range(VMS):
                life = self.incarnation_counts[number]
                revision = self.read(number)
                if (
                    revision is not None
                    and life == self.incarnation_counts[number]
                ):
                    self.samples.append(((number, life), revision))

    def read(self, number):
        answer: expression.Result = self.client.call(
            f"127.0.0.1:{self.fleet.peer_ports[number]}",
            Configuration.Client,
            "read_root",
            1 << 62,
            timeout_ms=1_000,
            is_idempotent=True,
        )
        return answer.ok.revision if answer.is_ok() else None

    def stop(self):
        self.stopping.set()
        self.join()
        self.client.close()


class Operator(threading.Thread):
    """Edits a row of its own again and again, and keeps what it is told."""

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

    def test_edits_stay(self):
        """Three operators edit through two administration APIs while VMs
        are killed and started, the platform's replies are lost, its watches
        go silent, and it is down now and then.  What an operator was told
        must be true, and no VM may go back to older tables.
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
        status, answer = self.fleet.run_admin_command("wait")
        self.assertEqual(status, 0, answer)
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
                # The first two carry the administration APIs' own routers.
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
        shown = self.fleet.call_admin("GET", "/v1/tables").json()["text"]
        rows = tomllib.loads(shown)["accounts"]
        told = 0
        for operator in operators:
            for edit_id, answer in operator.answers.items():
                body = answer.json()
                if answer.status == 200:
                    told += 1
                    self.assertEqual(accepted.get(edit_id), body["revision"])
                elif body["error"]["run"] == "not_run":
                    self.assertNotIn(edit_id, accepted)
            mine = [one for one in accepted if one in operator.answers]
            last = max(mine, key=accepted.get)
            number = int(last.rpartition("-")[2])
            self.assertEqual(rows[operator.name_]["rate"], 1 + number)
        self.assertGreater(told, 0)

    def check_samples(self, sampler):
        newest = {}
        for life, revision in sampler.samples:
            self.assertGreaterEqual(revision, newest.get(life, 0), life)
            newest[life] = revision
        self.assertGreater(len(sampler.samples), VMS)

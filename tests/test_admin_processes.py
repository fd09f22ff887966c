"""Tests of the operators' commands against real processes."""

import concurrent.futures
import unittest

from tests import configuration_fleet
from tests import processes
from tests import samples

ROW = "key_digests = []\nrate = {rate}\nburst = 10\n"


class AdminTest(unittest.TestCase):
    """All tests share one fleet; each starts with the sample tables."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = configuration_fleet.ConfigurationFleet(3, 2)
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__)
        # "In force everywhere" covers the VMs that are known.
        for admin in range(cls.fleet.admins):
            processes.wait_until(lambda a=admin: cls.knows_all_vms(a))

    @classmethod
    def knows_all_vms(cls, admin):
        """Return whether an administration API's VM knows all others."""
        status = cls.fleet.call_admin("GET", "/v1/status", admin=admin).json()
        return len(status["vms"]) == cls.fleet.count

    def setUp(self):
        file = self.fleet.write("tables.toml", samples.TABLES)
        body = {
            "text": samples.TABLES,
            "revision": self.read_tables()["revision"],
        }
        reply = self.fleet.call_admin("PUT", "/v1/tables", body)
        self.assertEqual(reply.status, 200, reply.body)
        self.first = reply.json()["revision"]
        self.file = file

    def check_in_force(self, *words):
        status, answer = self.fleet.run_admin_command("wait", *words)
        self.assertEqual(status, 0, answer)
        self.assertEqual(len(answer["vms"]), self.fleet.count)

    def read_tables(self):
        return self.fleet.call_admin("GET", "/v1/tables").json()

    def read_history(self, admin=0):
        reply = self.fleet.call_admin("GET", "/v1/history", admin=admin)
        return [
            edit
            for edit in reply.json()["edits"]
            if edit["revision"] > self.first
        ]

    def test_commands(self):
        fleet = self.fleet
        self.check_in_force()
        tables = fleet.run_admin_command("show")[1]
        self.assertNotIn("upstream-secret", tables["text"])
        # The output of show can be applied again and keeps the credential.
        file = fleet.write("same.toml", tables["text"])
        self.assertEqual(fleet.run_admin_command("diff", file)[1]["lines"], [])
        status, rejected = fleet.run_admin_command(
            "apply", file, "--revision=0"
        )
        self.assertEqual(status, 1)
        self.assertEqual(rejected["error"]["code"], "conflict")
        self.assertEqual(rejected["error"]["run"], "not_run")
        revision = f"--revision={self.first}"
        self.assertEqual(
            fleet.run_admin_command("apply", file, revision)[0], 0
        )
        status, rejected = fleet.run_admin_command("delete", "pools.lm-pool")
        self.assertEqual(rejected["error"]["peer"], "routes.lm.pool")
        row = fleet.write("row.toml", ROW.format(rate=5))
        put = fleet.run_admin_command(
            "put", "accounts.new", row, "--digest=absent"
        )
        self.assertEqual(put[0], 0, put)
        put = fleet.run_admin_command(
            "put", "accounts.new", row, "--digest=absent"
        )
        self.assertEqual(put[1]["error"]["code"], "conflict")
        status, answer = fleet.run_admin_command("status")
        self.assertEqual(answer["pools"]["lm-pool"]["models"], ["m1"])
        history = fleet.run_admin_command("history", admin=1)[1]["edits"][-2:]
        self.assertEqual(
            [edit["revision"] for edit in history],
            [self.first + 1, self.first + 2],
        )
        self.assertEqual({edit["operator"] for edit in history}, {"ann"})

    def test_keys(self):
        """Guards against a revoked key that some VM still accepts, and against
        a second, unknown key from a retry of an edit.
        """
        fleet = self.fleet
        issued = fleet.run_admin_command("give-key", "tea", "--edit_id=k1")[1]
        digest = samples.digest(issued["key"])
        self.assertIn(digest, self.read_tables()["text"])
        self.check_in_force(str(issued["revision"]))
        unauthorized = 401
        for number in range(fleet.count):
            # No upstream runs; only a rejection of the key matters here.
            status = fleet.call_router(number, issued["key"])
            self.assertNotEqual(status, unauthorized)
        status, retried = fleet.run_admin_command(
            "give-key", "tea", "--edit_id=k1"
        )
        self.assertEqual(retried["error"]["run"], "ran")
        revoked = fleet.run_admin_command(
            "withdraw-key", "tea", digest[:8], admin=1
        )[1]
        self.check_in_force(str(revoked["revision"]))
        for number in range(fleet.count):
            status = fleet.call_router(number, issued["key"])
            self.assertEqual(status, unauthorized)
            status = fleet.call_router(number, "tea-key")
            self.assertNotEqual(status, unauthorized)
        text = self.read_tables()["text"]
        self.assertNotIn(digest, text)
        self.assertIn(samples.digest("tea-key"), text)

    def test_invalid_credential(self):
        """Guards against access to the tables without a valid credential."""
        for words in (("show",), ("delete", "routes.lm")):
            status, answer = self.fleet.run_admin_command(
                *words, credential="guess"
            )
            self.assertEqual(answer["error"]["code"], "unauthenticated")
        self.assertIn("[routes.lm]", self.read_tables()["text"])

    def test_lost_replies(self):
        """Guards against a false failure or a duplicate edit: the platform's
        responses are lost after the writes have taken effect.
        """
        for number in range(3):
            self.fleet.fault(lost_writes=3)
            values = {"key_digests": [], "rate": 5 + number, "burst": 1}
            reply = self.fleet.call_admin(
                "PUT", "/v1/tables/accounts/new", {"values": values}
            )
            self.assertEqual(reply.status, 200, reply.body)
            revision = reply.json()["revision"]
            self.assertEqual(revision, self.first + 1 + number)
        self.fleet.fault(lost_writes=0)
        self.assertEqual(len(self.read_history()), 3)

    def test_racing_operators(self):
        """Guards against lost edits: twelve operators edit different rows
        concurrently through two administration APIs.
        """

        def put(number):
            path = f"/v1/tables/accounts/a{number}"
            values = {"key_digests": [], "rate": 1 + number, "burst": 1}
            body = {"values": values, "edit_id": f"e{number}"}
            return self.fleet.call_admin("PUT", path, body, number % 2)

        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            replies = list(pool.map(put, range(12)))
        self.assertEqual({reply.status for reply in replies}, {200})
        revisions = sorted(reply.json()["revision"] for reply in replies)
        expected = list(range(self.first + 1, self.first + 13))
        self.assertEqual(revisions, expected)
        text = self.read_tables()["text"]
        for number in range(12):
            self.assertIn(f"[accounts.a{number}]", text)
        self.check_in_force()

    def test_outage(self):
        """Guards against a false outcome of an edit in an outage of the
        platform, and against VMs without tables: a VM that is replaced
        meanwhile gets them from its peers.
        """
        self.check_in_force()
        self.fleet.fault(outage=True)
        self.addCleanup(self.fleet.fault, outage=False)
        self.fleet.vms[2].kill()
        self.fleet.start_vm(2)
        reply = self.fleet.call_admin("DELETE", "/v1/tables/routes/lm")
        error = reply.json()["error"]
        self.assertEqual(error["code"], "platform_unavailable")
        self.assertEqual(error["run"], "not_run")
        self.check_in_force(str(self.first))
        self.fleet.fault(outage=False)
        reply = self.fleet.call_admin("DELETE", "/v1/tables/routes/lm")
        self.assertEqual(reply.status, 200, reply.body)
        self.check_in_force(str(self.first + 1))

    def test_restore_after_rollback(self):
        """Guards against the loss of accepted edits after the platform's store
        was restored from an old backup: VMs keep the newer tables, and edits
        are rejected until the restore command has run.
        """
        root = "/apis/mulberryway.dev/v1/roots/root"
        old_root = self.fleet.call_platform("GET", root).json()["value"]
        reply = self.fleet.call_admin("DELETE", "/v1/tables/routes/member")
        accepted = reply.json()["revision"]
        self.check_in_force()
        current = self.fleet.call_platform("GET", root).json()
        version = current["metadata"]["resourceVersion"]
        metadata = {"name": "root", "resourceVersion": version}
        body = {"metadata": metadata, "value": old_root}
        reply = self.fleet.call_platform("PUT", root, body)
        self.assertEqual(reply.status, 200, reply.body)
        rejected = self.fleet.call_admin("DELETE", "/v1/tables/routes/lm")
        self.assertEqual(rejected.json()["error"]["run"], "not_run")
        self.check_in_force(str(accepted))
        status, answer = self.fleet.run_admin_command("restore")
        self.assertEqual((status, answer["revision"]), (0, accepted + 1))
        self.check_in_force(str(accepted + 1))
        self.assertNotIn("[routes.member]", self.read_tables()["text"])
        status, answer = self.fleet.run_admin_command("restore")
        self.assertEqual(answer["error"]["code"], "conflict")
        reply = self.fleet.call_admin("DELETE", "/v1/tables/routes/lm")
        self.assertEqual(reply.json()["revision"], accepted + 2)

    def test_malformed_requests(self):
        """Guards against malformed bodies that change the tables or stop the
        server.
        """
        for path, body, status in (
            ("/v1/tables", b"{", 400),
            ("/v1/tables", b"[]", 400),
            ("/v1/tables", {"text": "x = 1", "revision": 1}, 422),
            ("/v1/tables", {"text": "", "revision": "1"}, 400),
            ("/v1/tables/accounts/a", {"values": {"rate": -1}}, 422),
            ("/v1/nothing", {}, 404),
        ):
            with self.subTest(path=path, body=body):
                reply = self.fleet.call_admin("PUT", path, body)
                self.assertEqual(reply.status, status, reply.body)
                self.assertIn("message", reply.json()["error"])
        self.assertEqual(self.read_tables()["revision"], self.first)
        self.assertTrue(processes.is_open(self.fleet.admin_ports[0]))

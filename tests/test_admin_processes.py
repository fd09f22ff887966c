"""Operators' commands through real processes."""

import concurrent.futures
import unittest

from tests import configuration_fleet
from tests import processes
from tests import samples

ROW = "key_digests = []\nrate = {rate}\nburst = 10\n"


class AdminTest(unittest.TestCase):
    """All tests use one fleet; each begins with the sample tables."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = configuration_fleet.ConfigurationFleet(3, 2)
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__)

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
        shown = fleet.run_admin_command("show")[1]
        self.assertNotIn("upstream-secret", shown["text"])
        # What is shown can be applied again and keeps the credential.
        file = fleet.write("same.toml", shown["text"])
        self.assertEqual(fleet.run_admin_command("diff", file)[1]["lines"], [])
        status, refused = fleet.run_admin_command(
            "apply", file, "--revision=0"
        )
        self.assertEqual(status, 1)
        self.assertEqual(refused["error"]["code"], "conflict")
        self.assertEqual(refused["error"]["run"], "not_run")
        revision = f"--revision={self.first}"
        self.assertEqual(
            fleet.run_admin_command("apply", file, revision)[0], 0
        )
        status, refused = fleet.run_admin_command("delete", "pools.lm-pool")
        self.assertEqual(refused["error"]["peer"], "routes.lm.pool")
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
        """A key is withdrawn and must be gone from every VM; a key that was
        given twice by a repeated call would be one that nobody knows of.
        """
        fleet = self.fleet
        given = fleet.run_admin_command("give-key", "tea", "--edit_id=k1")[1]
        digest = samples.digest(given["key"])
        self.assertIn(digest, self.read_tables()["text"])
        self.check_in_force(str(given["revision"]))
        refused = 401
        for number in range(fleet.count):
            # No upstream runs; only the key's own refusal matters here.
            status = fleet.call_router(number, given["key"])
            self.assertNotEqual(status, refused)
        status, repeated = fleet.run_admin_command(
            "give-key", "tea", "--edit_id=k1"
        )
        self.assertEqual(repeated["error"]["run"], "ran")
        taken = fleet.run_admin_command(
            "withdraw-key", "tea", digest[:8], admin=1
        )[1]
        self.check_in_force(str(taken["revision"]))
        for number in range(fleet.count):
            status = fleet.call_router(number, given["key"])
            self.assertEqual(status, refused)
            status = fleet.call_router(number, "tea-key")
            self.assertNotEqual(status, refused)
        text = self.read_tables()["text"]
        self.assertNotIn(digest, text)
        self.assertIn(samples.digest("tea-key"), text)

    def test_stranger(self):
        """Somebody who reaches the port without a credential wants to see
        the tables or to change them.
        """
        for words in (("show",), ("delete", "routes.lm")):
            status, answer = self.fleet.run_admin_command(
                *words, credential="guess"
            )
            self.assertEqual(answer["error"]["code"], "unauthenticated")
        self.assertIn("[routes.lm]", self.read_tables()["text"])

    def test_lost_replies(self):
        """The platform's replies are lost after the writes took effect.
        The operator must hear that the edit is accepted, and it must be
        there once.
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
        """Twelve operators edit through two administration APIs at once,
        each another row, and no edit may get lost.
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
        """The platform is down.  An edit is refused truly, the VMs go on,
        and a VM that is replaced meanwhile gets the tables from the others.
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

    def test_platform_from_an_old_copy(self):
        """The platform's operators restore it from yesterday's copy.  The
        VMs keep what was accepted since; edits are refused until the
        platform is brought forward, and nothing that was accepted is lost.
        """
        root = "/apis/mulberryway.dev/v1/roots/root"
        old = self.fleet.call_platform("GET", root).json()["value"]
        reply = self.fleet.call_admin("DELETE", "/v1/tables/routes/member")
        accepted = reply.json()["revision"]
        self.check_in_force()
        now = self.fleet.call_platform("GET", root).json()
        version = now["metadata"]["resourceVersion"]
        metadata = {"name": "root", "resourceVersion": version}
        body = {"metadata": metadata, "value": old}
        reply = self.fleet.call_platform("PUT", root, body)
        self.assertEqual(reply.status, 200, reply.body)
        refused = self.fleet.call_admin("DELETE", "/v1/tables/routes/lm")
        self.assertEqual(refused.json()["error"]["run"], "not_run")
        self.check_in_force(str(accepted))
        status, answer = self.fleet.run_admin_command("restore")
        self.assertEqual((status, answer["revision"]), (0, accepted + 1))
        self.check_in_force(str(accepted + 1))
        self.assertNotIn("[routes.member]", self.read_tables()["text"])
        status, answer = self.fleet.run_admin_command("restore")
        self.assertEqual(answer["error"]["code"], "conflict")
        reply = self.fleet.call_admin("DELETE", "/v1/tables/routes/lm")
        self.assertEqual(reply.json()["revision"], accepted + 2)

    def test_bad_requests(self):
        """Bodies that cannot be read leave the connection in a known state
        and change nothing.
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

"""Tests of the check of a configuration before it is sent."""

import copy
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from mulberryway import tables
from mulberryway.platform import configuration_check
from mulberryway.platform import findings
from tests import hosted_fleet
from tests import processes

KEY = "secret-key-of-an-account"


def make_configuration():
    return {
        "version": 7,
        "routes": [
            hosted_fleet.make_route(
                "r-plain", "/plain/", "app", "idempotent", 2
            ),
            hosted_fleet.make_route("r-talk", "/talk/", "llm", "streaming", 1),
        ],
        "services": [
            {"name": "app", "health_path": "/h", "max_conns": 10},
            {
                "name": "llm",
                "health_path": "/h",
                "engine": {
                    "slots": 12,
                    "kv_capacity": 70_000,
                    "kv_bytes": 163_840,
                    "link_mbps": 8_800_000.0,
                    "swap_s": 6.0,
                    "models": [{"name": "m"}],
                },
            },
        ],
        "limits": dict(hosted_fleet.LIMITS),
        "tenants": [
            {
                "name": "large",
                "api_keys": [KEY],
                "rate_per_s": 50_000,
                "burst": 100_000,
                "plain_tokens": 200,
                "priority": None,
            }
        ],
    }


class CheckCase(unittest.TestCase):
    def setUp(self):
        self.value = make_configuration()
        self.route, self.stream = self.value["routes"]
        self.service, self.pool = self.value["services"]
        self.account = self.value["tenants"][0]

    def check(self, *expected):
        """Check that exactly these severities and paths are found."""
        found = configuration_check.check_configuration(self.value)
        self.assertEqual(
            sorted((f.severity.name.lower(), f.path) for f in found),
            sorted(expected),
            "\n".join(map(str, found)),
        )
        return found


class SoundTest(CheckCase):
    def test_sound_configuration(self):
        self.check()

    def test_no_accounts(self):
        """A configuration without accounts serves everybody."""
        del self.value["tenants"]
        self.route["public"] = True
        self.check()

    def test_split(self):
        self.value["services"].append({"name": "new"})
        self.route["traffic_split"] = [
            {"service": "app", "weight": 9},
            {"service": "new", "weight": 1},
        ]
        self.check()


class FieldTest(CheckCase):
    def test_missing_field(self):
        del self.route["timeout_ms"]
        self.check(("error", "routes.r-plain.timeout_ms"))

    def test_wrong_types(self):
        """Guards against a check that fails instead of reporting."""
        for bad in (None, "x", -1, 1.5, True, [], {}, [None], [[]]):
            for section in ("routes", "services", "tenants"):
                row = self.value[section][0]
                for name in list(row):
                    with self.subTest(bad=bad, section=section, name=name):
                        kept = copy.deepcopy(self.value)
                        row[name] = bad
                        configuration_check.check_configuration(self.value)
                        self.value[section][0][name] = kept[section][0][name]
                with self.subTest(bad=bad, section=section):
                    whole = self.value[section]
                    self.value[section] = bad
                    configuration_check.check_configuration(self.value)
                    self.value[section] = [bad]
                    configuration_check.check_configuration(self.value)
                    self.value[section] = whole
        self.check()

    def test_no_object(self):
        for value in (None, [], "x", 1):
            (found,) = configuration_check.check_configuration(value)
            self.assertIs(found.severity, findings.Severity.ERROR)

    def test_prefix_without_slash(self):
        self.route["path_prefix"] = "/plain"
        self.check(("error", "routes.r-plain.path_prefix"))

    def test_malformed_rank(self):
        self.route["priority"] = "high"
        self.account["priority"] = -1
        self.check(
            ("error", "routes.r-plain.priority"),
            ("error", "tenants.large.priority"),
        )

    def test_rank_below_the_lowest(self):
        self.route["priority"] = 12
        self.check(("warning", "routes.r-plain.priority"))

    def test_engine(self):
        self.pool["engine"]["slots"] = 0
        self.pool["engine"]["models"] = []
        self.check(
            ("error", "services.llm.engine.slots"),
            ("error", "services.llm.engine.models"),
        )


class ReferenceTest(CheckCase):
    def test_unknown_service(self):
        self.route["service"] = "no"
        self.check(
            ("error", "routes.r-plain.service"), ("warning", "services.app")
        )

    def test_unknown_service_in_a_split(self):
        self.route["traffic_split"] = [
            {"service": "app", "weight": 1},
            {"service": "no", "weight": 1},
        ]
        self.check(("error", "routes.r-plain.traffic_split.no"))

    def test_weights(self):
        self.route["traffic_split"] = [{"service": "app", "weight": 0}]
        self.check(
            ("error", "routes.r-plain.traffic_split"),
            ("warning", "routes.r-plain.traffic_split.app"),
        )

    def test_duplicate_names(self):
        self.value["services"].append(dict(self.service))
        self.check(("error", "services.app"))

    def test_key_twice(self):
        """A key of two accounts, which is not shown."""
        self.value["tenants"].append(self.account | {"name": "other"})
        (found,) = self.check(("error", "tenants.other.api_keys"))
        self.assertNotIn(KEY, str(found))
        self.assertIn(tables.digest_key(KEY)[:8], str(found))

    def test_account_without_keys(self):
        self.account["api_keys"] = []
        self.check(("warning", "tenants.large.api_keys"))

    def test_shadowed_route(self):
        twin = self.route | {
            "name": "twin",
            "host": self.route["host"].upper(),
        }
        self.value["routes"].append(twin)
        self.check(("error", "routes.twin"))


class ContradictionTest(CheckCase):
    def test_timeout_below_the_target(self):
        self.route["target_latency_ms"] = 5_000
        self.check(("error", "routes.r-plain.timeout_ms"))

    def test_attempts_of_a_call_that_runs_once(self):
        self.route["kind"] = "non_idempotent"
        self.check(("warning", "routes.r-plain.max_attempts"))

    def test_resumable_call(self):
        self.route["resumable"] = True
        self.check(("warning", "routes.r-plain.resumable"))

    def test_burst_below_one_request(self):
        self.account["burst"] = 100
        self.check(("error", "tenants.large.burst"))

    def test_burst_without_a_rate(self):
        self.account["rate_per_s"] = 0
        self.check(("warning", "tenants.large.burst"))

    def test_limits(self):
        self.value["limits"]["header_ms"] = 20_000
        self.check(("warning", "limits.header_ms"))


class DifferenceTest(CheckCase):
    def compare(self):
        in_force = make_configuration() | {"version": 6}
        return list(
            map(
                str,
                configuration_check.list_differences(self.value, in_force),
            )
        )

    def test_none(self):
        self.assertEqual(self.compare(), [])

    def test_fields_and_rows(self):
        self.route["timeout_ms"] = 5_000
        self.pool["engine"]["slots"] = 24
        del self.value["routes"][1]
        self.value["services"].append({"name": "new"})
        self.value["limits"]["idle_ms"] = 20_000
        self.assertEqual(
            self.compare(),
            [
                "change routes.r-talk: removed",
                "change routes.r-plain.timeout_ms: 4000 -> 5000",
                "change services.llm.engine.slots: 12 -> 24",
                "change services.new: added",
                "change limits.idle_ms: 15000 -> 20000",
            ],
        )

    def test_keys_are_not_shown(self):
        """Guards against an API key in the output."""
        self.account["api_keys"] = ["another-secret-key"]
        text = "\n".join(self.compare())
        self.assertNotIn("secret", text)
        self.assertEqual(text.count("key "), 2)
        for key in (KEY, "another-secret-key"):
            self.assertIn(tables.digest_key(key)[:8], text)

    def test_version_that_is_not_above(self):
        self.value["version"] = 6
        (found,) = self.compare()
        self.assertTrue(found.startswith("error version"))


class CommandTest(CheckCase):
    def run_check(self, *more):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        file = pathlib.Path(folder) / "new.json"
        file.write_text(json.dumps(self.value), encoding="utf-8")
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "mulberryway.commands.check_configuration",
                str(file),
                *more,
            ],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )
        return done.returncode, done.stdout

    def test_statuses(self):
        self.assertEqual(self.run_check(), (0, ""))
        self.route["resumable"] = True
        status, output = self.run_check()
        self.assertEqual(status, 1)
        self.assertIn("warning routes.r-plain.resumable: ", output)
        self.route["service"] = "no"
        self.assertEqual(self.run_check()[0], 2)

    def test_differences_are_no_warnings(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        file = pathlib.Path(folder) / "old.json"
        old = make_configuration() | {"version": 6}
        old["routes"][0]["timeout_ms"] = 3_000
        file.write_text(
            json.dumps({"metadata": {"name": "main"}, "spec": old}),
            encoding="utf-8",
        )
        self.assertEqual(
            self.run_check(f"--in_force={file}"),
            (0, "change routes.r-plain.timeout_ms: 3000 -> 4000\n"),
        )

    def test_unreadable_file(self):
        self.assertEqual(self.run_check("--in_force=/nowhere")[0], 2)

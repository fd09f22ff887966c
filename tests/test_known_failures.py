"""Tests of the parser for the list of known failures."""

import pathlib
import tempfile
import unittest

from tools import known_failures

KNOWN = "tests.test_known_failures.ListTest.test_listed"
GOOD = f"{KNOWN} | make test, no seed | fails at times | 18"


class ListTest(unittest.TestCase):
    def read(self, *lines):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "list.txt"
            path.write_text("\n".join(lines), encoding="utf-8")
            return known_failures.read_entries(path)

    def check_rejected(self, *lines):
        with self.assertRaises(known_failures.KnownFailuresError):
            self.read(*lines)

    def test_listed(self):
        entry = self.read("# test | command | seen | issue", "", GOOD)[KNOWN]
        self.assertTrue(entry.is_suite_test)
        self.assertEqual(entry.command, "make test, no seed")
        self.assertEqual(entry.symptom, "fails at times")
        self.assertEqual(entry.issue, 18)

    def test_simulation(self):
        name = "hunt of a-site.toml, LOST"
        entry = self.read(f"{name} | run SITE mix --seed 3 | cut | 21")[name]
        self.assertFalse(entry.is_suite_test)

    def test_many_entries(self):
        lines = (
            f"run of day-{number} | seed {number} | cut | 2"
            for number in range(9)
        )
        self.assertEqual(len(self.read(*lines)), 9)

    def test_missing_field(self):
        """An entry without a command or a result cannot be reproduced."""
        self.check_rejected(f"{KNOWN} | make test | 18")
        self.check_rejected(f"{KNOWN} | | fails at times | 18")

    def test_missing_issue(self):
        """An entry without an issue number is rejected."""
        self.check_rejected(f"{KNOWN} | make test | fails at times | later")

    def test_unknown_test(self):
        """An entry must name a test that exists.

        Otherwise the entry of a renamed test would remain unnoticed.
        """
        self.check_rejected(GOOD.replace("test_listed", "test_renamed"))
        self.check_rejected(GOOD.replace("ListTest", "OtherTest"))
        self.check_rejected(GOOD.replace("known_failures", "no_module"))
        self.check_rejected("anything | make test | fails at times | 18")

    def test_listed_twice(self):
        self.check_rejected(GOOD, GOOD)

    def test_no_list(self):
        self.assertEqual(
            known_failures.read_entries(pathlib.Path("no-such-list")), {}
        )

    def test_own_list(self):
        known_failures.read_entries(
            pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
        )

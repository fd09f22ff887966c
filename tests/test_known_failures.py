"""The list of known failures, and what it may pass over."""

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

    def check_refused(self, *lines):
        with self.assertRaises(known_failures.KnownFailuresError):
            self.read(*lines)

    def test_listed(self):
        entry = self.read("# test | command | seen | issue", "", GOOD)[KNOWN]
        self.assertTrue(entry.is_suite_test)
        self.assertEqual(entry.command, "make test, no seed")
        self.assertEqual(entry.seen, "fails at times")
        self.assertEqual(entry.issue, 18)

    def test_played_day(self):
        name = "hunt of a-site.toml, LOST"
        entry = self.read(f"{name} | run SITE mix --seed 3 | cut | 21")[name]
        self.assertFalse(entry.is_suite_test)

    def test_many_entries(self):
        days = (
            f"run of day-{number} | seed {number} | cut | 2"
            for number in range(9)
        )
        self.assertEqual(len(self.read(*days)), 9)

    def test_missing_field(self):
        """Guards against entries that nobody can repeat."""
        self.check_refused(f"{KNOWN} | make test | 18")
        self.check_refused(f"{KNOWN} | | fails at times | 18")

    def test_missing_issue(self):
        """Guards against entries that no issue stands for."""
        self.check_refused(f"{KNOWN} | make test | fails at times | later")

    def test_unknown_test(self):
        """Guards against a renamed test that fails unnoticed."""
        self.check_refused(GOOD.replace("test_listed", "test_renamed"))
        self.check_refused(GOOD.replace("ListTest", "OtherTest"))
        self.check_refused(GOOD.replace("known_failures", "no_module"))
        self.check_refused("anything | make test | fails at times | 18")

    def test_listed_twice(self):
        self.check_refused(GOOD, GOOD)

    def test_no_list(self):
        self.assertEqual(
            known_failures.read_entries(pathlib.Path("no-such-list")), {}
        )

    def test_own_list(self):
        known_failures.read_entries(
            pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
        )

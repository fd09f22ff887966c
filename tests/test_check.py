"""Tests of the offline validation of settings and tables."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from mulberryway.commands import check
from tests import processes
from tests import samples
from tests import test_settings


class CheckTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, text):
        file = self.folder / name
        file.write_text(text, encoding="utf-8")
        return str(file)

    def run_check(self, *words):
        return subprocess.run(
            [sys.executable, "-m", "mulberryway.commands.check", *words],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )

    def test_messages_name_the_location(self):
        bad = samples.TABLES.replace('pool = "lm-pool"', 'pool = "no"')
        for message, parts in (
            (
                check.check_tables(self.write("bad.toml", bad)),
                ("bad.toml", "routes.lm.pool", "expected a pool"),
            ),
            (
                check.check_tables(str(self.folder / "none.toml")),
                ("none.toml", "expected a readable text"),
            ),
            (
                check.check_settings(
                    self.write("vm.toml", test_settings.GOOD + "x = 1")
                ),
                ("vm.toml", "peers.x", "expected a known option"),
            ),
        ):
            for part in parts:
                self.assertIn(part, message)
        good = self.write("good.toml", samples.TABLES)
        self.assertIsNone(check.check_tables(good))

    def test_exit_status(self):
        good = self.write("good.toml", samples.TABLES)
        bad = self.write("bad.toml", "[rutes]")
        self.assertEqual(self.run_check(f"--tables={good}").returncode, 0)
        done = self.run_check(f"--tables={good}", f"--tables={bad}")
        self.assertNotEqual(done.returncode, 0)
        self.assertIn("bad.toml: rutes: expected one of", done.stderr)
        self.assertNotEqual(self.run_check().returncode, 0)

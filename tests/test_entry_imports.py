"""Tests of what a start of the entry program loads."""

import gc
import signal
import subprocess
import sys
import unittest

from mulberryway import metrics
from tests import processes
from tests import router_fixture

LIST_MODULES = (
    "import sys; import mulberryway.commands.entry;"
    " import mulberryway.commands.entry_program;"
    " from mulberryway import metrics;"
    " metrics.Metrics('vm0', serves_text=True);"
    " print(*sys.modules)"
)
# Waits for a line where the program loads the rest of itself.
START_AND_WAIT = """
import types
from mulberryway.commands import entry
def wait(name):
    print("loading", flush=True)
    input()
    return types.SimpleNamespace(run_vm=lambda settings: 7)
entry.importlib.import_module = wait
entry.FLAGS(["entry", "--settings=none"])
entry.sys.argv = ["entry", "--settings=none"]
entry.run()
"""
WAIT_S = 20.0
# Each start of a VM would pay for them, and none uses them.
UNUSED = (
    "absl.app",
    "http.server",
    "mulberryway.controllers.claims",
    "opentelemetry.sdk.trace",
    "pdb",
    "prometheus_client",
)


class EarlyReloadTest(unittest.TestCase):
    def test_reload_signal_during_a_start(self):
        """Guards against a reload signal that ends a VM which still starts."""
        process = subprocess.Popen(
            [sys.executable, "-c", START_AND_WAIT],
            cwd=processes.ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.communicate)
        self.assertEqual(process.stdout.readline(), "loading\n")
        process.send_signal(signal.SIGHUP)
        process.stdin.write("\n")
        process.stdin.flush()
        self.assertEqual(process.wait(WAIT_S), 7)


class EntryImportsTest(unittest.TestCase):
    def test_unused_modules_are_not_loaded(self):
        """A restart of the whole fleet spends its time on unused modules."""
        listing = subprocess.run(
            [sys.executable, "-c", LIST_MODULES],
            cwd=processes.ROOT,
            capture_output=True,
            check=True,
            text=True,
        )
        loaded = listing.stdout.split()
        self.assertEqual([name for name in UNUSED if name in loaded], [])

    def test_flags_are_still_explained(self):
        """A mistyped flag ends the program without a word on the flags."""
        for flag in ("--help", "--setings=x"):
            with self.subTest(flag=flag):
                ended = subprocess.run(
                    [
                        sys.executable,
                        "-m",
                        "mulberryway.commands.entry",
                        flag,
                    ],
                    cwd=processes.ROOT,
                    capture_output=True,
                    check=False,
                    text=True,
                )
                self.assertEqual(ended.returncode, 1)
                self.assertIn("--help", ended.stdout + ended.stderr)

    def test_first_scrape_has_the_totals_since_the_start(self):
        """Requests before the first scrape are missing from all totals."""
        metrics_ = metrics.Metrics("vm0", serves_text=True)
        self.addCleanup(metrics_.stop)
        metrics_.requests.add(3, {"code": "scraped_late"})
        line = b'mulberryway_requests_total{code="scraped_late",'
        for total in (b"3.0", b"4.0"):
            text = metrics_.write_text()
            values = [
                row.split()[-1]
                for row in text.splitlines()
                if row.startswith(line)
            ]
            self.assertEqual(values, [total])
            metrics_.requests.add(1, {"code": "scraped_late"})

    def test_garbage_is_collected_once_the_router_runs(self):
        """The program stops collections to start, and they never resume."""
        self.addCleanup(gc.enable)
        gc.disable()
        with router_fixture.RouterFixture(router_fixture.make_tables()):
            self.assertTrue(gc.isenabled())


if __name__ == "__main__":
    unittest.main()

"""Tests that request timelines match the examples in docs/OPERATIONS.md."""

import re
import subprocess
import sys
import time
import unittest

from tests import hosted_fleet
from tests import processes

PAGE = processes.ROOT / "docs" / "OPERATIONS.md"
# A line of the example output: time, VM, message, fields.
OUTPUT = re.compile(
    r"^ +[+-]\d+ ms  (vm\d)  ([a-z' ]+?)  (\S.*)$", re.MULTILINE
)
# Fields, with their values, that the page explains.
FIELD = re.compile(r"(code|step|run|decode|reason)=([a-z_]+)")


def read_timeline(fleet, attempt, *flags):
    """Run the command from the page and return its output."""
    files = [fleet.find_log(number) for number in range(len(fleet.vms))]
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "mulberryway.commands.story",
            f"--id={attempt}",
            *flags,
            *map(str, files),
        ],
        cwd=processes.ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    return done.stdout


def read_page(attempt):
    """Return the lines that the page shows for a request."""
    text = PAGE.read_text(encoding="utf-8")
    block = text.partition(f"--id={attempt}")[2].split("```")[1]
    return OUTPUT.findall(block)


class OperationsTest(unittest.TestCase):
    def check(self, fleet, attempt, *flags):
        """Compare the output of the command with the example on the page."""
        shown = read_page(attempt)
        self.assertTrue(shown, attempt)
        timeline = processes.wait_until(
            lambda: (
                found
                if "a request ended"
                in (found := read_timeline(fleet, attempt))
                else ""
            ),
            5,
        )
        found = OUTPUT.findall(timeline)
        self.assertEqual(
            [message for _, message, _ in shown],
            [message for _, message, _ in found],
            timeline,
        )
        for one, other in zip(shown, found, strict=True):
            self.assertEqual(
                FIELD.findall(one[2]), FIELD.findall(other[2]), timeline
            )
        return timeline

    def test_rejection_below_the_rate_limit(self):
        """Checks that the log explains a rejection below the rate limit: the
        other VM is unresponsive and keeps its fraction of the rate.
        """
        with hosted_fleet.Fleet(rate=1_000) as fleet:
            time.sleep(1.5)
            fleet.vms[1].kill()
            time.sleep(1.2)
            for number in range(30):
                reply = fleet.send(
                    0, "/plain/x", f"refused-{number}", key="k-small"
                )
                if reply.status == 429:
                    break
            self.assertEqual(reply.status, 429)
            timeline = read_timeline(fleet, f"refused-{number}.")
            self.assertIn("part=0.5", timeline)
            self.assertIn("over_allowance", timeline)
            self.assertIn("heard_ms=", timeline)

    def test_interrupted_stream(self):
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("e1", cut_after=7)
            reply = fleet.send(
                0, "/talk/a", "broken-1", headers=hosted_fleet.STREAM
            )
            self.assertTrue(reply.is_cut)
            self.check(fleet, "broken-1")

    def test_booking_with_a_lost_response(self):
        with hosted_fleet.Fleet(1) as fleet:
            for name in ("s0", "s1"):
                fleet.set_fault(name, lose_answer=1)
            reply = fleet.send(0, "/book/a", "booking-1")
            self.assertEqual(reply.status, 502)
            self.check(fleet, "booking-1")

    def test_rejected_stream(self):
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("e1", full=1)
            reply = fleet.send(
                0, "/talk/a", "full-1", headers=hosted_fleet.STREAM
            )
            self.assertEqual(reply.status, 503)
            self.check(fleet, "full-1")

"""From a failed request's id to its cause, as docs/OPERATIONS.md tells it."""

import re
import subprocess
import sys
import time
import unittest

from tests import hosted_fleet
from tests import processes

PAGE = processes.ROOT / "docs" / "OPERATIONS.md"
# A line of the page's output: time, VM, message, fields.
OUTPUT = re.compile(
    r"^ +[+-]\d+ ms  (vm\d)  ([a-z' ]+?)  (\S.*)$", re.MULTILINE
)
# Fields that the page points the reader to, with their values.
FIELD = re.compile(r"(code|step|run|decode|reason)=([a-z_]+)")


def read_story(fleet, attempt, *flags):
    """Run the command of the page and return what it prints."""
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
    """Return messages and fields that the page shows for a request."""
    text = PAGE.read_text(encoding="utf-8")
    block = text.partition(f"--id={attempt}")[2].split("```")[1]
    return OUTPUT.findall(block)


class OperationsTest(unittest.TestCase):
    def check(self, fleet, attempt, *flags):
        """Compare what the command prints with what the page shows."""
        shown = read_page(attempt)
        self.assertTrue(shown, attempt)
        story = processes.wait_until(
            lambda: (
                found
                if "a request ended" in (found := read_story(fleet, attempt))
                else ""
            ),
            5,
        )
        found = OUTPUT.findall(story)
        self.assertEqual(
            [message for _, message, _ in shown],
            [message for _, message, _ in found],
            story,
        )
        for one, other in zip(shown, found, strict=True):
            self.assertEqual(
                FIELD.findall(one[2]), FIELD.findall(other[2]), story
            )
        return story

    def test_refusal_within_the_rate(self):
        """A member is refused although it is within its rate: the other VM
        has fallen silent, and its part of the rate was left to it.
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
            story = read_story(fleet, f"refused-{number}.")
            self.assertIn("part=0.5", story)
            self.assertIn("over_allowance", story)
            self.assertIn("heard_ms=", story)

    def test_stream_that_broke_off(self):
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("e1", cut_after=7)
            reply = fleet.send(
                0, "/talk/a", "broken-1", headers=hosted_fleet.STREAM
            )
            self.assertTrue(reply.is_cut)
            self.check(fleet, "broken-1")

    def test_booking_whose_answer_was_lost(self):
        with hosted_fleet.Fleet(1) as fleet:
            for name in ("s0", "s1"):
                fleet.set_fault(name, lose_answer=1)
            reply = fleet.send(0, "/book/a", "booking-1")
            self.assertEqual(reply.status, 502)
            self.check(fleet, "booking-1")

    def test_refused_stream(self):
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("e1", full=1)
            reply = fleet.send(
                0, "/talk/a", "full-1", headers=hosted_fleet.STREAM
            )
            self.assertEqual(reply.status, 503)
            self.check(fleet, "full-1")

"""Plug-in for nose2 that prints a summary line and handles known failures.

A test that fails because of an unfixed fault may be listed in KNOWN-RED.txt,
with its command, the observed failure and the open issue.  It still runs
unchanged and is still printed, but it does not affect the exit status.
"""

import pathlib

from nose2 import events
from nose2 import result

from tools import known_failures


class Verdict(events.Plugin):
    """Counts outcomes and ignores failures of exactly the listed tests."""

    configSection = "verdict"
    alwaysOn = True

    def __init__(self) -> None:
        self._passed = 0
        self._failed = 0
        self._skipped = 0
        self._known_failures_seen: list[str] = []
        name = self.config.as_str("known-red", "KNOWN-RED.txt")
        self._known_failures = known_failures.read_entries(pathlib.Path(name))

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Count one outcome; known failures are counted separately.

        :param event: outcome reported by nose2
        """
        if event.outcome == result.SKIP:
            self._skipped += 1
        elif event.exc_info is not None:
            self._count_failure(event.test.id().partition(" ")[0])
        elif event.outcome == result.PASS:
            self._passed += 1

    def _count_failure(self, name: str) -> None:
        if name in self._known_failures:
            self._known_failures_seen.append(name)
        else:
            self._failed += 1

    def wasSuccessful(self, event: events.ResultSuccessEvent) -> None:
        """Set the overall result from the counts.

        :param event: event that receives the result
        """
        event.success = not self._failed
        event.handled = True

    def afterSummaryReport(self, event: events.ReportSummaryEvent) -> None:
        """Print the known failures that occurred, and the summary line.

        :param event: event with the output stream
        """
        event.stream.writeln("")
        for name in self._known_failures_seen:
            event.stream.writeln(
                f"known red: {name}: {self._known_failures[name]}"
            )
        line = f"{self._passed} passed, {self._failed} failed"
        if self._skipped:
            line += f", {self._skipped} skipped"
        event.stream.writeln(line)

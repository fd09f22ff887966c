"""A nose2 plug-in that prints the plain closing line and honours known reds.

A test that fails for a real fault which is not mended yet may be listed in
KNOWN-RED.txt, with its command, what was seen and the open issue.  It still
runs as written and is still printed; only the exit status passes over it.
"""

import pathlib

from nose2 import events
from nose2 import result

from tools import known_failures


class Verdict(events.Plugin):
    """Counts outcomes and forgives exactly the listed tests."""

    configSection = "verdict"
    alwaysOn = True

    def __init__(self) -> None:
        self._passed = 0
        self._failed = 0
        self._skipped = 0
        self._seen_red: list[str] = []
        name = self.config.as_str("known-red", "KNOWN-RED.txt")
        self._known = known_failures.read_entries(pathlib.Path(name))

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Count one outcome, and set a known red apart from a failure.

        :param event: the outcome that nose2 reports
        """
        if event.outcome == result.SKIP:
            self._skipped += 1
        elif event.exc_info is not None:
            self._count_failure(event.test.id().partition(" ")[0])
        elif event.outcome == result.PASS:
            self._passed += 1

    def _count_failure(self, name: str) -> None:
        if name in self._known:
            self._seen_red.append(name)
        else:
            self._failed += 1

    def wasSuccessful(self, event: events.ResultSuccessEvent) -> None:
        """Decide the exit status from what was counted.

        :param event: the event that carries the verdict
        """
        event.success = not self._failed
        event.handled = True

    def afterSummaryReport(self, event: events.ReportSummaryEvent) -> None:
        """Print the closing line, and each known red by its name.

        :param event: the event whose stream the report goes to
        """
        event.stream.writeln("")
        for name in self._seen_red:
            event.stream.writeln(f"known red: {name}: {self._known[name]}")
        line = f"{self._passed} passed, {self._failed} failed"
        if self._skipped:
            line += f", {self._skipped} skipped"
        event.stream.writeln(line)

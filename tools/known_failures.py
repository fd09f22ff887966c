"""Reads KNOWN-RED.txt, the list of failures whose cause is not mended yet."""

import importlib
import itertools
import pathlib

__all__ = ["KnownFailure", "KnownFailuresError", "read_entries"]

SEPARATOR = "|"
TEST_PREFIX = "tests."
# A day that is played by hand is no test of the suite, so it is listed but
# passes over nothing.
SIMULATION_PREFIXES = ("hunt of ", "run of ")


class KnownFailuresError(Exception):
    """An entry that does not say what it must."""


class KnownFailure:
    """One known failure.

    :param test: a test's id, or the hunt or run that showed the failure
    :param command: how to repeat it, with its seed
    :param seen: what was seen, and why as far as it is known
    :param issue: the number of the open issue
    """

    __slots__ = ("test", "command", "seen", "issue")

    def __init__(self, test: str, command: str, seen: str, issue: int) -> None:
        self.test = test
        self.command = command
        self.seen = seen
        self.issue = issue

    @property
    def is_suite_test(self) -> bool:
        """Whether the suite runs it."""
        return self.test.startswith(TEST_PREFIX)

    def __str__(self) -> str:
        return f"{self.command}: {self.seen} (issue {self.issue})"


def read_entries(path: pathlib.Path) -> dict[str, KnownFailure]:
    """Return the entries by test.

    :param path: the list; none are known if it does not exist
    :raises KnownFailuresError: if an entry is malformed, stands twice, or
        names a test that the suite does not have
    """
    if not path.exists():
        return {}
    entries = [
        _parse(line)
        for line in path.read_text(encoding="utf-8").splitlines()
        if line.strip() and not line.startswith("#")
    ]
    tests = sorted(entry.test for entry in entries)
    for one, other in itertools.pairwise(tests):
        if one == other:
            raise KnownFailuresError(f"{one} is listed twice")
    return {entry.test: entry for entry in entries}


def _parse(line: str) -> KnownFailure:
    fields = [field.strip() for field in line.split(SEPARATOR)]
    if len(fields) != 4 or not all(fields):
        raise KnownFailuresError(
            f"an entry needs test, command, what was seen, issue: {line}"
        )
    test, command, seen, issue = fields
    if not issue.isdecimal():
        raise KnownFailuresError(
            f"{test}: {issue!r} is not the number of an issue"
        )
    if test.startswith(TEST_PREFIX):
        _find_test(test)
    elif not test.startswith(SIMULATION_PREFIXES):
        raise KnownFailuresError(f"{test}: neither a test nor a played day")
    return KnownFailure(test, command, seen, int(issue))


def _find_test(name: str) -> None:
    module, _, rest = name.rpartition(".")
    module, _, case = module.rpartition(".")
    try:
        found = getattr(importlib.import_module(module), case)
        getattr(found, rest)
    except (ImportError, AttributeError, ValueError) as error:
        raise KnownFailuresError(
            f"{name}: the suite has no such test"
        ) from error

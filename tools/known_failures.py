"""Reads KNOWN-RED.txt, the list of known test failures."""

import importlib
import itertools
import pathlib

__all__ = ["KnownFailure", "KnownFailuresError", "read_entries"]

SEPARATOR = "|"
TEST_PREFIX = "tests."
# Simulations are started by hand and are not part of the suite.  Their entries
# are only listed; they do not change the result of any test.
SIMULATION_PREFIXES = ("hunt of ", "run of ")


class KnownFailuresError(Exception):
    """Raised if an entry of the list is invalid."""


class KnownFailure:
    """Entry of the list of known failures.

    :param test: id of a test, or name of the simulation that failed
    :param command: command that reproduces the failure, with its seed
    :param symptom: observed failure, and its cause as far as it is known
    :param issue: number of the open issue
    """

    __slots__ = ("test", "command", "symptom", "issue")

    def __init__(
        self, test: str, command: str, symptom: str, issue: int
    ) -> None:
        self.test = test
        self.command = command
        self.symptom = symptom
        self.issue = issue

    @property
    def is_suite_test(self) -> bool:
        """Whether the entry is a test of the suite."""
        return self.test.startswith(TEST_PREFIX)

    def __str__(self) -> str:
        return f"{self.command}: {self.symptom} (issue {self.issue})"


def read_entries(path: pathlib.Path) -> dict[str, KnownFailure]:
    """Return the entries of the list by test.

    :param path: file with the list; a missing file is an empty list
    :returns: entries by test id or name of the simulation
    :raises KnownFailuresError: if an entry is malformed, is listed twice, or
        names a test that does not exist
    """
    if not path.exists():
        return {}
    entries = [
        _parse(line)
        for line in path.read_text(encoding="utf-8").splitlines()
        if line.strip() and not line.startswith("#")
    ]
    tests = sorted(entry.test for entry in entries)
    for test, next_test in itertools.pairwise(tests):
        if test == next_test:
            raise KnownFailuresError(f"{test} is listed twice")
    return {entry.test: entry for entry in entries}


def _parse(line: str) -> KnownFailure:
    fields = [field.strip() for field in line.split(SEPARATOR)]
    if len(fields) != 4 or not all(fields):
        raise KnownFailuresError(
            f"an entry needs test, command, observed failure, issue: {line}"
        )
    test, command, symptom, issue = fields
    if not issue.isdecimal():
        raise KnownFailuresError(f"{test}: {issue!r} is not an issue number")
    if test.startswith(TEST_PREFIX):
        _check_test_exists(test)
    elif not test.startswith(SIMULATION_PREFIXES):
        raise KnownFailuresError(f"{test}: neither a test nor a simulation")
    return KnownFailure(test, command, symptom, int(issue))


def _check_test_exists(name: str) -> None:
    module, _, method_name = name.rpartition(".")
    module, _, class_name = module.rpartition(".")
    try:
        class_ = getattr(importlib.import_module(module), class_name)
        getattr(class_, method_name)
    except (ImportError, AttributeError, ValueError) as error:
        raise KnownFailuresError(f"{name}: the test does not exist") from error

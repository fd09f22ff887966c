"""What is found in a configuration, and where."""

import enum
import typing

__all__ = ["Finding", "Severity"]


class Severity(enum.IntEnum):
    """How serious a finding is; the most serious one is the largest."""

    CHANGE = 0
    WARNING = 1
    ERROR = 2


class Finding(typing.NamedTuple):
    """One finding.

    The path leads to the value by names, for example
    ``routes.r-plain.timeout_ms``; rows without a name have their index.
    """

    severity: Severity
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.severity.name.lower()} {self.path}: {self.message}"

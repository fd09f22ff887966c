"""The program that checks a configuration before the operator sends it."""

import collections.abc
import json
import pathlib
import sys
import typing

from absl import app
from absl import flags

from mulberryway.platform import configuration_check
from mulberryway.platform import findings

__all__ = ["main", "run"]

FLAGS = flags.FLAGS
UNUSABLE_STATUS = 2

flags.DEFINE_string(
    "in_force",
    None,
    "a file with the version in force; its differences are printed too",
)


def main(arguments: collections.abc.Sequence[str]) -> int:
    """Check the configuration that the command line names.

    :param arguments: the command line without flags
    :returns: the exit status: 0 without errors and warnings, 1 with warnings,
        2 with errors
    """
    if len(arguments) != 2:
        print("expected one FILE with a configuration", file=sys.stderr)
        return UNUSABLE_STATUS
    try:
        value = _read(arguments[1])
        in_force = _read(FLAGS.in_force) if FLAGS.in_force else None
    except (OSError, ValueError, RecursionError) as error:
        print(f"expected a readable JSON file: {error}", file=sys.stderr)
        return UNUSABLE_STATUS
    found = configuration_check.check_configuration(value)
    if FLAGS.in_force:
        found += configuration_check.list_differences(value, in_force)
    for finding in found:
        print(finding)
    return max(
        (finding.severity for finding in found),
        default=findings.Severity.CHANGE,
    )


def _read(file: str) -> typing.Any:
    """Return a file's JSON value, or its spec if it is a stored object."""
    value = json.loads(pathlib.Path(file).read_text(encoding="utf-8"))
    if isinstance(value, dict) and "spec" in value and "routes" not in value:
        return value["spec"]
    return value


def run() -> None:
    """Run the program; the entry point of the package."""
    app.run(main)


if __name__ == "__main__":
    run()

"""Checks settings and tables offline; changes nothing."""

import collections.abc
import pathlib
import sys

from absl import app
from absl import flags
import expression

from mulberryway import errors
from mulberryway import settings
from mulberryway import tables
from mulberryway.tables import parse
from mulberryway.tables import validate

__all__ = ["check_settings", "check_tables", "main", "run"]

FLAGS = flags.FLAGS
BAD_STATUS = 2

flags.DEFINE_multi_string("settings", [], "a settings file; may be repeated")
flags.DEFINE_multi_string("tables", [], "a file of tables; may be repeated")


def check_settings(file: str) -> str | None:
    """Check a settings file.

    :param file: its name
    :returns: a sentence with file, key and what was expected; none if good
    """
    try:
        settings.read_settings(file)
    except errors.SettingsError as error:
        return error.fault.message
    return None


def check_tables(file: str) -> str | None:
    """Check a file of tables, their join included.

    :param file: its name
    :returns: a sentence with file, row, key and what was expected
    """
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return f"{file}: expected a readable text ({error})"
    checked = parse.parse_tables(text).bind(_check_join)
    return None if checked.is_ok() else f"{file}: {checked.error.message}"


def _check_join(
    read: tables.Tables,
) -> expression.Result[None, errors.Fault]:
    return validate.validate_tables(read)


def main(arguments: collections.abc.Sequence[str]) -> int:
    """Check all files that the flags name.

    :param arguments: what is left of the command line
    :returns: 0 if all are good
    """
    if len(arguments) > 1 or not (FLAGS.settings or FLAGS.tables):
        print("expected --settings FILE or --tables FILE", file=sys.stderr)
        return BAD_STATUS
    problems = [
        *map(check_settings, FLAGS.settings),
        *map(check_tables, FLAGS.tables),
    ]
    found = [problem for problem in problems if problem is not None]
    for problem in found:
        print(problem, file=sys.stderr)
    return BAD_STATUS if found else 0


def run() -> None:
    """Parse the command line and run."""
    app.run(main)


if __name__ == "__main__":
    run()

"""The program that validates settings and tables offline."""

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
    """Validate a settings file.

    :param file: the file's name
    :returns: an error message with file, key and expected value, or None
    """
    try:
        settings.read_settings(file)
    except errors.SettingsError as error:
        return error.fault.message
    return None


def check_tables(file: str) -> str | None:
    """Validate a file of tables, including references between tables.

    :param file: the file's name
    :returns: an error message with file, row, key and expected value, or
        None
    """
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return f"{file}: expected a readable text file ({error})"
    checked = parse.parse_tables(text).bind(_check_references)
    return None if checked.is_ok() else f"{file}: {checked.error.message}"


def _check_references(
    read: tables.Tables,
) -> expression.Result[None, errors.Fault]:
    return validate.validate_tables(read)


def main(arguments: collections.abc.Sequence[str]) -> int:
    """Validate all files that the flags name.

    :param arguments: the command line without flags
    :returns: the exit status; 0 if all files are valid
    """
    if len(arguments) > 1 or not (FLAGS.settings or FLAGS.tables):
        print("expected --settings FILE or --tables FILE", file=sys.stderr)
        return BAD_STATUS
    problems = [
        *map(check_settings, FLAGS.settings),
        *map(check_tables, FLAGS.tables),
    ]
    messages = [problem for problem in problems if problem is not None]
    for problem in messages:
        print(problem, file=sys.stderr)
    return BAD_STATUS if messages else 0


def run() -> None:
    """Run the program; the entry point of the package."""
    app.run(main)


if __name__ == "__main__":
    run()

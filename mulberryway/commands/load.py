"""The load generator: runs a plan and prints a summary of the results."""

import collections.abc
import json
import sys

from absl import app
from absl import flags

from mulberryway import errors
from mulberryway.load import caller
from mulberryway.load import plan
from mulberryway.load import report

__all__ = ["run"]

FLAGS = flags.FLAGS
BAD_PLAN_STATUS = 2

flags.DEFINE_string("plan", None, "a TOML file; see docs/operators/load.md")
flags.DEFINE_string("records", "", "write a JSON file with each call")
flags.DEFINE_boolean("json", False, "print the summary as JSON")


def main(arguments: collections.abc.Sequence[str]) -> int:
    """Run the plan that the flags name.

    :param arguments: the command line without flags
    :returns: the exit status; 2 for an invalid plan
    """
    try:
        plan_ = plan.read_plan(FLAGS.plan)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return BAD_PLAN_STATUS
    outcomes, elapsed_ms = caller.run_plan(plan_)
    summary = report.summarise(outcomes, elapsed_ms)
    if FLAGS.records:
        caller.write_records(FLAGS.records, summary, outcomes)
    if FLAGS.json:
        print(json.dumps(summary))
    else:
        print(report.format_table(summary))
    return 0


def run() -> None:
    """Run the program; the entry point of the package."""
    flags.mark_flag_as_required("plan")
    app.run(main)


if __name__ == "__main__":
    run()

"""Runs benchmarks, compares them with the previous run and stores them."""

import collections.abc
import importlib
import json
import pathlib
import typing

from absl import app
from absl import flags

from benchmarks import plots
from benchmarks import report
from mulberryway import clock

__all__ = ["main"]

FLAGS = flags.FLAGS
OUT = pathlib.Path("out")
# "decisions" reports the four main metrics.  The other benchmarks start
# processes, run for minutes and need an otherwise idle machine.
DEFAULT_BENCHMARKS = ("decisions",)
ALL_BENCHMARKS = (
    *DEFAULT_BENCHMARKS,
    "decisions_cost",
    "relay",
    "configuration",
    "claims",
    "allowances",
    "membership",
    "dissemination",
    "start",
)
MEASURES = (
    "goodput_part",
    "wasted_part",
    "worst_served_part",
    "refused_within_rate",
)
ROW_KEYS = ("deployment", "routers", "load", "rival")

flags.DEFINE_list(
    "only", list(DEFAULT_BENCHMARKS), "benchmarks to run, or: every"
)
flags.DEFINE_boolean("plots", True, "plot the four main metrics")


def main(arguments: collections.abc.Sequence[str]) -> None:
    """Run the benchmarks that the flags select.

    :param arguments: the remaining command-line arguments
    """
    names = ALL_BENCHMARKS if FLAGS.only == ["every"] else FLAGS.only
    results = {
        name: _name_rows(
            importlib.import_module(f"benchmarks.{name}").measure()
        )
        for name in names
    }
    previous_runs = report.read_runs()
    before = previous_runs[-1] if previous_runs else None
    after = report.keep_run(results, clock.SystemClock())
    OUT.mkdir(exist_ok=True)
    (OUT / "bench.json").write_text(json.dumps(results, indent=1))
    print(*_format_measures(results.get("decisions", {})), sep="\n")
    print("\nfigures of the previous run and of this run")
    print(*report.compare_runs(before, after), sep="\n")
    if FLAGS.plots and "decisions" in results:
        plots.draw_runs(before, after, OUT / "bench.png")
        print(f"\nfigures: {OUT / 'bench.json'}, plot: {OUT / 'bench.png'}")


def _name_rows(result: typing.Any) -> typing.Any:
    """Index a result's rows by their key columns, to name their figures."""
    if not isinstance(result, dict) or "rows" not in result:
        return result
    rows = {
        ".".join(str(row[key]) for key in ROW_KEYS if key in row): row
        for row in result["rows"]
    }
    return {**result, "rows": rows}


def _format_measures(
    decisions: dict[str, typing.Any],
) -> collections.abc.Iterator[str]:
    rows = decisions.get("rows", {})
    if not rows:
        return
    width = max(map(len, rows))
    yield f"{'':{width}}  " + "  ".join(f"{metric:>20}" for metric in MEASURES)
    for name, row in rows.items():
        values = "  ".join(f"{row[metric]:>20}" for metric in MEASURES)
        yield f"{name:{width}}  {values}"
    for title in ("behind", "short_of_aim"):
        yield f"\n{title.replace('_', ' ')}:"
        yield from decisions.get(title) or ["nothing"]


if __name__ == "__main__":
    app.run(main)

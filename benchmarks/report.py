"""Stores the results of ``make bench`` and compares two runs."""

import collections.abc
import json
import pathlib
import typing

from mulberryway import clock

__all__ = ["Run", "compare_runs", "flatten", "keep_run", "read_runs"]

RUNS = pathlib.Path("out") / "runs"


class Run:
    """The figures of one run.

    :param at_ms: wall-clock time of the run in ms since the Unix epoch
    :param figures: numbers by dotted name, such as
        ``decisions.kandurata.saturation.goodput``
    """

    __slots__ = ("at_ms", "figures")

    def __init__(self, at_ms: int, figures: dict[str, float]) -> None:
        self.at_ms = at_ms
        self.figures = figures


def flatten(
    values: typing.Any, prefix: str = ""
) -> collections.abc.Iterator[tuple[str, float]]:
    """Yield every number in nested dictionaries with its dotted name.

    :param values: a dictionary of dictionaries and numbers
    :param prefix: dotted name of ``values`` itself
    :returns: pairs of name and number; other values are ignored
    """
    if isinstance(values, dict):
        for key, value in values.items():
            yield from flatten(value, f"{prefix}.{key}" if prefix else key)
    elif isinstance(values, (int, float)) and not isinstance(values, bool):
        yield prefix, float(values)


def keep_run(
    results: dict[str, typing.Any],
    clock_: clock.Clock,
    folder: pathlib.Path = RUNS,
) -> Run:
    """Write the figures of a run to a new file.

    :param results: results by benchmark name
    :param clock_: clock for the time of the run
    :param folder: directory of the stored runs
    :returns: the run
    """
    run = Run(clock_.wall_ms(), dict(flatten(results)))
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / f"{run.at_ms}.json"
    file.write_text(json.dumps(run.figures, indent=1), encoding="utf-8")
    return run


def read_runs(folder: pathlib.Path = RUNS) -> list[Run]:
    """Return the stored runs, oldest first.

    :param folder: directory of the stored runs
    :returns: the runs
    """
    files = sorted(folder.glob("*.json"), key=lambda file: int(file.stem))
    return [
        Run(int(file.stem), json.loads(file.read_text(encoding="utf-8")))
        for file in files
    ]


def compare_runs(before: Run | None, after: Run) -> list[str]:
    """Return a plain-text table with one line for each figure.

    :param before: the earlier run, if there is one
    :param after: the later run
    :returns: lines of text
    """
    old = before.figures if before else {}
    names = sorted(set(old) | set(after.figures))
    width = max(map(len, names), default=0)
    return [
        f"{name:{width}}  {_format(old.get(name)):>12}"
        f"  {_format(after.figures.get(name)):>12}"
        for name in names
    ]


def _format(value: float | None) -> str:
    return "-" if value is None else f"{value:.6g}"

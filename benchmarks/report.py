"""Keeps the runs of ``make bench`` and shows them before and after."""

import collections.abc
import json
import pathlib
import typing

from mulberryway import clock

__all__ = ["Run", "compare_runs", "flatten", "keep_run", "read_runs"]

RUNS = pathlib.Path("out") / "runs"


class Run:
    """The figures of one run.

    :param at_ms: when it was made, in milliseconds since 1970
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
    """Yield every number of nested dictionaries by its dotted name.

    :param values: a dictionary of dictionaries and numbers
    :param prefix: the name so far
    :returns: pairs of name and number; anything else is passed over
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
    """Write a run's figures beside those of earlier runs.

    :param results: what each benchmark measured, by its name
    :param clock_: where the time of the run comes from
    :param folder: where runs are kept
    :returns: the run
    """
    run = Run(clock_.wall_ms(), dict(flatten(results)))
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / f"{run.at_ms}.json"
    file.write_text(json.dumps(run.figures, indent=1), encoding="utf-8")
    return run


def read_runs(folder: pathlib.Path = RUNS) -> list[Run]:
    """Return the kept runs, oldest first.

    :param folder: where runs are kept
    :returns: the runs
    """
    files = sorted(folder.glob("*.json"), key=lambda file: int(file.stem))
    return [
        Run(int(file.stem), json.loads(file.read_text(encoding="utf-8")))
        for file in files
    ]


def compare_runs(before: Run | None, after: Run) -> list[str]:
    """Return a plain table with one line for each figure.

    :param before: the earlier run, if there is one
    :param after: the later run
    :returns: lines of text
    """
    old = before.figures if before else {}
    names = sorted(set(old) | set(after.figures))
    width = max(map(len, names), default=0)
    return [
        f"{name:{width}}  {_show(old.get(name)):>12}"
        f"  {_show(after.figures.get(name)):>12}"
        for name in names
    ]


def _show(value: float | None) -> str:
    return "-" if value is None else f"{value:.6g}"

"""Plots the four main metrics of two benchmark runs."""

import pathlib

from matplotlib import pyplot

from benchmarks import report

__all__ = ["draw_runs"]

# Panel titles by metric, the last part of a figure's dotted name.
MEASURES = {
    "goodput_part": "goodput, part of the limit (more is better)",
    "wasted_part": "wasted prefill, part of all (less is better)",
    "worst_served_part": "worst-served account's part (more is better)",
    "refused_within_rate": "refused within the rate (less is better)",
}
COLUMNS = 2
# Tall enough for about a hundred rows with readable names.
SIZE_INCHES = (16, 44)
PREFIX = "decisions.rows."
BAR_HEIGHT = 0.4


def draw_runs(
    before: report.Run | None, after: report.Run, file: pathlib.Path
) -> None:
    """Write a PNG file with one panel for each metric.

    :param before: the earlier run, if there is one
    :param after: the later run
    :param file: path of the PNG file
    """
    figure, panels = pyplot.subplots(
        len(MEASURES) // COLUMNS, COLUMNS, figsize=SIZE_INCHES
    )
    for panel, (metric, title) in zip(
        panels.flat, MEASURES.items(), strict=True
    ):
        names = sorted(
            name
            for name in after.figures
            if name.startswith(PREFIX) and name.endswith(f".{metric}")
        )
        rows = range(len(names))
        if before is not None:
            panel.barh(
                [row + BAR_HEIGHT for row in rows],
                [before.figures.get(name, 0.0) for name in names],
                BAR_HEIGHT,
                label="before",
                color="lightgrey",
            )
        panel.barh(
            list(rows),
            [after.figures[name] for name in names],
            BAR_HEIGHT,
            label="after",
        )
        panel.set_yticks(
            list(rows),
            [
                name.removeprefix(PREFIX).removesuffix(f".{metric}")
                for name in names
            ],
            fontsize=6,
        )
        panel.set_title(title, fontsize=9)
        panel.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)

"""Generates the tables of docs/CAPACITY.md from the stored measurements."""

import pathlib
import sys

from benchmarks import capacity_rows
from benchmarks import capacity_tables
from benchmarks import series

__all__ = ["render_page", "render_table"]

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- table {name}: written by python -m benchmarks.capacity -->"
END = "<!-- end of table {name} -->"


def render_table(
    rows: list[capacity_rows.Row], folder: pathlib.Path = series.FOLDER
) -> str:
    """Return a table in Markdown.

    :param rows: its rows
    :param folder: directory with the stored measurements
    :returns: the table's text
    """
    head = (
        "| role | quantity | at the target | limit | measured | slope "
        "| stretched | mechanism |\n|---|---|---|---|---|---|---|---|"
    )
    return "\n".join([head, *(_render_line(row, folder) for row in rows)])


def _render_line(row: capacity_rows.Row, folder: pathlib.Path) -> str:
    measured = [series.read_series(name, folder) for name in row.names]
    fits = [series.fit_line(measurement) for measurement in measured]
    first = measured[0]
    sizes = [x for x, _ in first.points]
    return (
        f"| {row.role} | {row.quantity} "
        f"| {_round(row.compute(*fits))} | {row.limit} "
        f"| {', '.join(row.names)}: {_round(min(sizes))} to "
        f"{_round(max(sizes))} {first.x_unit} "
        f"| {_round(fits[0].slope)} ± {_round(fits[0].slope_error)} "
        f"{first.y_unit} for each of {first.x_unit} "
        f"| {_round(fits[0].extrapolation_factor(row.size))} times "
        f"| {row.mechanism} |"
    )


def _round(value: float) -> str:
    return f"{value:,.3g}" if abs(value) < 1_000 else f"{value:,.0f}"


def render_page(
    page: str,
    tables: dict[str, list[capacity_rows.Row]],
    folder: pathlib.Path,
) -> str:
    """Replace the tables between the markers of a page.

    :param page: the page's text with its markers
    :param tables: rows by the table's name
    :param folder: directory with the stored measurements
    :returns: the page's new text
    :raises ValueError: if a table's markers are not in the page
    """
    for name, rows in tables.items():
        begin, end = BEGIN.format(name=name), END.format(name=name)
        if begin not in page or end not in page:
            raise ValueError(f"the page has no markers for table {name}")
        before, _, rest = page.partition(begin)
        _, _, after = rest.partition(end)
        table = render_table(rows, folder)
        page = f"{before}{begin}\n{table}\n{end}{after}"
    return page


def main(write: bool) -> int:
    """Regenerate the page's tables.

    :param write: update the page; otherwise only compare
    :returns: 0 if the page was up to date, else 1
    """
    old = PAGE.read_text(encoding="utf-8")
    new = render_page(old, capacity_tables.TABLES, series.FOLDER)
    if write:
        PAGE.write_text(new, encoding="utf-8")
    return int(new != old)


if __name__ == "__main__":
    main(write="--check" not in sys.argv)

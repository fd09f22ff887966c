"""Works out docs/CAPACITY.md's tables from the kept measurements."""

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
    lines: list[capacity_rows.Row], folder: pathlib.Path = series.FOLDER
) -> str:
    """Return a table in Markdown.

    :param lines: its rows
    :param folder: where the measurements are kept
    :returns: the table's text
    """
    head = (
        "| role | quantity | at the target | limit | measured | slope "
        "| stretched | mechanism |\n|---|---|---|---|---|---|---|---|"
    )
    return "\n".join([head, *(_render_line(line, folder) for line in lines)])


def _render_line(line: capacity_rows.Row, folder: pathlib.Path) -> str:
    measured = [series.read_series(name, folder) for name in line.names]
    fits = [series.fit_line(one) for one in measured]
    first = measured[0]
    sizes = [x for x, _ in first.points]
    return (
        f"| {line.role} | {line.quantity} "
        f"| {_round(line.compute(*fits))} | {line.limit} "
        f"| {', '.join(line.names)}: {_round(min(sizes))} to "
        f"{_round(max(sizes))} {first.x_unit} "
        f"| {_round(fits[0].slope)} ± {_round(fits[0].slope_error)} "
        f"{first.y_unit} for each of {first.x_unit} "
        f"| {_round(fits[0].extrapolation_factor(line.size))} times "
        f"| {line.mechanism} |"
    )


def _round(value: float) -> str:
    return f"{value:,.3g}" if abs(value) < 1_000 else f"{value:,.0f}"


def render_page(
    page: str,
    tables: dict[str, list[capacity_rows.Row]],
    folder: pathlib.Path,
) -> str:
    """Put freshly worked out tables into the page's text.

    :param page: the page's text with its marks
    :param tables: rows by the table's name
    :param folder: where the measurements are kept
    :returns: the page's new text
    :raises ValueError: if a table's marks are not in the page
    """
    for name, lines in tables.items():
        begin, end = BEGIN.format(name=name), END.format(name=name)
        if begin not in page or end not in page:
            raise ValueError(f"no marks for the table {name}")
        before, _, rest = page.partition(begin)
        _, _, after = rest.partition(end)
        table = render_table(lines, folder)
        page = f"{before}{begin}\n{table}\n{end}{after}"
    return page


def main(write: bool) -> int:
    """Work the page's tables out anew.

    :param write: put them into the page; otherwise only compare
    :returns: 0 if the page was already as the measurements say, else 1
    """
    old = PAGE.read_text(encoding="utf-8")
    new = render_page(old, capacity_tables.TABLES, series.FOLDER)
    if write:
        PAGE.write_text(new, encoding="utf-8")
    return int(new != old)


if __name__ == "__main__":
    main(write="--check" not in sys.argv)

"""Measured points, a straight line through them, and files that keep them."""

import json
import math
import pathlib

__all__ = [
    "FOLDER",
    "Fit",
    "Series",
    "fit_line",
    "read_series",
    "write_series",
]

FOLDER = pathlib.Path(__file__).parent / "measurements"
FEWEST_POINTS = 3


class Series:
    """One quantity measured at several sizes.

    :param name: unique; the file's name in ``benchmarks/measurements``
    :param command: what repeats the measurement
    :param x_unit: what was varied
    :param y_unit: what was measured
    :param points: pairs of size and measured value, at least three sizes
    :param note: how it was measured, in a sentence
    """

    __slots__ = ("name", "command", "x_unit", "y_unit", "points", "note")

    def __init__(
        self,
        name: str,
        command: str,
        x_unit: str,
        y_unit: str,
        points: list[tuple[float, float]],
        note: str = "",
    ) -> None:
        if len({x for x, _ in points}) < FEWEST_POINTS:
            raise ValueError(f"{name}: fewer than {FEWEST_POINTS} sizes")
        self.name = name
        self.command = command
        self.x_unit = x_unit
        self.y_unit = y_unit
        self.points = points
        self.note = note


class Fit:
    """A straight line, how sure its slope is, and where it was measured.

    :param intercept: the value at size zero
    :param slope: the growth for each unit of size
    :param slope_error: the slope's standard error
    :param most_measured: the largest size measured
    """

    __slots__ = ("intercept", "slope", "slope_error", "most_measured")

    def __init__(
        self,
        intercept: float,
        slope: float,
        slope_error: float,
        most_measured: float,
    ) -> None:
        self.intercept = intercept
        self.slope = slope
        self.slope_error = slope_error
        self.most_measured = most_measured

    def predict(self, size: float) -> float:
        """Return the line's value at a size.

        :param size: in the series' unit of size
        :returns: in the series' unit of value
        """
        return self.intercept + self.slope * size

    def extrapolation_factor(self, size: float) -> float:
        """Tell how far beyond the measured range a size lies.

        :param size: in the series' unit of size
        :returns: 1.0 inside the range, otherwise the size over its end
        """
        return max(size / self.most_measured, 1.0)


def fit_line(series: Series) -> Fit:
    """Fit a line by least squares.

    :param series: the points
    :returns: the line with the standard error of its slope
    """
    count = len(series.points)
    mean_x = sum(x for x, _ in series.points) / count
    mean_y = sum(y for _, y in series.points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in series.points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in series.points) / spread
    intercept = mean_y - slope * mean_x
    squares = sum((y - intercept - slope * x) ** 2 for x, y in series.points)
    error = math.sqrt(squares / (count - 2) / spread)
    return Fit(intercept, slope, error, max(x for x, _ in series.points))


def write_series(series: Series, folder: pathlib.Path = FOLDER) -> None:
    """Keep a measurement, in place of an older one of the same name.

    :param series: the measurement
    :param folder: where measurements are kept
    """
    folder.mkdir(parents=True, exist_ok=True)
    fields = {name: getattr(series, name) for name in Series.__slots__}
    text = json.dumps(fields, indent=1) + "\n"
    (folder / f"{series.name}.json").write_text(text, encoding="utf-8")


def read_series(name: str, folder: pathlib.Path = FOLDER) -> Series:
    """Read a measurement back.

    :param name: the measurement's name
    :param folder: where measurements are kept
    :returns: the measurement
    """
    text = (folder / f"{name}.json").read_text(encoding="utf-8")
    fields = json.loads(text)
    fields["points"] = [(x, y) for x, y in fields["points"]]
    return Series(**fields)

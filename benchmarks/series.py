"""Series of measured points: storage in files, and linear fits."""

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
MIN_POINTS = 3


class Series:
    """One quantity measured at several sizes.

    :param name: unique; the file's name in ``benchmarks/measurements``
    :param command: the command that repeats the measurement
    :param x_unit: the varied quantity and its unit
    :param y_unit: the measured quantity and its unit
    :param points: pairs of size and measured value, at least three sizes
    :param note: one sentence about how it was measured
    :raises ValueError: if there are fewer than three sizes
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
        if len({x for x, _ in points}) < MIN_POINTS:
            raise ValueError(
                f"{name}: measured at fewer than {MIN_POINTS} sizes"
            )
        self.name = name
        self.command = command
        self.x_unit = x_unit
        self.y_unit = y_unit
        self.points = points
        self.note = note


class Fit:
    """A fitted line with the standard error of its slope.

    :param intercept: the value at size zero
    :param slope: the change in value per unit of size
    :param slope_error: the slope's standard error
    :param most_measured: the largest measured size
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

        :param size: the size, in the series' x unit
        :returns: the value, in the series' y unit
        """
        return self.intercept + self.slope * size

    def extrapolation_factor(self, size: float) -> float:
        """Return how far a size lies beyond the measured range.

        :param size: the size, in the series' x unit
        :returns: the size divided by the largest measured size, at least 1.0
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
    squared_deviation = sum((x - mean_x) ** 2 for x, _ in series.points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in series.points)
        / squared_deviation
    )
    intercept = mean_y - slope * mean_x
    squared_error = sum(
        (y - intercept - slope * x) ** 2 for x, y in series.points
    )
    error = math.sqrt(squared_error / (count - 2) / squared_deviation)
    return Fit(intercept, slope, error, max(x for x, _ in series.points))


def write_series(series: Series, folder: pathlib.Path = FOLDER) -> None:
    """Write a series to its file, replacing an older one of the same name.

    :param series: the series
    :param folder: directory of the stored series
    """
    folder.mkdir(parents=True, exist_ok=True)
    fields = {name: getattr(series, name) for name in Series.__slots__}
    text = json.dumps(fields, indent=1) + "\n"
    (folder / f"{series.name}.json").write_text(text, encoding="utf-8")


def read_series(name: str, folder: pathlib.Path = FOLDER) -> Series:
    """Read a series from its file.

    :param name: the series' name
    :param folder: directory of the stored series
    :returns: the series
    """
    text = (folder / f"{name}.json").read_text(encoding="utf-8")
    fields = json.loads(text)
    fields["points"] = [(x, y) for x, y in fields["points"]]
    return Series(**fields)

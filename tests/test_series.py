"""Tests of series: fitted lines and stored files."""

import pathlib
import tempfile
import unittest

from benchmarks import series


def make_series(points):
    return series.Series("s", "python -m x", "VMs", "ms", points)


class SeriesTest(unittest.TestCase):
    def test_exact_line(self):
        fit = series.fit_line(make_series([(1, 3), (2, 5), (4, 9)]))
        self.assertAlmostEqual(fit.slope, 2)
        self.assertAlmostEqual(fit.intercept, 1)
        self.assertAlmostEqual(fit.slope_error, 0)
        self.assertAlmostEqual(fit.predict(10), 21)
        self.assertEqual(fit.extrapolation_factor(2), 1.0)
        self.assertEqual(fit.extrapolation_factor(40), 10.0)

    def test_scatter_increases_the_slope_error(self):
        fit = series.fit_line(make_series([(1, 1), (2, 4), (3, 2), (4, 5)]))
        self.assertGreater(fit.slope_error, 0.3)

    def test_two_sizes_are_rejected(self):
        with self.assertRaises(ValueError):
            make_series([(1, 3), (2, 5), (2, 6)])

    def test_write_and_read(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            series.write_series(make_series([(1, 3), (2, 5), (4, 9)]), path)
            read = series.read_series("s", path)
        self.assertEqual(read.points, [(1, 3), (2, 5), (4, 9)])

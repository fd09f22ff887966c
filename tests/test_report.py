"""Tests of stored benchmark runs and their comparison."""

import pathlib
import tempfile
import unittest

from benchmarks import report
from mulberryway import clock


class ReportTest(unittest.TestCase):
    def test_runs_are_read_back_oldest_first(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            report.keep_run({"a": {"x": 2}}, clock.ManualClock(1000), path)
            report.keep_run({"a": {"x": 1}}, clock.ManualClock(9), path)
            runs = report.read_runs(path)
        self.assertEqual([run.at_ms for run in runs], [9, 1000])
        self.assertEqual(runs[1].figures, {"a.x": 2.0})

    def test_comparison_shows_new_and_lost_figures(self):
        before = report.Run(1, {"gone": 1.0, "kept": 2.0})
        after = report.Run(2, {"kept": 3.0, "new": 0.5})
        lines = [line.split() for line in report.compare_runs(before, after)]
        self.assertEqual(
            lines,
            [["gone", "1", "-"], ["kept", "2", "3"], ["new", "-", "0.5"]],
        )

    def test_only_numbers_are_figures(self):
        figures = dict(report.flatten({"a": {"b": 1, "c": "x", "d": True}}))
        self.assertEqual(figures, {"a.b": 1.0})

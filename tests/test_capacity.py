"""Tests that docs/CAPACITY.md matches the stored measurements."""

import pathlib
import shutil
import tempfile
import unittest

from benchmarks import capacity
from benchmarks import capacity_tables
from benchmarks import series


class CapacityTest(unittest.TestCase):
    def setUp(self):
        self.page = capacity.PAGE.read_text(encoding="utf-8")

    def render(self, folder):
        return capacity.render_page(self.page, capacity_tables.TABLES, folder)

    def test_the_page_is_up_to_date(self):
        """Fails if a series changed and the page was not regenerated.

        To fix it, run ``python -m benchmarks.capacity``.
        """
        self.assertEqual(self.render(series.FOLDER), self.page)

    def test_a_changed_slope_changes_the_page(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            shutil.copytree(series.FOLDER, folder, dirs_exist_ok=True)
            changed = series.read_series("membership-bytes", folder)
            changed.points = [(x, y + 3 * x) for x, y in changed.points]
            series.write_series(changed, folder)
            self.assertNotEqual(self.render(folder), self.page)

    def test_every_used_series_is_stored(self):
        used = {
            name
            for rows in capacity_tables.TABLES.values()
            for row in rows
            for name in row.names
        }
        stored = {file.stem for file in series.FOLDER.glob("*.json")}
        self.assertEqual(used - stored, set())

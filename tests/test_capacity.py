"""The capacity page says what the measured series say."""

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
        """Somebody measures anew and forgets the page: run
        ``python -m benchmarks.capacity``.
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

    def test_every_series_is_used_or_told(self):
        used = {
            name
            for lines in capacity_tables.TABLES.values()
            for line in lines
            for name in line.names
        }
        kept = {file.stem for file in series.FOLDER.glob("*.json")}
        self.assertEqual(used - kept, set())

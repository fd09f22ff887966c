"""Tests of the validation of settings files and its error reports."""

import pathlib
import tempfile
import unittest

from mulberryway import errors
from mulberryway import settings

GOOD = """
[vm]
name = "a1"
zone = "kandy-a"
region = "lk-central"
[peers]
secret = "s"
seeds = ["127.0.0.1:1"]
"""


class SettingsTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "vm.toml"
            file.write_text(text, encoding="utf-8")
            return settings.read_settings(str(file))

    def check_error(self, text, key):
        with self.assertRaises(errors.SettingsError) as caught:
            self.read(text)
        self.assertEqual(caught.exception.key, key)
        self.assertIn("vm.toml", str(caught.exception))

    def test_defaults_and_values(self):
        read = self.read(GOOD)
        self.assertEqual(read.vm_zone, "kandy-a")
        self.assertEqual(read.peers_seeds, ("127.0.0.1:1",))
        self.assertEqual(read.router_backlog, 1024)

    def test_bad_files(self):
        for text, key in (
            (GOOD.replace('name = "a1"', ""), "vm.name"),
            (GOOD + "[router]\nport = 0", "router.port"),
            (GOOD + "[router]\nport = true", "router.port"),
            (GOOD + "[router]\nprot = 1", "router.prot"),
            (GOOD + 'period_ms = "1"', "peers.period_ms"),
            ("vm = 1", "vm"),
            ("vm = ", "file"),
        ):
            with self.subTest(key=key, text=text):
                self.check_error(text, key)

    def test_each_option_has_its_attribute(self):
        defaults = settings.Settings()
        for option in settings.OPTIONS:
            self.assertTrue(hasattr(defaults, option.attribute), option.key)

    def test_numbers_may_have_fractions(self):
        """Operators configure 221.5 retries and 8.5 seconds.  If only integers
        were accepted, the VM would not start.
        """
        text = GOOD + (
            "[retries]\nslack = 221.5\nwindow_s = 10\n[router]\n"
            "grace_s = 8.5\n[allowances]\nover_tokens = 120000.0\n"
        )
        found = self.read(text)
        self.assertEqual(found.retries_slack, 221)
        self.assertEqual(found.router_grace_ms, 8_500)
        self.assertEqual(found.retries_window_ms, 10_000)
        self.assertEqual(found.allowances_over_tokens, 120_000)

"""Tests of reports on traffic between zones, and of its settings."""

import math
import pathlib
import tempfile
import unittest

from mulberryway import errors
from mulberryway import metrics
from mulberryway import settings
from mulberryway.controllers import zone_traffic
from mulberryway.policy import zone_overflow

LOGGER = "mulberryway.controllers.zone_traffic"


def make_settings(zone="a", round_trip_ms=0.0, margin_ms=3.0):
    made = settings.Settings()
    made.vm_zone = zone
    made.zones_round_trip_ms = round_trip_ms
    made.zones_margin_ms = margin_ms
    return made


def make_options(local_ms, remote_ms=45.0):
    return [
        zone_overflow.ServerOption("s0", "a", local_ms, 0),
        zone_overflow.ServerOption("s1", "b", remote_ms, 6),
    ]


class ZoneTrafficTest(unittest.TestCase):
    def test_start_and_end_are_logged_and_counted(self):
        zones = zone_traffic.ZoneTraffic(make_settings())
        metrics_ = metrics.Metrics("vm0")
        zones.report(metrics_)
        with self.assertLogs(LOGGER, "INFO") as logged:
            zones.overflow.restrict("app", make_options(99), 0.0, 0)
            values = metrics_.read()
            for now_ms in range(500, 30_000, 500):
                zones.overflow.restrict("app", make_options(45), 0.99, now_ms)
        metrics_.stop()
        self.assertEqual(
            [record.getMessage() for record in logged.records],
            [
                "requests may leave the zone",
                "requests stay in the zone",
            ],
        )
        share = values["mulberryway.zones.share_percent"][0]
        self.assertEqual(share["labels"], {"pool": "app"})
        self.assertEqual(share["value"], 100)
        released = values["mulberryway.zones.released"][0]
        self.assertEqual(released["labels"], {"pool": "app"})
        self.assertEqual(released["value"], 1)

    def test_unusable_loads_are_logged_rarely(self):
        """Guards against a line for each request while a load is invalid."""
        zones = zone_traffic.ZoneTraffic(make_settings())
        with self.assertLogs(LOGGER, "ERROR") as logged:
            for now_ms in range(0, 120_000, 1_000):
                options = make_options(math.nan, 45)
                zones.overflow.restrict("app", options, 0.5, now_ms)
        self.assertEqual(len(logged.records), 2)

    def test_margin(self):
        """An operator's margin keeps requests at home that left before."""
        for margin_ms, is_leaving in ((3, True), (60, False)):
            zones = zone_traffic.ZoneTraffic(make_settings("a", 1, margin_ms))
            zones.overflow.restrict("app", make_options(99), 0.0, 0)
            ((_, share),) = zones.overflow.list_shares()
            self.assertEqual(share > 0, is_leaving)


class SettingsTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder, "vm.toml")
            file.write_text(
                '[vm]\nname = "vm0"\nzone = "a"\nregion = "r"\n'
                f'[peers]\nsecret = "s"\n[zones]\n{text}\n'
            )
            return settings.read_settings(str(file))

    def test_values(self):
        found = self.read("margin_ms = 2.5\nround_trip_ms = 1")
        self.assertEqual(found.zones_margin_ms, 2.5)
        self.assertEqual(found.zones_round_trip_ms, 1.0)

    def test_invalid_values(self):
        for text in (
            "margin_ms = -1",
            'margin_ms = "3"',
            "margin_ms = true",
            "margin_ms = nan",
            "round_trip_ms = 1001",
            "round_trip = 1",
        ):
            with self.assertRaises(errors.SettingsError):
                self.read(text)

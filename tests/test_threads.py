"""Processor time by thread."""

import threading
import time
import unittest

from mulberryway import metrics
from mulberryway import threads


class ThreadsTest(unittest.TestCase):
    def test_the_busy_thread_shows(self):
        """Guards the figures by which processor time is traced to a cause."""
        ends = threading.Event()

        def spin():
            until = time.thread_time() + 0.1
            while time.thread_time() < until:
                pass
            ends.wait(5)

        spinner = threading.Thread(target=spin, name="spinner_3")
        spinner.start()
        self.addCleanup(spinner.join)
        self.addCleanup(ends.set)
        deadline = time.monotonic() + 5
        while (
            threads.read_thread_cpu_ms().get("spinner", 0) < 90
            and time.monotonic() < deadline
        ):
            time.sleep(0.02)
        self.assertGreaterEqual(threads.read_thread_cpu_ms()["spinner"], 90)

    def test_no_figures_are_no_error(self):
        self.assertEqual(
            threads.read_thread_cpu_ms(threads.TASKS / "none"), {}
        )

    def test_they_are_a_metric(self):
        made = metrics.Metrics("vm")
        threads.report(made)
        self.assertIn("mulberryway.threads.cpu_ms", made.read())

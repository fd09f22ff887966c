"""Tests of CPU time by thread."""

import threading
import time
import unittest

from mulberryway import metrics
from mulberryway import threads


class ThreadsTest(unittest.TestCase):
    def test_busy_thread_is_reported(self):
        """Guards against wrong CPU times in the search for a busy thread."""
        stop_event = threading.Event()

        def spin():
            end_s = time.thread_time() + 0.1
            while time.thread_time() < end_s:
                pass
            stop_event.wait(5)

        spinner = threading.Thread(target=spin, name="spinner_3")
        spinner.start()
        self.addCleanup(spinner.join)
        self.addCleanup(stop_event.set)
        deadline = time.monotonic() + 5
        while (
            threads.read_thread_cpu_ms().get("spinner", 0) < 90
            and time.monotonic() < deadline
        ):
            time.sleep(0.02)
        self.assertGreaterEqual(threads.read_thread_cpu_ms()["spinner"], 90)

    def test_missing_schedstat_is_ignored(self):
        self.assertEqual(
            threads.read_thread_cpu_ms(threads.TASKS / "none"), {}
        )

    def test_cpu_time_is_a_metric(self):
        made = metrics.Metrics("vm")
        threads.report(made)
        self.assertIn("mulberryway.threads.cpu_ms", made.read())

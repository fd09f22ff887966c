"""Open-loop traffic: requests at a steady rate, each on its own thread."""

import itertools
import threading
import time


class Traffic:
    """Calls a function at a steady rate until it is stopped.

    :param per_s: calls per second
    :param call: called with the number of the call, from 0
    """

    def __init__(self, per_s, call):
        self._per_s = per_s
        self._call = call
        self._stopping = threading.Event()
        self._threads = []
        self._pacer = threading.Thread(target=self._pace, daemon=True)
        self._pacer.start()

    def stop(self):
        """Stop, and wait for the calls that are still open."""
        self._stopping.set()
        self._pacer.join()
        for thread in self._threads:
            thread.join()

    def _pace(self):
        started_s = time.monotonic()
        for number in itertools.count():
            left_s = started_s + number / self._per_s - time.monotonic()
            if self._stopping.wait(max(left_s, 0)):
                return
            thread = threading.Thread(
                target=self._call, args=(number,), daemon=True
            )
            thread.start()
            self._threads.append(thread)

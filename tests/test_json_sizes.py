"""Tests of the estimate of what parsed JSON takes."""

import json
import tracemalloc
import unittest

from mulberryway.policy import json_sizes

COUNT = 20_000


class EstimateTest(unittest.TestCase):
    def check_bound(self, text):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        value = json.loads(text)
        again = json.dumps(value).encode()
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertGreaterEqual(json_sizes.estimate_bytes(text), peak_bytes)
        del again

    def test_bound(self):
        """Guards against texts that take more than is reserved for them."""
        for item in (
            b"[]",
            b"1e9",
            b'"ab"',
            b'{"a":{}}',
            b'["a"]',
            b'{"a":1,"b":2}',
            "\U0001f600".encode() + b"aaaaaaaa",
        ):
            with self.subTest(item):
                if item.startswith(b"\xf0"):
                    self.check_bound(b'["' + item * COUNT + b'"]')
                else:
                    items = b",".join([item] * COUNT)
                    self.check_bound(b"[" + items + b"]")
                tracemalloc.stop()

    def test_members_with_names_of_their_own(self):
        """Guards against objects whose names take more than their values."""
        members = {f"name-{number}": number for number in range(COUNT)}
        self.check_bound(json.dumps(members).encode())

    def test_prose(self):
        """Guards against the refusal of ordinary prompts."""
        sentence = "Why, then, did my fix drift: yesterday, or before? "
        for count in (400, 40_000):
            value = {"model": "m", "prompt": sentence * count}
            text = json.dumps(value).encode()
            with self.subTest(count):
                self.assertLess(
                    json_sizes.estimate_bytes(text),
                    max(5 * len(text), json_sizes.ROUGH_BYTES),
                )

"""Tests of the header that lists a prompt's parts."""

import unittest

from mulberryway.platform import callers


class SharedPartsTest(unittest.TestCase):
    def check(self, text, *parts):
        self.assertEqual(callers.parse_shared_parts(text), parts)

    def test_last_part_belongs_to_the_request(self):
        self.check(
            "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "5c1e07a2", "91bd3f06"
        )
        self.check("e4402b7d:250")

    def test_no_header(self):
        self.check("")

    def test_repeated_parts(self):
        """Guards against counting one crash of a part twice."""
        self.check("aa:1,bb:2,AA:3,bb:4", "aa", "bb")
        self.check("aa:1,bb:2, aa:3", "aa", "bb")

    def test_malformed_headers(self):
        """Guards against parts that the upstream does not see."""
        for text in ("aa", "aa:", ":5,bb:1", "aa:1,,bb:2", "xy:1,bb:2", ","):
            with self.subTest(text=text):
                self.check(text)

    def test_bounded(self):
        """Guards against a header that fills the VM's memory."""
        text = ",".join(f"{number:x}:1" for number in range(3_000))
        parts = callers.parse_shared_parts(text)
        self.assertEqual(len(parts), callers.MAX_PROMPT_PARTS)

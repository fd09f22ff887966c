"""Tests of the chunked coding: sizes and ends that are not well formed."""

import unittest

from mulberryway.relay import events
from mulberryway.server import bodies

# ``int`` accepts all of them as hexadecimal numbers but the empty ones.
MALFORMED = (
    b"0x5",
    b"0X5",
    b"+5",
    b"-0",
    b"-5",
    b"0_5",
    b" 5",
    b"5\n",
    b"5\x0b",
    b"",
    b";a=b",
    b"1" * 17,
)
SOUND = (b"5", b"05", b"5 ", b"5\t", b"5;a=b", b"5 ; a=b")
MAX_BYTES = 1_000


def read_stream(coded):
    decoder = events.ChunkDecoder()
    return decoder.feed(coded), decoder.ended


def read_body(coded):
    body = bodies.ChunkedBody(lambda size: None, MAX_BYTES)
    return body.read() if body.feed(coded) == b"" else None


class ChunkSizeTest(unittest.TestCase):
    def test_malformed_size_in_a_stream(self):
        """Guards against a stream that goes on, or ends, at a place which
        other programs do not take for it.
        """
        for size in MALFORMED:
            with self.subTest(size), self.assertRaises(events.InvalidStream):
                read_stream(size + b"\r\nevent\r\n0\r\n\r\n")

    def test_malformed_size_in_a_request(self):
        """Guards against a request hidden in the body of another one, which
        another program on its way reads differently.
        """
        for size in MALFORMED:
            with self.subTest(size), self.assertRaises(ValueError):
                read_body(size + b"\r\nevent\r\n0\r\n\r\n")

    def test_sound_size(self):
        for size in SOUND:
            with self.subTest(size):
                coded = size + b"\r\nevent\r\n0\r\n\r\n"
                self.assertEqual(read_stream(coded), (b"event", True))
                self.assertEqual(read_body(coded), b"event")

    def test_end_of_a_stream(self):
        """Guards against a stream that looks complete without its last
        chunk, and against one that is cut off for the lines after it.
        """
        chunk = b"5\r\nevent\r\n"
        for end, is_end in (
            (b"", False),
            (b"0", False),
            (b"0\r", False),
            (b"0\r\n", True),
            (b"0\r\n\r\n", True),
            (b"0\r\nA: b\r\n\r\n", True),
            (b"000\r\n\r\nHTTP/1.1 200 OK\r\n", True),
        ):
            with self.subTest(end):
                self.assertEqual(read_stream(chunk + end), (b"event", is_end))

    def test_huge_size(self):
        self.assertEqual(read_stream(b"f" * 16 + b"\r\nab"), (b"ab", False))

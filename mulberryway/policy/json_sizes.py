"""Estimates what a parsed JSON text takes.

Many empty lists, objects or numbers take fifty times the size of their text.
"""

import re

__all__ = ["estimate_bytes"]

# The text, its strings, and what is written again for upstreams and digests.
TEXT_COPIES = 4
# A text with other characters takes four bytes for each character.
WIDE_FACTOR = 4
# Objects count twice, since keys are removed from a copy, and each value once
# more as the text that it is written as.
LIST_BYTES = 256
OBJECT_BYTES = 640
MEMBER_BYTES = 256
ITEM_BYTES = 208
# Up to this size delimiters inside strings are counted as well, which takes
# no time.
ROUGH_BYTES = 1_048_576
STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)


def estimate_bytes(text: bytes) -> int:
    """Return an upper bound of what a parsed text takes, in bytes.

    :param text: the JSON text
    """
    rough_bytes = _estimate_with(text, text)
    if rough_bytes <= ROUGH_BYTES:
        return rough_bytes
    return _estimate_with(text, STRING.sub(b"", text))


def _estimate_with(text: bytes, delimiters: bytes) -> int:
    characters = len(text) if text.isascii() else WIDE_FACTOR * len(text)
    return (
        TEXT_COPIES * characters
        + LIST_BYTES * delimiters.count(b"[")
        + OBJECT_BYTES * delimiters.count(b"{")
        + MEMBER_BYTES * delimiters.count(b":")
        + ITEM_BYTES * delimiters.count(b",")
    )

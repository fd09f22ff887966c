"""Parses the sizes of chunks in requests and responses."""

import re

__all__ = ["parse"]

# RFC 9112, section 7.1, with blanks after the size; ``int`` alone accepts
# signs, prefixes and underscores too.
PATTERN = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?")


def parse(line: bytes) -> int | None:
    """Return the size of a chunk in bytes; none if the line has no size.

    :param line: the line before the chunk, without its end
    """
    match = PATTERN.fullmatch(line)
    return None if match is None else int(match[1], 16)

"""Decodes JSON of the store, of which any writer may have written parts.

What cannot be read of one object must not keep the others of the same response
from being read.
"""

import collections.abc
import json
import re
import typing

__all__ = ["decode"]

MAX_INTEGER_DIGITS = 64
# Far deeper than any object, and far below the decoder's limit.
MAX_DEPTH = 64
TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def decode(content: bytes) -> typing.Any:
    """Return the value of a JSON text.

    Bytes that are no UTF-8 become U+FFFD, integers that are too long become
    floats, and what is nested too deeply becomes null.

    :param content: the text
    :returns: the value
    :raises ValueError: if it is not JSON
    """
    text = content.decode(errors="replace")
    try:
        return _decode(text)
    except RecursionError:
        return _decode("".join(_flatten(text)))


def _decode(text: str) -> typing.Any:
    return json.loads(text, parse_int=_parse_integer, strict=False)


def _parse_integer(digits: str) -> int | float:
    is_long = len(digits) > MAX_INTEGER_DIGITS
    return float(digits) if is_long else int(digits)


def _flatten(text: str) -> collections.abc.Iterator[str]:
    """Yield the parts of a JSON text without what is nested too deeply."""
    depth = 0
    end = 0
    for match in TOKEN.finditer(text):
        if depth <= MAX_DEPTH:
            yield text[end : match.start()]
        end = match.end()
        depth += match[0] in ("[", "{")
        if depth <= MAX_DEPTH:
            yield match[0]
        if match[0] in ("]", "}"):
            depth -= 1
            if depth == MAX_DEPTH:
                yield "null"
    yield text[end:]

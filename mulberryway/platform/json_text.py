"""Decodes JSON of the store, of which any writer may have written parts.

What cannot be read of one object must not keep the others of the same response
from being read.
"""

import collections.abc
import json
import re
import typing

__all__ = ["decode", "is_heavier"]

MAX_INTEGER_DIGITS = 64
# Far deeper than any object, and far below the decoder's limit.
MAX_DEPTH = 64
# Bytes of an empty list.
VALUE_WEIGHT = 64
CONTAINERS = (dict, list)
# A string that does not end is one token too: else each of its quotes would
# begin one, in quadratic time.  Brackets are taken together if possible,
# because a text of brackets alone has most tokens.
TOKEN = re.compile(r'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)|[\[{]+|[\]}]+', re.DOTALL)


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
        value = _decode(text)
    except RecursionError:
        return _decode("".join(_flatten(text)))
    _prune(value)
    return value


def _decode(text: str) -> typing.Any:
    return json.loads(text, parse_int=_parse_integer, strict=False)


def _parse_integer(digits: str) -> int | float:
    is_long = len(digits) > MAX_INTEGER_DIGITS
    return float(digits) if is_long else int(digits)


def _prune(value: typing.Any) -> None:
    """Replace what is nested too deeply in a value.

    The decoder's own limit depends on its thread's stack.  Whoever compares
    or encodes the value has another one left.
    """
    level = [value] if isinstance(value, CONTAINERS) else []
    for _ in range(MAX_DEPTH - 1):
        level = [
            item
            for container in level
            for item in _list_items(container)
            if isinstance(item, CONTAINERS)
        ]
        if not level:
            return
    for container in level:
        pairs = (
            list(container.items())
            if isinstance(container, dict)
            else list(enumerate(container))
        )
        for key, item in pairs:
            if isinstance(item, CONTAINERS):
                container[key] = None


def is_heavier(value: typing.Any, limit: int) -> bool:
    """Return whether a value takes more memory than some limit.

    :param value: a decoded value
    :param limit: in characters; each value that is part of it counts as
        several
    """
    weight = 0
    level = [value]
    while level and weight <= limit:
        weight += len(level) * VALUE_WEIGHT
        weight += sum(len(item) for item in level if isinstance(item, str))
        weight += sum(
            sum(map(len, item)) for item in level if isinstance(item, dict)
        )
        level = [
            item
            for container in level
            if isinstance(container, CONTAINERS)
            for item in _list_items(container)
        ]
    return weight > limit


def _list_items(
    container: dict[str, typing.Any] | list[typing.Any],
) -> collections.abc.Iterable[typing.Any]:
    return container.values() if isinstance(container, dict) else container


def _flatten(text: str) -> collections.abc.Iterator[str]:
    """Yield the parts of a JSON text without what is nested too deeply."""
    depth = 0
    end = 0
    for match in TOKEN.finditer(text):
        token = match[0]
        if depth <= MAX_DEPTH:
            yield text[end : match.start()]
        end = match.end()
        if token[0] in "[{":
            yield token[: max(MAX_DEPTH - depth, 0)]
            depth += len(token)
        elif token[0] in "]}":
            hidden = max(depth - MAX_DEPTH, 0)
            if 0 < hidden <= len(token):
                yield "null"
            yield token[hidden:]
            depth -= len(token)
        elif depth <= MAX_DEPTH:
            yield token
    yield text[end:]

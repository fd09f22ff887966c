"""Generates entries of the store as another writer could leave them.

Entries are texts and not values, because no encoder writes most of them.
"""

import json

from hypothesis import strategies

__all__ = ["Entry", "list_worst_values", "make_entries", "make_values"]

DEPTHS = (1, 2, 60, 63, 64, 65, 66, 70, 900, *range(940, 1_000, 3), 20_000)
NUMBERS = (
    b"0",
    b"-0",
    b"-1",
    b"0.5",
    b"65536",
    b"1e15",
    b"1e300",
    b"1e400",
    b"-1e400",
    b"NaN",
    b"Infinity",
    b"-Infinity",
    b"2147483648",
    b"9223372036854775807",
    b"9223372036854775808",
    b"1" + b"0" * 63,
    b"9" * 5_000,
    b"-" + b"9" * 5_000,
    b"0." + b"9" * 5_000,
)
ADDRESSES = (
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:-1",
    "127.0.0.1:99999999999",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:\u0668\u0660",
    "127.0.0.1:port",
    "127.0.0.1:",
    "127.0.0.1",
    ":80",
    "[::1]:80",
    "[::g]:80",
    "::1:80",
    "a..b:80",
    "a" * 64 + ".example:80",
    "h\u00f6st:80",
    "\ud800:80",
    "a\0b:80",
    "a b:80",
)
STRINGS = (
    b'""',
    b'" "',
    b'"\\ud800"',
    b'"\\udfff\\ud800"',
    b'"\\u0000"',
    b'"a\\r\\nb: c"',
    b'"\xff\xfe\x80"',
    b'"\x01"',
    b'"[[{"',
    b'"\\"\\\\"',
    b'"../main"',
    "\u0668".join('""').encode(),
    b'"' + b"x" * 70_000 + b'"',
    *(json.dumps(address).encode() for address in ADDRESSES),
)
OPENERS = (
    (b"[", b"]"),
    (b'{"a":', b"}"),
    (b'[{"a":', b"}]"),
    (b"[0,[],", b"]"),
    (b'{"a":[],"a":', b',"b":1}'),
)
WIDE = (
    b"[" + b"[]," * 5_000 + b"[]]",
    b"[" + b"{}," * 5_000 + b"{}]",
    b"{" + b",".join(b'"%d":1' % key for key in range(5_000)) + b"}",
)
# What its writer may not even know how to name.
NAMES = (
    b'"odd"',
    b'"\\ud800"',
    b'"\xff\xfe"',
    b'"a/b?c#d"',
    b'"a\\u0000b"',
    b'""',
    b'"' + b"n" * 70_000 + b'"',
)


class Entry:
    """One object of the store as a text.

    :param name: the text of its name
    :param text: the text of the object
    """

    __slots__ = ("name", "text")

    def __init__(self, name, text):
        self.name = name
        self.text = text

    def __repr__(self):
        return f"Entry({self.name[:40]!r}, {self.text[:300]!r})"


def nest(opener, closer, depth):
    """Return a value in which others are nested."""
    return opener * depth + b"1" + closer * depth


def make_values():
    """Return a strategy of the texts of odd values."""
    return strategies.one_of(
        strategies.sampled_from((b"null", b"true", b"false", b"[]", b"{}")),
        strategies.sampled_from(NUMBERS),
        strategies.sampled_from(STRINGS),
        strategies.sampled_from(WIDE),
        strategies.builds(
            lambda pair, depth: nest(*pair, depth),
            strategies.sampled_from(OPENERS),
            strategies.sampled_from(DEPTHS),
        ),
        strategies.integers().map(lambda number: b"%d" % number),
        strategies.floats().map(lambda number: json.dumps(number).encode()),
        strategies.text().map(lambda text: json.dumps(text).encode()),
    )


def join_fields(fields):
    """Return the text of an object; keys may occur twice."""
    pairs = (key + b": " + value for key, value in fields)
    return b"{" + b", ".join(pairs) + b"}"


def list_fields(value):
    """Return the fields of a sound object as pairs of texts."""
    return [
        (json.dumps(key).encode(), json.dumps(item).encode())
        for key, item in value.items()
    ]


@strategies.composite
def make_objects(draw, sound):
    """Return a strategy of objects that differ from a sound one.

    :param sound: the value of a sound object
    """
    values = make_values()
    fields = []
    for key, value in list_fields(sound):
        change = draw(strategies.integers(0, 7))
        if change == 0:
            continue
        fields.append((key, draw(values) if change < 3 else value))
        if change == 3:
            fields.append((key, draw(values)))
    if draw(strategies.booleans()):
        fields.append((draw(strategies.sampled_from(NAMES)), draw(values)))
    return join_fields(fields)


@strategies.composite
def make_entries(draw, sound):
    """Return a strategy of entries beside sound ones.

    :param sound: the value of a sound entry
    """
    values = make_values()
    spec = draw(strategies.one_of(make_objects(sound), values))
    name = draw(strategies.one_of(strategies.sampled_from(NAMES), values))
    revision = draw(
        strategies.one_of(
            strategies.sampled_from((b"5", b"9223372036854775807", b"1e15")),
            values,
        )
    )
    metadata = draw(
        strategies.one_of(
            strategies.just(
                join_fields([(b'"name"', name), (b'"revision"', revision)])
            ),
            values,
        )
    )
    fields = [(b'"metadata"', metadata), (b'"spec"', spec)]
    kept = draw(strategies.sampled_from((fields, fields, fields[:1], [])))
    text = draw(
        strategies.one_of(
            strategies.just(join_fields(kept)),
            strategies.just(join_fields(kept)),
            values,
        )
    )
    return Entry(name, text)


def list_worst_values():
    """Return the texts of values as large as the store lets through."""
    half = 500_000
    return {
        "lists": b"[" * half + b"]" * half,
        "objects": nest(b'{"a":', b"}", half // 3),
        "lists and objects": nest(b'[{"a":', b"}]", half // 4),
        "many lists": b"[" + b"[]," * (2 * half // 3) + b"[]]",
        "many objects": b"[" + b"{}," * (2 * half // 3) + b"{}]",
        "a deep one beside many": b"["
        + nest(b"[", b"]", 2_000)
        + b",[]" * (2 * half // 3)
        + b"]",
        "digits": b"9" * 2 * half,
        "a fraction": b"0." + b"9" * 2 * half,
        "a string": b'"' + b"x" * 2 * half + b'"',
        "escapes": b'"' + b"\\ud800" * (half // 3) + b'"',
    }

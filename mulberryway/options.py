"""How options of a settings file are checked, and read into attributes."""

import collections.abc
import ipaddress
import re
import typing

__all__ = [
    "MOST_PORT",
    "MS_IN_S",
    "Option",
    "is_digest_table",
    "is_ip",
    "make_choice_check",
    "is_optional_url",
    "is_fraction",
    "is_nonempty_string",
    "is_text_list",
    "is_url",
    "make_address",
    "make_amount",
    "make_number",
    "make_port",
    "make_seconds",
]

MOST_PORT = 65_535
MS_IN_S = 1_000
DIGEST = re.compile(r"[0-9a-f]{64}")


class Option:
    """How one option of the file becomes one attribute.

    :param key: ``section.option`` in the file
    :param attribute: the attribute of :class:`Settings`
    :param expected: what is accepted, in words for the error
    :param accepts: tells whether a value is accepted
    :param convert: makes the attribute's value of the file's
    """

    __slots__ = ("key", "attribute", "expected", "accepts", "convert")

    def __init__(
        self,
        key: str,
        attribute: str,
        expected: str,
        accepts: collections.abc.Callable[[typing.Any], bool],
        convert: collections.abc.Callable[[typing.Any], typing.Any] = (
            lambda value: value
        ),
    ) -> None:
        self.convert = convert
        self.key = key
        self.attribute = attribute
        self.expected = expected
        self.accepts = accepts


def make_int_check(
    low: int, high: int
) -> collections.abc.Callable[[typing.Any], bool]:
    """Return a check for whole numbers from one to another."""

    def accepts(value: typing.Any) -> bool:
        return type(value) is int and low <= value <= high

    return accepts


def make_number_check(
    low: float, high: float
) -> collections.abc.Callable[[typing.Any], bool]:
    """Return a check for numbers, with fractions or without."""
    return lambda value: type(value) in (int, float) and low <= value <= high


def is_fraction(value: typing.Any) -> bool:
    """Tell whether a value is a number from 0 to 1."""
    return type(value) in (int, float) and 0 <= value <= 1


def is_nonempty_string(value: typing.Any) -> bool:
    """Tell whether a value is a text that is not empty."""
    return isinstance(value, str) and bool(value)


def is_string(value: typing.Any) -> bool:
    """Tell whether a value is a text."""
    return isinstance(value, str)


def is_ip(value: typing.Any) -> bool:
    """Tell whether a value is an IP number."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return isinstance(value, str)


def is_text_list(value: typing.Any) -> bool:
    """Tell whether a value is a list of texts."""
    return isinstance(value, list) and all(map(is_nonempty_string, value))


def is_digest_table(value: typing.Any) -> bool:
    """Tell whether a value is a table of names and SHA-256 digests."""
    return isinstance(value, dict) and all(
        isinstance(digest, str) and DIGEST.fullmatch(digest) is not None
        for digest in value.values()
    )


def is_url(value: typing.Any) -> bool:
    """Tell whether a value is an HTTP address."""
    return isinstance(value, str) and value.startswith(("http://", "https://"))


def is_optional_url(value: typing.Any) -> bool:
    """Tell whether a value is an HTTP address, or empty."""
    return value == "" or is_url(value)


def make_choice_check(
    *choices: str,
) -> collections.abc.Callable[[typing.Any], bool]:
    """Return a check for some values."""
    return lambda value: value in choices


def make_port(key: str, attribute: str) -> Option:
    """Return an option that is a port."""
    return Option(
        key, attribute, "a port from 1 to 65535", make_int_check(1, MOST_PORT)
    )


def is_address(value: typing.Any) -> bool:
    """Tell whether a value is ``host:port``."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    return is_ip(host) and port.isdecimal() and 0 < int(port) <= MOST_PORT


def make_address(key: str, attribute: str) -> Option:
    """Return an option that is ``host:port``, or empty."""
    return Option(
        key,
        attribute,
        "host:port, or empty",
        lambda value: value == "" or is_address(value),
    )


def make_number(key: str, attribute: str, low: int, high: int) -> Option:
    """Return an option that is a whole number."""
    return Option(
        key,
        attribute,
        f"a whole number from {low} to {high}",
        make_int_check(low, high),
    )


def make_seconds(key: str, attribute: str, low: float, high: float) -> Option:
    """Return an option in seconds, with fractions, for one in ms."""
    return Option(
        key,
        attribute,
        f"seconds from {low} to {high}",
        make_number_check(low, high),
        lambda value: int(value * MS_IN_S),
    )


def make_amount(key: str, attribute: str, high: float) -> Option:
    """Return an option whose value may have a fraction, rounded down."""
    return Option(
        key,
        attribute,
        f"a number from 0 to {high}",
        make_number_check(0, high),
        int,
    )

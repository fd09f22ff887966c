"""Validation and conversion of the options in a settings file."""

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
    "make_duration",
    "make_number",
    "make_port",
    "make_seconds",
]

MOST_PORT = 65_535
MS_IN_S = 1_000
DIGEST = re.compile(r"[0-9a-f]{64}")


class Option:
    """Describes how one option is checked and stored as an attribute.

    :param key: ``section.option`` in the file
    :param attribute: the attribute of :class:`Settings`
    :param expected: a description of valid values for error messages
    :param accepts: returns whether a value is valid
    :param convert: converts the file's value to the attribute's value
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
    """Return a check for integers in a range, bounds included."""

    def accepts(value: typing.Any) -> bool:
        return type(value) is int and low <= value <= high

    return accepts


def make_number_check(
    low: float, high: float
) -> collections.abc.Callable[[typing.Any], bool]:
    """Return a check for integers and floats in a range, bounds included."""
    return lambda value: type(value) in (int, float) and low <= value <= high


def is_flag(value: typing.Any) -> bool:
    """Return whether a value is true or false."""
    return isinstance(value, bool)


def is_fraction(value: typing.Any) -> bool:
    """Return whether a value is a number from 0 to 1."""
    return type(value) in (int, float) and 0 <= value <= 1


def is_factor(value: typing.Any) -> bool:
    """Return whether a value is a number from 1 to 100."""
    return type(value) in (int, float) and 1 <= value <= 100


def is_nonempty_string(value: typing.Any) -> bool:
    """Return whether a value is a non-empty string."""
    return isinstance(value, str) and bool(value)


def is_string(value: typing.Any) -> bool:
    """Return whether a value is a string."""
    return isinstance(value, str)


def is_ip(value: typing.Any) -> bool:
    """Return whether a value is an IP address."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return isinstance(value, str)


def is_text_list(value: typing.Any) -> bool:
    """Return whether a value is a list of non-empty strings."""
    return isinstance(value, list) and all(map(is_nonempty_string, value))


def is_digest_table(value: typing.Any) -> bool:
    """Return whether a value is a table of names and SHA-256 digests."""
    return isinstance(value, dict) and all(
        isinstance(digest, str) and DIGEST.fullmatch(digest) is not None
        for digest in value.values()
    )


def is_url(value: typing.Any) -> bool:
    """Return whether a value is an HTTP URL."""
    return isinstance(value, str) and value.startswith(("http://", "https://"))


def is_optional_url(value: typing.Any) -> bool:
    """Return whether a value is an HTTP URL or empty."""
    return value == "" or is_url(value)


def make_choice_check(
    *choices: str,
) -> collections.abc.Callable[[typing.Any], bool]:
    """Return a check for one of the given values."""
    return lambda value: value in choices


def make_port(key: str, attribute: str) -> Option:
    """Return an option for a port number."""
    return Option(
        key, attribute, "a port from 1 to 65535", make_int_check(1, MOST_PORT)
    )


def is_address(value: typing.Any) -> bool:
    """Return whether a value is an address of the form ``host:port``."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    return is_ip(host) and port.isdecimal() and 0 < int(port) <= MOST_PORT


def make_address(key: str, attribute: str) -> Option:
    """Return an option for a ``host:port`` address that may be empty."""
    return Option(
        key,
        attribute,
        "host:port, or empty",
        lambda value: value == "" or is_address(value),
    )


def make_number(key: str, attribute: str, low: int, high: int) -> Option:
    """Return an option for an integer."""
    return Option(
        key,
        attribute,
        f"a whole number from {low} to {high}",
        make_int_check(low, high),
    )


def make_seconds(key: str, attribute: str, low: float, high: float) -> Option:
    """Return an option in fractional seconds, stored in ms."""
    return Option(
        key,
        attribute,
        f"seconds from {low} to {high}",
        make_number_check(low, high),
        lambda value: int(value * MS_IN_S),
    )


def make_duration(key: str, attribute: str, high: int) -> Option:
    """Return an option in ms that may have a fraction."""
    return Option(
        key,
        attribute,
        f"milliseconds from 0 to {high}",
        make_number_check(0, high),
        float,
    )


def make_amount(key: str, attribute: str, high: float) -> Option:
    """Return an option for a number that is rounded down to an integer."""
    return Option(
        key,
        attribute,
        f"a number from 0 to {high}",
        make_number_check(0, high),
        int,
    )

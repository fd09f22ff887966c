"""Columns of each table: accepted values, decoding and encoding."""

import collections.abc
import enum
import functools
import re
import typing

from mulberryway import addresses
from mulberryway import errors
from mulberryway.tables import model

__all__ = [
    "ACCOUNT",
    "POOL",
    "ROUTE",
    "UPSTREAM",
    "Column",
    "RowSchema",
    "is_name",
    "make_error",
]

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
DIGEST = re.compile(r"[0-9a-f]{64}")
MAX_COUNT = 1 << 53
MAX_TIMEOUT_MS = 3_600_000
EXPECTED_NAME = "a name of letters, digits, '.', '_' and '-', at most 63"


def make_error(
    table: str, row: str, key: str, expected: str
) -> errors.TablesError:
    """Return the error for an invalid value.

    :param table: the table's name
    :param row: the row's name; empty for the table itself
    :param key: the column; empty for the row itself
    :param expected: a description of the values that are accepted
    :returns: an error that names the place and the accepted values
    """
    place = ".".join(part for part in (table, row, key) if part)
    return errors.TablesError(
        errors.Fault(
            errors.Code.INVALID_TABLES,
            errors.Step.TABLES,
            place,
            message=f"{place}: expected {expected}",
        )
    )


def is_name(value: typing.Any) -> bool:
    """Return whether a value is a valid row name.

    :param value: the value, of any type
    """
    return isinstance(value, str) and NAME.fullmatch(value) is not None


class Column:
    """One column of a table.

    :param key: its key in the text and its attribute in the row's class
    :param expected: a description of the accepted values, for errors
    :param accepts: returns whether an encoded value is accepted
    :param decode: converts an encoded value to the row's value
    :param encode: converts the row's value to an encoded value
    :param required: whether every row must have it
    """

    __slots__ = ("key", "expected", "accepts", "decode", "encode", "required")

    def __init__(
        self,
        key: str,
        expected: str,
        accepts: collections.abc.Callable[[typing.Any], bool],
        decode: collections.abc.Callable[[typing.Any], typing.Any] = (
            lambda value: value
        ),
        encode: collections.abc.Callable[[typing.Any], typing.Any] = (
            lambda value: value
        ),
        required: bool = False,
    ) -> None:
        self.key = key
        self.expected = expected
        self.accepts = accepts
        self.decode = decode
        self.encode = encode
        self.required = required


class RowSchema:
    """Decodes and encodes the rows of one class.

    :param row_class: the row's class
    :param columns: its columns, without the name
    """

    __slots__ = ("row_class", "columns", "_by_key")

    def __init__(
        self,
        row_class: collections.abc.Callable[..., typing.Any],
        columns: tuple[Column, ...],
    ) -> None:
        self.row_class = row_class
        self.columns = columns
        self._by_key = {column.key: column for column in columns}

    def decode(self, table: str, name: str, values: typing.Any) -> typing.Any:
        """Decode a row and check its values.

        :param table: the table's name, for errors
        :param name: the row's name
        :param values: encoded values by column
        :returns: the row
        :raises TablesError: with table, row, key and the accepted values
        """
        if not is_name(name):
            raise make_error(table, str(name), "", EXPECTED_NAME)
        if not isinstance(values, dict):
            raise make_error(table, name, "", "a row, [table.name]")
        self._check_keys(table, name, values)
        decoded = {
            key: self._decode_value(table, name, self._by_key[key], value)
            for key, value in values.items()
        }
        return self.row_class(name=name, **decoded)

    def encode(self, row: typing.Any) -> dict[str, typing.Any]:
        """Return a row's encoded values without its name.

        :param row: an instance of the row's class
        :returns: encoded values by column
        """
        return {
            column.key: column.encode(getattr(row, column.key))
            for column in self.columns
        }

    def _check_keys(
        self, table: str, name: str, values: dict[str, typing.Any]
    ) -> None:
        for key in values:
            if key not in self._by_key:
                known = ", ".join(self._by_key)
                raise make_error(table, name, key, f"one of {known}")
        for column in self.columns:
            if column.required and column.key not in values:
                raise make_error(
                    table, name, column.key, f"{column.expected}; missing"
                )

    def _decode_value(
        self, table: str, name: str, column: Column, value: typing.Any
    ) -> typing.Any:
        if not column.accepts(value):
            raise make_error(table, name, column.key, column.expected)
        return column.decode(value)


def _is_int(low: int, high: int, value: typing.Any) -> bool:
    return type(value) is int and low <= value <= high


def _is_bool(value: typing.Any) -> bool:
    return isinstance(value, bool)


def _is_text(value: typing.Any) -> bool:
    # A line break in a credential would inject a header into each request.
    return isinstance(value, str) and value.isprintable()


def _is_path(value: typing.Any) -> bool:
    return _is_text(value) and value.startswith("/") and " " not in value


def _is_address(value: typing.Any) -> bool:
    try:
        return isinstance(value, str) and bool(addresses.split(value))
    except ValueError:
        return False


def _is_unique_list(
    accepts: collections.abc.Callable[[typing.Any], bool], value: typing.Any
) -> bool:
    return (
        isinstance(value, list)
        and all(map(accepts, value))
        and len(set(value)) == len(value)
    )


def _is_digest(value: typing.Any) -> bool:
    return isinstance(value, str) and DIGEST.fullmatch(value) is not None


def _make_int_column(
    key: str, low: int, high: int, required: bool = False
) -> Column:
    return Column(
        key,
        f"a whole number from {low} to {high}",
        functools.partial(_is_int, low, high),
        required=required,
    )


def _make_bool_column(key: str) -> Column:
    return Column(key, "true or false", _is_bool)


def _make_names_column(key: str) -> Column:
    return Column(
        key,
        "a list of different names",
        functools.partial(_is_unique_list, is_name),
        decode=tuple,
        encode=list,
    )


def _make_enum_column(key: str, choices: type[enum.Enum]) -> Column:
    values = [choice.value for choice in choices]
    return Column(
        key,
        "one of " + ", ".join(values),
        lambda value: value in values,
        decode=choices,
        encode=lambda choice: choice.value,
        required=True,
    )


UPSTREAM = RowSchema(
    model.Upstream,
    (
        Column("address", "host:port", _is_address, required=True),
        Column("zone", EXPECTED_NAME, is_name, required=True),
        _make_enum_column("role", model.UpstreamRole),
        _make_bool_column("leaving"),
        _make_bool_column("checks_fencing"),
    ),
)


def _decode_upstreams(
    values: dict[str, typing.Any],
) -> tuple[model.Upstream, ...]:
    return tuple(
        UPSTREAM.decode("upstreams", name, row) for name, row in values.items()
    )


def _encode_upstreams(
    upstreams: tuple[model.Upstream, ...],
) -> dict[str, typing.Any]:
    return {row.name: UPSTREAM.encode(row) for row in upstreams}


POOL = RowSchema(
    model.Pool,
    (
        _make_enum_column("kind", model.PoolKind),
        _make_names_column("models"),
        Column("credential", "a text of printable characters", _is_text),
        _make_int_column("slots", 1, 10_000),
        _make_int_column("block_tokens", 1, 1 << 20),
        _make_int_column("link_bytes_per_s", 1, MAX_COUNT),
        _make_int_column("kv_bytes_per_token", 1, MAX_COUNT),
        Column(
            "upstreams",
            "upstreams, [pools.NAME.upstreams.NAME]",
            lambda value: isinstance(value, dict),
            decode=_decode_upstreams,
            encode=_encode_upstreams,
            required=True,
        ),
    ),
)

ROUTE = RowSchema(
    model.Route,
    (
        Column("path_prefix", "a path from /", _is_path, required=True),
        Column("pool", EXPECTED_NAME, is_name, required=True),
        _make_names_column("models"),
        _make_bool_column("idempotent"),
        _make_int_column("timeout_ms", 1, MAX_TIMEOUT_MS),
        _make_names_column("accounts"),
    ),
)

ACCOUNT = RowSchema(
    model.ClientAccount,
    (
        Column(
            "key_digests",
            "a list of different SHA-256 digests, 64 hexadecimal digits each",
            functools.partial(_is_unique_list, _is_digest),
            decode=tuple,
            encode=list,
            required=True,
        ),
        _make_int_column("rate", 1, MAX_COUNT, required=True),
        _make_int_column("burst", 1, MAX_COUNT, required=True),
        _make_int_column("weight", 1, 1_000),
    ),
)

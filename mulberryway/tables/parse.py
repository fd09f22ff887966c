"""Reads and writes tables as TOML text and as encoded values."""

import tomllib
import typing

import expression
import tomli_w

from mulberryway import errors
from mulberryway.tables import columns
from mulberryway.tables import model

__all__ = [
    "ROW_SCHEMAS",
    "decode_tables",
    "encode_tables",
    "format_rows",
    "parse_tables",
    "parse_rows",
]

ROW_SCHEMAS: dict[str, columns.RowSchema] = {
    "routes": columns.ROUTE,
    "pools": columns.POOL,
    "accounts": columns.ACCOUNT,
}

EncodedTables = dict[str, dict[str, dict[str, typing.Any]]]


def parse_tables(
    text: str, revision: int = 0
) -> expression.Result[model.Tables, errors.Fault]:
    """Read tables from TOML text, without cross-row validation.

    :param text: sections ``routes.NAME``, ``pools.NAME``,
        ``pools.NAME.upstreams.NAME`` and ``accounts.NAME``
    :param revision: the revision of the new tables
    :returns: the tables, or ``INVALID_TABLES`` with table, row and key
    """
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return expression.Error(
            columns.make_error("text", "", "", f"valid TOML ({error})").fault
        )
    return decode_tables(values, revision)


def decode_tables(
    values: dict[str, typing.Any], revision: int
) -> expression.Result[model.Tables, errors.Fault]:
    """Decode tables, without cross-row validation.

    :param values: encoded rows by table and name
    :param revision: the revision of the new tables
    :returns: the tables, or ``INVALID_TABLES`` with table, row and key
    """
    try:
        _check_tables(values)
        rows = {
            table: tuple(
                schema.decode(table, name, row)
                for name, row in values.get(table, {}).items()
            )
            for table, schema in ROW_SCHEMAS.items()
        }
    except errors.TablesError as error:
        return expression.Error(error.fault)
    return expression.Ok(model.Tables(revision, **rows))


def encode_tables(tables: model.Tables) -> EncodedTables:
    """Return all rows as encoded values, sorted by name.

    :param tables: the tables
    :returns: encoded values by table and row
    """
    rows_by_table = {
        "routes": tables.routes,
        "pools": tables.pools,
        "accounts": tables.accounts,
    }
    return {
        table: {
            name: ROW_SCHEMAS[table].encode(row)
            for name, row in sorted(rows.items())
        }
        for table, rows in rows_by_table.items()
    }


def format_rows(rows: EncodedTables) -> str:
    """Return encoded rows as TOML text that ``parse_rows`` can read.

    :param rows: encoded rows by table and name
    :returns: the text
    """
    return tomli_w.dumps(rows)


def parse_rows(text: str) -> expression.Result[EncodedTables, errors.Fault]:
    """Read encoded rows from TOML text, without cross-row validation.

    :param text: see :func:`parse_tables`
    :returns: the rows as in the text, or ``INVALID_TABLES``
    """
    return parse_tables(text).map(lambda _: tomllib.loads(text))


def _check_tables(values: dict[str, typing.Any]) -> None:
    for table, rows in values.items():
        if table not in ROW_SCHEMAS:
            known = ", ".join(ROW_SCHEMAS)
            raise columns.make_error(table, "", "", f"one of {known}")
        if not isinstance(rows, dict):
            raise columns.make_error(table, "", "", "rows, [table.name]")

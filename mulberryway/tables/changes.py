"""Changes of an edit: put, delete or replace rows, add or revoke keys."""

import abc
import typing

import expression

from mulberryway import errors
from mulberryway.tables import columns
from mulberryway.tables import parse
from mulberryway.tables import root as roots

__all__ = [
    "ABSENT",
    "REDACTED_CREDENTIAL",
    "Change",
    "DeleteRow",
    "AddKey",
    "PutRow",
    "ReplaceAll",
    "RevokeKey",
    "digest_row",
    "hide_credentials",
    "refuse",
]

# As a precondition: the row must not exist.
ABSENT = "absent"
# Replaces a pool's credential wherever tables are shown. In a row that is put,
# it leaves the stored credential unchanged.
REDACTED_CREDENTIAL = "(kept)"


def digest_row(row: dict[str, typing.Any] | None) -> str:
    """Return the digest of a row that preconditions compare.

    :param row: encoded values; none for a row that does not exist
    :returns: the digest, or ``ABSENT``
    """
    if row is None:
        return ABSENT
    return roots.digest_content(roots.encode_content(row))


def hide_credentials(rows: parse.EncodedTables) -> parse.EncodedTables:
    """Return rows with their credentials redacted.

    The result can be displayed, and written back without losing a credential.

    :param rows: encoded rows by table and name
    :returns: a copy in which the pools' credentials are redacted
    """
    pools = {
        name: {**row, "credential": REDACTED_CREDENTIAL}
        if row.get("credential")
        else row
        for name, row in rows["pools"].items()
    }
    return {**rows, "pools": pools}


def _keep_credential(
    row: dict[str, typing.Any], old: dict[str, typing.Any] | None
) -> dict[str, typing.Any]:
    if (
        not isinstance(row, dict)
        or row.get("credential") != REDACTED_CREDENTIAL
    ):
        return row
    return {**row, "credential": (old or {}).get("credential", "")}


class Change(abc.ABC):
    """Base class of the changes that make up an edit."""

    @abc.abstractmethod
    def describe(self) -> str:
        """Return a description for the history; it never contains a key."""

    @abc.abstractmethod
    def apply(
        self, rows: parse.EncodedTables
    ) -> expression.Result[None, errors.Fault]:
        """Apply the change.

        :param rows: encoded rows by table and name; changed in place
        :returns: nothing, or a fault if a precondition failed
        """


class PutRow(Change):
    """Adds or replaces a row.

    :param table: the table's name
    :param name: the row's name
    :param values: the row's encoded values
    :param expected: the digest of the row to be replaced; none for any
    """

    __slots__ = ("table", "name", "values", "expected")

    def __init__(
        self,
        table: str,
        name: str,
        values: dict[str, typing.Any],
        expected: str | None = None,
    ) -> None:
        self.table = table
        self.name = name
        self.values = values
        self.expected = expected

    def describe(self) -> str:
        """Return a description; see the base class."""
        return f"put {self.table}.{self.name}"

    def apply(
        self, rows: parse.EncodedTables
    ) -> expression.Result[None, errors.Fault]:
        """Add or replace the row; see the base class."""
        precondition = _check_row(rows, self.table, self.name, self.expected)
        if precondition.is_ok():
            old = rows[self.table].get(self.name)
            rows[self.table][self.name] = _keep_credential(self.values, old)
        return precondition


class DeleteRow(Change):
    """Deletes a row.

    :param table: the table's name
    :param name: the row's name
    :param expected: the digest that the row must have; none for any
    """

    __slots__ = ("table", "name", "expected")

    def __init__(
        self, table: str, name: str, expected: str | None = None
    ) -> None:
        self.table = table
        self.name = name
        self.expected = expected

    def describe(self) -> str:
        """Return a description; see the base class."""
        return f"delete {self.table}.{self.name}"

    def apply(
        self, rows: parse.EncodedTables
    ) -> expression.Result[None, errors.Fault]:
        """Delete the row; see the base class."""
        precondition = _check_row(rows, self.table, self.name, self.expected)
        if precondition.is_error():
            return precondition
        if rows[self.table].pop(self.name, None) is None:
            return refuse(
                errors.Code.NOT_FOUND,
                f"{self.table}.{self.name}",
                "there is no such row",
            )
        return precondition


class ReplaceAll(Change):
    """Replaces all rows of all tables.

    :param rows: encoded rows by table and name
    """

    __slots__ = ("rows",)

    def __init__(self, rows: parse.EncodedTables) -> None:
        self.rows = rows

    def describe(self) -> str:
        """Return a description; see the base class."""
        return "replace all tables"

    def apply(
        self, rows: parse.EncodedTables
    ) -> expression.Result[None, errors.Fault]:
        """Replace all rows; see the base class."""
        for table, old in rows.items():
            rows[table] = {
                name: _keep_credential(row, old.get(name))
                for name, row in self.rows.get(table, {}).items()
            }
        return expression.Ok(None)


class AddKey(Change):
    """Adds a key to a client account.

    :param account: the client account's name
    :param digest: the key's digest
    """

    __slots__ = ("account", "digest")

    def __init__(self, account: str, digest: str) -> None:
        self.account = account
        self.digest = digest

    def describe(self) -> str:
        """Return a description with the first eight digits of the digest."""
        return f"give key {self.digest[:8]} to accounts.{self.account}"

    def apply(
        self, rows: parse.EncodedTables
    ) -> expression.Result[None, errors.Fault]:
        """Add the key's digest; see the base class."""
        row = rows["accounts"].get(self.account)
        if row is None:
            return _reject_account(self.account)
        digests = sorted({*row["key_digests"], self.digest})
        rows["accounts"][self.account] = {**row, "key_digests": digests}
        return expression.Ok(None)


class RevokeKey(Change):
    """Revokes a key of a client account.

    :param account: the client account's name
    :param prefix: the first digits of the key's digest, at least eight
    """

    __slots__ = ("account", "prefix")

    def __init__(self, account: str, prefix: str) -> None:
        self.account = account
        self.prefix = prefix

    def describe(self) -> str:
        """Return a description; see the base class."""
        return f"withdraw key {self.prefix[:8]} of accounts.{self.account}"

    def apply(
        self, rows: parse.EncodedTables
    ) -> expression.Result[None, errors.Fault]:
        """Remove the key's digest; see the base class."""
        row = rows["accounts"].get(self.account)
        if row is None:
            return _reject_account(self.account)
        matching = [
            digest
            for digest in row["key_digests"]
            if digest.startswith(self.prefix)
        ]
        if len(matching) != 1:
            return refuse(
                errors.Code.NOT_FOUND,
                f"accounts.{self.account}",
                f"{len(matching)} keys begin with {self.prefix[:8]}",
            )
        remaining = [
            digest for digest in row["key_digests"] if digest != matching[0]
        ]
        rows["accounts"][self.account] = {**row, "key_digests": remaining}
        return expression.Ok(None)


def _check_row(
    rows: parse.EncodedTables, table: str, name: str, expected: str | None
) -> expression.Result[None, errors.Fault]:
    if table not in rows:
        known = ", ".join(parse.ROW_SCHEMAS)
        return expression.Error(
            columns.make_error(table, "", "", f"one of {known}").fault
        )
    actual = digest_row(rows[table].get(name))
    if expected is not None and actual != expected:
        return refuse(
            errors.Code.CONFLICT,
            f"{table}.{name}",
            f"the row's digest is {actual}, not {expected}",
        )
    return expression.Ok(None)


def _reject_account(
    account: str,
) -> expression.Result[typing.Any, errors.Fault]:
    return refuse(
        errors.Code.NOT_FOUND, f"accounts.{account}", "there is no such row"
    )


def refuse(
    code: errors.Code, place: str, message: str
) -> expression.Result[typing.Any, errors.Fault]:
    """Return a rejection that names its place in the tables.

    :param code: the fault's code
    :param place: table and row
    :param message: the reason
    :returns: the fault, as an error
    """
    return expression.Error(
        errors.Fault(
            code,
            errors.Step.TABLES,
            place,
            message=f"{place}: {message}",
        )
    )

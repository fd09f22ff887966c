"""Edits of the tables: an operator's changes, applied together."""

import typing

import expression

from mulberryway import errors
from mulberryway.tables import changes as parts
from mulberryway.tables import model
from mulberryway.tables import parse
from mulberryway.tables import validate

__all__ = ["Edit", "diff_tables"]

MAX_SUMMARY_CHARS = 300
# An edit without changes writes the active tables back to a platform whose
# stored tables are older.
RESTORE_SUMMARY = "restore what is in force"


class Edit:
    """Changes that are accepted or rejected together.

    :param edit_id: unique; a resent edit has the same id
    :param operator: the operator who made the edit
    :param changes: the changes, in order
    :param revision: the revision that the tables must have; none for any
    """

    __slots__ = ("edit_id", "operator", "changes", "revision")

    def __init__(
        self,
        edit_id: str,
        operator: str,
        changes: tuple[parts.Change, ...],
        revision: int | None = None,
    ) -> None:
        self.edit_id = edit_id
        self.operator = operator
        self.changes = changes
        self.revision = revision

    def describe(self) -> str:
        """Return a description for the history and the log."""
        text = "; ".join(change.describe() for change in self.changes)
        return (text or RESTORE_SUMMARY)[:MAX_SUMMARY_CHARS]

    def apply(
        self, tables: model.Tables
    ) -> expression.Result[model.Tables, errors.Fault]:
        """Apply the edit and validate the resulting tables.

        :param tables: the tables that the edit is applied to
        :returns: the next revision's tables, or a fault with the reason
        """
        if self.revision is not None and self.revision != tables.revision:
            return parts.refuse(
                errors.Code.CONFLICT,
                "tables",
                f"the edit was made from revision {self.revision}, "
                f"but revision {tables.revision} has been accepted",
            )
        rows = parse.encode_tables(tables)
        for change in self.changes:
            changed = change.apply(rows)
            if changed.is_error():
                return changed
        decoded = parse.decode_tables(rows, tables.revision + 1)
        return decoded.bind(
            lambda new: validate.validate_tables(new).map(lambda _: new)
        )


def diff_tables(old: model.Tables, new: model.Tables) -> list[str]:
    """Return the differences, one line for each value.

    :param old: the tables before
    :param new: the tables after
    :returns: lines that begin with ``+``, ``-`` or ``~``
    """
    before, after = parse.encode_tables(old), parse.encode_tables(new)
    return [
        line
        for table in parse.ROW_SCHEMAS
        for name in sorted(before[table].keys() | after[table].keys())
        for line in _diff_row(
            f"{table}.{name}",
            before[table].get(name),
            after[table].get(name),
        )
    ]


def _diff_row(
    place: str,
    old: dict[str, typing.Any] | None,
    new: dict[str, typing.Any] | None,
) -> list[str]:
    if old is None:
        return [f"+ {place}"]
    if new is None:
        return [f"- {place}"]
    return [
        f"~ {place}.{key}"
        if key in ("credential", "upstreams")
        else f"~ {place}.{key}: {old[key]} -> {new[key]}"
        for key in new
        if old[key] != new[key]
    ]

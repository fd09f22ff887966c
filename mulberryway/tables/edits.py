"""Edits of the tables: what an operator wants changed at once."""

import typing

import expression

from mulberryway import errors
from mulberryway.tables import changes as parts
from mulberryway.tables import model
from mulberryway.tables import parse
from mulberryway.tables import validate

__all__ = ["Edit", "diff_tables"]

MAX_SUMMARY_CHARS = 300
# An edit without changes brings an old platform forward.
RESTORE_SUMMARY = "restore what is in force"


class Edit:
    """What one operator wants changed at once.

    :param edit_id: unique; the same edit sent again has the same id
    :param operator: who wants it
    :param changes: its parts, in order
    :param revision: the revision that it must be made from; none for any
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
        """Return what it does, for the history and the log."""
        text = "; ".join(change.describe() for change in self.changes)
        return (text or RESTORE_SUMMARY)[:MAX_SUMMARY_CHARS]

    def apply(
        self, tables: model.Tables
    ) -> expression.Result[model.Tables, errors.Fault]:
        """Return the tables that the edit makes, checked with their join.

        :param tables: the tables that it is made from
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
        made = parse.decode_tables(rows, tables.revision + 1)
        return made.bind(
            lambda new: validate.validate_tables(new).map(lambda _: new)
        )


def diff_tables(old: model.Tables, new: model.Tables) -> list[str]:
    """Return what differs, one line for each value.

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

"""The edit history, which is stored in a segment of each root."""

import itertools
import typing

from mulberryway.tables import edits
from mulberryway.tables import root as roots

__all__ = ["HistoryEntry", "add_edit", "find_edit", "list_replaced_digests"]

# A tenth of a day's edits at the target fleet size, about 25 KB.
MAX_EDITS = 100
# Number of recent roots whose replaced segments are retained, because VMs that
# lag behind may still fetch them.
RETAINED_ROOTS = 8

HistoryEntry = dict[str, typing.Any]


def add_edit(
    past: list[HistoryEntry],
    edit: edits.Edit,
    root: roots.Root,
    replaced: set[str],
    wall_ms: int,
) -> list[HistoryEntry]:
    """Return the history after an edit.

    :param past: the previous entries, newest last
    :param edit: the edit
    :param root: the root on which the edit is based
    :param replaced: digests of the segments that the edit replaces
    :param wall_ms: the wall-clock time in ms, for display
    :returns: the most recent entries, newest last
    """
    entry = {
        "revision": root.revision + 1,
        "edit_id": edit.edit_id,
        "operator": edit.operator,
        "wall_ms": wall_ms,
        "summary": edit.describe(),
        "retired": sorted({*replaced, root.history} - {roots.EMPTY_DIGEST}),
    }
    retained = [*past, entry][-MAX_EDITS:]
    # Only the garbage collection uses the replaced digests, and only those
    # of recent edits.  They are dropped from older entries, because an apply
    # of all tables replaces every segment.
    older = [{**entry, "retired": []} for entry in retained[:-RETAINED_ROOTS]]
    return older + retained[-RETAINED_ROOTS:]


def find_edit(past: list[HistoryEntry], edit_id: str) -> int | None:
    """Return the revision of an edit, or None if it is not in the history.

    :param past: the entries of the history
    :param edit_id: the edit's id
    """
    return next(
        (entry["revision"] for entry in past if entry["edit_id"] == edit_id),
        None,
    )


def list_replaced_digests(past: list[HistoryEntry]) -> set[str]:
    """Return the digests of segments that recent edits replaced.

    :param past: the entries of the history, newest last
    """
    recent = past[-RETAINED_ROOTS:]
    return set(
        itertools.chain.from_iterable(entry["retired"] for entry in recent)
    )

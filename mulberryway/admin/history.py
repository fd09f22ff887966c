"""Past edits, as the segment that each root names keeps them."""

import itertools
import typing

from mulberryway.tables import edits
from mulberryway.tables import root as roots

__all__ = ["HistoryEntry", "add_edit", "find_edit", "list_replaced_digests"]

# A tenth of a day's edits at the target size, in some 25 KB.
MAX_EDITS = 100
# VMs that lag behind may still fetch the segments of these many roots.
RETAINED_ROOTS = 8

HistoryEntry = dict[str, typing.Any]


def add_edit(
    past: list[HistoryEntry],
    edit: edits.Edit,
    root: roots.Root,
    retired: set[str],
    wall_ms: int,
) -> list[HistoryEntry]:
    """Return the history that an edit makes.

    :param past: entries so far, the newest last
    :param edit: the edit
    :param root: the root that it is made from
    :param retired: digests that it replaces
    :param wall_ms: the time, for people
    :returns: the last entries, the newest last
    """
    entry = {
        "revision": root.revision + 1,
        "edit_id": edit.edit_id,
        "operator": edit.operator,
        "wall_ms": wall_ms,
        "summary": edit.describe(),
        "retired": sorted({*retired, root.history} - {roots.EMPTY_DIGEST}),
    }
    kept = [*past, entry][-MAX_EDITS:]
    # Only the collector reads what was replaced, and only of the last
    # edits; an apply of whole tables replaces every segment.
    old = [{**entry, "retired": []} for entry in kept[:-RETAINED_ROOTS]]
    return old + kept[-RETAINED_ROOTS:]


def find_edit(past: list[HistoryEntry], edit_id: str) -> int | None:
    """Return the revision that an edit made, if it is remembered.

    :param past: entries
    :param edit_id: the edit's own id
    """
    return next(
        (entry["revision"] for entry in past if entry["edit_id"] == edit_id),
        None,
    )


def list_replaced_digests(past: list[HistoryEntry]) -> set[str]:
    """Return the digests that recent edits replaced.

    :param past: entries, the newest last
    """
    recent = past[-RETAINED_ROOTS:]
    return set(
        itertools.chain.from_iterable(entry["retired"] for entry in recent)
    )

"""Software versions of upstreams that have ended since they were reported.

An upstream may start again under its name with another version.  Until it has
reported that, its entry tells the version of an incarnation that has ended.
"""

from mulberryway import tables

__all__ = ["UnprovenVersions", "is_unproven"]

PREFIX = "unproven:"
# Reports of one end by several requests.
SAME_END_MS = 900
# The last report of an incarnation that has ended is known within this time.
LAST_REPORT_MS = 2_000
# An upstream that has not ended, and reports nothing new, is trusted again.
MAX_DOUBT_MS = 60_000
MAX_UPSTREAMS = 512


class _End:
    """The end of an upstream, and the entry that it had then."""

    __slots__ = ("row", "at_ms")

    def __init__(self, row: tables.Upstream, at_ms: int) -> None:
        self.row = row
        self.at_ms = at_ms


class UnprovenVersions:
    """Ends of upstreams by name; not thread-safe."""

    __slots__ = ("_ends",)

    def __init__(self) -> None:
        self._ends: dict[str, _End] = {}

    def record_end(self, row: tables.Upstream, at_ms: int) -> bool:
        """Record that an upstream has ended.

        :param row: its row of the active tables
        :param at_ms: when that was found, in ms
        :returns: whether this end was not known
        """
        known = self._ends.get(row.name)
        if known is not None and at_ms - known.at_ms < SAME_END_MS:
            return False
        self._ends.pop(row.name, None)
        self._ends[row.name] = _End(row, at_ms)
        if len(self._ends) > MAX_UPSTREAMS:
            del self._ends[next(iter(self._ends))]
        return True

    def find_version(self, row: tables.Upstream, now_ms: int) -> str:
        """Return the version of an upstream.

        :param row: its entry
        :param now_ms: current time in ms
        :returns: a version that no other upstream has, if its own is unproven
        """
        end = self._ends.get(row.name)
        if end is None:
            return row.version
        age_ms = now_ms - end.at_ms
        has_reported = (
            row.position != end.row.position and age_ms >= LAST_REPORT_MS
        )
        if (
            row.started_ms != end.row.started_ms
            or has_reported
            or age_ms >= MAX_DOUBT_MS
        ):
            del self._ends[row.name]
            return row.version
        return f"{PREFIX}{row.name}:{end.at_ms}"


def is_unproven(version: str) -> bool:
    """Return whether a version stands for one that is not known.

    :param version: the version of a row of the tables
    """
    return version.startswith(PREFIX)

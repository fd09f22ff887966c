"""Points in the history of a store that may return from an older copy."""

import functools

__all__ = ["ORIGIN", "Position"]


@functools.total_ordering
class Position:
    """A state of the store or of one of its objects.

    The store gives out the same revisions again in the next era, so a
    revision alone has no order.

    :param era: the store's era; 0 if it is unknown
    :param revision: the store's revision within the era
    """

    __slots__ = ("era", "revision")

    def __init__(self, era: int, revision: int) -> None:
        self.era = era
        self.revision = revision

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Position):
            return NotImplemented
        return self._key() == other._key()

    def __lt__(self, other: "Position") -> bool:
        return self._key() < other._key()

    def __hash__(self) -> int:
        return hash(self._key())

    def __repr__(self) -> str:
        return f"{self.era}:{self.revision}"

    def describe(self) -> dict[str, int]:
        """Return the fields of a log line."""
        return {"era": self.era, "revision": self.revision}

    def _key(self) -> tuple[int, int]:
        return self.era, self.revision


# Below the position of every state of a store.
ORIGIN = Position(0, 0)

"""The platform stand-in's rates and counts of calls."""

import collections

__all__ = ["CallCounter", "TokenBucket"]


class TokenBucket:
    """A token bucket of one second's worth.

    :param per_s: calls a second; 0 for no limit
    """

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self._left = per_s
        self._at_s = 0.0

    def take(self, now_s: float, waiting: int = 0) -> bool:
        """Take one call.

        :param now_s: the present, in seconds
        :param waiting: watches that are open, each of which uses up one
            call a second
        :returns: false if the rate is used up
        """
        if not self.per_s:
            return True
        gained = (now_s - self._at_s) * max(self.per_s - waiting, 0)
        self._left = min(self._left + gained, self.per_s)
        self._at_s = now_s
        if self._left < 1:
            return False
        self._left -= 1
        return True


class CallCounter:
    """Counts calls by verb and kind, for checkers and benchmarks."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._bytes: collections.Counter[str] = collections.Counter()

    def note(self, verb: str, kind: str, size: int) -> None:
        """Count one call.

        :param verb: such as ``update``
        :param kind: the kind
        :param size: bytes of the body that was sent
        """
        self._counts[f"{verb} {kind}"] += 1
        self._bytes[f"{verb} {kind}"] += size

    def clear(self) -> None:
        """Begin again at zero."""
        self._counts.clear()
        self._bytes.clear()

    def show(self, watches: int) -> dict[str, object]:
        """Return the counts as JSON.

        :param watches: how many are open
        """
        return {
            "calls": dict(self._counts),
            "bytes": dict(self._bytes),
            "total": self._counts.total(),
            "watches": watches,
        }

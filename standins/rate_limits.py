"""Rate limits and call counts of the platform stand-in."""

import collections

__all__ = ["CallCounter", "TokenBucket"]


class TokenBucket:
    """Token bucket with a burst of one second's calls.

    :param per_s: calls per second; 0 for no limit
    """

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self._tokens = per_s
        self._at_s = 0.0

    def take(self, now_s: float, open_watches: int = 0) -> bool:
        """Take one token for a call.

        :param now_s: current time in seconds
        :param open_watches: number of open watches, each of which uses
            one call per second
        :returns: false if the rate is exceeded
        """
        if not self.per_s:
            return True
        refilled = (now_s - self._at_s) * max(self.per_s - open_watches, 0)
        self._tokens = min(self._tokens + refilled, self.per_s)
        self._at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class CallCounter:
    """Counts calls by verb and kind, for tests and benchmarks."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._bytes: collections.Counter[str] = collections.Counter()

    def note(self, verb: str, kind: str, size: int) -> None:
        """Count one call.

        :param verb: verb of the call, such as ``update``
        :param kind: kind of the object
        :param size: size of the request body in bytes
        """
        self._counts[f"{verb} {kind}"] += 1
        self._bytes[f"{verb} {kind}"] += size

    def clear(self) -> None:
        """Reset all counts."""
        self._counts.clear()
        self._bytes.clear()

    def show(self, watches: int) -> dict[str, object]:
        """Return the counts as a JSON object.

        :param watches: number of open watches
        """
        return {
            "calls": dict(self._counts),
            "bytes": dict(self._bytes),
            "total": self._counts.total(),
            "watches": watches,
        }

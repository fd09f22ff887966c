"""How long a model request has sought engines, and how often it has tried."""

__all__ = ["Search"]

# Tries in all, also those that reached nobody: dead engines are ejected by
# the first of them.
MOST_TRIES = 4
# Tries that found no room; the queue leaves a refusing engine alone for a
# while in between, so this many take longer than callers wait.
MOST_UNRESERVED = 16


class Search:
    """One search for engines: for a request, or for the rest of its stream.

    :param since_ms: since when the caller waits for the next event: the
        arrival of the request, or when its stream lost its engine
    :param has_begun: whether the caller has a part of the answer
    """

    __slots__ = ("since_ms", "has_begun", "_tries", "_unreserved")

    def __init__(self, since_ms: int, has_begun: bool = False) -> None:
        self.since_ms = since_ms
        self.has_begun = has_begun
        self._tries = 0
        self._unreserved = 0

    def note_try(self) -> None:
        """Count a try."""
        self._tries += 1

    def note_unreserved(self) -> None:
        """Take notice that the last try has found no room."""
        self._unreserved += 1

    def is_over(self) -> bool:
        """Tell whether another try would most likely fail as well."""
        return (
            self._tries - self._unreserved >= MOST_TRIES
            or self._unreserved >= MOST_UNRESERVED
        )

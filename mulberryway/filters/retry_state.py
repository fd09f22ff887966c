"""How long a model request has sought engines, and how often it has tried."""

from mulberryway import errors

__all__ = ["EngineSearch", "RetryState"]

# Tries in all, also those that reached nobody: dead engines are ejected by
# the first of them.
MAX_ATTEMPTS = 4
# Tries that found no room; the queue leaves a refusing engine alone for a
# while in between, so this many take longer than callers wait.
MAX_RESERVATION_FAILURES = 16
# With these nothing of the request was sent, so a try counts as no attempt.
UNSENT = frozenset((errors.Code.UPSTREAM_UNREACHABLE, errors.Code.CANCELLED))
UNSENT_STEPS = frozenset((errors.Step.QUEUE, errors.Step.RESERVE))


class EngineSearch:
    """One search for engines: for a request, or for the rest of its stream.

    :param since_ms: since when the caller waits for the next event: the
        arrival of the request, or when its stream lost its engine
    :param has_partial_answer: whether the caller has a part of the answer
    """

    __slots__ = ("since_ms", "has_partial_answer", "_tries", "_unreserved")

    def __init__(
        self, since_ms: int, has_partial_answer: bool = False
    ) -> None:
        self.since_ms = since_ms
        self.has_partial_answer = has_partial_answer
        self._tries = 0
        self._unreserved = 0

    def record_attempt(self) -> None:
        """Count a try."""
        self._tries += 1

    def record_reservation_failure(self) -> None:
        """Take notice that the last try has found no room."""
        self._unreserved += 1

    def is_over(self) -> bool:
        """Tell whether another try would most likely fail as well."""
        return (
            self._tries - self._unreserved >= MAX_ATTEMPTS
            or self._unreserved >= MAX_RESERVATION_FAILURES
        )


class RetryState:
    """The tries of one request, over all its searches.

    ``number`` counts them, and ``search`` is the search that goes on.

    :param arrived_ms: when the request came
    """

    __slots__ = ("number", "search", "_unsent")

    def __init__(self, arrived_ms: int) -> None:
        self.number = 0
        self.search = EngineSearch(arrived_ms)
        self._unsent = 0

    def begin_search(self, now_ms: int) -> None:
        """Count time and tries anew for the rest of a stream.

        :param now_ms: when the stream lost its engine
        """
        self.search = EngineSearch(now_ms, has_partial_answer=True)

    def record_attempt(self) -> None:
        """Count a try."""
        self.number += 1
        self.search.record_attempt()

    def record_failure(self, fault: errors.Fault) -> None:
        """Take notice of how a try has ended.

        :param fault: what befell it
        """
        self._unsent += fault.step in UNSENT_STEPS or fault.code in UNSENT
        if fault.step is errors.Step.RESERVE:
            self.search.record_reservation_failure()

    def count_sent_attempts(self, sent_to: int) -> int:
        """Return how many of the route's attempts are used.

        :param sent_to: how many engines got the request, refused or not
        """
        return max(self.number - self._unsent, sent_to)

"""Counts a model request's attempts, by search and in total."""

from mulberryway import errors

__all__ = ["EngineSearch", "RetryState"]

# All attempts of a search, including those that reached no engine: the first
# one ejects a dead engine.
MAX_ATTEMPTS = 4
# Attempts without a reservation.  The scheduler backs off from a rejecting
# engine in between, so this many take longer than callers wait.
MAX_RESERVATION_FAILURES = 16
# With these nothing was sent, so the route's limit does not count the attempt.
UNSENT = frozenset((errors.Code.UPSTREAM_UNREACHABLE, errors.Code.CANCELLED))
UNSENT_STEPS = frozenset((errors.Step.QUEUE, errors.Step.RESERVE))


class EngineSearch:
    """One search for engines, for a request or for the rest of its stream.

    :param since_ms: the time since when the caller has waited for the next
        event, in ms: the request's arrival, or when its stream lost its engine
    :param has_partial_answer: whether the caller has received part of the
        answer
    """

    __slots__ = (
        "since_ms",
        "has_partial_answer",
        "_attempts",
        "_reservation_failures",
    )

    def __init__(
        self, since_ms: int, has_partial_answer: bool = False
    ) -> None:
        self.since_ms = since_ms
        self.has_partial_answer = has_partial_answer
        self._attempts = 0
        self._reservation_failures = 0

    def record_attempt(self) -> None:
        """Count an attempt."""
        self._attempts += 1

    def record_reservation_failure(self) -> None:
        """Record that the last attempt got no reservation."""
        self._reservation_failures += 1

    def is_exhausted(self) -> bool:
        """Return whether a further attempt would most likely fail too."""
        return (
            self._attempts - self._reservation_failures >= MAX_ATTEMPTS
            or self._reservation_failures >= MAX_RESERVATION_FAILURES
        )


class RetryState:
    """The attempts of one request, over all its searches.

    ``number`` counts the attempts, and ``search`` is the current search.

    :param arrived_ms: when the request arrived, in ms
    """

    __slots__ = ("number", "search", "_unsent")

    def __init__(self, arrived_ms: int) -> None:
        self.number = 0
        self.search = EngineSearch(arrived_ms)
        self._unsent = 0

    def begin_search(self, now_ms: int) -> None:
        """Restart the time and the attempt count for the rest of a stream.

        :param now_ms: when the stream lost its engine, in ms
        """
        self.search = EngineSearch(now_ms, has_partial_answer=True)

    def record_attempt(self) -> None:
        """Count an attempt."""
        self.number += 1
        self.search.record_attempt()

    def record_failure(self, fault: errors.Fault) -> None:
        """Record the fault that ended an attempt.

        :param fault: the fault
        """
        self._unsent += fault.step in UNSENT_STEPS or fault.code in UNSENT
        if fault.step is errors.Step.RESERVE:
            self.search.record_reservation_failure()

    def count_sent_attempts(self, sent_to: int) -> int:
        """Return how many of the route's allowed attempts have been used.

        :param sent_to: the number of engines that received the request,
            including those that rejected it
        """
        return max(self.number - self._unsent, sent_to)

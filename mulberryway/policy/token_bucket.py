"""A token bucket with exact arithmetic, refunds and tokens on loan."""

import bisect
import operator

__all__ = ["TokenBucket"]

MS_IN_S = 1_000
# Clocks of VMs run apart by some hundred millionths.  A bucket fills a
# thousandth slower than its rate, so that by no clock an account gets more.
DRIFT_PER_MILLE = 1
REFILL_PER_MILLE = 1_000 - DRIFT_PER_MILLE
UNITS_PER_TOKEN = MS_IN_S * 1_000
# Bounds the memory of one bucket; fewer marks only make refunds smaller.
MAX_MARKS = 256


class _Mark:
    """A numbered moment, and the most that was held at or after it."""

    __slots__ = ("stamp", "highest")

    def __init__(self, stamp: int, highest: int) -> None:
        self.stamp = stamp
        self.highest = highest


class TokenBucket:
    """One of several equal parts of a rate and a burst.

    The level is kept in whole units of a token / (1,000,000 x parts), so
    that no rounding ever adds up to a token too many.

    What was lent and what is left never exceed the capacity together: a
    bucket that refilled while a borrower still holds its tokens would let
    the account have its burst twice.

    :param rate: tokens a second, of all parts together
    :param burst: tokens, of all parts together
    :param parts: into how many equal parts rate and burst are divided
    :param now_ms: the present
    :param is_full: whether it begins full; else it begins empty
    """

    __slots__ = (
        "rate",
        "burst",
        "parts",
        "_scale",
        "_level",
        "_on_loan",
        "_updated_ms",
        "_marks",
        "_last_stamp",
    )

    def __init__(
        self,
        rate: int,
        burst: int,
        parts: int,
        now_ms: int,
        is_full: bool = False,
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.parts = parts
        self._scale = UNITS_PER_TOKEN * parts
        self._level = burst * UNITS_PER_TOKEN if is_full else 0
        self._on_loan = 0
        self._updated_ms = now_ms
        # Ordered by stamp, with strictly falling ``highest``.
        self._marks: list[_Mark] = []
        self._last_stamp = 0

    def read_level(self, now_ms: int) -> int:
        """Return the whole tokens that can be taken now.

        :param now_ms: the present
        :returns: tokens
        """
        self._refill(now_ms)
        return self._level // self._scale

    def take(self, tokens: int, now_ms: int) -> bool:
        """Take tokens if there are enough.

        :param tokens: how many
        :param now_ms: the present
        :returns: whether they were taken
        """
        self._refill(now_ms)
        if tokens * self._scale > self._level:
            return False
        self._level -= tokens * self._scale
        return True

    def stamp(self, now_ms: int) -> int:
        """Number this moment, so that a refund can refer to it.

        :param now_ms: the present
        :returns: a number; later moments have larger ones
        """
        self._refill(now_ms)
        self._last_stamp += 1
        held = self._level + self._on_loan
        if not self._marks or self._marks[-1].highest > held:
            self._marks.append(_Mark(self._last_stamp, held))
        if len(self._marks) > MAX_MARKS:
            self._marks = self._marks[::2]
        return self._last_stamp

    def refund(self, tokens: int, stamp: int, now_ms: int) -> int:
        """Put back tokens that were taken but not used.

        A late refund must not bring more than if the tokens had never been
        taken: a bucket that was full again in the meantime would have let
        them overflow.  Without this limit a caller that reserves much, uses
        little and waits gets its burst twice in one window.

        :param tokens: how many
        :param stamp: the moment right after they were taken
        :param now_ms: the present
        :returns: how many were put back, rounded down
        """
        self._refill(now_ms)
        first = self._find_mark(stamp)
        if first is None:
            return 0
        highest = self._marks[first].highest
        units = max(min(tokens * self._scale, self._capacity() - highest), 0)
        for mark in self._marks[first:]:
            mark.highest += units
        self._raise_marks(self._marks[first].highest, first)
        self._level += units
        return units // self._scale

    def lend(self, tokens: int, now_ms: int) -> bool:
        """Take tokens that somebody else may use for a while.

        :param tokens: how many
        :param now_ms: the present
        :returns: whether they were taken
        """
        if not self.take(tokens, now_ms):
            return False
        self._on_loan += tokens * self._scale
        return True

    def end_loan(self, tokens: int, returned: int, now_ms: int) -> None:
        """Give the capacity back that a loan kept free.

        :param tokens: how many were lent
        :param returned: how many of them came back unused
        :param now_ms: the present
        """
        self._refill(now_ms)
        self._on_loan -= tokens * self._scale
        self._level += returned * self._scale

    def change(self, rate: int, burst: int, now_ms: int) -> None:
        """Go over to another rate and burst; brings no tokens by itself.

        :param rate: tokens a second, of all parts together
        :param burst: tokens, of all parts together
        :param now_ms: the present
        """
        self._refill(now_ms)
        self.rate = rate
        self.burst = burst
        self._level = max(
            min(self._level, self._capacity() - self._on_loan), 0
        )

    def time_until(self, tokens: int, now_ms: int) -> int | None:
        """Return how long it takes until so many tokens can be there.

        :param tokens: how many
        :param now_ms: the present
        :returns: milliseconds; none if they never fit
        """
        self._refill(now_ms)
        wanted = tokens * self._scale
        if wanted > self._capacity():
            return None
        lacking = max(wanted - self._level, 0)
        if lacking == 0:
            return 0
        return -(-lacking // self._count_refill()) if self.rate else None

    def _capacity(self) -> int:
        return self.burst * UNITS_PER_TOKEN

    def _count_refill(self) -> int:
        """Return the units that come in one millisecond."""
        return self.rate * REFILL_PER_MILLE

    def _refill(self, now_ms: int) -> None:
        # A clock that seems to run backwards must not take or give tokens.
        elapsed_ms = max(now_ms - self._updated_ms, 0)
        self._updated_ms += elapsed_ms
        room = max(self._capacity() - self._on_loan - self._level, 0)
        self._level += min(self._count_refill() * elapsed_ms, room)
        self._note_level()

    def _note_level(self) -> None:
        self._raise_marks(self._level + self._on_loan, len(self._marks))

    def _raise_marks(self, highest: int, end: int) -> None:
        """Merge the marks before ``end`` that saw less than ``highest``."""
        start = end
        while start > 0 and self._marks[start - 1].highest <= highest:
            start -= 1
        if start < end:
            merged = _Mark(self._marks[start].stamp, highest)
            self._marks[start:end] = [merged]

    def _find_mark(self, stamp: int) -> int | None:
        """Return the last mark at or before a numbered moment."""
        index = bisect.bisect_right(
            self._marks, stamp, key=operator.attrgetter("stamp")
        )
        return index - 1 if index else None

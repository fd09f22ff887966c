"""A token bucket with exact arithmetic, refunds and loans."""

import bisect
import operator

__all__ = ["TokenBucket"]

MS_IN_S = 1_000
# Clock rates of VMs differ by some hundred parts per million.  Buckets refill
# one per mille slower than their rate, so that no clock grants an account more
# than its rate.
DRIFT_PER_MILLE = 1
REFILL_PER_MILLE = 1_000 - DRIFT_PER_MILLE
UNITS_PER_TOKEN = MS_IN_S * 1_000
# Bounds the memory of one bucket; with fewer marks refunds only get smaller.
MAX_MARKS = 256


class _Mark:
    """A numbered point in time, and the maximum level at or after it."""

    __slots__ = ("stamp", "highest")

    def __init__(self, stamp: int, highest: int) -> None:
        self.stamp = stamp
        self.highest = highest


class TokenBucket:
    """One of several equal partitions of a rate and a burst.

    The level is kept in integer units of a token / (1,000,000 x parts), so
    that rounding errors never add up to a token.

    The level and the tokens on loan together never exceed the capacity.  If
    a bucket refilled while a borrower still holds its tokens, the account
    would be allowed a burst twice.

    :param rate: tokens per second, summed over all partitions
    :param burst: tokens, summed over all partitions
    :param parts: number of equal partitions of rate and burst
    :param now_ms: current time in ms
    :param is_full: whether it starts full; otherwise it starts empty
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
        # Ordered by stamp, with strictly decreasing ``highest``.
        self._marks: list[_Mark] = []
        self._last_stamp = 0

    def read_level(self, now_ms: int) -> int:
        """Return the number of tokens that can be taken now, rounded down.

        :param now_ms: current time in ms
        :returns: tokens
        """
        self._refill(now_ms)
        return self._level // self._scale

    def take(self, tokens: int, now_ms: int) -> bool:
        """Take tokens if there are enough.

        :param tokens: number of tokens
        :param now_ms: current time in ms
        :returns: whether they were taken
        """
        self._refill(now_ms)
        if tokens * self._scale > self._level:
            return False
        self._level -= tokens * self._scale
        return True

    def mark(self, now_ms: int) -> int:
        """Mark the current time, for later refunds to refer to.

        :param now_ms: current time in ms
        :returns: number of the mark, larger than all earlier ones
        """
        self._refill(now_ms)
        self._last_stamp += 1
        total = self._level + self._on_loan
        if not self._marks or self._marks[-1].highest > total:
            self._marks.append(_Mark(self._last_stamp, total))
        if len(self._marks) > MAX_MARKS:
            self._marks = self._marks[::2]
        return self._last_stamp

    def refund(self, tokens: int, stamp: int, now_ms: int) -> int:
        """Refund tokens that were taken but not used.

        A late refund must not leave more tokens than if they had never been
        taken: if the bucket was full in the meantime, they would have
        overflowed.  Without this limit, a caller that reserves many tokens,
        uses few and waits gets its burst twice in one window.

        :param tokens: number of tokens
        :param stamp: the mark made right after they were taken
        :param now_ms: current time in ms
        :returns: number of tokens refunded, rounded down
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
        """Take tokens that another VM or a request may use for a while.

        :param tokens: number of tokens
        :param now_ms: current time in ms
        :returns: whether they were taken
        """
        if not self.take(tokens, now_ms):
            return False
        self._on_loan += tokens * self._scale
        return True

    def end_loan(self, tokens: int, returned: int, now_ms: int) -> None:
        """Free the capacity that was reserved behind a loan.

        :param tokens: number of tokens lent
        :param returned: number of them that were returned unused
        :param now_ms: current time in ms
        """
        self._refill(now_ms)
        self._on_loan -= tokens * self._scale
        self._level += returned * self._scale

    def update_limits(self, rate: int, burst: int, now_ms: int) -> None:
        """Switch to another rate and burst without adding tokens.

        :param rate: tokens per second, summed over all partitions
        :param burst: tokens, summed over all partitions
        :param now_ms: current time in ms
        """
        self._refill(now_ms)
        self.rate = rate
        self.burst = burst
        self._level = max(
            min(self._level, self._capacity() - self._on_loan), 0
        )

    def time_until(self, tokens: int, now_ms: int) -> int | None:
        """Return the time until a number of tokens can be available.

        :param tokens: number of tokens
        :param now_ms: current time in ms
        :returns: time in ms, or None if they exceed the capacity
        """
        self._refill(now_ms)
        requested = tokens * self._scale
        if requested > self._capacity():
            return None
        missing = max(requested - self._level, 0)
        if missing == 0:
            return 0
        return -(-missing // self._get_refill_per_ms()) if self.rate else None

    def _capacity(self) -> int:
        return self.burst * UNITS_PER_TOKEN

    def _get_refill_per_ms(self) -> int:
        """Return the units that are refilled in one millisecond."""
        return self.rate * REFILL_PER_MILLE

    def _refill(self, now_ms: int) -> None:
        # A clock that runs backwards must not add or remove tokens.
        elapsed_ms = max(now_ms - self._updated_ms, 0)
        self._updated_ms += elapsed_ms
        free_units = max(self._capacity() - self._on_loan - self._level, 0)
        self._level += min(self._get_refill_per_ms() * elapsed_ms, free_units)
        self._update_marks()

    def _update_marks(self) -> None:
        self._raise_marks(self._level + self._on_loan, len(self._marks))

    def _raise_marks(self, highest: int, end: int) -> None:
        """Merge the marks before ``end`` whose maximum is not higher."""
        start = end
        while start > 0 and self._marks[start - 1].highest <= highest:
            start -= 1
        if start < end:
            merged = _Mark(self._marks[start].stamp, highest)
            self._marks[start:end] = [merged]

    def _find_mark(self, stamp: int) -> int | None:
        """Return the index of the last mark at or before a stamp."""
        index = bisect.bisect_right(
            self._marks, stamp, key=operator.attrgetter("stamp")
        )
        return index - 1 if index else None

"""Clocks in whole milliseconds, and deadlines."""

import abc
import time

__all__ = ["Clock", "Deadline", "ManualClock", "SystemClock"]

NS_IN_MS = 1_000_000


class Clock(abc.ABC):
    """Base class of the clocks from which all code reads the time."""

    @abc.abstractmethod
    def now_ms(self) -> int:
        """Return milliseconds since boot, including suspended time."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since 1970; for logs and displays only."""

    @abc.abstractmethod
    def sleep_ms(self, duration_ms: int) -> None:
        """Block for the given duration.

        :param duration_ms: the duration in ms
        """


class SystemClock(Clock):
    """The operating system's clock.

    It includes the time for which the machine was suspended.  Otherwise a
    lease holder on a VM that was paused for a minute would still consider
    its lease valid, and there would be two holders at once.
    """

    def now_ms(self) -> int:
        """Return milliseconds since boot, including suspended time."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_IN_MS

    def wall_ms(self) -> int:
        """Return milliseconds since 1970; for logs and displays only."""
        return time.time_ns() // NS_IN_MS

    def sleep_ms(self, duration_ms: int) -> None:
        """Block for the given duration.

        :param duration_ms: the duration in ms
        """
        time.sleep(max(duration_ms, 0) / 1000)


class ManualClock(Clock):
    """A clock for tests that advances only on request."""

    def __init__(self, now_ms: int = 0) -> None:
        self._now_ms = now_ms

    def now_ms(self) -> int:
        """Return the current value of the clock in ms."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current value of the clock in ms."""
        return self._now_ms

    def sleep_ms(self, duration_ms: int) -> None:
        """Advance the clock instead of waiting.

        :param duration_ms: the duration in ms
        """
        self.advance_ms(max(duration_ms, 0))

    def advance_ms(self, duration_ms: int) -> None:
        """Advance the clock.

        :param duration_ms: the duration in ms
        """
        self._now_ms += duration_ms


class Deadline:
    """A point in time after which an operation is no longer allowed.

    :param at_ms: the time in ms, by the clock that later calls use
    """

    __slots__ = ("at_ms",)

    def __init__(self, at_ms: int) -> None:
        self.at_ms = at_ms

    def left_ms(self, now_ms: int) -> int:
        """Return the remaining time in ms, at least 0.

        :param now_ms: the current time in ms, by the clock of the deadline
        :returns: the remaining time in ms
        """
        return max(self.at_ms - now_ms, 0)

    def has_passed(self, now_ms: int) -> bool:
        """Return whether the deadline has been reached.

        :param now_ms: the current time in ms, by the clock of the deadline
        :returns: true from the deadline's own millisecond on
        """
        return now_ms >= self.at_ms

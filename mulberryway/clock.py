"""Time in whole milliseconds, and clocks that tests can turn by hand."""

import abc
import time

__all__ = ["Clock", "Deadline", "ManualClock", "SystemClock"]

NS_IN_MS = 1_000_000


class Clock(abc.ABC):
    """Where every part of the program takes its time from."""

    @abc.abstractmethod
    def now_ms(self) -> int:
        """Return milliseconds since boot, suspended time included."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since 1970, for logs and displays only."""

    @abc.abstractmethod
    def sleep_ms(self, duration_ms: int) -> None:
        """Wait for a while.

        :param duration_ms: how long, in milliseconds
        """


class SystemClock(Clock):
    """The machine's clock.

    It counts the time for which the machine was suspended.  A lease holder
    on a VM that was paused for a minute would otherwise believe that its
    lease still runs, and two holders would act at once.
    """

    def now_ms(self) -> int:
        """Return milliseconds since boot, suspended time included."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_IN_MS

    def wall_ms(self) -> int:
        """Return milliseconds since 1970, for logs and displays only."""
        return time.time_ns() // NS_IN_MS

    def sleep_ms(self, duration_ms: int) -> None:
        """Wait for a while.

        :param duration_ms: how long, in milliseconds
        """
        time.sleep(max(duration_ms, 0) / 1000)


class ManualClock(Clock):
    """A clock that moves only when a test moves it."""

    def __init__(self, now_ms: int = 0) -> None:
        self._now_ms = now_ms

    def now_ms(self) -> int:
        """Return the time that was set, in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the time that was set, in milliseconds."""
        return self._now_ms

    def sleep_ms(self, duration_ms: int) -> None:
        """Move the clock on instead of waiting.

        :param duration_ms: by how much, in milliseconds
        """
        self.advance_ms(max(duration_ms, 0))

    def advance_ms(self, duration_ms: int) -> None:
        """Move the clock on.

        :param duration_ms: by how much, in milliseconds
        """
        self._now_ms += duration_ms


class Deadline:
    """A point in time after which an act is no longer allowed."""

    __slots__ = ("at_ms",)

    def __init__(self, at_ms: int) -> None:
        self.at_ms = at_ms

    def left_ms(self, now_ms: int) -> int:
        """Return the milliseconds that are left, never below zero.

        :param now_ms: the present, by the clock that set the deadline
        :returns: milliseconds
        """
        return max(self.at_ms - now_ms, 0)

    def has_passed(self, now_ms: int) -> bool:
        """Tell whether the deadline has been reached.

        :param now_ms: the present, by the clock that set the deadline
        :returns: true from the deadline's own millisecond on
        """
        return now_ms >= self.at_ms

"""Runs time-based expiry on a separate thread."""

import collections.abc

from mulberryway import clock
from mulberryway.controllers import base

__all__ = ["ExpiryController"]

# Period while nothing is due; a change wakes the thread earlier.
IDLE_MS = 60_000


class ExpiryController(base.Controller):
    """Calls a function whenever an entry expires.

    A controller that checks for expired entries between two blocking calls
    notices them only when the call ends, which may be seconds late.

    :param name: the thread's name
    :param clock_: the clock
    :param expire: removes expired entries; must not block
    :param find_due_ms: returns when the next entry expires, in ms, or None
    """

    def __init__(
        self,
        name: str,
        clock_: clock.Clock,
        expire: collections.abc.Callable[[], None],
        find_due_ms: collections.abc.Callable[[], int | None],
    ) -> None:
        super().__init__(name, clock_, IDLE_MS)
        self._expire = expire
        self._find_due_ms = find_due_ms

    def step(self) -> None:
        """Remove expired entries and schedule the next step."""
        self._expire()
        due_ms = self._find_due_ms()
        if due_ms is None:
            self.period_ms = IDLE_MS
            return
        left_ms = due_ms - self.clock.now_ms()
        self.period_ms = min(max(left_ms, 1), IDLE_MS)

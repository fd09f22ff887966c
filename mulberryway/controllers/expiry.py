"""Does what is due by time, whatever calls other threads wait for."""

import collections.abc

from mulberryway import clock
from mulberryway.controllers import base

__all__ = ["ExpiryController"]

# How often to look where nothing is due; a change wakes the thread.
IDLE_MS = 60_000


class ExpiryController(base.Controller):
    """Calls a function whenever something of an owner's state is due.

    A controller that does this between two calls of its own does it when the
    call ends, which may be seconds late.

    :param name: the thread's name
    :param clock_: where the time comes from
    :param expire: does what is due; must not block
    :param find_due_ms: returns when something is due next; none if nothing
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
        """Do what is due, and find out when to look again."""
        self._expire()
        due_ms = self._find_due_ms()
        if due_ms is None:
            self.period_ms = IDLE_MS
            return
        left_ms = due_ms - self.clock.now_ms()
        self.period_ms = min(max(left_ms, 1), IDLE_MS)

"""Attempts that wait for their verdicts, served many at a time."""

import collections.abc
import threading

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.policy import claims

__all__ = ["ClaimQueue", "ClaimResult", "PendingClaim", "refuse"]

# A batch is bounded so that a slot stays far below the platform's megabyte
# and one caller's wait does not grow with everybody's.
MAX_BATCH_SIZE = 256
RETRY_AFTER_MS = 1_000
RESOLVE_LOCK = threading.Lock()

ClaimResult = expression.Result[claims.Decision, errors.Fault]


class PendingClaim:
    """One attempt that waits for its verdict.

    :param request: its wish
    :param is_own: whether it waits on this VM, so that this VM knows when
        it will not run; another VM's attempt may go on by another way
    """

    __slots__ = ("request", "is_own", "result", "may_be_written")

    def __init__(
        self, request: claims.ClaimRequest, is_own: bool = True
    ) -> None:
        self.request = request
        self.is_own = is_own
        self.result: ClaimResult | None = None
        # Its claim was sent, so it may stand in the log.
        self.may_be_written = False

    def settle(self, result: ClaimResult) -> bool:
        """Set the result unless there is one already.

        An attempt may stand in two queues, the keeper's and this VM's own.
        If one told it "not run" and the other let it run, its claim would
        be released under it and the call would run a second time; so the
        first result stays, and whoever comes second is told.

        :param result: the verdict, or a fault
        :returns: whether the attempt gets it
        """
        with RESOLVE_LOCK:
            if self.result is None:
                self.result = result
                return True
            return self.result is result

    def mark_sent(self) -> bool:
        """Note that its claim is about to be sent.

        :returns: false if it has a result already
        """
        with RESOLVE_LOCK:
            self.may_be_written |= self.result is None
            return self.result is None


Serve = collections.abc.Callable[[list[PendingClaim], clock.Deadline], None]


class ClaimQueue:
    """Lets whoever comes first serve all that wait.

    Whoever comes while nobody serves does so for all that wait; the others
    wait for that.  So a batch holds all that came during the one before.

    :param clock_: where the time comes from
    :param serve: settles a batch; called by one thread at a time
    :param min_interval_ms: the least time between two batches
    """

    def __init__(
        self, clock_: clock.Clock, serve: Serve, min_interval_ms: int = 0
    ) -> None:
        self._clock = clock_
        self._serve = serve
        self._pace_ms = min_interval_ms
        self._served_ms = clock_.now_ms() - min_interval_ms
        self._lock = threading.Lock()
        self._serving = threading.Lock()
        self._waiters: list[PendingClaim] = []

    def submit(
        self, waiters: list[PendingClaim], deadline: clock.Deadline
    ) -> None:
        """Wait until attempts have their verdicts.

        :param waiters: the attempts; each has a result afterwards
        :param deadline: when those that still wait are refused
        """
        with self._lock:
            self._waiters += waiters
        while any(waiter.result is None for waiter in waiters):
            left_s = deadline.left_ms(self._clock.now_ms()) / 1000
            if not self._serving.acquire(timeout=left_s):
                self._give_up(waiters)
                return
            try:
                if any(waiter.result is None for waiter in waiters):
                    self._serve_next(deadline)
            finally:
                self._serving.release()

    def run_batch_now(self, deadline: clock.Deadline) -> bool:
        """Serve once, also if nobody waits; the pace is for attempts only.

        :param deadline: when to give up
        :returns: whether it came to that
        """
        left_s = deadline.left_ms(self._clock.now_ms()) / 1000
        if not self._serving.acquire(timeout=left_s):
            return False
        try:
            self._serve(self._take_batch(), deadline)
        finally:
            self._serving.release()
        return True

    def _serve_next(self, deadline: clock.Deadline) -> None:
        now_ms = self._clock.now_ms()
        pause_ms = self._served_ms + self._pace_ms - now_ms
        self._clock.sleep_ms(min(pause_ms, deadline.left_ms(now_ms)))
        self._served_ms = self._clock.now_ms()
        self._serve(self._take_batch(), deadline)

    def _take_batch(self) -> list[PendingClaim]:
        with self._lock:
            batch = self._waiters[:MAX_BATCH_SIZE]
            del self._waiters[:MAX_BATCH_SIZE]
        return batch

    def _give_up(self, waiters: list[PendingClaim]) -> None:
        fault = refuse("the claim was not made in time")
        with self._lock:
            self._waiters = [
                one for one in self._waiters if one not in waiters
            ]
        for waiter in waiters:
            waiter.settle(expression.Error(fault))


def refuse(message: str) -> errors.Fault:
    """Return the fault of an attempt that will not run its call.

    :param message: why
    """
    return errors.Fault(
        errors.Code.PLATFORM_UNAVAILABLE,
        errors.Step.PLATFORM,
        message=message,
        retry_after_ms=RETRY_AFTER_MS,
    )

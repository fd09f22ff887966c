"""Queue that resolves pending claims in batches."""

import collections.abc
import threading

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.policy import claims

__all__ = ["ClaimQueue", "ClaimResult", "PendingClaim", "refuse"]

# The limit keeps a slot far below the platform's object size limit of one
# megabyte, and bounds the time that a caller waits for one batch.
MAX_BATCH_SIZE = 256
RETRY_AFTER_MS = 1_000
RESOLVE_LOCK = threading.Lock()

ClaimResult = expression.Result[claims.Decision, errors.Fault]


class PendingClaim:
    """Claim request of an attempt that has no result yet.

    :param request: the claim request
    :param is_own: whether the attempt waits on this VM, which then decides
        whether it runs; another VM's attempt may still get its claim from
        another writer
    """

    __slots__ = ("request", "is_own", "result", "may_be_written")

    def __init__(
        self, request: claims.ClaimRequest, is_own: bool = True
    ) -> None:
        self.request = request
        self.is_own = is_own
        self.result: ClaimResult | None = None
        # Set before the claim is sent: it may be in the log from then on.
        self.may_be_written = False

    def resolve(self, result: ClaimResult) -> bool:
        """Set the result unless there is one already.

        An attempt may be in two queues, the coordinator's and this VM's own.
        If one rejected it and the other granted it, its claim would be
        released while the call runs, and the call could run a second time.
        Therefore the first result wins.

        :param result: the decision, or a fault
        :returns: whether this is now the attempt's result
        """
        with RESOLVE_LOCK:
            if self.result is None:
                self.result = result
                return True
            return self.result is result

    def mark_sent(self) -> bool:
        """Record that the claim is about to be sent.

        :returns: False if it already has a result
        """
        with RESOLVE_LOCK:
            self.may_be_written |= self.result is None
            return self.result is None


Serve = collections.abc.Callable[[list[PendingClaim], clock.Deadline], None]


class ClaimQueue:
    """Resolves pending claims in batches on the callers' threads.

    A caller that finds no batch in progress runs the next one for all
    pending claims; the others wait for it.  So a batch holds all claims
    that arrived during the one before.

    :param clock_: the clock
    :param serve: resolves a batch; called by one thread at a time
    :param min_interval_ms: minimum time between two batches, in milliseconds
    """

    def __init__(
        self, clock_: clock.Clock, serve: Serve, min_interval_ms: int = 0
    ) -> None:
        self._clock = clock_
        self._serve = serve
        self._min_interval_ms = min_interval_ms
        self._last_batch_ms = clock_.now_ms() - min_interval_ms
        self._lock = threading.Lock()
        self._serving = threading.Lock()
        self._pending: list[PendingClaim] = []

    def submit(
        self, pending_claims: list[PendingClaim], deadline: clock.Deadline
    ) -> None:
        """Wait until claims are resolved.

        :param pending_claims: the claims; each has a result afterwards
        :param deadline: when the claims that are still pending are rejected
        """
        with self._lock:
            self._pending += pending_claims
        while any(pending.result is None for pending in pending_claims):
            left_s = deadline.left_ms(self._clock.now_ms()) / 1000
            if not self._serving.acquire(timeout=left_s):
                self._time_out(pending_claims)
                return
            try:
                if any(pending.result is None for pending in pending_claims):
                    self._run_next_batch(deadline)
            finally:
                self._serving.release()

    def run_batch_now(self, deadline: clock.Deadline) -> bool:
        """Run one batch, even an empty one, ignoring the minimum interval.

        :param deadline: when to stop waiting for the batch in progress
        :returns: whether a batch was run
        """
        left_s = deadline.left_ms(self._clock.now_ms()) / 1000
        if not self._serving.acquire(timeout=left_s):
            return False
        try:
            self._serve(self._take_batch(), deadline)
        finally:
            self._serving.release()
        return True

    def _run_next_batch(self, deadline: clock.Deadline) -> None:
        now_ms = self._clock.now_ms()
        delay_ms = self._last_batch_ms + self._min_interval_ms - now_ms
        self._clock.sleep_ms(min(delay_ms, deadline.left_ms(now_ms)))
        self._last_batch_ms = self._clock.now_ms()
        self._serve(self._take_batch(), deadline)

    def _take_batch(self) -> list[PendingClaim]:
        with self._lock:
            batch = self._pending[:MAX_BATCH_SIZE]
            del self._pending[:MAX_BATCH_SIZE]
        return batch

    def _time_out(self, pending_claims: list[PendingClaim]) -> None:
        fault = refuse("the claim was not written before its deadline")
        with self._lock:
            self._pending = [
                item for item in self._pending if item not in pending_claims
            ]
        for pending in pending_claims:
            pending.resolve(expression.Error(fault))


def refuse(message: str) -> errors.Fault:
    """Return the fault for an attempt that must not run its call.

    :param message: the reason
    """
    return errors.Fault(
        errors.Code.PLATFORM_UNAVAILABLE,
        errors.Step.PLATFORM,
        message=message,
        retry_after_ms=RETRY_AFTER_MS,
    )

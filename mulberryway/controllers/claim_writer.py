"""Appends to one shard's log of claims, many attempts in one write."""

import collections.abc
import threading

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.controllers import claim_log
from mulberryway.controllers import claim_queue
from mulberryway.objects import base
from mulberryway.policy import claim_records
from mulberryway.policy import claims

__all__ = ["ClaimWriter"]

Record = claim_records.Record
ClaimState = claim_records.ClaimState
PendingClaim = claim_queue.PendingClaim

# Ends of calls that are not written yet, as in an outage.  What is dropped
# beyond this answers repeats with "may have run" instead of the reply.
MAX_PENDING_ENDS = 4_096
MAX_END_BYTES = 65_536
MAX_ABANDONED = 16_384
# The least time between two writes of claims to one shard.  With one writer
# a shard, all shards together write at most 160 times a second, however many
# calls there are, and twice a second each for ends that no claim took along;
# a call that comes after a quiet time does not wait.
MIN_WRITE_INTERVAL_MS = 100
# A VM that no longer writes a shard need not keep its megabyte in memory.
VIEW_IDLE_TIMEOUT_MS = 60_000


class ClaimWriter:
    """Writes one shard's log.

    Every VM may do so; it is cheap while only one does.

    :param kind: the shard's kind in the platform
    :param store: the platform
    :param clock_: where the time comes from
    :param make_shard: makes an empty view of the log
    """

    def __init__(
        self,
        kind: str,
        store: base.ObjectStore,
        clock_: clock.Clock,
        make_shard: collections.abc.Callable[[], claims.Shard] = claims.Shard,
    ) -> None:
        self.log = claim_log.ClaimLog(
            kind, store, make_shard, self._release_abandoned
        )
        self._clock = clock_
        self._used_ms = clock_.now_ms()
        self._lock = threading.Lock()
        self._queue = claim_queue.ClaimQueue(
            clock_, self._write, MIN_WRITE_INTERVAL_MS
        )
        self._ends: dict[str, Record] = {}
        self._abandoned: dict[str, None] = {}

    def submit(
        self, waiters: list[PendingClaim], deadline: clock.Deadline
    ) -> None:
        """Find out what attempts may do; ``OWNED`` means: run the call.

        :param waiters: the attempts; afterwards each has a verdict other
            than ``FREE``, or a fault that says that it was not run
        :param deadline: when those that still wait are refused
        """
        self._queue.submit(waiters, deadline)
        for waiter in waiters:
            self.abandon(waiter)

    def abandon(self, waiter: PendingClaim) -> None:
        """Remember that an attempt will not run though its claim may stand.

        Its caller was told "not run" and may repeat the call; the claim
        that arrives late would answer "may have run" for ever.  It is
        released as soon as it is seen.

        :param waiter: an attempt that has its result
        """
        if waiter.result is None or waiter.result.is_ok():
            return
        if not waiter.may_be_written or not waiter.is_own:
            return
        with self._lock:
            self._abandoned[waiter.request.owner] = None
            while len(self._abandoned) > MAX_ABANDONED:
                self._abandoned.pop(next(iter(self._abandoned)))

    def note_end(self, record: Record) -> None:
        """Have the end of a call written along with the next append.

        :param record: ``DONE`` or ``RELEASED``
        """
        with self._lock:
            self._ends[record.digest] = record
            while len(self._ends) > MAX_PENDING_ENDS:
                self._ends.pop(next(iter(self._ends)))

    def flush(self, deadline: clock.Deadline) -> bool:
        """Write what has ended if no attempt did so.

        :param deadline: when to give up for now
        :returns: whether nothing is left to be written
        """
        with self._lock:
            has_ends = bool(self._ends)
        if has_ends or self._is_unused():
            self._queue.run_batch_now(deadline)
        with self._lock:
            return not self._ends

    def _is_unused(self) -> bool:
        return (
            self.log.shard.has_slots()
            and self._clock.now_ms() - self._used_ms > VIEW_IDLE_TIMEOUT_MS
        )

    def _write(
        self, batch: list[PendingClaim], deadline: clock.Deadline
    ) -> None:
        """Write for a batch; only one thread at a time does."""
        if not batch and not self._ends and self._is_unused():
            self.log.forget()
            return
        fault = claim_queue.refuse("the log moved too often")
        self.log.is_fresh = False
        self._used_ms = self._clock.now_ms()
        while not deadline.has_passed(self._clock.now_ms()):
            found = self._try_once(batch)
            if found is None:
                return
            fault = found
            if fault.code is not errors.Code.CONFLICT and not _is_lost(fault):
                break
        refusal = claim_queue.refuse(fault.message)
        for waiter in batch:
            waiter.settle(expression.Error(refusal))

    def _try_once(self, batch: list[PendingClaim]) -> errors.Fault | None:
        """Decide and append once; return why it has to be done again."""
        fault = self.log.catch_up()
        if fault is not None:
            return fault
        free, ends = self._sort_out(batch)
        if not self.log.is_known:
            return _moved()
        if not free and not ends:
            return None
        records = [waiter.request.make_record() for waiter in free]
        fault = self.log.append([*ends, *records])
        if fault is None:
            self._settle_written(free, ends)
        return fault

    def _sort_out(
        self, batch: list[PendingClaim]
    ) -> tuple[list[PendingClaim], list[Record]]:
        """Settle whom the log answers; return who needs an append.

        :returns: attempts to grant, at most one for each call, and ends of
            calls to write
        """
        ends = self._pick_ends()
        known = {record.digest: record for record in ends}
        claimed: dict[str, PendingClaim] = {}
        for waiter in batch:
            if waiter.result is not None:
                continue
            digest = waiter.request.id.digest
            decision = self._decide(waiter, known.get(digest))
            unfinished = decision.verdict is claims.Verdict.UNFINISHED
            if unfinished and not self.log.is_fresh:
                # The other attempt may have ended since the log was read;
                # a repeat would be told "may have run" again and again.
                self.log.is_known = False
            elif decision.verdict is not claims.Verdict.FREE:
                self._settle(waiter, decision)
            elif digest in claimed:
                first = claimed[digest].request
                self._settle(waiter, _follow(waiter.request, first))
            else:
                claimed[digest] = waiter
        free = [one for one in claimed.values() if one.mark_sent()]
        return free, ends

    def _pick_ends(self) -> list[Record]:
        """Return the ends that the next append takes along."""
        picked = []
        size = 0
        with self._lock:
            for record in self._ends.values():
                size += len(record.reply.body) if record.reply else 0
                if (
                    size > MAX_END_BYTES
                    or len(picked) >= claim_queue.MAX_BATCH_SIZE
                ):
                    break
                picked.append(record)
        return picked

    def _decide(
        self, waiter: PendingClaim, end: Record | None
    ) -> claims.Decision:
        decision = self.log.shard.decide(waiter.request, self._clock.wall_ms())
        unfinished = decision.verdict is claims.Verdict.UNFINISHED
        if end is None or not unfinished or decision.record.owner != end.owner:
            return decision
        if end.state is ClaimState.DONE:
            return claims.Decision(claims.Verdict.RAN, end)
        # The release is appended in the same write, before this claim.
        return claims.Decision(claims.Verdict.FREE)

    def _settle(self, waiter: PendingClaim, decision: claims.Decision) -> None:
        waiter.settle(expression.Ok(decision))

    def _settle_written(
        self, free: list[PendingClaim], ends: list[Record]
    ) -> None:
        for waiter in free:
            decision = self.log.shard.decide(
                waiter.request, self._clock.wall_ms()
            )
            is_heard = waiter.settle(expression.Ok(decision))
            if not is_heard and waiter.is_own and waiter.result.is_error():
                # It gave up while its claim was being written.
                claim = waiter.request.make_record()
                self.note_end(claim.end(ClaimState.RELEASED, None))
        with self._lock:
            for record in ends:
                if self._ends.get(record.digest) is record:
                    del self._ends[record.digest]

    def _release_abandoned(self, fresh: list[Record]) -> None:
        found = [
            record
            for record in fresh
            if record.state is ClaimState.CLAIMED
            and record.owner in self._abandoned
        ]
        for record in found:
            self._abandoned.pop(record.owner, None)
            self.note_end(record.end(ClaimState.RELEASED, None))


def _follow(
    request: claims.ClaimRequest, first: claims.ClaimRequest
) -> claims.Decision:
    """Decide for an attempt behind another one of the same batch."""
    if request.call != first.call:
        return claims.Decision(claims.Verdict.REUSED, first.make_record())
    return claims.Decision(claims.Verdict.UNFINISHED, first.make_record())


def _is_lost(fault: errors.Fault) -> bool:
    return fault.run is errors.ExecutionStatus.MAY_HAVE_RUN


def _moved() -> errors.Fault:
    return errors.Fault(errors.Code.CONFLICT, errors.Step.PLATFORM)

"""Appends claims to one shard's log in batches."""

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

# Completion records that are not written yet, for example in an outage.  For
# a record that is dropped beyond this limit, retries of the call get "may
# have run" instead of the reply.
MAX_PENDING_ENDS = 4_096
MAX_END_BYTES = 65_536
MAX_ABANDONED = 16_384
# Minimum time between two writes of claims to one shard.  With one writer per
# shard, all shards together write claims at most 160 times a second at any
# call rate.  Completion records without a claim add at most two writes a
# second per shard.  A call on an idle shard does not wait.
MIN_WRITE_INTERVAL_MS = 100
# A VM that no longer writes a shard discards its view, about a megabyte.
VIEW_IDLE_TIMEOUT_MS = 60_000


class ClaimWriter:
    """Writes one shard's log.

    Any VM may write it, but concurrent writers cost extra store calls for
    conflicts, so usually only the coordinator does.

    :param kind: the shard's kind in the platform
    :param store: the platform's store
    :param clock_: the clock
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
        self._last_used_ms = clock_.now_ms()
        self._lock = threading.Lock()
        self._queue = claim_queue.ClaimQueue(
            clock_, self._write, MIN_WRITE_INTERVAL_MS
        )
        self._completions: dict[str, Record] = {}
        self._abandoned: dict[str, None] = {}

    def submit(
        self, pending_claims: list[PendingClaim], deadline: clock.Deadline
    ) -> None:
        """Resolve pending claims; an attempt with ``OWNED`` runs its call.

        :param pending_claims: the claims; afterwards each has a verdict
            other than ``FREE``, or a fault for a call that was not run
        :param deadline: when the claims that are still pending are rejected
        """
        self._queue.submit(pending_claims, deadline)
        for pending in pending_claims:
            self.abandon(pending)

    def abandon(self, pending: PendingClaim) -> None:
        """Record that an attempt will not run but may have a claim in the log.

        Its caller got "not run" and may retry the call.  If the claim arrived
        in the log later and stayed there, every retry would get "may have
        run".  Therefore the claim is released when it is seen.

        :param pending: the claim of the attempt; it has a result
        """
        if pending.result is None or pending.result.is_ok():
            return
        if not pending.may_be_written or not pending.is_own:
            return
        with self._lock:
            self._abandoned[pending.request.owner] = None
            while len(self._abandoned) > MAX_ABANDONED:
                self._abandoned.pop(next(iter(self._abandoned)))

    def record_end(self, record: Record) -> None:
        """Queue a call's completion record for the next append.

        :param record: ``DONE`` or ``RELEASED``
        """
        with self._lock:
            self._completions[record.digest] = record
            while len(self._completions) > MAX_PENDING_ENDS:
                self._completions.pop(next(iter(self._completions)))

    def flush(self, deadline: clock.Deadline) -> bool:
        """Write the completion records that no claim's append included.

        :param deadline: when to stop; the rest stays queued
        :returns: whether all completion records are written
        """
        with self._lock:
            has_completions = bool(self._completions)
        if has_completions or self._is_idle():
            self._queue.run_batch_now(deadline)
        with self._lock:
            return not self._completions

    def _is_idle(self) -> bool:
        return (
            self.log.shard.has_slots()
            and self._clock.now_ms() - self._last_used_ms
            > VIEW_IDLE_TIMEOUT_MS
        )

    def _write(
        self, batch: list[PendingClaim], deadline: clock.Deadline
    ) -> None:
        """Resolve a batch; runs on one thread at a time."""
        if not batch and not self._completions and self._is_idle():
            self.log.discard_view()
            return
        fault = claim_queue.refuse("too many conflicting writes to the log")
        self.log.has_been_read = False
        self._last_used_ms = self._clock.now_ms()
        while not deadline.has_passed(self._clock.now_ms()):
            append_fault = self._append_once(batch)
            if append_fault is None:
                return
            fault = append_fault
            if fault.code is not errors.Code.CONFLICT and not _may_have_run(
                fault
            ):
                break
        rejection = claim_queue.refuse(fault.message)
        for pending in batch:
            pending.resolve(expression.Error(rejection))

    def _append_once(self, batch: list[PendingClaim]) -> errors.Fault | None:
        """Decide and append once; return a fault if it has to be repeated."""
        fault = self.log.catch_up()
        if fault is not None:
            return fault
        free, completions = self._select_records(batch)
        if not self.log.is_current:
            return _make_conflict()
        if not free and not completions:
            return None
        records = [pending.request.make_record() for pending in free]
        fault = self.log.append([*completions, *records])
        if fault is None:
            self._resolve_written(free, completions)
        return fault

    def _select_records(
        self, batch: list[PendingClaim]
    ) -> tuple[list[PendingClaim], list[Record]]:
        """Resolve claims from the log, and select the records to append.

        :returns: claims to grant, at most one per call, and completion
            records to write
        """
        completions = self._pick_completions()
        known = {record.digest: record for record in completions}
        claimed: dict[str, PendingClaim] = {}
        for pending in batch:
            if pending.result is not None:
                continue
            digest = pending.request.id.digest
            decision = self._decide(pending, known.get(digest))
            unfinished = decision.verdict is claims.Verdict.UNFINISHED
            if unfinished and not self.log.has_been_read:
                # The other attempt may have ended since the log was read;
                # without a new read every retry would get "may have run".
                self.log.is_current = False
            elif decision.verdict is not claims.Verdict.FREE:
                self._resolve(pending, decision)
            elif digest in claimed:
                first = claimed[digest].request
                self._resolve(
                    pending, _decide_duplicate(pending.request, first)
                )
            else:
                claimed[digest] = pending
        free = [item for item in claimed.values() if item.mark_sent()]
        return free, completions

    def _pick_completions(self) -> list[Record]:
        """Return the completion records to include in the next append."""
        picked = []
        size = 0
        with self._lock:
            for record in self._completions.values():
                size += len(record.reply.body) if record.reply else 0
                if (
                    size > MAX_END_BYTES
                    or len(picked) >= claim_queue.MAX_BATCH_SIZE
                ):
                    break
                picked.append(record)
        return picked

    def _decide(
        self, pending: PendingClaim, end: Record | None
    ) -> claims.Decision:
        decision = self.log.shard.decide(
            pending.request, self._clock.wall_ms()
        )
        unfinished = decision.verdict is claims.Verdict.UNFINISHED
        if end is None or not unfinished or decision.record.owner != end.owner:
            return decision
        if end.state is ClaimState.DONE:
            return claims.Decision(claims.Verdict.RAN, end)
        # The release is written by the same append, before this claim.
        return claims.Decision(claims.Verdict.FREE)

    def _resolve(
        self, pending: PendingClaim, decision: claims.Decision
    ) -> None:
        pending.resolve(expression.Ok(decision))

    def _resolve_written(
        self, free: list[PendingClaim], completions: list[Record]
    ) -> None:
        for pending in free:
            decision = self.log.shard.decide(
                pending.request, self._clock.wall_ms()
            )
            is_accepted = pending.resolve(expression.Ok(decision))
            if (
                not is_accepted
                and pending.is_own
                and pending.result.is_error()
            ):
                # The attempt timed out while its claim was being written.
                claim = pending.request.make_record()
                self.record_end(
                    claim.make_final_record(ClaimState.RELEASED, None)
                )
        with self._lock:
            for record in completions:
                if self._completions.get(record.digest) is record:
                    del self._completions[record.digest]

    def _release_abandoned(self, new_records: list[Record]) -> None:
        released = [
            record
            for record in new_records
            if record.state is ClaimState.CLAIMED
            and record.owner in self._abandoned
        ]
        for record in released:
            self._abandoned.pop(record.owner, None)
            self.record_end(
                record.make_final_record(ClaimState.RELEASED, None)
            )


def _decide_duplicate(
    request: claims.ClaimRequest, first: claims.ClaimRequest
) -> claims.Decision:
    """Decide a claim whose call is claimed by another one in the batch."""
    if request.call != first.call:
        return claims.Decision(claims.Verdict.REUSED, first.make_record())
    return claims.Decision(claims.Verdict.UNFINISHED, first.make_record())


def _may_have_run(fault: errors.Fault) -> bool:
    return fault.run is errors.ExecutionStatus.MAY_HAVE_RUN


def _make_conflict() -> errors.Fault:
    return errors.Fault(errors.Code.CONFLICT, errors.Step.PLATFORM)

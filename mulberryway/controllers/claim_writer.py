"""Appends to one shard's log of claims, many attempts in one write."""

import collections.abc
import logging
import threading
import typing

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.platform import base
from mulberryway.policy import claim_records
from mulberryway.policy import claims

__all__ = ["ClaimWriter", "Waiter"]

LOG = logging.getLogger(__name__)

PURPOSE = "claims"
# A batch is bounded so that a slot stays far below the platform's megabyte
# and one caller's wait does not grow with everybody's.
MOST_BATCH = 256
# Ends of calls that are not written yet, as in an outage.  What is dropped
# beyond this answers repeats with "may have run" instead of the reply.
MOST_ENDS = 4_096
MOST_END_BYTES = 65_536
MOST_ABANDONED = 16_384
RETRY_AFTER_MS = 1_000

Decided = expression.Result[claims.Decision, errors.Fault]


class Waiter:
    """One attempt that waits for its verdict.

    :param request: its wish
    """

    __slots__ = ("request", "result", "may_be_written")

    def __init__(self, request: claims.ClaimRequest) -> None:
        self.request = request
        self.result: Decided | None = None
        # An append that holds its claim was sent.
        self.may_be_written = False


class ClaimWriter:
    """One shard's end of this VM.

    Whoever comes while no write is under way writes for all that wait; the
    others wait for it.  So a write takes along all that came during the
    one before, and no timer delays a single caller.

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
        self._kind = kind
        self._store = store
        self._clock = clock_
        self._make_shard = make_shard
        self._shard = make_shard()
        # Whether there is no reason to think that the log has moved on.
        self._is_known = False
        # Whether it was read during this round of writing.
        self._is_fresh = False
        self._lock = threading.Lock()
        self._writing = threading.Lock()
        self._waiters: list[Waiter] = []
        self._ends: dict[str, claim_records.Record] = {}
        self._abandoned: dict[str, None] = {}

    def decide(
        self, request: claims.ClaimRequest, deadline: clock.Deadline
    ) -> Decided:
        """Return what an attempt may do; ``OWNED`` means: run it.

        :param request: the wish
        :param deadline: when the attempt gives up
        :returns: a verdict other than ``FREE``, or a fault that says that
            the call was not run
        """
        waiter = Waiter(request)
        with self._lock:
            self._waiters.append(waiter)
        while waiter.result is None:
            left_s = deadline.left_ms(self._clock.now_ms()) / 1000
            if not self._writing.acquire(timeout=left_s):
                return self._give_up(waiter)
            try:
                if waiter.result is None:
                    self._write_waiting(deadline)
            finally:
                self._writing.release()
        return waiter.result

    def note_end(self, record: claim_records.Record) -> None:
        """Have the end of a call written along with the next append.

        :param record: ``DONE`` or ``RELEASED``
        """
        with self._lock:
            self._ends[record.digest] = record
            while len(self._ends) > MOST_ENDS:
                self._ends.pop(next(iter(self._ends)))

    def flush(self, deadline: clock.Deadline) -> bool:
        """Write what has ended if no attempt did so.

        :param deadline: when to give up for now
        :returns: whether nothing is left to be written
        """
        with self._lock:
            if not self._ends:
                return True
        left_s = deadline.left_ms(self._clock.now_ms()) / 1000
        if not self._writing.acquire(timeout=left_s):
            return False
        try:
            self._write_waiting(deadline)
        finally:
            self._writing.release()
        with self._lock:
            return not self._ends

    def _give_up(self, waiter: Waiter) -> Decided:
        with self._lock:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            if waiter.result is not None:
                return waiter.result
            self._abandon(waiter)
            waiter.result = expression.Error(
                _not_run("the claim was not written in time")
            )
            return waiter.result

    def _abandon(self, waiter: Waiter) -> None:
        """Remember that an attempt will not run though its claim may stand.

        Its caller was told "not run" and may repeat the call; the claim
        that arrives late would answer "may have run" for ever.  It is
        released as soon as it is seen.
        """
        if not waiter.may_be_written:
            return
        self._abandoned[waiter.request.owner] = None
        while len(self._abandoned) > MOST_ABANDONED:
            self._abandoned.pop(next(iter(self._abandoned)))

    def _write_waiting(self, deadline: clock.Deadline) -> None:
        """Write for all that wait now; the caller holds ``_writing``."""
        with self._lock:
            batch = self._waiters[:MOST_BATCH]
            del self._waiters[:MOST_BATCH]
        fault = _not_run("the log moved too often")
        self._is_fresh = False
        while not deadline.has_passed(self._clock.now_ms()):
            found = self._try_once(batch)
            if found is None:
                return
            fault = found
            if fault.code is not errors.Code.CONFLICT and not _is_lost(fault):
                break
        with self._lock:
            for waiter in batch:
                if waiter.result is None:
                    self._abandon(waiter)
                    waiter.result = expression.Error(_not_run(fault.message))

    def _try_once(self, batch: list[Waiter]) -> errors.Fault | None:
        """Decide and append once; return why it has to be done again."""
        fault = self._read_news()
        if fault is not None:
            return fault
        free, ends = self._sort_out(batch)
        if not self._is_known and not self._is_fresh:
            return _moved()
        if not free and not ends:
            return None
        append = self._shard.plan_append(
            [*ends, *(waiter.request.make_record() for waiter in free)]
        )
        written = self._append(append)
        if written.is_error():
            # Whether it was refused or its reply was lost, the log tells.
            self._is_known = False
            return written.error
        self._release_abandoned(
            self._shard.take_append(append, written.ok.version)
        )
        self._settle_written(free, ends)
        return None

    def _sort_out(
        self, batch: list[Waiter]
    ) -> tuple[list[Waiter], list[claim_records.Record]]:
        """Settle whom the log answers; return who needs an append.

        :returns: attempts to grant, at most one for each call, and ends of
            calls to write
        """
        ends = self._pick_ends()
        known = {record.digest: record for record in ends}
        claimed: dict[str, Waiter] = {}
        for waiter in batch:
            if waiter.result is not None:
                continue
            digest = waiter.request.id.digest
            decision = self._decide(waiter, known.get(digest))
            unfinished = decision.verdict is claims.Verdict.UNFINISHED
            if unfinished and not self._is_fresh:
                # The other attempt may have ended since the log was read;
                # a repeat would be told "may have run" again and again.
                self._is_known = False
            elif decision.verdict is not claims.Verdict.FREE:
                self._settle(waiter, decision)
            elif digest in claimed:
                first = claimed[digest].request
                self._settle(waiter, _follow(waiter.request, first))
            else:
                claimed[digest] = waiter
        with self._lock:
            free = [
                waiter for waiter in claimed.values() if waiter.result is None
            ]
            for waiter in free:
                waiter.may_be_written = True
        return free, ends

    def _pick_ends(self) -> list[claim_records.Record]:
        """Return the ends that the next append takes along."""
        picked = []
        size = 0
        with self._lock:
            for record in self._ends.values():
                size += len(record.reply.body) if record.reply else 0
                if size > MOST_END_BYTES or len(picked) >= MOST_BATCH:
                    break
                picked.append(record)
        return picked

    def _decide(
        self, waiter: Waiter, end: claim_records.Record | None
    ) -> claims.Decision:
        decision = self._shard.decide(waiter.request, self._clock.wall_ms())
        unfinished = decision.verdict is claims.Verdict.UNFINISHED
        if end is None or not unfinished or decision.record.owner != end.owner:
            return decision
        if end.state is claim_records.ClaimState.DONE:
            return claims.Decision(claims.Verdict.RAN, end)
        # The release is appended in the same write, before this claim.
        return claims.Decision(claims.Verdict.FREE)

    def _settle(self, waiter: Waiter, decision: claims.Decision) -> None:
        with self._lock:
            if waiter.result is None:
                waiter.result = expression.Ok(decision)

    def _settle_written(
        self, free: list[Waiter], ends: list[claim_records.Record]
    ) -> None:
        for waiter in free:
            decision = self._shard.decide(
                waiter.request, self._clock.wall_ms()
            )
            with self._lock:
                if waiter.result is None:
                    waiter.result = expression.Ok(decision)
                    continue
            # It gave up while its claim was being written.
            self._release_abandoned([waiter.request.make_record()])
        with self._lock:
            for record in ends:
                if self._ends.get(record.digest) is record:
                    del self._ends[record.digest]

    def _append(
        self, append: claims.Append
    ) -> expression.Result[base.StoredObject, errors.Fault]:
        name = str(append.place)
        value = append.make_value()
        if append.version is None:
            return self._store.create(self._kind, name, value, PURPOSE)
        return self._store.update(
            self._kind, name, value, append.version, PURPOSE
        )

    def _read_news(self) -> errors.Fault | None:
        """Bring the view up to date if there is reason to.

        :returns: why the view cannot be trusted, or none
        """
        if self._is_known:
            return None
        try:
            fault = self._follow_log() or self._read_whole_log()
        except ValueError:
            LOG.exception("a malformed slot in %s", self._kind)
            return _not_run("a malformed slot")
        self._is_known = self._is_fresh = fault is None
        return fault

    def _follow_log(self) -> errors.Fault | None:
        """Read the newest slot and those after it."""
        while self._shard.has_slots():
            place = self._shard.newest_place()
            fault = self._read_slot(place)
            if fault is not None:
                return fault
            if not self._shard.is_newest_full():
                break
            fault = self._read_slot(self._shard.next_place())
            if fault is not None:
                return fault
            if self._shard.newest_place() == place:
                break
        return None

    def _read_slot(self, place: int) -> errors.Fault | None:
        found = self._store.read(self._kind, str(place), PURPOSE)
        if found.is_ok():
            self._take_slot(place, found.ok.value, found.ok.version)
            return None
        if found.error.code is errors.Code.NOT_FOUND:
            return None
        return found.error

    def _read_whole_log(self) -> errors.Fault | None:
        """Read all slots at first, or if the log went round unseen."""
        if self._shard.has_slots() and self._shard.is_whole():
            return None
        listed = self._store.read_all(self._kind, PURPOSE)
        if listed.is_error():
            return listed.error
        self._shard = self._make_shard()
        for item in sorted(listed.ok, key=_sequence_of):
            self._take_slot(int(item.name), item.value, item.version)
        if not self._shard.is_whole():
            return _not_run("the log is known in part only")
        return None

    def _take_slot(
        self, place: int, value: dict[str, typing.Any], version: int
    ) -> None:
        fresh = self._shard.take_slot(place, value, version)
        self._release_abandoned(fresh)

    def _release_abandoned(self, fresh: list[claim_records.Record]) -> None:
        found = [
            record
            for record in fresh
            if record.state is claim_records.ClaimState.CLAIMED
            and record.owner in self._abandoned
        ]
        for record in found:
            self._abandoned.pop(record.owner, None)
            self.note_end(record.end(claim_records.ClaimState.RELEASED, None))


def _sequence_of(item: base.StoredObject) -> int:
    return int(item.value.get("sequence", -1))


def _follow(
    request: claims.ClaimRequest, first: claims.ClaimRequest
) -> claims.Decision:
    """Decide for an attempt behind another one of the same batch."""
    if request.call != first.call:
        return claims.Decision(claims.Verdict.REUSED, first.make_record())
    return claims.Decision(claims.Verdict.UNFINISHED, first.make_record())


def _is_lost(fault: errors.Fault) -> bool:
    return fault.run is errors.Run.MAY_HAVE_RUN


def _moved() -> errors.Fault:
    return errors.Fault(errors.Code.CONFLICT, errors.Step.PLATFORM)


def _not_run(message: str) -> errors.Fault:
    return errors.Fault(
        errors.Code.PLATFORM_UNAVAILABLE,
        errors.Step.PLATFORM,
        message=message,
        retry_after_ms=RETRY_AFTER_MS,
    )

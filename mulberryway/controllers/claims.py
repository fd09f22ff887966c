"""Claims for calls that must run at most once: a promise.

A claim never lapses, so a VM that was paused after it got one may still run
its call: nobody else ever may.
"""

import collections.abc
import itertools
import threading

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.controllers import base
from mulberryway.controllers import claim_coordination
from mulberryway.controllers import claim_queue
from mulberryway.controllers import claim_writer
from mulberryway.objects import base as platform
from mulberryway.peers import client
from mulberryway.policy import claim_records
from mulberryway.policy import claims

__all__ = ["ClaimStore", "Grant"]

FLUSH_MS = 500
FLUSH_TIMEOUT_MS = 1_000
RELEASE_TIMEOUT_MS = 200
# A claim takes some milliseconds.  A platform that takes calls and does not
# answer is told from that long before a caller's own patience ends.
DECIDE_TIMEOUT_MS = 3_000
# A repeat that waits for the first attempt holds a worker thread; a caller
# that repeats a slow call in a loop must not take all of them.
MAX_WAITING_DUPLICATES = 8
RETRY_AFTER_MS = 1_000

BeginResult = expression.Result[
    "Grant | claim_records.KeptReply", errors.Fault
]
Verdict = claims.Verdict
ClaimState = claim_records.ClaimState


class Grant:
    """The right to run a call, once.

    :param claim: the record that gives it
    :param ended: set when the call has come to its end here
    """

    __slots__ = ("claim", "ended")

    def __init__(self, claim: claim_records.Record) -> None:
        self.claim = claim
        self.ended = threading.Event()


class ClaimStore(base.Controller):
    """Grants calls through the platform and writes down how they ended.

    :param store: the platform
    :param clock_: where the time comes from
    :param vm: this VM's name
    :param incarnation: which life of this VM's router this is
    :param shards: how many shards there are; the same on all VMs
    :param make_shard: makes an empty view of one shard's log
    :param peers: calls other VMs
    :param find_coordinator: finds the VM that writes a shard; without it this
        VM writes all of them
    """

    def __init__(
        self,
        store: platform.ObjectStore,
        clock_: clock.Clock,
        vm: str,
        incarnation: int,
        shards: int = claims.SHARD_COUNT,
        make_shard: collections.abc.Callable[[], claims.Shard] = claims.Shard,
        peers: client.PeerClient | None = None,
        find_coordinator: claim_coordination.FindCoordinator = lambda shard: (
            None
        ),
    ) -> None:
        super().__init__("claims", clock_, FLUSH_MS)
        self._prefix = f"{vm}/{incarnation}/"
        self._numbers = itertools.count(1)
        writers = [
            claim_writer.ClaimWriter(
                f"claims-{number:02}", store, clock_, make_shard
            )
            for number in range(shards)
        ]
        self.handler = claim_coordination.ClaimHandler(writers, clock_)
        self._shards = [
            claim_coordination.ShardClient(
                number, writer, peers, find_coordinator, clock_
            )
            for number, writer in enumerate(writers)
        ]
        self._lock = threading.Lock()
        self._running: dict[str, Grant] = {}
        self._followers = 0

    def step(self) -> None:
        """Write the ends of calls that no later claim took along."""
        for shard in self._shards:
            if self.is_stopping():
                return
            shard.flush(self._limit(FLUSH_TIMEOUT_MS))

    def stop(self, wait_ms: int = 2_000) -> None:
        """Write what is left, then end the thread.

        :param wait_ms: the longest wait for both
        """
        limit = self._limit(wait_ms)
        super().stop(wait_ms)
        for shard in self._shards:
            shard.flush(limit, at_once=True)

    def begin(
        self, account: str, key: str, call: str, deadline: clock.Deadline
    ) -> BeginResult:
        """Ask to run a call.

        :param account: the client account
        :param key: its ``Idempotency-Key``
        :param call: see :func:`claim_records.fingerprint_call`
        :param deadline: when the attempt gives up
        :returns: the right to run it, or the reply that it had before, or
            why neither
        """
        id_ = claim_records.parse_claim_id(account, key)
        if id_ is None:
            return _refuse(
                errors.Code.REQUEST_ID_REQUIRED,
                "the Idempotency-Key has to be a UUID of version 7",
            )
        while True:
            decided = self._decide(id_, call, deadline)
            if decided.is_error():
                return expression.Error(decided.error)
            if not self._follow(decided.ok, deadline):
                return self._answer(decided.ok)

    def end(
        self,
        grant: Grant,
        run: errors.ExecutionStatus,
        reply: claim_records.CachedReply | None = None,
    ) -> None:
        """Note how a granted call came to its end; called once.

        The caller gets its answer without waiting for the write: a VM that
        dies before it leaves a claim without an end, which answers repeats
        with "may have run".  A call that did not run is released first, so
        that a caller who was told so can repeat it at once.

        :param grant: the right that was used
        :param run: whether the call was run
        :param reply: what the service replied
        """
        shard = self._find_shard(grant.claim.digest)
        if run is errors.ExecutionStatus.RAN:
            kept = reply if reply is not None and reply.fits() else None
            shard.note_end(grant.claim.end(ClaimState.DONE, kept))
        elif run is errors.ExecutionStatus.NOT_RUN:
            shard.note_end(grant.claim.end(ClaimState.RELEASED, None))
            shard.flush(self._limit(RELEASE_TIMEOUT_MS), at_once=True)
        with self._lock:
            self._running.pop(grant.claim.owner, None)
        grant.ended.set()

    def _decide(
        self, id_: claim_records.ClaimId, call: str, deadline: clock.Deadline
    ) -> claim_queue.ClaimResult:
        owner = f"{self._prefix}{next(self._numbers)}"
        request = claims.ClaimRequest(id_, call, owner)
        limit = self._limit(DECIDE_TIMEOUT_MS)
        limit.at_ms = min(limit.at_ms, deadline.at_ms)
        waiter = claim_queue.PendingClaim(request)
        self._find_shard(id_.digest).submit([waiter], limit)
        return waiter.result

    def _answer(self, decision: claims.Decision) -> BeginResult:
        if decision.verdict is Verdict.OWNED:
            grant = Grant(decision.record)
            with self._lock:
                self._running[decision.record.owner] = grant
            return expression.Ok(grant)
        if decision.verdict is Verdict.RAN:
            if decision.record.reply is not None:
                return expression.Ok(decision.record.reply)
            return _refuse_repeat(
                errors.ExecutionStatus.RAN,
                "the call ran; its reply was too large to keep",
            )
        return _explain(decision)

    def _follow(
        self, decision: claims.Decision, deadline: clock.Deadline
    ) -> bool:
        """Wait for the same call if it runs on this VM.

        :param decision: the verdict on the repeat
        :param deadline: when the repeat gives up
        :returns: whether it has ended, so that the log tells how
        """
        if decision.verdict is not Verdict.UNFINISHED:
            return False
        with self._lock:
            grant = self._running.get(decision.record.owner)
            if grant is None or self._followers >= MAX_WAITING_DUPLICATES:
                return False
            self._followers += 1
        try:
            left_ms = deadline.left_ms(self.clock.now_ms())
            return grant.ended.wait(left_ms / 1000)
        finally:
            with self._lock:
                self._followers -= 1

    def _find_shard(self, digest: str) -> claim_coordination.ShardClient:
        return self._shards[claims.pick_shard(digest, len(self._shards))]

    def _limit(self, limit_ms: int) -> clock.Deadline:
        return clock.Deadline(self.clock.now_ms() + limit_ms)


def _explain(decision: claims.Decision) -> BeginResult:
    if decision.verdict is Verdict.REUSED:
        return _refuse(
            errors.Code.REQUEST_ID_REUSED,
            "the Idempotency-Key was used for another call",
        )
    if decision.verdict is Verdict.AHEAD:
        return _refuse(
            errors.Code.BAD_REQUEST,
            "the Idempotency-Key's time lies in the future",
        )
    if decision.verdict is Verdict.FORGOTTEN:
        return _refuse_repeat(
            errors.ExecutionStatus.MAY_HAVE_RUN,
            "the Idempotency-Key is too old to tell whether the call ran",
        )
    return _refuse_repeat(
        errors.ExecutionStatus.MAY_HAVE_RUN,
        "the same call was begun before and its end is not known",
        RETRY_AFTER_MS,
    )


def _refuse(code: errors.Code, message: str) -> BeginResult:
    return expression.Error(
        errors.Fault(code, errors.Step.ADMISSION, message=message)
    )


def _refuse_repeat(
    run: errors.ExecutionStatus,
    message: str,
    retry_after_ms: int | None = None,
) -> BeginResult:
    return expression.Error(
        errors.Fault(
            errors.Code.DUPLICATE,
            errors.Step.ADMISSION,
            run=run,
            message=message,
            retry_after_ms=retry_after_ms,
        )
    )

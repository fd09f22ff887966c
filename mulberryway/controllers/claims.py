"""Claims, which guarantee that a call runs at most once.

A claim never expires.  A VM that was paused after it got a claim may
therefore still run its call, because no other attempt can ever get that claim.
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
# A claim takes some milliseconds.  The timeout detects a platform that accepts
# calls and does not answer, long before callers' own timeouts.
DECIDE_TIMEOUT_MS = 3_000
# A duplicate request that waits for the original occupies a worker thread.  A
# caller that retries a slow call in a loop must not occupy all of them.
MAX_WAITING_DUPLICATES = 8
RETRY_AFTER_MS = 1_000

BeginResult = expression.Result[
    "Grant | claim_records.KeptReply", errors.Fault
]
Verdict = claims.Verdict
ClaimState = claim_records.ClaimState


class Grant:
    """Permission to run a call once.

    ``ended`` is set when the call has ended on this VM.

    :param claim: the record of the claim
    """

    __slots__ = ("claim", "ended")

    def __init__(self, claim: claim_records.Record) -> None:
        self.claim = claim
        self.ended = threading.Event()


class ClaimStore(base.Controller):
    """Grants calls through the platform's store and records their outcomes.

    :param store: the platform's store
    :param clock_: the clock
    :param vm: this VM's name
    :param incarnation: the incarnation of this VM's router
    :param shards: the number of shards; the same on all VMs
    :param make_shard: makes an empty view of one shard's log
    :param peers: calls other VMs
    :param find_coordinator: finds a shard's coordinator; without it this VM
        writes all shards
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
        self._waiting_duplicates = 0

    def step(self) -> None:
        """Write the completion records that no claim's append included."""
        for shard in self._shards:
            if self.is_stopping():
                return
            shard.flush(self._make_deadline(FLUSH_TIMEOUT_MS))

    def stop(self, wait_ms: int = 2_000) -> None:
        """Stop the thread and write the remaining completion records.

        :param wait_ms: maximum wait for both, in milliseconds
        """
        limit = self._make_deadline(wait_ms)
        super().stop(wait_ms)
        for shard in self._shards:
            shard.flush(limit, at_once=True)

    def begin(
        self, account: str, key: str, call: str, deadline: clock.Deadline
    ) -> BeginResult:
        """Claim a call.

        :param account: the client account
        :param key: its ``Idempotency-Key``
        :param call: see :func:`claim_records.fingerprint_call`
        :param deadline: the attempt's deadline
        :returns: a grant to run the call, its stored reply, or a fault
        """
        id_ = claim_records.parse_claim_id(account, key)
        if id_ is None:
            return _reject(
                errors.Code.REQUEST_ID_REQUIRED,
                "the Idempotency-Key must be a UUID of version 7",
            )
        while True:
            decided = self._decide(id_, call, deadline)
            if decided.is_error():
                return expression.Error(decided.error)
            if not self._wait_for_original(decided.ok, deadline):
                return self._answer(decided.ok)

    def end(
        self,
        grant: Grant,
        run: errors.ExecutionStatus,
        reply: claim_records.CachedReply | None = None,
    ) -> None:
        """Record the outcome of a granted call; called once per grant.

        The caller gets its answer without waiting for the write.  A VM that
        crashes before the write leaves a claim without a completion record,
        and retries get "may have run".  The release of a call that did not
        run is written before the answer, because its caller gets "not run"
        and may retry immediately.

        :param grant: the grant of the call
        :param run: whether the call was run
        :param reply: the service's reply
        """
        shard = self._find_shard(grant.claim.digest)
        if run is errors.ExecutionStatus.RAN:
            stored_reply = (
                reply if reply is not None and reply.fits() else None
            )
            shard.record_end(
                grant.claim.make_final_record(ClaimState.DONE, stored_reply)
            )
        elif run is errors.ExecutionStatus.NOT_RUN:
            shard.record_end(
                grant.claim.make_final_record(ClaimState.RELEASED, None)
            )
            shard.flush(self._make_deadline(RELEASE_TIMEOUT_MS), at_once=True)
        with self._lock:
            self._running.pop(grant.claim.owner, None)
        grant.ended.set()

    def _decide(
        self, id_: claim_records.ClaimId, call: str, deadline: clock.Deadline
    ) -> claim_queue.ClaimResult:
        owner = f"{self._prefix}{next(self._numbers)}"
        request = claims.ClaimRequest(id_, call, owner)
        limit = self._make_deadline(DECIDE_TIMEOUT_MS)
        limit.at_ms = min(limit.at_ms, deadline.at_ms)
        pending = claim_queue.PendingClaim(request)
        self._find_shard(id_.digest).submit([pending], limit)
        return pending.result

    def _answer(self, decision: claims.Decision) -> BeginResult:
        if decision.verdict is Verdict.OWNED:
            grant = Grant(decision.record)
            with self._lock:
                self._running[decision.record.owner] = grant
            return expression.Ok(grant)
        if decision.verdict is Verdict.RAN:
            if decision.record.reply is not None:
                return expression.Ok(decision.record.reply)
            return _reject_duplicate(
                errors.ExecutionStatus.RAN,
                "the call ran; its reply was too large to store",
            )
        return _make_rejection(decision)

    def _wait_for_original(
        self, decision: claims.Decision, deadline: clock.Deadline
    ) -> bool:
        """Wait for the original call if it runs on this VM.

        :param decision: the decision for the duplicate request
        :param deadline: the duplicate request's deadline
        :returns: whether the original has ended and its outcome is recorded
        """
        if decision.verdict is not Verdict.UNFINISHED:
            return False
        with self._lock:
            grant = self._running.get(decision.record.owner)
            if (
                grant is None
                or self._waiting_duplicates >= MAX_WAITING_DUPLICATES
            ):
                return False
            self._waiting_duplicates += 1
        try:
            left_ms = deadline.left_ms(self.clock.now_ms())
            return grant.ended.wait(left_ms / 1000)
        finally:
            with self._lock:
                self._waiting_duplicates -= 1

    def _find_shard(self, digest: str) -> claim_coordination.ShardClient:
        return self._shards[claims.pick_shard(digest, len(self._shards))]

    def _make_deadline(self, limit_ms: int) -> clock.Deadline:
        return clock.Deadline(self.clock.now_ms() + limit_ms)


def _make_rejection(decision: claims.Decision) -> BeginResult:
    if decision.verdict is Verdict.REUSED:
        return _reject(
            errors.Code.REQUEST_ID_REUSED,
            "the Idempotency-Key was used for another call",
        )
    if decision.verdict is Verdict.AHEAD:
        return _reject(
            errors.Code.BAD_REQUEST,
            "the Idempotency-Key's time is in the future",
        )
    if decision.verdict is Verdict.FORGOTTEN:
        return _reject_duplicate(
            errors.ExecutionStatus.MAY_HAVE_RUN,
            "the Idempotency-Key is too old to determine whether the call ran",
        )
    return _reject_duplicate(
        errors.ExecutionStatus.MAY_HAVE_RUN,
        "the same call was started before and its outcome is not known",
        RETRY_AFTER_MS,
    )


def _reject(code: errors.Code, message: str) -> BeginResult:
    return expression.Error(
        errors.Fault(code, errors.Step.ADMISSION, message=message)
    )


def _reject_duplicate(
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

"""Sends claims to shards' coordinators and serves claims as coordinator."""

import collections.abc
import threading

from mulberryway import clock
from mulberryway.controllers import claim_messages
from mulberryway.controllers import claim_queue
from mulberryway.controllers import claim_writer
from mulberryway.peers import client
from mulberryway.peers.gen.claims import Claims
from mulberryway.peers.gen.claims import ttypes
from mulberryway.policy import claim_coordinators
from mulberryway.policy import claim_records
from mulberryway.policy import member

__all__ = [
    "ClaimHandler",
    "FindCoordinator",
    "ShardClient",
    "make_coordinator_finder",
]

# Given a shard's number, returns the coordinator's peer address, or None if
# this VM is the coordinator.
FindCoordinator = collections.abc.Callable[[int], str | None]

Record = claim_records.Record
PendingClaim = claim_queue.PendingClaim

# Fraction of an attempt's remaining time that the coordinator may use.  The
# rest is left for writing to the log from this VM.
COORDINATOR_DEADLINE_FRACTION = 0.5
ENDS_TIMEOUT_MS = 500
BUSY_RETRY_DELAY_MS = 30
# The peer server has eight threads, and membership needs some of them: if a
# slow platform blocked them all, other VMs would consider this VM dead.
MAX_CONCURRENT_REQUESTS = 4


def make_coordinator_finder(
    own: str,
    list_members: collections.abc.Callable[[], list[member.Member]],
) -> FindCoordinator:
    """Return a function that finds a shard's coordinator.

    :param own: this VM's name
    :param list_members: returns the known VMs
    """

    def find(shard: int) -> str | None:
        coordinator = claim_coordinators.choose_coordinator(
            shard, list_members()
        )
        if coordinator is None or coordinator.name == own:
            return None
        return coordinator.peer

    return find


class ShardClient:
    """Resolves one shard's claims through its coordinator.

    Claim requests go to the coordinator in batches.  If it does not answer
    in time, this VM writes to the log itself.  That is safe whether or not
    the coordinator wrote them: a claim carries the name of its attempt, so
    both VMs can only write the same claim.

    :param number: the shard's number
    :param writer: writes the shard's log from this VM
    :param peers: calls other VMs
    :param find_coordinator: see :data:`FindCoordinator`
    :param clock_: the clock
    """

    def __init__(
        self,
        number: int,
        writer: claim_writer.ClaimWriter,
        peers: client.PeerClient,
        find_coordinator: FindCoordinator,
        clock_: clock.Clock,
    ) -> None:
        self.writer = writer
        self._number = number
        self._peers = peers
        self._find_coordinator = find_coordinator
        self._clock = clock_
        self._queue = claim_queue.ClaimQueue(clock_, self._process_batch)
        self._lock = threading.Lock()
        self._completions: dict[str, Record] = {}

    def submit(
        self, pending_claims: list[PendingClaim], deadline: clock.Deadline
    ) -> None:
        """Resolve pending claims of this VM.

        :param pending_claims: the claims; each has a result afterwards
        :param deadline: when the claims that are still pending are rejected
        """
        if self._find_coordinator(self._number) is None:
            self._move_completions()
            self.writer.submit(pending_claims, deadline)
        else:
            self._queue.submit(pending_claims, deadline)
            for pending in pending_claims:
                self.writer.abandon(pending)

    def record_end(self, record: Record) -> None:
        """Queue a call's completion record for the coordinator.

        :param record: ``DONE`` or ``RELEASED``
        """
        with self._lock:
            self._completions[record.digest] = record
        if self._find_coordinator(self._number) is None:
            self._move_completions()

    def flush(self, deadline: clock.Deadline, at_once: bool = False) -> None:
        """Send the queued completion records.

        :param deadline: when to stop; the rest stays queued
        :param at_once: whether the coordinator writes them before it answers
        """
        if self._completions:
            # Finding the coordinator takes a pass over all members, which a
            # VM without such calls need not do for every shard.
            coordinator = self._find_coordinator(self._number)
            sent = coordinator and self._send_completions(
                coordinator, deadline, at_once
            )
            if not sent:
                self._move_completions()
        self.writer.flush(deadline)

    def _move_completions(self) -> None:
        with self._lock:
            completions, self._completions = self._completions, {}
        for record in completions.values():
            self.writer.record_end(record)

    def _send_completions(
        self, coordinator: str, deadline: clock.Deadline, at_once: bool
    ) -> bool:
        with self._lock:
            completions = [*self._completions.values()]
        if not completions:
            return True
        limit_ms = deadline.left_ms(self._clock.now_ms())
        sent = self._peers.call(
            coordinator,
            Claims.Client,
            "note_ends",
            self._number,
            [claim_messages.encode_record(record) for record in completions],
            at_once,
            timeout_ms=min(limit_ms, ENDS_TIMEOUT_MS),
        )
        if sent.is_error() or not sent.ok:
            return False
        with self._lock:
            for record in completions:
                if self._completions.get(record.digest) is record:
                    del self._completions[record.digest]
        return True

    def _process_batch(
        self, batch: list[PendingClaim], deadline: clock.Deadline
    ) -> None:
        """Send a batch to the coordinator; write what it did not resolve."""
        coordinator = self._find_coordinator(self._number)
        if coordinator is not None:
            sent = [pending for pending in batch if pending.mark_sent()]
            self._send_batch(coordinator, sent, deadline)
        left = [pending for pending in batch if pending.result is None]
        if left:
            self.writer.submit(left, deadline)

    def _send_batch(
        self,
        coordinator: str,
        sent: list[PendingClaim],
        deadline: clock.Deadline,
    ) -> None:
        # Completion records go first: a retry of a call that ended on this VM
        # must find its record.
        self._send_completions(coordinator, deadline, False)
        wishes = [
            claim_messages.pack_request(pending.request) for pending in sent
        ]
        left_ms = deadline.left_ms(self._clock.now_ms())
        limit = clock.Deadline(
            self._clock.now_ms() + int(left_ms * COORDINATOR_DEADLINE_FRACTION)
        )
        results = self._call_coordinator(coordinator, wishes, limit)
        if results is None or len(results) != len(sent):
            return
        for pending, verdict in zip(sent, results, strict=True):
            result = claim_messages.unpack_result(verdict)
            if result.is_ok():
                self._resolve(pending, result)

    def _call_coordinator(
        self,
        coordinator: str,
        wishes: list[ttypes.Wish],
        limit: clock.Deadline,
    ) -> list[ttypes.Verdict] | None:
        """Return the coordinator's verdicts, or None if it gave no decision.

        A busy coordinator is asked again after a delay, because a write from
        this VM would only compete with the coordinator's own write.
        """
        while left_ms := limit.left_ms(self._clock.now_ms()):
            answered = self._peers.call(
                coordinator,
                Claims.Client,
                "decide",
                self._number,
                wishes,
                left_ms,
                timeout_ms=left_ms,
            )
            if answered.is_error():
                return None
            if answered.ok or not wishes:
                return answered.ok
            self._clock.sleep_ms(BUSY_RETRY_DELAY_MS)
        return None

    def _resolve(
        self, pending: PendingClaim, result: claim_queue.ClaimResult
    ) -> None:
        record = result.ok.record
        if pending.resolve(result) or record is None:
            return
        has_timed_out = pending.result.is_error()
        if has_timed_out and record.owner == pending.request.owner:
            # The attempt was reported as not run; see ClaimWriter.abandon.
            self.record_end(
                record.make_final_record(
                    claim_records.ClaimState.RELEASED, None
                )
            )


class ClaimHandler(Claims.Iface):
    """Serves other VMs' claims as the coordinator of shards.

    :param writers: writes each shard's log from this VM
    :param clock_: the clock
    """

    def __init__(
        self, writers: list[claim_writer.ClaimWriter], clock_: clock.Clock
    ) -> None:
        self._writers = writers
        self._clock = clock_
        self._request_slots = threading.BoundedSemaphore(
            MAX_CONCURRENT_REQUESTS
        )

    def decide(
        self, shard: int, wishes: list[ttypes.Wish], limit_ms: int
    ) -> list[ttypes.Verdict]:
        """Resolve claim requests of other VMs.

        :param shard: the shard's number
        :param wishes: the claim requests
        :param limit_ms: how long the other VM waits, in milliseconds
        :returns: a verdict for each request, or an empty list if this VM is
            busy
        """
        pending_claims = [
            PendingClaim(claim_messages.unpack_request(wish), is_own=False)
            for wish in wishes
        ]
        if not self._request_slots.acquire(blocking=False):
            return []
        try:
            limit = clock.Deadline(self._clock.now_ms() + limit_ms)
            self._writers[shard].submit(pending_claims, limit)
        finally:
            self._request_slots.release()
        return [
            claim_messages.pack_result(item.result) for item in pending_claims
        ]

    def note_ends(self, shard: int, records: list[str], at_once: bool) -> bool:
        """Accept completion records of other VMs' calls.

        :param shard: the shard's number
        :param records: the encoded records
        :param at_once: whether to write them before answering
        :returns: whether they were accepted, and written if ``at_once``
        """
        writer = self._writers[shard]
        for text in records:
            writer.record_end(claim_messages.decode_record(text))
        if not at_once:
            return True
        if not self._request_slots.acquire(blocking=False):
            return False
        try:
            limit = clock.Deadline(self._clock.now_ms() + ENDS_TIMEOUT_MS)
            return writer.flush(limit)
        finally:
            self._request_slots.release()

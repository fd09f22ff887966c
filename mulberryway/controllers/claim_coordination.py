"""Has a shard's log written by its keeper, and answers VMs as one."""

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

# Given a shard's number, returns the keeper's peer address, or none if that
# is this VM.
FindCoordinator = collections.abc.Callable[[int], str | None]

Record = claim_records.Record
PendingClaim = claim_queue.PendingClaim

# What a keeper may take of an attempt's time; the rest is for writing here.
COORDINATOR_DEADLINE_FRACTION = 0.5
ENDS_TIMEOUT_MS = 500
BUSY_RETRY_DELAY_MS = 30
# The peers' server has eight threads, and membership needs some of them: a
# slow platform must not make this VM look dead.
MAX_CONCURRENT_REQUESTS = 4


def make_coordinator_finder(
    own: str,
    list_members: collections.abc.Callable[[], list[member.Member]],
) -> FindCoordinator:
    """Return what finds keepers among the members.

    :param own: this VM's name
    :param list_members: the known VMs
    """

    def find(shard: int) -> str | None:
        keeper = claim_coordinators.choose_coordinator(shard, list_members())
        if keeper is None or keeper.name == own:
            return None
        return keeper.peer

    return find


class ShardClient:
    """One shard as this VM uses it.

    Attempts go to the keeper in batches; if it does not answer well, this
    VM writes for itself.  That is safe whatever the keeper did with them:
    a claim bears its attempt's name, so both can only write the same.

    :param number: the shard's number
    :param writer: this VM's own end of the log
    :param peers: calls other VMs
    :param find_keeper: see :data:`FindCoordinator`
    :param clock_: where the time comes from
    """

    def __init__(
        self,
        number: int,
        writer: claim_writer.ClaimWriter,
        peers: client.PeerClient,
        find_keeper: FindCoordinator,
        clock_: clock.Clock,
    ) -> None:
        self.writer = writer
        self._number = number
        self._peers = peers
        self._find_keeper = find_keeper
        self._clock = clock_
        self._queue = claim_queue.ClaimQueue(clock_, self._ask)
        self._lock = threading.Lock()
        self._ends: dict[str, Record] = {}

    def submit(
        self, waiters: list[PendingClaim], deadline: clock.Deadline
    ) -> None:
        """Find out what attempts may do.

        :param waiters: attempts of this VM; each has a result afterwards
        :param deadline: when those that still wait are refused
        """
        if self._find_keeper(self._number) is None:
            self._move_ends()
            self.writer.submit(waiters, deadline)
        else:
            self._queue.submit(waiters, deadline)
            for waiter in waiters:
                self.writer.abandon(waiter)

    def note_end(self, record: Record) -> None:
        """Have the end of a call written by the keeper, soon.

        :param record: ``DONE`` or ``RELEASED``
        """
        with self._lock:
            self._ends[record.digest] = record
        if self._find_keeper(self._number) is None:
            self._move_ends()

    def flush(self, deadline: clock.Deadline, at_once: bool = False) -> None:
        """Pass on what has ended.

        :param deadline: when to give up for now
        :param at_once: whether it should be in the log afterwards
        """
        if self._ends:
            # Finding the keeper costs a look at all members, which a VM
            # without such calls should not pay for each shard again.
            keeper = self._find_keeper(self._number)
            sent = keeper and self._send_ends(keeper, deadline, at_once)
            if not sent:
                self._move_ends()
        self.writer.flush(deadline)

    def _move_ends(self) -> None:
        with self._lock:
            ends, self._ends = self._ends, {}
        for record in ends.values():
            self.writer.note_end(record)

    def _send_ends(
        self, keeper: str, deadline: clock.Deadline, at_once: bool
    ) -> bool:
        with self._lock:
            ends = [*self._ends.values()]
        if not ends:
            return True
        limit_ms = deadline.left_ms(self._clock.now_ms())
        sent = self._peers.call(
            keeper,
            Claims.Client,
            "note_ends",
            self._number,
            [claim_messages.encode_record(record) for record in ends],
            at_once,
            timeout_ms=min(limit_ms, ENDS_TIMEOUT_MS),
        )
        if sent.is_error() or not sent.ok:
            return False
        with self._lock:
            for record in ends:
                if self._ends.get(record.digest) is record:
                    del self._ends[record.digest]
        return True

    def _ask(
        self, batch: list[PendingClaim], deadline: clock.Deadline
    ) -> None:
        """Let the keeper serve a batch, or else this VM's own writer."""
        keeper = self._find_keeper(self._number)
        if keeper is not None:
            sent = [waiter for waiter in batch if waiter.mark_sent()]
            self._ask_keeper(keeper, sent, deadline)
        left = [waiter for waiter in batch if waiter.result is None]
        if left:
            self.writer.submit(left, deadline)

    def _ask_keeper(
        self, keeper: str, sent: list[PendingClaim], deadline: clock.Deadline
    ) -> None:
        # Ends go first: a repeat of a call that ended here must find it.
        self._send_ends(keeper, deadline, False)
        wishes = [
            claim_messages.pack_request(waiter.request) for waiter in sent
        ]
        left_ms = deadline.left_ms(self._clock.now_ms())
        limit = clock.Deadline(
            self._clock.now_ms() + int(left_ms * COORDINATOR_DEADLINE_FRACTION)
        )
        verdicts = self._call_keeper(keeper, wishes, limit)
        if verdicts is None or len(verdicts) != len(sent):
            return
        for waiter, verdict in zip(sent, verdicts, strict=True):
            result = claim_messages.unpack_result(verdict)
            if result.is_ok():
                self._settle(waiter, result)

    def _call_keeper(
        self, keeper: str, wishes: list[ttypes.Wish], limit: clock.Deadline
    ) -> list[ttypes.Verdict] | None:
        """Return the keeper's verdicts, or none if it gives none.

        A busy keeper is asked again after a pause: to write here at once
        would only make it write twice.
        """
        while left_ms := limit.left_ms(self._clock.now_ms()):
            answered = self._peers.call(
                keeper,
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

    def _settle(
        self, waiter: PendingClaim, result: claim_queue.ClaimResult
    ) -> None:
        record = result.ok.record
        if waiter.settle(result) or record is None:
            return
        gave_up = waiter.result.is_error()
        if gave_up and record.owner == waiter.request.owner:
            # The attempt was told "not run" meanwhile; see ClaimWriter.
            self.note_end(record.end(claim_records.ClaimState.RELEASED, None))


class ClaimHandler(Claims.Iface):
    """Answers other VMs as the keeper of shards.

    :param writers: this VM's ends of all shards' logs
    :param clock_: where the time comes from
    """

    def __init__(
        self, writers: list[claim_writer.ClaimWriter], clock_: clock.Clock
    ) -> None:
        self._writers = writers
        self._clock = clock_
        self._places = threading.BoundedSemaphore(MAX_CONCURRENT_REQUESTS)

    def decide(
        self, shard: int, wishes: list[ttypes.Wish], limit_ms: int
    ) -> list[ttypes.Verdict]:
        """Decide about other VMs' attempts.

        :param shard: the shard's number
        :param wishes: what they wish
        :param limit_ms: how long they wait
        :returns: a verdict for each, or nothing at all if this VM is busy
        """
        waiters = [
            PendingClaim(claim_messages.unpack_request(wish), is_own=False)
            for wish in wishes
        ]
        if not self._places.acquire(blocking=False):
            return []
        try:
            limit = clock.Deadline(self._clock.now_ms() + limit_ms)
            self._writers[shard].submit(waiters, limit)
        finally:
            self._places.release()
        return [claim_messages.pack_result(one.result) for one in waiters]

    def note_ends(self, shard: int, records: list[str], at_once: bool) -> bool:
        """Take ends of other VMs' calls.

        :param shard: the shard's number
        :param records: the ends
        :param at_once: whether to write them before the answer
        :returns: whether they are taken, and written if asked to
        """
        writer = self._writers[shard]
        for text in records:
            writer.note_end(claim_messages.decode_record(text))
        if not at_once:
            return True
        if not self._places.acquire(blocking=False):
            return False
        try:
            limit = clock.Deadline(self._clock.now_ms() + ENDS_TIMEOUT_MS)
            return writer.flush(limit)
        finally:
            self._places.release()

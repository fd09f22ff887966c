"""Decides which attempt may run an at-most-once call; strongly consistent.

Claims are stored in shards. A shard is a log on a ring buffer of platform
objects, its slots. Records are appended to the newest slot by an update that
is conditional on the slot's version. Once a slot is full, the log continues in
the next one and overwrites the records of the previous round.

No two VMs can hold the same claim: a VM bases its append on its own copy of
the log. A concurrent append by another VM has changed either the newest slot
or, if that was full, the next one. In both cases it is the object that this VM
updates, so its update is rejected and it reads the log again before it
decides. This requires that the slot itself records whether it is full: if each
VM derived that from the size of its append, or from the limits of its release,
two VMs could continue in different slots.

An evicted claim does not allow a second run: overwriting a slot raises the
shard's low-watermark, which is written in the same update, to the latest time
in the ids that are lost. Ids at or below the low-watermark are rejected. The
low-watermark is part of the log, so this does not depend on any VM's clock.
"""

import enum
import typing

from mulberryway.policy import claim_records
from mulberryway.policy import claim_slots

__all__ = [
    "ClaimRequest",
    "Decision",
    "Shard",
    "Verdict",
    "pick_shard",
]

Record = claim_records.Record
ClaimState = claim_records.ClaimState

# Fixed for the lifetime of a deployment: VMs with different values would claim
# one call in two shards. 16 shards of 256 slots hold about 80,000 calls in 16
# MB.
SHARD_COUNT = 16
SLOTS = 256
# An append rewrites the whole slot, so small slots make appends cheap.
SLOT_BYTES = 4_096
# Once evicted, an id with a time in the future would raise the low-watermark
# above the ids of other callers, which would then be rejected.
MAX_AHEAD_MS = 60_000


def pick_shard(digest: str, shards: int = SHARD_COUNT) -> int:
    """Return the shard that holds a call's claim.

    :param digest: see :class:`claim_records.ClaimId`
    :param shards: number of shards
    """
    return int(digest[:8], 16) % shards


class ClaimRequest:
    """An attempt's request to claim a call.

    :param id_: the call's id
    :param call: see :func:`claim_records.fingerprint_call`
    :param owner: unique name of the attempt
    """

    __slots__ = ("id", "call", "owner")

    def __init__(
        self, id_: claim_records.ClaimId, call: str, owner: str
    ) -> None:
        self.id = id_
        self.call = call
        self.owner = owner

    def make_record(self) -> Record:
        """Return the claim record to append."""
        return Record(
            self.id.digest,
            self.id.time_ms,
            self.call,
            self.owner,
            ClaimState.CLAIMED,
        )


class Verdict(enum.Enum):
    """Result of deciding on a claim request."""

    # Not claimed as far as is known; granted by a successful append.
    FREE = "free"
    # The log contains a claim owned by this attempt.
    OWNED = "owned"
    # The call has run; its reply is cached or was too large to cache.
    RAN = "ran"
    # Another attempt owns the claim and is running, or its VM crashed.
    UNFINISHED = "unfinished"
    # The id was used before with a different call.
    REUSED = "reused"
    # The id is so old that its claim may have been evicted.
    FORGOTTEN = "forgotten"
    # The id's time lies in the future.
    AHEAD = "ahead"


class Decision:
    """A verdict and the record that it is based on.

    :param verdict: whether the attempt may run
    :param record: the call's newest record, if there is one
    """

    __slots__ = ("verdict", "record")

    def __init__(self, verdict: Verdict, record: Record | None = None) -> None:
        self.verdict = verdict
        self.record = record


class Shard:
    """One VM's copy of a shard's log.

    :param slots: number of slots in the ring
    :param slot_bytes: size in bytes at which a slot is full
    """

    def __init__(
        self, slots: int = SLOTS, slot_bytes: int = SLOT_BYTES
    ) -> None:
        self._ring = slots
        self._slot_bytes = slot_bytes
        self._slots: dict[int, claim_slots.Slot] = {}
        self._newest = -1
        self._records: dict[str, Record] = {}
        self.floor_ms = 0

    def decide(self, request: ClaimRequest, now_ms: int) -> Decision:
        """Decide on a claim request from the known part of the log.

        :param request: the claim request
        :param now_ms: current time in ms since 1970
        :returns: the verdict; ``FREE`` is only confirmed by a successful
            append
        """
        record = self._records.get(request.id.digest)
        if record is not None and record.owner == request.owner:
            if record.state is ClaimState.CLAIMED:
                return Decision(Verdict.OWNED, record)
        if self.next_floor_ms() >= request.id.time_ms:
            return Decision(Verdict.FORGOTTEN)
        if request.id.time_ms > now_ms + MAX_AHEAD_MS:
            return Decision(Verdict.AHEAD)
        if record is None:
            return Decision(Verdict.FREE)
        if record.call != request.call:
            return Decision(Verdict.REUSED, record)
        if record.state is ClaimState.DONE:
            return Decision(Verdict.RAN, record)
        if record.state is ClaimState.CLAIMED:
            return Decision(Verdict.UNFINISHED, record)
        return Decision(Verdict.FREE)

    def next_floor_ms(self) -> int:
        """Return the low-watermark that the next append writes, in ms."""
        overwritten = self._slots.get(self.next_index())
        if overwritten is None or not self.is_newest_full():
            return self.floor_ms
        lost_ms = max(
            (record.time_ms for record in overwritten.records), default=0
        )
        return max(self.floor_ms, lost_ms)

    def plan_append(self, records: list[Record]) -> claim_slots.Append:
        """Return the update that appends records.

        :param records: the records to append
        :returns: the update; the platform rejects it if the log has changed
        """
        newest = self._slots.get(self.newest_index())
        if newest is not None and not newest.is_full:
            old, sequence, slot = newest.records, newest.sequence, newest
        else:
            old, sequence = [], self._newest + 1
            slot = self._slots.get(self.next_index())
        return claim_slots.Append(
            sequence % self._ring,
            slot.version if slot is not None else None,
            sequence,
            self.next_floor_ms(),
            [*old, *records],
            self._slot_bytes,
        )

    def has_slots(self) -> bool:
        """Return whether any slot is known."""
        return bool(self._slots)

    def newest_index(self) -> int:
        """Return the newest slot's index in the ring."""
        return self._newest % self._ring

    def next_index(self) -> int:
        """Return the index of the slot that follows the newest one."""
        return (self._newest + 1) % self._ring

    def is_newest_full(self) -> bool:
        """Return whether the next append starts a new slot."""
        newest = self._slots.get(self.newest_index())
        return newest is not None and newest.is_full

    def apply_slot(
        self, slot_index: int, value: dict[str, typing.Any], version: int
    ) -> list[Record]:
        """Merge a slot that was read from the platform.

        A version that is not newer than the known one, from a lagging replica
        or a delayed response, is ignored. Otherwise a known claim would be
        lost and the call could run twice.

        :param slot_index: the slot's index in the ring
        :param value: the object's value
        :param version: the object's version
        :returns: the records that were not known before
        :raises ValueError: if the value is malformed
        """
        known = self._slots.get(slot_index)
        if known is not None and version <= known.version:
            return []
        return self._put(
            slot_index, known, claim_slots.decode_slot(value, version)
        )

    def apply_append(
        self, append: claim_slots.Append, version: int
    ) -> list[Record]:
        """Merge this VM's own successful append.

        :param append: the append that the platform accepted
        :param version: the object's new version
        :returns: the records that were not known before
        """
        slot = claim_slots.Slot(
            append.sequence,
            version,
            append.is_full,
            append.floor_ms,
            append.records,
        )
        return self._put(
            append.slot_index, self._slots.get(append.slot_index), slot
        )

    def _put(
        self,
        slot_index: int,
        known: claim_slots.Slot | None,
        slot: claim_slots.Slot,
    ) -> list[Record]:
        self._slots[slot_index] = slot
        self._newest = max(self._newest, slot.sequence)
        same = known is not None and known.sequence == slot.sequence
        new_records = slot.records[len(known.records) if same else 0 :]
        for record in new_records:
            self._apply(record)
        if slot.floor_ms > self.floor_ms:
            self._raise_floor(slot.floor_ms)
        return new_records

    def is_whole(self) -> bool:
        """Return whether the last round of the log is known without a gap.

        If the log has wrapped around since this VM last read it, or if the
        entries of a listing have different ages, a slot is older than the
        newest one implies: it is of an earlier round, or not marked full
        although the log has continued. Decisions based on such a copy would
        miss claims.
        """
        oldest = max(self._newest - self._ring + 1, 0)
        return all(
            (slot := self._slots.get(sequence % self._ring)) is not None
            and slot.sequence == sequence
            and (slot.is_full or sequence == self._newest)
            for sequence in range(oldest, self._newest + 1)
        )

    def _apply(self, record: Record) -> None:
        known = self._records.get(record.digest)
        free = known is None or known.state is ClaimState.RELEASED
        if record.state is ClaimState.CLAIMED:
            if free:
                self._records[record.digest] = record
        elif known is not None and known.owner == record.owner:
            self._records[record.digest] = record

    def _raise_floor(self, floor_ms: int) -> None:
        self.floor_ms = floor_ms
        self._records = {
            digest: record
            for digest, record in self._records.items()
            if record.time_ms > floor_ms
        }

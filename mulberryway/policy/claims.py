"""Which attempt may run a call that must run at most once: a promise.

Claims are kept in shards.  A shard is a log on a ring of platform objects,
its slots: records are appended to the newest slot by an update that is
conditional on the slot's version, and once a slot is full the log goes on in
the next one, over what stood there one round earlier.

Why two VMs can never both hold a claim: a VM appends from what it knows of
the log.  Whoever was faster has changed either the newest slot or, if that
was full, the next one; both are the object that the slower VM updates, so
its update is refused and it reads on before it decides again.  For that,
whether a slot is full stands in the slot itself: two VMs that each judged by
the size of what they append, or by limits of two releases, could go on in
two different slots.

Why a forgotten claim does not run again: overwriting a slot raises the
shard's floor, written along with it, to the latest time in the ids that are
lost with it.  Ids at or below the floor are refused.  The floor is part of
the log, so no clock of any VM has to be right for this.
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

# Fixed for a deployment's life: two VMs that disagreed would claim one call
# in two shards.  16 shards of 256 slots hold some 80,000 calls in 16 MB.
SHARD_COUNT = 16
SLOTS = 256
# An append sends the whole slot again, so small slots keep appends cheap.
SLOT_BYTES = 4_096
# An id whose time lies ahead would, once forgotten, raise the floor above
# the ids of honest callers and have them refused.
MOST_AHEAD_MS = 60_000


def pick_shard(digest: str, shards: int = SHARD_COUNT) -> int:
    """Return the shard that holds a call's claim.

    :param digest: see :class:`claim_records.ClaimId`
    :param shards: how many there are
    """
    return int(digest[:8], 16) % shards


class ClaimRequest:
    """An attempt's wish to run a call.

    :param id_: the call's id
    :param call: see :func:`claim_records.fingerprint_call`
    :param owner: names the attempt; no two attempts have the same
    """

    __slots__ = ("id", "call", "owner")

    def __init__(
        self, id_: claim_records.ClaimId, call: str, owner: str
    ) -> None:
        self.id = id_
        self.call = call
        self.owner = owner

    def make_record(self) -> Record:
        """Return the claim to write."""
        return Record(
            self.id.digest,
            self.id.time_ms,
            self.call,
            self.owner,
            ClaimState.CLAIMED,
        )


class Verdict(enum.Enum):
    """What an attempt may do."""

    # Free as far as is known: to be granted by a successful append.
    FREE = "free"
    # The claim stands in the log under this attempt's name.
    OWNED = "owned"
    # The call has run; its reply is known or was too large to keep.
    RAN = "ran"
    # Another attempt holds the claim, or held it when its VM died.
    UNFINISHED = "unfinished"
    # The same id came with another call.
    REUSED = "reused"
    # The id is so old that its claim may be forgotten.
    FORGOTTEN = "forgotten"
    # The id's time lies in the future.
    AHEAD = "ahead"


class Decision:
    """A verdict and the record behind it.

    :param verdict: what the attempt may do
    :param record: the call's newest record, if there is one
    """

    __slots__ = ("verdict", "record")

    def __init__(self, verdict: Verdict, record: Record | None = None) -> None:
        self.verdict = verdict
        self.record = record


class Shard:
    """What one VM knows of one shard's log.

    :param slots: how many slots the ring has
    :param slot_bytes: a slot with so many bytes is full
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
        """Say what an attempt may do as far as the log is known.

        :param request: the wish
        :param now_ms: milliseconds since 1970
        :returns: the verdict; ``FREE`` holds only once the append succeeds
        """
        record = self._records.get(request.id.digest)
        if record is not None and record.owner == request.owner:
            if record.state is ClaimState.CLAIMED:
                return Decision(Verdict.OWNED, record)
        if self.next_floor_ms() >= request.id.time_ms:
            return Decision(Verdict.FORGOTTEN)
        if request.id.time_ms > now_ms + MOST_AHEAD_MS:
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
        """Return the floor that the next append writes."""
        overwritten = self._slots.get(self.next_index())
        if overwritten is None or not self.is_newest_full():
            return self.floor_ms
        lost_ms = max(
            (record.time_ms for record in overwritten.records), default=0
        )
        return max(self.floor_ms, lost_ms)

    def plan_append(self, records: list[Record]) -> claim_slots.Append:
        """Return the update that appends records.

        :param records: what to append
        :returns: the update, refused by the platform if the log has moved
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
        """Tell whether any slot is known."""
        return bool(self._slots)

    def newest_index(self) -> int:
        """Return the newest slot's place in the ring."""
        return self._newest % self._ring

    def next_index(self) -> int:
        """Return the place at which the log goes on after the newest."""
        return (self._newest + 1) % self._ring

    def is_newest_full(self) -> bool:
        """Tell whether the log goes on after the newest slot."""
        newest = self._slots.get(self.newest_index())
        return newest is not None and newest.is_full

    def apply_slot(
        self, place: int, value: dict[str, typing.Any], version: int
    ) -> list[Record]:
        """Take in a slot as the platform answered it.

        An answer older than what is known, from a replica that has fallen
        behind or a reply that came late, changes nothing: a claim that was
        known would be forgotten, and the call would run again.

        :param place: the slot's place in the ring
        :param value: the object's value
        :param version: the object's version
        :returns: records that were not known before
        :raises ValueError: if the value is malformed
        """
        known = self._slots.get(place)
        if known is not None and version <= known.version:
            return []
        return self._put(place, known, claim_slots.decode_slot(value, version))

    def apply_append(
        self, append: claim_slots.Append, version: int
    ) -> list[Record]:
        """Take in what this VM has appended itself.

        :param append: the append, which the platform has taken
        :param version: the object's new version
        :returns: records that were not known before
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
        place: int,
        known: claim_slots.Slot | None,
        slot: claim_slots.Slot,
    ) -> list[Record]:
        self._slots[place] = slot
        self._newest = max(self._newest, slot.sequence)
        same = known is not None and known.sequence == slot.sequence
        fresh = slot.records[len(known.records) if same else 0 :]
        for record in fresh:
            self._apply(record)
        if slot.floor_ms > self.floor_ms:
            self._raise_floor(slot.floor_ms)
        return fresh

    def is_whole(self) -> bool:
        """Tell whether the log's last round is known without a gap.

        After the log has gone round while this VM did not look, or in a
        list whose parts are of different ages, a slot is older than the
        newest one says: of another round, or not full yet although the log
        went on.  Decisions from it would miss claims.
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

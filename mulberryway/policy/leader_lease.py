"""Elects the one VM that may send orders to engines; strongly consistent.

The lease is one object in the platform. Clocks of VMs are never compared: the
holder measures its lease from before its write, and another VM from after it
first read that write, so the other VM's measurement ends later.

The store may return from an older copy and lose the lease. The holder then
writes it again before its next order, and nobody takes it over for as long as
a lease may have been held.
"""

import collections.abc
import enum
import hashlib

from mulberryway import clock
from mulberryway.objects import position

__all__ = ["LeaderLease", "LeaseAction", "LeaseRecord", "choose_candidates"]

# A short lease would change the leader whenever the platform is slow. Orders
# are rare, so a period without a leader costs little.
LEASE_MS = 30_000
RENEW_MS = 8_000
# How often candidates read the lease. With three candidates and the holder's
# renewals, the platform receives less than one call per second, regardless of
# the number of VMs.
POLL_MS = 5_000
CANDIDATE_COUNT = 3
# Longest time for which an order can be in flight: the timeout of the engine
# client. An engine that ignores fencing tokens may receive an order of the old
# leader after one of the new leader. So no order is sent to such an engine
# with less than this left of the lease, and a new leader waits this long
# before its first order.
MAX_IN_FLIGHT_MS = 5_000
# Maximum relative drift between two clocks; quartz clocks are a hundred times
# better.
MAX_DRIFT_FRACTION = 0.01
# The time after which a lease of another VM has expired.
TAKEOVER_WAIT_MS = int(LEASE_MS * (1 + MAX_DRIFT_FRACTION))
# Fencing tokens of an era are above this multiple of it, so that those of an
# earlier one, which the store may have lost, are not given out again.
ERA_TOKENS = 2**20


class LeaseRecord:
    """Content of the lease object in the platform.

    :param holder: name of the VM that holds the lease
    :param incarnation: incarnation of that VM's process
    :param fencing: fencing token; incremented for each new holder
    :param renewal: incremented with each renewal, so that all writes differ
    """

    __slots__ = ("holder", "incarnation", "fencing", "renewal")

    def __init__(
        self, holder: str, incarnation: int, fencing: int, renewal: int
    ) -> None:
        self.holder = holder
        self.incarnation = incarnation
        self.fencing = fencing
        self.renewal = renewal


class LeaseAction(enum.Enum):
    """Next action of a VM on the lease."""

    WAIT = "wait"
    READ = "read"
    WRITE = "write"


class LeaderLease:
    """One VM's view of the lease.

    :param vm: this VM's name
    :param incarnation: incarnation of its process
    :param is_first_start: whether no VM can have held the lease before; if
        not, the store may have lost a lease that is still held
    """

    def __init__(
        self, vm: str, incarnation: int, is_first_start: bool = True
    ) -> None:
        self._vm = vm
        self._is_first_start = is_first_start
        self._incarnation = incarnation
        self._record: LeaseRecord | None = None
        self._version = position.ORIGIN
        self._era = 0
        self._max_fencing = 0
        # Whether the store may have lost the lease that this VM holds.
        self._must_confirm = False
        self._takeover_from_ms = 0
        self._changed_ms = 0
        self._read_ms: int | None = None
        self._held_until: clock.Deadline | None = None
        self._renewed_ms = 0
        self._wait_until_ms = 0

    @property
    def version(self) -> position.Position:
        """The object's position in the store as last read or written."""
        return self._version

    @property
    def fencing(self) -> int:
        """The fencing token that is sent with orders; 0 if none is known."""
        return self._record.fencing if self._record is not None else 0

    def record_era(self, era: int, now_ms: int) -> bool:
        """Record the store's era; call it before each decision.

        :param era: the era that this VM knows; 0 if the store names none
        :param now_ms: current time in ms
        :returns: whether the store may have lost the lease since the last call
        """
        if era <= self._era:
            return False
        was_known = self._era > 0 or self._read_ms is not None
        self._era = era
        if not was_known and self._is_first_start:
            return False
        self._version = position.ORIGIN
        self._read_ms = None
        self._must_confirm = self._holds(now_ms)
        self._takeover_from_ms = now_ms + TAKEOVER_WAIT_MS
        return True

    def decide(self, is_candidate: bool, now_ms: int) -> LeaseAction:
        """Return the action that is due now.

        :param is_candidate: whether this VM may become the leader
        :param now_ms: current time in ms
        :returns: the action
        """
        if self._holds(now_ms):
            if self._must_confirm and is_candidate and self._read_ms is None:
                return LeaseAction.READ
            is_due = (
                self._must_confirm or now_ms - self._renewed_ms >= RENEW_MS
            )
            # A VM that is no longer a candidate lets its lease expire.
            return (
                LeaseAction.WRITE
                if is_due and is_candidate
                else LeaseAction.WAIT
            )
        if not is_candidate:
            return LeaseAction.WAIT
        if self._read_ms is None or now_ms - self._read_ms >= POLL_MS:
            return LeaseAction.READ
        return (
            LeaseAction.WRITE
            if self._has_expired(now_ms)
            else LeaseAction.WAIT
        )

    def record_read(
        self,
        record: LeaseRecord | None,
        version: position.Position,
        now_ms: int,
    ) -> None:
        """Apply the lease object as read from the platform.

        :param record: its content; none if there is no object
        :param version: its position; the origin if there is no object
        :param now_ms: time after the read, in ms
        """
        self._read_ms = now_ms
        if version < self._version:
            # A stale read must not restore an earlier holder.
            return
        if self._must_confirm and self._holds(now_ms):
            if record is None or record.fencing <= self.fencing:
                # The copy has an earlier state of the lease, or none.
                self._version = version
                return
            self._must_confirm = False
        if record is not None:
            self._max_fencing = max(self._max_fencing, record.fencing)
        if version != self._version:
            self._changed_ms = now_ms
        self._record, self._version = record, version
        if record is not None and not self._is_own(record):
            self._held_until = None

    def make_record(self, now_ms: int) -> LeaseRecord:
        """Return the record that renews or acquires the lease.

        :param now_ms: current time in ms
        :returns: the record, with a new fencing token if it acquires the lease
        """
        current = self._record
        if (
            current is not None
            and self._holds(now_ms)
            and self._is_own(current)
        ):
            return LeaseRecord(
                self._vm,
                self._incarnation,
                current.fencing,
                current.renewal + 1,
            )
        fencing = max(self._max_fencing, self._era * ERA_TOKENS) + 1
        return LeaseRecord(self._vm, self._incarnation, fencing, 0)

    def record_write(
        self,
        record: LeaseRecord,
        version: position.Position,
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """Record that the platform accepted a write.

        :param record: the record that was written
        :param version: the object's new position
        :param sent_ms: time before the write was sent, in ms
        :param now_ms: current time in ms
        """
        # No order can be in flight before the first lease ever.
        if self._max_fencing and record.fencing != self.fencing:
            self._wait_until_ms = now_ms + MAX_IN_FLIGHT_MS
        self._max_fencing = max(self._max_fencing, record.fencing)
        self._must_confirm = False
        self._record, self._version = record, version
        self._changed_ms = now_ms
        self._renewed_ms = sent_ms
        self._held_until = clock.Deadline(sent_ms + LEASE_MS)

    def record_deleted(self) -> None:
        """Record that the lease object was deleted.

        The next write creates it with a fencing token above the last known
        one, so engines continue to reject lower tokens.
        """
        self._version = position.ORIGIN

    def lose(self) -> None:
        """Give up the lease after a lost write or a fenced-off order."""
        self._held_until = None
        self._must_confirm = False
        self._read_ms = None

    def may_send(self, checks_fencing: bool, now_ms: int) -> bool:
        """Return whether an order may be sent now.

        Must be called immediately before each order, not once for several,
        because the process may have been paused in between.

        :param checks_fencing: whether the engine rejects old fencing tokens;
            an engine that ignores them is protected by timing alone
        :param now_ms: current time in ms
        :returns: true if the order may be sent
        """
        if self._must_confirm or not self._holds(now_ms):
            return False
        if checks_fencing:
            return True
        assert self._held_until is not None
        left_ms = self._held_until.left_ms(now_ms)
        return left_ms > MAX_IN_FLIGHT_MS and now_ms >= self._wait_until_ms

    def _holds(self, now_ms: int) -> bool:
        return self._held_until is not None and not (
            self._held_until.has_passed(now_ms)
        )

    def _has_expired(self, now_ms: int) -> bool:
        if now_ms < self._takeover_from_ms:
            return False
        if self._record is None:
            return True
        return now_ms - self._changed_ms >= TAKEOVER_WAIT_MS

    def _is_own(self, record: LeaseRecord) -> bool:
        return (record.holder, record.incarnation) == (
            self._vm,
            self._incarnation,
        )


def choose_candidates(vms: collections.abc.Iterable[str]) -> list[str]:
    """Return the VMs that may become the leader.

    The platform counts every call, and its rate limits grow more slowly than
    the fleet, so only a few VMs poll the lease.

    :param vms: the names of all live VMs
    :returns: at most :data:`CANDIDATE_COUNT` names, the same for all VMs with
        the same list of members
    """
    return sorted(vms, key=_hash)[:CANDIDATE_COUNT]


def _hash(vm: str) -> bytes:
    return hashlib.blake2b(f"issuer/{vm}".encode(), digest_size=8).digest()

"""Who may give orders to engines: one issuer at a time.  A promise.

The lease is one object in the platform.  Clocks of VMs are never compared:
a holder counts its lease from before it wrote, and another VM counts from
after it first saw what was written, so the other's count ends later.
"""

import collections.abc
import enum
import hashlib

from mulberryway import clock

__all__ = ["LeaderLease", "LeaseAction", "LeaseRecord", "choose_candidates"]

# A short lease lets issuers change whenever the platform is slow.  Orders are
# rare, so a while without an issuer costs little.
LEASE_MS = 30_000
RENEW_MS = 8_000
# Candidates look this often.  With three of them and the holder's renewals
# the platform has under one call a second, however many VMs there are.
LOOK_MS = 5_000
CANDIDATE_COUNT = 3
# The longest that an order can be under way: the engine client's timeout.  An
# engine that ignores fencing tokens may take an old issuer's order after the
# new issuer's.  So nothing is sent to it with less of the lease left, and a
# new issuer waits as long before its first.
MAX_IN_FLIGHT_MS = 5_000
# Two clocks that count the same time may differ by so much; quartz is a
# hundred times better.
DRIFT_PART = 0.01


class LeaseRecord:
    """What the platform's object says.

    :param holder: the VM that holds the lease
    :param incarnation: which life of that VM's process
    :param fencing: grows by one with each new holder
    :param renewal: grows with each renewal, so that each write differs
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
    """What a VM should do about the lease now."""

    WAIT = "wait"
    READ = "read"
    WRITE = "write"


class LeaderLease:
    """One VM's side of the lease.

    :param vm: this VM's name
    :param incarnation: which life of its process
    """

    def __init__(self, vm: str, incarnation: int) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._seen: LeaseRecord | None = None
        self._version = 0
        self._changed_ms = 0
        self._read_ms: int | None = None
        self._held_until: clock.Deadline | None = None
        self._renewed_ms = 0
        self._quiet_until_ms = 0

    @property
    def version(self) -> int:
        """The platform's version of the object that was seen last."""
        return self._version

    @property
    def fencing(self) -> int:
        """The fencing number that goes with orders; 0 if none is held."""
        return self._seen.fencing if self._seen is not None else 0

    def decide(self, is_candidate: bool, now_ms: int) -> LeaseAction:
        """Return what to do now.

        :param is_candidate: whether this VM may become the issuer
        :param now_ms: the present
        :returns: the act
        """
        if self._holds(now_ms):
            is_due = now_ms - self._renewed_ms >= RENEW_MS
            # A VM that is no candidate any more lets its lease end.
            return (
                LeaseAction.WRITE
                if is_due and is_candidate
                else LeaseAction.WAIT
            )
        if not is_candidate:
            return LeaseAction.WAIT
        if self._read_ms is None or now_ms - self._read_ms >= LOOK_MS:
            return LeaseAction.READ
        return (
            LeaseAction.WRITE if self._has_lapsed(now_ms) else LeaseAction.WAIT
        )

    def record_read(
        self, record: LeaseRecord | None, version: int, now_ms: int
    ) -> None:
        """Take in what the platform's object says.

        :param record: its content; none if there is no object
        :param version: its version; 0 if there is no object
        :param now_ms: the time after the read
        """
        self._read_ms = now_ms
        if version < self._version:
            # A stale read must not bring an old holder back.
            return
        if version != self._version:
            self._changed_ms = now_ms
        self._seen, self._version = record, version
        if record is not None and not self._is_own(record):
            self._held_until = None

    def make_record(self, now_ms: int) -> LeaseRecord:
        """Return what to write so as to renew the lease or to take it.

        :param now_ms: the present
        :returns: the record; a new fencing number if the lease is taken
        """
        seen = self._seen
        if seen is not None and self._holds(now_ms) and self._is_own(seen):
            return LeaseRecord(
                self._vm, self._incarnation, seen.fencing, seen.renewal + 1
            )
        fencing = seen.fencing + 1 if seen is not None else 1
        return LeaseRecord(self._vm, self._incarnation, fencing, 0)

    def note_written(
        self, record: LeaseRecord, version: int, sent_ms: int, now_ms: int
    ) -> None:
        """Take in that the platform has what was written.

        :param record: what was written
        :param version: the object's new version
        :param sent_ms: the time before the write was sent
        :param now_ms: the present
        """
        # Nobody's orders can be under way before the first lease of all.
        is_new = self._seen is not None or record.fencing > 1
        if is_new and (
            self._seen is None or record.fencing != self._seen.fencing
        ):
            self._quiet_until_ms = now_ms + MAX_IN_FLIGHT_MS
        self._seen, self._version = record, version
        self._changed_ms = now_ms
        self._renewed_ms = sent_ms
        self._held_until = clock.Deadline(sent_ms + LEASE_MS)

    def record_deleted(self) -> None:
        """Take in that the platform's object was deleted.

        The next write creates it, with a fencing number above what was seen:
        engines go on to refuse lower ones.
        """
        self._version = 0

    def lose(self) -> None:
        """Hold the lease no longer: a write lost, or an order fenced off."""
        self._held_until = None
        self._read_ms = None

    def may_send(self, checks_fencing: bool, now_ms: int) -> bool:
        """Tell whether an order may leave right now.

        Asked immediately before each order, never once for several: the
        process may have been paused since the last.

        :param checks_fencing: whether the engine refuses old numbers; one
            that ignores them is protected by time alone
        :param now_ms: the present
        :returns: whether
        """
        if not self._holds(now_ms):
            return False
        if checks_fencing:
            return True
        assert self._held_until is not None
        left_ms = self._held_until.left_ms(now_ms)
        return left_ms > MAX_IN_FLIGHT_MS and now_ms >= self._quiet_until_ms

    def _holds(self, now_ms: int) -> bool:
        return self._held_until is not None and not (
            self._held_until.has_passed(now_ms)
        )

    def _has_lapsed(self, now_ms: int) -> bool:
        if self._seen is None:
            return True
        wait_ms = LEASE_MS * (1 + DRIFT_PART)
        return now_ms - self._changed_ms >= wait_ms

    def _is_own(self, record: LeaseRecord) -> bool:
        return (record.holder, record.incarnation) == (
            self._vm,
            self._incarnation,
        )


def choose_candidates(vms: collections.abc.Iterable[str]) -> list[str]:
    """Return the VMs that may become the issuer.

    The platform counts each call, and its rates grow more slowly than the
    fleet, so only a few VMs look at the lease.

    :param vms: all VMs that live
    :returns: at most three, the same for all who see the same list
    """
    return sorted(vms, key=_hash)[:CANDIDATE_COUNT]


def _hash(vm: str) -> bytes:
    return hashlib.blake2b(f"issuer/{vm}".encode(), digest_size=8).digest()

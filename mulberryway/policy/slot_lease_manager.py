"""Decides which slot leases this process acquires, renews and releases.

Invariant: no account is granted more than its limit.
"""

import enum

from mulberryway.policy import allowance_slots
from mulberryway.policy import allowance_times

__all__ = ["LeaseAction", "SlotLeaseManager"]

FIRST_TERM = 1


class LeaseAction(enum.Enum):
    """Write that a decision about a slot requires."""

    NONE = "none"
    TAKE = "take"
    RENEW = "renew"
    RELEASE = "release"


class SlotLeaseManager:
    """Decides which slot leases this process acquires, renews and releases.

    A slot is taken over only in one of these cases:

    - its holder has released it;
    - a newer incarnation runs at the same VM and address (the port is bound,
      so the older process has ended);
    - the platform's VM list has contained the holder, and has then lacked it
      for ``absence_timeout_ms``;
    - its lease has expired.

    If a slot were taken from a holder that only seems to have crashed, two
    VMs would spend the same tokens.

    :param vm: name of this VM
    :param address: IP address of this VM
    :param incarnation: incarnation of this process
    :param times: durations of leases and margins
    """

    def __init__(
        self,
        vm: str,
        address: str,
        incarnation: int,
        times: allowance_times.AllowanceTimes,
    ) -> None:
        self.vm = vm
        self.address = address
        self.incarnation = incarnation
        self.holdings: dict[int, allowance_slots.Holding] = {}
        self.is_listed = False
        self._times = times
        self._leases: dict[int, tuple[tuple[int, int], int]] = {}
        self._absent: dict[tuple[str, str], tuple[int, int]] = {}

    def find_valid(
        self, slot: int, now_ms: int
    ) -> allowance_slots.Holding | None:
        """Return the holding of a slot if its lease has not expired.

        :param slot: number of the slot
        :param now_ms: current time in ms, read immediately before use
        :returns: the holding, or None
        """
        holding = self.holdings.get(slot)
        if holding is None or holding.until_ms <= now_ms:
            return None
        return holding

    def update_vm_list(
        self, listed: set[tuple[str, str]], now_ms: int
    ) -> None:
        """Apply the platform's current list of VMs.

        :param listed: names and addresses of the listed VMs
        :param now_ms: time in ms at which the list was requested
        """
        self.is_listed = (self.vm, self.address) in listed
        remaining = {
            vm: times for vm, times in self._absent.items() if vm not in listed
        }
        self._absent = {
            vm: (first, now_ms) for vm, (first, _) in remaining.items()
        }

    def track_absence(
        self,
        slot: int,
        record: allowance_slots.SlotRecord,
        listed: set[tuple[str, str]],
        listed_ms: int,
    ) -> None:
        """Start to measure how long a holder is missing from the VM list.

        Only a list that was requested after the record was seen counts, and
        only if the holder has seen itself in the list: a new VM is not
        listed yet and must not be mistaken for a removed one.

        :param slot: number of the slot
        :param record: the slot's record, which names the holder
        :param listed: names and addresses of the listed VMs
        :param listed_ms: time in ms at which the list was requested
        """
        lease, seen_ms = self._leases.get(slot, (None, 0))
        is_seen = lease == record.lease_version() and seen_ms <= listed_ms
        key = (record.vm, record.address)
        if is_seen and record.is_listed and key not in listed:
            self._absent.setdefault(key, (listed_ms, listed_ms))

    def decide(
        self,
        slot: int,
        record: allowance_slots.SlotRecord | None,
        is_preferred_holder: bool,
        now_ms: int,
    ) -> LeaseAction:
        """Decide about a slot, given its current record on the platform.

        :param slot: number of the slot
        :param record: its record, or None if it was never taken
        :param is_preferred_holder: whether this VM should hold the slot
        :param now_ms: current time in ms
        :returns: the write that is required
        """
        self._track_lease(slot, record, now_ms)
        holding = self.holdings.get(slot)
        if holding is not None and not self._is_valid(holding, record, now_ms):
            del self.holdings[slot]
            holding = None
        if holding is not None:
            if not is_preferred_holder:
                return LeaseAction.RELEASE
            is_due = holding.until_ms - now_ms <= self._times.renew_before_ms
            return LeaseAction.RENEW if is_due else LeaseAction.NONE
        if is_preferred_holder:
            is_free = self._can_take(slot, record, now_ms)
            return LeaseAction.TAKE if is_free else LeaseAction.NONE
        # Either a release was lost, or this VM's previous process held the
        # slot.  No other VM can take it while the platform lists this VM.
        is_unreleased = record is not None and not record.is_released
        if is_unreleased and self._is_from_this_vm(record):
            return LeaseAction.RELEASE
        return LeaseAction.NONE

    def make_record(
        self, decision: LeaseAction, record: allowance_slots.SlotRecord | None
    ) -> allowance_slots.SlotRecord:
        """Return the record to write for a decision.

        :param decision: the decision
        :param record: the record that the decision was based on
        :returns: the new record
        """
        term = 0 if record is None else record.term
        renewals = 0 if record is None else record.renewals
        if decision is LeaseAction.TAKE:
            term, renewals = term + 1, 0
        elif decision is LeaseAction.RENEW:
            renewals += 1
        return allowance_slots.SlotRecord(
            self.vm,
            self.address,
            self.incarnation,
            term,
            renewals,
            self.is_listed,
            decision is LeaseAction.RELEASE,
        )

    def record_write(
        self,
        slot: int,
        decision: LeaseAction,
        record: allowance_slots.SlotRecord,
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """Apply a write that the platform has accepted.

        The lease is measured from before the write was sent, while other VMs
        measure it from when they see it.  A newly taken slot fills from
        empty, and only after all loans of its previous holder have expired,
        because the tokens spent by that holder and its borrowers are not
        known.  The first holder ever does not wait.

        :param slot: number of the slot
        :param decision: the decision that was written
        :param record: the record that was written
        :param sent_ms: time in ms immediately before the write was sent
        :param now_ms: current time in ms
        """
        until_ms = sent_ms + self._times.lease_ms
        if decision is LeaseAction.TAKE:
            is_first = record.term == FIRST_TERM
            wait_ms = 0 if is_first else self._times.max_loan_ms
            self.holdings[slot] = allowance_slots.Holding(
                slot, record.term, until_ms, now_ms + wait_ms
            )
        elif decision is LeaseAction.RENEW and slot in self.holdings:
            self.holdings[slot].until_ms = until_ms

    def give_up(self, slot: int) -> None:
        """Stop using a slot; call this before its release is written.

        :param slot: number of the slot
        """
        self.holdings.pop(slot, None)

    def _is_valid(
        self,
        holding: allowance_slots.Holding,
        record: allowance_slots.SlotRecord | None,
        now_ms: int,
    ) -> bool:
        is_current = record is not None and record.term == holding.term
        is_unexpired = holding.until_ms > now_ms
        return is_unexpired and is_current and self._is_recorded(record)

    def _is_recorded(self, record: allowance_slots.SlotRecord | None) -> bool:
        return (
            record is not None
            and not record.is_released
            and record.vm == self.vm
            and record.incarnation == self.incarnation
        )

    def _track_lease(
        self, slot: int, record: allowance_slots.SlotRecord | None, now_ms: int
    ) -> None:
        if record is None:
            self._leases.pop(slot, None)
            return
        known = self._leases.get(slot)
        if known is None or known[0] != record.lease_version():
            self._leases[slot] = (record.lease_version(), now_ms)

    def _can_take(
        self, slot: int, record: allowance_slots.SlotRecord | None, now_ms: int
    ) -> bool:
        if record is None or record.is_released:
            return True
        if self._is_from_this_vm(record):
            return True
        return self._is_removed(slot, record) or self._has_expired(
            slot, now_ms
        )

    def _is_from_this_vm(self, record: allowance_slots.SlotRecord) -> bool:
        """Return whether this VM's current or an earlier process wrote it."""
        is_vm = (record.vm, record.address) == (self.vm, self.address)
        return is_vm and record.incarnation <= self.incarnation

    def _is_removed(
        self, slot: int, record: allowance_slots.SlotRecord
    ) -> bool:
        absent = self._absent.get((record.vm, record.address))
        if absent is None or not record.is_listed:
            return False
        # The VM may have been listed again since and have taken the slot
        # anew.  Only absence after this record was seen counts.
        _, seen_ms = self._leases[slot]
        first_ms, last_ms = absent
        absent_ms = last_ms - max(first_ms, seen_ms)
        return absent_ms >= self._times.absence_timeout_ms

    def _has_expired(self, slot: int, now_ms: int) -> bool:
        _, seen_ms = self._leases[slot]
        lease_ms = self._times.lease_ms + self._times.lease_margin_ms
        return now_ms - seen_ms >= lease_ms

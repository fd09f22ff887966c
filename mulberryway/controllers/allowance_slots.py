"""Acquires, renews and releases slot leases on the platform."""

import collections.abc
import random
import typing

from mulberryway import clock
from mulberryway import errors
from mulberryway.controllers import allowance_state
from mulberryway.controllers import base
from mulberryway.objects import base as platform
from mulberryway.policy import allowance_slots
from mulberryway.policy import member
from mulberryway.policy import slot_lease_manager

__all__ = ["AllowanceSlotsController", "KIND", "MemberSource"]

KIND = "allowances"
PURPOSE = "allowances"
PREFIX = "group-"
STEP_MS = 1_000
# Bounds the load of one VM on the platform: a few objects per step.
MAX_GROUPS_PER_STEP = 16
# A shutdown does not wait longer for an unreachable platform.  Slots that
# were not released are taken over once the platform no longer lists the VM.
RELEASE_TIMEOUT_MS = 5_000


class MemberSource(typing.Protocol):
    """The interface of the membership controller that is used here."""

    def list_members(self) -> list[member.Member]:
        """Return copies of all known members, including this VM."""

    def update_local(
        self, is_stopping: bool | None = None, holdings: bytes | None = None
    ) -> None:
        """Change the state that this VM announces of itself."""


class AllowanceSlotsController(base.Controller):
    """Acquires and releases slots until this VM holds the preferred ones.

    :param state: local allowance state
    :param store: object store of the platform
    :param membership: source of the known members
    :param clock_: time source
    """

    def __init__(
        self,
        state: allowance_state.AllowanceState,
        store: platform.ObjectStore,
        membership: MemberSource,
        clock_: clock.Clock,
    ) -> None:
        super().__init__("allowance-slots", clock_, STEP_MS)
        self._state = state
        self._store = store
        self._membership = membership
        self._times = state.times
        self._random = random.Random(state.borrower_name)
        self._start_ms = clock_.now_ms()
        self._next_attempt_ms: dict[int, int] = {}
        self._alive_since: dict[tuple[str, int], int] = {}
        self._candidates: list[str] = []
        self._next_list_ms = 0
        self._next_move_ms = 0
        self._listed: set[tuple[str, str]] = set()
        self._listed_ms: int | None = None
        self._announced: bytes | None = None
        self._is_shutting_down = False
        # Groups whose records may differ from what this process decided.
        self._unconfirmed: set[int] = set()
        self._has_read_own = False

    def step(self) -> None:
        """Process the slots that need a write, a few groups at a time."""
        now_ms = self.clock.now_ms()
        members = self._membership.list_members()
        self._update_members(members, now_ms)
        if now_ms - self._start_ms >= self._times.startup_delay_ms:
            self._read_own_records()
            due = self._list_due(now_ms)
            for group in due[:MAX_GROUPS_PER_STEP]:
                self._reconcile(group)
        self._announce_holdings()

    def release_all(self) -> None:
        """Release all slots, as the last step of a graceful shutdown."""
        self._is_shutting_down = True
        with self._state.lock:
            slots = list(self._state.lease_manager.holdings)
            for slot in slots:
                self._state.lease_manager.give_up(slot)
        deadline = clock.Deadline(self.clock.now_ms() + RELEASE_TIMEOUT_MS)
        for group in {slot // self._state.parts for slot in slots}:
            if not deadline.has_passed(self.clock.now_ms()):
                self._reconcile(group)
        self._announce_holdings()

    def _update_members(
        self, members: list[member.Member], now_ms: int
    ) -> None:
        accepting = [vm for vm in members if vm.accepts_callers]
        since = self._alive_since
        self._alive_since = {
            (vm.name, vm.incarnation): since.get(
                (vm.name, vm.incarnation), now_ms
            )
            for vm in accepting
        }
        self._candidates = [vm.name for vm in accepting]
        holders = {
            slot: vm.peer
            for vm in members
            if vm.health is not member.MemberStatus.DEAD
            and vm.name != self._state.lease_manager.vm
            for slot in allowance_state.unpack_holdings(vm.holdings)
        }
        with self._state.lock:
            self._state.holders = holders

    def _read_own_records(self) -> None:
        """Find slots that the records attribute to this VM's last process.

        No other VM may acquire them while the platform lists this VM.  If
        another VM is their preferred holder now, they would stay blocked until
        the leases expire.
        """
        if self._has_read_own:
            return
        stored = self._store.read_all(KIND, PURPOSE)
        if not stored.is_ok():
            return
        self._has_read_own = True
        own = self._state.lease_manager.vm
        self._unconfirmed |= {
            int(item.name.removeprefix(PREFIX))
            for item in stored.ok
            if any(
                record.vm == own and not record.is_released
                for record in _read_records(item.value).values()
            )
        }

    def _list_due(self, now_ms: int) -> list[int]:
        parts = self._state.parts
        with self._state.lock:
            holders = self._state.holders
            due = {
                slot // parts
                for slot in range(self._state.groups * parts)
                if slot not in holders and self._is_due(slot, now_ms)
            }
            due |= {
                slot // parts
                for slot in self._state.lease_manager.holdings
                if self._is_due(slot, now_ms)
            }
        due |= self._unconfirmed
        ready = [g for g in due if self._next_attempt_ms.get(g, 0) <= now_ms]
        self._random.shuffle(ready)
        return ready

    def _is_due(self, slot: int, now_ms: int) -> bool:
        holding = self._state.lease_manager.holdings.get(slot)
        if holding is None:
            return self._is_preferred_holder(slot, now_ms)
        left_ms = holding.until_ms - now_ms
        needs_renewal = left_ms <= self._times.renew_before_ms
        return needs_renewal or not self._is_preferred_holder(slot, now_ms)

    def _is_preferred_holder(self, slot: int, now_ms: int) -> bool:
        """Return whether this VM should hold a slot."""
        if self._is_shutting_down:
            return False
        own = self._state.lease_manager.vm
        best = allowance_slots.choose_holder(slot, self._candidates)
        if best == own:
            return True
        if slot not in self._state.lease_manager.holdings or best is None:
            return False
        # Moving a slot loses its tokens.  So it moves only to a VM that has
        # been up for a while, and moves are spaced by ``retry_ms``.
        uptime_ms = max(
            now_ms - since_ms
            for (name, _), since_ms in self._alive_since.items()
            if name == best
        )
        is_stable = uptime_ms >= self._times.min_uptime_ms
        return not (is_stable and now_ms >= self._next_move_ms)

    def _reconcile(self, group: int) -> None:
        now_ms = self.clock.now_ms()
        retry_ms = self._times.retry_ms
        delay_ms = self._random.randint(retry_ms // 2, retry_ms * 3 // 2)
        self._next_attempt_ms[group] = now_ms + delay_ms
        name = f"{PREFIX}{group}"
        stored = self._store.read(KIND, name, PURPOSE)
        is_new = (
            not stored.is_ok() and stored.error.code is errors.Code.NOT_FOUND
        )
        if not (stored.is_ok() or is_new):
            return
        records = _read_records({} if is_new else stored.ok.value)
        self._refresh_vm_list(group, records)
        decisions = self._decide(group, records)
        self._unconfirmed.discard(group)
        if not decisions:
            return
        self._unconfirmed.add(group)
        written = self._apply_decisions(group, records, decisions)
        value = {"parts": {str(k): _make_value(r) for k, r in written.items()}}
        sent_ms = self.clock.now_ms()
        if is_new:
            response = self._store.create(KIND, name, value, PURPOSE)
        else:
            response = self._store.update(
                KIND, name, value, stored.ok.version, PURPOSE
            )
        # Without a successful response nothing is held.  Whether the write
        # took effect is known once the object is read again.
        self._next_attempt_ms[group] = now_ms
        if response.is_ok():
            self._unconfirmed.discard(group)
            self._record_writes(group, written, decisions, sent_ms)

    def _decide(
        self, group: int, records: dict[int, allowance_slots.SlotRecord]
    ) -> dict[int, slot_lease_manager.LeaseAction]:
        first = group * self._state.parts
        decisions = {}
        with self._state.lock:
            now_ms = self.clock.now_ms()
            for partition in range(self._state.parts):
                slot = first + partition
                decision = self._state.lease_manager.decide(
                    slot,
                    records.get(partition),
                    self._is_preferred_holder(slot, now_ms),
                    now_ms,
                )
                if decision is slot_lease_manager.LeaseAction.RELEASE:
                    # Other VMs may acquire the slot as soon as it is released.
                    self._state.lease_manager.give_up(slot)
                    self._next_move_ms = now_ms + self._times.retry_ms
                if decision is not slot_lease_manager.LeaseAction.NONE:
                    decisions[partition] = decision
        return decisions

    def _apply_decisions(
        self,
        group: int,
        records: dict[int, allowance_slots.SlotRecord],
        decisions: dict[int, slot_lease_manager.LeaseAction],
    ) -> dict[int, allowance_slots.SlotRecord]:
        with self._state.lock:
            changed = {
                partition: self._state.lease_manager.make_record(
                    decision, records.get(partition)
                )
                for partition, decision in decisions.items()
            }
        return {**records, **changed}

    def _record_writes(
        self,
        group: int,
        written: dict[int, allowance_slots.SlotRecord],
        decisions: dict[int, slot_lease_manager.LeaseAction],
        sent_ms: int,
    ) -> None:
        with self._state.lock:
            now_ms = self.clock.now_ms()
            for partition, decision in decisions.items():
                self._state.lease_manager.record_write(
                    group * self._state.parts + partition,
                    decision,
                    written[partition],
                    sent_ms,
                    now_ms,
                )

    def _refresh_vm_list(
        self,
        group: int,
        records: dict[int, allowance_slots.SlotRecord],
    ) -> None:
        """Read the platform's VM list if it is needed and not too recent."""
        requested_ms = self.clock.now_ms()
        has_unknown_vm = any(
            record.vm not in self._candidates for record in records.values()
        )
        is_needed = has_unknown_vm or not self._state.lease_manager.is_listed
        if is_needed and requested_ms >= self._next_list_ms:
            self._next_list_ms = requested_ms + self._times.retry_ms
            response = self._store.list_vms(PURPOSE)
            if response.is_ok():
                self._listed = {(vm.name, vm.address) for vm in response.ok}
                self._listed_ms = requested_ms
        if self._listed_ms is None:
            return
        with self._state.lock:
            lease_manager = self._state.lease_manager
            lease_manager.update_vm_list(self._listed, self._listed_ms)
            for partition, record in records.items():
                slot = group * self._state.parts + partition
                lease_manager.track_absence(
                    slot, record, self._listed, self._listed_ms
                )

    def _announce_holdings(self) -> None:
        with self._state.lock:
            slots = list(self._state.lease_manager.holdings)
        holdings = allowance_state.pack_holdings(slots)
        if holdings != self._announced:
            self._announced = holdings
            self._membership.update_local(holdings=holdings)


def _read_records(
    value: collections.abc.Mapping[str, typing.Any],
) -> dict[int, allowance_slots.SlotRecord]:
    return {
        int(partition): allowance_slots.SlotRecord(
            row["vm"],
            row["address"],
            row["incarnation"],
            row["term"],
            row["renewals"],
            row["is_listed"],
            row["is_released"],
        )
        for partition, row in value.get("parts", {}).items()
    }


def _make_value(record: allowance_slots.SlotRecord) -> dict[str, typing.Any]:
    return {
        attribute: getattr(record, attribute)
        for attribute in allowance_slots.SlotRecord.__slots__
    }

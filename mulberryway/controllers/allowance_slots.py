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
# A shutdown does not wait longer for an unreachable platform.  Slots that could
# not be released are taken over once the platform's list lacks the VM.
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
        self._next_try_ms: dict[int, int] = {}
        self._alive_since: dict[tuple[str, int], int] = {}
        self._candidates: list[str] = []
        self._next_list_ms = 0
        self._next_move_ms = 0
        self._listed: set[tuple[str, str]] = set()
        self._listed_ms: int | None = None
        self._told: bytes | None = None
        self._is_leaving = False
        # Groups whose records may differ from what this process decided.
        self._unsure: set[int] = set()
        self._has_read_own = False

    def step(self) -> None:
        """Process the slots that need a write, a few groups at a time."""
        now_ms = self.clock.now_ms()
        members = self._membership.list_members()
        self._note_members(members, now_ms)
        if now_ms - self._start_ms >= self._times.startup_delay_ms:
            self._read_own_records()
            due = self._list_due(now_ms)
            for group in due[:MAX_GROUPS_PER_STEP]:
                self._settle(group)
        self._tell_holdings()

    def release_all(self) -> None:
        """Release all slots, as the last step of a graceful shutdown."""
        self._is_leaving = True
        with self._state.lock:
            slots = list(self._state.keeper.holdings)
            for slot in slots:
                self._state.keeper.give_up(slot)
        end = clock.Deadline(self.clock.now_ms() + RELEASE_TIMEOUT_MS)
        for group in {slot // self._state.parts for slot in slots}:
            if not end.has_passed(self.clock.now_ms()):
                self._settle(group)
        self._tell_holdings()

    def _note_members(self, members: list[member.Member], now_ms: int) -> None:
        able = [one for one in members if one.accepts_callers]
        since = self._alive_since
        self._alive_since = {
            (one.name, one.incarnation): since.get(
                (one.name, one.incarnation), now_ms
            )
            for one in able
        }
        self._candidates = [one.name for one in able]
        holders = {
            slot: one.peer
            for one in members
            if one.health is not member.MemberStatus.DEAD
            and one.name != self._state.keeper.vm
            for slot in allowance_state.unpack_holdings(one.holdings)
        }
        with self._state.lock:
            self._state.holders = holders

    def _read_own_records(self) -> None:
        """Find slots that the records attribute to this VM's last process.

        Nobody else may take them while the platform lists the VM.  If another
        VM should hold them, they would stay blocked until the leases expire.
        """
        if self._has_read_own:
            return
        found = self._store.read_all(KIND, PURPOSE)
        if not found.is_ok():
            return
        self._has_read_own = True
        own = self._state.keeper.vm
        self._unsure |= {
            int(one.name.removeprefix(PREFIX))
            for one in found.ok
            if any(
                record.vm == own and not record.is_released
                for record in _read_records(one.value).values()
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
                for slot in self._state.keeper.holdings
                if self._is_due(slot, now_ms)
            }
        due |= self._unsure
        ready = [g for g in due if self._next_try_ms.get(g, 0) <= now_ms]
        self._random.shuffle(ready)
        return ready

    def _is_due(self, slot: int, now_ms: int) -> bool:
        holding = self._state.keeper.holdings.get(slot)
        if holding is None:
            return self._is_wanted(slot, now_ms)
        left_ms = holding.until_ms - now_ms
        is_old = left_ms <= self._times.renew_before_ms
        return is_old or not self._is_wanted(slot, now_ms)

    def _is_wanted(self, slot: int, now_ms: int) -> bool:
        """Return whether this VM should hold a slot."""
        if self._is_leaving:
            return False
        own = self._state.keeper.vm
        best = allowance_slots.choose_holder(slot, self._candidates)
        if best == own:
            return True
        if slot not in self._state.keeper.holdings or best is None:
            return False
        # Moving a slot loses its tokens.  So it moves only to a VM that has
        # been up for a while, and moves are spaced by ``retry_ms``.
        lived_ms = max(
            now_ms - since_ms
            for (name, _), since_ms in self._alive_since.items()
            if name == best
        )
        is_settled = lived_ms >= self._times.min_uptime_ms
        return not (is_settled and now_ms >= self._next_move_ms)

    def _settle(self, group: int) -> None:
        now_ms = self.clock.now_ms()
        retry_ms = self._times.retry_ms
        pause_ms = self._random.randint(retry_ms // 2, retry_ms * 3 // 2)
        self._next_try_ms[group] = now_ms + pause_ms
        name = f"{PREFIX}{group}"
        found = self._store.read(KIND, name, PURPOSE)
        is_new = (
            not found.is_ok() and found.error.code is errors.Code.NOT_FOUND
        )
        if not (found.is_ok() or is_new):
            return
        records = _read_records({} if is_new else found.ok.value)
        self._read_list(group, records)
        decisions = self._decide(group, records)
        self._unsure.discard(group)
        if not decisions:
            return
        self._unsure.add(group)
        written = self._write(group, records, decisions)
        value = {"parts": {str(k): _make_value(r) for k, r in written.items()}}
        sent_ms = self.clock.now_ms()
        if is_new:
            answer = self._store.create(KIND, name, value, PURPOSE)
        else:
            answer = self._store.update(
                KIND, name, value, found.ok.version, PURPOSE
            )
        # Without a successful response nothing is held.  Whether the write
        # took effect is known once the object is read again.
        self._next_try_ms[group] = now_ms
        if answer.is_ok():
            self._unsure.discard(group)
            self._note_written(group, written, decisions, sent_ms)

    def _decide(
        self, group: int, records: dict[int, allowance_slots.SlotRecord]
    ) -> dict[int, slot_lease_manager.LeaseAction]:
        first = group * self._state.parts
        decisions = {}
        with self._state.lock:
            now_ms = self.clock.now_ms()
            for part in range(self._state.parts):
                slot = first + part
                decision = self._state.keeper.decide(
                    slot,
                    records.get(part),
                    self._is_wanted(slot, now_ms),
                    now_ms,
                )
                if decision is slot_lease_manager.LeaseAction.RELEASE:
                    # Others may take the slot as soon as it is released.
                    self._state.keeper.give_up(slot)
                    self._next_move_ms = now_ms + self._times.retry_ms
                if decision is not slot_lease_manager.LeaseAction.NONE:
                    decisions[part] = decision
        return decisions

    def _write(
        self,
        group: int,
        records: dict[int, allowance_slots.SlotRecord],
        decisions: dict[int, slot_lease_manager.LeaseAction],
    ) -> dict[int, allowance_slots.SlotRecord]:
        with self._state.lock:
            made = {
                part: self._state.keeper.make_record(
                    decision, records.get(part)
                )
                for part, decision in decisions.items()
            }
        return {**records, **made}

    def _note_written(
        self,
        group: int,
        written: dict[int, allowance_slots.SlotRecord],
        decisions: dict[int, slot_lease_manager.LeaseAction],
        sent_ms: int,
    ) -> None:
        with self._state.lock:
            now_ms = self.clock.now_ms()
            for part, decision in decisions.items():
                self._state.keeper.note_written(
                    group * self._state.parts + part,
                    decision,
                    written[part],
                    sent_ms,
                    now_ms,
                )

    def _read_list(
        self,
        group: int,
        records: dict[int, allowance_slots.SlotRecord],
    ) -> None:
        """Read the platform's VM list if it is needed and not too recent."""
        asked_ms = self.clock.now_ms()
        others = any(
            record.vm not in self._candidates for record in records.values()
        )
        is_needed = others or not self._state.keeper.is_listed
        if is_needed and asked_ms >= self._next_list_ms:
            self._next_list_ms = asked_ms + self._times.retry_ms
            answer = self._store.list_vms(PURPOSE)
            if answer.is_ok():
                self._listed = {(vm.name, vm.address) for vm in answer.ok}
                self._listed_ms = asked_ms
        if self._listed_ms is None:
            return
        with self._state.lock:
            keeper = self._state.keeper
            keeper.update_vm_list(self._listed, self._listed_ms)
            for part, record in records.items():
                slot = group * self._state.parts + part
                keeper.track_absence(
                    slot, record, self._listed, self._listed_ms
                )

    def _tell_holdings(self) -> None:
        with self._state.lock:
            slots = list(self._state.keeper.holdings)
        holdings = allowance_state.pack_holdings(slots)
        if holdings != self._told:
            self._told = holdings
            self._membership.update_local(holdings=holdings)


def _read_records(
    value: collections.abc.Mapping[str, typing.Any],
) -> dict[int, allowance_slots.SlotRecord]:
    return {
        int(part): allowance_slots.SlotRecord(
            row["vm"],
            row["address"],
            row["incarnation"],
            row["term"],
            row["renewals"],
            row["is_listed"],
            row["is_released"],
        )
        for part, row in value.get("parts", {}).items()
    }


def _make_value(record: allowance_slots.SlotRecord) -> dict[str, typing.Any]:
    return {
        attribute: getattr(record, attribute)
        for attribute in allowance_slots.SlotRecord.__slots__
    }

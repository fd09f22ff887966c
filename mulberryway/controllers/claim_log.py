"""Reads and appends to one shard's claim log in the platform's store."""

import collections.abc
import logging
import typing

import expression

from mulberryway import errors
from mulberryway.objects import base
from mulberryway.policy import claim_records
from mulberryway.policy import claim_slots
from mulberryway.policy import claims

__all__ = ["ClaimLog", "MakeShard", "OnNewRecords"]

LOG = logging.getLogger(__name__)

PURPOSE = "claims"

MakeShard = collections.abc.Callable[[], claims.Shard]
OnNewRecords = collections.abc.Callable[[list[claim_records.Record]], None]


class ClaimLog:
    """Local view of one shard's log; used by one thread at a time.

    ``is_current`` is false if the log may have records that the view does
    not have.  ``has_been_read`` is set when the log is read; its user
    resets it.

    :param kind: the shard's kind in the platform
    :param store: the platform's store
    :param make_shard: makes an empty view
    :param on_new_records: called with the records that were not known before
    """

    def __init__(
        self,
        kind: str,
        store: base.ObjectStore,
        make_shard: MakeShard,
        on_new_records: OnNewRecords,
    ) -> None:
        self.shard = make_shard()
        self.is_current = False
        self.has_been_read = False
        self._kind = kind
        self._store = store
        self._make_shard = make_shard
        self._on_new_records = on_new_records

    def discard_view(self) -> None:
        """Discard the view; it is read again when it is needed."""
        self.shard = self._make_shard()
        self.is_current = False

    def append(
        self, records: list[claim_records.Record]
    ) -> errors.Fault | None:
        """Append records to the log.

        :param records: the records
        :returns: the fault if the write was rejected or may have failed
        """
        append = self.shard.plan_append(records)
        written = self._send(append)
        if written.is_error():
            # The log shows whether the write was rejected or only its reply
            # was lost.
            self.is_current = False
            return written.error
        self._on_new_records(
            self.shard.apply_append(append, written.ok.version)
        )
        return None

    def _send(
        self, append: claim_slots.Append
    ) -> expression.Result[base.StoredObject, errors.Fault]:
        name = str(append.slot_index)
        value = append.make_value()
        if append.version is None:
            return self._store.create(self._kind, name, value, PURPOSE)
        return self._store.update(
            self._kind, name, value, append.version, PURPOSE
        )

    def catch_up(self) -> errors.Fault | None:
        """Update the view if it may be outdated.

        :returns: the fault if the view could not be updated, or None
        """
        if self.is_current:
            return None
        try:
            fault = self._read_new_slots() or self._read_whole_log()
        except ValueError:
            LOG.exception("malformed slot in claim log %s", self._kind)
            return _make_fault("malformed slot in the claim log")
        self.is_current = self.has_been_read = fault is None
        return fault

    def _read_new_slots(self) -> errors.Fault | None:
        """Read the newest known slot again and the slots after it."""
        while self.shard.has_slots():
            index = self.shard.newest_index()
            fault = self._read_slot(index)
            if fault is not None:
                return fault
            if not self.shard.is_newest_full():
                break
            fault = self._read_slot(self.shard.next_index())
            if fault is not None:
                return fault
            if self.shard.newest_index() == index:
                break
        return None

    def _read_slot(self, index: int) -> errors.Fault | None:
        result = self._store.read(self._kind, str(index), PURPOSE)
        if result.is_ok():
            self._apply_slot(index, result.ok.value, result.ok.version)
            return None
        if result.error.code is errors.Code.NOT_FOUND:
            return None
        return result.error

    def _read_whole_log(self) -> errors.Fault | None:
        """Read all slots if there is no view, or if the log wrapped around."""
        if self.shard.has_slots() and self.shard.is_whole():
            return None
        listed = self._store.read_all(self._kind, PURPOSE)
        if listed.is_error():
            return listed.error
        self.shard = self._make_shard()
        for item in sorted(listed.ok, key=_get_sequence):
            self._apply_slot(int(item.name), item.value, item.version)
        if not self.shard.is_whole():
            return _make_fault("the claim log has missing slots")
        return None

    def _apply_slot(
        self, index: int, value: dict[str, typing.Any], version: int
    ) -> None:
        self._on_new_records(self.shard.apply_slot(index, value, version))


def _get_sequence(item: base.StoredObject) -> int:
    return int(item.value.get("sequence", -1))


def _make_fault(message: str) -> errors.Fault:
    return errors.Fault(
        errors.Code.PLATFORM_UNAVAILABLE,
        errors.Step.PLATFORM,
        message=message,
    )

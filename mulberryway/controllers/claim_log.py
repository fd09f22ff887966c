"""Reads and appends to one shard's log of claims in the platform."""

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
    """A view of a shard, kept in step with the platform.

    Used by one thread at a time.  ``is_known`` tells that there is no reason
    to think that the log has moved on, ``is_fresh`` that it was read since
    its user last reset this.

    :param kind: the shard's kind in the platform
    :param store: the platform
    :param make_shard: makes an empty view
    :param on_new_records: gets the records that were not known before
    """

    def __init__(
        self,
        kind: str,
        store: base.ObjectStore,
        make_shard: MakeShard,
        on_new_records: OnNewRecords,
    ) -> None:
        self.shard = make_shard()
        self.is_known = False
        self.is_fresh = False
        self._kind = kind
        self._store = store
        self._make_shard = make_shard
        self._on_fresh = on_new_records

    def forget(self) -> None:
        """Drop the view; it is read again when it is needed."""
        self.shard = self._make_shard()
        self.is_known = False

    def append(
        self, records: list[claim_records.Record]
    ) -> errors.Fault | None:
        """Append records.

        :param records: what to append
        :returns: why it is not known whether they stand in the log, or none
        """
        append = self.shard.plan_append(records)
        written = self._send(append)
        if written.is_error():
            # Whether it was refused or its reply was lost, the log tells.
            self.is_known = False
            return written.error
        self._on_fresh(self.shard.apply_append(append, written.ok.version))
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
        """Bring the view up to date if there is reason to.

        :returns: why the view cannot be trusted, or none
        """
        if self.is_known:
            return None
        try:
            fault = self._follow_log() or self._read_whole_log()
        except ValueError:
            LOG.exception("a malformed slot in %s", self._kind)
            return _distrust("a malformed slot")
        self.is_known = self.is_fresh = fault is None
        return fault

    def _follow_log(self) -> errors.Fault | None:
        """Read the newest slot and those after it."""
        while self.shard.has_slots():
            place = self.shard.newest_index()
            fault = self._read_slot(place)
            if fault is not None:
                return fault
            if not self.shard.is_newest_full():
                break
            fault = self._read_slot(self.shard.next_index())
            if fault is not None:
                return fault
            if self.shard.newest_index() == place:
                break
        return None

    def _read_slot(self, place: int) -> errors.Fault | None:
        found = self._store.read(self._kind, str(place), PURPOSE)
        if found.is_ok():
            self._take_slot(place, found.ok.value, found.ok.version)
            return None
        if found.error.code is errors.Code.NOT_FOUND:
            return None
        return found.error

    def _read_whole_log(self) -> errors.Fault | None:
        """Read all slots at first, or if the log went round unseen."""
        if self.shard.has_slots() and self.shard.is_whole():
            return None
        listed = self._store.read_all(self._kind, PURPOSE)
        if listed.is_error():
            return listed.error
        self.shard = self._make_shard()
        for item in sorted(listed.ok, key=_sequence_of):
            self._take_slot(int(item.name), item.value, item.version)
        if not self.shard.is_whole():
            return _distrust("the log is known in part only")
        return None

    def _take_slot(
        self, place: int, value: dict[str, typing.Any], version: int
    ) -> None:
        self._on_fresh(self.shard.apply_slot(place, value, version))


def _sequence_of(item: base.StoredObject) -> int:
    return int(item.value.get("sequence", -1))


def _distrust(message: str) -> errors.Fault:
    return errors.Fault(
        errors.Code.PLATFORM_UNAVAILABLE,
        errors.Step.PLATFORM,
        message=message,
    )

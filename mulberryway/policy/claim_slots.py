"""The platform objects of which a shard's log of claims is made."""

import json
import typing

from mulberryway.policy import claim_records

__all__ = ["Append", "Slot", "decode_slot"]

Record = claim_records.Record


class Slot:
    """One platform object of the ring, as last seen.

    :param sequence: the slot's place in the log, not in the ring
    :param version: the platform's version of the object
    :param is_full: whether the log goes on in the next slot
    :param floor_ms: the shard's floor when it was written
    :param records: its records in order
    """

    __slots__ = ("sequence", "version", "is_full", "floor_ms", "records")

    def __init__(
        self,
        sequence: int,
        version: int,
        is_full: bool,
        floor_ms: int,
        records: list[Record],
    ) -> None:
        self.sequence = sequence
        self.version = version
        self.is_full = is_full
        self.floor_ms = floor_ms
        self.records = records


class Append:
    """An append to be made.

    :param slot_index: the slot's place in the ring; the object's name
    :param version: the version to update; none to create the object
    :param sequence: the slot's place in the log
    :param floor_ms: the shard's floor from now on
    :param records: all records of the slot
    :param slot_bytes: a slot with so many bytes is full
    """

    __slots__ = (
        "slot_index",
        "version",
        "sequence",
        "floor_ms",
        "records",
        "is_full",
        "_encoded",
    )

    def __init__(
        self,
        slot_index: int,
        version: int | None,
        sequence: int,
        floor_ms: int,
        records: list[Record],
        slot_bytes: int,
    ) -> None:
        self.slot_index = slot_index
        self.version = version
        self.sequence = sequence
        self.floor_ms = floor_ms
        self.records = records
        self._encoded = [record.encode() for record in records]
        self.is_full = len(json.dumps(self._encoded)) >= slot_bytes

    def make_value(self) -> dict[str, typing.Any]:
        """Return the object's whole new value."""
        return {
            "sequence": self.sequence,
            "floor_ms": self.floor_ms,
            "is_full": self.is_full,
            "records": self._encoded,
        }


def decode_slot(value: dict[str, typing.Any], version: int) -> Slot:
    """Return the slot that a platform object holds.

    :param value: the object's value
    :param version: its version
    :raises ValueError: if it is malformed
    """
    try:
        records = [Record.decode(item) for item in value["records"]]
        return Slot(
            int(value["sequence"]),
            version,
            bool(value["is_full"]),
            int(value["floor_ms"]),
            records,
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"a malformed slot: {error}") from error

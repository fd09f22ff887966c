"""Slots: the platform objects that store a shard's claim log."""

import json
import typing

from mulberryway.policy import claim_records

__all__ = ["Append", "Slot", "decode_slot"]

Record = claim_records.Record


class Slot:
    """One platform object of the ring, as last read.

    :param sequence: the slot's position in the log, not in the ring
    :param version: the platform's version of the object
    :param is_full: whether the log continues in the next slot
    :param floor_ms: the shard's low-watermark when the slot was written
    :param records: the slot's records in order
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
    """An append that has not been sent yet.

    :param slot_index: the slot's index in the ring; names the object
    :param version: the version to update; none to create the object
    :param sequence: the slot's position in the log
    :param floor_ms: the shard's low-watermark after this append
    :param records: all records of the slot
    :param slot_bytes: size in bytes at which a slot is full
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
        """Return the complete new value of the object."""
        return {
            "sequence": self.sequence,
            "floor_ms": self.floor_ms,
            "is_full": self.is_full,
            "records": self._encoded,
        }


def decode_slot(value: dict[str, typing.Any], version: int) -> Slot:
    """Decode a slot from a platform object.

    :param value: the object's value
    :param version: the object's version
    :raises ValueError: if the value is malformed
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
        raise ValueError(f"malformed claim slot: {error}") from error

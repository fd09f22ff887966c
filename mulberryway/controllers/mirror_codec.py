"""Encodes and decodes the mirror snapshots that VMs send to each other."""

import json
import typing
import zlib

from mulberryway.objects import base as objects
from mulberryway.objects import position
from mulberryway.peers.gen.mirrors import ttypes
from mulberryway.policy import carried_objects
from mulberryway.policy import mirrors

__all__ = [
    "MirrorSnapshot",
    "decode_snapshot",
    "encode_carried",
    "encode_snapshot",
]

COMPRESSION_LEVEL = 1


class MirrorSnapshot:
    """Contents of another VM's mirror.

    :param objects_: the objects that the store holds according to that VM
    :param kept: objects that the VM retains although the store has
        removed them
    :param carried: what the VM uses in place of the store's objects
    """

    __slots__ = ("objects", "kept", "carried")

    def __init__(
        self,
        objects_: list[objects.StoredObject],
        kept: list[mirrors.RetainedObject],
        carried: list[carried_objects.CarriedObject],
    ) -> None:
        self.objects = objects_
        self.kept = kept
        self.carried = carried


def encode_snapshot(mirror: mirrors.Mirror, now_ms: int) -> bytes:
    """Encode a mirror's objects as rows of name, version and value.

    Rows of retained objects have a fourth entry, the remaining time in
    milliseconds.  A point in time cannot be sent because VMs' clocks differ.

    :param mirror: the mirror
    :param now_ms: current time in ms
    """
    rows = [
        [item.name, item.version, item.value]
        for item in mirror.objects.values()
    ]
    rows += [
        [
            item.object.name,
            item.object.version,
            item.object.value,
            max(item.until_ms - now_ms, 0),
        ]
        for item in mirror.list_retained()
    ]
    return zlib.compress(json.dumps(rows).encode(), COMPRESSION_LEVEL)


def encode_carried(
    carried: list[carried_objects.CarriedObject], now_ms: int
) -> bytes:
    """Encode what a VM uses in place of the store's objects.

    Rows have a name, a generation, the remaining time in milliseconds, which
    may be null, and the position and value of the object, if one is used.

    :param carried: the replacements
    :param now_ms: current time in ms
    """
    rows = [
        [
            item.name,
            item.generation,
            None if item.until_ms is None else max(item.until_ms - now_ms, 0),
            *(
                ()
                if item.object is None
                else (item.object.era, item.object.version, item.object.value)
            ),
        ]
        for item in carried
    ]
    return zlib.compress(json.dumps(rows).encode(), COMPRESSION_LEVEL)


def decode_snapshot(
    kind: str, changed: position.Position, received: ttypes.Mirror, now_ms: int
) -> MirrorSnapshot:
    """Decode another VM's snapshot.

    :param kind: the plural kind
    :param changed: the snapshot's position
    :param received: the snapshot as received
    :param now_ms: current time in ms
    """
    objects_: list[objects.StoredObject] = []
    kept: list[mirrors.RetainedObject] = []
    for name, version, value, *left_ms in _decode_rows(received.content):
        item = objects.StoredObject(kind, name, version, value, changed.era)
        if left_ms:
            until_ms = now_ms + left_ms[0]
            kept.append(
                mirrors.RetainedObject(item, changed, now_ms, until_ms)
            )
        else:
            objects_.append(item)
    carried = [
        _decode_carried(kind, row, now_ms)
        for row in _decode_rows(received.carried)
    ]
    return MirrorSnapshot(objects_, kept, carried)


def _decode_carried(
    kind: str, row: list[typing.Any], now_ms: int
) -> carried_objects.CarriedObject:
    name, generation, left_ms, *stored = row
    object_ = None
    if stored:
        era, version, value = stored
        object_ = objects.StoredObject(kind, name, version, value, era)
    return carried_objects.CarriedObject(
        name,
        object_,
        tuple(generation),
        now_ms,
        None if left_ms is None else now_ms + left_ms,
    )


def _decode_rows(content: bytes | None) -> list[list[typing.Any]]:
    return json.loads(zlib.decompress(content)) if content else []

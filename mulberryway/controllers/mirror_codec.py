"""Encodes and decodes the mirror snapshots that VMs send to each other."""

import json
import zlib

from mulberryway.objects import base as objects
from mulberryway.policy import mirrors

__all__ = ["MirrorSnapshot", "encode_snapshot", "decode_snapshot"]

COMPRESSION_LEVEL = 1


class MirrorSnapshot:
    """Contents of another VM's mirror.

    :param objects_: the objects that the store holds according to that VM
    :param kept: objects that the VM retains although the store has
        removed them
    """

    __slots__ = ("objects", "kept")

    def __init__(
        self,
        objects_: list[objects.StoredObject],
        kept: list[mirrors.RetainedObject],
    ) -> None:
        self.objects = objects_
        self.kept = kept


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


def decode_snapshot(
    kind: str, revision: int, content: bytes, now_ms: int
) -> MirrorSnapshot:
    """Decode a snapshot made by :func:`encode_snapshot`.

    :param kind: the plural kind
    :param revision: the snapshot's revision
    :param content: the encoded snapshot
    :param now_ms: current time in ms
    """
    objects_: list[objects.StoredObject] = []
    kept: list[mirrors.RetainedObject] = []
    for name, version, value, *left_ms in json.loads(zlib.decompress(content)):
        item = objects.StoredObject(kind, name, version, value)
        if left_ms:
            until_ms = now_ms + left_ms[0]
            kept.append(
                mirrors.RetainedObject(item, revision, now_ms, until_ms)
            )
        else:
            objects_.append(item)
    return MirrorSnapshot(objects_, kept)

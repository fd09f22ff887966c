"""How copies of the store's objects travel between VMs."""

import json
import zlib

from mulberryway.objects import base as objects
from mulberryway.policy import mirrors

__all__ = ["MirrorSnapshot", "encode_snapshot", "decode_snapshot"]

COMPRESSION_LEVEL = 1


class MirrorSnapshot:
    """Another VM's mirror.

    :param objects: what the store holds as far as that VM knows
    :param kept: what that VM counts although the store has removed it
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
    """Return a mirror's objects as rows of name, version and value.

    Rows of kept objects have a fourth entry: for how many milliseconds more
    they are kept.  VMs' clocks differ, so no time can be told.

    :param mirror: the mirror
    :param now_ms: the present
    """
    rows = [
        [one.name, one.version, one.value] for one in mirror.objects.values()
    ]
    rows += [
        [
            one.object.name,
            one.object.version,
            one.object.value,
            max(one.until_ms - now_ms, 0),
        ]
        for one in mirror.list_retained()
    ]
    return zlib.compress(json.dumps(rows).encode(), COMPRESSION_LEVEL)


def decode_snapshot(
    kind: str, revision: int, content: bytes, now_ms: int
) -> MirrorSnapshot:
    """Read what :func:`encode_snapshot` made.

    :param kind: the plural kind
    :param revision: the copy's revision
    :param content: the packed rows
    :param now_ms: the present
    """
    found: list[objects.StoredObject] = []
    kept: list[mirrors.RetainedObject] = []
    for name, version, value, *left_ms in json.loads(zlib.decompress(content)):
        one = objects.StoredObject(kind, name, version, value)
        if left_ms:
            until_ms = now_ms + left_ms[0]
            kept.append(
                mirrors.RetainedObject(one, revision, now_ms, until_ms)
            )
        else:
            found.append(one)
    return MirrorSnapshot(found, kept)

"""Writes segments to the platform and deletes unreferenced ones.

A segment is stored with its ``base``: the revision of the root on which the
edit that needs it was based. Such an edit takes effect only while the root
still has that revision. A segment whose base is below the root's revision, and
that the root does not name, is therefore garbage. A newer edit that needs the
same content raises the base first, which changes the object's version, so a
delete decided before fails. No clock is involved, so a garbage collector that
is paused cannot delete a segment in use.
"""

import json
import logging

import expression

from mulberryway import errors
from mulberryway.objects import base
from mulberryway.tables import root as roots
from mulberryway.tables import segments

__all__ = ["KIND", "SegmentStore"]

LOG = logging.getLogger(__name__)

KIND = "segments"
MAX_WRITE_ATTEMPTS = 8

WRITE = "configuration_write"
READ = "configuration_read"
COLLECT = "configuration_collect"


class SegmentStore:
    """Access to the platform's segments.

    :param store: the platform
    """

    def __init__(self, store: base.ObjectStore) -> None:
        self._store = store

    def read(self, digest: str) -> expression.Result[bytes, errors.Fault]:
        """Return a segment's content, verified against its digest.

        :param digest: the segment's digest
        :returns: the content, or a fault
        """
        return self._store.read(KIND, digest, READ).bind(_check_content)

    def write(
        self, segment: segments.Segment, revision: int
    ) -> expression.Result[None, errors.Fault]:
        """Store a segment and protect it from garbage collection.

        :param segment: the segment
        :param revision: the revision of the root on which the edit is based
        :returns: nothing, or a fault, after which the edit must not continue
        """
        value = {"rows": json.loads(segment.content), "base": revision}
        result: expression.Result[base.StoredObject, errors.Fault]
        for _ in range(MAX_WRITE_ATTEMPTS):
            result = self._store.create(KIND, segment.digest, value, WRITE)
            if result.is_error() and _has_code(result, errors.Code.CONFLICT):
                result = self._raise_base(segment.digest, value, revision)
            if result.is_ok():
                return expression.Ok(None)
            if _has_code(result, errors.Code.BODY_TOO_LARGE):
                break
        return expression.Error(result.error)

    def collect_garbage(
        self, root: roots.Root, retired: set[str]
    ) -> expression.Result[int, errors.Fault]:
        """Delete segments that no root can refer to any more.

        :param root: an accepted root; an older one only deletes less
        :param retired: digests of segments that recent edits replaced and that
            are retained
        :returns: the number of deleted segments, or a fault
        """
        listed = self._store.read_all(KIND, COLLECT)
        if listed.is_error():
            return expression.Error(listed.error)
        referenced = root.list_segments() | retired
        deleted = [
            self._store.delete(KIND, stored.name, stored.version, COLLECT)
            for stored in listed.ok
            if self._is_garbage(stored, root, referenced)
        ]
        count = sum(result.is_ok() for result in deleted)
        LOG.info(
            "deleted %d unreferenced segments of %d", count, len(listed.ok)
        )
        return expression.Ok(count)

    def _is_garbage(
        self, stored: base.StoredObject, root: roots.Root, referenced: set[str]
    ) -> bool:
        return (
            stored.name not in referenced
            and stored.value["base"] < root.revision
        )

    def _raise_base(
        self, digest: str, value: dict[str, object], revision: int
    ) -> expression.Result[base.StoredObject, errors.Fault]:
        """Protect an existing segment from garbage collection."""
        existing = self._store.read(KIND, digest, WRITE)
        if existing.is_error() or existing.ok.value["base"] >= revision:
            return existing
        return self._store.update(
            KIND, digest, value, existing.ok.version, WRITE
        )


def _check_content(
    stored: base.StoredObject,
) -> expression.Result[bytes, errors.Fault]:
    content = roots.encode_content(stored.value.get("rows"))
    if roots.digest_content(content) != stored.name:
        return expression.Error(
            errors.Fault(
                errors.Code.INTERNAL,
                errors.Step.PLATFORM,
                f"{KIND}/{stored.name}",
                message="the segment does not match its digest",
            )
        )
    return expression.Ok(content)


def _has_code(
    result: expression.Result[object, errors.Fault], code: errors.Code
) -> bool:
    return result.error.code is code

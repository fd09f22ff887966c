"""Writes segments to the platform, and collects those nobody needs.

A segment is stored with its ``base``: the revision of the root that the
edit which needs it was made from.  Such an edit takes effect only while
the root still has that revision, so a segment with a base below the root's
revision, that the root does not name, can no longer become needed; and a
newer edit that needs the same content raises the base first, which changes
the object's version and defeats a delete that was decided before.  No
clock takes part, so a paused collector does no harm.
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
    """The platform's segments.

    :param store: the platform
    """

    def __init__(self, store: base.ObjectStore) -> None:
        self._store = store

    def read(self, digest: str) -> expression.Result[bytes, errors.Fault]:
        """Return a segment's content.

        :param digest: the segment's digest
        :returns: the content, or a fault; the digest has been checked
        """
        return self._store.read(KIND, digest, READ).bind(_check_content)

    def write(
        self, segment: segments.Segment, revision: int
    ) -> expression.Result[None, errors.Fault]:
        """Make sure that a segment is there and will not be collected.

        :param segment: the segment
        :param revision: the revision of the root that the edit is made from
        :returns: nothing, or a fault; then the edit must not go on
        """
        value = {"rows": json.loads(segment.content), "base": revision}
        result: expression.Result[base.StoredObject, errors.Fault]
        for _ in range(MAX_WRITE_ATTEMPTS):
            result = self._store.create(KIND, segment.digest, value, WRITE)
            if result.is_error() and _is(result, errors.Code.CONFLICT):
                result = self._raise_base(segment.digest, value, revision)
            if result.is_ok():
                return expression.Ok(None)
            if _is(result, errors.Code.BODY_TOO_LARGE):
                break
        return expression.Error(result.error)

    def collect(
        self, root: roots.Root, retired: set[str]
    ) -> expression.Result[int, errors.Fault]:
        """Delete segments that no root can name any more.

        :param root: an accepted root; an old one only deletes less
        :param retired: digests that recent edits replaced, to be kept
        :returns: how many were deleted, or a fault
        """
        listed = self._store.read_all(KIND, COLLECT)
        if listed.is_error():
            return expression.Error(listed.error)
        kept = root.list_segments() | retired
        deleted = [
            self._store.delete(KIND, stored.name, stored.version, COLLECT)
            for stored in listed.ok
            if self._is_garbage(stored, root, kept)
        ]
        count = sum(result.is_ok() for result in deleted)
        LOG.info("collected %d of %d segments", count, len(listed.ok))
        return expression.Ok(count)

    def _is_garbage(
        self, stored: base.StoredObject, root: roots.Root, kept: set[str]
    ) -> bool:
        return stored.name not in kept and stored.value["base"] < root.revision

    def _raise_base(
        self, digest: str, value: dict[str, object], revision: int
    ) -> expression.Result[base.StoredObject, errors.Fault]:
        """Protect a segment that exists already from a collector."""
        found = self._store.read(KIND, digest, WRITE)
        if found.is_error() or found.ok.value["base"] >= revision:
            return found
        return self._store.update(KIND, digest, value, found.ok.version, WRITE)


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
                message="the segment is not what its digest says",
            )
        )
    return expression.Ok(content)


def _is(
    result: expression.Result[object, errors.Fault], code: errors.Code
) -> bool:
    return result.error.code is code

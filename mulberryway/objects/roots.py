"""Reads the accepted state of the tables from the platform."""

import json
import threading
import typing

import expression

from mulberryway import errors
from mulberryway import tables
from mulberryway.objects import base
from mulberryway.objects import segments as segment_store
from mulberryway.tables import root as roots
from mulberryway.tables import segments

__all__ = ["KIND", "NAME", "VersionedRoot", "RootStore"]

KIND = "roots"
NAME = "root"
PURPOSE = "configuration_edit"


class VersionedRoot:
    """A root and the platform's version of it.

    :param version: the platform's version; 0 if there is none yet
    :param root: the root
    """

    __slots__ = ("version", "root")

    def __init__(self, version: int, root: roots.Root) -> None:
        self.version = version
        self.root = root


class RootStore:
    """The platform's root and what it names.

    :param store: the platform
    :param segments_: the platform's segments
    """

    def __init__(
        self,
        store: base.ObjectStore,
        segments_: segment_store.SegmentStore,
    ) -> None:
        self._store = store
        self._segments = segments_
        self._lock = threading.Lock()
        self._cache = segments.SegmentCache()
        self._history: segments.Segment | None = None

    def read_root(self) -> expression.Result[VersionedRoot, errors.Fault]:
        """Return the platform's root, or the empty one before the first."""
        found = self._store.read(KIND, NAME, PURPOSE)
        if found.is_ok():
            return _decode_root(found.ok)
        if found.error.code is errors.Code.NOT_FOUND:
            return expression.Ok(VersionedRoot(0, roots.Root.make_empty()))
        return expression.Error(found.error)

    def write_root(
        self, held: VersionedRoot, root: roots.Root
    ) -> expression.Result[base.StoredObject, errors.Fault]:
        """Put a root in the place of exactly the one that is held.

        :param held: what the new root was made from
        :param root: the new root
        :returns: the object as stored, or a fault
        """
        value = root.encode()
        if held.version == 0:
            return self._store.create(KIND, NAME, value, PURPOSE)
        return self._store.update(KIND, NAME, value, held.version, PURPOSE)

    def read_tables(
        self, root: roots.Root
    ) -> expression.Result[tables.Tables, errors.Fault]:
        """Return the tables of a root; reads only what is not kept yet.

        :param root: the root
        """
        with self._lock:
            return self._fill(root).map(lambda cache: cache.join(root))

    def read_segments(
        self, root: roots.Root
    ) -> expression.Result[list[segments.Segment], errors.Fault]:
        """Return all segments with rows of a root.

        :param root: the root
        """
        with self._lock:
            return self._fill(root).map(
                lambda cache: [
                    segments.Segment(digest, cache.find(digest))
                    for digest in sorted(root.list_row_segments())
                ]
            )

    def _fill(
        self, root: roots.Root
    ) -> expression.Result[segments.SegmentCache, errors.Fault]:
        for digest in self._cache.list_missing(root):
            content = self._segments.read(digest)
            if content.is_error():
                return expression.Error(content.error)
            self._cache.add(digest, content.ok)
        self._cache.retain(root.list_row_segments())
        return expression.Ok(self._cache)

    def read_history(
        self, root: roots.Root
    ) -> expression.Result[list[dict[str, typing.Any]], errors.Fault]:
        """Return past edits, the newest last.

        :param root: the root whose history is wanted
        """
        if root.history == roots.EMPTY_DIGEST:
            return expression.Ok([])
        kept = self._history
        if kept is not None and kept.digest == root.history:
            return expression.Ok(_read_entries(kept.content))
        content = self._segments.read(root.history)
        return content.map(
            lambda text: self.cache_history(
                segments.Segment(root.history, text)
            )
        )

    def cache_history(
        self, segment: segments.Segment
    ) -> list[dict[str, typing.Any]]:
        """Remember a history, so that the next edit need not read it.

        :param segment: the segment that was read or written
        :returns: its entries
        """
        self._history = segment
        return _read_entries(segment.content)


def _read_entries(content: bytes) -> list[dict[str, typing.Any]]:
    return json.loads(content)["history"]


def _decode_root(
    stored: base.StoredObject,
) -> expression.Result[VersionedRoot, errors.Fault]:
    try:
        root = roots.Root.decode(stored.value)
    except errors.TablesError as error:
        return expression.Error(error.fault)
    return expression.Ok(VersionedRoot(stored.version, root))

"""Reads and writes the root of the tables on the platform."""

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
    """A root and its version on the platform.

    :param version: the platform's version; 0 if no root is stored yet
    :param root: the root
    """

    __slots__ = ("version", "root")

    def __init__(self, version: int, root: roots.Root) -> None:
        self.version = version
        self.root = root


class RootStore:
    """Access to the platform's root and the segments it names.

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
        """Return the platform's root, or the empty root if none is stored."""
        result = self._store.read(KIND, NAME, PURPOSE)
        if result.is_ok():
            return _decode_root(result.ok)
        if result.error.code is errors.Code.NOT_FOUND:
            return expression.Ok(VersionedRoot(0, roots.Root.make_empty()))
        return expression.Error(result.error)

    def write_root(
        self, current: VersionedRoot, root: roots.Root
    ) -> expression.Result[base.StoredObject, errors.Fault]:
        """Replace the root, which must still have the expected version.

        :param current: the root on which the new one is based
        :param root: the new root
        :returns: the object as stored, or a fault
        """
        value = root.encode()
        if current.version == 0:
            return self._store.create(KIND, NAME, value, PURPOSE)
        return self._store.update(KIND, NAME, value, current.version, PURPOSE)

    def read_tables(
        self, root: roots.Root
    ) -> expression.Result[tables.Tables, errors.Fault]:
        """Return a root's tables, reading only segments that are not cached.

        :param root: the root
        """
        with self._lock:
            return self._load_missing(root).map(
                lambda cache: cache.assemble_tables(root)
            )

    def read_segments(
        self, root: roots.Root
    ) -> expression.Result[list[segments.Segment], errors.Fault]:
        """Return all segments of a root that contain rows.

        :param root: the root
        """
        with self._lock:
            return self._load_missing(root).map(
                lambda cache: [
                    segments.Segment(digest, cache.find(digest))
                    for digest in sorted(root.list_row_segments())
                ]
            )

    def _load_missing(
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

        :param root: the root with the history to be read
        """
        if root.history == roots.EMPTY_DIGEST:
            return expression.Ok([])
        cached = self._history
        if cached is not None and cached.digest == root.history:
            return expression.Ok(_decode_entries(cached.content))
        content = self._segments.read(root.history)
        return content.map(
            lambda text: self.cache_history(
                segments.Segment(root.history, text)
            )
        )

    def cache_history(
        self, segment: segments.Segment
    ) -> list[dict[str, typing.Any]]:
        """Cache a history, which the next edit then need not read.

        :param segment: the segment that was read or written
        :returns: its entries
        """
        self._history = segment
        return _decode_entries(segment.content)


def _decode_entries(content: bytes) -> list[dict[str, typing.Any]]:
    return json.loads(content)["history"]


def _decode_root(
    stored: base.StoredObject,
) -> expression.Result[VersionedRoot, errors.Fault]:
    try:
        root = roots.Root.decode(stored.value)
    except errors.TablesError as error:
        return expression.Error(error.fault)
    return expression.Ok(VersionedRoot(stored.version, root))

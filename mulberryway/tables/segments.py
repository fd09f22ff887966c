"""Splits tables into immutable segments and assembles them."""

import collections.abc
import hashlib
import itertools
import json
import typing

from mulberryway import errors
from mulberryway.tables import model
from mulberryway.tables import parse
from mulberryway.tables import root as roots

__all__ = [
    "MAX_SEGMENT_BYTES",
    "Segment",
    "SegmentCache",
    "make_segment",
    "split_tables",
]

# The platform stores values of up to a megabyte, including its own envelope.
MAX_SEGMENT_BYTES = 1_000_000


class Segment:
    """A group of rows, identified by the digest of their content.

    :param digest: see :func:`roots.digest_content`
    :param content: canonical JSON
    """

    __slots__ = ("digest", "content")

    def __init__(self, digest: str, content: bytes) -> None:
        self.digest = digest
        self.content = content


def make_segment(value: typing.Any) -> Segment:
    """Encode values as a segment.

    :param value: encoded values
    """
    content = roots.encode_content(value)
    return Segment(roots.digest_content(content), content)


class SplitTables:
    """The shards and segments of one state of the tables.

    :param shards: digests by table, for the root
    :param segments: the segments by digest
    """

    __slots__ = ("shards", "segments")

    def __init__(
        self,
        shards: dict[str, tuple[str, ...]],
        segments: dict[str, Segment],
    ) -> None:
        self.shards = shards
        self.segments = segments


def split_tables(tables: model.Tables) -> SplitTables:
    """Split tables into segments.

    A row's shard depends on its name alone, so an edit of one row changes one
    segment, whatever the other rows are.

    :param tables: the tables
    :returns: digests for the root, and the segments
    """
    segments: dict[str, Segment] = {}
    shards = {
        table: _split_rows(table, rows, segments)
        for table, rows in parse.encode_tables(tables).items()
    }
    return SplitTables(shards, segments)


def _split_rows(
    table: str,
    rows: dict[str, dict[str, typing.Any]],
    segments: dict[str, Segment],
) -> tuple[str, ...]:
    count = roots.SHARD_COUNTS[table]
    row_groups: list[dict[str, typing.Any]] = [{} for _ in range(count)]
    for name, row in rows.items():
        row_groups[_choose_shard(name, count)][name] = row
    return tuple(
        _add_segment(table, row_group, segments)
        if row_group
        else roots.EMPTY_DIGEST
        for row_group in row_groups
    )


def _choose_shard(name: str, count: int) -> int:
    digest = hashlib.sha256(name.encode()).digest()
    return int.from_bytes(digest[:8], "big") % count


def _add_segment(
    table: str,
    row_group: dict[str, typing.Any],
    segments: dict[str, Segment],
) -> str:
    segment = make_segment({table: row_group})
    segments[segment.digest] = segment
    return segment.digest


class SegmentCache:
    """Caches verified and decoded segments by digest.

    An edit changes one segment, so only that one is decoded again.
    """

    __slots__ = ("_contents", "_rows")

    def __init__(self) -> None:
        self._contents: dict[str, bytes] = {}
        self._rows: dict[str, model.Tables] = {}

    def add(self, digest: str, content: bytes) -> bool:
        """Add a segment if its content matches its digest.

        A segment may come from a stale peer or a damaged reply. Only the
        digest decides, so the sender need not be trusted.

        :param digest: the digest that was requested
        :param content: the received content
        :returns: false if the content has another digest
        :raises TablesError: if the rows are malformed
        """
        if roots.digest_content(content) != digest:
            return False
        if digest not in self._rows:
            decoded = parse.decode_tables(json.loads(content), 0)
            if decoded.is_error():
                raise errors.TablesError(decoded.error)
            self._rows[digest] = decoded.ok
            self._contents[digest] = content
        return True

    def find(self, digest: str) -> bytes | None:
        """Return a segment's content, or none if it is not cached.

        :param digest: the segment's digest
        """
        return self._contents.get(digest)

    def list_missing(self, root: roots.Root) -> list[str]:
        """Return the digests that a root needs and that are not cached.

        :param root: the root
        """
        return sorted(root.list_row_segments() - self._rows.keys())

    def assemble_tables(self, root: roots.Root) -> model.Tables:
        """Assemble the tables of a root; all its segments must be cached.

        :param root: the root
        :returns: the tables with the root's revision
        """
        row_groups = [
            self._rows[digest] for digest in sorted(root.list_row_segments())
        ]
        return model.Tables(
            root.revision,
            _merge_rows(row_group.routes for row_group in row_groups),
            _merge_rows(row_group.pools for row_group in row_groups),
            _merge_rows(row_group.accounts for row_group in row_groups),
        )

    def retain(self, digests: collections.abc.Collection[str]) -> None:
        """Remove all other segments from the cache.

        :param digests: the digests of the segments to retain
        """
        retained = set(digests)
        self._rows = {
            key: rows for key, rows in self._rows.items() if key in retained
        }
        self._contents = {
            key: text
            for key, text in self._contents.items()
            if key in retained
        }


def _merge_rows(
    row_groups: collections.abc.Iterable[dict[str, typing.Any]],
) -> tuple[typing.Any, ...]:
    return tuple(
        itertools.chain.from_iterable(rows.values() for rows in row_groups)
    )

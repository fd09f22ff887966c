"""The root object: the manifest of the digests of all segments."""

import hashlib
import itertools
import json
import typing

from mulberryway import errors

__all__ = [
    "DIGEST_HEX_LENGTH",
    "EMPTY_DIGEST",
    "SHARD_COUNTS",
    "EditRecord",
    "Root",
    "digest_content",
    "encode_content",
]

# 128 bits of SHA-256 make a collision of two segments negligible, and keep the
# root, which every VM receives with every edit, near 4 KB.
DIGEST_HEX_LENGTH = 32
# An edit transfers the root and one shard. With 2,200 client accounts a shard
# of accounts holds about 35. With more shards the root would dominate the size
# of a transfer, with fewer the shard.
SHARD_COUNTS = {"routes": 4, "pools": 16, "accounts": 64}
# The root lists the ids of the last edits, so after a lost reply one read
# shows whether an edit was accepted.
MAX_EDIT_RECORDS = 16
EMPTY_DIGEST = ""


def encode_content(value: typing.Any) -> bytes:
    """Return the canonical JSON text of a value.

    :param value: encoded values
    :returns: bytes that are equal for equal values
    """
    return json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=True
    ).encode()


def digest_content(content: bytes) -> str:
    """Return the digest that identifies some content.

    :param content: the bytes
    :returns: hexadecimal digits
    """
    return hashlib.sha256(content).hexdigest()[:DIGEST_HEX_LENGTH]


class EditRecord:
    """Record of an accepted edit.

    :param revision: the revision that the edit created
    :param edit_id: the edit's id
    """

    __slots__ = ("revision", "edit_id")

    def __init__(self, revision: int, edit_id: str) -> None:
        self.revision = revision
        self.edit_id = edit_id


class Root:
    """One accepted state of the tables: the digests of its segments.

    :param revision: increases by one with each accepted edit
    :param shards: digests by table; ``EMPTY_DIGEST`` for a shard without rows
    :param history: the digest of the segment with past edits
    :param marks: records of the last edits, the newest last
    """

    __slots__ = ("revision", "shards", "history", "marks")

    def __init__(
        self,
        revision: int,
        shards: dict[str, tuple[str, ...]],
        history: str,
        marks: tuple[EditRecord, ...],
    ) -> None:
        self.revision = revision
        self.shards = shards
        self.history = history
        self.marks = marks

    def encode(self) -> dict[str, typing.Any]:
        """Return the root's encoded values."""
        return {
            "revision": self.revision,
            "shards": {
                table: list(names) for table, names in self.shards.items()
            },
            "history": self.history,
            "marks": [
                [record.revision, record.edit_id] for record in self.marks
            ],
        }

    def digest(self) -> str:
        """Return the digest of the root's encoded values."""
        return digest_content(encode_content(self.encode()))

    def list_row_segments(self) -> set[str]:
        """Return the digests of all segments that contain rows."""
        names = itertools.chain.from_iterable(self.shards.values())
        return set(names) - {EMPTY_DIGEST}

    def list_segments(self) -> set[str]:
        """Return the digests of all segments, the history included."""
        return (self.list_row_segments() | {self.history}) - {EMPTY_DIGEST}

    def find_edit(self, edit_id: str) -> EditRecord | None:
        """Return the record of an edit, or none if it is not among the last.

        :param edit_id: the edit's id
        """
        return next(
            (record for record in self.marks if record.edit_id == edit_id),
            None,
        )

    def append_edit(self, edit_id: str) -> tuple[EditRecord, ...]:
        """Return the records of the root that follows this one.

        :param edit_id: the id of the edit that creates it
        :returns: the last records, the newest last
        """
        record = EditRecord(self.revision + 1, edit_id)
        return (*self.marks, record)[-MAX_EDIT_RECORDS:]

    @classmethod
    def decode(cls, value: typing.Any) -> "Root":
        """Decode a root.

        :param value: the result of ``encode``
        :raises TablesError: if it is not a root that this version can decode
        """
        try:
            shards = {
                table: tuple(map(_check_digest, value["shards"][table]))
                for table in SHARD_COUNTS
            }
            marks = tuple(
                EditRecord(int(revision), str(edit_id))
                for revision, edit_id in value["marks"]
            )
            return cls(
                int(value["revision"]),
                shards,
                _check_digest(value["history"]),
                marks,
            )
        except (KeyError, TypeError, ValueError) as error:
            raise errors.TablesError(
                errors.Fault(
                    errors.Code.INVALID_TABLES,
                    errors.Step.TABLES,
                    "root",
                    message=f"root: malformed ({type(error).__name__})",
                )
            ) from error

    @classmethod
    def make_empty(cls) -> "Root":
        """Return the root of revision 0, before the first edit."""
        shards = {
            table: (EMPTY_DIGEST,) * count
            for table, count in SHARD_COUNTS.items()
        }
        return cls(0, shards, EMPTY_DIGEST, ())


def _check_digest(name: typing.Any) -> str:
    if not isinstance(name, str) or len(name) not in (0, DIGEST_HEX_LENGTH):
        raise ValueError("not a digest")
    return name

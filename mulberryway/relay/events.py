"""Decodes chunked transfer coding and server-sent events from raw bytes."""

import json
import re
import typing

from mulberryway import chunk_sizes

__all__ = [
    "ChunkDecoder",
    "EventSplitter",
    "InvalidStream",
    "TokenEvent",
    "is_event",
]

CRLF = b"\r\n"
EVENT_END = b"\n\n"
MAX_CHUNK_SIZE_LINE_BYTES = 1_024
MAX_EVENT_BYTES = 1_048_576

# Matches the usual start of an engine's event, which saves parsing its JSON.
# Quotes within JSON strings are escaped, so the pattern can match only the
# event's own "id" and "index".
TOKEN_EVENT_PATTERN = re.compile(
    rb'data: ?\{"id": ?"([^"\\]*)", ?"index": ?(\d{1,18})[,}]'
)
DATA_PREFIX = b"data:"
# Lines that make no event: comments, and the time to wait before a retry.
OTHER_LINES = (b":", b"retry:")
ERROR_MEMBER = b'"error"'


class InvalidStream(Exception):
    """Raised if an engine's bytes are not a valid event stream."""


class ChunkDecoder:
    """Incremental decoder of the chunked transfer coding.

    ``ended`` becomes true with the last chunk.  A stream that closes before
    that is truncated, even if its text looks complete.
    """

    __slots__ = ("ended", "_buffer", "_chunk_remaining", "_needs_crlf")

    def __init__(self) -> None:
        self.ended = False
        self._buffer = b""
        self._chunk_remaining = 0
        self._needs_crlf = False

    def feed(self, data: bytes) -> bytes:
        """Return the payload of the bytes received so far.

        :param data: the bytes received
        :returns: the payload, possibly empty
        :raises InvalidStream: if the chunked coding is malformed
        """
        buffer = self._buffer + data if self._buffer else data
        pieces: list[bytes] = []
        offset = 0
        while not self.ended:
            if self._chunk_remaining:
                piece = buffer[offset : offset + self._chunk_remaining]
                pieces.append(piece)
                offset += len(piece)
                self._chunk_remaining -= len(piece)
                if self._chunk_remaining:
                    break
                self._needs_crlf = True
            next_offset = self._parse_size_line(buffer, offset)
            if next_offset is None:
                break
            offset = next_offset
        self._buffer = buffer[offset:]
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _parse_size_line(self, buffer: bytes, offset: int) -> int | None:
        if self._needs_crlf:
            if len(buffer) - offset < len(CRLF):
                return None
            if not buffer.startswith(CRLF, offset):
                raise InvalidStream("chunk does not end with CRLF")
            offset += len(CRLF)
        end = buffer.find(CRLF, offset)
        if end < 0:
            if len(buffer) - offset > MAX_CHUNK_SIZE_LINE_BYTES:
                raise InvalidStream("chunk size line is too long")
            return None
        self._needs_crlf = False
        size = chunk_sizes.parse(buffer[offset:end])
        if size is None:
            raise InvalidStream("chunk size is not a hexadecimal number")
        self._chunk_remaining = size
        self.ended = not size
        return end + len(CRLF)


class EventSplitter:
    """Splits payload into complete events, without the blank line after each.

    An incomplete event at the end is buffered until the next call.
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, payload: bytes) -> list[bytes]:
        """Return the events that this payload completes.

        :param payload: bytes without transfer coding
        :returns: the complete events in order
        :raises InvalidStream: if an event exceeds ``MAX_EVENT_BYTES``
        """
        buffer = self._buffer
        checked = max(len(buffer) - len(EVENT_END) + 1, 0)
        buffer += payload
        end = buffer.find(EVENT_END, checked)
        events: list[bytes] = []
        if end >= 0:
            *events, rest = bytes(buffer).split(EVENT_END)
            buffer[:] = rest
        if len(buffer) > MAX_EVENT_BYTES:
            raise InvalidStream("event is too long")
        return events


class TokenEvent:
    """The fields of an event that the relay needs.

    :param id_: the completion's id, as the engine wrote it
    :param index: the token's index in the completion; none for events that
        are not tokens
    """

    __slots__ = ("id", "index")

    def __init__(self, id_: bytes, index: int | None) -> None:
        self.id = id_
        self.index = index

    @classmethod
    def read(cls, event: bytes) -> "TokenEvent":
        """Parse one event.

        :param event: one complete event
        :returns: its id and index
        :raises InvalidStream: if it is not a JSON object, or is an error event
        """
        match = TOKEN_EVENT_PATTERN.match(event)
        if match is not None:
            return cls(match[1], int(match[2]))
        value = parse_json_event(event)
        if "error" in value:
            raise InvalidStream("the engine sent an error event")
        index = value.get("index")
        if index is not None and type(index) is not int:
            raise InvalidStream("event index is not an integer")
        return cls(str(value.get("id", "")).encode(), index)


def is_event(block: bytes) -> bool:
    """Return whether what ends with a blank line is an event.

    :param block: the lines before the blank line
    """
    return any(
        line.rstrip(b"\r") and not line.startswith(OTHER_LINES)
        for line in block.split(b"\n")
    )


def parse_json_event(event: bytes) -> dict[str, typing.Any]:
    """Parse the JSON object of an event's data line.

    :param event: one complete event
    :returns: the object
    :raises InvalidStream: if the data is not a JSON object
    """
    try:
        value = json.loads(event.removeprefix(DATA_PREFIX))
    except (ValueError, RecursionError) as error:
        raise InvalidStream("event is not JSON") from error
    if not isinstance(value, dict):
        raise InvalidStream("event is not a JSON object")
    return value

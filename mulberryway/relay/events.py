"""Reads chunked transfer coding and server-sent events from raw bytes."""

import json
import re
import typing

__all__ = ["InvalidStream", "ChunkDecoder", "EventSplitter", "TokenEvent"]

CRLF = b"\r\n"
EVENT_END = b"\n\n"
MAX_CHUNK_SIZE_LINE_BYTES = 1_024
MAX_EVENT_BYTES = 1_048_576

# The form in which engines write an event's beginning.  Quotes within JSON
# strings are escaped, so a match can only be the event's own two members.
TOKEN_EVENT_PATTERN = re.compile(
    rb'data: ?\{"id": ?"([^"\\]*)", ?"index": ?(\d+)[,}]'
)
DATA_PREFIX = b"data:"
ERROR_MEMBER = b'"error"'


class InvalidStream(Exception):
    """Bytes from an engine that are not a stream of events."""


class ChunkDecoder:
    """Takes the chunked transfer coding off, one received piece at a time.

    ``ended`` becomes true with the last chunk; without it the stream was
    cut, however complete its text may look.
    """

    __slots__ = ("ended", "_buffer", "_left", "_needs_end")

    def __init__(self) -> None:
        self.ended = False
        self._buffer = b""
        self._left = 0
        self._needs_end = False

    def feed(self, data: bytes) -> bytes:
        """Return the payload in the bytes received so far.

        :param data: what was received
        :returns: payload, possibly empty
        :raises InvalidStream: if the coding is wrong
        """
        buffer = self._buffer + data if self._buffer else data
        pieces: list[bytes] = []
        at = 0
        while not self.ended:
            if self._left:
                piece = buffer[at : at + self._left]
                pieces.append(piece)
                at += len(piece)
                self._left -= len(piece)
                if self._left:
                    break
                self._needs_end = True
            after = self._read_size(buffer, at)
            if after is None:
                break
            at = after
        self._buffer = buffer[at:]
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _read_size(self, buffer: bytes, at: int) -> int | None:
        if self._needs_end:
            if len(buffer) - at < len(CRLF):
                return None
            if not buffer.startswith(CRLF, at):
                raise InvalidStream("a chunk does not end with CRLF")
            at += len(CRLF)
        end = buffer.find(CRLF, at)
        if end < 0:
            if len(buffer) - at > MAX_CHUNK_SIZE_LINE_BYTES:
                raise InvalidStream("a chunk's size line is too long")
            return None
        self._needs_end = False
        try:
            self._left = int(buffer[at:end].partition(b";")[0], 16)
        except ValueError as error:
            raise InvalidStream("a chunk's size is not a number") from error
        if self._left < 0:
            raise InvalidStream("a chunk's size is negative")
        self.ended = not self._left
        return end + len(CRLF)


class EventSplitter:
    """Cuts payload into whole events, without the blank line after each."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, payload: bytes) -> list[bytes]:
        """Return the events that are complete now.

        :param payload: bytes without transfer coding
        :returns: events in order
        :raises InvalidStream: if an event grows without end
        """
        buffer = self._buffer + payload if self._buffer else payload
        events = buffer.split(EVENT_END)
        self._buffer = events.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise InvalidStream("an event is too long")
        return events


class TokenEvent:
    """What the relay needs to know of one event.

    :param id_: the answer's id, as the engine wrote it
    :param index: the token's place in the answer; none for other events
    """

    __slots__ = ("id", "index")

    def __init__(self, id_: bytes, index: int | None) -> None:
        self.id = id_
        self.index = index

    @classmethod
    def read(cls, event: bytes) -> "TokenEvent":
        """Read one event.

        :param event: one whole event
        :returns: what it holds
        :raises InvalidStream: if it is no JSON object, or an error
        """
        match = TOKEN_EVENT_PATTERN.match(event)
        if match is not None:
            return cls(match[1], int(match[2]))
        value = parse_json_event(event)
        if "error" in value:
            raise InvalidStream("the engine sent an error event")
        index = value.get("index")
        if index is not None and type(index) is not int:
            raise InvalidStream("an event's index is not a number")
        return cls(str(value.get("id", "")).encode(), index)


def parse_json_event(event: bytes) -> dict[str, typing.Any]:
    """Return the JSON object that an event carries.

    :param event: one whole event
    :returns: the object
    :raises InvalidStream: if it carries none
    """
    try:
        value = json.loads(event.removeprefix(DATA_PREFIX))
    except ValueError as error:
        raise InvalidStream("an event is not JSON") from error
    if not isinstance(value, dict):
        raise InvalidStream("an event is not a JSON object")
    return value

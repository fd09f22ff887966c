"""Streams that are forwarded to the caller byte for byte."""

import itertools
import re
import typing

from mulberryway import errors
from mulberryway.relay import events
from mulberryway.relay import stream
from mulberryway.relay import writers
from mulberryway.upstreams import base as upstreams

__all__ = ["PassthroughStream", "PassthroughWriter"]

# The id line of an event; ids are integers that increase within a stream.
EVENT_ID_PATTERN = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
MAX_EVENT_ID_DIGITS = 18
# A blank line; lines may end with CR LF.
EVENT_ENDS = (b"\n\n", b"\n\r\n")
EVENT_END_PATTERN = re.compile(rb"\n\r?\n")
MAX_EVENT_END_BYTES = 3
# A copy of an answer may follow an answer without framing.
OTHER_HEAD = b"HTTP/1."
# A VM may forward some 360 streams, and has 128 MB.
MAX_PARTIAL_EVENT_BYTES = 65_536
# Headers about the engine's connection and transfer coding.
FRAMING_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length")
)


class PassthroughWriter(writers.Writer):
    """Forwards an engine's headers and payload with its own transfer coding.

    :param head: writes the reply's head
    """

    def __init__(self, head: writers.ReplyHead) -> None:
        super().__init__(head)
        self._headers: list[tuple[str, str]] = []

    def set_source(self, source: upstreams.TokenStream) -> None:
        """Copy the headers of the first engine that responds.

        :param source: the engine's stream
        """
        if self.is_head_written:
            return
        self._headers = [
            (name, value)
            for name, value in source.headers
            if name.lower() not in FRAMING_HEADERS
        ]

    def add(self, tokens: list[bytes]) -> bytes:
        """Return payload as one chunk, preceded by the head on the first call.

        :param tokens: pieces of payload in order
        :returns: the bytes to send
        """
        body = self.head.frame(b"".join(tokens))
        if self.is_head_written:
            return body
        self.is_head_written = True
        return self._write_head() + body

    def end(self) -> bytes:
        """Return the bytes that end a complete reply."""
        head = b"" if self.is_head_written else self.add([])
        return head + self.head.frame_end()

    def fail(self, fault: errors.Fault) -> bytes:
        """Return an error reply, or nothing once the head was written.

        The caller would mistake bytes written after the head for the
        engine's.  The missing last chunk shows it that the reply is truncated.

        :param fault: the fault
        :returns: the bytes to send
        """
        return b"" if self.is_head_written else super().fail(fault)

    def _write_head(self) -> bytes:
        headers = list(self._headers)
        # The reply is chunked even if the engine ends its response by closing
        # the connection: the caller can then detect a truncated reply.
        if self.head.is_http_11:
            headers.append(("Transfer-Encoding", "chunked"))
        else:
            self.head.keep = False
        return self.head.write(200, headers)


class PassthroughStream(stream.Stream):
    """Stream whose events are forwarded unparsed except for their ids.

    ``expected`` is the id of the last event sent to the caller, or the number
    of events if they have no ids; another engine resumes after it.
    """

    __slots__ = ("_remaining", "_partial_event", "_has_event", "_has_ids")

    def __init__(self, *arguments: typing.Any) -> None:
        self._has_ids = False
        super().__init__(*arguments)

    def set_source(self, source: upstreams.TokenStream) -> None:
        """Start to read from an engine.

        :param source: the engine's stream
        """
        super().set_source(source)
        self._remaining = None if source.is_chunked else source.length
        self._partial_event = bytearray()
        # Whether this engine has written an event.
        self._has_event = False
        self.writer.set_source(source)

    def may_end_on_close(self) -> bool:
        """Return whether closing the connection may end the response.

        A response with neither chunks nor a length can end only this way.  It
        is truncated if an incomplete event is still buffered, or if this
        engine has written no event at all.
        """
        source = self.source
        return (
            source is not None
            and not source.is_chunked
            and self._remaining is None
            and not self._partial_event
            and self._has_event
        )

    def take(self, data: bytes) -> bytes:
        """Process bytes from an engine and return the bytes to forward.

        Only complete events are forwarded, so another engine can resume after
        the last one if this engine fails in the middle of an event.

        :param data: bytes from the engine
        :returns: bytes for the caller, possibly none
        :raises InvalidStream: if the stream is invalid
        """
        complete = self._take_complete(self._decode_payload(data))
        out = [complete] if complete else []
        if complete:
            self._update_position(complete)
        self.is_complete = self._has_reached_end()
        if self.is_complete and self._partial_event:
            out.append(bytes(self._partial_event))
            self._partial_event.clear()
        return self.writer.add(out) if out else b""

    def _take_complete(self, payload: bytes) -> bytes:
        """Return the events that a payload completes; keep the rest."""
        partial = self._partial_event
        checked = max(len(partial) - MAX_EVENT_END_BYTES + 1, 0)
        partial += payload
        ends = [
            position + len(end)
            for end in EVENT_ENDS
            if (position := partial.rfind(end, checked)) >= 0
        ]
        complete = b""
        if ends:
            complete = bytes(partial[: max(ends)])
            del partial[: len(complete)]
        if len(partial) > MAX_PARTIAL_EVENT_BYTES:
            raise events.InvalidStream("event is too long")
        return complete

    def _decode_payload(self, data: bytes) -> bytes:
        if self.source is not None and self.source.is_chunked:
            return self.decoder.feed(data)
        if self._remaining is None:
            return data
        payload = data[: self._remaining]
        self._remaining -= len(payload)
        return payload

    def _has_reached_end(self) -> bool:
        """Return whether the response has the end that its head announced."""
        if self.source is not None and self.source.is_chunked:
            return self.decoder.ended
        return self._remaining == 0

    def _update_position(self, complete: bytes) -> None:
        blocks = EVENT_END_PATTERN.split(complete)
        if any(block.startswith(OTHER_HEAD) for block in blocks):
            raise events.InvalidStream("event is the head of a response")
        texts = EVENT_ID_PATTERN.findall(complete)
        if any(len(text) > MAX_EVENT_ID_DIGITS for text in texts):
            raise events.InvalidStream("event id is too long")
        ids = [int(text) for text in texts]
        count = sum(map(events.is_event, blocks))
        self._has_event = self._has_event or bool(count)
        if not ids:
            # Without ids, progress is the number of events.
            self.expected += 0 if self._has_ids else count
            return
        self._has_ids = True
        if self.expected:
            ids.insert(0, self.expected)
        if any(later <= id_ for id_, later in itertools.pairwise(ids)):
            raise events.InvalidStream("event was already sent")
        self.expected = ids[-1]

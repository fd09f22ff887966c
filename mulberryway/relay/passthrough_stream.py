"""Answers that go to the caller byte for byte, as their engine wrote them."""

import re

from mulberryway import errors
from mulberryway.relay import events
from mulberryway.relay import stream
from mulberryway.relay import writers
from mulberryway.upstreams import base as upstreams

__all__ = ["PassthroughStream", "PassthroughWriter"]

# The line that numbers an event; the number grows along the answer.
EVENT_ID_PATTERN = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
EVENT_END = b"\n\n"
LAST_CHUNK = b"0\r\n\r\n"
# These speak of the engine's own connection and transfer coding.
FRAMING_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length")
)


class PassthroughWriter(writers.Writer):
    """Passes an engine's head and payload on, in a coding of its own.

    :param head: writes the reply's head
    """

    def __init__(self, head: writers.ReplyHead) -> None:
        super().__init__(head)
        self._is_chunked = False
        self._headers: list[tuple[str, str]] = []

    def set_source(self, source: upstreams.TokenStream) -> None:
        """Take over the head of the first engine that begins to answer.

        :param source: the engine's stream
        """
        if self.is_head_written:
            return
        self._headers = [
            (name, value)
            for name, value in source.headers
            if name.lower() not in FRAMING_HEADERS
        ]
        # Where the engine's own answer ends only with its connection, its
        # end is told in chunks all the same: a caller can then tell a whole
        # answer from a broken one.
        self._is_chunked = self.head.is_http_11

    def add(self, tokens: list[bytes]) -> bytes:
        """Return some payload as one chunk, after the head at first.

        :param tokens: pieces of payload in order
        :returns: the bytes
        """
        body = b"".join(tokens)
        if self._is_chunked and body:
            body = b"%x\r\n%b\r\n" % (len(body), body)
        if self.is_head_written:
            return body
        self.is_head_written = True
        return self._write_head() + body

    def end(self) -> bytes:
        """Return what closes a whole answer."""
        closing = b"" if self.is_head_written else self.add([])
        return closing + LAST_CHUNK if self._is_chunked else closing

    def fail(self, fault: errors.Fault) -> bytes:
        """Return an error reply before the head, and nothing after it.

        Anything written after the head would be taken for the engine's; the
        missing end shows that the answer was cut.

        :param fault: what went wrong
        :returns: the bytes
        """
        return b"" if self.is_head_written else super().fail(fault)

    def _write_head(self) -> bytes:
        headers = list(self._headers)
        if self._is_chunked:
            headers.append(("Transfer-Encoding", "chunked"))
        else:
            self.head.keep = False
        return self.head.write(200, headers)


class PassthroughStream(stream.Stream):
    """One answer whose events pass unread but for their numbers.

    ``expected`` is the number of the last event that went to the caller;
    another engine goes on after it.
    """

    __slots__ = ("_left", "_tail")

    def set_source(self, source: upstreams.TokenStream) -> None:
        """Begin to read from an engine.

        :param source: the engine's stream
        """
        super().set_source(source)
        self._left = None if source.chunked else source.length
        self._tail = b""
        self.writer.set_source(source)

    def may_end_on_close(self) -> bool:
        """Tell whether an answer may end with its engine's connection.

        One without a length has no other end.  What stood in the tail is
        no whole event, so nothing of it may look like one.
        """
        source = self.source
        return (
            source is not None
            and not source.chunked
            and self._left is None
            and not self._tail
        )

    def take(self, data: bytes) -> bytes:
        """Take in what an engine sent and return what to send on.

        Only whole events go on, so that another engine can go on after the
        last one if this one breaks off in the middle.

        :param data: bytes from the engine
        :returns: bytes for the caller, possibly none
        :raises BrokenStream: if the stream cannot be used any more
        """
        payload = self._read_payload(data)
        whole, mark, rest = (self._tail + payload).rpartition(EVENT_END)
        self._tail = rest
        out = [whole + mark] if mark else []
        if mark:
            self._note_numbers(whole + mark)
        if self.is_complete and self._tail:
            out.append(self._tail)
            self._tail = b""
        return self.writer.add(out) if out else b""

    def _read_payload(self, data: bytes) -> bytes:
        if self.source is not None and self.source.chunked:
            payload = self.decoder.feed(data)
            self.is_complete = self.decoder.ended
            return payload
        if self._left is None:
            return data
        payload = data[: self._left]
        self._left -= len(payload)
        self.is_complete = not self._left
        return payload

    def _note_numbers(self, whole: bytes) -> None:
        numbers = [int(found) for found in EVENT_ID_PATTERN.findall(whole)]
        if not numbers:
            # An answer without numbers still moves on.
            self.expected += whole.count(EVENT_END)
            return
        if numbers[0] <= self.expected and self.writer.is_head_written:
            raise events.InvalidStream("an event comes a second time")
        self.expected = numbers[-1]

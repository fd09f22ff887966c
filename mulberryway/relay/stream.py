"""State of one token stream from an engine to a caller."""

import abc
import collections.abc
import socket

from mulberryway import errors
from mulberryway.relay import events
from mulberryway.relay import writers
from mulberryway.upstreams import base as upstreams

__all__ = ["Stream", "StreamOwner"]

DONE_EVENT = b"data: [DONE]"
FINISH_MEMBER = b'"finish_reason"'
# An engine that was not read for this long because of the caller may have cut
# off its response for that.
MIN_BLAMELESS_PAUSE_MS = 1_000


class StreamOwner(abc.ABC):
    """Callbacks of the request that a stream belongs to.

    All methods but ``recover`` and ``replace`` run on the loop's thread and
    must not block.
    """

    @abc.abstractmethod
    def on_first_token(self) -> None:
        """Handle the arrival of the engine's first token."""

    def on_source_begin(self) -> None:
        """Handle the first token of each engine that the stream has."""
        return

    @abc.abstractmethod
    def on_tokens(self, tokens: int) -> None:
        """Handle a progress report, sent about once a second.

        :param tokens: number of tokens received so far
        """

    @abc.abstractmethod
    def on_source_end(self, tokens: int) -> None:
        """Handle the end of the engine's response; its slot is free.

        :param tokens: total number of tokens received
        """

    @abc.abstractmethod
    def cancel_source(self) -> None:
        """Cancel the attempt at the engine, which frees its slot and memory.

        May be called more than once, also after ``recover`` has found
        another engine for a caller that disconnected during the search.
        """

    def is_source_alive(self) -> bool:
        """Return whether the engine still runs after its connection ended.

        Asked for a response that only the end of its connection can end, on a
        recovery thread; may block.  If it does not run, it has crashed and its
        response may be incomplete.
        """
        return False

    @abc.abstractmethod
    def recover(self, stream: "Stream", fault: errors.Fault) -> None:
        """Find another engine; runs on a recovery thread and may block.

        Must end with ``Relay.resume`` or ``Relay.fail`` for the stream.

        :param stream: the stream; ``expected`` is the offset to resume at
        :param fault: the fault of the engine
        """

    def may_replace_source(self) -> bool:
        """Return whether another engine may take over from a stalled one.

        If no engine can accept the stream, the relay keeps waiting for the
        stalled one, because a late token is better than a truncated answer.
        """
        return True

    @abc.abstractmethod
    def replace_source(self, stream: "Stream", fault: errors.Fault) -> None:
        """Find a replacement for a stalled engine; runs on a recovery thread.

        The stalled engine is still read during the search.  Call
        ``Relay.try_hold_source`` right before another engine is asked to
        resume the stream, then ``Relay.try_close_source`` once it has started
        or ``Relay.release_source`` if it has not.  Must end with
        ``Relay.resume`` or ``Relay.keep_source`` for the stream.

        :param stream: the stream; ``expected`` is the offset to resume at
        :param fault: the fault of the engine
        """

    def on_longest_gap(self, gap_ms: int) -> None:
        """Handle the longest inter-token gap, right before ``close``.

        :param gap_ms: the longest time between two tokens, in ms
        """
        return

    @abc.abstractmethod
    def close(self, tokens: int, fault: errors.Fault | None) -> None:
        """Handle the end of the stream; called exactly once.

        :param tokens: number of tokens received from engines
        :param fault: why the answer is incomplete; none if it is complete
        """


class Stream:
    """One token stream from an engine to a caller.

    :param owner: the request that the stream belongs to
    :param writer: formats the reply
    :param source: the engine's stream
    :param caller: the caller's socket
    :param release: called at the end with whether the caller's connection can
        be reused
    :param first_token_timeout_ms: timeout of the first token, in ms
    :param token_timeout_ms: timeout of each further token, in ms
    :param key_digest: digest of the API key of the request
    :param account: the client account's name
    """

    __slots__ = (
        "owner",
        "writer",
        "source",
        "caller",
        "release",
        "first_token_timeout_ms",
        "token_timeout_ms",
        "key_digest",
        "account",
        "expected",
        "write_buffer",
        "token_deadline_ms",
        "deadline_ms",
        "last_progress_ms",
        "longest_gap_ms",
        "last_write_ms",
        "is_paused",
        "paused_ms",
        "resumed_ms",
        "longest_pause_ms",
        "has_source_begun",
        "is_complete",
        "is_closed",
        "is_replacing_source",
        "is_held",
        "is_end_unconfirmed",
        "source_fault",
        "decoder",
        "_splitter",
        "_has_finish_reason",
        "_first_id",
        "_source_id",
    )

    def __init__(
        self,
        owner: StreamOwner,
        writer: writers.Writer,
        source: upstreams.TokenStream,
        caller: socket.socket,
        release: collections.abc.Callable[[bool], None],
        first_token_timeout_ms: int,
        token_timeout_ms: int,
        key_digest: str = "",
        account: str = "",
    ) -> None:
        self.owner = owner
        self.writer = writer
        self.caller = caller
        self.release = release
        self.first_token_timeout_ms = first_token_timeout_ms
        self.token_timeout_ms = token_timeout_ms
        self.key_digest = key_digest
        self.account = account
        self.expected = 0
        self.write_buffer = bytearray()
        self.token_deadline_ms = 0
        # Deadline of the complete answer; 0 for none.
        self.deadline_ms = 0
        # Time of the last progress, and the longest inter-token gap.
        self.last_progress_ms = 0
        self.longest_gap_ms = 0
        self.last_write_ms = 0
        # Whether the engine is not read because of the caller, and since when.
        self.is_paused = False
        self.paused_ms = 0
        self.resumed_ms = 0
        self.is_complete = False
        self.is_closed = False
        # Whether a replacement is sought while the stalled engine is still
        # read, and the fault that ended the stalled engine during the search.
        self.is_replacing_source = False
        # Whether the stalled engine is not read because another one was asked
        # to resume the stream.
        self.is_held = False
        # Whether it is being found out if the engine has ended its response
        # or has crashed.
        self.is_end_unconfirmed = False
        self.source_fault: errors.Fault | None = None
        self._first_id = b""
        self.set_source(source)

    def set_source(self, source: upstreams.TokenStream) -> None:
        """Start to read from an engine.

        :param source: the engine's stream
        """
        self.source: upstreams.TokenStream | None = source
        # Whether this engine has written a token.
        self.has_source_begun = False
        self.longest_pause_ms = 0
        self.decoder = events.ChunkDecoder()
        self._splitter = events.EventSplitter()
        self._source_id = b""
        self._has_finish_reason = False

    def pause(self, now_ms: int) -> None:
        """Record that the engine is not read because of the caller.

        :param now_ms: the current time
        """
        if now_ms - self.resumed_ms >= MIN_BLAMELESS_PAUSE_MS:
            self.longest_pause_ms = 0
        self.is_paused = True
        self.paused_ms = now_ms

    def resume(self, now_ms: int) -> None:
        """Record that the engine is read again.

        :param now_ms: the current time
        """
        self.longest_pause_ms = max(
            self.longest_pause_ms, now_ms - self.paused_ms
        )
        self.is_paused = False
        self.resumed_ms = now_ms

    def may_be_cut_off(self, now_ms: int) -> bool:
        """Return whether the engine may break off because of the caller.

        It is read again for a while before the end of what it had sent shows.

        :param now_ms: the current time
        """
        pause_ms = self.longest_pause_ms
        if self.is_paused:
            pause_ms = max(pause_ms, now_ms - self.paused_ms)
        elif now_ms - self.resumed_ms >= MIN_BLAMELESS_PAUSE_MS:
            return False
        return pause_ms >= MIN_BLAMELESS_PAUSE_MS

    def record_progress(self, now_ms: int) -> None:
        """Record that the answer has grown, and update the longest gap.

        :param now_ms: the current time
        """
        if self.last_progress_ms:
            gap_ms = now_ms - self.last_progress_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_progress_ms = now_ms

    def may_end_on_close(self) -> bool:
        """Return whether closing the connection may end the response."""
        return False

    def take(self, data: bytes) -> bytes:
        """Process bytes from an engine and return the bytes to forward.

        Tokens that the caller already has are skipped.  A missing token makes
        the stream invalid, because the caller could not detect the gap.

        :param data: bytes from the engine
        :returns: bytes for the caller, possibly none
        :raises InvalidStream: if the stream is invalid
        """
        if self.source is not None and self.source.is_chunked:
            data = self.decoder.feed(data)
        offset = self.expected
        try:
            tokens = list(self._take_tokens(data))
        except events.InvalidStream:
            # What came before the invalid event is not forwarded, so another
            # engine has to write it again.
            self.expected = offset
            raise
        return self.writer.add(tokens) if tokens else b""

    def _take_tokens(self, data: bytes) -> collections.abc.Iterator[bytes]:
        """Yield the events that the caller does not have."""
        for event in self._splitter.feed(data):
            if event == DONE_EVENT:
                self._check_complete()
                self.is_complete = True
                return
            if events.is_event(event) and self._accept_event(event):
                yield self._replace_id(event)

    def _accept_event(self, event: bytes) -> bool:
        token = events.TokenEvent.read(event)
        if not self._source_id:
            self._source_id = token.id
            self._first_id = self._first_id or token.id
        elif token.id != self._source_id:
            # The engine mixed up two streams.  The event belongs to another
            # request and must not reach this caller.
            raise events.InvalidStream("event belongs to another completion")
        if token.index is None:
            return True
        if token.index > self.expected:
            raise events.InvalidStream("token is missing")
        if token.index < self.expected:
            return False
        self.expected += 1
        self._has_finish_reason = FINISH_MEMBER in event
        return True

    def _replace_id(self, event: bytes) -> bytes:
        if self._source_id == self._first_id:
            return event
        return event.replace(self._source_id, self._first_id, 1)

    def _check_complete(self) -> None:
        # An engine that aborts a request may still end its stream normally;
        # only a finish reason shows that the completion is complete.
        if not self._has_finish_reason:
            raise events.InvalidStream("stream ended without a finish reason")

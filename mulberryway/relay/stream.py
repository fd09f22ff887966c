"""The state of one answer on its way from an engine to a caller."""

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


class StreamOwner(abc.ABC):
    """The request to which a stream belongs; called on the loop's thread.

    All methods but ``recover`` must return at once.
    """

    @abc.abstractmethod
    def on_first_token(self) -> None:
        """Take notice that the engine's first token has come."""

    @abc.abstractmethod
    def on_tokens(self, tokens: int) -> None:
        """Take notice, about once a second, of how far the answer is.

        :param tokens: how many tokens have come so far
        """

    @abc.abstractmethod
    def on_source_end(self, tokens: int) -> None:
        """Take notice that the engine has finished; its slot is free.

        :param tokens: how many tokens have come in all
        """

    @abc.abstractmethod
    def cancel_source(self) -> None:
        """Free what the engine holds, because nobody wants the rest.

        May be called more than once, also after ``recover`` has found
        another engine for a caller that has gone meanwhile.
        """

    @abc.abstractmethod
    def recover(self, stream: "Stream", fault: errors.Fault) -> None:
        """Find another engine; on a thread of its own, may block.

        Ends in ``Relay.resume`` or ``Relay.fail`` for the stream.

        :param stream: the stream; ``expected`` is the offset to resume at
        :param fault: what befell the engine
        """

    def may_replace_source(self) -> bool:
        """Tell whether a silent engine may be left for another one.

        Where none can take the stream, the silent one is waited for: what it
        still sends is better than an answer that is cut.
        """
        return True

    @abc.abstractmethod
    def replace(self, stream: "Stream", fault: errors.Fault) -> None:
        """Find another engine for a silent one; on a thread of its own.

        The silent engine is read from meanwhile.  ``Relay.try_close_source``
        is called right before the stream begins elsewhere.  Ends in
        ``Relay.resume`` or ``Relay.keep_source`` for the stream.

        :param stream: the stream; ``expected`` is the offset to resume at
        :param fault: what befell the engine
        """

    def on_longest_gap(self, gap_ms: int) -> None:
        """Take notice of the longest pause, right before the end.

        :param gap_ms: the longest time between two pieces
        """
        return

    @abc.abstractmethod
    def close(self, tokens: int, fault: errors.Fault | None) -> None:
        """Take notice of the end; called exactly once.

        :param tokens: how many tokens were taken from engines
        :param fault: why the answer is not whole; none if it is
        """


class Stream:
    """One answer on its way.

    :param owner: the request
    :param writer: makes the reply
    :param source: the engine's stream
    :param caller: the caller's socket
    :param release: gets whether the caller's connection can be used again
    :param first_token_timeout_ms: how long the first token may take from now
        on
    :param token_timeout_ms: how long each further token may take
    :param key_digest: names the key that the request came with
    :param account: the client account
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
        "pending",
        "token_deadline_ms",
        "deadline_ms",
        "last_progress_ms",
        "longest_gap_ms",
        "last_write_ms",
        "is_paused",
        "is_complete",
        "is_closed",
        "is_replacing_source",
        "broken",
        "decoder",
        "_splitter",
        "_has_finish",
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
        self.pending = bytearray()
        self.token_deadline_ms = 0
        # When the whole answer is over at the latest; 0 for no end.
        self.deadline_ms = 0
        # When its last piece came, and the longest time between two.
        self.last_progress_ms = 0
        self.longest_gap_ms = 0
        self.last_write_ms = 0
        self.is_paused = False
        self.is_complete = False
        self.is_closed = False
        # Whether another engine is sought while the silent one is read
        # from, and what broke that one off meanwhile.
        self.is_replacing_source = False
        self.broken: errors.Fault | None = None
        self._first_id = b""
        self.set_source(source)

    def set_source(self, source: upstreams.TokenStream) -> None:
        """Begin to read from an engine.

        :param source: the engine's stream
        """
        self.source: upstreams.TokenStream | None = source
        self.decoder = events.ChunkDecoder()
        self._splitter = events.EventSplitter()
        self._source_id = b""
        self._has_finish = False

    def record_progress(self, now_ms: int) -> None:
        """Take notice that the answer has grown.

        :param now_ms: the present
        """
        if self.last_progress_ms:
            gap_ms = now_ms - self.last_progress_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_progress_ms = now_ms

    def may_end_on_close(self) -> bool:
        """Tell whether an answer may end with its engine's connection."""
        return False

    def take(self, data: bytes) -> bytes:
        """Take in what an engine sent and return what to send on.

        Tokens that the caller has already are left out; a token that is
        missing breaks the stream, so that nobody takes the rest for whole.

        :param data: bytes from the engine
        :returns: bytes for the caller, possibly none
        :raises BrokenStream: if the stream cannot be used any more
        """
        if self.source is not None and self.source.chunked:
            data = self.decoder.feed(data)
        tokens: list[bytes] = []
        for event in self._splitter.feed(data):
            if event == DONE_EVENT:
                self._check_whole()
                self.is_complete = True
                break
            if self._accept(event):
                tokens.append(self._rename(event))
        return self.writer.add(tokens) if tokens else b""

    def _accept(self, event: bytes) -> bool:
        token = events.TokenEvent.read(event)
        if not self._source_id:
            self._source_id = token.id
            self._first_id = self._first_id or token.id
        elif token.id != self._source_id:
            # An event of somebody else's answer: an engine that crosses
            # two streams shows itself here, before a foreign byte goes on.
            raise events.InvalidStream("an event of another answer")
        if token.index is None:
            return True
        if token.index > self.expected:
            raise events.InvalidStream("a token is missing")
        if token.index < self.expected:
            return False
        self.expected += 1
        self._has_finish = FINISH_MEMBER in event
        return True

    def _rename(self, event: bytes) -> bytes:
        if self._source_id == self._first_id:
            return event
        return event.replace(self._source_id, self._first_id, 1)

    def _check_whole(self) -> None:
        # An engine that gives a run up may close its stream in good form;
        # only a reason to finish shows that the answer is whole.
        if not self._has_finish:
            raise events.InvalidStream("the answer ends without a reason")

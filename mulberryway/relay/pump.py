"""Moves tokens from engines to callers, all streams on one event loop."""

import collections.abc
import concurrent.futures
import logging
import select
import socket

from mulberryway import errors
from mulberryway.relay import events
from mulberryway.relay import loop
from mulberryway.relay import stream as streams
from mulberryway.upstreams import base as upstreams

__all__ = ["Relay"]

LOG = logging.getLogger(__name__)

RECEIVE_BYTES = 65_536
# What one slow caller may keep in memory: about five thousand tokens.  Above
# it the engine is not read from, so that it notices and slows down.
MAX_WRITE_BUFFER_BYTES = 262_144
# A caller that takes nothing for so long has gone without a word, or holds
# a decode slot that others wait for.
CALLER_WRITE_TIMEOUT_MS = 20_000
# An engine's last chunk usually comes with its last event; the connection is
# not kept longer than this for it.
LAST_CHUNK_TIMEOUT_MS = 1_000
RECOVERY_THREADS = 16
# The loop is never busy for so long; a search must not wait for ever for one
# that was stopped.
SOURCE_CLOSE_TIMEOUT_S = 1.0
TOKEN_REPORT_INTERVAL_MS = 1_000

HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
READ = select.EPOLLIN
WRITE = select.EPOLLOUT

Stream = streams.Stream
RecoveryFunction = collections.abc.Callable[[Stream, errors.Fault], None]


class Relay:
    """Carries lent connections until their answers end.

    ``lend``, ``resume``, ``fail``, ``try_close_source``, ``keep_source`` and
    ``cut`` may be called on any thread; all else happens on the loop's.

    :param loop_: the event loop
    """

    def __init__(self, loop_: loop.EventLoop) -> None:
        self._loop = loop_
        self._streams: set[Stream] = set()
        self._farewells: dict[socket.socket, int] = {}
        self._told_ms = loop_.now_ms
        self._recoverers = concurrent.futures.ThreadPoolExecutor(
            RECOVERY_THREADS, "recover"
        )
        loop_.add_periodic(
            self._check_limits,
            lambda: bool(self._streams or self._farewells),
        )
        loop_.add_periodic(self._tell_tokens, lambda: bool(self._streams))

    @property
    def count(self) -> int:
        """How many streams are on their way."""
        return len(self._streams)

    def stop(self) -> None:
        """End the helper threads; the loop is its owner's to stop."""
        self._recoverers.shutdown(wait=False, cancel_futures=True)

    def lend(self, stream: Stream) -> None:
        """Carry a stream from now on.

        :param stream: the stream, with its caller's and engine's sockets
        """
        self._loop.post(lambda: self._begin(stream))

    def resume(self, stream: Stream, source: upstreams.TokenStream) -> None:
        """Go on with a stream from another engine.

        :param stream: the stream that ``recover`` was called for
        :param source: the new engine's stream
        """
        self._loop.post(lambda: self._resume(stream, source))

    def fail(self, stream: Stream, fault: errors.Fault) -> None:
        """Tell a caller that no engine can go on.

        :param stream: the stream
        :param fault: what to tell
        """
        self._loop.post(lambda: self._end_with(stream, fault))

    def try_close_source(self, stream: Stream, offset: int) -> bool:
        """Close a silent engine's connection unless it has gone on.

        Waits for the loop, so it is not for the loop's own thread.

        :param stream: the stream that ``replace`` was called for
        :param offset: how far the stream was when the search began
        :returns: whether the stream may begin elsewhere at this offset
        """
        left: concurrent.futures.Future[bool] = concurrent.futures.Future()
        self._loop.post(lambda: self._leave_source(stream, offset, left))
        try:
            return left.result(SOURCE_CLOSE_TIMEOUT_S)
        except concurrent.futures.TimeoutError:
            # If the loop has taken it up, its result is what counts.
            return not left.cancel() and left.result()

    def keep_source(self, stream: Stream, fault: errors.Fault) -> None:
        """Go on with a silent engine, because no other takes the stream.

        :param stream: the stream that ``replace`` was called for
        :param fault: what to tell the caller if the engine was left already
        """
        self._loop.post(lambda: self._stay(stream, fault))

    def cut(
        self,
        predicate: collections.abc.Callable[[Stream], bool],
        fault: errors.Fault,
    ) -> None:
        """End streams at once, visibly.

        :param predicate: tells which streams
        :param fault: what their callers are told
        """
        self._loop.post(lambda: self._cut(predicate, fault))

    def _begin(self, stream: Stream) -> None:
        self._streams.add(stream)
        stream.caller.setblocking(False)
        self._loop.register(
            stream.caller.fileno(),
            HANGUP_EVENTS,
            lambda events_: self._on_caller(stream, events_),
        )
        self._read_from(stream)

    def _read_from(self, stream: Stream) -> None:
        source = stream.source
        if source is None:
            return
        stream.token_deadline_ms = (
            self._loop.now_ms + stream.first_token_timeout_ms
        )
        source.connection.setblocking(False)
        self._loop.register(
            source.connection.fileno(),
            READ,
            lambda events_: self._on_source(stream),
        )
        if source.buffered:
            self._take(stream, source.buffered)

    def _on_source(self, stream: Stream) -> None:
        if stream.source is None or stream.is_closed:
            return
        try:
            data = stream.source.connection.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._lose_source(
                stream, f"the connection failed: {error}", has_died=True
            )
            return
        if data:
            self._take(stream, data)
        elif stream.may_end_on_close():
            self._end_source(stream, b"")
        else:
            self._lose_source(
                stream, "the engine ended in mid-answer", has_died=True
            )

    def _take(self, stream: Stream, data: bytes) -> None:
        before = stream.expected
        try:
            out = stream.take(data)
        except events.InvalidStream as error:
            self._lose_source(stream, str(error))
            return
        if stream.expected > before:
            stream.token_deadline_ms = (
                self._loop.now_ms + stream.token_timeout_ms
            )
            stream.record_progress(self._loop.now_ms)
            if not before:
                stream.owner.on_first_token()
        if stream.is_complete:
            self._end_source(stream, out)
        elif out:
            self._send(stream, out)

    def _end_source(self, stream: Stream, out: bytes) -> None:
        stream.is_complete = True
        stream.owner.on_source_end(stream.expected)
        self._part(stream)
        out += stream.writer.end()
        if out:
            self._send(stream, out)
        else:
            self._close(stream, None)

    def _send(self, stream: Stream, out: bytes) -> None:
        if stream.pending:
            stream.pending += out
        else:
            try:
                sent = stream.caller.send(out)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._lose_caller(stream)
                return
            if sent == len(out):
                if stream.is_complete:
                    self._close(stream, None)
                return
            stream.pending += out[sent:]
            stream.last_write_ms = self._loop.now_ms
            self._loop.modify(stream.caller.fileno(), HANGUP_EVENTS | WRITE)
        if len(stream.pending) > MAX_WRITE_BUFFER_BYTES:
            self._pause(stream)

    def _on_caller(self, stream: Stream, events_: int) -> None:
        if stream.is_closed:
            return
        if events_ & HANGUP_EVENTS:
            self._lose_caller(stream)
        elif stream.pending:
            self._flush(stream)

    def _flush(self, stream: Stream) -> None:
        try:
            sent = stream.caller.send(stream.pending)
        except BlockingIOError:
            return
        except OSError:
            self._lose_caller(stream)
            return
        del stream.pending[:sent]
        stream.last_write_ms = self._loop.now_ms
        if stream.pending:
            return
        if stream.is_complete:
            self._close(stream, None)
            return
        self._loop.modify(stream.caller.fileno(), HANGUP_EVENTS)
        if stream.is_paused:
            self._unpause(stream)

    def _pause(self, stream: Stream) -> None:
        if stream.source is not None and not stream.is_paused:
            stream.is_paused = True
            self._loop.modify(stream.source.connection.fileno(), 0)

    def _unpause(self, stream: Stream) -> None:
        stream.is_paused = False
        stream.token_deadline_ms = self._loop.now_ms + stream.token_timeout_ms
        if stream.source is not None:
            self._loop.modify(stream.source.connection.fileno(), READ)

    def _check_limits(self) -> None:
        now_ms = self._loop.now_ms
        stall_ms = now_ms - CALLER_WRITE_TIMEOUT_MS
        for stream in [
            stream
            for stream in self._streams
            if stream.token_deadline_ms <= now_ms
            or stream.pending
            or 0 < stream.deadline_ms <= now_ms
        ]:
            if 0 < stream.deadline_ms <= now_ms:
                self._end_with(stream, _make_late())
            elif stream.pending and stream.last_write_ms <= stall_ms:
                self._lose_caller(stream)
            elif (
                stream.token_deadline_ms <= now_ms
                and stream.source is not None
                and not stream.is_paused
                and not stream.is_replacing_source
            ):
                self._note_silence(stream)
        for connection in [
            connection
            for connection, at_ms in self._farewells.items()
            if at_ms <= now_ms
        ]:
            self._end_farewell(connection)

    def _note_silence(self, stream: Stream) -> None:
        if not stream.owner.may_replace_source():
            stream.token_deadline_ms = (
                self._loop.now_ms + stream.token_timeout_ms
            )
            return
        # The connection is open and silent: new ones may work, so this is the
        # engine's failure and not the caller's.
        fault = _make_lost("no token in time", errors.Code.UPSTREAM_TIMEOUT)
        stream.is_replacing_source = True
        self._submit(stream.owner.replace, stream, fault)

    def _leave_source(
        self,
        stream: Stream,
        offset: int,
        left: concurrent.futures.Future[bool],
    ) -> None:
        if not left.set_running_or_notify_cancel():
            return
        may_leave = not (
            stream.is_closed or stream.is_complete or stream.expected != offset
        )
        if may_leave:
            stream.is_replacing_source = False
            stream.is_paused = False
            stream.broken = None
            self._close_source(stream)
        left.set_result(may_leave)

    def _stay(self, stream: Stream, fault: errors.Fault) -> None:
        if stream.is_closed:
            return
        broken, stream.broken = stream.broken, None
        stream.is_replacing_source = False
        if stream.source is not None:
            stream.token_deadline_ms = (
                self._loop.now_ms + stream.token_timeout_ms
            )
        elif broken is not None:
            self._submit(stream.owner.recover, stream, broken)
        else:
            self._end_with(stream, fault)

    def _tell_tokens(self) -> None:
        if self._loop.now_ms - self._told_ms < TOKEN_REPORT_INTERVAL_MS:
            return
        self._told_ms = self._loop.now_ms
        for stream in self._streams:
            if stream.source is not None and stream.expected:
                stream.owner.on_tokens(stream.expected)

    def _lose_source(
        self, stream: Stream, message: str, has_died: bool = False
    ) -> None:
        self._close_source(stream)
        stream.is_paused = False
        fault = _make_lost(message, has_died=has_died)
        if stream.is_replacing_source:
            # The search for another engine is under way.
            stream.broken = fault
        else:
            self._submit(stream.owner.recover, stream, fault)

    def _submit(
        self, seek: RecoveryFunction, stream: Stream, fault: errors.Fault
    ) -> None:
        try:
            self._recoverers.submit(self._seek, seek, stream, fault)
        except RuntimeError:
            self._stay(stream, fault)

    def _seek(
        self, seek: RecoveryFunction, stream: Stream, fault: errors.Fault
    ) -> None:
        """Seek another engine; a failure of the search must show.

        An exception would be kept by the pool of threads and seen by nobody,
        while the caller waits on an open connection for ever.
        """
        try:
            seek(stream, fault)
        except Exception:
            LOG.exception("no other engine could be sought")
            self.keep_source(stream, fault)

    def _resume(self, stream: Stream, source: upstreams.TokenStream) -> None:
        if stream.is_closed:
            # The caller went while another engine was sought.
            source.connection.close()
            stream.owner.cancel_source()
            return
        stream.set_source(source)
        self._read_from(stream)

    def _lose_caller(self, stream: Stream) -> None:
        self._close(
            stream,
            errors.Fault(
                errors.Code.CANCELLED,
                errors.Step.CALLER,
                run=errors.ExecutionStatus.MAY_HAVE_RUN,
                message="the caller has gone",
            ),
        )

    def _cut(
        self,
        chooses: collections.abc.Callable[[Stream], bool],
        fault: errors.Fault,
    ) -> None:
        for stream in [s for s in self._streams if chooses(s)]:
            self._end_with(stream, fault)

    def _end_with(self, stream: Stream, fault: errors.Fault) -> None:
        """Tell the caller, as far as its connection takes it, and close."""
        if stream.is_closed or stream.is_complete:
            return
        has_begun = stream.writer.is_head_written
        out = stream.writer.fail(fault)
        try:
            if stream.pending:
                stream.pending += out
                stream.caller.send(stream.pending)
            else:
                stream.caller.send(out)
        except OSError:
            has_begun = True
        if has_begun:
            stream.writer.head.keep = False
        self._close(stream, fault)

    def _close(self, stream: Stream, fault: errors.Fault | None) -> None:
        if stream.is_closed:
            return
        stream.is_closed = True
        self._streams.discard(stream)
        self._loop.unregister(stream.caller.fileno())
        self._close_source(stream)
        if fault is not None:
            stream.owner.cancel_source()
        is_lost = fault is not None and fault.step is errors.Step.CALLER
        stream.release(stream.writer.head.keep and not is_lost)
        stream.owner.on_longest_gap(stream.longest_gap_ms)
        stream.owner.close(stream.expected, fault)

    def _close_source(self, stream: Stream) -> None:
        if stream.source is not None:
            self._loop.unregister(stream.source.connection.fileno())
            stream.source.connection.close()
            stream.source = None

    def _part(self, stream: Stream) -> None:
        """Let an engine write its last chunk, so that it sees no reset."""
        source = stream.source
        if source is None or not source.chunked or stream.decoder.ended:
            self._close_source(stream)
            return
        stream.source = None
        connection = source.connection
        self._loop.unregister(connection.fileno())
        self._farewells[connection] = self._loop.now_ms + LAST_CHUNK_TIMEOUT_MS
        self._loop.register(
            connection.fileno(),
            READ,
            lambda events_: self._end_farewell(connection),
        )

    def _end_farewell(self, connection: socket.socket) -> None:
        if self._farewells.pop(connection, None) is not None:
            self._loop.unregister(connection.fileno())
            connection.close()


def _make_lost(
    message: str,
    code: errors.Code = errors.Code.UPSTREAM_FAILED,
    has_died: bool = False,
) -> errors.Fault:
    return errors.Fault(
        code,
        errors.Step.DECODE,
        run=errors.ExecutionStatus.MAY_HAVE_RUN,
        message=message,
        has_died=has_died,
    )


def _make_late() -> errors.Fault:
    return errors.Fault(
        errors.Code.DEADLINE_EXCEEDED,
        errors.Step.DECODE,
        run=errors.ExecutionStatus.MAY_HAVE_RUN,
        message="the answer took longer than its route allows",
    )

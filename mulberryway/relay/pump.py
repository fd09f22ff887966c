"""Forwards tokens from engines to callers, all streams on one event loop."""

import collections.abc
import concurrent.futures
import logging
import select
import socket
import typing

from mulberryway import errors
from mulberryway.relay import events
from mulberryway.relay import linger
from mulberryway.relay import loop
from mulberryway.relay import memory
from mulberryway.relay import stream as streams
from mulberryway.relay import unsent
from mulberryway.upstreams import base as upstreams

__all__ = ["Relay"]

LOG = logging.getLogger(__name__)

RECEIVE_BYTES = 65_536
MIN_RECEIVE_BYTES = 4_096
# A caller that accepts no bytes for this long counts as disconnected: it has
# vanished without closing, or blocks a decode slot that other requests need.
CALLER_WRITE_TIMEOUT_MS = 20_000
# An engine's last chunk usually arrives with its last event.  This limits how
# long the connection is kept open to wait for it.
LAST_CHUNK_TIMEOUT_MS = 1_000
RECOVERY_THREADS = 16
# The loop responds much sooner.  The timeout keeps a recovery thread from
# waiting forever for a loop that was stopped.
LOOP_TIMEOUT_S = 1.0
TOKEN_REPORT_INTERVAL_MS = 1_000
CLOSED_MESSAGE = "engine closed an incomplete response"

HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
READ = select.EPOLLIN
WRITE = select.EPOLLOUT

Stream = streams.Stream
RecoveryFunction = collections.abc.Callable[[Stream, errors.Fault], None]


class Relay:
    """Forwards the streams handed over to it until they end.

    ``add_stream``, ``resume``, ``fail``, ``try_hold_source``,
    ``release_source``, ``try_close_source``, ``keep_source`` and ``cut`` may
    be called on any thread; everything else runs on the loop's thread.

    :param loop_: the event loop
    :param guard: bounds the memory of callers; by default each stream alone
        is bounded
    """

    def __init__(
        self, loop_: loop.EventLoop, guard: memory.MemoryGuard | None = None
    ) -> None:
        self.guard = guard or memory.MemoryGuard(loop_)
        self.replies = unsent.ReplySender(loop_, self.guard)
        self._loop = loop_
        self._streams: set[Stream] = set()
        self._draining: dict[socket.socket, int] = {}
        self._last_report_ms = loop_.now_ms
        self._recovery_pool = concurrent.futures.ThreadPoolExecutor(
            RECOVERY_THREADS, "recover"
        )
        loop_.add_periodic(
            self._check_timeouts,
            lambda: bool(self._streams or self._draining),
        )
        loop_.add_periodic(self._report_tokens, lambda: bool(self._streams))

    @property
    def count(self) -> int:
        """The number of streams in progress."""
        return len(self._streams)

    def stop(self) -> None:
        """Stop the recovery threads; the loop must be stopped separately."""
        self._recovery_pool.shutdown(wait=False, cancel_futures=True)

    def add_stream(self, stream: Stream) -> None:
        """Start to forward a stream.

        :param stream: the stream, with its caller's and engine's sockets
        """
        self._loop.post(lambda: self._run(stream, self._start_stream))

    def resume(self, stream: Stream, source: upstreams.TokenStream) -> None:
        """Resume a stream from another engine.

        :param stream: the stream that ``recover`` was called for
        :param source: the new engine's stream
        """
        self._loop.post(lambda: self._run(stream, self._resume, source))

    def fail(self, stream: Stream, fault: errors.Fault) -> None:
        """Abort a stream that no engine can resume.

        :param stream: the stream
        :param fault: the fault that is reported to the caller
        """
        self._loop.post(lambda: self._run(stream, self._abort, fault))

    def try_hold_source(self, stream: Stream, offset: int) -> bool:
        """Stop reading a stalled engine unless the stream progressed.

        Waits for the loop, so it must not be called on the loop's thread.

        :param stream: the stream that ``replace_source`` was called for
        :param offset: the stream's offset when the search began, in tokens
        :returns: whether another engine may be asked to resume the stream
        """
        return self._ask_loop(lambda: self._try_hold_source(stream, offset))

    def release_source(self, stream: Stream) -> None:
        """Read a stalled engine again after another one has not started.

        :param stream: the stream
        """
        self._loop.post(lambda: self._release_source(stream))

    def try_close_source(self, stream: Stream, offset: int) -> bool:
        """Close a stalled engine's connection unless the stream progressed.

        Waits for the loop, so it must not be called on the loop's thread.

        :param stream: the stream that ``replace_source`` was called for
        :param offset: the stream's offset when the search began, in tokens
        :returns: whether another engine may resume at this offset; then the
            stream's ``source_fault`` tells whether the stalled engine had
            closed the connection
        """
        return self._ask_loop(lambda: self._try_close_source(stream, offset))

    def _ask_loop(self, question: collections.abc.Callable[[], bool]) -> bool:
        """Return the loop's answer; false if it takes too long."""
        answer: concurrent.futures.Future[bool] = concurrent.futures.Future()

        def run() -> None:
            if not answer.set_running_or_notify_cancel():
                return
            try:
                answer.set_result(question())
            except Exception as failure:
                # Raised again on the thread that waits for the answer.
                answer.set_exception(failure)

        self._loop.post(run)
        try:
            return answer.result(LOOP_TIMEOUT_S)
        except concurrent.futures.TimeoutError:
            # If the callback has started already, wait for its result.
            return not answer.cancel() and answer.result()

    def keep_source(self, stream: Stream, fault: errors.Fault) -> None:
        """Continue with a stalled engine if no other accepts the stream.

        :param stream: the stream that ``replace`` was called for
        :param fault: the fault that is reported to the caller if the engine's
            connection was closed already
        """
        self._loop.post(lambda: self._run(stream, self._keep_source, fault))

    def cut(
        self,
        predicate: collections.abc.Callable[[Stream], bool],
        fault: errors.Fault,
    ) -> None:
        """Abort the selected streams at once.

        :param predicate: returns whether a stream is to be aborted
        :param fault: the fault that is reported to their callers
        """
        self._loop.post(lambda: self._abort_matching(predicate, fault))

    def _run(
        self,
        stream: Stream,
        callback: collections.abc.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        """Run a callback of a stream; end the stream if it fails.

        Nothing else would end it, and it holds a decode slot.
        """
        try:
            callback(stream, *arguments)
        except Exception:
            LOG.exception("a callback of a stream failed")
            self._end_failed(stream)

    def _end_failed(self, stream: Stream) -> None:
        """End a stream whose state may be inconsistent.

        Nothing is sent once there is a head, which may not have been sent
        itself.
        """
        fault = errors.Fault(
            errors.Code.INTERNAL,
            errors.Step.DECODE,
            run=errors.ExecutionStatus.MAY_HAVE_RUN,
        )
        try:
            if not stream.writer.is_head_written:
                self._abort(stream, fault)
        finally:
            if not stream.is_closed:
                linger.reset_on_close(stream.caller)
                stream.writer.head.keep = False
                self._close(stream, fault)

    def _start_stream(self, stream: Stream) -> None:
        self._streams.add(stream)
        stream.caller.setblocking(False)
        if not stream.writer.head.is_http_11:
            # Only the end of the connection will end the answer.
            linger.reset_on_close(stream.caller)
        self._loop.register(
            stream.caller.fileno(),
            HANGUP_EVENTS,
            lambda events_: self._run(stream, self._on_caller, events_),
        )
        self._read_source(stream)

    def _read_source(self, stream: Stream) -> None:
        source = stream.source
        if source is None:
            return
        timeout_ms = (
            stream.token_timeout_ms
            if stream.expected
            else stream.first_token_timeout_ms
        )
        stream.token_deadline_ms = self._loop.now_ms + timeout_ms
        source.connection.setblocking(False)
        self._watch_source(stream, source)
        if source.buffered:
            self._on_data(stream, source.buffered)

    def _watch_source(
        self, stream: Stream, source: upstreams.TokenStream
    ) -> None:
        self._loop.register(
            source.connection.fileno(),
            0 if stream.is_paused else READ,
            lambda events_: self._run(stream, self._on_source),
        )

    def _on_source(self, stream: Stream) -> None:
        if stream.source is None or stream.is_closed:
            return
        try:
            data = stream.source.connection.recv(
                self._compute_receive_bytes(stream)
            )
        except BlockingIOError:
            return
        except OSError as error:
            if stream.may_be_cut_off(self._loop.now_ms):
                self._give_up(stream)
                return
            self._on_source_failure(
                stream, f"engine connection failed: {error}", has_died=True
            )
            return
        if data:
            self._on_data(stream, data)
        elif stream.may_be_cut_off(self._loop.now_ms):
            self._give_up(stream)
        elif not stream.may_end_on_close():
            self._on_source_failure(stream, CLOSED_MESSAGE, has_died=True)
        else:
            self._confirm_end(stream)

    def _confirm_end(self, stream: Stream) -> None:
        """Find out whether an engine has ended its response or has crashed.

        Until then no other engine takes over, as the stream may be complete.
        """
        self._close_source(stream)
        fault = _make_source_fault(CLOSED_MESSAGE, has_died=True)
        self._submit(self._check_source, stream, fault)
        stream.is_end_unconfirmed = True

    def _check_source(self, stream: Stream, fault: errors.Fault) -> None:
        """Ask for an engine on a recovery thread."""
        try:
            is_alive = stream.owner.is_source_alive()
        except Exception:
            LOG.exception("an engine could not be asked for")
            is_alive = False
        self._loop.post(
            lambda: self._run(stream, self._on_end_checked, is_alive, fault)
        )

    def _on_end_checked(
        self, stream: Stream, is_alive: bool, fault: errors.Fault
    ) -> None:
        if stream.is_closed:
            return
        stream.is_end_unconfirmed = False
        if is_alive:
            self._finish_source(stream, b"")
        else:
            self._handle_failure(stream, fault)

    def _compute_receive_bytes(self, stream: Stream) -> int:
        """Return how much to read, so that a reader's limit is kept."""
        left = self.guard.limit_bytes - len(stream.write_buffer)
        return min(max(left, MIN_RECEIVE_BYTES), RECEIVE_BYTES)

    def _on_data(self, stream: Stream, data: bytes) -> None:
        offset = stream.expected
        try:
            out = stream.take(data)
        except events.InvalidStream as error:
            self._on_source_failure(stream, str(error), is_answer_fault=True)
            return
        if stream.expected > offset:
            stream.token_deadline_ms = (
                self._loop.now_ms + stream.token_timeout_ms
            )
            stream.record_progress(self._loop.now_ms)
            if not stream.has_source_begun:
                stream.has_source_begun = True
                stream.owner.on_source_begin()
            if not offset:
                stream.owner.on_first_token()
        if stream.is_complete:
            self._finish_source(stream, out)
        elif out:
            self._send(stream, out)

    def _finish_source(self, stream: Stream, out: bytes) -> None:
        stream.is_complete = True
        stream.owner.on_source_end(stream.expected)
        self._drain_last_chunk(stream)
        out += stream.writer.end()
        if out:
            self._send(stream, out)
        else:
            self._close(stream, None)

    def _send(self, stream: Stream, out: bytes) -> None:
        if stream.write_buffer:
            stream.write_buffer += out
        else:
            try:
                sent = stream.caller.send(out)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._on_disconnect(stream)
                return
            if sent == len(out):
                if stream.is_complete:
                    self._close(stream, None)
                return
            stream.write_buffer += out[sent:]
            stream.last_write_ms = self._loop.now_ms
            self._loop.modify(stream.caller.fileno(), HANGUP_EVENTS | WRITE)
        if len(stream.write_buffer) > self.guard.limit_bytes:
            self._pause_source(stream)
        self._count(stream)

    def _count(self, stream: Stream) -> None:
        """Report what the caller has not read."""
        self.guard.update(
            stream,
            len(stream.write_buffer),
            stream.is_paused and stream.source is not None,
            lambda: self._give_up(stream),
        )

    def _on_caller(self, stream: Stream, events_: int) -> None:
        if stream.is_closed:
            return
        if events_ & HANGUP_EVENTS:
            self._on_disconnect(stream)
        elif stream.write_buffer:
            self._flush(stream)

    def _flush(self, stream: Stream) -> None:
        try:
            sent = stream.caller.send(stream.write_buffer)
        except BlockingIOError:
            return
        except OSError:
            self._on_disconnect(stream)
            return
        del stream.write_buffer[:sent]
        stream.last_write_ms = self._loop.now_ms
        if not stream.write_buffer:
            if stream.is_complete:
                self._close(stream, None)
                return
            self._loop.modify(stream.caller.fileno(), HANGUP_EVENTS)
        # A large buffer need not be half empty: a steady reader of a long
        # answer would pause the engine for too long.
        limit = self.guard.limit_bytes
        if stream.is_paused and len(stream.write_buffer) <= max(
            limit // 2, limit - RECEIVE_BYTES
        ):
            self._resume_source(stream)
        self._count(stream)

    def _pause_source(self, stream: Stream) -> None:
        if stream.source is not None and not stream.is_paused:
            stream.pause(self._loop.now_ms)
            if stream.is_held:
                return
            self._loop.modify(stream.source.connection.fileno(), 0)

    def _resume_source(self, stream: Stream) -> None:
        stream.resume(self._loop.now_ms)
        stream.token_deadline_ms = self._loop.now_ms + stream.token_timeout_ms
        if stream.source is not None and not stream.is_held:
            self._loop.modify(stream.source.connection.fileno(), READ)

    def _check_timeouts(self) -> None:
        now_ms = self._loop.now_ms
        min_last_write_ms = now_ms - CALLER_WRITE_TIMEOUT_MS
        for stream in [
            stream
            for stream in self._streams
            if stream.token_deadline_ms <= now_ms
            or stream.write_buffer
            or 0 < stream.deadline_ms <= now_ms
        ]:
            self._run(stream, self._check_stream, min_last_write_ms)
        for connection in [
            connection
            for connection, deadline_ms in self._draining.items()
            if deadline_ms <= now_ms
        ]:
            self._close_drained(connection)

    def _check_stream(self, stream: Stream, min_last_write_ms: int) -> None:
        now_ms = self._loop.now_ms
        if 0 < stream.deadline_ms <= now_ms:
            self._abort(stream, _make_deadline_fault())
        elif stream.write_buffer and stream.last_write_ms <= min_last_write_ms:
            self._on_disconnect(stream)
        elif (
            stream.token_deadline_ms <= now_ms
            and stream.source is not None
            and not stream.is_paused
            and not stream.is_replacing_source
        ):
            self._on_stalled_source(stream)

    def _on_stalled_source(self, stream: Stream) -> None:
        if not stream.owner.may_replace_source():
            stream.token_deadline_ms = (
                self._loop.now_ms + stream.token_timeout_ms
            )
            return
        # The connection is open but no data arrives.  A new connection may
        # work, so the fault is the engine's and not the caller's.
        fault = _make_source_fault(
            "token timeout", errors.Code.UPSTREAM_TIMEOUT
        )
        stream.is_replacing_source = True
        self._submit(stream.owner.replace_source, stream, fault)

    def _may_replace(self, stream: Stream, offset: int) -> bool:
        return not (
            stream.is_closed
            or stream.is_complete
            or stream.is_end_unconfirmed
            or stream.expected != offset
        )

    def _try_hold_source(self, stream: Stream, offset: int) -> bool:
        if not (stream.is_held or stream.is_paused):
            # What has arrived already counts as progress.
            self._on_source(stream)
        if not self._may_replace(stream, offset):
            return False
        if stream.source is not None and not stream.is_held:
            stream.is_held = True
            self._loop.unregister(stream.source.connection.fileno())
        return True

    def _release_source(self, stream: Stream) -> None:
        if not stream.is_held:
            return
        stream.is_held = False
        if stream.source is not None:
            self._watch_source(stream, stream.source)

    def _try_close_source(self, stream: Stream, offset: int) -> bool:
        if not self._may_replace(stream, offset):
            return False
        stream.is_replacing_source = False
        stream.is_paused = False
        if stream.is_held and _has_ended(stream.source):
            stream.source_fault = _make_source_fault(
                CLOSED_MESSAGE, has_died=True
            )
        self._close_source(stream)
        return True

    def _keep_source(self, stream: Stream, fault: errors.Fault) -> None:
        if stream.is_closed:
            return
        self._release_source(stream)
        source_fault, stream.source_fault = stream.source_fault, None
        stream.is_replacing_source = False
        if stream.is_end_unconfirmed:
            return
        if stream.source is not None:
            stream.token_deadline_ms = (
                self._loop.now_ms + stream.token_timeout_ms
            )
        elif source_fault is not None:
            self._submit(stream.owner.recover, stream, source_fault)
        else:
            self._abort(stream, fault)

    def _report_tokens(self) -> None:
        if self._loop.now_ms - self._last_report_ms < TOKEN_REPORT_INTERVAL_MS:
            return
        self._last_report_ms = self._loop.now_ms
        for stream in self._streams:
            if stream.source is not None and stream.expected:
                stream.owner.on_tokens(stream.expected)

    def _on_source_failure(
        self,
        stream: Stream,
        message: str,
        has_died: bool = False,
        is_answer_fault: bool = False,
    ) -> None:
        self._close_source(stream)
        stream.is_paused = False
        fault = _make_source_fault(message, has_died=has_died)
        fault.is_answer_fault = is_answer_fault
        self._handle_failure(stream, fault)

    def _handle_failure(self, stream: Stream, fault: errors.Fault) -> None:
        if stream.is_replacing_source:
            # A search for another engine is already in progress.
            stream.source_fault = fault
        else:
            self._submit(stream.owner.recover, stream, fault)

    def _submit(
        self, recover: RecoveryFunction, stream: Stream, fault: errors.Fault
    ) -> None:
        try:
            self._recovery_pool.submit(
                self._run_recovery, recover, stream, fault
            )
        except RuntimeError:
            self._keep_source(stream, fault)

    def _run_recovery(
        self, recover: RecoveryFunction, stream: Stream, fault: errors.Fault
    ) -> None:
        """Find another engine, and handle an exception of the search.

        The thread pool would store the exception in a future whose result
        is never read, and the caller would wait forever on an open
        connection.
        """
        try:
            recover(stream, fault)
        except Exception:
            LOG.exception("search for a replacement engine failed")
            self.keep_source(stream, fault)

    def _resume(self, stream: Stream, source: upstreams.TokenStream) -> None:
        if stream.is_closed:
            # The caller disconnected during the search.
            source.connection.close()
            stream.owner.cancel_source()
            return
        stream.source_fault = None
        stream.set_source(source)
        self._read_source(stream)

    def _on_disconnect(self, stream: Stream) -> None:
        self._close(
            stream,
            errors.Fault(
                errors.Code.CANCELLED,
                errors.Step.CALLER,
                run=errors.ExecutionStatus.MAY_HAVE_RUN,
                message="the caller disconnected",
            ),
        )

    def _give_up(self, stream: Stream) -> None:
        """Cut off a stream because its caller reads too slowly.

        A reset shows also a caller of an answer without framing that it is
        incomplete.
        """
        if stream.is_closed:
            return
        linger.reset_on_close(stream.caller)
        self._close(
            stream,
            errors.Fault(
                errors.Code.CANCELLED,
                errors.Step.CALLER,
                run=errors.ExecutionStatus.MAY_HAVE_RUN,
                message="the caller reads too slowly",
            ),
        )

    def _abort_matching(
        self,
        predicate: collections.abc.Callable[[Stream], bool],
        fault: errors.Fault,
    ) -> None:
        for stream in [s for s in self._streams if predicate(s)]:
            self._abort(stream, fault)

    def _abort(self, stream: Stream, fault: errors.Fault) -> None:
        """Report a fault to the caller without blocking, and close."""
        if stream.is_closed or stream.is_complete:
            return
        is_whole = not stream.writer.is_head_written
        out = bytes(stream.write_buffer) + stream.writer.fail(fault)
        try:
            is_whole = stream.caller.send(out) == len(out) and is_whole
        except OSError as failure:
            LOG.debug("a caller was not told of a fault: %r", failure)
            is_whole = False
        if is_whole:
            _end_on_close(stream)
        else:
            stream.writer.head.keep = False
        self._close(stream, fault)

    def _close(self, stream: Stream, fault: errors.Fault | None) -> None:
        if stream.is_closed:
            return
        stream.is_closed = True
        self._streams.discard(stream)
        stream.write_buffer.clear()
        self._count(stream)
        self._loop.unregister(stream.caller.fileno())
        is_disconnected = (
            fault is not None and fault.step is errors.Step.CALLER
        )
        try:
            self._close_source(stream)
            if fault is None:
                _end_on_close(stream)
            else:
                stream.owner.cancel_source()
            stream.release(stream.writer.head.keep and not is_disconnected)
            stream.owner.on_longest_gap(stream.longest_gap_ms)
        finally:
            stream.owner.close(stream.expected, fault)

    def _close_source(self, stream: Stream) -> None:
        if stream.source is not None:
            self._loop.unregister(stream.source.connection.fileno())
            stream.source.connection.close()
            stream.source = None
            stream.is_held = False

    def _drain_last_chunk(self, stream: Stream) -> None:
        """Wait for an engine's last chunk so that its write is not reset."""
        source = stream.source
        if source is None or not source.is_chunked or stream.decoder.ended:
            self._close_source(stream)
            return
        stream.source = None
        connection = source.connection
        self._loop.unregister(connection.fileno())
        self._draining[connection] = self._loop.now_ms + LAST_CHUNK_TIMEOUT_MS
        self._loop.register(
            connection.fileno(),
            READ,
            lambda events_: self._close_drained(connection),
        )

    def _close_drained(self, connection: socket.socket) -> None:
        if self._draining.pop(connection, None) is not None:
            self._loop.unregister(connection.fileno())
            connection.close()


def _end_on_close(stream: Stream) -> None:
    """Let the close of a caller's connection end a whole answer."""
    if not stream.writer.head.is_http_11:
        linger.end_on_close(stream.caller)


def _has_ended(source: upstreams.TokenStream | None) -> bool:
    """Return whether an engine has closed its connection."""
    if source is None:
        return False
    try:
        return not source.connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError as failure:
        LOG.debug("a stalled engine's connection failed: %r", failure)
        return True


def _make_source_fault(
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


def _make_deadline_fault() -> errors.Fault:
    return errors.Fault(
        errors.Code.DEADLINE_EXCEEDED,
        errors.Step.DECODE,
        run=errors.ExecutionStatus.MAY_HAVE_RUN,
        message="the answer exceeded the deadline of its route",
    )

"""Sends the rest of replies whose callers read slowly."""

import collections.abc
import select
import socket

from mulberryway.relay import loop
from mulberryway.relay import memory

__all__ = ["ReplySender", "UnsentReply"]

# A caller that has only ended its requests still reads.
HANGUP_EVENTS = select.EPOLLHUP | select.EPOLLERR
# A caller that accepts nothing for this long counts as disconnected.
WRITE_TIMEOUT_MS = 20_000


class UnsentReply:
    """A reply of which a caller's socket has accepted a part.

    :param caller: the caller's socket
    :param parts: the whole reply, which is held until the end
    :param sent: the number of bytes that the socket has accepted
    :param on_end: called once, with whether all bytes were sent
    :param on_start: called once, when the reply is counted as unread
    """

    __slots__ = (
        "caller",
        "size",
        "rest",
        "on_end",
        "on_start",
        "last_write_ms",
        "is_closed",
    )

    def __init__(
        self,
        caller: socket.socket,
        parts: list[bytes],
        sent: int,
        on_end: collections.abc.Callable[[bool], None],
        on_start: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.caller = caller
        self.size = sum(map(len, parts))
        self.rest = [memoryview(part) for part in parts]
        self.on_end = on_end
        self.on_start = on_start
        self.last_write_ms = 0
        self.is_closed = False
        self.skip(sent)

    def skip(self, sent: int) -> None:
        """Drop bytes that the socket has accepted.

        :param sent: their number
        """
        while self.rest and sent >= len(self.rest[0]):
            sent -= len(self.rest.pop(0))
        if sent:
            self.rest[0] = self.rest[0][sent:]


class ReplySender:
    """Sends unsent replies on the event loop, so that no worker waits.

    ``add`` may be called on any thread; everything else runs on the loop's
    thread.

    :param loop_: the event loop
    :param guard: bounds the memory of callers
    """

    def __init__(
        self, loop_: loop.EventLoop, guard: memory.MemoryGuard
    ) -> None:
        self._loop = loop_
        self._guard = guard
        self._replies: set[UnsentReply] = set()
        loop_.add_periodic(self._check_timeouts, lambda: bool(self._replies))

    def add(self, reply: UnsentReply) -> None:
        """Start to send the rest of a reply.

        :param reply: the rest, with the caller's socket
        """
        self._loop.post(lambda: self._start(reply))

    def _start(self, reply: UnsentReply) -> None:
        self._replies.add(reply)
        reply.last_write_ms = self._loop.now_ms
        reply.caller.setblocking(False)
        self._loop.register(
            reply.caller.fileno(),
            HANGUP_EVENTS | select.EPOLLOUT,
            lambda events: self._on_caller(reply, events),
        )
        self._count(reply)
        reply.on_start()

    def _on_caller(self, reply: UnsentReply, events: int) -> None:
        if reply.is_closed:
            return
        if events & HANGUP_EVENTS:
            self._end(reply, False)
            return
        try:
            sent = reply.caller.sendmsg(reply.rest)
        except BlockingIOError:
            return
        except OSError:
            self._end(reply, False)
            return
        reply.skip(sent)
        reply.last_write_ms = self._loop.now_ms
        if not reply.rest:
            self._end(reply, True)

    def _count(self, reply: UnsentReply) -> None:
        self._guard.update(
            reply,
            0 if reply.is_closed else reply.size,
            False,
            lambda: self._end(reply, False),
        )

    def _check_timeouts(self) -> None:
        min_write_ms = self._loop.now_ms - WRITE_TIMEOUT_MS
        for reply in [
            reply
            for reply in self._replies
            if reply.last_write_ms <= min_write_ms
        ]:
            self._end(reply, False)

    def _end(self, reply: UnsentReply, is_complete: bool) -> None:
        if reply.is_closed:
            return
        reply.is_closed = True
        self._replies.discard(reply)
        self._loop.unregister(reply.caller.fileno())
        reply.rest.clear()
        self._count(reply)
        reply.on_end(is_complete)

"""Detects callers that disconnect while their request waits."""

import collections.abc
import select
import socket

from mulberryway.relay import loop

__all__ = ["DisconnectMonitor", "DisconnectWatch"]

HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
# Errors are always reported.
POLL_EVENTS = select.POLLRDHUP


class DisconnectWatch:
    """Registration of one caller's socket with the monitor.

    :param connection: the socket
    :param on_disconnect: called at most once
    """

    __slots__ = ("connection", "on_disconnect", "fd", "is_cancelled")

    def __init__(
        self,
        connection: socket.socket,
        on_disconnect: collections.abc.Callable[[], None],
    ) -> None:
        self.connection = connection
        self.on_disconnect = on_disconnect
        self.fd = connection.fileno()
        self.is_cancelled = False


class DisconnectMonitor:
    """Watches callers' sockets on behalf of the worker threads.

    A worker that waits for a queue or an engine reads nothing from its
    caller's socket.  It would detect a disconnect only when it writes the
    answer, after an engine has computed it to no purpose.  A caller that
    shuts down only its sending side also counts as disconnected; callers of
    this interface do not do that.

    :param loop_: the event loop that watches the sockets
    """

    def __init__(self, loop_: loop.EventLoop) -> None:
        self._loop = loop_

    def add(
        self,
        connection: socket.socket,
        on_disconnect: collections.abc.Callable[[], None],
    ) -> DisconnectWatch:
        """Start to watch a socket.

        :param connection: the caller's socket
        :param on_disconnect: called at most once, if the caller disconnects;
            on this thread if it has done so already, else on the loop's
            thread, where it must not block
        :returns: the watch, to be passed to ``remove``
        """
        watch = DisconnectWatch(connection, on_disconnect)
        if _is_disconnected(connection):
            watch.is_cancelled = True
            on_disconnect()
        else:
            self._loop.post(lambda: self._register(watch))
        return watch

    def remove(self, watch: DisconnectWatch) -> None:
        """Stop watching; the socket may then be closed or handed over.

        :param watch: the watch that ``add`` returned
        """
        watch.is_cancelled = True
        self._loop.post(lambda: self._unregister(watch))

    def _register(self, watch: DisconnectWatch) -> None:
        if watch.is_cancelled or watch.connection.fileno() != watch.fd:
            return
        self._loop.register(
            watch.fd, HANGUP_EVENTS, lambda events: self._on_event(watch)
        )

    def _unregister(self, watch: DisconnectWatch) -> None:
        # epoll drops a closed descriptor, whose number may be in use again.
        # Posted callbacks run in order, so the handler registered under this
        # number is still this watch's, or there is none.
        self._loop.unregister(watch.fd)

    def _on_event(self, watch: DisconnectWatch) -> None:
        self._loop.unregister(watch.fd)
        if not watch.is_cancelled:
            watch.is_cancelled = True
            watch.on_disconnect()


def _is_disconnected(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, POLL_EVENTS)
    return bool(poll.poll(0))

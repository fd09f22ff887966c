"""Notices at once when a caller goes while its request waits."""

import collections.abc
import select
import socket

from mulberryway.relay import loop

__all__ = ["DisconnectMonitor", "DisconnectWatch"]

HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class DisconnectWatch:
    """One caller's socket under watch.

    :param connection: the socket
    :param on_disconnect: called once, on the loop's thread
    """

    __slots__ = ("connection", "on_disconnect", "fd", "is_over")

    def __init__(
        self,
        connection: socket.socket,
        on_disconnect: collections.abc.Callable[[], None],
    ) -> None:
        self.connection = connection
        self.on_disconnect = on_disconnect
        self.fd = connection.fileno()
        self.is_over = False


class DisconnectMonitor:
    """Watches callers' sockets for the worker threads.

    A worker that waits for a queue or an engine reads nothing from its
    caller, so a caller's going would show only when the answer is written;
    meanwhile an engine would compute for nobody.  A caller that only ends
    its sending side counts as gone: callers of this interface do not.

    :param loop_: the event loop that does the watching
    """

    def __init__(self, loop_: loop.EventLoop) -> None:
        self._loop = loop_

    def begin(
        self,
        connection: socket.socket,
        on_gone: collections.abc.Callable[[], None],
    ) -> DisconnectWatch:
        """Begin to watch a socket.

        :param connection: the caller's socket
        :param on_gone: called once when it goes; must not block
        :returns: the watch, for ``end``
        """
        watch = DisconnectWatch(connection, on_gone)
        self._loop.post(lambda: self._register(watch))
        return watch

    def end(self, watch: DisconnectWatch) -> None:
        """Stop to watch; the socket may be closed or lent afterwards.

        :param watch: what ``begin`` returned
        """
        watch.is_over = True
        self._loop.post(lambda: self._unregister(watch))

    def _register(self, watch: DisconnectWatch) -> None:
        if watch.is_over or watch.connection.fileno() != watch.fd:
            return
        self._loop.register(
            watch.fd, HANGUP_EVENTS, lambda events: self._on_event(watch)
        )

    def _unregister(self, watch: DisconnectWatch) -> None:
        # A descriptor that was closed has left epoll by itself, and may be
        # somebody else's by now; posted acts keep their order, so what is
        # registered under the number is still this watch or nothing.
        self._loop.unregister(watch.fd)

    def _on_event(self, watch: DisconnectWatch) -> None:
        self._loop.unregister(watch.fd)
        if not watch.is_over:
            watch.is_over = True
            watch.on_disconnect()

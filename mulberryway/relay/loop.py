"""Single-threaded event loop on top of Linux's epoll."""

import collections
import collections.abc
import logging
import os
import select
import threading

from mulberryway import clock

__all__ = ["EventLoop"]

LOG = logging.getLogger(__name__)

TICK_MS = 50
# Timeout of epoll while no periodic callback is needed.
IDLE_POLL_TIMEOUT_MS = 5_000
MS_IN_S = 1_000

Handler = collections.abc.Callable[[int], None]
Callback = collections.abc.Callable[[], None]
Condition = collections.abc.Callable[[], bool]


class EventLoop:
    """Runs file descriptor handlers, posted callbacks and periodic callbacks.

    All methods but :meth:`post`, :meth:`start` and :meth:`stop` must be called
    on the loop's thread, or before it starts.  Handlers change only there,
    between two events, so an event never reaches the handler of a later
    socket that reuses the same descriptor number.

    ``epoll`` is used directly because ``selectors`` does not support
    EPOLLRDHUP, which reports that a caller has disconnected without reading
    the data it sent.

    :param name: the thread's name
    :param clock_: the clock
    """

    def __init__(self, name: str, clock_: clock.Clock) -> None:
        self.clock = clock_
        self.now_ms = clock_.now_ms()
        self._epoll = select.epoll()
        self._handlers: dict[int, Handler] = {}
        self._posted: collections.deque[Callback] = collections.deque()
        self._periodic: list[tuple[Callback, Condition]] = []
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._is_wake_pending = False
        self._is_stopping = False
        self._last_tick_ms = self.now_ms
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )
        self._epoll.register(self._wake_fd, select.EPOLLIN)
        self._handlers[self._wake_fd] = self._on_wake

    def start(self) -> None:
        """Start the loop's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close the loop's file descriptors."""
        self.post(self._stop)
        if self._thread.is_alive():
            self._thread.join()
        self._epoll.close()
        os.close(self._wake_fd)

    def post(self, callback: Callback) -> None:
        """Schedule a callback on the loop's thread; safe from any thread.

        :param callback: the callback; must not block
        """
        self._posted.append(callback)
        if not self._is_wake_pending:
            self._is_wake_pending = True
            os.eventfd_write(self._wake_fd, 1)

    def add_periodic(self, callback: Callback, is_needed: Condition) -> None:
        """Run a callback about every ``TICK_MS``; call before the start only.

        :param callback: the callback; must not block
        :param is_needed: returns whether there is anything to do; called
            after each poll, and while no callback is needed the loop sleeps
            up to ``IDLE_POLL_TIMEOUT_MS``
        """
        self._periodic.append((callback, is_needed))

    def register(self, fd: int, events: int, handler: Handler) -> None:
        """Watch a file descriptor.

        :param fd: the descriptor
        :param events: epoll's flags
        :param handler: called with the flags that are set
        """
        self._handlers[fd] = handler
        self._epoll.register(fd, events)

    def modify(self, fd: int, events: int) -> None:
        """Change the flags that a descriptor is watched for.

        :param fd: the descriptor
        :param events: epoll's flags
        """
        self._epoll.modify(fd, events)

    def unregister(self, fd: int) -> None:
        """Stop watching a descriptor; call before it is closed.

        :param fd: the descriptor
        """
        if self._handlers.pop(fd, None) is not None:
            try:
                self._epoll.unregister(fd)
            except OSError:
                LOG.debug("descriptor %d was closed before unregistering", fd)

    def _stop(self) -> None:
        self._is_stopping = True

    def _on_wake(self, events: int) -> None:
        # Read first: resetting the flag before the read would let the read
        # consume a later wake-up while the flag stays set.
        os.eventfd_read(self._wake_fd)
        self._is_wake_pending = False

    def _run(self) -> None:
        while not self._is_stopping:
            self._poll()
            while self._posted:
                self._call(self._posted.popleft())
            if self.now_ms - self._last_tick_ms >= TICK_MS:
                self._last_tick_ms = self.now_ms
                for callback, is_needed in self._periodic:
                    if is_needed():
                        self._call(callback)

    def _poll(self) -> None:
        # The last handler would keep its stream until the next event, if it
        # were a variable of the loop.
        handlers = self._handlers
        ready = self._epoll.poll(self._get_poll_timeout_ms() / MS_IN_S)
        self.now_ms = self.clock.now_ms()
        for fd, events in ready:
            handler = handlers.get(fd)
            if handler is not None:
                self._call(handler, events)

    def _get_poll_timeout_ms(self) -> int:
        is_needed = any(is_needed() for _, is_needed in self._periodic)
        return TICK_MS if is_needed else IDLE_POLL_TIMEOUT_MS

    def _call(
        self, callback: collections.abc.Callable[..., None], *arguments: int
    ) -> None:
        # An error in one stream must not stop the loop, because that would
        # stall every other stream of the process.
        try:
            callback(*arguments)
        except Exception:
            LOG.exception("event loop callback failed")

"""An event loop on one thread, over Linux's epoll."""

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
# How long the loop sleeps where nothing needs a tick.
IDLE_POLL_TIMEOUT_MS = 5_000
MS_IN_S = 1_000

Handler = collections.abc.Callable[[int], None]
Callback = collections.abc.Callable[[], None]
Condition = collections.abc.Callable[[], bool]


class EventLoop:
    """Calls handlers for file descriptors, posted acts and ticks.

    All but :meth:`post` is for the loop's own thread.  Handlers change only
    there, between two events, so that an event never reaches the handler of
    a later socket which was given the same number.

    ``epoll`` is used directly: ``selectors`` has no word for EPOLLRDHUP,
    which tells of a caller's going without reading what it sent.

    :param name: the thread's name
    :param clock_: where the time comes from
    """

    def __init__(self, name: str, clock_: clock.Clock) -> None:
        self.clock = clock_
        self.now_ms = clock_.now_ms()
        self._epoll = select.epoll()
        self._handlers: dict[int, Handler] = {}
        self._posted: collections.deque[Callback] = collections.deque()
        self._ticks: list[tuple[Callback, Condition]] = []
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._is_woken = False
        self._is_stopping = False
        self._ticked_ms = self.now_ms
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )
        self._epoll.register(self._wake_fd, select.EPOLLIN)
        self._handlers[self._wake_fd] = self._on_wake

    def start(self) -> None:
        """Begin to run on a thread of its own."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread and close what belongs to the loop."""
        self.post(self._stop)
        if self._thread.is_alive():
            self._thread.join()
        self._epoll.close()
        os.close(self._wake_fd)

    def post(self, callback: Callback) -> None:
        """Let the loop's thread do something soon; from any thread.

        :param callback: what to do; must not block
        """
        self._posted.append(callback)
        if not self._is_woken:
            self._is_woken = True
            os.eventfd_write(self._wake_fd, 1)

    def add_periodic(self, act: Callback, is_needed: Condition) -> None:
        """Do something about every ``TICK_MS``; before the start only.

        :param act: what to do; must not block
        :param is_needed: whether there is anything to do; asked after each
            event, and while it says no the loop may sleep for longer
        """
        self._ticks.append((act, is_needed))

    def register(self, fd: int, events: int, handler: Handler) -> None:
        """Watch a file descriptor.

        :param fd: the descriptor
        :param events: epoll's flags
        :param handler: gets the flags that are set
        """
        self._handlers[fd] = handler
        self._epoll.register(fd, events)

    def modify(self, fd: int, events: int) -> None:
        """Change the flags that are watched.

        :param fd: the descriptor
        :param events: epoll's flags
        """
        self._epoll.modify(fd, events)

    def unregister(self, fd: int) -> None:
        """Stop to watch a descriptor, before it is closed.

        :param fd: the descriptor
        """
        if self._handlers.pop(fd, None) is not None:
            try:
                self._epoll.unregister(fd)
            except OSError:
                LOG.debug("descriptor %d was closed while watched", fd)

    def _stop(self) -> None:
        self._is_stopping = True

    def _on_wake(self, events: int) -> None:
        # In this order: a write that is read here must not leave the flag set.
        os.eventfd_read(self._wake_fd)
        self._is_woken = False

    def _run(self) -> None:
        poll = self._epoll.poll
        handlers = self._handlers
        while not self._is_stopping:
            ready = poll(self._read_pause_ms() / MS_IN_S)
            self.now_ms = self.clock.now_ms()
            for fd, events in ready:
                handler = handlers.get(fd)
                if handler is not None:
                    self._call(handler, events)
            while self._posted:
                self._call(self._posted.popleft())
            if self.now_ms - self._ticked_ms >= TICK_MS:
                self._ticked_ms = self.now_ms
                for tick, is_needed in self._ticks:
                    if is_needed():
                        self._call(tick)

    def _read_pause_ms(self) -> int:
        is_needed = any(is_needed() for _, is_needed in self._ticks)
        return TICK_MS if is_needed else IDLE_POLL_TIMEOUT_MS

    def _call(
        self, act: collections.abc.Callable[..., None], *arguments: int
    ) -> None:
        # One stream's error must not end the loop: every other stream of
        # the process would then fall silent at once.
        try:
            act(*arguments)
        except Exception:
            LOG.exception("an act of the event loop failed")

"""Signal handling and shutdown, shared by the programs of a VM."""

import abc
import collections.abc
import contextlib
import logging
import os
import queue
import signal
import threading
import time
import types
import typing

from mulberryway import allocator

__all__ = ["Service", "exit_at_once", "run_until_stopped"]

LOG = logging.getLogger(__name__)

_StopSignals = queue.SimpleQueue[int]

POLL_S = 0.05
EXIT_POLL_S = 0.01
OVERDUE_STATUS = 1


class Service(abc.ABC):
    """A service that a program starts and stops."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start serving in the background."""

    @abc.abstractmethod
    def stop(self, graceful: bool = True) -> None:
        """Stop serving.

        :param graceful: whether to wait for running requests
        """

    @abc.abstractmethod
    def hasten_stop(self) -> None:
        """Let ``stop`` answer open requests at once, on another thread."""

    @abc.abstractmethod
    def is_stop_overdue(self) -> bool:
        """Return whether the process has to exit, whatever is still open."""


def run_until_stopped(
    service: Service,
    on_reload: collections.abc.Callable[[], None] = lambda: None,
) -> None:
    """Run a service until a signal to stop, then shut it down.

    After the first signal, SIGTERM changes nothing: whatever sends it again
    does not know that the shutdown goes on.  SIGINT ends the wait for running
    requests, which are answered.

    :param service: the service
    :param on_reload: called on SIGHUP, which announces changed settings;
        without a handler the signal would end the process
    """
    # Unlike a semaphore's, its methods may interrupt one another.
    stop_signals: _StopSignals = queue.SimpleQueue()

    def handle_stop_signal(number: int, frame: types.FrameType | None) -> None:
        stop_signals.put(number)

    allocator.separate_large_blocks()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handle_stop_signal)
    signal.signal(signal.SIGHUP, lambda number, frame: on_reload())
    service.start()
    stop_signals.get()
    stopper = threading.Thread(target=service.stop, name="stop", daemon=True)
    stopper.start()
    # Other threads may still keep the interpreter from exiting.
    threading.Thread(
        target=_exit_when_overdue,
        args=(service, stopper),
        name="exit",
        daemon=True,
    ).start()
    if _is_interrupted(stopper, stop_signals):
        service.hasten_stop()
        stopper.join()


def exit_at_once(status: int) -> typing.NoReturn:
    """Exit without the interpreter's own shutdown.

    It joins threads that may wait for other VMs, and on a busy machine it
    takes longer than what is left of the grace period.

    :param status: the exit status
    """
    for handler in logging.getLogger().handlers:
        handler.flush()
    os._exit(status)


def _is_interrupted(
    stopper: threading.Thread, stop_signals: _StopSignals
) -> bool:
    """Return whether SIGINT arrives before a thread's end."""
    while stopper.is_alive():
        with contextlib.suppress(queue.Empty):
            if stop_signals.get(timeout=POLL_S) == signal.SIGINT:
                return True
    return False


def _exit_when_overdue(service: Service, stopper: threading.Thread) -> None:
    while not service.is_stop_overdue():
        time.sleep(EXIT_POLL_S)
    is_stopped = not stopper.is_alive()
    if not is_stopped:
        LOG.warning("the process exits before its shutdown is complete")
    exit_at_once(0 if is_stopped else OVERDUE_STATUS)

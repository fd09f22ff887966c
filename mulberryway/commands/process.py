"""What the programs of a VM share: signals, and a stop that ends."""

import abc
import collections.abc
import signal
import threading
import types

__all__ = ["Service", "run_until_stopped"]

POLL_S = 0.1


class Service(abc.ABC):
    """What a program runs."""

    @abc.abstractmethod
    def start(self) -> None:
        """Begin to serve; returns at once."""

    @abc.abstractmethod
    def stop(self, graceful: bool = True) -> None:
        """Stop serving.

        :param graceful: whether running requests may end first
        """


def run_until_stopped(
    service: Service,
    on_reload: collections.abc.Callable[[], None] = lambda: None,
) -> None:
    """Run until a signal to stop comes and the stop is over.

    :param service: what is started and stopped
    :param on_reload: called when a signal says that settings have changed;
        without a handler that signal would end the process
    """
    stops = threading.Semaphore(0)

    def note(number: int, frame: types.FrameType | None) -> None:
        stops.release()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, note)
    signal.signal(signal.SIGHUP, lambda number, frame: on_reload())
    service.start()
    stops.acquire()
    worker = threading.Thread(target=service.stop, name="stop", daemon=True)
    worker.start()
    # A second signal ends the wait for what runs.
    while worker.is_alive() and not stops.acquire(timeout=POLL_S):
        continue

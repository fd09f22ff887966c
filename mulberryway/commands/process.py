"""Signal handling and shutdown, shared by the programs of a VM."""

import abc
import collections.abc
import signal
import threading
import types

__all__ = ["Service", "run_until_stopped"]

POLL_S = 0.1


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


def run_until_stopped(
    service: Service,
    on_reload: collections.abc.Callable[[], None] = lambda: None,
) -> None:
    """Run a service until a signal to stop, then shut it down.

    :param service: the service
    :param on_reload: called on SIGHUP, which announces changed settings;
        without a handler the signal would end the process
    """
    stop_signals = threading.Semaphore(0)

    def handle_stop_signal(number: int, frame: types.FrameType | None) -> None:
        stop_signals.release()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handle_stop_signal)
    signal.signal(signal.SIGHUP, lambda number, frame: on_reload())
    service.start()
    stop_signals.acquire()
    stopper = threading.Thread(target=service.stop, name="stop", daemon=True)
    stopper.start()
    # A second signal ends the wait for running requests.
    while stopper.is_alive() and not stop_signals.acquire(timeout=POLL_S):
        continue

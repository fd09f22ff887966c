"""Base class for controllers, which run one background thread each."""

import abc
import logging
import threading

from mulberryway import clock

__all__ = ["Controller"]

LOG = logging.getLogger(__name__)


class Controller(abc.ABC):
    """Calls ``step`` periodically until it is stopped.

    An exception in a step is logged, and the next step runs after the usual
    period.  Otherwise a single bad response would end the thread, which
    would only show up much later as stale state.

    :param name: the thread's name, also used in logs
    :param clock_: the clock
    :param period_ms: the interval between steps, in milliseconds
    """

    def __init__(self, name: str, clock_: clock.Clock, period_ms: int) -> None:
        self.name = name
        self.clock = clock_
        self.period_ms = period_ms
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    @abc.abstractmethod
    def step(self) -> None:
        """Do one round of work; return soon once ``is_stopping`` is true."""

    def start(self) -> None:
        """Start calling ``step`` on the controller's own thread."""
        self._thread.start()

    def wake(self) -> None:
        """Run the next step immediately."""
        self._wake.set()

    def stop(self, wait_ms: int = 2_000) -> None:
        """Stop the thread.

        :param wait_ms: maximum wait for the current step, in milliseconds
        """
        self._stopping.set()
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(wait_ms / 1000)

    def is_stopping(self) -> bool:
        """Return whether ``stop`` was called."""
        return self._stopping.is_set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self.step()
            except Exception:
                LOG.exception("a controller step failed: %s", self.name)
            self._wake.wait(self.period_ms / 1000)
            self._wake.clear()

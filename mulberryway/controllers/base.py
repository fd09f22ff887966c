"""A controller: one thread that keeps one piece of state up to date."""

import abc
import logging
import threading

from mulberryway import clock

__all__ = ["Controller"]

LOG = logging.getLogger(__name__)


class Controller(abc.ABC):
    """Calls ``step`` again and again until it is stopped.

    A step that raises is logged and repeated after the usual pause: one bad
    answer must not silence a controller for the rest of the process's life,
    which would show only much later, as stale state.

    :param name: the thread's name, also used in logs
    :param clock_: where the time comes from
    :param period_ms: the pause between steps, in milliseconds
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
        """Do one round of work; return soon after ``is_stopping``."""

    def start(self) -> None:
        """Begin to call ``step`` on a thread of its own."""
        self._thread.start()

    def wake(self) -> None:
        """Let the next step begin now."""
        self._wake.set()

    def stop(self, wait_ms: int = 2_000) -> None:
        """End the thread.

        :param wait_ms: the longest wait for the current step
        """
        self._stopping.set()
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(wait_ms / 1000)

    def is_stopping(self) -> bool:
        """Tell whether ``stop`` was called."""
        return self._stopping.is_set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self.step()
            except Exception:
                LOG.exception("a controller step failed: %s", self.name)
            self._wake.wait(self.period_ms / 1000)
            self._wake.clear()

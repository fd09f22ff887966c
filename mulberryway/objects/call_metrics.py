"""Counters of calls to the platform, by purpose and outcome."""

import abc
import threading

from mulberryway import metrics

__all__ = ["CallCounter", "InMemoryCallCounter", "CallStats"]


class CallCounter(abc.ABC):
    """Counts the calls to the platform.

    The platform's rate limits grow more slowly than the fleet. When they are
    exhausted, the counts by purpose show which calls consume them.
    """

    @abc.abstractmethod
    def count_call(
        self, purpose: str, outcome: str, sent: int, received: int
    ) -> None:
        """Count a completed call; a watch is counted when it opens.

        :param purpose: the purpose of the call
        :param outcome: ``ok`` or the fault's code
        :param sent: bytes of the request's body
        :param received: bytes of the reply's body
        """


class CallStats:
    """Totals of the calls with one purpose and one outcome.

    :param calls: the number of calls
    :param sent: bytes of request bodies
    :param received: bytes of reply bodies
    """

    __slots__ = ("calls", "sent", "received")

    def __init__(
        self, calls: int = 0, sent: int = 0, received: int = 0
    ) -> None:
        self.calls = calls
        self.sent = sent
        self.received = received


class InMemoryCallCounter(CallCounter):
    """Stores the counts in memory."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: dict[tuple[str, str], CallStats] = {}

    def count_call(
        self, purpose: str, outcome: str, sent: int, received: int
    ) -> None:
        """Count a call; see the base class.

        :param purpose: the purpose of the call
        :param outcome: ``ok`` or the fault's code
        :param sent: bytes of the request's body
        :param received: bytes of the reply's body
        """
        with self._lock:
            count = self._counts.setdefault((purpose, outcome), CallStats())
            count.calls += 1
            count.sent += sent
            count.received += received

    def get_counts(self) -> dict[tuple[str, str], CallStats]:
        """Return the current counts.

        :returns: a copy, by purpose and outcome
        """
        with self._lock:
            return {
                key: CallStats(count.calls, count.sent, count.received)
                for key, count in self._counts.items()
            }

    def register_metrics(self, metrics_: metrics.Metrics) -> None:
        """Register the counts with a process's metrics.

        :param metrics_: the process's instruments
        """
        metrics_.register_counter(
            "platform.calls",
            "calls to the platform, by purpose and outcome",
            lambda: self._list_totals("calls"),
        )
        metrics_.register_counter(
            "platform.received",
            "bytes received from the platform, by purpose and outcome",
            lambda: self._list_totals("received"),
        )

    def _list_totals(self, attribute: str) -> list[tuple[metrics.Labels, int]]:
        return [
            (
                {"purpose": purpose, "outcome": outcome},
                getattr(count, attribute),
            )
            for (purpose, outcome), count in self.get_counts().items()
        ]

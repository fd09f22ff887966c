"""Eras of a store that may return from an older copy of itself."""

import collections.abc
import logging
import threading

from mulberryway import logs
from mulberryway import metrics

__all__ = ["MAX_ERA", "UNKNOWN_ERA", "StoreEras"]

LOG = logging.getLogger(__name__)

# Era of responses that name none.
UNKNOWN_ERA = 0
# A larger number is malformed: the store begins an era with each return.
MAX_ERA = 2**31 - 1

Listener = collections.abc.Callable[[int], None]


class StoreEras:
    """The latest known era of the store; thread-safe.

    The store begins an era each time it returns from a copy that is some
    seconds old. What it acknowledged since the copy is lost, and it gives
    out the same revisions again.

    ``era`` is the latest known era, and ``changes`` counts how often it has
    risen since the first one was known.
    """

    def __init__(self) -> None:
        self.era = UNKNOWN_ERA
        self.changes = 0
        self._lock = threading.Lock()
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Call a function when the era has risen, on any thread.

        It is not called for the first era that is known.

        :param listener: called with the new era; must return quickly
        """
        self._listeners.append(listener)

    def record(self, era: int) -> None:
        """Record the era of a response, or one that another VM knows.

        :param era: the era
        """
        if era <= self.era:
            return
        with self._lock:
            previous = self.era
            if era <= previous:
                return
            self.era = era
            self.changes += previous != UNKNOWN_ERA
        if previous == UNKNOWN_ERA:
            LOG.info("the store names its era", extra=logs.make_extra(era=era))
            return
        LOG.warning(
            "the store's era has changed",
            extra=logs.make_extra(previous_era=previous, era=era),
        )
        for listener in self._listeners:
            listener(era)

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register metrics for the store's era.

        :param metrics_: the process's instruments
        """
        metrics_.register_gauge(
            "platform.era",
            "the store's era; it rises when the store returns from a copy",
            lambda: self.era,
        )
        metrics_.register_counter(
            "platform.era_changes",
            "returns of the store from a copy that this VM has noticed",
            lambda: [({}, self.changes)],
        )

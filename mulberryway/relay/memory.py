"""Bounds the memory that the callers of this VM use."""

import collections.abc
import logging
import threading
import typing

from mulberryway import logs
from mulberryway import metrics
from mulberryway.policy import memory_budget
from mulberryway.relay import loop

__all__ = ["MemoryGuard"]

LOG = logging.getLogger(__name__)

LOG_INTERVAL_MS = 1_000

GiveUp = collections.abc.Callable[[], None]


class MemoryGuard:
    """Counts what is held for callers, and gives up the slowest in time.

    ``try_reserve`` and ``release`` may be called on any thread; everything
    else runs on the loop's thread.

    :param loop_: the event loop
    :param total_bytes: the budget in bytes; 0 for none
    """

    def __init__(self, loop_: loop.EventLoop, total_bytes: int = 0) -> None:
        self.given_up = 0
        self.refused = 0
        self._loop = loop_
        self._lock = threading.Lock()
        self._budget = memory_budget.MemoryBudget(total_bytes)
        self._readers: dict[typing.Any, memory_budget.Reader] = {}
        self._callbacks: dict[typing.Any, GiveUp] = {}
        self._last_log_ms = loop_.now_ms - LOG_INTERVAL_MS
        self._unlogged = 0
        self._last_refusal_ms = self._last_log_ms
        loop_.add_periodic(self._check, lambda: bool(self._readers))

    @property
    def is_bounded(self) -> bool:
        """Whether there is a budget."""
        return self._budget.total_bytes > 0

    @property
    def limit_bytes(self) -> int:
        """The number of unread bytes that one caller may have now."""
        return self._budget.compute_limit_bytes()

    def try_reserve(self, size: int) -> bool:
        """Reserve memory for a body, if there is room.

        :param size: the number of bytes
        """
        with self._lock:
            if self._budget.try_reserve(size):
                return True
            self.refused += 1
            now_ms = self._loop.clock.now_ms()
            is_due = now_ms - self._last_refusal_ms >= LOG_INTERVAL_MS
            if is_due:
                self._last_refusal_ms = now_ms
        if is_due:
            LOG.warning(
                "a request is refused, there is no room for its body",
                extra=logs.make_extra(
                    body_bytes=size,
                    held_bytes=self._budget.used_bytes,
                    budget_bytes=self._budget.total_bytes,
                    slow_callers=len(self._readers),
                    refused=self.refused,
                ),
            )
        return False

    def release(self, size: int) -> None:
        """Release memory that was reserved.

        :param size: the number of bytes
        """
        with self._lock:
            self._budget.add(-size)

    def update(
        self,
        key: typing.Any,
        unread_bytes: int,
        is_paused: bool,
        give_up: GiveUp,
    ) -> None:
        """Record what a caller has not read.

        :param key: identifies the caller
        :param unread_bytes: the bytes that wait for it; 0 if it has read all
        :param is_paused: whether its upstream is not read because of it
        :param give_up: closes its connection
        """
        reader = self._readers.get(key)
        if reader is None:
            if not unread_bytes:
                return
            reader = memory_budget.Reader(key, self._loop.now_ms)
            self._readers[key] = reader
            self._callbacks[key] = give_up
        with self._lock:
            self._budget.add(unread_bytes - reader.unread_bytes)
        reader.unread_bytes = unread_bytes
        if not is_paused:
            reader.paused_ms = None
        elif reader.paused_ms is None:
            reader.paused_ms = self._loop.now_ms
        if not unread_bytes:
            del self._readers[key], self._callbacks[key]

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register the metrics of held memory.

        :param metrics_: the process's instruments
        """
        metrics_.register_gauge(
            "memory.held_bytes",
            "bytes held for callers",
            lambda: self._budget.used_bytes,
        )
        metrics_.register_gauge(
            "memory.budget_bytes",
            "the most bytes that may be held for callers; 0 if unbounded",
            lambda: self._budget.total_bytes,
        )
        metrics_.register_gauge(
            "memory.slow_callers",
            "callers that have not read all that is there for them",
            lambda: len(self._readers),
        )
        metrics_.register_counter(
            "memory.given_up",
            "callers whose answers were cut off because they read slowly",
            lambda: [({}, self.given_up)],
        )
        metrics_.register_counter(
            "memory.refused",
            "requests refused because there was no room for their bodies",
            lambda: [({}, self.refused)],
        )

    def _check(self) -> None:
        if not self.is_bounded:
            return
        now_ms = self._loop.now_ms
        for reader in [
            reader
            for reader in self._readers.values()
            if memory_budget.is_stalled(reader, now_ms)
        ]:
            self._give_up(reader)
        for reader in memory_budget.choose_slowest(
            self._readers.values(), self._budget.compute_excess_bytes(), now_ms
        ):
            self._give_up(reader)

    def _give_up(self, reader: memory_budget.Reader) -> None:
        give_up = self._callbacks[reader.key]
        unread_bytes, behind_ms = reader.unread_bytes, reader.behind_ms
        # Forgotten first, so that a failure does not repeat.
        self.update(reader.key, 0, False, give_up)
        self.given_up += 1
        self._unlogged += 1
        now_ms = self._loop.now_ms
        if now_ms - self._last_log_ms >= LOG_INTERVAL_MS:
            LOG.warning(
                "a caller that reads slowly is given up",
                extra=logs.make_extra(
                    unread_bytes=unread_bytes,
                    behind_ms=now_ms - behind_ms,
                    held_bytes=self._budget.used_bytes,
                    budget_bytes=self._budget.total_bytes,
                    given_up=self._unlogged,
                ),
            )
            self._last_log_ms, self._unlogged = now_ms, 0
        give_up()

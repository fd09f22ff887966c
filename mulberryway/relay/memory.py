"""Bounds the memory that the callers of this VM use."""

import collections
import collections.abc
import logging
import threading
import time
import typing

from mulberryway import clock
from mulberryway import logs
from mulberryway import metrics
from mulberryway.policy import memory_budget
from mulberryway.relay import loop

__all__ = ["MemoryGuard"]

LOG = logging.getLogger(__name__)

LOG_INTERVAL_MS = 1_000
# How often an answer that waits for room asks whether its call was cancelled.
CANCEL_POLL_S = 0.1

GiveUp = collections.abc.Callable[[], None]


class MemoryGuard:
    """Counts what is held for callers, and gives up the slowest in time.

    ``update``, ``report`` and what they call run on the loop's thread;
    everything else may be called on any thread.

    :param loop_: the event loop
    :param total_bytes: the budget in bytes; 0 for none
    """

    def __init__(self, loop_: loop.EventLoop, total_bytes: int = 0) -> None:
        self.given_up = 0
        self.refused = 0
        self._loop = loop_
        self._lock = threading.Lock()
        self._has_changed = threading.Condition(self._lock)
        # The sizes of answers that wait for room, the first one first.
        self._waiting: collections.deque[list[int]] = collections.deque()
        self._budget = memory_budget.MemoryBudget(total_bytes)
        self._readers: dict[typing.Any, memory_budget.Reader] = {}
        self._callbacks: dict[typing.Any, GiveUp] = {}
        self._last_log_ms = loop_.now_ms - LOG_INTERVAL_MS
        self._unlogged = 0
        self._last_refusal_ms = self._last_log_ms
        loop_.add_periodic(self._check, lambda: bool(self._readers))
        self.waited = 0

    @property
    def is_bounded(self) -> bool:
        """Whether there is a budget."""
        return self._budget.total_bytes > 0

    @property
    def limit_bytes(self) -> int:
        """The number of unread bytes that one caller may have now."""
        return self._budget.compute_limit_bytes()

    @property
    def clock(self) -> clock.Clock:
        """The clock of the event loop."""
        return self._loop.clock

    def try_reserve_request(self, size: int, held_bytes: int = 0) -> bool:
        """Reserve memory for a request, if there is room.

        :param size: the number of bytes
        :param held_bytes: what is reserved for the request already
        """
        with self._lock:
            return self._budget.try_reserve_request(size, held_bytes)

    def can_ever_hold_request(self, size: int) -> bool:
        """Return whether a request fits if nothing else is held.

        :param size: the number of bytes
        """
        return self._budget.can_ever_hold_request(size)

    def release_request(self, size: int) -> None:
        """Release memory that was reserved for a request.

        :param size: the number of bytes
        """
        with self._lock:
            self._budget.release_request(size)
            self._wake_waiting()

    def report_refusal(self, size: int) -> None:
        """Count and log a request for which there is no room.

        :param size: the number of bytes that were missing
        """
        with self._lock:
            self.refused += 1
            now_ms = self._loop.clock.now_ms()
            is_due = now_ms - self._last_refusal_ms >= LOG_INTERVAL_MS
            if is_due:
                self._last_refusal_ms = now_ms
        if is_due:
            LOG.warning(
                "a request is refused, there is no room for it",
                extra=logs.make_extra(
                    request_bytes=size,
                    held_bytes=self._budget.used_bytes,
                    requests_bytes=self._budget.requests_bytes,
                    budget_bytes=self._budget.total_bytes,
                    slow_callers=len(self._readers),
                    refused=self.refused,
                ),
            )

    def reserve_answer(
        self,
        size: int,
        duration_s: float,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> bool:
        """Reserve memory for an answer; wait until there is room.

        Answers are admitted in turn.  Each reserves all that it needs at
        once, so those that have it are read to their ends.

        :param size: the number of bytes
        :param duration_s: the maximum wait in seconds
        :param is_cancelled: returns whether the answer is not needed any more
        :returns: whether the memory was reserved
        """
        with self._has_changed:
            if not self._budget.can_ever_hold(size):
                return False
            if not self._waiting and self._budget.try_reserve_answer(size):
                return True
            self.waited += 1
            ticket = [size]
            self._waiting.append(ticket)
            try:
                return self._wait_for_room(
                    ticket, time.monotonic() + duration_s, is_cancelled
                )
            finally:
                self._waiting.remove(ticket)
                self._has_changed.notify_all()

    def _wait_for_room(
        self,
        ticket: list[int],
        deadline_s: float,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> bool:
        while not is_cancelled():
            is_first = self._waiting[0] is ticket
            if is_first and self._budget.try_reserve_answer(ticket[0]):
                return True
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                return False
            self._has_changed.wait(min(left_s, CANCEL_POLL_S))
        return False

    def release_answer(self, size: int) -> None:
        """Release memory that was reserved for an answer.

        :param size: the number of bytes
        """
        with self._lock:
            self._budget.add(-size)
            self._wake_waiting()

    def _wake_waiting(self) -> None:
        if self._waiting:
            self._has_changed.notify_all()

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
            self._wake_waiting()
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
            "requests refused because there was no room for them",
            lambda: [({}, self.refused)],
        )
        metrics_.register_counter(
            "memory.waited",
            "answers of upstreams that waited for room",
            lambda: [({}, self.waited)],
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
        with self._lock:
            wanted_bytes = self._waiting[0][0] if self._waiting else 0
        excess_bytes = self._budget.compute_excess_bytes(wanted_bytes)
        for reader in memory_budget.choose_slowest(
            self._readers.values(), excess_bytes, now_ms
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

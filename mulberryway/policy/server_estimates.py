"""Estimates of what a server bears, learnt from calls of all VMs."""

from mulberryway.policy import call_spread

__all__ = ["INITIAL_CALL_MS", "ServerEstimate"]

# Estimated duration of a call before any has ended.
INITIAL_CALL_MS = 60.0
# Weight of one call's duration. Without a known concurrency waiting cannot be
# told from work, so longer durations count less.
CALL_WEIGHT = 0.02
LONGER_CALL_WEIGHT = 0.004
MIN_CALL_MS = 1.0
# A server that has become slow gets no calls and is not measured.  After a
# time without calls, half of what it was slower than before is forgotten in
# each half-life, so that its recovery shows.
IDLE_MS = 1_000
FORGET_HALF_LIFE_MS = 2_000
# Part of a duration that waiting may explain.
MAX_WAITING = 0.95
# Calls weigh more until this many have been seen.
FIRST_CALLS = 30
# Throughput is measured over windows of this length with at least this many
# calls.
WINDOW_MS = 500
MIN_WINDOW_CALLS = 10
# Durations of this many service times show that calls wait.
QUEUEING_FACTOR = 1.5
CONCURRENCY_WEIGHT = 0.3
# A server that rejects calls counts as full for this long.
REJECTION_DECAY_MS = 1_000
# The queue of a full server, in rounds of its concurrency.
FULL_QUEUE_ROUNDS = 4.0


class ServerEstimate:
    """Service time and concurrency of one server.

    :param slots: calls that it runs at once; 0 if they are to be learnt
    """

    __slots__ = (
        "slots",
        "service_ms",
        "_lowest_ms",
        "_called_ms",
        "_calls",
        "_learnt",
        "_is_saturation_known",
        "_window_started_ms",
        "_window_calls",
        "_window_busy_ms",
        "_rejected_ms",
    )

    def __init__(self, slots: int = 0) -> None:
        self.slots = slots
        self.service_ms = INITIAL_CALL_MS
        # The lowest service time that rests on samples.
        self._lowest_ms: float | None = None
        self._called_ms = 0
        self._calls = 0
        self._learnt = 1.0
        self._is_saturation_known = False
        self._window_started_ms = 0
        self._window_calls = 0
        self._window_busy_ms = 0
        self._rejected_ms: int | None = None

    @property
    def concurrency(self) -> float:
        """Calls that the server runs at once, at least 1."""
        return float(self.slots) if self.slots else self._learnt

    @property
    def has_samples(self) -> bool:
        """Whether the service time rests on more than a few calls."""
        return self._calls >= FIRST_CALLS

    @property
    def is_capacity_known(self) -> bool:
        """Whether calls beyond the capacity can be told from others."""
        return self.has_samples and (
            self.slots > 0 or self._is_saturation_known
        )

    def record_calls(self, count: int, busy_ms: int, now_ms: int) -> None:
        """Record calls that the server has answered.

        :param count: the number of calls; at least 1
        :param busy_ms: sum of their durations, in milliseconds
        :param now_ms: current time in milliseconds
        """
        self.service_ms = self.get_service_ms(now_ms)
        self._called_ms = now_ms
        self._window_calls += count
        self._window_busy_ms += busy_ms
        elapsed_ms = now_ms - self._window_started_ms
        if elapsed_ms < WINDOW_MS:
            return
        mean_ms = max(self._window_busy_ms / self._window_calls, MIN_CALL_MS)
        self._update_service(mean_ms, elapsed_ms)
        if not self.slots and self._window_calls >= MIN_WINDOW_CALLS:
            self._update_concurrency(mean_ms, elapsed_ms)
        self._window_started_ms = now_ms
        self._window_calls = self._window_busy_ms = 0

    def get_service_ms(self, now_ms: int) -> float:
        """Return the duration of a call that does not wait.

        :param now_ms: current time in milliseconds
        :returns: milliseconds; nearer to the lowest known the longer it has
            been idle
        """
        if self._lowest_ms is None:
            return self.service_ms
        excess_ms = max(self.service_ms - self._lowest_ms, 0.0)
        idle_ms = max(now_ms - self._called_ms - IDLE_MS, 0)
        kept = 0.5 ** (idle_ms / FORGET_HALF_LIFE_MS)
        return self.service_ms - excess_ms * (1.0 - kept)

    def record_rejections(self, now_ms: int) -> None:
        """Record that the server turned calls away.

        :param now_ms: current time in milliseconds
        """
        self._rejected_ms = now_ms

    def get_rejection_ms(self, now_ms: int) -> float:
        """Return the wait that recent rejections make likely.

        A server that rejects calls at once would look fast.

        :param now_ms: current time in milliseconds
        :returns: the time in which a full queue empties, less as the last
            rejection gets older, in milliseconds
        """
        if self._rejected_ms is None:
            return 0.0
        age_ms = max(now_ms - self._rejected_ms, 0)
        left = max(1.0 - age_ms / REJECTION_DECAY_MS, 0.0)
        return FULL_QUEUE_ROUNDS * self.service_ms * left

    def _update_service(self, mean_ms: float, elapsed_ms: int) -> None:
        """Learn from a window's mean duration, less the part that waited."""
        count = self._window_calls
        weight = CALL_WEIGHT
        if self.slots:
            in_flight = self._window_busy_ms / elapsed_ms
            waiting = call_spread.compute_queue(in_flight, self.slots)
            mean_ms *= 1.0 - min(waiting / max(in_flight, 1.0), MAX_WAITING)
        elif mean_ms > self.service_ms and self.has_samples:
            weight = LONGER_CALL_WEIGHT
        is_new = not self.has_samples
        self._calls += count
        weight = 1.0 - (1.0 - weight) ** count
        if is_new:
            weight = max(weight, count / self._calls)
        self.service_ms += weight * (mean_ms - self.service_ms)
        if self.has_samples:
            lowest_ms = self._lowest_ms or self.service_ms
            self._lowest_ms = min(lowest_ms, self.service_ms)

    def _update_concurrency(self, mean_ms: float, elapsed_ms: int) -> None:
        busy = self._window_calls * self.service_ms / elapsed_ms
        if mean_ms < QUEUEING_FACTOR * self.service_ms:
            self._learnt = max(self._learnt, busy)
        elif not self._is_saturation_known:
            self._is_saturation_known = True
            self._learnt = max(busy, 1.0)
        else:
            change = CONCURRENCY_WEIGHT * (busy - self._learnt)
            self._learnt = max(self._learnt + change, 1.0)

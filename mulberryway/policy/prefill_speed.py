"""Estimates an engine's prefill times from its past prefills."""

from mulberryway.policy import health

__all__ = ["PrefillSpeed"]

# Fixed duration of a prefill, independent of its length.  For a chunked
# prefill the measured time includes the first step of its own decode.
PREFILL_ENGINE_BASE_MS = 5.0
CHUNKED_PREFILL_BASE_MS = 15.0
# Bounds the deviation of a single observation, which may be off because of
# others' load on the same engine.
MAX_DEVIATION = 8.0
MIN_SAMPLE_TOKENS = 200
# Number of own samples from which an engine's own rate is used.  Until then
# the pool's rate is used, so a newly started VM has an estimate for all
# engines after its first few prefills.
MIN_OWN_SAMPLES = 3


class PrefillSpeed:
    """Estimates the prefill rate of one engine.

    On a prefill engine the measured times include unattributed queueing,
    which delays later prefills as well, so the estimate is the mean.  For a
    chunked prefill the wait for another prompt must not count, so the
    estimate is the lower bound.  With the mean, prefills of 0.19 s were
    estimated at 0.35 s and none seemed to fit.

    :param pool_rate: milliseconds per prompt token on a prefill engine of the
        pool; shared by its engines
    :param slowdown: ratio of this engine's time to a prefill engine's; above
        1 for chunked prefill
    """

    __slots__ = ("_pool_rate", "_slowdown", "_own_rate")

    def __init__(
        self, pool_rate: health.LatencyFloor, slowdown: float
    ) -> None:
        self._pool_rate = pool_rate
        self._slowdown = slowdown
        rate = pool_rate.value * slowdown
        self._own_rate: health.Ewma | health.LatencyFloor = (
            health.LatencyFloor(rate) if slowdown > 1.0 else health.Ewma(rate)
        )

    @property
    def slowdown(self) -> float:
        """Ratio of this engine's time to a prefill engine's."""
        return self._slowdown

    def estimate_ms(self, tokens: float) -> float:
        """Return the estimated uncontended prefill time, in milliseconds.

        :param tokens: the prompt's tokens that are not in the cache
        """
        rate = self._pool_rate.value * self._slowdown
        if self._own_rate.count >= MIN_OWN_SAMPLES:
            rate = self._own_rate.value
        return self._get_base_ms() + tokens * rate

    def note(
        self,
        took_ms: float,
        waited_ms: float,
        estimate_ms: float,
        tokens: float,
    ) -> None:
        """Update the estimate from a successful prefill.

        :param took_ms: time since it was sent
        :param waited_ms: estimated wait for other prefills
        :param estimate_ms: estimated uncontended duration
        :param tokens: its tokens that were not in the cache
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        prefill_ms = took_ms - self._get_base_ms()
        self._pool_rate.note(max(prefill_ms, 1.0) / tokens / self._slowdown)
        if self._slowdown == 1.0:
            prefill_ms = max(
                prefill_ms - waited_ms, estimate_ms / MAX_DEVIATION
            )
            prefill_ms = min(prefill_ms, estimate_ms * MAX_DEVIATION)
        self._own_rate.note(max(prefill_ms, 1.0) / tokens)

    def _get_base_ms(self) -> float:
        return (
            CHUNKED_PREFILL_BASE_MS
            if self._slowdown > 1.0
            else PREFILL_ENGINE_BASE_MS
        )

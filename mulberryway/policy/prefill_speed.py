"""How long an engine takes for a prompt, learned from its reads."""

from mulberryway.policy import health

__all__ = ["PrefillSpeed"]

# What a read costs however short it is; beside streams the first step of its
# own decode is part of what is measured.
PREFILL_ENGINE_BASE_MS = 5.0
CHUNKED_PREFILL_BASE_MS = 15.0
# A single observation may be off by what others did to the same engine.
MAX_DEVIATION = 8.0
MIN_SAMPLE_TOKENS = 200
# An engine is judged by its own reads from so many on; until then by those of
# its siblings, which tells an empty VM the pool's speed after its first few.
MIN_OWN_SAMPLES = 3


class PrefillSpeed:
    """The speed at which one engine reads prompts.

    How long prompts take at a prefill engine tells also how long its queue is
    that nobody knows of, so there the mean counts.  Beside streams a wait for
    another prompt is no part of the read: taken for it, reads of 0.19 s were
    believed to take 0.35 s, and none seemed to fit.

    :param usual: milliseconds a prompt's token over the whole pool, as a
        prefill engine takes them; shared by its engines
    :param cost: how many times as long this one takes; above 1 if it reads
        beside streams
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

    def estimate_ms(self, tokens: float) -> float:
        """Return how long a prompt takes by itself.

        :param tokens: its tokens that are not in the cache
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
        """Learn from a read that has ended well.

        :param took_ms: the time since it was sent
        :param waited_ms: how long it was thought to wait for others
        :param estimate_ms: how long it was thought to take by itself
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

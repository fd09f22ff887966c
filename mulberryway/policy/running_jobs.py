"""A job that has started, with everything it holds."""

from mulberryway.policy import fair_queue
from mulberryway.policy import placements

__all__ = ["RunningJob"]

# A mean over fewer tokens says more about the network than the engine.
MIN_SAMPLE_TOKENS = 8


class RunningJob:
    """A started job.

    :param entry: its entry while it waited
    :param placement: where it runs
    :param now_ms: when it started
    """

    __slots__ = (
        "entry",
        "placement",
        "started_ms",
        "prefilled_ms",
        "first_token_ms",
        "tokens",
        "_sampled_tokens",
        "_sampled_ms",
    )

    def __init__(
        self,
        entry: fair_queue.QueueEntry,
        placement: placements.Placement,
        now_ms: int,
    ) -> None:
        self.entry = entry
        self.placement = placement
        self.started_ms = now_ms
        self.prefilled_ms: int | None = None
        self.first_token_ms: int | None = None
        self.tokens = 0
        self._sampled_tokens = 0
        self._sampled_ms = now_ms

    def is_suspect(self) -> bool:
        """Tell whether it runs as the only suspect on its upstreams."""
        return self.entry.lane is fair_queue.Lane.SUSPECT

    def record_first_token(self, now_ms: int) -> None:
        """Begin to measure the gaps between tokens.

        :param now_ms: the present
        """
        self.first_token_ms = now_ms
        self.tokens = max(self.tokens, 1)
        self._sampled_tokens = 1
        self._sampled_ms = now_ms

    def record_tokens(self, tokens: int, now_ms: int) -> float | None:
        """Count tokens.

        :param tokens: all tokens so far
        :param now_ms: the present
        :returns: the mean gap since the last result, once it says something
        """
        self.tokens = max(self.tokens, tokens)
        new_tokens = tokens - self._sampled_tokens
        if self.first_token_ms is None or new_tokens < MIN_SAMPLE_TOKENS:
            return None
        gap_ms = (now_ms - self._sampled_ms) / new_tokens
        self._sampled_tokens = tokens
        self._sampled_ms = now_ms
        return gap_ms

    def estimate_tokens(self, step_ms: float, now_ms: int) -> int:
        """Return how many tokens came, also if nobody counted them.

        :param step_ms: the usual time between tokens
        :param now_ms: the present
        :returns: a number of tokens
        """
        if self.first_token_ms is None:
            return self.tokens
        return max(self.tokens, int((now_ms - self.first_token_ms) / step_ms))

"""Holds the state of a started job."""

from mulberryway.policy import fair_queue
from mulberryway.policy import placements

__all__ = ["RunningJob"]

# A mean over fewer tokens depends more on the network than on the engine.
MIN_SAMPLE_TOKENS = 8


class RunningJob:
    """A started job with its placement and progress.

    :param entry: its queue entry
    :param placement: its placement
    :param now_ms: start time in milliseconds
    """

    __slots__ = (
        "entry",
        "placement",
        "started_ms",
        "prefilled_ms",
        "first_token_ms",
        "tokens",
        "output_ms",
        "broke_ms",
        "is_trial",
        "_is_suspect",
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
        # Time of its first output, also of a resumed stream; none before.
        self.output_ms: int | None = None
        # When its connection has broken; none before.
        self.broke_ms: int | None = None
        # Whether it is the trial of a quarantined part.
        self.is_trial = False
        self._is_suspect = entry.lane is fair_queue.Lane.SUSPECT
        self._sampled_tokens = 0
        self._sampled_ms = now_ms

    def is_suspect(self) -> bool:
        """Return whether it must be the only suspect on its upstreams."""
        return self._is_suspect

    def clear_suspicion(self) -> None:
        """Record that its engine has survived it."""
        self._is_suspect = False

    def record_first_token(self, now_ms: int) -> None:
        """Record the first token and start to measure inter-token gaps.

        :param now_ms: current time in milliseconds
        """
        self.first_token_ms = now_ms
        self.tokens = max(self.tokens, 1)
        self._sampled_tokens = 1
        self._sampled_ms = now_ms

    def record_tokens(self, tokens: int, now_ms: int) -> float | None:
        """Record how many tokens have arrived.

        :param tokens: total number of tokens so far
        :param now_ms: current time in milliseconds
        :returns: the mean inter-token gap since the last result in
            milliseconds, or none for too few tokens
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
        """Return the number of tokens, estimated where it was not recorded.

        :param step_ms: the typical inter-token gap in milliseconds
        :param now_ms: current time in milliseconds
        :returns: the larger of the recorded and the estimated number
        """
        if self.first_token_ms is None:
            return self.tokens
        return max(self.tokens, int((now_ms - self.first_token_ms) / step_ms))

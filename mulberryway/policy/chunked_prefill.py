"""Limits chunked prefills by the inter-token gap target of streams."""

__all__ = ["ChunkedPrefillBudget", "fits_gap_limit"]

# Allowance in an inter-token gap besides the decode step and the prefill: the
# latency from the engine through a VM to the caller varies by some
# milliseconds.
NETWORK_JITTER_MS = 10.0


def fits_gap_limit(run_ms: float, gap_limit_ms: float, step_ms: float) -> bool:
    """Return whether consecutive prefills fit into one inter-token gap.

    :param run_ms: total duration of the prefills
    :param gap_limit_ms: inter-token gap target in ms; 0 for no limit
    :param step_ms: typical decode step
    """
    return (
        not gap_limit_ms
        or run_ms + step_ms + NETWORK_JITTER_MS <= gap_limit_ms
    )


class ChunkedPrefillBudget:
    """Tracks the chunked prefills of one decode engine by all VMs.

    A decode engine computes a prompt in chunks between two decode steps of
    all its streams, so the inter-token gap of each stream grows by the whole
    prefill, or by two prefills that follow within one decode step.  Such
    prefills count as one run, whose duration is limited to the gap limit less
    the typical decode step.  The next run begins after each stream has had a
    decode step.
    """

    __slots__ = ("_run_ms", "_end_ms", "_recorded_ms", "_exceeded_ms")

    def __init__(self) -> None:
        self._run_ms = 0.0
        self._end_ms = 0.0
        self._recorded_ms = 0
        self._exceeded_ms: float | None = None

    def note(
        self,
        prefill_ms: float,
        gap_limit_ms: float,
        step_ms: float,
        streams: int,
        now_ms: int,
    ) -> None:
        """Record a chunked prefill.

        :param prefill_ms: its estimated uncontended duration
        :param gap_limit_ms: inter-token gap target in ms; 0 for no limit
        :param step_ms: typical decode step
        :param streams: number of streams that run on the engine
        :param now_ms: current time in milliseconds
        """
        if now_ms >= self._end_ms + step_ms:
            self._run_ms = 0.0
        self._run_ms += prefill_ms
        self._end_ms = max(self._end_ms, float(now_ms)) + prefill_ms
        self._recorded_ms = now_ms
        if streams and not fits_gap_limit(self._run_ms, gap_limit_ms, step_ms):
            self._exceeded_ms = self._end_ms

    def shift(self, drift_ms: float) -> None:
        """Move the estimated end of the current run.

        :param drift_ms: delay in milliseconds; negative for an earlier end
        """
        self._end_ms += drift_ms
        self._run_ms = max(self._run_ms + drift_ms, 0.0)

    def fits(
        self,
        prefill_ms: float,
        gap_limit_ms: float,
        step_ms: float,
        now_ms: int,
    ) -> bool:
        """Return whether a prefill now keeps all gaps within the limit.

        :param prefill_ms: its estimated uncontended duration
        :param gap_limit_ms: inter-token gap target in ms; 0 for no limit
        :param step_ms: typical decode step
        :param now_ms: current time in milliseconds
        """
        is_run_over = now_ms >= self._end_ms + step_ms
        run_ms = 0.0 if is_run_over else self._run_ms
        return fits_gap_limit(run_ms + prefill_ms, gap_limit_ms, step_ms)

    def get_open_since_ms(self, step_ms: float, now_ms: int) -> float:
        """Return the time since which another prefill was possible.

        :param step_ms: typical decode step
        :param now_ms: current time in milliseconds
        :returns: a time in milliseconds
        """
        next_run_ms = self._end_ms + step_ms
        return (
            next_run_ms if now_ms >= next_run_ms else float(self._recorded_ms)
        )

    def is_gap_exceeded(self, stream_ms: float, now_ms: int) -> bool:
        """Return whether current streams have already missed the gap limit.

        Another long prefill affects hardly any further stream then.

        :param stream_ms: typical duration of a stream; streams that run this
            long after the overlong run have begun after it
        :param now_ms: current time in milliseconds
        """
        exceeded_ms = self._exceeded_ms
        return exceeded_ms is not None and now_ms - exceeded_ms < stream_ms

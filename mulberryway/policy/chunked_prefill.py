"""How much a decode engine may read between the tokens of its streams."""

__all__ = ["ChunkedPrefillBudget", "fits_gap_limit"]

# What a pause has besides an event's usual time and the reading: the way from
# the engine through a VM to the caller varies by some milliseconds.
NETWORK_JITTER_MS = 10.0


def fits_gap_limit(run_ms: float, gap_limit_ms: float, step_ms: float) -> bool:
    """Tell whether a run of reads keeps a stream's pause on time.

    :param run_ms: how long the reads take together
    :param limit_ms: the longest pause that is on time; 0 for none
    :param event_ms: the usual time between two events of a stream
    """
    return (
        not gap_limit_ms
        or run_ms + step_ms + NETWORK_JITTER_MS <= gap_limit_ms
    )


class ChunkedPrefillBudget:
    """The reads of one decode engine, all VMs together.

    A decode engine reads a prompt in pieces between two tokens of all its
    streams (chunked prefill), so each of them pauses for the whole read, and
    for two reads that follow one another within one event's time.  So reads
    that follow one another count as one run, and a run may take what the
    longest pause that is on time leaves beside an event's usual time.  The
    next run begins when each stream has had an event in between.
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
        """Count a read.

        :param read_ms: how long it takes by itself
        :param limit_ms: the longest pause that is on time; 0 for none
        :param event_ms: the usual time between two events of a stream
        :param streams: how many streams run there
        :param now_ms: the present
        """
        if now_ms >= self._end_ms + step_ms:
            self._run_ms = 0.0
        self._run_ms += prefill_ms
        self._end_ms = max(self._end_ms, float(now_ms)) + prefill_ms
        self._recorded_ms = now_ms
        if streams and not fits_gap_limit(self._run_ms, gap_limit_ms, step_ms):
            self._exceeded_ms = self._end_ms

    def shift(self, drift_ms: float) -> None:
        """Take in that reads end earlier or later than was thought.

        :param drift_ms: by how much later; below zero for earlier
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
        """Tell whether a read now keeps all pauses on time.

        :param read_ms: how long it takes by itself
        :param limit_ms: the longest pause that is on time; 0 for none
        :param event_ms: the usual time between two events of a stream
        :param now_ms: the present
        """
        is_run_over = now_ms >= self._end_ms + step_ms
        run_ms = 0.0 if is_run_over else self._run_ms
        return fits_gap_limit(run_ms + prefill_ms, gap_limit_ms, step_ms)

    def get_open_since_ms(self, step_ms: float, now_ms: int) -> float:
        """Return since when the next read may have begun.

        :param event_ms: the usual time between two events of a stream
        :param now_ms: the present
        """
        next_run_ms = self._end_ms + step_ms
        return (
            next_run_ms if now_ms >= next_run_ms else float(self._recorded_ms)
        )

    def is_gap_exceeded(self, stream_ms: float, now_ms: int) -> bool:
        """Tell whether the streams that run there have paused too long.

        A further long read makes hardly any of them worse.

        :param stream_ms: how long a stream usually lasts; all that run after
            so long have begun after the read that was too long
        :param now_ms: the present
        """
        exceeded_ms = self._exceeded_ms
        return exceeded_ms is not None and now_ms - exceeded_ms < stream_ms

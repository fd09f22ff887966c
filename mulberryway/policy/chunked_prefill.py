"""How much a decode engine may read between the tokens of its streams."""

__all__ = ["ChunkedPrefillBudget", "fits_gap_limit"]

# What a pause has besides an event's usual time and the reading: the way from
# the engine through a VM to the caller varies by some milliseconds.
SPARE_MS = 10.0


def fits_gap_limit(run_ms: float, limit_ms: float, event_ms: float) -> bool:
    """Tell whether a run of reads keeps a stream's pause on time.

    :param run_ms: how long the reads take together
    :param limit_ms: the longest pause that is on time; 0 for none
    :param event_ms: the usual time between two events of a stream
    """
    return not limit_ms or run_ms + event_ms + SPARE_MS <= limit_ms


class ChunkedPrefillBudget:
    """The reads of one decode engine, all VMs together.

    A decode engine reads a prompt in pieces between two tokens of all its
    streams (chunked prefill), so each of them pauses for the whole read, and
    for two reads that follow one another within one event's time.  So reads
    that follow one another count as one run, and a run may take what the
    longest pause that is on time leaves beside an event's usual time.  The
    next run begins when each stream has had an event in between.
    """

    __slots__ = ("_run_ms", "_ends_ms", "_noted_ms", "_broken_ms")

    def __init__(self) -> None:
        self._run_ms = 0.0
        self._ends_ms = 0.0
        self._noted_ms = 0
        self._broken_ms: float | None = None

    def note(
        self,
        read_ms: float,
        limit_ms: float,
        event_ms: float,
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
        if now_ms >= self._ends_ms + event_ms:
            self._run_ms = 0.0
        self._run_ms += read_ms
        self._ends_ms = max(self._ends_ms, float(now_ms)) + read_ms
        self._noted_ms = now_ms
        if streams and not fits_gap_limit(self._run_ms, limit_ms, event_ms):
            self._broken_ms = self._ends_ms

    def shift(self, drift_ms: float) -> None:
        """Take in that reads end earlier or later than was thought.

        :param drift_ms: by how much later; below zero for earlier
        """
        self._ends_ms += drift_ms
        self._run_ms = max(self._run_ms + drift_ms, 0.0)

    def fits(
        self, read_ms: float, limit_ms: float, event_ms: float, now_ms: int
    ) -> bool:
        """Tell whether a read now keeps all pauses on time.

        :param read_ms: how long it takes by itself
        :param limit_ms: the longest pause that is on time; 0 for none
        :param event_ms: the usual time between two events of a stream
        :param now_ms: the present
        """
        has_rested = now_ms >= self._ends_ms + event_ms
        run_ms = 0.0 if has_rested else self._run_ms
        return fits_gap_limit(run_ms + read_ms, limit_ms, event_ms)

    def get_open_since_ms(self, event_ms: float, now_ms: int) -> float:
        """Return since when the next read may have begun.

        :param event_ms: the usual time between two events of a stream
        :param now_ms: the present
        """
        rested_ms = self._ends_ms + event_ms
        return rested_ms if now_ms >= rested_ms else float(self._noted_ms)

    def is_gap_exceeded(self, stream_ms: float, now_ms: int) -> bool:
        """Tell whether the streams that run there have paused too long.

        A further long read makes hardly any of them worse.

        :param stream_ms: how long a stream usually lasts; all that run after
            so long have begun after the read that was too long
        :param now_ms: the present
        """
        broken_ms = self._broken_ms
        return broken_ms is not None and now_ms - broken_ms < stream_ms

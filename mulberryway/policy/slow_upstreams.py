"""Which decode upstreams are slow, judged by the tokens they produce."""

import statistics

from mulberryway.policy import fair_queue
from mulberryway.policy import pool_upstreams
from mulberryway.policy import upstream_view

__all__ = ["SlowUpstreamDetector"]

MEDIAN_RATIO = 1.25
# An upstream that is just under the target misses it with the next stream.
TARGET_RATIO = 0.95
PROBE_MS = 30_000
MEDIAN_PERIOD_MS = 500
LAST_RESORT_MS = 60


class SlowUpstreamDetector:
    """Compares upstreams with their siblings.

    A slow upstream reports free slots like the others, and every stream on it
    misses the gap between tokens.  It counts as slow if it misses the target
    while its siblings do not; when all are slow there is nothing to choose.

    :param members: the upstreams of this router's cell
    :param token_gap_ms: the most time between tokens that is still good, for
        pools whose routes have no target
    """

    __slots__ = ("_members", "_token_gap_ms", "_median_ms", "_median_at_ms")

    def __init__(
        self, members: pool_upstreams.PoolUpstreams, token_gap_ms: int
    ) -> None:
        self._members = members
        self._token_gap_ms = token_gap_ms
        self._median_ms = upstream_view.STEP_MS
        self._median_at_ms: int | None = None

    def get_median_step_ms(self) -> float:
        """Return the time between tokens that is usual here."""
        return self._median_ms

    def is_slow(self, view: upstream_view.UpstreamView, now_ms: int) -> bool:
        """Tell whether an upstream is too slow.

        :param view: the upstream
        :param now_ms: the present
        :returns: whether it is avoided
        """
        self._refresh_median(now_ms)
        return view.step.value > max(
            (view.pause_ms or self._token_gap_ms) * TARGET_RATIO,
            self._median_ms * MEDIAN_RATIO,
        )

    def exclude_slow(
        self,
        usable: list[upstream_view.UpstreamView],
        entry: fair_queue.QueueEntry,
        now_ms: int,
    ) -> list[upstream_view.UpstreamView]:
        """Leave out the slow ones, but for a probe and as a last resort.

        :param usable: upstreams with a free slot
        :param entry: the job that wants one
        :param now_ms: the present
        :returns: those that the job may have
        """
        slow = [view for view in usable if self.is_slow(view, now_ms)]
        if not slow:
            return usable
        probe_due = [
            view for view in slow if now_ms - view.step_seen_ms >= PROBE_MS
        ]
        if probe_due:
            # Without a try now and then, a mended upstream stays unused.
            return probe_due
        not_slow = [view for view in usable if view not in slow]
        # A late answer is better than none: who would be refused in a moment
        # may have a slow upstream.
        if not not_slow and now_ms >= entry.latest_start_ms - LAST_RESORT_MS:
            return slow
        return not_slow

    def _refresh_median(self, now_ms: int) -> None:
        at_ms = self._median_at_ms
        if at_ms is not None and now_ms - at_ms < MEDIAN_PERIOD_MS:
            return
        self._median_at_ms = now_ms
        if self._members.decodes:
            self._median_ms = statistics.median_low(
                view.step.value for view in self._members.decodes
            )

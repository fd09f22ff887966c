"""Detects slow decode upstreams by their inter-token gaps."""

import statistics

from mulberryway.policy import fair_queue
from mulberryway.policy import pool_upstreams
from mulberryway.policy import upstream_view

__all__ = ["SlowUpstreamDetector"]

MEDIAN_RATIO = 1.25
# An upstream just below the target misses it with one more stream.
TARGET_RATIO = 0.95
PROBE_MS = 30_000
MEDIAN_PERIOD_MS = 500
LAST_RESORT_MS = 60


class SlowUpstreamDetector:
    """Compares each upstream's decode step with the median of the subset.

    A slow upstream reports free slots like the others, but every stream on it
    misses the inter-token gap target.  It counts as slow if it misses the
    target and is slower than the median; if all are slow, none is excluded.

    :param members: the upstreams of this router's subset
    :param token_gap_ms: inter-token gap target, in milliseconds,
        for pools whose routes have no target
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
        """Return the median decode step, in milliseconds."""
        return self._median_ms

    def is_slow(self, view: upstream_view.UpstreamView, now_ms: int) -> bool:
        """Return whether an upstream is too slow for new streams.

        :param view: the upstream
        :param now_ms: current time in milliseconds
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
        """Exclude slow upstreams, except for a probe or as a last resort.

        :param usable: upstreams with a free slot
        :param entry: the waiting job
        :param now_ms: current time in milliseconds
        :returns: the upstreams from which the job may choose
        """
        slow = [view for view in usable if self.is_slow(view, now_ms)]
        if not slow:
            return usable
        probe_due = [
            view for view in slow if now_ms - view.step_updated_ms >= PROBE_MS
        ]
        if probe_due:
            # Without a probe from time to time, a recovered upstream would
            # stay unused.
            return probe_due
        not_slow = [view for view in usable if view not in slow]
        # A slow response is better than none, so a job that is about to
        # expire may use a slow upstream.
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

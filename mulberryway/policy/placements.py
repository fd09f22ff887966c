"""Holds a job's possible placement and its estimated times."""

from mulberryway import tables
from mulberryway.policy import jobs
from mulberryway.policy import kv_growth
from mulberryway.policy import upstream_view

__all__ = [
    "NETWORK_OVERHEAD_MS",
    "DEADLINE_MARGIN_MS",
    "Placement",
    "estimate_growth",
    "estimate_kv_blocks",
    "compute_kv_bytes",
    "get_zone_pair",
]

# Latency of a request's network hops.
NETWORK_OVERHEAD_MS = 8.0
# Estimates are off by some tens of milliseconds when other routers' jobs are
# placed in between.  A job that starts with less time left mostly misses its
# deadline.
DEADLINE_MARGIN_MS = 30.0


class Placement:
    """A possible placement of a job with its estimated times.

    :param prefill: the upstream for the prefill
    :param decode: the upstream for the decode; none while only estimated
    :param tokens: prompt tokens that are not in the prefix cache
    :param prefill_ms: uncontended duration of the prefill
    :param ready_ms: estimated time when the prefill ends
    :param transfer_ms: duration of the KV cache transfer over the link
    :param first_token_ms: estimated time of the first token
    :param blocks: KV cache blocks that the decode uses
    :param stream: how the decode fills them
    :param drift_ms: the prefill upstream's drift at the start, see
        :class:`upstream_view.UpstreamView`
    """

    __slots__ = (
        "prefill",
        "decode",
        "tokens",
        "prefill_ms",
        "ready_ms",
        "transfer_ms",
        "first_token_ms",
        "blocks",
        "stream",
        "drift_ms",
    )

    def __init__(
        self,
        prefill: upstream_view.UpstreamView,
        tokens: float,
        prefill_ms: float,
        ready_ms: float,
    ) -> None:
        self.prefill = prefill
        self.decode: upstream_view.UpstreamView | None = None
        self.tokens = tokens
        self.prefill_ms = prefill_ms
        self.ready_ms = ready_ms
        self.transfer_ms = 0.0
        self.first_token_ms = ready_ms
        self.blocks = 0
        self.stream: kv_growth.StreamGrowth | None = None
        self.drift_ms = 0.0

    def describe(self, now_ms: int) -> dict[str, int | float | str]:
        """Return the inputs of the decision for logs.

        :param now_ms: current time in milliseconds
        :returns: free capacity after this start, waits and their inputs
        """
        decode = self.decode or self.prefill
        return {
            "blocks": self.blocks,
            "free_slots": decode.count_free_slots(now_ms),
            "free_blocks": decode.count_free_blocks(),
            "present_blocks": decode.estimate_present(now_ms),
            "prefill_ms": round(self.prefill_ms),
            "ready_in_ms": round(self.ready_ms - now_ms),
            "step_ms": round(decode.step.value, 1),
            "slowness": round(decode.estimate_slowness(now_ms), 2),
            "prefill_version": self.prefill.row.version,
            "decode_version": decode.row.version,
        }

    def is_aggregated(self) -> bool:
        """Return whether one upstream runs both prefill and decode."""
        return self.decode is self.prefill


def compute_kv_bytes(job: jobs.Job, pool: tables.Pool) -> int:
    """Return the size of a job's KV cache.

    :param job: the job
    :param pool: the pool's row
    :returns: bytes
    """
    return job.prompt_tokens * pool.kv_bytes_per_token


def estimate_kv_blocks(job: jobs.Job, pool: tables.Pool) -> int:
    """Return how many KV cache blocks a job may take on a decode engine.

    :param job: the job
    :param pool: the pool's row
    :returns: blocks for the prompt and the expected response, or for the
        longest response if no length is expected
    """
    expected = job.max_tokens
    if job.expected_tokens:
        expected = min(
            expected, int(job.expected_tokens * kv_growth.RESERVED_FRACTION)
        )
    tokens = job.prompt_tokens + expected
    return -(-tokens // max(pool.block_tokens, 1))


def estimate_growth(
    job: jobs.Job, pool: tables.Pool
) -> kv_growth.StreamGrowth:
    """Return how a job's KV cache grows on a decode engine.

    :param job: the job
    :param pool: the pool's row
    :returns: its blocks; without an expected length the final ones from its
        start
    """
    reserved = estimate_kv_blocks(job, pool)
    if not job.expected_tokens:
        return kv_growth.StreamGrowth(reserved, reserved)
    block_tokens = max(pool.block_tokens, 1)
    answer = min(job.expected_tokens, job.max_tokens)
    return kv_growth.StreamGrowth(
        -(-job.prompt_tokens // block_tokens),
        -(-(job.prompt_tokens + answer) // block_tokens),
        reserved,
    )


def get_zone_pair(
    prefill: upstream_view.UpstreamView, decode: upstream_view.UpstreamView
) -> tuple[str, str]:
    """Return the zones between which a KV cache is transferred.

    :param prefill: the upstream that computes it
    :param decode: the upstream that receives it
    :returns: the names of the source and the target zone
    """
    return prefill.row.zone, decode.row.zone

"""A possible start of a job: where it runs, and when what comes."""

from mulberryway import tables
from mulberryway.policy import jobs
from mulberryway.policy import upstream_view

__all__ = [
    "NETWORK_OVERHEAD_MS",
    "DEADLINE_MARGIN_MS",
    "Placement",
    "estimate_kv_blocks",
    "compute_kv_bytes",
    "get_zone_pair",
]

# What the hops of a request cost.
NETWORK_OVERHEAD_MS = 8.0
# Estimates are off by some tens of milliseconds when other routers' work
# comes in between; a start that has less to spare mostly comes too late.
DEADLINE_MARGIN_MS = 30.0

# Answers that began together in a burst grow together, so nearly all of their
# length is in memory at the same time.  Measured over two calm and two heavy
# days: with 0.5 of it, 4 to 5 in 100 of all worth were lost by prompts read
# in vain, with 0.7 2 to 3, with 0.9 under 1; what waits longer costs less.
EXPECTED_LENGTH_FRACTION = 0.9


class Placement:
    """A possible start of a job.

    :param prefill: the upstream for the prefill
    :param decode: the upstream for the decode; none while only estimated
    :param tokens: prompt tokens that are not in the prefix cache
    :param prefill_ms: how long the prefill takes by itself
    :param ready_ms: when the prefill probably ends
    :param transfer_ms: how long the KV cache takes over the link
    :param first_token_ms: when the first token probably comes
    :param blocks: KV cache blocks that the decode takes
    :param shifted_ms: see :class:`views.UpstreamView`, at the start
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
        self.drift_ms = 0.0

    def describe(self, now_ms: int) -> dict[str, int | float | str]:
        """Return what decided, for logs.

        :param now_ms: the present
        :returns: free room after this start, waits and what they rest on
        """
        decode = self.decode or self.prefill
        return {
            "blocks": self.blocks,
            "free_slots": decode.count_free_slots(now_ms),
            "free_blocks": decode.count_free_blocks(),
            "prefill_ms": round(self.prefill_ms),
            "ready_in_ms": round(self.ready_ms - now_ms),
            "step_ms": round(decode.step.value, 1),
        }

    def is_aggregated(self) -> bool:
        """Tell whether one upstream does the prefill and the decode."""
        return self.decode is self.prefill


def compute_kv_bytes(job: jobs.Job, pool: tables.Pool) -> int:
    """Return the size of a job's KV cache.

    :param job: the job
    :param pool: the pool's row
    :returns: bytes
    """
    return job.prompt_tokens * pool.kv_bytes_per_token


def estimate_kv_blocks(job: jobs.Job, pool: tables.Pool) -> int:
    """Return how much of a decode engine's memory a job may take.

    :param job: the job
    :param pool: the pool's row
    :returns: KV cache blocks, for the prompt and the longest answer
    """
    expected = job.max_tokens
    if job.expected_tokens:
        expected = min(
            expected, int(job.expected_tokens * EXPECTED_LENGTH_FRACTION)
        )
    tokens = job.prompt_tokens + expected
    return -(-tokens // max(pool.block_tokens, 1))


def get_zone_pair(
    prefill: upstream_view.UpstreamView, decode: upstream_view.UpstreamView
) -> tuple[str, str]:
    """Return the zones between which a KV cache travels.

    :param prefill: where it is made
    :param decode: where it goes
    :returns: the zones' names
    """
    return prefill.row.zone, decode.row.zone

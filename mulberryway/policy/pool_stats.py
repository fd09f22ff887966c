"""Throughput and job costs of a pool, learned from its completed jobs."""

from mulberryway.policy import health
from mulberryway.policy import jobs

__all__ = ["PoolStats", "PREFILL_TOKEN_COST"]

# A prompt token takes a prefill engine about one twentieth of the time that an
# output token takes a decode engine with twenty slots.
PREFILL_TOKEN_COST = 0.05
# Initial estimates, used until responses have been observed.
OUTPUT_TOKENS = 300.0
INITIAL_SLOT_TIME_MS = 11_000.0
MAX_ACCOUNTS = 5_000
MIN_RETRY_MS = 200
MAX_RETRY_MS = 10_000


class PoolStats:
    """Moving averages over the jobs of one pool."""

    __slots__ = ("hold_ms", "cost", "_output_lengths")

    def __init__(self) -> None:
        self.hold_ms = health.Ewma(INITIAL_SLOT_TIME_MS, 0.05)
        self.cost = health.Ewma(OUTPUT_TOKENS, 0.05)
        self._output_lengths: dict[str, health.Ewma] = {}

    def estimate_cost(self, job: jobs.Job, prompt_tokens: float) -> float:
        """Return the expected cost of a job, in tokens.

        The maximum number of output tokens is a poor estimate, because
        callers request far more than they get.  The length of the account's
        earlier responses is a better one.

        :param job: the job
        :param prompt_tokens: prompt tokens that have to be computed
        :returns: cost in tokens
        """
        output = self._output_lengths.get(job.account)
        expected = output.value if output is not None else OUTPUT_TOKENS
        return self.sum_cost(prompt_tokens, min(expected, job.max_tokens))

    @staticmethod
    def sum_cost(prompt_tokens: float, output_tokens: float) -> float:
        """Return the cost of known numbers of tokens.

        :param prompt_tokens: prompt tokens computed
        :param output_tokens: tokens generated
        :returns: cost in tokens, at least 1
        """
        return max(prompt_tokens * PREFILL_TOKEN_COST + output_tokens, 1.0)

    def record_job(
        self, account: str, cost: float, tokens: int, hold_ms: int
    ) -> None:
        """Update the averages with a completed job.

        :param account: name of the client account
        :param cost: cost of the job in tokens
        :param tokens: output tokens of its response
        :param hold_ms: time in ms for which it occupied its slot
        """
        self.cost.note(cost)
        self.hold_ms.note(hold_ms)
        output = self._output_lengths.get(account)
        if output is None:
            if len(self._output_lengths) >= MAX_ACCOUNTS:
                self._output_lengths.clear()
            output = self._output_lengths[account] = health.Ewma(OUTPUT_TOKENS)
        output.note(tokens)

    def estimate_throughput(self, slots: int) -> float:
        """Return the throughput of a pool whose slots are all in use.

        :param slots: number of slots
        :returns: tokens of cost per millisecond
        """
        return max(slots, 1) / self.hold_ms.value * self.cost.value

    def clamp_retry_ms(self, wait_ms: float) -> int:
        """Return the time until a retry is useful.

        :param wait_ms: expected queue wait in ms
        :returns: time in ms between ``MIN_RETRY_MS`` and ``MAX_RETRY_MS``
        """
        return int(min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS))

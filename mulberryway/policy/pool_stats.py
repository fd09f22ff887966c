"""How fast a pool takes jobs and what they cost, learned from its own work."""

from mulberryway.policy import health
from mulberryway.policy import jobs

__all__ = ["PoolStats", "PREFILL_TOKEN_COST"]

# A prompt token takes a prefill engine about a twentieth of the time which
# an output token takes a decode engine with twenty slots.
PREFILL_TOKEN_COST = 0.05
# Assumed until answers have been seen.
OUTPUT_TOKENS = 300.0
INITIAL_SLOT_TIME_MS = 11_000.0
MAX_ACCOUNTS = 5_000
MIN_RETRY_MS = 200
MAX_RETRY_MS = 10_000


class PoolStats:
    """Means over the jobs of one pool."""

    __slots__ = ("hold_ms", "cost", "_outputs")

    def __init__(self) -> None:
        self.hold_ms = health.Ewma(INITIAL_SLOT_TIME_MS, 0.05)
        self.cost = health.Ewma(OUTPUT_TOKENS, 0.05)
        self._outputs: dict[str, health.Ewma] = {}

    def estimate_cost(self, job: jobs.Job, prompt_tokens: float) -> float:
        """Return what a job will probably cost, in tokens.

        The most that may be generated says little: callers ask for far more
        than they get.  What the account's answers took before is nearer.

        :param job: the job
        :param prompt_tokens: prompt tokens that have to be computed
        :returns: tokens
        """
        output = self._outputs.get(job.account)
        expected = output.value if output is not None else OUTPUT_TOKENS
        return self.sum_cost(prompt_tokens, min(expected, job.max_tokens))

    @staticmethod
    def sum_cost(prompt_tokens: float, output_tokens: float) -> float:
        """Return the cost of known numbers of tokens.

        :param prompt_tokens: prompt tokens computed
        :param output_tokens: tokens generated
        :returns: the cost in tokens, at least one
        """
        return max(prompt_tokens * PREFILL_TOKEN_COST + output_tokens, 1.0)

    def record_job(
        self, account: str, cost: float, tokens: int, hold_ms: int
    ) -> None:
        """Learn from a job that ran to its end.

        :param account: the client account
        :param cost: what it cost
        :param tokens: the tokens of its answer
        :param hold_ms: for how long it held its slot
        """
        self.cost.note(cost)
        self.hold_ms.note(hold_ms)
        output = self._outputs.get(account)
        if output is None:
            if len(self._outputs) >= MAX_ACCOUNTS:
                self._outputs.clear()
            output = self._outputs[account] = health.Ewma(OUTPUT_TOKENS)
        output.note(tokens)

    def estimate_throughput(self, slots: int) -> float:
        """Return how fast full slots work, in tokens of cost.

        :param slots: how many slots there are
        :returns: tokens a millisecond
        """
        return max(slots, 1) / self.hold_ms.value * self.cost.value

    def clamp_retry_ms(self, wait_ms: float) -> int:
        """Return when a repeat makes sense.

        :param wait_ms: how long it would have waited now
        :returns: milliseconds within sensible limits
        """
        return int(min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS))

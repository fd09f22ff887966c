"""Defines the scheduler's inputs and results."""

import enum

from mulberryway import clock
from mulberryway import errors
from mulberryway.policy import ranks

__all__ = [
    "Assignment",
    "DispatchResult",
    "Job",
    "JobOutcome",
    "Refusal",
]


class Job:
    """A model request that needs a prefill and a decode.

    :param job_id: identifier that is unique in this process
    :param account: the client account's name
    :param weight: the account's weight for fair queueing
    :param pool: the pool's name
    :param model: the model's name
    :param prompt_tokens: estimated length of the prompt
    :param max_tokens: maximum number of tokens to generate
    :param prefix_hashes: hashes of the prompt's blocks, each of which also
        covers all preceding blocks
    :param body_bytes: the body's size, for the queue's limit
    :param arrived_ms: time of arrival, in milliseconds
    :param deadline: deadline for the first token
    :param attempt: 0 for the first attempt; increases with each retry at
        another upstream
    :param excluded_upstreams: names of upstreams at which it failed
    :param digest: identifies account, model and body, see ``policy.poison``;
        empty where identical requests need not be recognized
    :param expected_tokens: expected length of the response in tokens; 0 where
        only the maximum is known
    :param first_token_target_ms: latest time at which the first token meets
        its target, in milliseconds; 0 for no target besides the deadline
    :param is_retry_safe: whether it may be sent to another upstream even if it
        may have been executed at the first
    :param required_version: the software version that wrote the first events
        of its stream, without which it cannot be decoded; none for any
    :param part_keys: keys of the prompt's parts that other requests may share,
        see ``policy.part_quarantine``
    :param rank: its rank under overload; 0 is the highest
    :param pool_ranks: the ranks that jobs of its pool can have
    :param caller_deadline: when its caller stops waiting; none if that is
        the deadline for the first token
    """

    __slots__ = (
        "job_id",
        "account",
        "weight",
        "pool",
        "model",
        "prompt_tokens",
        "max_tokens",
        "prefix_hashes",
        "body_bytes",
        "arrived_ms",
        "deadline",
        "attempt",
        "excluded_upstreams",
        "digest",
        "expected_tokens",
        "first_token_target_ms",
        "is_retry_safe",
        "required_version",
        "part_keys",
        "rank",
        "pool_ranks",
        "caller_deadline",
    )

    def __init__(
        self,
        job_id: str,
        account: str,
        weight: int,
        pool: str,
        model: str,
        prompt_tokens: int,
        max_tokens: int,
        prefix_hashes: tuple[str, ...],
        body_bytes: int,
        arrived_ms: int,
        deadline: clock.Deadline,
        attempt: int = 0,
        excluded_upstreams: frozenset[str] = frozenset(),
        digest: str = "",
        expected_tokens: int = 0,
        first_token_target_ms: int = 0,
        is_retry_safe: bool = False,
        required_version: str | None = None,
        part_keys: tuple[str, ...] = (),
        rank: int = ranks.DEFAULT_RANK,
        pool_ranks: ranks.PoolRanks = ranks.SINGLE_RANK,
        caller_deadline: clock.Deadline | None = None,
    ) -> None:
        self.rank = rank
        self.pool_ranks = pool_ranks
        self.caller_deadline = caller_deadline or deadline
        self.part_keys = part_keys
        self.is_retry_safe = is_retry_safe
        self.required_version = required_version
        self.job_id = job_id
        self.account = account
        self.weight = weight
        self.pool = pool
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.prefix_hashes = prefix_hashes
        self.body_bytes = body_bytes
        self.arrived_ms = arrived_ms
        self.deadline = deadline
        self.attempt = attempt
        self.excluded_upstreams = excluded_upstreams
        self.digest = digest
        self.expected_tokens = expected_tokens
        self.first_token_target_ms = first_token_target_ms

    @property
    def request_id(self) -> str:
        """The request that it is an attempt of."""
        return self.job_id.rpartition("-")[0] or self.job_id

    def compute_queue_rank(self) -> int:
        """Return how many ranks below the highest of its pool it is queued.

        A resumed stream is not put behind: its caller has its beginning.
        """
        if not self.pool_ranks.differ or self.required_version is not None:
            return 0
        return ranks.compute_queue_rank(
            self.rank, self.pool_ranks, self.request_id
        )


class Assignment:
    """The placement of a job that may start; its decode slot is reserved.

    :param job_id: the job
    :param prefill: the name of the upstream for the prefill
    :param decode: the name of the upstream whose slot is reserved
    :param priority: priority for the engines; 0 is the highest
    :param ready_in_ms: estimated time until the prefill ends; 0 if unknown
    :param kv_tokens: KV cache tokens to reserve for the decode; 0 for none
    """

    __slots__ = (
        "job_id",
        "prefill",
        "decode",
        "priority",
        "ready_in_ms",
        "kv_tokens",
        "inputs",
    )

    def __init__(
        self,
        job_id: str,
        prefill: str,
        decode: str,
        priority: int = 0,
        ready_in_ms: int = 0,
        kv_tokens: int = 0,
    ) -> None:
        self.kv_tokens = kv_tokens
        self.job_id = job_id
        self.prefill = prefill
        self.decode = decode
        self.priority = priority
        self.ready_in_ms = ready_in_ms
        # Inputs of the decision and the age of peers' data, for logs only.
        self.inputs: dict[str, int | float | str] = {}


class Refusal:
    """A job that was rejected before it ran.

    :param job_id: the job
    :param fault: always with run ``NOT_RUN``
    """

    __slots__ = ("job_id", "fault")

    def __init__(self, job_id: str, fault: errors.Fault) -> None:
        self.job_id = job_id
        self.fault = fault


class DispatchResult:
    """The decisions about waiting jobs.

    :param assignments: jobs that start now
    :param refusals: jobs that are rejected now
    :param wake_ms: latest time of the next call; none if no job waits
    """

    __slots__ = ("assignments", "refusals", "wake_ms")

    def __init__(
        self,
        assignments: list[Assignment],
        refusals: list[Refusal],
        wake_ms: int | None,
    ) -> None:
        self.assignments = assignments
        self.refusals = refusals
        self.wake_ms = wake_ms


class JobOutcome(enum.Enum):
    """The outcome of a started job.

    ``DIED``: the connection to the upstream broke during the request, which
    may have crashed it.  ``FAILED``: the upstream responded with an error and
    so still runs.  ``UNREACHED``: no connection could be opened, so the
    upstream never received the request.
    """

    DONE = "done"
    CANCELLED = "cancelled"
    REFUSED_BY_ENGINE = "refused_by_engine"
    FAILED = "failed"
    DIED = "died"
    UNREACHED = "unreached"
    TIMED_OUT = "timed_out"

"""What the decisions under load are asked, and what they answer."""

import enum

from mulberryway import clock
from mulberryway import errors

__all__ = [
    "Assignment",
    "DispatchResult",
    "Job",
    "JobOutcome",
    "Refusal",
]


class Job:
    """One model request that wants a prefill and a decode.

    :param job_id: unique in this process
    :param account: the client account's name
    :param weight: the account's part when not all can be served
    :param pool: the pool's name
    :param model: the model's name
    :param prompt_tokens: an estimate of the prompt's length
    :param max_tokens: the most that may be generated
    :param prefix_hashes: hashes of the prompt's blocks, each over all that
        precedes it as well
    :param body_bytes: the body's size, for the limit on what waits
    :param arrived_ms: when it came
    :param deadline: when its first token is too late
    :param attempt: 0 at first; counts up as it moves to other upstreams
    :param excluded_upstreams: names of upstreams that failed it
    :param digest: names account, model and body, see ``policy.poison``;
        empty where repeats need not be recognised
    :param expected_tokens: how many tokens the answer probably has; 0 where
        the most that may be generated is all that is known
    :param first_token_target_ms: until when the first token is on time; 0
        where only the deadline counts
    :param is_retry_safe: whether it may go to another upstream even if it may
        have run at the first
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
    ) -> None:
        self.is_retry_safe = is_retry_safe
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


class Assignment:
    """A job may start: its decode slot is reserved.

    :param job_id: the job
    :param prefill: the name of the upstream for the prefill
    :param decode: the name of the upstream whose slot is reserved
    :param priority: what the engines are told; 0 goes first
    :param ready_in_ms: after how long the prefill probably ends; 0 unknown
    :param kv_tokens: tokens of KV cache that the decode takes; 0 unknown
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
        # What decided, with its age where it has one; for logs only.
        self.inputs: dict[str, int | float | str] = {}


class Refusal:
    """A job that was given up before it ran.

    :param job_id: the job
    :param fault: always with run ``NOT_RUN``
    """

    __slots__ = ("job_id", "fault")

    def __init__(self, job_id: str, fault: errors.Fault) -> None:
        self.job_id = job_id
        self.fault = fault


class DispatchResult:
    """What has been decided for waiting jobs.

    :param assignments: jobs that start now
    :param refusals: jobs that are given up now
    :param wake_ms: when to ask again at the latest; none if nothing waits
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
    """How a job that had started came to its end.

    ``DIED`` is for an upstream whose connection broke in the middle: the
    request may be what killed it.  ``FAILED`` is for an upstream that
    answered with an error, and so still lives.  ``UNREACHED`` is for one to
    which no connection could be made: it never saw the request.
    """

    DONE = "done"
    CANCELLED = "cancelled"
    REFUSED_BY_ENGINE = "refused_by_engine"
    FAILED = "failed"
    DIED = "died"
    UNREACHED = "unreached"
    TIMED_OUT = "timed_out"

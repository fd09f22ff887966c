"""Admission control: rejects jobs that cannot meet their deadlines."""

from mulberryway import errors
from mulberryway import tables
from mulberryway.policy import fair_queue
from mulberryway.policy import job_placement
from mulberryway.policy import jobs
from mulberryway.policy import peer_accounts
from mulberryway.policy import placements
from mulberryway.policy import pool_stats

__all__ = ["Admission"]

# A job below the highest rank is refused when others of its rank or higher
# ones have waited for this fraction of the time until its target.  The queue
# goes on growing for as long as the oldest job has waited.
MAX_WAITED_FRACTION = 0.5
# Divides estimated waits.  The estimate is rough, and a wrong rejection loses
# a job that would have been served, so only clearly too long waits count.
WAIT_TOLERANCE = 1.5


class Admission:
    """Estimates whether a job's first token can meet its deadline.

    A job that is cancelled only at its deadline leaves its caller no time to
    try elsewhere, and has delayed other jobs.  So it is rejected at once,
    before it runs, with a retry hint.

    :param queue: fair queue of the pool
    :param placer: placer of the pool
    :param peers: account state received from peers
    :param stats: statistics of the pool
    """

    __slots__ = ("_queue", "_placer", "_peers", "_stats")

    def __init__(
        self,
        queue: fair_queue.FairQueue,
        placer: job_placement.Placer,
        peers: peer_accounts.PeerAccounts,
        stats: pool_stats.PoolStats,
    ) -> None:
        self._queue = queue
        self._placer = placer
        self._peers = peers
        self._stats = stats

    def check_capacity(self, job: jobs.Job, rank: int) -> errors.Fault | None:
        """Reject a job that exceeds the queue capacity.

        :param job: the job
        :param rank: its queue rank
        :returns: the fault, or None if there is capacity, at least in place
            of jobs of lower ranks
        """
        if self._queue.list_displaceable(job, rank) is not None:
            return None
        return make_rejection(
            errors.Code.OVERLOADED,
            job,
            "the queue is full",
            self._stats.clamp_retry_ms(self._stats.hold_ms.value / 4),
        )

    def compute_latest_start_ms(
        self,
        job: jobs.Job,
        best: placements.Placement,
        pool: tables.Pool,
    ) -> int:
        """Return the latest time at which a job can start.

        :param job: the job
        :param best: the best prefill placement available now
        :param pool: table row of the pool
        :returns: time in ms, possibly in the past
        """
        transfer_ms = (
            job.prompt_tokens
            * pool.kv_bytes_per_token
            * 1_000
            / max(pool.link_bytes_per_s, 1)
        )
        needed_ms = (
            best.prefill_ms
            + transfer_ms
            + self._placer.slowness.get_median_step_ms()
            + placements.NETWORK_OVERHEAD_MS
            + placements.DEADLINE_MARGIN_MS
        )
        return int(job.deadline.at_ms - needed_ms)

    def check_deadline(
        self,
        job: jobs.Job,
        best: placements.Placement,
        latest_ms: int,
        now_ms: int,
        rank: int = 0,
        headroom: int = 0,
    ) -> errors.Fault | None:
        """Reject a job whose first token would miss its deadline.

        :param job: the job
        :param best: the best prefill placement available now
        :param latest_ms: latest start time in ms
        :param now_ms: current time in ms
        :param rank: its queue rank
        :param headroom: free slots that its rank has to leave
        :returns: the fault, or None if the job can be admitted
        """
        if now_ms > latest_ms:
            return make_rejection(
                errors.Code.DEADLINE_EXCEEDED,
                job,
                "the prefill would take longer than the deadline allows",
            )
        queue_ms = best.ready_ms - best.prefill_ms - now_ms
        limit_wait_ms = self._placer.get_limit_wait_ms(job, now_ms)
        wait_ms = max(
            queue_ms,
            self._estimate_slot_wait_ms(job, now_ms, rank, headroom),
            limit_wait_ms,
        )
        if now_ms + wait_ms <= latest_ms:
            return self._check_waited(job, now_ms, rank, headroom)
        fault = make_rejection(
            errors.Code.OVERLOADED,
            job,
            "no engine accepts requests before the deadline"
            if now_ms + limit_wait_ms > latest_ms
            else "the first token would miss its deadline",
            self._stats.clamp_retry_ms(wait_ms),
        )
        fault.inputs = {
            "wait_ms": round(wait_ms),
            "left_ms": latest_ms - now_ms,
            "waiting": len(self._queue),
            "free_slots": self._placer.estimate_free_slots(now_ms),
            "limit_wait_ms": limit_wait_ms,
        }
        return fault

    def _check_waited(
        self, job: jobs.Job, now_ms: int, rank: int, headroom: int
    ) -> errors.Fault | None:
        """Reject a job of a lower rank whose rank already waits too long.

        How much of the throughput higher ranks will take cannot be estimated
        by a VM that sees few requests, but how long jobs wait is observed.
        """
        left_ms = job.first_token_target_ms - now_ms
        if not rank or job.attempt or left_ms <= 0:
            return None
        free = self._placer.estimate_free_slots(now_ms) - headroom
        if free > self._queue.count_requiring(None, rank):
            return None
        waited_ms = self._get_oldest_ms(rank, now_ms)
        if waited_ms <= left_ms * MAX_WAITED_FRACTION:
            return None
        fault = make_rejection(
            errors.Code.OVERLOADED,
            job,
            "jobs of its rank or higher ones wait too long",
            self._stats.clamp_retry_ms(waited_ms),
        )
        fault.inputs = {
            "oldest_ms": waited_ms,
            "left_ms": left_ms,
            "waiting": len(self._queue),
            "free_slots": free,
        }
        return fault

    def _get_oldest_ms(self, rank: int, now_ms: int) -> int:
        """Return how long the pool's jobs of a rank or higher ones waited."""
        states = map(self._queue.get_rank, range(rank + 1))
        entries = (state.find_oldest() for state in states if state)
        return max(
            self._peers.ranks.get_oldest_ms(rank, now_ms),
            *(now_ms - entry.job.arrived_ms for entry in entries if entry),
            0,
        )

    def _estimate_slot_wait_ms(
        self, job: jobs.Job, now_ms: int, rank: int, headroom: int
    ) -> float:
        # In virtual time a job waits until the account's start is reached.
        # Virtual time advances by the pool's throughput divided by the
        # waiting weights.  This takes constant time for any number of waiting
        # jobs or accounts.
        #
        # Jobs of higher ranks all precede it, those of lower ranks do not.
        #
        # Jobs that require a software version and others wait for different
        # slots, so neither are counted for the other.
        version = job.required_version
        free = self._placer.estimate_free_slots(now_ms, version) - headroom
        if free > self._queue.count_requiring(version, rank):
            return 0.0
        state = self._queue.find_account(job.account, job.weight)
        lanes = state.get_lanes(rank)
        resumed = lanes[fair_queue.Lane.RESUMED]
        own = sum(
            estimate_lane_cost(lane)
            for lane in lanes
            if (lane is resumed) is (version is not None)
        )
        start = self._queue.get_virtual_start(job.account) + own / state.weight
        distance = max(start - self._queue.virtual_time, 0.0)
        same = self._queue.get_rank(rank)
        weights = (
            same.weight if same is not None else 0
        ) + self._peers.sum_waiting_weight(now_ms, rank)
        higher = (
            self._queue.sum_cost_above(rank)
            + self._peers.count_above(rank, now_ms) * self._stats.cost.value
        )
        throughput = self._stats.estimate_throughput(
            self._placer.count_slots(version)
        )
        cost = higher + distance * max(weights, state.weight)
        return cost / throughput / WAIT_TOLERANCE


def estimate_lane_cost(lane: dict[str, fair_queue.QueueEntry]) -> float:
    """Return the approximate cost of a lane's jobs.

    :param lane: the lane
    :returns: cost in tokens; uses the first entry's cost for all entries, so
        that the time taken does not grow with the lane
    """
    first = next(iter(lane.values()), None)
    return first.cost * len(lane) if first is not None else 0.0


def make_rejection(
    code: errors.Code,
    job: jobs.Job,
    message: str,
    retry_after_ms: int | None = None,
) -> errors.Fault:
    """Return a fault for a job that has not run.

    :param code: the error code
    :param job: the job
    :param message: one human-readable sentence
    :param retry_after_ms: time in ms until a retry is useful, or None if a
        retry cannot succeed
    :returns: the fault
    """
    return errors.Fault(
        code,
        errors.Step.QUEUE,
        job.pool,
        errors.ExecutionStatus.NOT_RUN,
        message,
        retry_after_ms,
    )

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

    def check_capacity(self, job: jobs.Job) -> errors.Fault | None:
        """Reject a job that exceeds the queue capacity.

        :param job: the job
        :returns: the fault, or None if there is capacity
        """
        if self._queue.has_room(job):
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
    ) -> errors.Fault | None:
        """Reject a job whose first token would miss its deadline.

        :param job: the job
        :param best: the best prefill placement available now
        :param latest_ms: latest start time in ms
        :param now_ms: current time in ms
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
            self._estimate_slot_wait_ms(job, now_ms),
            limit_wait_ms,
        )
        if now_ms + wait_ms <= latest_ms:
            return None
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

    def _estimate_slot_wait_ms(self, job: jobs.Job, now_ms: int) -> float:
        # In virtual time a job waits until the account's start is reached.
        # Virtual time advances by the pool's throughput divided by the
        # waiting weights.  This takes constant time for any number of waiting
        # jobs or accounts.
        #
        # Jobs that require a software version and others wait for different
        # slots, so neither are counted for the other.
        version = job.required_version
        free = self._placer.estimate_free_slots(now_ms, version)
        if free > self._queue.count_requiring(version):
            return 0.0
        state = self._queue.find_account(job.account, job.weight)
        resumed = state.lanes[fair_queue.Lane.RESUMED]
        own = sum(
            estimate_lane_cost(lane)
            for lane in state.lanes
            if (lane is resumed) is (version is not None)
        )
        start = self._queue.get_virtual_start(job.account) + own / state.weight
        distance = max(start - self._queue.virtual_time, 0.0)
        weights = self._queue.weight_waiting + self._peers.sum_waiting_weight(
            now_ms
        )
        throughput = self._stats.estimate_throughput(
            self._placer.count_slots(version)
        )
        return (
            distance * max(weights, state.weight) / throughput / WAIT_TOLERANCE
        )


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

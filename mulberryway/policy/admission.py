"""Which jobs are refused as soon as they come."""

from mulberryway import errors
from mulberryway import tables
from mulberryway.policy import fair_queue
from mulberryway.policy import job_placement
from mulberryway.policy import jobs
from mulberryway.policy import peer_accounts
from mulberryway.policy import placements
from mulberryway.policy import pool_stats

__all__ = ["Admission"]

# A wait is a rough guess; who would be refused on it in vain would have been
# served, so only a wait that is clearly too long counts.
WAIT_TOLERANCE = 1.5


class Admission:
    """Estimates whether a job's first token could come in time.

    A job that waits until its deadline and is given up then has cost its
    caller the time in which it could have gone elsewhere, and has held up
    others.  So it is refused at once, not run, with a retry hint.

    :param fair: the pool's queue
    :param placer: the pool's placer
    :param peers: what peers told
    :param stats: the pool's meters
    """

    __slots__ = ("_fair", "_placer", "_peers", "_meters")

    def __init__(
        self,
        fair: fair_queue.FairQueue,
        placer: job_placement.Placer,
        peers: peer_accounts.PeerAccounts,
        stats: pool_stats.PoolStats,
    ) -> None:
        self._fair = fair
        self._placer = placer
        self._peers = peers
        self._meters = stats

    def check_capacity(self, job: jobs.Job) -> errors.Fault | None:
        """Refuse what does not fit into the waiting room.

        :param job: the job
        :returns: the fault, or none
        """
        if self._fair.has_room(job):
            return None
        return make_rejection(
            errors.Code.OVERLOADED,
            job,
            "too much is waiting",
            self._meters.clamp_retry_ms(self._meters.hold_ms.value / 4),
        )

    def compute_latest_start_ms(
        self,
        job: jobs.Job,
        best: placements.Placement,
        pool: tables.Pool,
    ) -> int:
        """Return when a job has to start so as to be in time.

        :param job: the job
        :param best: the best prefill it could get now
        :param pool: the pool's row
        :returns: a time in milliseconds, possibly past
        """
        carry_ms = (
            job.prompt_tokens
            * pool.kv_bytes_per_token
            * 1_000
            / max(pool.link_bytes_per_s, 1)
        )
        needed_ms = (
            best.prefill_ms
            + carry_ms
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
        """Refuse a job whose first token could not come in time.

        :param job: the job
        :param best: the best prefill it could get now
        :param latest_ms: when it has to start
        :param now_ms: the present
        :returns: the fault, or none
        """
        if now_ms > latest_ms:
            return make_rejection(
                errors.Code.DEADLINE_EXCEEDED,
                job,
                "the prompt takes longer than the deadline allows",
            )
        queue_ms = best.ready_ms - best.prefill_ms - now_ms
        wait_ms = max(queue_ms, self._estimate_slot_wait_ms(job, now_ms))
        if now_ms + wait_ms <= latest_ms:
            return None
        fault = make_rejection(
            errors.Code.OVERLOADED,
            job,
            "the first token could not come in time",
            self._meters.clamp_retry_ms(wait_ms),
        )
        fault.inputs = {
            "wait_ms": round(wait_ms),
            "left_ms": latest_ms - now_ms,
            "waiting": len(self._fair),
            "free_slots": self._placer.estimate_free_slots(now_ms),
        }
        return fault

    def _estimate_slot_wait_ms(self, job: jobs.Job, now_ms: int) -> float:
        # In virtual time a job waits until the account's start is reached;
        # virtual time moves by the pool's speed over the waiting weights.
        # This takes constant time however many jobs or accounts wait.
        if self._placer.estimate_free_slots(now_ms) > len(self._fair):
            return 0.0
        state = self._fair.find_account(job.account, job.weight)
        own = sum(estimate_lane_cost(lane) for lane in state.lanes)
        start = self._fair.get_virtual_start(job.account) + own / state.weight
        ahead = max(start - self._fair.virtual_time, 0.0)
        weights = self._fair.weight_waiting + self._peers.sum_waiting_weight(
            now_ms
        )
        speed = self._meters.estimate_throughput(self._placer.count_slots())
        return ahead * max(weights, state.weight) / speed / WAIT_TOLERANCE


def estimate_lane_cost(lane: dict[str, fair_queue.QueueEntry]) -> float:
    """Return about what the jobs of a lane cost together.

    :param lane: the lane
    :returns: tokens; the first entry's cost stands for all, so that the
        time taken does not grow with the lane
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

    :param code: the code
    :param job: the job
    :param message: one sentence for people
    :param retry_after_ms: when a repeat makes sense; none if it cannot help
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

"""What is learned, and let go, when a started job comes to its end."""

from mulberryway.policy import jobs
from mulberryway.policy import poison
from mulberryway.policy import pool_scheduler
from mulberryway.policy import running_jobs
from mulberryway.policy import upstream_view

__all__ = ["JobCompletion"]

# The requests of a batch that died are reported within this time.
SAME_BATCH_MS = 2_000


class JobCompletion:
    """Ends jobs of one pool.

    :param pool: the pool's scheduler
    :param register: requests that may be poison
    """

    __slots__ = ("_pool", "_register")

    def __init__(
        self,
        pool: pool_scheduler.PoolScheduler,
        register: poison.PoisonRegistry,
    ) -> None:
        self._pool = pool
        self._register = register

    def record_start(self, job: running_jobs.RunningJob, now_ms: int) -> None:
        """Count a job on the upstreams where it starts.

        :param job: the started job
        :param now_ms: the present
        """
        for view in self._list_views(job):
            view.health.record_start(now_ms)
            view.own_suspects += job.is_suspect()

    def record_prefilled(
        self, job: running_jobs.RunningJob, now_ms: int
    ) -> None:
        """Learn from a prefill that ended well.

        :param job: the job
        :param now_ms: the present
        """
        if job.prefilled_ms is not None:
            return
        job.prefilled_ms = now_ms
        placement = job.placement
        reader = placement.prefill
        # Prompts in a queue are late by the same cause, which counts once.
        later_ms = reader.drift_ms - placement.drift_ms
        reader.record_prefilled(
            placement.prefill_ms,
            placement.ready_ms + later_ms,
            placement.tokens,
            job.started_ms,
            now_ms,
        )
        reader.health.record_success(job.started_ms)

    @staticmethod
    def record_first_token(job: running_jobs.RunningJob) -> bool:
        """Learn that a decode engine works, before its stream ends.

        :param job: the job
        :returns: whether that is news to other VMs
        """
        decode = job.placement.decode
        return decode is not None and decode.health.record_success(
            job.started_ms
        )

    def record_prefill_failed(
        self, job: running_jobs.RunningJob, now_ms: int
    ) -> None:
        """Take in that a prefill failed and the decode engine reads instead.

        :param job: the job
        :param now_ms: the present
        """
        placement = job.placement
        if job.prefilled_ms is not None or placement.decode is None:
            return
        job.prefilled_ms = now_ms
        failed = placement.prefill
        failed.cancel_prefill(placement.prefill_ms)
        failed.health.record_failure(False, now_ms)
        failed.own_suspects -= job.is_suspect()
        reader = placement.prefill = placement.decode
        reader.add_chunked_prefill(
            reader.speed.estimate_ms(placement.tokens), now_ms
        )

    def finish(
        self,
        job: running_jobs.RunningJob,
        end: jobs.JobOutcome,
        upstream: str,
        now_ms: int,
    ) -> float:
        """Give back everything that a job holds.

        :param job: the job
        :param end: how it ended
        :param upstream: the upstream to blame; empty if none
        :param now_ms: the present
        :returns: tokens by which its charge has to be corrected
        """
        placement = job.placement
        if job.prefilled_ms is None:
            placement.prefill.cancel_prefill(placement.prefill_ms)
        if placement.decode is not None:
            placement.decode.end_decode(placement.blocks)
        self._judge(job, end, upstream, now_ms)
        for view in self._list_views(job):
            view.own_suspects -= job.is_suspect()
        return self._correct(job, end, now_ms)

    def _judge(
        self,
        job: running_jobs.RunningJob,
        end: jobs.JobOutcome,
        upstream: str,
        now_ms: int,
    ) -> None:
        for view in self._list_views(job):
            if end is jobs.JobOutcome.DONE:
                view.health.record_success(job.started_ms)
            elif view.row.name != upstream:
                view.health.record_inconclusive()
            else:
                self._blame(job, view, end, now_ms)
        if end is jobs.JobOutcome.DONE:
            self._register.record_success(job.entry.job.digest, now_ms)

    def _blame(
        self,
        job: running_jobs.RunningJob,
        view: upstream_view.UpstreamView,
        end: jobs.JobOutcome,
        now_ms: int,
    ) -> None:
        if end is jobs.JobOutcome.REFUSED_BY_ENGINE:
            if self._refused_prefill(job, view):
                view.record_prefill_refused(now_ms)
            else:
                view.record_full(now_ms)
            view.health.record_inconclusive()
        elif end is jobs.JobOutcome.CANCELLED:
            view.health.record_inconclusive()
        else:
            died = end is jobs.JobOutcome.DIED
            # An engine that takes no connection will take none of the next
            # either, and each costs its caller the wait for one.
            is_down = died or end is jobs.JobOutcome.UNREACHED
            view.health.record_failure(is_down, now_ms)
            if died:
                self._suspect(job, view, now_ms)

    @staticmethod
    def _refused_prefill(
        job: running_jobs.RunningJob, view: upstream_view.UpstreamView
    ) -> bool:
        placement = job.placement
        return (
            view is placement.prefill
            and not placement.is_aggregated()
            and job.prefilled_ms is None
        )

    def _suspect(
        self,
        job: running_jobs.RunningJob,
        view: upstream_view.UpstreamView,
        now_ms: int,
    ) -> None:
        # One request of a batch may crash each upstream that runs it, and the
        # others are bystanders.  So each becomes a suspect, and a suspect runs
        # as the only one on its upstream.  If that dies too, the others of its
        # batch are not even suspected.
        name = f"{self._pool.row.name}/{view.row.name}"
        digest = job.entry.job.digest
        others = view.count_suspects() - job.is_suspect()
        if job.is_suspect():
            view.suspect_died_ms = now_ms
            self._register.record_crash(digest, name, others == 0, now_ms)
            return
        died_ms = view.suspect_died_ms
        is_explained = others > 0 or (
            died_ms is not None and now_ms - died_ms < SAME_BATCH_MS
        )
        if not is_explained:
            self._register.record_crash(digest, name, False, now_ms)

    def _correct(
        self, job: running_jobs.RunningJob, end: jobs.JobOutcome, now_ms: int
    ) -> float:
        measured = self._pool.meters
        step_ms = self._pool.placer.slowness.get_median_step_ms()
        tokens = job.estimate_tokens(step_ms, now_ms)
        prompt = job.placement.tokens if job.prefilled_ms is not None else 0.0
        cost = measured.sum_cost(prompt, tokens)
        if end is jobs.JobOutcome.DONE:
            hold_ms = now_ms - job.started_ms
            measured.record_job(
                job.entry.job.account, cost, tokens, max(hold_ms, 1)
            )
        return cost - job.entry.cost

    @staticmethod
    def _list_views(
        job: running_jobs.RunningJob,
    ) -> list[upstream_view.UpstreamView]:
        prefill, decode = job.placement.prefill, job.placement.decode
        if decode is None or decode is prefill:
            return [prefill]
        return [prefill, decode]

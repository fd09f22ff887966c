"""Updates health, suspects and accounting when a started job ends."""

from mulberryway.policy import jobs
from mulberryway.policy import poison
from mulberryway.policy import pool_scheduler
from mulberryway.policy import running_jobs
from mulberryway.policy import upstream_view

__all__ = ["JobCompletion"]

# The requests of a batch whose engine crashed are reported within this time.
SAME_BATCH_MS = 2_000


class JobCompletion:
    """Records the progress and outcome of one pool's jobs.

    :param pool: the pool's scheduler
    :param register: registry of suspected poison requests
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
        :param now_ms: current time in ms
        """
        for view in self._list_views(job):
            view.health.record_start(now_ms)
            view.own_suspects += job.is_suspect()

    def record_prefilled(
        self, job: running_jobs.RunningJob, now_ms: int
    ) -> None:
        """Record that a prefill completed.

        :param job: the job
        :param now_ms: current time in ms
        """
        if job.prefilled_ms is not None:
            return
        job.prefilled_ms = now_ms
        placement = job.placement
        engine = placement.prefill
        # Queued prompts are delayed by the same cause, which is counted once.
        later_ms = engine.drift_ms - placement.drift_ms
        engine.record_prefilled(
            placement.prefill_ms,
            placement.ready_ms + later_ms,
            placement.tokens,
            job.started_ms,
            now_ms,
        )
        engine.health.record_success(job.started_ms)

    @staticmethod
    def record_first_token(job: running_jobs.RunningJob) -> bool:
        """Record the first token, which shows that the decode engine works.

        :param job: the job
        :returns: whether this is a state change that other VMs need
        """
        decode = job.placement.decode
        return decode is not None and decode.health.record_success(
            job.started_ms
        )

    def record_prefill_failed(
        self, job: running_jobs.RunningJob, now_ms: int
    ) -> None:
        """Record that a prefill failed and the decode engine prefills instead.

        :param job: the job
        :param now_ms: current time in ms
        """
        placement = job.placement
        if job.prefilled_ms is not None or placement.decode is None:
            return
        job.prefilled_ms = now_ms
        failed = placement.prefill
        failed.cancel_prefill(placement.prefill_ms)
        failed.health.record_failure(False, now_ms)
        failed.own_suspects -= job.is_suspect()
        engine = placement.prefill = placement.decode
        engine.add_chunked_prefill(
            engine.speed.estimate_ms(placement.tokens), now_ms
        )

    def finish(
        self,
        job: running_jobs.RunningJob,
        outcome: jobs.JobOutcome,
        upstream: str,
        now_ms: int,
    ) -> float:
        """Release all resources of a job.

        :param job: the job
        :param outcome: the outcome of the job
        :param upstream: the upstream that caused the failure; empty if none
        :param now_ms: current time in ms
        :returns: tokens by which the job's charge has to be corrected
        """
        placement = job.placement
        if job.prefilled_ms is None:
            placement.prefill.cancel_prefill(placement.prefill_ms)
        if placement.decode is not None:
            placement.decode.end_decode(placement.blocks)
        self._record_outcome(job, outcome, upstream, now_ms)
        for view in self._list_views(job):
            view.own_suspects -= job.is_suspect()
        return self._compute_cost_correction(job, outcome, now_ms)

    def _record_outcome(
        self,
        job: running_jobs.RunningJob,
        outcome: jobs.JobOutcome,
        upstream: str,
        now_ms: int,
    ) -> None:
        for view in self._list_views(job):
            if outcome is jobs.JobOutcome.DONE:
                view.health.record_success(job.started_ms)
            elif view.row.name != upstream:
                view.health.record_inconclusive()
            else:
                self._record_upstream_outcome(job, view, outcome, now_ms)
        if outcome is jobs.JobOutcome.DONE:
            self._register.record_success(job.entry.job.digest, now_ms)

    def _record_upstream_outcome(
        self,
        job: running_jobs.RunningJob,
        view: upstream_view.UpstreamView,
        outcome: jobs.JobOutcome,
        now_ms: int,
    ) -> None:
        if outcome is jobs.JobOutcome.REFUSED_BY_ENGINE:
            if self._rejected_prefill(job, view):
                view.record_prefill_refused(now_ms)
            else:
                view.record_full(now_ms)
            view.health.record_inconclusive()
        elif outcome is jobs.JobOutcome.CANCELLED:
            view.health.record_inconclusive()
        else:
            crashed = outcome is jobs.JobOutcome.DIED
            # An engine that accepts no connection will not accept the next one
            # either, and each attempt delays its caller by the connect
            # timeout.
            is_down = crashed or outcome is jobs.JobOutcome.UNREACHED
            view.health.record_failure(is_down, now_ms)
            if crashed:
                self._record_crash(job, view, now_ms)

    @staticmethod
    def _rejected_prefill(
        job: running_jobs.RunningJob, view: upstream_view.UpstreamView
    ) -> bool:
        placement = job.placement
        return (
            view is placement.prefill
            and not placement.is_aggregated()
            and job.prefilled_ms is None
        )

    def _record_crash(
        self,
        job: running_jobs.RunningJob,
        view: upstream_view.UpstreamView,
        now_ms: int,
    ) -> None:
        # One request of a batch may crash every upstream that runs it, while
        # the others are not the cause. So each becomes a suspect, and a
        # suspect runs as the only one on its upstream. If that upstream
        # crashes too, the other requests of its batch are not even suspected.
        name = f"{self._pool.row.name}/{view.row.name}"
        digest = job.entry.job.digest
        others = view.count_suspects() - job.is_suspect()
        if job.is_suspect():
            view.suspect_died_ms = now_ms
            self._register.record_crash(digest, name, others == 0, now_ms)
            return
        died_ms = view.suspect_died_ms
        is_attributed = others > 0 or (
            died_ms is not None and now_ms - died_ms < SAME_BATCH_MS
        )
        if not is_attributed:
            self._register.record_crash(digest, name, False, now_ms)

    def _compute_cost_correction(
        self,
        job: running_jobs.RunningJob,
        outcome: jobs.JobOutcome,
        now_ms: int,
    ) -> float:
        stats = self._pool.stats
        step_ms = self._pool.placer.slowness.get_median_step_ms()
        tokens = job.estimate_tokens(step_ms, now_ms)
        prompt = job.placement.tokens if job.prefilled_ms is not None else 0.0
        cost = stats.sum_cost(prompt, tokens)
        if outcome is jobs.JobOutcome.DONE:
            hold_ms = now_ms - job.started_ms
            stats.record_job(
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

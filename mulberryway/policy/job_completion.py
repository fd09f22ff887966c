"""Updates health, suspects and accounting when a started job ends."""

from mulberryway.policy import jobs
from mulberryway.policy import part_quarantine
from mulberryway.policy import poison
from mulberryway.policy import pool_scheduler
from mulberryway.policy import run_survival
from mulberryway.policy import running_jobs
from mulberryway.policy import upstream_view

__all__ = ["JobCompletion"]

# The requests of a batch whose engine crashed are reported within this time.
SAME_BATCH_MS = 2_000


class JobCompletion:
    """Records the progress and outcome of one pool's jobs.

    :param pool: the pool's scheduler
    :param register: registry of suspected poison requests
    :param parts: quarantine of prompt parts
    """

    __slots__ = ("_pool", "_register", "_parts", "_survival", "_cleared")

    def __init__(
        self,
        pool: pool_scheduler.PoolScheduler,
        register: poison.PoisonRegistry,
        parts: part_quarantine.PartQuarantine,
    ) -> None:
        self._pool = pool
        self._register = register
        self._parts = parts
        self._survival = run_survival.SurvivalTracker()
        self._cleared: list[running_jobs.RunningJob] = []

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
        self.record_alive(engine.row.name, now_ms, now_ms)

    def record_output(self, job: running_jobs.RunningJob, now_ms: int) -> None:
        """Record the first output of a run, also of a resumed stream.

        :param job: the job
        :param now_ms: current time in ms
        """
        decode = job.placement.decode
        if decode is not None and job.output_ms is None:
            job.output_ms = now_ms
            self._survival.begin(decode.row.name, job, now_ms)
            self.record_alive(decode.row.name, now_ms, now_ms)

    def record_alive(self, upstream: str, at_ms: int, now_ms: int) -> None:
        """Record a sign of life of an engine; conclude what it has survived.

        :param upstream: the engine's name
        :param at_ms: when it was alive, in ms
        :param now_ms: current time in ms
        """
        for run in self._survival.record_alive(upstream, at_ms):
            job = run.job.entry.job
            self._parts.record_survival(job.part_keys, run.began_ms, now_ms)
            if run.has_ended:
                self._register.record_success(job.digest, now_ms)
            elif run.job.is_suspect() and self._pool.is_clear(job, now_ms):
                for view in self._list_views(run.job):
                    view.own_suspects -= 1
                run.job.clear_suspicion()
                self._cleared.append(run.job)

    def record_unreached(self, upstream: str, now_ms: int) -> None:
        """Record that an engine accepts no connection any more.

        It has crashed at some time since its last sign of life.

        :param upstream: the engine's name
        :param now_ms: current time in ms
        """
        runs = self._survival.record_crash(upstream, now_ms, False)
        self._blame(upstream, runs, now_ms)

    def drain_cleared(self) -> list[running_jobs.RunningJob]:
        """Return the jobs that are no longer suspect since the last call."""
        cleared, self._cleared = self._cleared, []
        return cleared

    def record_peer_crash(self, upstream: str, at_ms: int) -> None:
        """Apply a crash of an engine that another VM has seen.

        :param upstream: the engine's name
        :param at_ms: when it was detected, in ms
        """
        runs = self._survival.record_crash(upstream, at_ms)
        self._blame(upstream, runs, at_ms)

    def list_unconfirmed(self, now_ms: int) -> list[str]:
        """Return the engines that have to show that they survived a suspect.

        :param now_ms: current time in ms
        """
        return [
            upstream
            for upstream, runs in self._survival.list_unconfirmed(now_ms)
            if not all(
                self._pool.is_clear(run.job.entry.job, now_ms) for run in runs
            )
        ]

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
            stream = placement.stream
            if stream is not None and outcome is jobs.JobOutcome.DONE:
                placement.decode.record_stream_end(stream, now_ms)
            placement.decode.end_decode(placement.blocks, stream)
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
        decode = job.placement.decode
        is_unconfirmed = decode is not None and self._survival.end(
            decode.row.name, job, outcome is jobs.JobOutcome.DONE
        )
        for view in self._list_views(job):
            if outcome is jobs.JobOutcome.DONE:
                view.health.record_success(job.started_ms)
            elif view.row.name != upstream:
                view.health.record_inconclusive()
            else:
                self._record_upstream_outcome(job, view, outcome, now_ms)
        if outcome is not jobs.JobOutcome.DONE:
            return
        if decode is not None:
            self.record_alive(decode.row.name, now_ms, now_ms)
        if not is_unconfirmed:
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
        elif outcome is jobs.JobOutcome.CANCELLED or (
            outcome is jobs.JobOutcome.UNREACHED and view.row.leaving
        ):
            view.health.record_inconclusive()
        else:
            crashed = outcome is jobs.JobOutcome.DIED
            # An engine that accepts no connection will not accept the next one
            # either, and each attempt delays its caller by the connect
            # timeout.
            is_down = crashed or outcome is jobs.JobOutcome.UNREACHED
            view.health.record_failure(is_down, now_ms)
            if is_down:
                self._pool.placer.cold_starts.expect_restart(
                    view.row.name, now_ms
                )
            if crashed:
                self._record_crash(job, view, now_ms)
                self._blame_parts(job, view, now_ms)
            elif is_down:
                self.record_unreached(view.row.name, now_ms)

    def _blame_parts(
        self,
        job: running_jobs.RunningJob,
        view: upstream_view.UpstreamView,
        now_ms: int,
    ) -> None:
        """Blame the parts of all runs that a crashed engine has not survived.

        :param job: the job whose connection broke
        :param view: the engine
        :param now_ms: current time in ms
        """
        name = view.row.name
        at_ms = now_ms if job.broke_ms is None else job.broke_ms
        runs = self._survival.record_crash(name, at_ms)
        if job.output_ms is None:
            runs.append(run_survival.Run(job, at_ms))
        self._blame(name, runs, at_ms)
        self._parts.report_crash(f"{self._pool.row.name}/{name}", at_ms)

    def _blame(
        self, upstream: str, runs: list[run_survival.Run], at_ms: int
    ) -> None:
        name = f"{self._pool.row.name}/{upstream}"
        for run in runs:
            job = run.job.entry.job
            self._parts.record_crash(job.part_keys, name, at_ms)
            if run.has_ended:
                # The crash of a running job is recorded with its outcome.
                self._register.record_crash(job.digest, name, False, at_ms)

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

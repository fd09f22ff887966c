"""Schedules the jobs of all pools, fairly and in coordination with peers."""

import random

import expression

from mulberryway import errors
from mulberryway import tables
from mulberryway.policy import admission
from mulberryway.policy import base
from mulberryway.policy import cold_start
from mulberryway.policy import crash_reports
from mulberryway.policy import fairness
from mulberryway.policy import hints
from mulberryway.policy import jobs
from mulberryway.policy import note_receiver
from mulberryway.policy import note_sender
from mulberryway.policy import part_quarantine
from mulberryway.policy import part_records
from mulberryway.policy import poison
from mulberryway.policy import pool_demand
from mulberryway.policy import pool_scheduler
from mulberryway.policy import pool_set
from mulberryway.policy import probes
from mulberryway.policy import retries
from mulberryway.policy import running_jobs
from mulberryway.policy import send_limits
from mulberryway.policy import upstream_view
from mulberryway.policy import zone_costs
from mulberryway.upstreams import base as upstreams

__all__ = ["FairScheduler"]

# Bound the memory of waiting request bodies.
MAX_ENTRIES = 2_048
MAX_BYTES = 64 << 20
TOKEN_GAP_MS = 63
# A relative change of an upstream's decode step above this is sent to peers
# soon; smaller ones are included in the next message about the upstream.
STEP_CHANGE_FRACTION = 0.2
# Bounds the starts per pool, and thereby the duration, of one dispatch call.
MAX_STARTS = 64


class FairScheduler(base.Scheduler):
    """Combines the schedulers of all pools with the gossip between routers.

    :param vm: this VM's name
    :param incarnation: the incarnation of its router process
    :param fairness_mode: the deployment's fairness mode
    :param register: registry of suspected poison requests
    :param seed: seed of the random generator; different on each VM
    :param token_gap_ms: inter-token gap target, in milliseconds
    :param max_entries: maximum number of waiting jobs in each pool
    :param max_bytes: maximum size of waiting bodies in each pool, in bytes
    :param budget: class of the pools' retry budgets
    :param prefill_rate: see :class:`pool_upstreams.PoolUpstreams`
    :param shares: see :class:`pool_set.PoolSet`
    :param cold_limits: see :class:`pool_set.PoolSet`
    :param limits: see :class:`pool_set.PoolSet`
    :param zones: see :class:`pool_set.PoolSet`
    """

    def __init__(
        self,
        vm: str,
        incarnation: int = 0,
        fairness_mode: fairness.FairnessMode = fairness.WORST_SERVED,
        register: poison.PoisonRegistry | None = None,
        seed: int = 0,
        token_gap_ms: int = TOKEN_GAP_MS,
        max_entries: int = MAX_ENTRIES,
        max_bytes: int = MAX_BYTES,
        budget: type[retries.RetryBudget] = retries.RetryBudget,
        prefill_rate: float = upstream_view.PREFILL_MS_PER_TOKEN,
        shares: cold_start.FleetShares | None = None,
        cold_limits: cold_start.ColdStartLimits | None = None,
        limits: send_limits.SendLimits | None = None,
        zones: zone_costs.ZoneCosts | None = None,
    ) -> None:
        self.register = register or poison.PoisonRegistry()
        self.parts = part_quarantine.PartQuarantine(vm, random.Random(seed))
        self._crashes = crash_reports.CrashReports(
            self.register, self.parts, random.Random(seed)
        )
        self._crashes.on_peer_crash = self._record_peer_crash
        # Pool, name and time of the end of upstreams that have crashed.
        self._ended: list[tuple[str, str, int]] = []
        self._pool_set = pool_set.PoolSet(
            vm,
            fairness_mode,
            self.register,
            self.parts,
            random.Random(seed),
            token_gap_ms,
            max_entries,
            max_bytes,
            budget,
            prefill_rate,
            shares,
            cold_limits,
            limits,
            zones,
        )
        self._pools = self._pool_set.pools
        self._waiting: dict[str, str] = {}
        self._running: dict[str, running_jobs.RunningJob] = {}
        self._pending_rejections: list[jobs.Refusal] = []
        self._note_sender = note_sender.NoteSender(
            vm, incarnation, self._crashes
        )
        self._note_receiver = note_receiver.NoteReceiver(vm, self._crashes)

    def submit(
        self, job: jobs.Job, now_ms: int
    ) -> expression.Result[None, errors.Fault]:
        """Admit a job, or reject it immediately.

        :param job: the job
        :param now_ms: current time in milliseconds
        :returns: nothing, or a fault with run ``NOT_RUN``
        """
        pool = self._pools.get(job.pool)
        if pool is None:
            fault = admission.make_rejection(
                errors.Code.NO_UPSTREAM, job, "no such model pool"
            )
            return expression.Error(fault)
        rejection = pool.submit(job, now_ms)
        self._pending_rejections += pool.drain_displaced()
        if rejection is not None:
            return expression.Error(rejection)
        self._waiting[job.job_id] = job.pool
        return expression.Ok(None)

    def dispatch(self, now_ms: int) -> jobs.DispatchResult:
        """Start the jobs that are next, and reject the expired ones.

        :param now_ms: current time in milliseconds
        :returns: the decisions
        """
        self._note_receiver.expire_peers(self._pools, now_ms)
        refusals = self._pending_rejections
        self._pending_rejections = []
        assignments: list[jobs.Assignment] = []
        for name, pool in self._pools.items():
            pool.members.sample_memory(now_ms)
            refusals += pool.expire_waiting(now_ms)
            for _ in range(MAX_STARTS):
                started = pool.start_next(now_ms, refusals)
                if started is None:
                    break
                assignments.append(self._record_start(name, started, now_ms))
        for rejection in refusals:
            self._waiting.pop(rejection.job_id, None)
        return jobs.DispatchResult(
            assignments, refusals, self._get_wake_ms(now_ms)
        )

    def cancel(self, job_id: str, now_ms: int) -> bool:
        """Remove a waiting job whose caller has disconnected.

        :param job_id: the job
        :param now_ms: current time in milliseconds
        :returns: false if it was not waiting
        """
        name = self._waiting.pop(job_id, None)
        if name is None:
            return False
        self._pending_rejections = [
            item for item in self._pending_rejections if item.job_id != job_id
        ]
        self._pool_set.find_any(name).queue.remove(job_id)
        return True

    def record_prefilled(self, job_id: str, now_ms: int) -> None:
        """Record that a started job's prefill has succeeded.

        :param job_id: the job
        :param now_ms: current time in milliseconds
        """
        job = self._running.get(job_id)
        if job is not None:
            pool = job.entry.job.pool
            self._pool_set.find_completion(pool).record_prefilled(job, now_ms)
            self._mark_cleared(pool)

    def record_prefill_failed(self, job_id: str, now_ms: int) -> None:
        """Record a failed prefill that the decode engine takes over.

        :param job_id: the job
        :param now_ms: current time in milliseconds
        """
        job = self._running.get(job_id)
        if job is not None:
            pool = job.entry.job.pool
            # Marks both the engine that failed and the one that takes over.
            self._mark_views_changed(pool, job)
            self._pool_set.find_completion(pool).record_prefill_failed(
                job, now_ms
            )

    def record_first_token(self, job_id: str, now_ms: int) -> None:
        """Record that a started job's first token has arrived.

        :param job_id: the job
        :param now_ms: current time in milliseconds
        """
        job = self._running.get(job_id)
        if job is not None:
            job.record_first_token(now_ms)
            pool = job.entry.job.pool
            if self._pool_set.find_completion(pool).record_first_token(job):
                self._mark_views_changed(pool, job)
            self.record_output(job_id, now_ms)

    def record_output(self, job_id: str, now_ms: int) -> None:
        """Record the first output of a started job's engine.

        :param job_id: the job, which may resume a stream
        :param now_ms: current time in milliseconds
        """
        job = self._running.get(job_id)
        if job is not None:
            pool = job.entry.job.pool
            self._pool_set.find_completion(pool).record_output(job, now_ms)
            self._mark_cleared(pool)

    def record_break(
        self, job_id: str, output_ms: int | None, now_ms: int
    ) -> None:
        """Record that a started job's connection has broken, before its end.

        :param job_id: the job
        :param output_ms: time of its last output, in milliseconds; none if
            there was none
        :param now_ms: current time in milliseconds
        """
        job = self._running.get(job_id)
        if job is not None:
            job.broke_ms = now_ms
            if output_ms is not None:
                self._record_output_time(job, output_ms, now_ms)

    def _record_output_time(
        self, job: running_jobs.RunningJob, at_ms: int, now_ms: int
    ) -> None:
        decode = job.placement.decode
        if decode is not None:
            pool = job.entry.job.pool
            self.record_alive(pool, decode.row.name, at_ms, now_ms)

    def record_alive(
        self, pool: str, upstream: str, at_ms: int, now_ms: int
    ) -> None:
        """Record a sign of life of an engine.

        :param pool: the pool's name
        :param upstream: the engine's name
        :param at_ms: when it was alive, in milliseconds
        :param now_ms: current time in milliseconds
        """
        completion = self._pool_set.find_known_completion(pool)
        if completion is not None:
            completion.record_alive(upstream, at_ms, now_ms)
            self._mark_cleared(pool)

    def list_unconfirmed(self, now_ms: int) -> list[tuple[str, str]]:
        """Return the engines that have to show that they survived a suspect.

        :param now_ms: current time in milliseconds
        :returns: pairs of a pool's and an engine's name
        """
        return [
            (name, upstream)
            for name, completion in self._pool_set.list_completions()
            for upstream in completion.list_unconfirmed(now_ms)
        ]

    def check_running(self, job_id: str, now_ms: int) -> errors.Fault | None:
        """Return why a started job must not be sent to another engine.

        :param job_id: the job
        :param now_ms: current time in milliseconds
        :returns: the rejection if it was quarantined since its start, or none
        """
        job = self._running.get(job_id)
        if job is None:
            return None
        pool = self._pool_set.find_any(job.entry.job.pool)
        return pool.check_running(job, now_ms)

    def try_send(self, job_id: str, upstream: str, now_ms: int) -> bool:
        """Count a request that is about to be sent, if it may be sent.

        :param job_id: the job
        :param upstream: the upstream's name
        :param now_ms: current time in milliseconds
        :returns: whether it may be sent
        """
        job = self._running.get(job_id)
        if job is None:
            return True
        pool = self._pool_set.find_any(job.entry.job.pool)
        return pool.placer.limits.try_send(upstream, now_ms)

    def record_tokens(self, job_id: str, tokens: int, now_ms: int) -> None:
        """Record how many tokens of a running job have arrived.

        :param job_id: the job
        :param tokens: total number of tokens so far
        :param now_ms: current time in milliseconds
        """
        job = self._running.get(job_id)
        if job is not None:
            self._record_output_time(job, now_ms, now_ms)
        gap_ms = job.record_tokens(tokens, now_ms) if job is not None else None
        if job is not None and gap_ms is not None:
            decode = job.placement.decode
            if decode is not None:
                before_ms = decode.step.value
                decode.record_step(gap_ms, now_ms)
                if abs(gap_ms - before_ms) > STEP_CHANGE_FRACTION * before_ms:
                    self._note_sender.mark_changed_deferred(
                        job.entry.job.pool, decode.row.name, now_ms
                    )

    def reassign_decode(
        self,
        job_id: str,
        rejected_by: str,
        now_ms: int,
        is_unreached: bool = False,
    ) -> str | None:
        """Reserve another decode slot for a prefilled job.

        :param job_id: the job
        :param rejected_by: the upstream that rejected it
        :param now_ms: current time in milliseconds
        :param is_unreached: whether it was unreachable instead of full
        :returns: the upstream to try, its slot reserved; or none
        """
        job = self._running.get(job_id)
        if job is None or job.placement.decode is None:
            return None
        pool = self._pool_set.find_any(job.entry.job.pool)
        view = pool.members.find(rejected_by)
        # No connection is made to an engine that leaves, so nothing shows
        # that it has crashed.
        is_unreached = is_unreached and (view is None or not view.row.leaving)
        if is_unreached:
            self._pool_set.find_completion(pool.row.name).record_unreached(
                rejected_by, now_ms
            )
        before = job.placement.decode
        after = pool.reassign_decode(job, rejected_by, now_ms, is_unreached)
        return self._record_move(pool, before, after)

    def avoid_decode(
        self, job_id: str, upstream: str, now_ms: int
    ) -> str | None:
        """Reserve a decode slot at another upstream than one that is silent.

        :param job_id: the job
        :param upstream: the upstream that does not answer
        :param now_ms: current time in milliseconds
        :returns: the upstream to try, its slot reserved; or none
        """
        job = self._running.get(job_id)
        if job is None or job.placement.decode is None:
            return None
        pool = self._pool_set.find_any(job.entry.job.pool)
        before = job.placement.decode
        after = pool.avoid_decode(job, upstream, now_ms)
        return self._record_move(pool, before, after)

    def _record_move(
        self,
        pool: pool_scheduler.PoolScheduler,
        before: upstream_view.UpstreamView,
        after: upstream_view.UpstreamView | None,
    ) -> str | None:
        """Tell other VMs of a slot that was moved; return where it is."""
        if after is None:
            return None
        for view in (before, after):
            self._note_sender.mark_changed(pool.row.name, view.row.name)
        return after.row.name

    def finish(
        self,
        job_id: str,
        outcome: jobs.JobOutcome,
        upstream: str,
        now_ms: int,
    ) -> None:
        """Release a started job's reservations; further calls do nothing.

        :param job_id: the job
        :param outcome: the outcome
        :param upstream: the upstream at fault; empty if none
        :param now_ms: current time in milliseconds
        """
        started = self._running.pop(job_id, None)
        if started is None:
            return
        job = started.entry.job
        if outcome is jobs.JobOutcome.DIED:
            self._ended.append((job.pool, upstream, now_ms))
        tokens = self._pool_set.find_completion(job.pool).finish(
            started, outcome, upstream, now_ms
        )
        pool = self._pool_set.find_any(job.pool)
        pool.queue.adjust_charge(job.account, job.weight, tokens)
        self._note_sender.record_charge(
            job.pool, job.account, job.weight, tokens
        )
        self._mark_views_changed(job.pool, started)
        self._mark_cleared(job.pool)

    def record_load(
        self,
        pool: str,
        upstream: str,
        load: upstreams.EngineLoad,
        now_ms: int,
    ) -> None:
        """Record a load report, which lags behind the engine.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param load: the report
        :param now_ms: current time in milliseconds
        """
        known = self._pools.get(pool)
        view = known.members.find(upstream) if known is not None else None
        if view is not None:
            view.record_load(load, now_ms)

    def record_cache_events(
        self,
        pool: str,
        upstream: str,
        events: list[upstreams.CacheEvent],
        now_ms: int,
    ) -> None:
        """Apply cache events, which are delayed and may have gaps.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param events: the events in order
        :param now_ms: current time in milliseconds
        """
        known = self._pools.get(pool)
        view = known.members.find(upstream) if known is not None else None
        if view is not None:
            view.prefixes.apply_events(events)

    def count_memory(self, now_ms: int) -> dict[str, dict[str, int]]:
        """Return what the decode engines hold, for metrics.

        :param now_ms: current time in milliseconds
        :returns: streams, and KV cache blocks by kind, for each pool
        """
        return {
            name: pool.members.count_memory(now_ms)
            for name, pool in self._pools.items()
        }

    def read_demands(self, now_ms: int) -> dict[str, pool_demand.PoolDemand]:
        """Return what was asked of the pools in the last minute.

        :param now_ms: current time in milliseconds
        :returns: the demand of each pool of which it is known
        """
        demands = {
            name: pool.members.summarize_demand(
                len(pool.row.upstreams), now_ms
            )
            for name, pool in self._pools.items()
        }
        return {
            name: demand
            for name, demand in demands.items()
            if demand is not None
        }

    def has_decode_capacity(
        self,
        pool: str,
        excluded: str,
        now_ms: int,
        required_version: str | None = None,
    ) -> bool:
        """Return whether another upstream may have decode capacity.

        :param pool: the pool's name
        :param excluded: the upstream to leave out
        :param now_ms: current time in milliseconds
        :param required_version: the only software version to consider; none
            for any
        """
        known = self._pools.get(pool)
        return known is not None and any(
            view.row.name != excluded
            and view.count_free_slots(now_ms) > 0
            and not view.health.is_ejected(now_ms)
            and known.placer.limits.has_room(view.row.name, now_ms)
            for view in known.members.list_decodes(required_version)
        )

    def list_ejected(self, now_ms: int) -> list[probes.EjectedUpstream]:
        """Return the currently ejected upstreams.

        :param now_ms: current time in milliseconds
        """
        return [
            probes.EjectedUpstream(
                name,
                view.row.name,
                view.health.needs_probe(now_ms),
                view.reported_by,
            )
            for name, pool in self._pools.items()
            for view in pool.members.list_all()
            if view.health.next_probe_ms() is not None
            and not view.row.cordoned
        ]

    def record_probe(
        self, pool: str, upstream: str, has_passed: bool, now_ms: int
    ) -> None:
        """Record the result of a health probe.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param has_passed: whether the upstream answered
        :param now_ms: current time in milliseconds
        """
        known = self._pools.get(pool)
        view = known.members.find(upstream) if known is not None else None
        if known is not None and view is not None:
            view.health.record_probe(has_passed, now_ms)
            if not has_passed:
                known.placer.cold_starts.expect_restart(upstream, now_ms)
            self._note_sender.mark_changed(pool, upstream)

    def drain_hints(self, now_ms: int) -> hints.Note | None:
        """Return the gossip message that is due now, if any.

        :param now_ms: current time in milliseconds
        :returns: a message for each peer of the subset, or none
        """
        return self._note_sender.build_note(self._pools, now_ms)

    def apply_hints(self, note: hints.Note, now_ms: int) -> None:
        """Apply a gossip message from another router.

        :param note: the message; may be late or a duplicate, and others may be
            lost
        :param now_ms: current time in milliseconds
        """
        self._note_receiver.note(note, self._pools, now_ms)

    def drain_malformed(self) -> list[tuple[str, hints.RankNote]]:
        """Return peers' malformed reports with their senders, for logs."""
        return self._note_receiver.drain_malformed()

    def record_crashes(self, deaths: list[hints.Death], now_ms: int) -> None:
        """Apply crashes of upstreams that any VM has reported.

        :param deaths: the crashes; duplicates have no effect
        :param now_ms: current time in milliseconds
        """
        self._crashes.apply_updates(deaths, now_ms)

    def _record_peer_crash(self, pool: str, upstream: str, at_ms: int) -> None:
        self._ended.append((pool, upstream, at_ms))
        completion = self._pool_set.find_known_completion(pool)
        if completion is not None:
            completion.record_peer_crash(upstream, at_ms)

    def has_quarantined_part(
        self, part_keys: tuple[str, ...], now_ms: int
    ) -> bool:
        """Return whether a request must not run because of its prompt.

        :param part_keys: keys of its prompt's parts
        :param now_ms: current time in milliseconds
        """
        verdict = self.parts.assess(part_keys, now_ms)
        return verdict.state is part_records.PartState.QUARANTINED

    def drain_part_changes(self) -> list[part_quarantine.PartChange]:
        """Return what has changed about prompt parts, for logs."""
        return self.parts.drain_changes()

    def count_parts(self, state: str) -> int:
        """Return the number of prompt parts that are blamed for crashes.

        :param state: ``suspect`` or ``quarantined``
        """
        return self.parts.count(part_records.PartState(state))

    def is_quarantined(self, digest: str, now_ms: int) -> bool:
        """Return whether a request is quarantined, and renew its quarantine.

        :param digest: identifies the request
        :param now_ms: current time in milliseconds
        :returns: whether upstreams crashed while they ran it
        """
        state = self.register.get_state(digest, now_ms)
        if state is not poison.QuarantineState.QUARANTINED:
            return False
        self.register.renew_quarantine(digest, now_ms)
        return True

    def record_crash(self, digest: str, upstream: str, now_ms: int) -> None:
        """Record that a service's server crashed under a request.

        :param digest: identifies the request
        :param upstream: ``pool/name`` of the server
        :param now_ms: current time in milliseconds
        """
        self.register.record_crash(digest, upstream, False, now_ms)

    def record_answer(self, digest: str, now_ms: int) -> bool:
        """Record that a service's server has answered a request.

        :param digest: identifies the request
        :param now_ms: current time in milliseconds
        :returns: whether it is no longer suspected, which peers have to know
        """
        return self.register.record_answer(digest, now_ms)

    def drain_ended(self) -> list[tuple[str, str, int]]:
        """Return the crashes of upstreams that were heard of since the last
        call.

        :returns: a pool's and an upstream's name, and when it was found to
            have crashed, in ms
        """
        ended, self._ended = self._ended, []
        return ended

    def drain_quarantined(self) -> list[poison.Quarantine]:
        """Return the quarantines that began since the last call."""
        return self.register.drain_quarantined()

    def update_vms(self, vms: tuple[str, ...], now_ms: int) -> None:
        """Apply a new list of VMs that run a router.

        Pools large enough for subsetting are divided again.

        :param vms: names of the VMs, including this VM
        :param now_ms: current time in milliseconds
        """
        self._note_sender.vms = len(vms)
        self.parts.update_vms(vms)
        self._pool_set.change_vms(vms)

    def update_peers(self, count: int) -> None:
        """Replace the number of VMs that exchange notes with this one.

        :param count: the number of peers
        """
        self._crashes.update_peers(count)

    def change_pools(self, pools: dict[str, tables.Pool], now_ms: int) -> None:
        """Apply a new table of pools; draining upstreams get no jobs.

        :param pools: the pools by name
        :param now_ms: current time in milliseconds
        """
        for name in self._pool_set.change(pools, now_ms):
            self._reject_waiting(name)
        for pool in self._pools.values():
            for rejection in pool.list_unservable():
                pool.queue.remove(rejection.job_id)
                self._pending_rejections.append(rejection)

    def _reject_waiting(self, name: str) -> None:
        # Jobs of a removed pool would otherwise wait until their deadline, so
        # the next dispatch rejects them.
        pool = self._pool_set.find_any(name)
        for job_id in [i for i, p in self._waiting.items() if p == name]:
            entry = pool.queue.remove(job_id)
            if entry is not None:
                fault = admission.make_rejection(
                    errors.Code.NO_UPSTREAM, entry.job, "the pool was removed"
                )
                self._pending_rejections.append(jobs.Refusal(job_id, fault))

    def _record_start(
        self, pool: str, started: running_jobs.RunningJob, now_ms: int
    ) -> jobs.Assignment:
        job = started.entry.job
        del self._waiting[job.job_id]
        self._running[job.job_id] = started
        self._pool_set.find_completion(pool).record_start(started, now_ms)
        self._note_sender.record_charge(
            pool, job.account, job.weight, started.entry.cost
        )
        self._mark_views_changed(pool, started)
        decode = started.placement.decode
        assert decode is not None
        assignment = jobs.Assignment(
            job.job_id,
            started.placement.prefill.row.name,
            decode.row.name,
            int(started.entry.lane),
            max(round(started.placement.ready_ms - now_ms), 0),
            self._get_kv_reservation(pool, started),
        )
        assignment.inputs = started.placement.describe(now_ms) | {
            "heard_ms": self._note_receiver.compute_max_age_ms(now_ms)
        }
        return assignment

    def _get_kv_reservation(
        self, pool: str, started: running_jobs.RunningJob
    ) -> int:
        """Return the KV cache tokens to reserve for a decode; 0 for none.

        An engine admits a request if its prompt fits.  A larger reservation
        would exclude requests that the engine could still run.
        """
        decode = started.placement.decode
        assert decode is not None
        is_tight = self._pools[pool].placer.is_near_capacity(decode)
        return started.entry.job.prompt_tokens if is_tight else 0

    def _mark_views_changed(
        self, pool: str, started: running_jobs.RunningJob
    ) -> None:
        for view in (started.placement.prefill, started.placement.decode):
            if view is not None:
                self._note_sender.mark_changed(pool, view.row.name)

    def _mark_cleared(self, pool: str) -> None:
        for job in self._pool_set.find_completion(pool).drain_cleared():
            self._mark_views_changed(pool, job)

    def _get_wake_ms(self, now_ms: int) -> int | None:
        if self._pending_rejections:
            return now_ms
        times = [
            wake_ms
            for wake_ms in (
                pool.get_wake_ms(now_ms) for pool in self._pools.values()
            )
            if wake_ms is not None
        ]
        return min(times, default=None)

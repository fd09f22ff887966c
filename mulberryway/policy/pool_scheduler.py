"""Schedules the jobs of one pool."""

import collections.abc
import random

from mulberryway import errors
from mulberryway import tables
from mulberryway.policy import admission
from mulberryway.policy import cold_start
from mulberryway.policy import fair_queue
from mulberryway.policy import fairness
from mulberryway.policy import job_placement
from mulberryway.policy import jobs
from mulberryway.policy import part_quarantine
from mulberryway.policy import part_records
from mulberryway.policy import peer_accounts
from mulberryway.policy import peer_ranks
from mulberryway.policy import placements
from mulberryway.policy import poison
from mulberryway.policy import pool_stats
from mulberryway.policy import pool_upstreams
from mulberryway.policy import rank_headroom
from mulberryway.policy import ranks
from mulberryway.policy import retries
from mulberryway.policy import running_jobs
from mulberryway.policy import send_limits
from mulberryway.policy import upstream_view
from mulberryway.policy import zone_costs

__all__ = ["PoolScheduler"]

# A job with a longer prefill is put into its account's lane for long jobs,
# which short jobs may overtake.
LONG_PREFILL_MS = 250.0
# Bound the accounts and jobs that one decision considers.  The next free slot
# or the next job starts another decision, so skipped jobs are considered soon.
MAX_ACCOUNTS_TRIED = 8
MAX_PLACEMENTS_TRIED = 4
# A free slot is yielded this long for each peer's job with priority, because a
# gossip message takes some milliseconds.  A router with more such jobs waits
# longer, so that routers do not all take the same unclaimed slot.  The limit
# bounds the time for which an unclaimed slot stays unused.
YIELD_PER_JOB_MS = 12
MAX_YIELD_MS = 90
RETRY_INTERVAL_MS = 10
# A crashed upstream restarts within some seconds.
NO_UPSTREAM_RETRY_MS = 1_000
# A caller that returns at once would only be rejected again.
MIN_QUARANTINE_RETRY_MS = 1_000
# Number of free slots before it has been estimated.
UNKNOWN_FREE_SLOTS = -1
# Interval between decisions while no slot is free.  The end of a job starts a
# decision immediately; this covers lost gossip messages.
FULL_INTERVAL_MS = 100


class PoolScheduler:
    """Combines the queue, the admission and the placement of one pool.

    :param row: the pool's row
    :param members: its upstreams
    :param register: registry of suspected poison requests
    :param parts: quarantine of prompt parts
    :param fairness_mode: the deployment's fairness mode
    :param random_: seeded random generator
    :param token_gap_ms: inter-token gap target, in milliseconds
    :param max_entries: maximum number of waiting jobs
    :param max_bytes: maximum size of waiting bodies, in bytes
    :param budget: the retry budget
    :param cold_starts: see :class:`job_placement.Placer`
    :param limits: see :class:`job_placement.Placer`
    :param zones: see :class:`job_placement.Placer`
    """

    def __init__(
        self,
        row: tables.Pool,
        members: pool_upstreams.PoolUpstreams,
        register: poison.PoisonRegistry,
        parts: part_quarantine.PartQuarantine,
        fairness_mode: fairness.FairnessMode,
        random_: random.Random,
        token_gap_ms: int,
        max_entries: int,
        max_bytes: int,
        budget: retries.RetryBudget | None = None,
        cold_starts: cold_start.ColdStartLimiter | None = None,
        limits: send_limits.SendLimits | None = None,
        zones: zone_costs.ZoneCosts | None = None,
    ) -> None:
        self.row = row
        self.members = members
        self.queue = fair_queue.FairQueue(max_entries, max_bytes)
        self.placer = job_placement.Placer(
            members, random_, token_gap_ms, cold_starts, limits, zones
        )
        self.peer_ranks = peer_ranks.PeerRanks()
        self.peer_accounts = peer_accounts.PeerAccounts(
            self.queue, self.peer_ranks
        )
        self.stats = pool_stats.PoolStats()
        self.budget = budget or retries.RetryBudget()
        self._admission = admission.Admission(
            self.queue, self.placer, self.peer_accounts, self.stats
        )
        self._register = register
        self._parts = parts
        self._fairness_mode = fairness_mode
        self._free_slots = UNKNOWN_FREE_SLOTS
        self._free_since_ms = 0
        self._displaced: list[jobs.Refusal] = []
        self._headroom = rank_headroom.RankHeadroom()
        # Whether a job with more than one rank in its pool was submitted.
        self._has_ranks = False
        # Whether the waiting jobs leave the free slots to a higher rank.
        self._is_held = False

    def submit(self, job: jobs.Job, now_ms: int) -> errors.Fault | None:
        """Add a job to the queue, or reject it immediately.

        :param job: the job
        :param now_ms: current time in milliseconds
        :returns: the reason for a rejection, or none
        """
        self._has_ranks = job.pool_ranks.differ
        fault = self._submit(job, job.compute_queue_rank(), now_ms)
        if fault is not None:
            _add_rank(fault, job, now_ms)
        return fault

    def drain_displaced(self) -> list[jobs.Refusal]:
        """Return rejections of jobs displaced from a full queue, once."""
        displaced, self._displaced = self._displaced, []
        return displaced

    def _submit(
        self, job: jobs.Job, rank: int, now_ms: int
    ) -> errors.Fault | None:
        fault = (
            self._check_quarantine(job, now_ms)
            or self._check_budget(job)
            or self._admission.check_capacity(job, rank)
        )
        if fault is not None:
            return fault
        if not self._has_required_version(job):
            return self._make_version_rejection(job)
        best = self.placer.estimate(job, self.row, now_ms)
        if best is None or not self.members.decodes:
            return admission.make_rejection(
                errors.Code.NO_UPSTREAM,
                job,
                "no upstream can serve this request now",
                self.stats.clamp_retry_ms(NO_UPSTREAM_RETRY_MS),
            )
        latest_ms = self._admission.compute_latest_start_ms(
            job, best, self.row
        )
        headroom = self._count_headroom(now_ms) if rank else 0
        fault = self._admission.check_deadline(
            job, best, latest_ms, now_ms, rank, headroom
        )
        if fault is not None:
            return fault
        self._displace(job, rank, now_ms)
        cost = self.stats.estimate_cost(job, best.tokens)
        lane = self._choose_lane(job, best.prefill_ms, now_ms)
        if not len(self.queue):
            # Free slots are not estimated while the queue is empty.
            self._free_slots = UNKNOWN_FREE_SLOTS
        self.queue.push(
            fair_queue.QueueEntry(
                job, lane, cost, latest_ms, best.prefill_ms, rank
            )
        )
        return None

    def _displace(self, job: jobs.Job, rank: int, now_ms: int) -> None:
        """Reject waiting jobs of lower ranks until another job fits."""
        for entry in self.queue.list_displaceable(job, rank) or ():
            self.queue.remove(entry.job.job_id)
            fault = admission.make_rejection(
                errors.Code.OVERLOADED,
                entry.job,
                "a job of a higher rank needs the place in the queue",
                self.stats.clamp_retry_ms(self.stats.hold_ms.value / 4),
            )
            fault.inputs = {"displaced_by": job.rank}
            _add_rank(fault, entry.job, now_ms)
            self._displaced.append(jobs.Refusal(entry.job.job_id, fault))

    def is_clear(self, job: jobs.Job, now_ms: int) -> bool:
        """Return whether a job is neither suspect nor quarantined.

        :param job: the job
        :param now_ms: current time in milliseconds
        """
        state = self._register.get_state(job.digest, now_ms)
        verdict = self._parts.assess(job.part_keys, now_ms)
        return (
            state is poison.QuarantineState.CLEAR
            and verdict.state is part_records.PartState.CLEAR
        )

    def check_running(
        self, job: running_jobs.RunningJob, now_ms: int
    ) -> errors.Fault | None:
        """Return why a started job must not be sent to another engine.

        :param job: the job
        :param now_ms: current time in milliseconds
        :returns: the rejection if it was quarantined since its start, or none
        """
        if job.is_trial:
            return None
        return self._check_quarantine(job.entry.job, now_ms)

    def list_unservable(self) -> list[jobs.Refusal]:
        """Return rejections of the jobs whose software version has left."""
        return [
            jobs.Refusal(
                entry.job.job_id, self._make_version_rejection(entry.job)
            )
            for entry in self.queue.list_entries()
            if not self._has_required_version(entry.job)
        ]

    def expire_waiting(self, now_ms: int) -> list[jobs.Refusal]:
        """Reject the jobs that can no longer meet their deadline.

        :param now_ms: current time in milliseconds
        :returns: the rejections, which are final and due immediately
        """
        retry_ms = self.stats.clamp_retry_ms(self.stats.hold_ms.value / 10)
        refusals = []
        for entry in self.queue.pop_expired(now_ms):
            fault = admission.make_rejection(
                errors.Code.DEADLINE_EXCEEDED,
                entry.job,
                "no slot became free for its rank before the deadline"
                if entry.rank
                else "no slot became free before the deadline",
                retry_ms,
            )
            _add_rank(fault, entry.job, now_ms)
            refusals.append(jobs.Refusal(entry.job.job_id, fault))
        return refusals

    def start_next(
        self, now_ms: int, refusals: list[jobs.Refusal]
    ) -> running_jobs.RunningJob | None:
        """Start the next job that can start now.

        :param now_ms: current time in milliseconds
        :param refusals: list to which jobs that are now quarantined are added
        :returns: the started job, or none if none can start now
        """
        if self._has_ranks and self._headroom.is_sample_due(now_ms):
            self._sample_waiting(now_ms)
        if not len(self.queue):
            # Each gossip message causes a call, mostly with an empty queue.
            return None
        self.placer.typical_stream_ms = self.stats.hold_ms.value
        free = self.placer.estimate_free_slots(now_ms)
        self._record_free_slots(free, now_ms)
        tried = 0
        for entry in self._list_candidates(now_ms, refusals):
            ahead = self._count_ahead(entry, now_ms)
            if self._has_to_yield(ahead, free, now_ms):
                return None
            placement = self.placer.choose(
                entry, self.row, now_ms, _get_yield_ms(ahead)
            )
            if placement is not None:
                return self._start(entry, placement, now_ms)
            # A resumed stream whose engines are full must not keep others
            # from being considered.
            tried += entry.job.required_version is None
            if tried == MAX_PLACEMENTS_TRIED:
                break
        return None

    def get_wake_ms(self, now_ms: int) -> int | None:
        """Return the time of the next decision if nothing happens before.

        :param now_ms: current time in milliseconds
        :returns: a time in milliseconds; none if the queue is empty
        """
        latest_ms = self.queue.get_next_expiry_ms()
        if latest_ms is None:
            return None
        interval_ms = (
            RETRY_INTERVAL_MS
            if self._free_slots and not self._is_held
            else FULL_INTERVAL_MS
        )
        return max(min(latest_ms, now_ms + interval_ms), now_ms + 1)

    def _has_required_version(self, job: jobs.Job) -> bool:
        return job.required_version is None or bool(
            self.members.list_decodes(job.required_version)
        )

    def _make_version_rejection(self, job: jobs.Job) -> errors.Fault:
        return admission.make_rejection(
            errors.Code.NO_UPSTREAM,
            job,
            "no engine has the software version that began the stream",
            self.stats.clamp_retry_ms(NO_UPSTREAM_RETRY_MS),
        )

    def _check_quarantine(
        self, job: jobs.Job, now_ms: int
    ) -> errors.Fault | None:
        quarantine = self._register.get_state(job.digest, now_ms)
        if quarantine is not poison.QuarantineState.QUARANTINED:
            return self._check_parts(job, now_ms)
        self._register.renew_quarantine(job.digest, now_ms)
        return admission.make_rejection(
            errors.Code.QUARANTINED,
            job,
            "upstreams crashed while they ran this request",
            self._register.get_retry_ms(job.digest, now_ms),
        )

    def _check_parts(self, job: jobs.Job, now_ms: int) -> errors.Fault | None:
        verdict = self._parts.assess(job.part_keys, now_ms)
        if verdict.state is not part_records.PartState.QUARANTINED:
            return None
        fault = admission.make_rejection(
            errors.Code.QUARANTINED,
            job,
            "upstreams crashed while they ran requests with this prompt part",
            max(verdict.retry_after_ms, MIN_QUARANTINE_RETRY_MS),
        )
        fault.inputs = {
            "part": verdict.key,
            "crashes": len(verdict.upstreams),
            "crashed": " ".join(verdict.upstreams),
        }
        return fault

    def _check_budget(self, job: jobs.Job) -> errors.Fault | None:
        if job.attempt == 0:
            self.budget.deposit()
            return None
        if self.budget.try_withdraw():
            return None
        return admission.make_rejection(
            errors.Code.OVERLOADED,
            job,
            "retry budget exhausted",
            self.stats.clamp_retry_ms(self.stats.hold_ms.value / 10),
        )

    def _choose_lane(
        self, job: jobs.Job, prefill_ms: float, now_ms: int
    ) -> fair_queue.Lane:
        if not self.is_clear(job, now_ms):
            return fair_queue.Lane.SUSPECT
        if job.required_version is not None:
            return fair_queue.Lane.RESUMED
        is_long = prefill_ms > LONG_PREFILL_MS
        return fair_queue.Lane.LONG if is_long else fair_queue.Lane.SHORT

    def _count_headroom(self, now_ms: int) -> int:
        # Memory may be full long before the slots are.
        running = sum(
            view.count_running() for view in self.members.list_decodes(None)
        )
        return self._headroom.get_slots(running + self._free_slots, now_ms)

    def _sample_waiting(self, now_ms: int) -> None:
        highest = self.queue.get_rank(0)
        # A job that has just arrived may start at once.
        own = sum(
            entry.job.arrived_ms < now_ms
            for entry in (highest.entries.values() if highest else ())
        )
        # What precedes the next lower rank at peers is of the highest one.
        count = own + self.peer_accounts.count_above(1, now_ms)
        self._headroom.record_waiting(count, self.stats.hold_ms.value, now_ms)

    def _record_free_slots(self, free: int, now_ms: int) -> None:
        if free != self._free_slots:
            self._free_slots = free
            self._free_since_ms = now_ms

    def _list_candidates(
        self, now_ms: int, refusals: list[jobs.Refusal]
    ) -> collections.abc.Iterator[fair_queue.QueueEntry]:
        # A lower rank is considered only if the jobs of higher ones wait for
        # other reasons than their order.
        self._is_held = False
        for rank in self.queue.list_ranks():
            headroom = self._count_headroom(now_ms) if rank else 0
            if headroom and self._free_slots <= headroom:
                self._is_held = True
                return
            yield from self._list_rank_candidates(rank, now_ms, refusals)

    def _list_rank_candidates(
        self, rank: int, now_ms: int, refusals: list[jobs.Refusal]
    ) -> list[fair_queue.QueueEntry]:
        states = self.queue.list_next(MAX_ACCOUNTS_TRIED, rank)
        limit = states[0].virtual_start + self._fairness_mode.slack_tokens
        entries = [
            (state.virtual_start, entry)
            for state in states
            for entry in state.list_heads(now_ms, rank)
            if self._is_runnable(entry, now_ms, refusals)
        ]
        # Jobs that can still meet their target go first; the sort is stable
        # and keeps the fair order within both groups.
        entries.sort(key=lambda pair: pair[1].is_late(now_ms))
        # Within the slack the cheaper prompt goes first; without slack the
        # fair order stays.
        if self._fairness_mode.slack_tokens:
            entries.sort(
                key=lambda pair: (
                    pair[1].is_late(now_ms),
                    pair[0] > limit,
                    pair[1].prefill_ms if pair[0] <= limit else pair[0],
                )
            )
        return [entry for _, entry in entries]

    def _is_runnable(
        self,
        entry: fair_queue.QueueEntry,
        now_ms: int,
        refusals: list[jobs.Refusal],
    ) -> bool:
        fault = self._check_quarantine(entry.job, now_ms)
        if fault is not None:
            self.queue.remove(entry.job.job_id)
            refusals.append(jobs.Refusal(entry.job.job_id, fault))
            return False
        lane = self._choose_lane(entry.job, entry.prefill_ms, now_ms)
        if lane is not entry.lane and fair_queue.Lane.SUSPECT in (
            lane,
            entry.lane,
        ):
            self.queue.move(entry.job.job_id, lane)
        return True

    def _count_ahead(self, entry: fair_queue.QueueEntry, now_ms: int) -> int:
        """Return how many of the peers' jobs precede an own job."""
        job = entry.job
        state = self.queue.find_account(job.account, job.weight)
        # Peers apply the same slack to the fair order.
        return self.peer_accounts.count_ahead(
            state, entry, self._fairness_mode.slack_tokens, now_ms
        )

    def _has_to_yield(self, ahead: int, free: int, now_ms: int) -> bool:
        waited_ms = now_ms - self._free_since_ms
        return free <= ahead and waited_ms < _get_yield_ms(ahead)

    def reassign_decode(
        self,
        job: running_jobs.RunningJob,
        rejected_by: str,
        now_ms: int,
        is_unreached: bool = False,
    ) -> upstream_view.UpstreamView | None:
        """Move a started job's decode reservation to another upstream.

        Without another slot, the prefill's result expires and is lost.

        :param job: the job
        :param rejected_by: the upstream that rejected it
        :param now_ms: current time in milliseconds
        :param is_unreached: whether it was unreachable instead of full
        :returns: the upstream to try next, or none
        """
        view = self.members.find(rejected_by)
        if view is not None and is_unreached:
            view.health.record_failure(True, now_ms)
        elif view is not None:
            view.record_full(now_ms)
        return self._move_decode(
            job,
            self.placer.choose_other_decode(
                job.entry, job.placement, self.row, now_ms
            ),
            now_ms,
        )

    def avoid_decode(
        self, job: running_jobs.RunningJob, upstream: str, now_ms: int
    ) -> upstream_view.UpstreamView | None:
        """Move a started job's decode reservation from a silent upstream.

        :param job: the job
        :param upstream: the upstream, of which nothing is recorded
        :param now_ms: current time in milliseconds
        :returns: the upstream to try next, or none
        """
        return self._move_decode(
            job,
            self.placer.choose_other_decode(
                job.entry, job.placement, self.row, now_ms, upstream
            ),
            now_ms,
        )

    def _move_decode(
        self,
        job: running_jobs.RunningJob,
        decode: upstream_view.UpstreamView | None,
        now_ms: int,
    ) -> upstream_view.UpstreamView | None:
        """Move a job's decode reservation, unless it is there already."""
        previous = job.placement.decode
        if decode is None or previous is None or decode is previous:
            return None
        previous.move_decode_to(
            decode, job.placement.blocks, now_ms, job.placement.stream
        )
        self.placer.limits.record_choice(decode.row.name, now_ms)
        decode.own_suspects += job.is_suspect()
        previous.own_suspects -= job.is_suspect()
        job.placement.decode = decode
        return decode

    def _start(
        self,
        entry: fair_queue.QueueEntry,
        placement: placements.Placement,
        now_ms: int,
    ) -> running_jobs.RunningJob:
        job = entry.job
        self.queue.remove(job.job_id)
        entry.cost = self.stats.estimate_cost(job, placement.tokens)
        self.queue.charge(job.account, job.weight, entry.cost)
        self.placer.commit(placement, job, self.row, now_ms)
        started = running_jobs.RunningJob(entry, placement, now_ms)
        if self._parts.assess(job.part_keys, now_ms).is_trial:
            started.is_trial = True
            self._parts.begin_trial(job.part_keys, now_ms)
        return started


def _get_yield_ms(ahead: int) -> int:
    """Return how long to yield a free slot to peers' jobs, in ms."""
    return min(ahead * YIELD_PER_JOB_MS, MAX_YIELD_MS)


def _add_rank(fault: errors.Fault, job: jobs.Job, now_ms: int) -> None:
    """Log the rank, and spread the returns of callers refused together."""
    if not job.pool_ranks.differ:
        return
    fault.inputs["rank"] = job.rank
    if fault.retry_after_ms is None or (fault.code is errors.Code.QUARANTINED):
        return
    fault.retry_after_ms = ranks.compute_return_ms(
        fault.retry_after_ms,
        job.rank - job.pool_ranks.highest,
        job.request_id,
        job.caller_deadline.left_ms(now_ms),
    )

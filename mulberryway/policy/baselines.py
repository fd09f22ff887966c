"""Two simple schedulers without fairness, as baselines for measurements."""

import abc
import collections
import random

import expression

from mulberryway import errors
from mulberryway import tables
from mulberryway.policy import base
from mulberryway.policy import jobs
from mulberryway.upstreams import base as upstreams

__all__ = ["FirstComeScheduler", "RandomOfTwoScheduler"]

RETRY_AFTER_MS = 1_000
PREFILL_ROLES = (tables.UpstreamRole.PREFILL, tables.UpstreamRole.BOTH)
DECODE_ROLES = (tables.UpstreamRole.DECODE, tables.UpstreamRole.BOTH)


class _Member:
    """An upstream with the number of this process's requests on it."""

    __slots__ = ("upstream", "slots", "prefills", "decodes", "running")

    def __init__(self, upstream: tables.Upstream, slots: int) -> None:
        self.upstream = upstream
        self.slots = slots
        self.prefills = 0
        self.decodes = 0
        self.running = 0


class _Running:
    """The upstreams of a started job, and whether its prefill runs."""

    __slots__ = ("prefill", "decode", "is_prefilling")

    def __init__(self, prefill: _Member, decode: _Member) -> None:
        self.prefill = prefill
        self.decode = decode
        self.is_prefilling = True


class _QueueScheduler(base.Scheduler):
    """Keeps one queue in order of arrival; subclasses choose the upstreams.

    It rejects only jobs past their deadline, ignores accounts, prefixes and
    prefill queues, and never ejects an upstream.

    :param seed: seed of the random generator
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._queue: collections.deque[jobs.Job] = collections.deque()
        self._waiting: dict[str, jobs.Job] = {}
        self._running: dict[str, _Running] = {}
        self._members: dict[str, dict[str, _Member]] = {}

    @abc.abstractmethod
    def _choose_prefill(self, members: list[_Member]) -> _Member:
        """Choose one of the members, of which there is at least one."""

    @abc.abstractmethod
    def _choose_decode(self, members: list[_Member]) -> _Member:
        """Choose one of the members, of which there is at least one."""

    def submit(
        self, job: jobs.Job, now_ms: int
    ) -> expression.Result[None, errors.Fault]:
        """Add a job to the end of the queue.

        :param job: the job
        :param now_ms: current time in milliseconds
        :returns: nothing, or ``NO_UPSTREAM`` for an unknown pool
        """
        if job.pool not in self._members:
            return expression.Error(
                errors.Fault(
                    errors.Code.NO_UPSTREAM, errors.Step.ADMISSION, job.pool
                )
            )
        self._queue.append(job)
        self._waiting[job.job_id] = job
        return expression.Ok(None)

    def dispatch(self, now_ms: int) -> jobs.DispatchResult:
        """Start jobs from the head of the queue while upstreams have slots.

        :param now_ms: current time in milliseconds
        :returns: the decisions
        """
        refusals = self._reject_expired(now_ms)
        assignments = []
        blocked: set[str] = set()
        still_queued: collections.deque[jobs.Job] = collections.deque()
        while self._queue:
            job = self._queue.popleft()
            if job.job_id not in self._waiting:
                continue
            assignment = None if job.pool in blocked else self._assign(job)
            if assignment is None:
                blocked.add(job.pool)
                still_queued.append(job)
            else:
                assignments.append(assignment)
        self._queue = still_queued
        wake_ms = min(
            (job.deadline.at_ms for job in still_queued), default=None
        )
        return jobs.DispatchResult(assignments, refusals, wake_ms)

    def cancel(self, job_id: str, now_ms: int) -> bool:
        """Remove a waiting job.

        :param job_id: the job
        :param now_ms: current time in milliseconds
        :returns: false if it was not waiting
        """
        return self._waiting.pop(job_id, None) is not None

    def record_prefilled(self, job_id: str, now_ms: int) -> None:
        """Record that a job's prefill has ended.

        :param job_id: the job
        :param now_ms: current time in milliseconds
        """
        running = self._running.get(job_id)
        if running is not None and running.is_prefilling:
            running.is_prefilling = False
            running.prefill.prefills -= 1

    def record_first_token(self, job_id: str, now_ms: int) -> None:
        """Do nothing; the baselines do not use this event.

        :param job_id: the job
        :param now_ms: current time in milliseconds
        """

    def finish(
        self,
        job_id: str,
        outcome: jobs.JobOutcome,
        upstream: str,
        now_ms: int,
    ) -> None:
        """Release a started job's slots.

        :param job_id: the job
        :param outcome: the outcome
        :param upstream: the upstream at fault
        :param now_ms: current time in milliseconds
        """
        self.record_prefilled(job_id, now_ms)
        running = self._running.pop(job_id, None)
        if running is not None:
            running.decode.decodes -= 1

    def record_load(
        self,
        pool: str,
        upstream: str,
        load: upstreams.EngineLoad,
        now_ms: int,
    ) -> None:
        """Record the reported number of requests.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param load: the report
        :param now_ms: current time in milliseconds
        """
        member = self._members.get(pool, {}).get(upstream)
        if member is not None:
            member.running = load.running + load.waiting

    def record_cache_events(
        self,
        pool: str,
        upstream: str,
        events: list[upstreams.CacheEvent],
        now_ms: int,
    ) -> None:
        """Do nothing; the baselines do not use this event.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param events: the events in order
        :param now_ms: current time in milliseconds
        """

    def change_pools(self, pools: dict[str, tables.Pool], now_ms: int) -> None:
        """Apply a new table of pools, and keep the remaining counts.

        :param pools: the pools by name
        :param now_ms: current time in milliseconds
        """
        before = self._members
        self._members = {
            name: {
                upstream.name: self._update_member(
                    before.get(name, {}).get(upstream.name),
                    upstream,
                    pool.slots,
                )
                for upstream in pool.upstreams
            }
            for name, pool in pools.items()
            if pool.kind is tables.PoolKind.MODEL
        }

    @staticmethod
    def _update_member(
        member: _Member | None, upstream: tables.Upstream, slots: int
    ) -> _Member:
        member = member or _Member(upstream, slots)
        member.upstream = upstream
        member.slots = slots
        return member

    def _reject_expired(self, now_ms: int) -> list[jobs.Refusal]:
        expired = [
            job
            for job in self._waiting.values()
            if job.deadline.has_passed(now_ms)
        ]
        for job in expired:
            del self._waiting[job.job_id]
        return [
            jobs.Refusal(
                job.job_id,
                errors.Fault(
                    errors.Code.DEADLINE_EXCEEDED,
                    errors.Step.QUEUE,
                    job.pool,
                    retry_after_ms=RETRY_AFTER_MS,
                ),
            )
            for job in expired
        ]

    def _assign(self, job: jobs.Job) -> jobs.Assignment | None:
        usable = [
            member
            for member in self._members.get(job.pool, {}).values()
            if not member.upstream.leaving
            and member.upstream.name not in job.excluded_upstreams
        ]
        prefills = [m for m in usable if m.upstream.role in PREFILL_ROLES]
        decodes = [
            member
            for member in usable
            if member.upstream.role in DECODE_ROLES
            and member.decodes < member.slots
        ]
        if not prefills or not decodes:
            return None
        prefill = self._choose_prefill(prefills)
        decode = self._choose_decode(decodes)
        prefill.prefills += 1
        decode.decodes += 1
        del self._waiting[job.job_id]
        self._running[job.job_id] = _Running(prefill, decode)
        return jobs.Assignment(
            job.job_id, prefill.upstream.name, decode.upstream.name
        )


class FirstComeScheduler(_QueueScheduler):
    """Serves in order of arrival; chooses the least loaded upstream."""

    def _choose_prefill(self, members: list[_Member]) -> _Member:
        return min(members, key=lambda member: member.prefills)

    def _choose_decode(self, members: list[_Member]) -> _Member:
        return min(members, key=lambda member: member.decodes)


class RandomOfTwoScheduler(_QueueScheduler):
    """Serves in order of arrival; chooses the better of two at random."""

    def _choose_prefill(self, members: list[_Member]) -> _Member:
        return min(
            self._sample(members),
            key=lambda member: max(member.running, member.prefills),
        )

    def _choose_decode(self, members: list[_Member]) -> _Member:
        return min(
            self._sample(members),
            key=lambda member: max(member.running, member.decodes),
        )

    def _sample(self, members: list[_Member]) -> list[_Member]:
        return self._random.sample(members, min(2, len(members)))

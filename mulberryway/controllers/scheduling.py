"""Runs the scheduler for worker threads and wakes them on its decisions."""

import collections
import collections.abc
import logging
import threading

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import metrics
from mulberryway import tables
from mulberryway.controllers import base
from mulberryway.policy import base as policy
from mulberryway.policy import hints
from mulberryway.policy import job_liveness
from mulberryway.policy import jobs
from mulberryway.policy import pool_demand
from mulberryway.policy import probes
from mulberryway.upstreams import base as upstreams

__all__ = ["SchedulingController", "Ticket"]

LOG = logging.getLogger(__name__)

IDLE_MS = 1_000
MS_IN_S = 1_000
# A decision that is later than this has been lost.  The limit keeps a worker
# from waiting forever.
DECISION_GRACE_MS = 2_000
# In a large fleet hundreds of gossip messages arrive per second, and with
# waiting jobs a dispatch takes longer than applying a message.  Messages that
# arrive within this time share one dispatch.
GOSSIP_DISPATCH_INTERVAL_MS = 20
MAX_LOGGED_JOBS = 8

Decision = expression.Result[jobs.Assignment, errors.Fault]


class Ticket:
    """A waiting job and, later, the scheduler's decision.

    :param job: the job
    """

    __slots__ = ("job", "decided", "decision")

    def __init__(self, job: jobs.Job) -> None:
        self.job = job
        self.decided = threading.Event()
        self.decision: Decision | None = None


class SchedulingController(base.Controller):
    """Locks a scheduler, which is not thread-safe itself.

    Every change that may let a job start is followed by a dispatch on the
    thread that makes the change.  The controller's own thread only handles
    deadlines.

    :param scheduler: makes the decisions
    :param clock_: the clock
    """

    def __init__(
        self, scheduler: policy.Scheduler, clock_: clock.Clock
    ) -> None:
        super().__init__("scheduling", clock_, IDLE_MS)
        self._scheduler = scheduler
        self._lock = threading.Lock()
        self._tickets: dict[str, Ticket] = {}
        self._started = job_liveness.JobLiveness()
        # Started jobs that had to be ended because nobody else did.
        self._lost = 0
        self._dispatched_ms = 0
        self._loads: dict[tuple[str, str], upstreams.EngineLoad] = {}
        # Numbers of rejected jobs by pool and rank.
        self._rejected: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        # Called after jobs were submitted, started or ended; must not block.
        self.on_change: collections.abc.Callable[[], None] = lambda: None
        # Called with the pool and the name of an upstream that has crashed,
        # and the time.
        self.on_upstream_end: collections.abc.Callable[
            [str, str, int], None
        ] = lambda pool, upstream, at_ms: None

    @property
    def waiting(self) -> int:
        """Number of waiting jobs."""
        return len(self._tickets)

    @property
    def started(self) -> int:
        """Number of jobs that have started and not ended."""
        return len(self._started)

    def count_waiting_by_rank(self) -> list[tuple[metrics.Labels, int]]:
        """Return the number of waiting jobs with their pool and rank."""
        with self._lock:
            counts = collections.Counter(
                (ticket.job.pool, ticket.job.rank)
                for ticket in self._tickets.values()
            )
        return _label_counts(counts)

    def count_rejected_by_rank(self) -> list[tuple[metrics.Labels, int]]:
        """Return the number of rejected jobs with their pool and rank."""
        with self._lock:
            return _label_counts(self._rejected)

    def is_running(self, job_id: str) -> bool:
        """Return whether a job has started and not ended.

        :param job_id: the job
        :returns: whether its attempt is still running
        """
        with self._lock:
            return job_id in self._started

    def step(self) -> None:
        """Dispatch, and sleep until the scheduler's next wake-up time."""
        self._end_lost()
        with self._lock:
            wake_ms = self._dispatch()
            max_sleep_ms = (
                GOSSIP_DISPATCH_INTERVAL_MS if self._tickets else IDLE_MS
            )
        now_ms = self.clock.now_ms()
        self.period_ms = (
            max_sleep_ms
            if wake_ms is None
            else min(max(wake_ms - now_ms, 1), max_sleep_ms)
        )

    def submit(self, job: jobs.Job) -> expression.Result[Ticket, errors.Fault]:
        """Queue a job, or reject it immediately.

        :param job: the job
        :returns: its ticket, or a fault with run ``NOT_RUN``
        """
        ticket = Ticket(job)
        with self._lock:
            taken = self._scheduler.submit(job, self.clock.now_ms())
            if taken.is_error():
                self._rejected[job.pool, job.rank] += 1
                return expression.Error(taken.error)
            self._tickets[job.job_id] = ticket
            self._dispatch()
        self.on_change()
        if not ticket.decided.is_set():
            self.wake()
        return expression.Ok(ticket)

    def wait(self, ticket: Ticket) -> Decision:
        """Wait until a job is assigned, rejected or cancelled.

        :param ticket: the ticket that ``submit`` returned
        :returns: the job's assignment, or a fault
        """
        job = ticket.job
        left_ms = job.deadline.left_ms(self.clock.now_ms()) + DECISION_GRACE_MS
        if not ticket.decided.wait(left_ms / MS_IN_S):
            self.cancel_waiting(
                ticket,
                errors.Fault(errors.Code.DEADLINE_EXCEEDED, errors.Step.QUEUE),
            )
        assert ticket.decision is not None
        return ticket.decision

    def cancel_waiting(self, ticket: Ticket, fault: errors.Fault) -> None:
        """Cancel a waiting job; do nothing if it is decided.

        :param ticket: the ticket that ``submit`` returned
        :param fault: the result for the job's worker
        """
        with self._lock:
            job_id = ticket.job.job_id
            if ticket.decision is not None:
                return
            self._scheduler.cancel(job_id, self.clock.now_ms())
            self._tickets.pop(job_id, None)
            ticket.decision = expression.Error(fault)
            ticket.decided.set()
            self._dispatch()

    def record_prefilled(self, job_id: str) -> None:
        """Record that a started job's prefill has succeeded.

        :param job_id: the job
        """
        with self._lock:
            self._scheduler.record_prefilled(job_id, self.clock.now_ms())
            self._dispatch()

    def record_prefill_failed(self, job_id: str) -> None:
        """Record a failed prefill; the decode engine prefills the prompt.

        :param job_id: the job
        """
        with self._lock:
            self._scheduler.record_prefill_failed(job_id, self.clock.now_ms())
            self._dispatch()

    def record_first_token(self, job_id: str) -> None:
        """Record that a started job's first token has arrived.

        :param job_id: the job
        """
        with self._lock:
            self._scheduler.record_first_token(job_id, self.clock.now_ms())

    def record_output(self, job_id: str) -> None:
        """Record the first output of a started job's engine.

        :param job_id: the job, which may resume a stream
        """
        with self._lock:
            self._scheduler.record_output(job_id, self.clock.now_ms())

    def record_break(self, job_id: str, output_ms: int | None) -> None:
        """Record that a started job's connection has broken, before its end.

        :param job_id: the job
        :param output_ms: time of its last output, in ms; None if there was
            none
        """
        with self._lock:
            self._scheduler.record_break(
                job_id, output_ms, self.clock.now_ms()
            )

    def record_alive(self, pool: str, upstream: str) -> None:
        """Record that an engine has just answered a call of this VM.

        :param pool: the pool's name
        :param upstream: the engine's name
        """
        with self._lock:
            now_ms = self.clock.now_ms()
            self._scheduler.record_alive(pool, upstream, now_ms, now_ms)
            self._dispatch()

    def list_unconfirmed(self) -> list[tuple[str, str]]:
        """Return the engines that have to show that they survived a suspect.

        :returns: pairs of a pool's and an engine's name
        """
        with self._lock:
            return self._scheduler.list_unconfirmed(self.clock.now_ms())

    def check_running(
        self, job_id: str
    ) -> expression.Result[None, errors.Fault]:
        """Check that a started job may be sent to another engine.

        :param job_id: the job
        :returns: nothing, or the fault if it was quarantined since its start
        """
        with self._lock:
            fault = self._scheduler.check_running(job_id, self.clock.now_ms())
        return (
            expression.Ok(None) if fault is None else expression.Error(fault)
        )

    def try_send(self, job_id: str, upstream: str) -> bool:
        """Count a request that is about to be sent, if it may be sent.

        :param job_id: the job
        :param upstream: the engine's name
        :returns: whether it may be sent
        """
        with self._lock:
            return self._scheduler.try_send(
                job_id, upstream, self.clock.now_ms()
            )

    def has_quarantined_part(self, part_keys: tuple[str, ...]) -> bool:
        """Return whether a request must not run because of its prompt.

        :param part_keys: keys of its prompt's parts
        """
        with self._lock:
            return self._scheduler.has_quarantined_part(
                part_keys, self.clock.now_ms()
            )

    def count_parts(self, state: str) -> int:
        """Return the number of prompt parts that are blamed for crashes.

        :param state: ``suspect`` or ``quarantined``
        """
        with self._lock:
            return self._scheduler.count_parts(state)

    def finish(
        self, job_id: str, end: jobs.JobOutcome, upstream: str = ""
    ) -> None:
        """Release a started job's reservations; later calls do nothing.

        :param job_id: the job
        :param end: the job's outcome
        :param upstream: the upstream that failed; empty if none
        """
        with self._lock:
            if not self._started.end(job_id):
                return
            self._scheduler.finish(job_id, end, upstream, self.clock.now_ms())
            self._dispatch()
        self.on_change()
        self._report_ended()

    def abandon(self, job_id: str) -> None:
        """Release all that a job holds, whether it waits or has started.

        For a job whose request has failed by an exception; later calls, and
        calls for unknown jobs, do nothing.

        :param job_id: the job
        """
        with self._lock:
            ticket = self._tickets.get(job_id)
        if ticket is not None:
            self.cancel_waiting(
                ticket, errors.Fault(errors.Code.INTERNAL, errors.Step.QUEUE)
            )
        self.finish(job_id, jobs.JobOutcome.CANCELLED)

    def record_load(
        self, pool: str, upstream: str, load: upstreams.EngineLoad
    ) -> None:
        """Apply a load report.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param load: the report
        """
        with self._lock:
            self._loads[pool, upstream] = load
            self._scheduler.record_load(
                pool, upstream, load, self.clock.now_ms()
            )
            self._dispatch()

    def read_loads(self) -> dict[tuple[str, str], upstreams.EngineLoad]:
        """Return the newest load reports by pool and upstream."""
        with self._lock:
            return dict(self._loads)

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register metrics of the engines' memory.

        :param metrics_: the process's instruments
        """
        metrics_.register_labeled_gauge(
            "engine_memory",
            "KV cache blocks of decode engines by pool and kind, and streams",
            self._list_memory,
        )
        metrics_.register_gauge(
            "jobs.silent_ms",
            "longest time without a report of a job past its deadline, in ms",
            self._get_longest_silence_ms,
        )
        metrics_.register_counter(
            "jobs.lost",
            "started jobs that were never ended and had to be",
            lambda: [({}, self._lost)],
        )

    def _get_longest_silence_ms(self) -> int:
        with self._lock:
            return self._started.get_longest_silence_ms(self.clock.now_ms())

    def _list_memory(self) -> list[tuple[metrics.Labels, int]]:
        with self._lock:
            counts = self._scheduler.count_memory(self.clock.now_ms())
        return [
            ({"pool": pool, "kind": kind}, count)
            for pool, kinds in counts.items()
            for kind, count in kinds.items()
        ]

    def read_demands(self) -> dict[str, pool_demand.PoolDemand]:
        """Return what was asked of the pools in the last minute."""
        with self._lock:
            return self._scheduler.read_demands(self.clock.now_ms())

    def record_cache_events(
        self, pool: str, upstream: str, events: list[upstreams.CacheEvent]
    ) -> None:
        """Apply cache events.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param events: the events in their order
        """
        with self._lock:
            self._scheduler.record_cache_events(
                pool, upstream, events, self.clock.now_ms()
            )

    def record_tokens(self, job_id: str, tokens: int) -> None:
        """Record the number of tokens that a running job has generated.

        :param job_id: the job
        :param tokens: the total number of tokens so far
        """
        with self._lock:
            now_ms = self.clock.now_ms()
            self._started.report(job_id, now_ms)
            self._scheduler.record_tokens(job_id, tokens, now_ms)

    def reassign_decode(
        self, job_id: str, rejected_by: str, is_unreached: bool = False
    ) -> str | None:
        """Reassign the decode of a job whose prefill has ended.

        :param job_id: the job
        :param rejected_by: the upstream that did not accept it
        :param is_unreached: whether that upstream could not be reached; if
            not, it is full
        :returns: the upstream to try, with a slot reserved, or None
        """
        with self._lock:
            return self._scheduler.reassign_decode(
                job_id, rejected_by, self.clock.now_ms(), is_unreached
            )

    def avoid_decode(self, job_id: str, upstream: str) -> str | None:
        """Move the decode of a job from an upstream that may be full.

        :param job_id: the job
        :param upstream: the upstream, of which nothing is recorded
        :returns: the upstream to try, with a slot reserved, or None
        """
        with self._lock:
            return self._scheduler.avoid_decode(
                job_id, upstream, self.clock.now_ms()
            )

    def has_decode_capacity(
        self, pool: str, excluded: str, required_version: str | None
    ) -> bool:
        """Return whether another engine probably has capacity for a decode.

        :param pool: the pool's name
        :param excluded: the upstream to exclude
        :param required_version: the only software version to consider; none
            for any
        """
        with self._lock:
            return self._scheduler.has_decode_capacity(
                pool, excluded, self.clock.now_ms(), required_version
            )

    def list_ejected(self) -> list[probes.EjectedUpstream]:
        """Return the ejected engines and whether each is due for a probe."""
        with self._lock:
            return self._scheduler.list_ejected(self.clock.now_ms())

    def record_probe(self, pool: str, upstream: str, has_passed: bool) -> None:
        """Record the result of a probe by this VM.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param has_passed: whether the engine answered
        """
        with self._lock:
            self._scheduler.record_probe(
                pool, upstream, has_passed, self.clock.now_ms()
            )
            self._dispatch()
        self.on_change()

    def drain_hints(self) -> hints.Note | None:
        """Return the gossip message that is due for peers, or None."""
        with self._lock:
            return self._scheduler.drain_hints(self.clock.now_ms())

    def apply_hints(self, notes: list[hints.Note]) -> None:
        """Apply other routers' gossip; the dispatch may follow a bit later.

        :param notes: the messages in the order of arrival
        """
        with self._lock:
            now_ms = self.clock.now_ms()
            for note in notes:
                self._scheduler.apply_hints(note, now_ms)
            malformed = self._scheduler.drain_malformed()
            if now_ms - self._dispatched_ms >= GOSSIP_DISPATCH_INTERVAL_MS:
                self._dispatch()
        self._report_ended()
        for vm, report in malformed:
            LOG.error(
                "a peer's report on ranks is malformed",
                extra=logs.make_extra(
                    vm=vm,
                    pool=report.pool,
                    rank=report.rank,
                    waiting=report.waiting,
                    oldest_ms=report.oldest_ms,
                ),
            )

    def record_crashes(self, deaths: list[hints.Death]) -> None:
        """Apply other VMs' reports of crashes while serving a request.

        :param deaths: the reports
        """
        with self._lock:
            self._scheduler.record_crashes(deaths, self.clock.now_ms())
        self._report_ended()

    def is_quarantined(self, digest: str) -> bool:
        """Return whether a request is quarantined for crashing upstreams.

        :param digest: identifies the request
        """
        with self._lock:
            return self._scheduler.is_quarantined(digest, self.clock.now_ms())

    def record_crash(self, digest: str, upstream: str) -> None:
        """Record that a plain service's server crashed during a request.

        :param digest: identifies the request
        :param upstream: ``pool/name`` of the server
        """
        with self._lock:
            self._scheduler.record_crash(digest, upstream, self.clock.now_ms())
        self.on_change()

    def record_answer(self, digest: str) -> None:
        """Record that a plain service's server has answered a request.

        :param digest: identifies the request
        """
        with self._lock:
            is_cleared = self._scheduler.record_answer(
                digest, self.clock.now_ms()
            )
        if is_cleared:
            LOG.info(
                "a request was answered and is no longer suspected",
                extra=logs.make_extra(digest=digest),
            )
            self.on_change()

    def _report_ended(self) -> None:
        """Report upstreams that have crashed, without the lock."""
        with self._lock:
            ended = self._scheduler.drain_ended()
        for pool, upstream, at_ms in ended:
            self.on_upstream_end(pool, upstream, at_ms)

    def _log_quarantined(self) -> None:
        """Log what the quarantines that have just begun are based on."""
        now_ms = self.clock.now_ms()
        for quarantine in self._scheduler.drain_quarantined():
            LOG.warning(
                "a request is quarantined",
                extra=logs.make_extra(
                    digest=quarantine.digest,
                    upstreams=quarantine.upstreams,
                    crashed_ms=[
                        now_ms - at_ms for at_ms in quarantine.crashes_ms
                    ],
                    proven=quarantine.proven,
                    answered_ms=(
                        None
                        if quarantine.answered_ms is None
                        else now_ms - quarantine.answered_ms
                    ),
                ),
            )

    def update_vms(self, vms: tuple[str, ...]) -> None:
        """Replace the list of VMs that run a router.

        :param vms: their names, including this VM's
        """
        with self._lock:
            self._scheduler.update_vms(vms, self.clock.now_ms())

    def update_peers(self, count: int) -> None:
        """Replace the number of VMs that exchange notes with this one.

        :param count: the number of peers
        """
        with self._lock:
            self._scheduler.update_peers(count)

    def update_tables(self, changed: tables.Tables) -> None:
        """Apply new tables.

        :param changed: the tables
        """
        with self._lock:
            known = {
                (pool.name, upstream.name)
                for pool in changed.pools.values()
                for upstream in pool.upstreams
            }
            self._loads = {
                key: load for key, load in self._loads.items() if key in known
            }
            self._scheduler.change_pools(changed.pools, self.clock.now_ms())
            self._dispatch()

    def _dispatch(self) -> int | None:
        self._dispatched_ms = self.clock.now_ms()
        dispatch = self._scheduler.dispatch(self._dispatched_ms)
        for assignment in dispatch.assignments:
            self._begin(assignment.job_id)
            self._decide(assignment.job_id, expression.Ok(assignment))
        for rejection in dispatch.refusals:
            self._decide(rejection.job_id, expression.Error(rejection.fault))
        for change in self._scheduler.drain_part_changes():
            LOG.info(
                "a prompt part is %s",
                change.state.value,
                extra=logs.make_extra(
                    part=change.key, crashed=change.upstreams
                ),
            )
        self._log_quarantined()
        return dispatch.wake_ms

    def _begin(self, job_id: str) -> None:
        ticket = self._tickets.get(job_id)
        now_ms = self._dispatched_ms
        self._started.begin(
            job_id,
            clock.Deadline(now_ms)
            if ticket is None
            else ticket.job.caller_deadline,
            now_ms,
        )

    def _end_lost(self) -> None:
        """End jobs that nobody has ended, so that they free their slots."""
        with self._lock:
            lost = self._started.list_lost(self.clock.now_ms())
            self._lost += len(lost)
        if not lost:
            return
        LOG.error(
            "started jobs were never ended",
            extra=logs.make_extra(
                jobs=lost[:MAX_LOGGED_JOBS], count=len(lost), total=self._lost
            ),
        )
        for job_id in lost:
            self.finish(job_id, jobs.JobOutcome.CANCELLED)

    def _decide(self, job_id: str, decision: Decision) -> None:
        ticket = self._tickets.pop(job_id, None)
        if ticket is not None:
            if decision.is_error():
                self._rejected[ticket.job.pool, ticket.job.rank] += 1
            ticket.decision = decision
            ticket.decided.set()


def _label_counts(
    counts: collections.Counter[tuple[str, int]],
) -> list[tuple[metrics.Labels, int]]:
    return [
        ({"pool": pool, "rank": rank}, count)
        for (pool, rank), count in sorted(counts.items())
    ]

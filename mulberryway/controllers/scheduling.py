"""Runs the scheduler for the worker threads and wakes those that may go."""

import collections.abc
import threading

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import tables
from mulberryway.controllers import base
from mulberryway.policy import base as policy
from mulberryway.policy import hints
from mulberryway.policy import jobs
from mulberryway.policy import probes
from mulberryway.upstreams import base as upstreams

__all__ = ["SchedulingController", "Ticket"]

IDLE_MS = 1_000
MS_IN_S = 1_000
# A decision that is this late has been lost; the guard keeps a worker from
# waiting for ever for what will not come.
DECISION_GRACE_MS = 2_000
# Other routers' hints come by the hundred a second in a large fleet, and with
# jobs waiting a dispatch takes longer than reading a hint.  Hints that come
# within this time share one.
GOSSIP_DISPATCH_INTERVAL_MS = 20

Decision = expression.Result[jobs.Assignment, errors.Fault]


class Ticket:
    """A worker thread's place in the queue.

    :param job: what it waits for
    """

    __slots__ = ("job", "decided", "decision")

    def __init__(self, job: jobs.Job) -> None:
        self.job = job
        self.decided = threading.Event()
        self.decision: Decision | None = None


class SchedulingController(base.Controller):
    """Holds the lock around a scheduler, which has none of its own.

    Every change that may let a job start is followed at once by a dispatch
    on the changing thread; the controller's thread only serves deadlines.

    :param scheduler: makes the decisions
    :param clock_: where the time comes from
    """

    def __init__(
        self, scheduler: policy.Scheduler, clock_: clock.Clock
    ) -> None:
        super().__init__("scheduling", clock_, IDLE_MS)
        self._scheduler = scheduler
        self._lock = threading.Lock()
        self._tickets: dict[str, Ticket] = {}
        self._started: set[str] = set()
        self._dispatched_ms = 0
        self._loads: dict[tuple[str, str], upstreams.EngineLoad] = {}
        # Called after jobs have come, started or ended; must return at once.
        self.on_change: collections.abc.Callable[[], None] = lambda: None

    @property
    def waiting(self) -> int:
        """How many jobs wait."""
        return len(self._tickets)

    @property
    def started(self) -> int:
        """How many jobs have started and not ended."""
        return len(self._started)

    def is_running(self, job_id: str) -> bool:
        """Tell whether a job has started and not ended.

        :param job_id: the job
        :returns: whether its attempt goes on
        """
        with self._lock:
            return job_id in self._started

    def step(self) -> None:
        """Dispatch, and sleep until the scheduler wants to be asked again."""
        with self._lock:
            wake_ms = self._dispatch()
            longest_ms = (
                GOSSIP_DISPATCH_INTERVAL_MS if self._tickets else IDLE_MS
            )
        now_ms = self.clock.now_ms()
        self.period_ms = (
            longest_ms
            if wake_ms is None
            else min(max(wake_ms - now_ms, 1), longest_ms)
        )

    def submit(self, job: jobs.Job) -> expression.Result[Ticket, errors.Fault]:
        """Take a job in, or refuse it at once.

        :param job: the job
        :returns: its ticket, or a fault with run ``NOT_RUN``
        """
        ticket = Ticket(job)
        with self._lock:
            taken = self._scheduler.submit(job, self.clock.now_ms())
            if taken.is_error():
                return expression.Error(taken.error)
            self._tickets[job.job_id] = ticket
            self._dispatch()
        self.on_change()
        if not ticket.decided.is_set():
            self.wake()
        return expression.Ok(ticket)

    def wait(self, ticket: Ticket) -> Decision:
        """Wait until a job may start, is refused, or is given up.

        :param ticket: what ``submit`` returned
        :returns: where it runs, or why not
        """
        job = ticket.job
        left_ms = job.deadline.left_ms(self.clock.now_ms()) + DECISION_GRACE_MS
        if not ticket.decided.wait(left_ms / MS_IN_S):
            self.give_up(
                ticket,
                errors.Fault(errors.Code.DEADLINE_EXCEEDED, errors.Step.QUEUE),
            )
        assert ticket.decision is not None
        return ticket.decision

    def give_up(self, ticket: Ticket, fault: errors.Fault) -> None:
        """Let a job go that still waits; nothing if it is decided.

        :param ticket: what ``submit`` returned
        :param fault: what its worker is told
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
        """Tell that a started job's prefill has ended well.

        :param job_id: the job
        """
        with self._lock:
            self._scheduler.record_prefilled(job_id, self.clock.now_ms())
            self._dispatch()

    def record_prefill_failed(self, job_id: str) -> None:
        """Tell that a prefill came to nothing; the decode engine reads.

        :param job_id: the job
        """
        with self._lock:
            self._scheduler.record_prefill_failed(job_id, self.clock.now_ms())
            self._dispatch()

    def record_first_token(self, job_id: str) -> None:
        """Tell that a started job's first token has come.

        :param job_id: the job
        """
        with self._lock:
            self._scheduler.record_first_token(job_id, self.clock.now_ms())

    def finish(
        self, job_id: str, end: jobs.JobOutcome, upstream: str = ""
    ) -> None:
        """Let a started job's reservations go; further calls do nothing.

        :param job_id: the job
        :param end: how it ended
        :param upstream: the upstream to blame; empty if none
        """
        with self._lock:
            if job_id not in self._started:
                return
            self._started.discard(job_id)
            self._scheduler.finish(job_id, end, upstream, self.clock.now_ms())
            self._dispatch()
        self.on_change()

    def record_load(
        self, pool: str, upstream: str, load: upstreams.EngineLoad
    ) -> None:
        """Take in a load report.

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

    def record_cache_events(
        self, pool: str, upstream: str, events: list[upstreams.CacheEvent]
    ) -> None:
        """Take in cache events.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param events: the events in order
        """
        with self._lock:
            self._scheduler.record_cache_events(
                pool, upstream, events, self.clock.now_ms()
            )

    def record_tokens(self, job_id: str, tokens: int) -> None:
        """Tell how many tokens of a running job have come so far.

        :param job_id: the job
        :param tokens: all tokens so far
        """
        with self._lock:
            self._scheduler.record_tokens(job_id, tokens, self.clock.now_ms())

    def reassign_decode(
        self, job_id: str, refused: str, is_unreached: bool = False
    ) -> str | None:
        """Find another slot for a job whose prefill has ended.

        :param job_id: the job
        :param refused: the upstream that did not take it
        :param is_unreached: whether it could not be reached; else it is full
        :returns: the upstream to try, its slot reserved; or none
        """
        with self._lock:
            return self._scheduler.reassign_decode(
                job_id, refused, self.clock.now_ms(), is_unreached
            )

    def has_decode_capacity(self, pool: str, besides: str) -> bool:
        """Tell whether another engine probably has room for a decode.

        :param pool: the pool's name
        :param besides: the upstream that does not count
        """
        with self._lock:
            return self._scheduler.has_decode_capacity(
                pool, besides, self.clock.now_ms()
            )

    def list_ejected(self) -> list[probes.EjectedUpstream]:
        """Return the engines that get no requests, and which need a probe."""
        with self._lock:
            return self._scheduler.list_ejected(self.clock.now_ms())

    def record_probe(self, pool: str, upstream: str, has_passed: bool) -> None:
        """Take in what a probe of this VM found.

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
        """Return what the routers that share upstreams should hear now."""
        with self._lock:
            return self._scheduler.drain_hints(self.clock.now_ms())

    def apply_hints(self, notes: list[hints.Note]) -> None:
        """Take in what other routers told; what waits may start a bit later.

        :param notes: their notes in the order of arrival
        """
        with self._lock:
            now_ms = self.clock.now_ms()
            for note in notes:
                self._scheduler.apply_hints(note, now_ms)
            if now_ms - self._dispatched_ms >= GOSSIP_DISPATCH_INTERVAL_MS:
                self._dispatch()

    def record_crashes(self, deaths: list[hints.Death]) -> None:
        """Take in deaths under requests that any VM told of.

        :param deaths: the deaths
        """
        with self._lock:
            self._scheduler.record_crashes(deaths, self.clock.now_ms())

    def is_quarantined(self, digest: str) -> bool:
        """Tell whether a request may not run, because upstreams died of it.

        :param digest: names the request
        """
        with self._lock:
            return self._scheduler.is_quarantined(digest, self.clock.now_ms())

    def record_crash(self, digest: str, upstream: str) -> None:
        """Tell that a plain service's server died under a request.

        :param digest: names the request
        :param upstream: ``pool/name`` of the server
        """
        with self._lock:
            self._scheduler.record_crash(digest, upstream, self.clock.now_ms())
        self.on_change()

    def change_vms(self, vms: tuple[str, ...]) -> None:
        """Take over the list of VMs that run a router.

        :param vms: their names, this VM's among them
        """
        with self._lock:
            self._scheduler.change_vms(vms, self.clock.now_ms())

    def update_tables(self, changed: tables.Tables) -> None:
        """Take over new tables.

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
            self._started.add(assignment.job_id)
            self._decide(assignment.job_id, expression.Ok(assignment))
        for refusal in dispatch.refusals:
            self._decide(refusal.job_id, expression.Error(refusal.fault))
        return dispatch.wake_ms

    def _decide(self, job_id: str, decision: Decision) -> None:
        ticket = self._tickets.pop(job_id, None)
        if ticket is not None:
            ticket.decision = decision
            ticket.decided.set()

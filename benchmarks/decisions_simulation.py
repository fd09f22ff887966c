"""Discrete-event simulation of routers and engines for benchmarks.decisions.

Each router has its own scheduler.  It gets the engines' state from delayed
load reports, delayed cache events and the results of its own requests.  Calls
and gossip messages take one or two milliseconds; no other component of the
router is simulated.
"""

import collections.abc
import heapq
import itertools
import random

from benchmarks import decisions_workloads as workloads
from mulberryway import clock
from mulberryway import tables
from mulberryway.policy import base
from mulberryway.policy import hints
from mulberryway.policy import jobs
from mulberryway.upstreams import base as upstreams
from standins import engine_model
from standins import engine_types

__all__ = ["Simulation", "Outcome"]

NETWORK_DELAY_MS = 1
GOSSIP_DELAY_MS = 2
REPORT_MS = 500
TOKEN_COUNT_INTERVAL_MS = 1_000
MAX_ATTEMPTS = 3
# A rejected decode is retried while the prefill engine keeps the KV cache
# handle, 800 ms.
DECODE_RETRY_TIMEOUT_MS = 650
DECODE_RETRY_DELAY_MS = 30
FIRST_TOKEN_MS = 1_100
SLOW_FACTOR = 2.2
SLOW_FROM_MS = 20_000
PREFILL_MS_PER_TOKEN = 0.08

Kind = engine_types.EventKind


class Outcome:
    """The outcome of one request, as its caller sees it.

    :param arrival: the request
    """

    __slots__ = (
        "arrival",
        "refused_ms",
        "first_ms",
        "last_ms",
        "tokens",
        "is_whole",
        "prefilled",
        "wasted",
    )

    def __init__(self, arrival: workloads.Arrival) -> None:
        self.arrival = arrival
        self.refused_ms: float | None = None
        self.first_ms: float | None = None
        self.last_ms = 0.0
        self.tokens = 0
        self.is_whole = False
        self.prefilled = 0
        self.wasted = 0

    def meets_targets(self, first_token_ms: int, gap_ms: int) -> bool:
        """Return whether a complete response met both latency targets.

        :param first_token_ms: target for the time to first token in ms
        :param gap_ms: target for the mean inter-token gap in ms
        :returns: whether the response is complete and met both
        """
        if not self.is_whole or self.first_ms is None:
            return False
        gaps = max(self.tokens - 1, 1)
        return (
            self.first_ms - self.arrival.at_ms <= first_token_ms
            and (self.last_ms - self.first_ms) / gaps <= gap_ms
        )


class _Attempt:
    """One attempt of a request at one router."""

    __slots__ = (
        "router",
        "job",
        "outcome",
        "assignment",
        "handle",
        "announced",
        "prefilled_ms",
        "is_prefilled",
    )

    def __init__(self, router: int, job: jobs.Job, outcome: Outcome) -> None:
        self.router = router
        self.job = job
        self.outcome = outcome
        self.assignment: jobs.Assignment | None = None
        self.handle = ""
        # Until the first token, the number of prompt tokens that the prefill
        # computed; after it, when the scheduler last got a token count in ms.
        self.announced = 0.0
        self.prefilled_ms = 0.0
        self.is_prefilled = False


class Simulation:
    """Simulates several routers that share one pool.

    :param deployment: numbers of engines, and zones
    :param schedulers: one for each router
    :param slow: whether one decode engine becomes slow
    :param notes: whether gossip messages between routers are delivered
    """

    def __init__(
        self,
        deployment: workloads.Deployment,
        schedulers: list[base.Scheduler],
        slow: bool = False,
        notes: bool = True,
    ) -> None:
        self._schedulers = schedulers
        self._notes = notes
        self._pool = make_pool(deployment)
        self._engines = {
            row.name: engine_model.EngineModel(
                _make_parameters(), row.role.value, ("m",), seed=index
            )
            for index, row in enumerate(self._pool.upstreams)
        }
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._numbers = itertools.count()
        self._engine_due = dict.fromkeys(self._engines, float("inf"))
        self._planned_dispatches: list[float | None] = [None] * len(schedulers)
        self._attempts: dict[str, _Attempt] = {}
        self._sequences: dict[tuple[int, str], int] = {}
        self.now_ms = 0.0
        self.last_start_ms: dict[str, float] = {}
        for scheduler in schedulers:
            scheduler.change_pools({"lm": self._pool}, 0)
        if slow:
            self._schedule(SLOW_FROM_MS, self._slow_down)

    def plan_leaving(self, name: str, at_ms: float, lag_ms: float) -> None:
        """Schedule the draining of an upstream.

        :param name: the upstream
        :param at_ms: simulated time in ms at which the first router gets the
            changed pool
        :param lag_ms: additional delay of each further router in ms
        """
        self._pool = _mark_draining(self._pool, name)
        for router in range(len(self._schedulers)):
            self._schedule(
                at_ms + router * lag_ms,
                lambda router=router, pool=self._pool: self._change_pool(
                    router, pool
                ),
            )

    def _change_pool(self, router: int, pool: tables.Pool) -> None:
        self._schedulers[router].change_pools({"lm": pool}, int(self.now_ms))
        self._dispatch(router)

    def run(
        self, arrivals: list[workloads.Arrival], length_ms: int
    ) -> list[Outcome]:
        """Simulate all arrivals until no event is left.

        :param arrivals: the requests
        :param length_ms: duration of the arrivals in ms; load reports
            continue for another minute
        :returns: outcomes of all requests
        """
        outcomes = [Outcome(arrival) for arrival in arrivals]
        for outcome in outcomes:
            self._schedule(
                outcome.arrival.at_ms,
                lambda arriving=outcome: self._arrive(arriving),
            )
        self._schedule_reports(length_ms + 60_000)
        while self._events:
            at_ms, _, callback = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, at_ms)
            callback()
        return outcomes

    def _schedule(
        self, at_ms: float, callback: collections.abc.Callable[[], None]
    ) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), callback))

    def _schedule_reports(self, until_ms: int) -> None:
        random_ = random.Random(7)
        for router in range(len(self._schedulers)):
            offset = random_.uniform(0, REPORT_MS)
            for number in range(int(until_ms // REPORT_MS)):
                self._schedule(
                    offset + number * REPORT_MS,
                    lambda router=router: self._report(router),
                )

    def _report(self, router: int) -> None:
        scheduler, now_ms = self._schedulers[router], int(self.now_ms)
        for name, engine in self._engines.items():
            load = engine.get_delayed_load(self.now_ms)
            parameters = engine.parameters
            scheduler.record_load(
                "lm",
                name,
                upstreams.EngineLoad(
                    load.running,
                    load.waiting,
                    parameters.slots,
                    load.free_blocks,
                    parameters.total_blocks,
                    ("m",),
                ),
                now_ms,
            )
            key = router, name
            records = engine.cache.read_events(
                self._sequences.get(key, 0), self.now_ms
            )
            if records:
                self._sequences[key] = records[-1].sequence
                scheduler.record_cache_events(
                    "lm",
                    name,
                    [
                        upstreams.CacheEvent(r.sequence, r.stored, r.removed)
                        for r in records
                    ],
                    now_ms,
                )
        self._dispatch(router)

    def _arrive(self, outcome: Outcome) -> None:
        arrival = outcome.arrival
        router = int(arrival.router * len(self._schedulers))
        job = jobs.Job(
            str(arrival.number),
            arrival.account,
            1,
            "lm",
            "m",
            arrival.prompt_tokens,
            workloads.MAX_TOKENS,
            arrival.hashes,
            arrival.prompt_tokens * workloads.BYTES_PER_TOKEN,
            int(arrival.at_ms),
            clock.Deadline(int(arrival.at_ms) + FIRST_TOKEN_MS),
        )
        self._submit(_Attempt(router, job, outcome))

    def _submit(self, attempt: _Attempt) -> None:
        scheduler = self._schedulers[attempt.router]
        submitted = scheduler.submit(attempt.job, int(self.now_ms))
        if submitted.is_error():
            attempt.outcome.refused_ms = self.now_ms
        else:
            self._attempts[attempt.job.job_id] = attempt
        self._dispatch(attempt.router)

    def _dispatch(self, router: int) -> None:
        scheduler, now_ms = self._schedulers[router], int(self.now_ms)
        decisions = scheduler.dispatch(now_ms)
        for rejection in decisions.refusals:
            attempt = self._attempts.pop(rejection.job_id)
            attempt.outcome.refused_ms = self.now_ms
        for assignment in decisions.assignments:
            attempt = self._attempts[assignment.job_id]
            attempt.assignment = assignment
            for name in (assignment.prefill, assignment.decode):
                self.last_start_ms[name] = self.now_ms
            self._schedule(
                self.now_ms + NETWORK_DELAY_MS,
                lambda started=attempt: self._start_prefill(started),
            )
        self._send_gossip(router)
        self._schedule_dispatch(router, decisions.wake_ms)

    def _schedule_dispatch(self, router: int, wake_ms: int | None) -> None:
        if wake_ms is None:
            return
        at_ms = max(float(wake_ms), self.now_ms + 1)
        planned = self._planned_dispatches[router]
        if planned is not None and self.now_ms < planned <= at_ms:
            return
        self._planned_dispatches[router] = at_ms
        self._schedule(at_ms, lambda: self._dispatch(router))

    def _send_gossip(self, router: int) -> None:
        message = self._schedulers[router].drain_hints(int(self.now_ms))
        if message is None or not self._notes:
            return
        for peer in range(len(self._schedulers)):
            if peer != router:
                self._schedule(
                    self.now_ms + GOSSIP_DELAY_MS,
                    lambda peer=peer, message=message: self._receive_gossip(
                        peer, message
                    ),
                )

    def _receive_gossip(self, router: int, message: hints.Note) -> None:
        self._schedulers[router].apply_hints(message, int(self.now_ms))
        self._dispatch(router)

    def _start_prefill(self, attempt: _Attempt) -> None:
        assert attempt.assignment is not None
        name = attempt.assignment.prefill
        run = self._make_engine_request(attempt, attempt.job.job_id)
        run.priority = attempt.assignment.priority
        engine = self._advance(name)
        refused = engine.submit_prefill(run, self.now_ms)
        self._schedule_engine(name)
        if refused is not None:
            self._retry(attempt, name)

    def _make_engine_request(
        self, attempt: _Attempt, name: str
    ) -> engine_types.EngineRequest:
        run = engine_types.EngineRequest(
            name,
            f"vm{attempt.router}",
            "m",
            attempt.job.prefix_hashes,
            attempt.job.prompt_tokens,
            attempt.outcome.arrival.output_tokens,
        )
        run.context = attempt
        return run

    def _start_decode(self, attempt: _Attempt, prefill: str) -> None:
        assert attempt.assignment is not None
        name = attempt.assignment.decode
        scheduler = self._schedulers[attempt.router]
        if not attempt.is_prefilled:
            attempt.is_prefilled = True
            scheduler.record_prefilled(attempt.job.job_id, int(self.now_ms))
        source = self._advance(prefill)
        if source.pin_handle(attempt.handle, self.now_ms) is None:
            self._record_waste(attempt)
            self._retry(attempt, "")
            return
        engine = self._advance(name)
        run = self._make_engine_request(attempt, attempt.job.job_id)
        refused = engine.submit_decode(run, self.now_ms)
        self._schedule_engine(name)
        if refused is None:
            return
        if self.now_ms - attempt.prefilled_ms < DECODE_RETRY_TIMEOUT_MS:
            self._move_decode(attempt, prefill, name)
            return
        source.release_handle(attempt.handle, self.now_ms)
        self._schedule_engine(prefill)
        self._record_waste(attempt)
        self._retry(attempt, name)

    def _move_decode(
        self, attempt: _Attempt, prefill: str, refused: str
    ) -> None:
        assert attempt.assignment is not None
        scheduler = self._schedulers[attempt.router]
        other = scheduler.reassign_decode(
            attempt.job.job_id, refused, int(self.now_ms)
        )
        delay_ms = DECODE_RETRY_DELAY_MS
        if other is not None:
            attempt.assignment.decode = other
            delay_ms = NETWORK_DELAY_MS
        self._send_gossip(attempt.router)
        self._schedule(
            self.now_ms + delay_ms,
            lambda: self._start_decode(attempt, prefill),
        )

    def _record_waste(self, attempt: _Attempt) -> None:
        attempt.outcome.wasted += int(attempt.announced)

    def _retry(self, attempt: _Attempt, excluded: str) -> None:
        job_outcome = jobs.JobOutcome.REFUSED_BY_ENGINE
        job = attempt.job
        self._schedulers[attempt.router].finish(
            job.job_id, job_outcome, excluded, int(self.now_ms)
        )
        self._attempts.pop(job.job_id, None)
        if job.attempt + 1 >= MAX_ATTEMPTS:
            attempt.outcome.refused_ms = self.now_ms
            return
        retry = jobs.Job(
            f"{attempt.outcome.arrival.number}.{job.attempt + 1}",
            job.account,
            job.weight,
            job.pool,
            job.model,
            job.prompt_tokens,
            job.max_tokens,
            job.prefix_hashes,
            job.body_bytes,
            job.arrived_ms,
            job.deadline,
            job.attempt + 1,
            job.excluded_upstreams | frozenset((excluded,)),
        )
        self._submit(_Attempt(attempt.router, retry, attempt.outcome))

    def _advance(self, name: str) -> engine_model.EngineModel:
        engine = self._engines[name]
        for event in engine.advance(self.now_ms):
            self._handle_event(name, event)
        return engine

    def _schedule_engine(self, name: str) -> None:
        due = self._engines[name].get_next_event_ms()
        if due < self._engine_due[name] or (
            self._engine_due[name] <= self.now_ms
        ):
            self._engine_due[name] = due
            if due != float("inf"):
                self._schedule(due, lambda: self._step(name, due))

    def _step(self, name: str, due: float) -> None:
        self._advance(name)
        if self._engine_due[name] <= self.now_ms:
            self._engine_due[name] = float("inf")
        self._schedule_engine(name)

    def _handle_event(self, name: str, event: engine_types.ModelEvent) -> None:
        attempt = event.run.context
        assert isinstance(attempt, _Attempt)
        if event.kind is Kind.TOKEN:
            self._record_token(attempt, event)
        elif event.kind is Kind.PREFILLED:
            attempt.handle = event.run.handle
            attempt.prefilled_ms = event.at_ms
            computed = event.run.prompt_tokens - event.run.cached_tokens
            attempt.announced = computed
            attempt.outcome.prefilled += computed
            self._schedule(
                self.now_ms + 2 * NETWORK_DELAY_MS,
                lambda: self._start_decode(attempt, name),
            )
        elif event.kind is Kind.IMPORTED:
            assert attempt.assignment is not None
            source = attempt.assignment.prefill
            self._advance(source).release_handle(attempt.handle, self.now_ms)
            self._schedule_engine(source)
        elif event.kind is Kind.FINISHED:
            self._schedule(
                self.now_ms + NETWORK_DELAY_MS,
                lambda: self._finish(attempt, event.at_ms),
            )

    def _record_token(
        self, attempt: _Attempt, event: engine_types.ModelEvent
    ) -> None:
        outcome = attempt.outcome
        outcome.tokens += 1
        outcome.last_ms = event.at_ms + NETWORK_DELAY_MS
        scheduler = self._schedulers[attempt.router]
        if outcome.first_ms is None:
            outcome.first_ms = outcome.last_ms
            attempt.announced = event.at_ms
            scheduler.record_first_token(attempt.job.job_id, int(self.now_ms))
        elif event.at_ms - attempt.announced >= TOKEN_COUNT_INTERVAL_MS:
            attempt.announced = event.at_ms
            scheduler.record_tokens(
                attempt.job.job_id, outcome.tokens, int(self.now_ms)
            )

    def _finish(self, attempt: _Attempt, at_ms: float) -> None:
        attempt.outcome.is_whole = True
        job_id, now_ms = attempt.job.job_id, int(self.now_ms)
        scheduler = self._schedulers[attempt.router]
        scheduler.record_tokens(job_id, attempt.outcome.tokens, now_ms)
        scheduler.finish(job_id, jobs.JobOutcome.DONE, "", now_ms)
        del self._attempts[job_id]
        self._dispatch(attempt.router)

    def _slow_down(self) -> None:
        name = next(n for n in self._engines if n.startswith("d"))
        engine = self._advance(name)
        engine.set_parameter("slow_factor", SLOW_FACTOR, self.now_ms)


def make_pool(deployment: workloads.Deployment) -> tables.Pool:
    """Return the pool of a deployment.

    :param deployment: numbers of engines, and zones
    :returns: a pool with prefill upstreams p0, p1, ... and decode upstreams
        d0, d1, ...
    """
    roles = [tables.UpstreamRole.PREFILL] * deployment.prefills
    roles += [tables.UpstreamRole.DECODE] * deployment.decodes
    return tables.Pool(
        "lm",
        tables.PoolKind.MODEL,
        tuple(
            tables.Upstream(
                f"{role.value[0]}{index}",
                f"127.0.0.1:{index + 1}",
                deployment.zones[index % len(deployment.zones)],
                role,
            )
            for index, role in enumerate(roles)
        ),
        ("m",),
    )


def _mark_draining(pool: tables.Pool, name: str) -> tables.Pool:
    rows = tuple(
        tables.Upstream(
            row.name,
            row.address,
            row.zone,
            row.role,
            leaving=row.leaving or row.name == name,
        )
        for row in pool.upstreams
    )
    return tables.Pool(pool.name, pool.kind, rows, pool.models)


def _make_parameters() -> engine_types.EngineParameters:
    parameters = engine_types.EngineParameters()
    parameters.prefill_token_ms = PREFILL_MS_PER_TOKEN
    return parameters

"""Routers and engines in virtual time, for the decisions' benchmark.

Each router has its own scheduler and sees engines only by late reports, late
cache events and what its own requests meet.  Calls and notes take a
millisecond or two; nothing else stands between the decisions and the engines.
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
MOST_ATTEMPTS = 3
# A refused decode may look for another slot while the prefill's result
# lives (800 ms).
DECODE_RETRY_TIMEOUT_MS = 650
DECODE_RETRY_DELAY_MS = 30
FIRST_TOKEN_MS = 1_100
SLOW_FACTOR = 2.2
SLOW_FROM_MS = 20_000
PREFILL_MS_PER_TOKEN = 0.08

Kind = engine_types.EventKind


class Outcome:
    """What one caller got.

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
        """Tell whether both latency targets were met by a whole answer.

        :param first_token_ms: the target for the first token
        :param gap_ms: the target for the mean gap between tokens
        :returns: whether
        """
        if not self.is_whole or self.first_ms is None:
            return False
        gaps = max(self.tokens - 1, 1)
        return (
            self.first_ms - self.arrival.at_ms <= first_token_ms
            and (self.last_ms - self.first_ms) / gaps <= gap_ms
        )


class _Flight:
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
        self.announced = 0.0
        self.prefilled_ms = 0.0
        self.is_prefilled = False


class Simulation:
    """Some routers before one pool.

    :param deployment: sizes
    :param schedulers: one for each router
    :param slow: whether one decode engine becomes slow
    :param notes: whether the routers' notes are carried
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
                _make_shape(), row.role.value, ("m",), seed=index
            )
            for index, row in enumerate(self._pool.upstreams)
        }
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._numbers = itertools.count()
        self._engine_due = dict.fromkeys(self._engines, float("inf"))
        self._wakes: list[float | None] = [None] * len(schedulers)
        self._flights: dict[str, _Flight] = {}
        self._sequences: dict[tuple[int, str], int] = {}
        self.now_ms = 0.0
        self.last_start_ms: dict[str, float] = {}
        for scheduler in schedulers:
            scheduler.change_pools({"lm": self._pool}, 0)
        if slow:
            self._at(SLOW_FROM_MS, self._slow_down)

    def plan_leaving(self, name: str, at_ms: float, lag_ms: float) -> None:
        """Let an upstream leave; each router hears of it some time later.

        :param name: the upstream
        :param at_ms: when the first router hears of it
        :param lag_ms: by how much later each further router does
        """
        self._pool = _mark_leaving(self._pool, name)
        for router in range(len(self._schedulers)):
            self._at(
                at_ms + router * lag_ms,
                lambda router=router, pool=self._pool: self._change(
                    router, pool
                ),
            )

    def _change(self, router: int, pool: tables.Pool) -> None:
        self._schedulers[router].change_pools({"lm": pool}, int(self.now_ms))
        self._pump(router)

    def run(
        self, arrivals: list[workloads.Arrival], length_ms: int
    ) -> list[Outcome]:
        """Play arrivals to the end of all they set off.

        :param arrivals: the requests
        :param length_ms: reports are made up to this time and a minute more
        :returns: what each caller got
        """
        outcomes = [Outcome(arrival) for arrival in arrivals]
        for outcome in outcomes:
            self._at(
                outcome.arrival.at_ms, lambda one=outcome: self._arrive(one)
            )
        self._plan_reports(length_ms + 60_000)
        while self._events:
            at_ms, _, act = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, at_ms)
            act()
        return outcomes

    def _at(
        self, at_ms: float, act: collections.abc.Callable[[], None]
    ) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), act))

    def _plan_reports(self, until_ms: int) -> None:
        random_ = random.Random(7)
        for router in range(len(self._schedulers)):
            offset = random_.uniform(0, REPORT_MS)
            for number in range(int(until_ms // REPORT_MS)):
                self._at(
                    offset + number * REPORT_MS,
                    lambda router=router: self._report(router),
                )

    def _report(self, router: int) -> None:
        scheduler, now_ms = self._schedulers[router], int(self.now_ms)
        for name, engine in self._engines.items():
            load = engine.get_delayed_load(self.now_ms)
            shape = engine.parameters
            scheduler.record_load(
                "lm",
                name,
                upstreams.EngineLoad(
                    load.running,
                    load.waiting,
                    shape.slots,
                    load.free_blocks,
                    shape.total_blocks,
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
        self._pump(router)

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
        self._submit(_Flight(router, job, outcome))

    def _submit(self, flight: _Flight) -> None:
        scheduler = self._schedulers[flight.router]
        taken = scheduler.submit(flight.job, int(self.now_ms))
        if taken.is_error():
            flight.outcome.refused_ms = self.now_ms
        else:
            self._flights[flight.job.job_id] = flight
        self._pump(flight.router)

    def _pump(self, router: int) -> None:
        scheduler, now_ms = self._schedulers[router], int(self.now_ms)
        decided = scheduler.dispatch(now_ms)
        for refusal in decided.refusals:
            flight = self._flights.pop(refusal.job_id)
            flight.outcome.refused_ms = self.now_ms
        for assignment in decided.assignments:
            flight = self._flights[assignment.job_id]
            flight.assignment = assignment
            for name in (assignment.prefill, assignment.decode):
                self.last_start_ms[name] = self.now_ms
            self._at(
                self.now_ms + NETWORK_DELAY_MS,
                lambda one=flight: self._start_prefill(one),
            )
        self._tell(router)
        self._wake(router, decided.wake_ms)

    def _wake(self, router: int, wake_ms: int | None) -> None:
        if wake_ms is None:
            return
        at_ms = max(float(wake_ms), self.now_ms + 1)
        planned = self._wakes[router]
        if planned is not None and self.now_ms < planned <= at_ms:
            return
        self._wakes[router] = at_ms
        self._at(at_ms, lambda: self._pump(router))

    def _tell(self, router: int) -> None:
        note = self._schedulers[router].drain_hints(int(self.now_ms))
        if note is None or not self._notes:
            return
        for peer in range(len(self._schedulers)):
            if peer != router:
                self._at(
                    self.now_ms + GOSSIP_DELAY_MS,
                    lambda peer=peer, note=note: self._hear(peer, note),
                )

    def _hear(self, router: int, note: hints.Note) -> None:
        self._schedulers[router].apply_hints(note, int(self.now_ms))
        self._pump(router)

    def _start_prefill(self, flight: _Flight) -> None:
        assert flight.assignment is not None
        name = flight.assignment.prefill
        run = self._make_run(flight, flight.job.job_id)
        run.priority = flight.assignment.priority
        engine = self._advance(name)
        refused = engine.submit_prefill(run, self.now_ms)
        self._follow(name)
        if refused is not None:
            self._retry(flight, name)

    def _make_run(
        self, flight: _Flight, name: str
    ) -> engine_types.EngineRequest:
        run = engine_types.EngineRequest(
            name,
            f"vm{flight.router}",
            "m",
            flight.job.prefix_hashes,
            flight.job.prompt_tokens,
            flight.outcome.arrival.output_tokens,
        )
        run.context = flight
        return run

    def _start_decode(self, flight: _Flight, prefill: str) -> None:
        assert flight.assignment is not None
        name = flight.assignment.decode
        scheduler = self._schedulers[flight.router]
        if not flight.is_prefilled:
            flight.is_prefilled = True
            scheduler.record_prefilled(flight.job.job_id, int(self.now_ms))
        source = self._advance(prefill)
        if source.pin_handle(flight.handle, self.now_ms) is None:
            self._waste(flight)
            self._retry(flight, "")
            return
        engine = self._advance(name)
        run = self._make_run(flight, flight.job.job_id)
        refused = engine.submit_decode(run, self.now_ms)
        self._follow(name)
        if refused is None:
            return
        if self.now_ms - flight.prefilled_ms < DECODE_RETRY_TIMEOUT_MS:
            self._move_decode(flight, prefill, name)
            return
        source.release_handle(flight.handle, self.now_ms)
        self._follow(prefill)
        self._waste(flight)
        self._retry(flight, name)

    def _move_decode(
        self, flight: _Flight, prefill: str, refused: str
    ) -> None:
        assert flight.assignment is not None
        scheduler = self._schedulers[flight.router]
        other = scheduler.reassign_decode(
            flight.job.job_id, refused, int(self.now_ms)
        )
        pause_ms = DECODE_RETRY_DELAY_MS
        if other is not None:
            flight.assignment.decode = other
            pause_ms = NETWORK_DELAY_MS
        self._tell(flight.router)
        self._at(
            self.now_ms + pause_ms,
            lambda: self._start_decode(flight, prefill),
        )

    def _waste(self, flight: _Flight) -> None:
        flight.outcome.wasted += int(flight.announced)

    def _retry(self, flight: _Flight, blamed: str) -> None:
        end = jobs.JobOutcome.REFUSED_BY_ENGINE
        job = flight.job
        self._schedulers[flight.router].finish(
            job.job_id, end, blamed, int(self.now_ms)
        )
        self._flights.pop(job.job_id, None)
        if job.attempt + 1 >= MOST_ATTEMPTS:
            flight.outcome.refused_ms = self.now_ms
            return
        again = jobs.Job(
            f"{flight.outcome.arrival.number}.{job.attempt + 1}",
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
            job.excluded_upstreams | frozenset((blamed,)),
        )
        self._submit(_Flight(flight.router, again, flight.outcome))

    def _advance(self, name: str) -> engine_model.EngineModel:
        engine = self._engines[name]
        for event in engine.advance(self.now_ms):
            self._take(name, event)
        return engine

    def _follow(self, name: str) -> None:
        due = self._engines[name].get_next_event_ms()
        if due < self._engine_due[name] or (
            self._engine_due[name] <= self.now_ms
        ):
            self._engine_due[name] = due
            if due != float("inf"):
                self._at(due, lambda: self._step(name, due))

    def _step(self, name: str, due: float) -> None:
        self._advance(name)
        if self._engine_due[name] <= self.now_ms:
            self._engine_due[name] = float("inf")
        self._follow(name)

    def _take(self, name: str, event: engine_types.ModelEvent) -> None:
        flight = event.run.context
        assert isinstance(flight, _Flight)
        if event.kind is Kind.TOKEN:
            self._take_token(flight, event)
        elif event.kind is Kind.PREFILLED:
            flight.handle = event.run.handle
            flight.prefilled_ms = event.at_ms
            computed = event.run.prompt_tokens - event.run.cached_tokens
            flight.announced = computed
            flight.outcome.prefilled += computed
            self._at(
                self.now_ms + 2 * NETWORK_DELAY_MS,
                lambda: self._start_decode(flight, name),
            )
        elif event.kind is Kind.IMPORTED:
            assert flight.assignment is not None
            source = flight.assignment.prefill
            self._advance(source).release_handle(flight.handle, self.now_ms)
            self._follow(source)
        elif event.kind is Kind.FINISHED:
            self._at(
                self.now_ms + NETWORK_DELAY_MS,
                lambda: self._finish(flight, event.at_ms),
            )

    def _take_token(
        self, flight: _Flight, event: engine_types.ModelEvent
    ) -> None:
        outcome = flight.outcome
        outcome.tokens += 1
        outcome.last_ms = event.at_ms + NETWORK_DELAY_MS
        scheduler = self._schedulers[flight.router]
        if outcome.first_ms is None:
            outcome.first_ms = outcome.last_ms
            flight.announced = event.at_ms
            scheduler.record_first_token(flight.job.job_id, int(self.now_ms))
        elif event.at_ms - flight.announced >= TOKEN_COUNT_INTERVAL_MS:
            flight.announced = event.at_ms
            scheduler.record_tokens(
                flight.job.job_id, outcome.tokens, int(self.now_ms)
            )

    def _finish(self, flight: _Flight, at_ms: float) -> None:
        flight.outcome.is_whole = True
        job_id, now_ms = flight.job.job_id, int(self.now_ms)
        scheduler = self._schedulers[flight.router]
        scheduler.record_tokens(job_id, flight.outcome.tokens, now_ms)
        scheduler.finish(job_id, jobs.JobOutcome.DONE, "", now_ms)
        del self._flights[job_id]
        self._pump(flight.router)

    def _slow_down(self) -> None:
        name = next(n for n in self._engines if n.startswith("d"))
        engine = self._advance(name)
        engine.set_parameter("slow_factor", SLOW_FACTOR, self.now_ms)


def make_pool(deployment: workloads.Deployment) -> tables.Pool:
    """Return a deployment's row in the table of pools.

    :param deployment: sizes
    :returns: the row; prefill upstreams p0.., decode upstreams d0..
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


def _mark_leaving(pool: tables.Pool, name: str) -> tables.Pool:
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


def _make_shape() -> engine_types.EngineParameters:
    shape = engine_types.EngineParameters()
    shape.prefill_token_ms = PREFILL_MS_PER_TOKEN
    return shape

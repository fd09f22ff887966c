"""Runs one model request: queue, prefill, decode, and a second try."""

import logging
import threading

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import traces
from mulberryway.controllers import scheduling
from mulberryway.filters import attempt as attempts
from mulberryway.filters import authentication
from mulberryway.filters import base
from mulberryway.filters import model_dependencies
from mulberryway.filters import model_engines
from mulberryway.filters import model_job
from mulberryway.filters import retry_state
from mulberryway.filters import route
from mulberryway.policy import jobs
from mulberryway.relay import stream as streams
from mulberryway.upstreams import base as upstreams
from mulberryway.upstreams import connections

__all__ = ["ModelRequest"]

LOG = logging.getLogger(__name__)

# How long a stream that has lost its engine may seek another.
RESUME_TIMEOUT_MS = 5_000
# When a caller should come again whose request no engine took: by then a
# stream or two has ended on each engine.
RETRY_AFTER_MS = 1_000
# An engine that makes no token for so many times the pause that is on time
# has probably fallen silent; callers leave after eight of them or two
# seconds, so there is time for another engine.
STALL_TIMEOUT_GAPS = 4
MIN_STALL_TIMEOUT_MS = 1_000
RETRIABLE_CODES = frozenset(
    (
        errors.Code.UPSTREAM_UNREACHABLE,
        errors.Code.UPSTREAM_TIMEOUT,
        errors.Code.UPSTREAM_FAILED,
        errors.Code.UPSTREAM_REFUSED,
    )
)

SourceResult = model_dependencies.SourceResult


class _Replacement:
    """A search for the engine that goes on with a silent one's stream.

    :param stream: the stream
    :param offset: how far it was when the search began
    :param fault: what befell the silent engine
    """

    __slots__ = ("stream", "offset", "fault")

    def __init__(
        self, stream: streams.Stream, offset: int, fault: errors.Fault
    ) -> None:
        self.stream = stream
        self.offset = offset
        self.fault = fault


class ModelRequest(streams.StreamOwner):
    """One model request from its admission to its end.

    :param exchange: the request
    :param parts: what all model requests share
    """

    def __init__(
        self,
        exchange: base.Exchange,
        parts: model_dependencies.ModelDependencies,
    ) -> None:
        self._exchange = exchange
        self._parts = parts
        self._tries = retry_state.RetryState(exchange.arrived_ms)
        self._avoid: frozenset[str] = frozenset()
        self._ticket: scheduling.Ticket | None = None
        self._attempt: attempts.Attempt | None = None
        # The attempt that is to take over from one whose engine is silent.
        self._next: attempts.Attempt | None = None
        self._replacement: _Replacement | None = None
        self._is_closed = False
        self._decode_span = traces.NO_SPAN
        self._jobs = model_job.JobBuilder(exchange, parts.clock)
        self._engines = model_engines.EngineCalls(exchange, parts)
        self._lock = threading.Lock()

    def begin(self) -> SourceResult:
        """Find engines for the request and begin its decode.

        The caller is watched meanwhile.

        :returns: the stream, or a fault
        """
        watch_ = self._parts.callers.add(
            self._exchange.connection, self.cancel_source
        )
        try:
            return self._find_source(0, self._exchange.deadline)
        finally:
            self._parts.callers.remove(watch_)

    def on_first_token(self) -> None:
        """Tell the scheduler and the metrics."""
        parts = self._parts
        if self._attempt is not None:
            parts.scheduling.record_first_token(self._attempt.job_id)
        took_ms = parts.clock.now_ms() - self._exchange.arrived_ms
        parts.metrics.first_token.record(took_ms)
        self._exchange.first_ms = took_ms

    def on_tokens(self, tokens: int) -> None:
        """Tell the scheduler how far the answer is.

        :param tokens: how many tokens have come so far
        """
        if self._attempt is not None:
            self._parts.scheduling.record_tokens(self._attempt.job_id, tokens)

    def on_longest_gap(self, gap_ms: int) -> None:
        """Keep it for the request's log line.

        :param gap_ms: the longest time between two pieces
        """
        self._exchange.gap_ms = gap_ms

    def on_source_end(self, tokens: int) -> None:
        """Give the decode slot back.

        :param tokens: how many tokens have come in all
        """
        self.on_tokens(tokens)
        self._end_attempt(jobs.JobOutcome.DONE)

    def cancel_source(self) -> None:
        """Let everything go, because the caller has gone or was cut off."""
        self._exchange.has_gone.set()
        with self._lock:
            ticket = self._ticket
            held = [one for one in (self._attempt, self._next) if one]
        if ticket is not None:
            self._parts.scheduling.give_up(
                ticket, model_dependencies.make_disconnect_fault()
            )
        for attempt in held:
            attempt.free()

    def recover(self, stream: streams.Stream, fault: errors.Fault) -> None:
        """Go on at another engine where the last one failed, or give up.

        :param stream: the stream
        :param fault: what befell the engine
        """
        fault.peer = fault.peer or self._name_decode()
        self._begin_search(stream.expected)
        if fault.has_died and self._attempt is not None:
            address = self._attempt.decode.address
            fault.has_died = not connections.is_accepting_connections(address)
        self._note_failure(fault)
        self._end_attempt(
            model_dependencies.classify_job_end(fault), self._name_decode()
        )
        result: SourceResult = expression.Error(fault)
        if self._may_move(fault):
            result = self._find_next_source(stream.expected)
        if result.is_ok():
            self._parts.relay.resume(stream, result.ok)
        else:
            self._parts.relay.fail(stream, self._word_last(result.error))

    def replace(self, stream: streams.Stream, fault: errors.Fault) -> None:
        """Go on at another engine where the last one is silent.

        The silent one is left only when all that the other needs is there:
        its slot and connection, and the prompt's KV cache.

        :param stream: the stream
        :param fault: what befell the engine
        """
        fault.peer = fault.peer or self._name_decode()
        offset = stream.expected
        self._begin_search(offset)
        if not self._may_move(fault):
            self._log_stay(fault)
            self._parts.relay.keep_source(stream, fault)
            return
        self._avoid = self._avoid | {self._name_decode()}
        self._replacement = _Replacement(stream, offset, fault)
        result = self._find_next_source(offset)
        self._replacement = None
        if result.is_ok():
            self._parts.relay.resume(stream, result.ok)
            return
        self._log_stay(result.error)
        self._parts.relay.keep_source(stream, self._word_last(result.error))

    def may_replace_source(self) -> bool:
        """Tell whether another engine can probably take the stream."""
        exchange = self._exchange
        return (
            route.is_idempotent(exchange)
            and self._count_attempts() < exchange.route.max_attempts
            and not exchange.has_gone.is_set()
            and self._parts.scheduling.has_decode_capacity(
                exchange.pool.name, self._name_decode()
            )
        )

    def close(self, tokens: int, fault: errors.Fault | None) -> None:
        """Settle what is still open.

        :param tokens: how many tokens were taken from engines
        :param fault: why the answer is not whole; none if it is
        """
        self._is_closed = True
        how = jobs.JobOutcome.DONE
        if fault is not None:
            how = jobs.JobOutcome.CANCELLED
        self._end_search()
        self._end_attempt(how)
        exchange = self._exchange
        exchange.finish(
            base.Outcome(fault, exchange.prefilled_tokens + tokens, tokens)
        )

    def compute_first_token_timeout_ms(self) -> int:
        """Return how long the first token may take from now on."""
        return model_engines.compute_attempt_timeout_ms(
            self._exchange.deadline, self._parts.clock.now_ms()
        )

    def compute_token_timeout_ms(self) -> int:
        """Return how long a further token may take.

        Where another engine can go on, a silent one is left soon enough for
        the caller to wait for the other; where none can, nothing is gained
        by giving it up.
        """
        exchange = self._exchange
        target_ms = exchange.route.target_gap_ms
        if not target_ms or not route.is_idempotent(exchange):
            return self._parts.gap_ms
        return max(target_ms * STALL_TIMEOUT_GAPS, MIN_STALL_TIMEOUT_MS)

    def _leave_silent(self) -> bool:
        """Leave a silent engine right before its stream begins elsewhere.

        :returns: false if it has gone on meanwhile, so that the stream must
            not begin a second time
        """
        replacement = self._replacement
        if replacement is None:
            return True
        with self._lock:
            before, chosen = self._attempt, self._next
        if chosen is None or before is None:
            return False
        is_same = chosen.decode_name == before.decode_name
        if is_same or not self._parts.relay.try_close_source(
            replacement.stream, replacement.offset
        ):
            return False
        self._replacement = None
        with self._lock:
            self._attempt, self._next = chosen, None
        self._note_failure(replacement.fault)
        before.end(
            model_dependencies.classify_job_end(replacement.fault),
            before.decode_name,
        )
        return True

    def _log_stay(self, fault: errors.Fault) -> None:
        LOG.info(
            "a silent engine is waited for",
            extra=logs.make_extra(
                fault,
                request_id=self._exchange.request_id,
                decode=self._name_decode(),
                attempts=self._count_attempts(),
                tries=self._tries.number,
            ),
        )

    def _begin_search(self, offset: int) -> None:
        """Count time and tries anew where a stream that began is lost.

        :param offset: how much of it the caller has
        """
        if offset:
            self._tries.begin_search(self._parts.clock.now_ms())

    def _find_next_source(self, offset: int) -> SourceResult:
        """Find engines for the rest of a stream.

        :param offset: how much of it the caller has
        """
        resume_ms = self._parts.clock.now_ms() + RESUME_TIMEOUT_MS
        limit = clock.Deadline(max(self._exchange.deadline.at_ms, resume_ms))
        return self._find_source(offset, limit)

    def _find_source(self, offset: int, limit: clock.Deadline) -> SourceResult:
        while True:
            result = self._try_once(offset, limit)
            if self._exchange.has_gone.is_set():
                return self._drop_result(result)
            if result.is_ok():
                return result
            self._note_failure(result.error)
            if not self._may_move(result.error) or limit.has_passed(
                self._parts.clock.now_ms()
            ):
                return expression.Error(self._word_last(result.error))

    def _try_once(self, offset: int, limit: clock.Deadline) -> SourceResult:
        return self._queue(limit).bind(
            lambda attempt: self._run_attempt(attempt, offset, limit)
        )

    def _queue(
        self, limit: clock.Deadline
    ) -> expression.Result[attempts.Attempt, errors.Fault]:
        parts = self._parts
        began_ms = parts.clock.now_ms()
        tries = self._tries
        job = self._jobs.make(
            tries.number, self._avoid, limit, tries.search.since_ms
        )
        tries.record_attempt()
        with self._exchange.span.begin(parts.tracer, errors.Step.QUEUE):
            submitted = parts.scheduling.submit(job)
            if submitted.is_error():
                return expression.Error(submitted.error)
            with self._lock:
                self._ticket = submitted.ok
            if self._exchange.has_gone.is_set():
                parts.scheduling.give_up(
                    submitted.ok, model_dependencies.make_disconnect_fault()
                )
            decision = parts.scheduling.wait(submitted.ok)
        waited_ms = parts.clock.now_ms() - began_ms
        parts.metrics.queue_wait.record(waited_ms)
        self._exchange.stages.queued_ms += waited_ms
        self._jobs.log_decision(job, decision, waited_ms)
        return decision.bind(lambda found: self._take(job, found))

    def _take(
        self, job: jobs.Job, assignment: jobs.Assignment
    ) -> expression.Result[attempts.Attempt, errors.Fault]:
        """Turn a decision into an attempt, if the key still holds."""
        parts = self._parts
        held = self._confirm()
        engines = [
            self._engines.find_engine(name)
            for name in (assignment.prefill, assignment.decode)
        ]
        if held.is_error() or None in engines:
            parts.scheduling.finish(job.job_id, jobs.JobOutcome.CANCELLED)
            if held.is_error():
                return expression.Error(held.error)
            return expression.Error(
                errors.Fault(
                    errors.Code.UPSTREAM_UNREACHABLE,
                    errors.Step.QUEUE,
                    job.pool,
                    message="the chosen upstream has left the tables",
                )
            )
        attempt = attempts.Attempt(
            upstreams.AttemptLabel(job.job_id, parts.vm, parts.incarnation),
            job.job_id,
            engines[0],
            engines[1],
            assignment,
            parts.scheduling,
            parts.cancelling,
            parts.clock.now_ms(),
        )
        with self._lock:
            if self._replacement is None:
                self._attempt = attempt
            else:
                # A stream that has left its engine cannot go back to it.
                attempt.require_reservation(self._exchange.estimate)
                self._next = attempt
        return expression.Ok(attempt)

    def _confirm(self) -> expression.Result[None, errors.Fault]:
        """Make sure that the request may still run after its wait."""
        charge = self._exchange.charge
        held: expression.Result[None, errors.Fault] = expression.Ok(None)
        is_owed = (
            self._tries.search.has_partial_answer
            and not self._parts.cuts_withdrawn
        )
        if not is_owed:
            held = authentication.revalidate_key(
                self._parts.source, self._exchange, errors.Step.QUEUE
            )
        # What has begun was granted its tokens, and has used some of them.
        if (
            held.is_error()
            or charge is None
            or self._tries.search.has_partial_answer
        ):
            return held
        return charge.confirm()

    def _run_attempt(
        self, attempt: attempts.Attempt, offset: int, limit: clock.Deadline
    ) -> SourceResult:
        if self._exchange.has_gone.is_set():
            attempt.end(jobs.JobOutcome.CANCELLED)
            return expression.Error(model_dependencies.make_disconnect_fault())
        result = self._engines.run(attempt, offset, limit, self._leave_silent)
        if result.is_error():
            fault = result.error
            blame = attempt.decode_name
            if fault.step is errors.Step.PREFILL:
                blame = attempt.prefill_name
            # An engine that is told to cancel may close the connection; it
            # has not died, and is not to blame.
            is_cancelled = (
                not self._is_wanted() or fault.code is errors.Code.CANCELLED
            )
            end = jobs.JobOutcome.CANCELLED
            if not is_cancelled:
                end = model_dependencies.classify_job_end(fault)
                self._avoid = self._avoid | {blame}
            attempt.end(end, blame)
        return result

    def _may_move(self, fault: errors.Fault) -> bool:
        """Tell whether another upstream may be tried, and log why not.

        :param fault: what befell the last one
        """
        if fault.code not in RETRIABLE_CODES:
            return False
        obstacle = self._find_obstacle(fault)
        if not obstacle:
            return True
        LOG.info(
            "no other engine is tried",
            extra=logs.make_extra(
                fault,
                request_id=self._exchange.request_id,
                obstacle=obstacle,
                attempts=self._count_attempts(),
                tries=self._tries.number,
            ),
        )
        return False

    def _find_obstacle(self, fault: errors.Fault) -> str:
        """Return why no other upstream may be tried; empty if one may.

        Repeats cost a prefill each, and come just when upstreams fail; the
        budget keeps them a small part of all work.
        """
        exchange = self._exchange
        # Nothing of the request was sent, so nothing is repeated.
        is_unsent = fault.step is errors.Step.RESERVE
        if not (
            fault.run is errors.ExecutionStatus.NOT_RUN
            or route.is_idempotent(exchange)
        ):
            return "the request may run once only"
        if self._count_attempts() >= exchange.route.max_attempts:
            return "its route allows no further attempt"
        if self._tries.search.is_over():
            return "too many tries have failed"
        if not self._is_wanted():
            return "the caller has gone"
        if not is_unsent and not self._parts.try_withdraw_retry(
            exchange.pool.name
        ):
            return "the budget for repeats is spent"
        return ""

    def _is_wanted(self) -> bool:
        return not (self._is_closed or self._exchange.has_gone.is_set())

    def _count_attempts(self) -> int:
        return self._tries.count_sent_attempts(len(self._engines.sent_to))

    def _note_failure(self, fault: errors.Fault) -> None:
        if fault.run is not errors.ExecutionStatus.NOT_RUN:
            self._engines.has_run = True
        self._tries.record_failure(fault)
        self._parts.metrics.attempts.add(
            1,
            {
                "step": fault.step.value,
                "code": fault.code.value,
                "run": fault.run.value,
            },
        )
        LOG.info(
            "an attempt failed",
            extra=logs.make_extra(fault, request_id=self._exchange.request_id),
        )

    def _word_last(self, fault: errors.Fault) -> errors.Fault:
        """Return what the caller is told, true for all attempts together.

        The last attempt may have been refused before it ran, but an earlier
        one may have run.
        """
        if (
            self._engines.has_run
            and fault.run is errors.ExecutionStatus.NOT_RUN
        ):
            fault.run = errors.ExecutionStatus.MAY_HAVE_RUN
        if (
            fault.run is errors.ExecutionStatus.NOT_RUN
            and fault.retry_after_ms is None
        ):
            fault.retry_after_ms = RETRY_AFTER_MS
        return fault

    def _drop_result(self, result: SourceResult) -> SourceResult:
        if result.is_ok():
            result.ok.connection.close()
        self._end_attempt(jobs.JobOutcome.CANCELLED)
        return expression.Error(
            self._word_last(model_dependencies.make_disconnect_fault())
        )

    def _end_attempt(self, how: jobs.JobOutcome, blame: str = "") -> None:
        with self._lock:
            attempt = self._attempt
        if blame:
            self._avoid = self._avoid | {blame}
        if attempt is not None:
            attempt.end(how, blame)

    def _end_search(self) -> None:
        """End the search for another engine: the stream is over."""
        with self._lock:
            ticket, attempt = self._ticket, self._next
        if self._replacement is None:
            return
        gone = model_dependencies.make_disconnect_fault()
        if ticket is not None:
            self._parts.scheduling.give_up(ticket, gone)
        if attempt is not None:
            attempt.end(jobs.JobOutcome.CANCELLED)

    def _name_decode(self) -> str:
        return "" if self._attempt is None else self._attempt.decode_name

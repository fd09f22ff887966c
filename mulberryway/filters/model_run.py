"""Runs one model request: queue, prefill, decode and retries."""

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
from mulberryway.filters import decode_gate
from mulberryway.filters import model_dependencies
from mulberryway.filters import model_engines
from mulberryway.filters import model_job
from mulberryway.filters import retry_state
from mulberryway.filters import route
from mulberryway.filters import status
from mulberryway.policy import jobs
from mulberryway.relay import stream as streams
from mulberryway.upstreams import base as upstreams
from mulberryway.upstreams import connections
from mulberryway.upstreams import dialing

__all__ = ["ModelRequest"]

LOG = logging.getLogger(__name__)

# The time that a stream may spend on finding another engine.
RESUME_TIMEOUT_MS = 5_000
# The retry delay for requests that no engine accepted: by then a stream or two
# has ended on each engine.
RETRY_AFTER_MS = 1_000
# An engine without a token for this many target inter-token gaps is probably
# unresponsive.  Callers disconnect after eight gaps or two seconds, which
# leaves time for another engine.
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

# After these faults nothing was asked of the engine.
NO_VERDICT_CODES = frozenset((errors.Code.CANCELLED, errors.Code.QUARANTINED))

SourceResult = model_dependencies.SourceResult


class ModelRequest(streams.StreamOwner):
    """One model request, from its admission to its end.

    :param exchange: the request
    :param parts: the dependencies shared by all model requests
    """

    def __init__(
        self,
        exchange: base.Exchange,
        parts: model_dependencies.ModelDependencies,
    ) -> None:
        self._exchange = exchange
        self._parts = parts
        self._retry_state = retry_state.RetryState(exchange.arrived_ms)
        self._avoided: frozenset[str] = frozenset()
        self._ticket: scheduling.Ticket | None = None
        self._attempt: attempts.Attempt | None = None
        # The attempt that will replace one on an unresponsive engine.
        self._next_attempt: attempts.Attempt | None = None
        self._replacement: decode_gate.ReplacementGate | None = None
        # Whether the search for a source has ended; its stream is cut then.
        self._has_searched = False
        # Whether an engine has received anything of the last attempt.
        self._was_sent = False
        self._is_closed = False
        # The software version that wrote the events that the caller has.
        self._version = exchange.required_version
        self._decode_span = traces.NO_SPAN
        self._jobs = model_job.JobBuilder(exchange, parts.clock, parts.source)
        self._engines = model_engines.EngineCalls(exchange, parts)
        self._lock = threading.Lock()
        exchange.add_completion_callback(lambda outcome: self._release())

    def begin(self) -> SourceResult:
        """Find engines for the request and start its decode.

        The caller's connection is monitored in the meantime.

        :returns: the stream, or a fault
        """
        watch_ = self._parts.callers.add(
            self._exchange.connection, self.cancel_source
        )
        self._exchange.add_abort_callback(self._abort_search)
        try:
            return self._find_source(0, self._exchange.deadline)
        finally:
            self._has_searched = True
            self._parts.callers.remove(watch_)

    def on_first_token(self) -> None:
        """Report the first token to the scheduler and the metrics."""
        parts = self._parts
        if self._attempt is not None:
            if self._version is None:
                self._version = self._attempt.decode_version
                self._exchange.on_first_event(self._version)
            parts.scheduling.record_first_token(self._attempt.job_id)
        took_ms = parts.clock.now_ms() - self._exchange.arrived_ms
        parts.metrics.first_token.record(took_ms)
        self._exchange.first_ms = took_ms

    def on_source_begin(self) -> None:
        """Report an engine's first output to the scheduler."""
        if self._attempt is not None:
            self._parts.scheduling.record_output(self._attempt.job_id)

    def on_tokens(self, tokens: int) -> None:
        """Report the progress of the answer to the scheduler.

        :param tokens: the number of tokens received so far
        """
        if self._attempt is not None:
            self._parts.scheduling.record_tokens(self._attempt.job_id, tokens)

    def on_longest_gap(self, gap_ms: int) -> None:
        """Store the longest gap for the request's log line.

        :param gap_ms: the longest inter-token gap in ms
        """
        self._exchange.gap_ms = gap_ms

    def on_source_end(self, tokens: int) -> None:
        """Release the decode slot.

        :param tokens: the total number of tokens received
        """
        self.on_tokens(tokens)
        self._end_attempt(jobs.JobOutcome.DONE)

    def cancel_source(self) -> None:
        """Cancel all work after the caller disconnected or was cut off."""
        self._exchange.has_gone.set()
        with self._lock:
            ticket = self._ticket
            open_attempts = [
                attempt
                for attempt in (self._attempt, self._next_attempt)
                if attempt
            ]
        if ticket is not None:
            self._parts.scheduling.cancel_waiting(
                ticket, status.make_disconnect_fault()
            )
        for open_attempt in open_attempts:
            open_attempt.free()

    def _abort_search(self) -> None:
        if not self._has_searched:
            self.cancel_source()

    def is_source_alive(self) -> bool:
        """Return whether the engine accepts connections.

        If only the path to it may have failed, nothing shows that it has
        ended its response itself.
        """
        if self._attempt is None:
            return True
        try:
            return connections.is_accepting_connections(
                self._attempt.decode.address, self._parts.directory.dialer
            )
        except dialing.PathError as failure:
            LOG.info(
                "whether an engine has crashed is unknown",
                extra=logs.make_extra(
                    request_id=self._exchange.request_id,
                    decode=self._get_decode_name(),
                    reason=str(failure),
                ),
            )
            return False

    def recover(self, stream: streams.Stream, fault: errors.Fault) -> None:
        """Resume a stream at another engine after a failure, or end it.

        :param stream: the stream
        :param fault: the fault of the engine
        """
        fault.peer = fault.peer or self._get_decode_name()
        self._was_sent = True
        self._begin_search(stream.expected)
        if self._attempt is not None:
            self._parts.scheduling.record_break(
                self._attempt.job_id,
                stream.last_progress_ms if stream.has_source_begun else None,
            )
            self._check_path(fault, self._attempt)
        self._record_failure(fault)
        self._end_attempt(
            model_dependencies.classify_job_end(fault), self._get_decode_name()
        )
        result: SourceResult = expression.Error(fault)
        if self._may_retry(fault):
            result = self._find_next_source(stream.expected)
        if result.is_ok():
            self._parts.relay.resume(stream, result.ok)
        else:
            self._parts.relay.fail(stream, self._finalize_fault(result.error))

    def replace_source(
        self, stream: streams.Stream, fault: errors.Fault
    ) -> None:
        """Resume a stalled stream at another engine.

        The unresponsive engine is abandoned only after the other engine has
        started to decode.

        :param stream: the stream
        :param fault: the fault of the engine
        """
        fault.peer = fault.peer or self._get_decode_name()
        offset = stream.expected
        self._begin_search(offset)
        if not self._may_retry(fault):
            self._log_wait(fault)
            self._parts.relay.keep_source(stream, fault)
            return
        if self._attempt is not None:
            self._parts.directory.dialer.record_doubt(
                self._attempt.decode.address
            )
        self._avoided = self._avoided | {self._get_decode_name()}
        self._replacement = decode_gate.ReplacementGate(
            self._parts.relay, stream, offset, self._get_decode_name(), fault
        )
        try:
            result = self._find_next_source(offset).bind(self._switch_source)
        finally:
            self._end_replacement()
        if result.is_ok():
            self._parts.relay.resume(stream, result.ok)
            return
        self._log_wait(result.error)
        self._parts.relay.keep_source(
            stream, self._finalize_fault(result.error)
        )

    def may_replace_source(self) -> bool:
        """Return whether another engine can probably resume the stream."""
        exchange = self._exchange
        return (
            route.is_idempotent(exchange)
            and self._count_attempts() < exchange.route.max_attempts
            and not exchange.has_gone.is_set()
            and self._parts.scheduling.has_decode_capacity(
                exchange.pool.name, self._get_decode_name(), self._version
            )
        )

    def close(self, tokens: int, fault: errors.Fault | None) -> None:
        """Release all remaining resources and report the outcome.

        :param tokens: the number of tokens received from engines
        :param fault: why the answer is incomplete; none if it is complete
        """
        self._is_closed = True
        outcome = jobs.JobOutcome.DONE
        if fault is not None:
            outcome = jobs.JobOutcome.CANCELLED
        exchange = self._exchange
        try:
            self._end_search()
            self._end_attempt(outcome)
        finally:
            exchange.finish(
                base.Outcome(fault, exchange.prefilled_tokens + tokens, tokens)
            )

    def compute_first_token_timeout_ms(self) -> int:
        """Return the timeout for the first token, from now on, in ms."""
        return model_engines.compute_attempt_timeout_ms(
            self._exchange.deadline, self._parts.clock.now_ms()
        )

    def compute_token_timeout_ms(self) -> int:
        """Return the timeout for a further token in ms.

        If the route allows another engine to resume the stream, the timeout
        leaves enough time for that before the caller disconnects.  Otherwise
        abandoning an unresponsive engine has no benefit.
        """
        exchange = self._exchange
        target_ms = exchange.route.target_gap_ms
        if not target_ms or not route.is_idempotent(exchange):
            return self._parts.gap_ms
        return max(target_ms * STALL_TIMEOUT_GAPS, MIN_STALL_TIMEOUT_MS)

    def _switch_source(self, source: upstreams.TokenStream) -> SourceResult:
        """Abandon the stalled engine for one that has started to decode.

        :param source: the other engine's stream
        :returns: the same stream, or a fault if the stream ended meanwhile
        """
        replacement = self._replacement
        with self._lock:
            stalled, chosen = self._attempt, self._next_attempt
        if replacement is None or stalled is None or chosen is None:
            source.connection.close()
            return expression.Error(status.make_disconnect_fault())
        if not self._parts.relay.try_close_source(
            replacement.stream, replacement.offset
        ):
            source.connection.close()
            return expression.Error(status.make_disconnect_fault())
        fault = replacement.stream.source_fault or replacement.fault
        with self._lock:
            self._attempt, self._next_attempt = chosen, None
        self._check_path(fault, stalled)
        self._record_failure(fault)
        stalled.end(
            model_dependencies.classify_job_end(fault), stalled.decode_name
        )
        return expression.Ok(source)

    def _end_replacement(self) -> None:
        """End the search for another engine and release what it holds."""
        self._replacement = None
        with self._lock:
            attempt, self._next_attempt = self._next_attempt, None
        if attempt is not None:
            attempt.end(jobs.JobOutcome.CANCELLED)

    def _check_path(
        self, fault: errors.Fault, attempt: attempts.Attempt
    ) -> None:
        """Find out whether the engine or only the path to it has failed."""
        connections.check_path(
            fault, attempt.decode.address, self._parts.directory.dialer
        )

    def _log_wait(self, fault: errors.Fault) -> None:
        LOG.info(
            "a silent engine is waited for",
            extra=logs.make_extra(
                fault,
                request_id=self._exchange.request_id,
                decode=self._get_decode_name(),
                attempts=self._count_attempts(),
                tries=self._retry_state.number,
            ),
        )

    def _begin_search(self, offset: int) -> None:
        """Restart time and attempt counts for a stream that lost its engine.

        :param offset: the number of tokens that the caller already has
        """
        if offset:
            self._retry_state.begin_search(self._parts.clock.now_ms())

    def _find_next_source(self, offset: int) -> SourceResult:
        """Find engines for the rest of a stream.

        :param offset: the number of tokens that the caller already has
        """
        resume_ms = self._parts.clock.now_ms() + RESUME_TIMEOUT_MS
        limit = clock.Deadline(max(self._exchange.deadline.at_ms, resume_ms))
        return self._find_source(offset, limit)

    def _find_source(self, offset: int, limit: clock.Deadline) -> SourceResult:
        while True:
            result = self._try_once(offset, limit)
            if self._exchange.has_gone.is_set():
                return self._discard_result(result)
            if result.is_ok():
                return result
            self._record_failure(result.error)
            if not self._may_retry(result.error) or limit.has_passed(
                self._parts.clock.now_ms()
            ):
                return expression.Error(self._finalize_fault(result.error))

    def _try_once(self, offset: int, limit: clock.Deadline) -> SourceResult:
        job = self._make_job(limit)
        try:
            return self._queue(job).bind(
                lambda attempt: self._run_attempt(attempt, offset, limit)
            )
        except BaseException:
            # Nothing else ends a job that has no attempt yet.
            self._parts.scheduling.abandon(job.job_id)
            raise

    def _make_job(self, limit: clock.Deadline) -> jobs.Job:
        state = self._retry_state
        job = self._jobs.make(
            state.number,
            self._avoided,
            limit,
            state.search.since_ms,
            self._version,
        )
        state.record_attempt()
        return job

    def _queue(
        self, job: jobs.Job
    ) -> expression.Result[attempts.Attempt, errors.Fault]:
        parts = self._parts
        started_ms = parts.clock.now_ms()
        with self._exchange.span.begin(parts.tracer, errors.Step.QUEUE):
            submitted = parts.scheduling.submit(job)
            if submitted.is_error():
                return expression.Error(submitted.error)
            with self._lock:
                self._ticket = submitted.ok
            if self._exchange.has_gone.is_set():
                parts.scheduling.cancel_waiting(
                    submitted.ok, status.make_disconnect_fault()
                )
            decision = parts.scheduling.wait(submitted.ok)
        waited_ms = parts.clock.now_ms() - started_ms
        parts.metrics.queue_wait.record(waited_ms)
        self._exchange.stages.queued_ms += waited_ms
        self._jobs.log_decision(job, decision, waited_ms)
        return decision.bind(
            lambda assignment: self._make_attempt(job, assignment)
        )

    def _make_attempt(
        self, job: jobs.Job, assignment: jobs.Assignment
    ) -> expression.Result[attempts.Attempt, errors.Fault]:
        """Create an attempt from a decision, if the request may still run."""
        parts = self._parts
        checked = self._check_still_admitted()
        engines = [
            self._engines.find_engine(name)
            for name in (assignment.prefill, assignment.decode)
        ]
        if checked.is_error() or None in engines:
            parts.scheduling.finish(job.job_id, jobs.JobOutcome.CANCELLED)
            if checked.is_error():
                return expression.Error(checked.error)
            return expression.Error(
                errors.Fault(
                    errors.Code.UPSTREAM_UNREACHABLE,
                    errors.Step.QUEUE,
                    job.pool,
                    message="the chosen upstream was removed from the tables",
                )
            )
        attempt = attempts.Attempt(
            upstreams.AttemptLabel(
                job.job_id,
                parts.vm,
                parts.incarnation,
                urgency=job.rank if job.pool_ranks.differ else None,
            ),
            job.job_id,
            engines[0],
            engines[1],
            assignment,
            parts.scheduling,
            parts.cancelling,
            parts.clock.now_ms(),
            self._engines.find_version(assignment.decode),
            job.required_version,
        )
        with self._lock:
            if self._replacement is None:
                self._attempt = attempt
            else:
                attempt.require_reservation(self._exchange.estimate)
                self._next_attempt = attempt
        return expression.Ok(attempt)

    def _check_still_admitted(self) -> expression.Result[None, errors.Fault]:
        """Check that the request may still run after its wait."""
        charge = self._exchange.charge
        checked: expression.Result[None, errors.Fault] = expression.Ok(None)
        keeps_stream = (
            self._retry_state.search.has_partial_answer
            and not self._parts.closes_revoked_streams
        )
        if not keeps_stream:
            checked = authentication.revalidate_key(
                self._parts.source, self._exchange, errors.Step.QUEUE
            )
        # A stream that has begun was granted its tokens and has used some.
        if (
            checked.is_error()
            or charge is None
            or self._retry_state.search.has_partial_answer
        ):
            return checked
        return charge.ensure_usable()

    def _run_attempt(
        self, attempt: attempts.Attempt, offset: int, limit: clock.Deadline
    ) -> SourceResult:
        if not self._is_active():
            attempt.end(jobs.JobOutcome.CANCELLED)
            return expression.Error(status.make_disconnect_fault())
        gate = self._replacement or decode_gate.OpenGate()
        result = self._engines.run(attempt, offset, limit, gate)
        if result.is_error():
            fault = result.error
            self._was_sent = attempt.was_sent
            failed_name = attempt.decode_name
            if fault.step is errors.Step.PREFILL:
                failed_name = attempt.prefill_name
            end = jobs.JobOutcome.CANCELLED
            # An engine may close the connection after a cancellation; it has
            # not crashed and is not at fault.
            if self._is_active() and fault.code not in NO_VERDICT_CODES:
                self._avoided = self._avoided | {failed_name}
                if not self._is_start_limited(fault):
                    end = model_dependencies.classify_job_end(fault)
            attempt.end(end, failed_name)
        return result

    def _is_start_limited(self, fault: errors.Fault) -> bool:
        """Return whether an engine had too little time to be at fault."""
        return (
            self._replacement is not None
            and fault.code is errors.Code.UPSTREAM_TIMEOUT
            and fault.step is errors.Step.DECODE
        )

    def _may_retry(self, fault: errors.Fault) -> bool:
        """Return whether another upstream may be tried; log why not.

        :param fault: the fault of the last attempt
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
                tries=self._retry_state.number,
            ),
        )
        return False

    def _find_obstacle(self, fault: errors.Fault) -> str:
        """Return why no other upstream may be tried; empty if one may.

        Each retry costs a prefill, and retries are most frequent while
        upstreams fail; the budget limits them to a fraction of all work.
        """
        exchange = self._exchange
        # If nothing of the request was sent, this is not a retry.
        is_unsent = fault.step is errors.Step.RESERVE or (
            fault.code is errors.Code.UPSTREAM_UNREACHABLE
            and not self._was_sent
        )
        if not (
            fault.run is errors.ExecutionStatus.NOT_RUN
            or route.is_idempotent(exchange)
        ):
            return "the request may run once only"
        if self._count_attempts() >= exchange.route.max_attempts:
            return "its route allows no further attempt"
        if self._retry_state.search.is_exhausted():
            return "too many attempts have failed"
        if not self._is_active():
            return "the caller disconnected"
        if self._parts.scheduling.has_quarantined_part(exchange.part_keys):
            return "upstreams crashed on a part of its prompt"
        if not is_unsent and not self._parts.try_withdraw_retry(
            exchange.pool.name
        ):
            return "the retry budget is exhausted"
        return ""

    def _is_active(self) -> bool:
        return not (self._is_closed or self._exchange.has_gone.is_set())

    def _count_attempts(self) -> int:
        return self._retry_state.count_sent_attempts(
            len(self._engines.sent_to)
        )

    def _record_failure(self, fault: errors.Fault) -> None:
        if fault.run is not errors.ExecutionStatus.NOT_RUN:
            self._engines.has_run = True
        self._retry_state.record_failure(fault)
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
            extra=logs.make_extra(
                fault,
                request_id=self._exchange.request_id,
                has_died=fault.has_died,
                is_path_fault=fault.is_path_fault,
                digest=self._exchange.digest,
                parts=self._exchange.prompt_parts,
            ),
        )

    def _finalize_fault(self, fault: errors.Fault) -> errors.Fault:
        """Return the fault for the caller, valid for all attempts together.

        The last attempt may have been rejected before it ran, but an earlier
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
            fault.retry_after_ms = self._jobs.compute_return_ms(RETRY_AFTER_MS)
        return fault

    def _discard_result(self, result: SourceResult) -> SourceResult:
        if result.is_ok():
            result.ok.connection.close()
        self._end_attempt(jobs.JobOutcome.CANCELLED)
        may_have_run = bool(self._engines.sent_to) or (
            result.is_error()
            and result.error.run is not errors.ExecutionStatus.NOT_RUN
        )
        if self._exchange.abort_fault is not None and may_have_run:
            self._engines.has_run = True
        return expression.Error(
            self._finalize_fault(status.make_disconnect_fault())
        )

    def _end_attempt(
        self, outcome: jobs.JobOutcome, failed_name: str = ""
    ) -> None:
        with self._lock:
            attempt = self._attempt
        if failed_name:
            self._avoided = self._avoided | {failed_name}
        if attempt is not None:
            attempt.end(outcome, failed_name)

    def _release(self) -> None:
        """End the attempts that are left when the request has ended."""
        with self._lock:
            left = (self._attempt, self._next_attempt)
        for attempt in filter(None, left):
            attempt.end(jobs.JobOutcome.CANCELLED)
            self._parts.scheduling.abandon(attempt.job_id)

    def _end_search(self) -> None:
        """End the search for another engine when the stream is closed."""
        with self._lock:
            ticket, attempt = self._ticket, self._next_attempt
        if self._replacement is None:
            return
        disconnect_fault = status.make_disconnect_fault()
        if ticket is not None:
            self._parts.scheduling.cancel_waiting(ticket, disconnect_fault)
        if attempt is not None:
            attempt.end(jobs.JobOutcome.CANCELLED)

    def _get_decode_name(self) -> str:
        return "" if self._attempt is None else self._attempt.decode_name

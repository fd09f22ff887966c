"""Runs one model request: queue, prefill, decode, and a second try."""

import collections.abc
import logging
import threading

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import metrics
from mulberryway import tables
from mulberryway import traces
from mulberryway.controllers import cancelling
from mulberryway.controllers import scheduling
from mulberryway.filters import attempt as attempts
from mulberryway.filters import authenticate
from mulberryway.filters import base
from mulberryway.filters import route
from mulberryway.policy import messages
from mulberryway.relay import pump
from mulberryway.relay import stream as streams
from mulberryway.relay import watch
from mulberryway.upstreams import base as upstreams
from mulberryway.upstreams import directory

__all__ = ["ModelRun", "Parts"]

LOG = logging.getLogger(__name__)

# An engine that fell silent must leave time for another one.
PART_OF_LEFT = 2
LEAST_WAIT_MS = 200
# A prefill's result lives for less than a second; some of it is needed for
# the transfer.
MOVE_WITHIN_MS = 500
MOVE_PAUSE_MS = 30
# How long a stream that has lost its engine may seek another.
RESUME_MS = 5_000
# Tries in all, also those that reached nobody: dead engines are ejected by
# the first of them.
MOST_TRIES = 4
# When a caller should come again whose request no engine took: by then a
# stream or two has ended on each engine.
RETRY_AFTER_MS = 1_000
# An engine that makes no token for so many times the pause that is on time
# has probably fallen silent; callers leave after eight of them or two
# seconds, so there is time for another engine.
GAPS_TO_LEAVE = 4
# How long callers wait for a stream's next event, and for its first: the
# longest of a time, of the target for the first, and of that for pauses.
LEAST_PATIENCE_MS = 2_000
PATIENCE_TARGETS = 4
PATIENCE_GAPS = 8
# Of it so much may go by in the queue and the prefill.
WAIT_PART = 0.55
LEAST_GAP_MS = 1_000
MOVABLE = frozenset(
    (
        errors.Code.UPSTREAM_UNREACHABLE,
        errors.Code.UPSTREAM_TIMEOUT,
        errors.Code.UPSTREAM_FAILED,
        errors.Code.UPSTREAM_REFUSED,
    )
)
ENDS = {
    errors.Code.UPSTREAM_TIMEOUT: messages.JobEnd.TIMED_OUT,
    errors.Code.UPSTREAM_REFUSED: messages.JobEnd.REFUSED_BY_ENGINE,
}

Source = expression.Result[upstreams.TokenStream, errors.Fault]


def sort_end(fault: errors.Fault) -> messages.JobEnd:
    """Return how an attempt ended that an upstream did not answer whole.

    :param fault: what befell it
    :returns: the end; an upstream that may have died of the request is told
        from one that answered with an error
    """
    if fault.has_died:
        return messages.JobEnd.DIED
    return ENDS.get(fault.code, messages.JobEnd.FAILED)


class Parts:
    """What all model requests share.

    :param vm: the VM's name
    :param incarnation: which life of the VM's router this is
    :param gap_ms: the longest wait for a further token
    :param may_repeat: takes a repeat out of a pool's budget for them
    """

    __slots__ = (
        "vm",
        "incarnation",
        "gap_ms",
        "clock",
        "source",
        "scheduling",
        "cancelling",
        "directory",
        "relay",
        "callers",
        "tracer",
        "metrics",
        "may_repeat",
    )

    def __init__(
        self,
        vm: str,
        incarnation: int,
        gap_ms: int,
        clock_: clock.Clock,
        source: tables.TableSource,
        scheduling_: scheduling.Scheduling,
        cancelling_: cancelling.Cancelling,
        directory_: directory.UpstreamDirectory,
        relay: pump.Relay,
        callers: watch.CallerWatch,
        tracer: traces.Tracer,
        metrics_: metrics.Metrics,
        may_repeat: collections.abc.Callable[[str], bool],
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.gap_ms = gap_ms
        self.clock = clock_
        self.source = source
        self.scheduling = scheduling_
        self.cancelling = cancelling_
        self.directory = directory_
        self.relay = relay
        self.callers = callers
        self.tracer = tracer
        self.metrics = metrics_
        self.may_repeat = may_repeat


class ModelRun(streams.StreamOwner):
    """One model request from its admission to its end.

    :param exchange: the request
    :param parts: what all model requests share
    """

    def __init__(self, exchange: base.Exchange, parts: Parts) -> None:
        self._exchange = exchange
        self._parts = parts
        self._number = 0
        self._avoid: frozenset[str] = frozenset()
        self._ticket: scheduling.Ticket | None = None
        self._attempt: attempts.Attempt | None = None
        self._decode_span = traces.NO_SPAN
        self._has_run = False
        # The engines to which the request itself was sent, refused or not.
        self._sent_to: set[str] = set()
        # Tries that found nobody to take the request.
        self._unsent = 0
        self._lock = threading.Lock()

    def begin(self) -> Source:
        """Find engines for the request and begin its decode.

        The caller is watched meanwhile.

        :returns: the stream, or a fault
        """
        watch_ = self._parts.callers.begin(
            self._exchange.connection, self.drop_source
        )
        try:
            return self._find_source(0, self._exchange.deadline)
        finally:
            self._parts.callers.end(watch_)

    def note_first_token(self) -> None:
        """Tell the scheduler and the metrics."""
        parts = self._parts
        if self._attempt is not None:
            parts.scheduling.note_first_token(self._attempt.job_id)
        took_ms = parts.clock.now_ms() - self._exchange.arrived_ms
        parts.metrics.first_token.record(took_ms)

    def note_tokens(self, tokens: int) -> None:
        """Tell the scheduler how far the answer is.

        :param tokens: how many tokens have come so far
        """
        if self._attempt is not None:
            self._parts.scheduling.note_tokens(self._attempt.job_id, tokens)

    def note_source_end(self, tokens: int) -> None:
        """Give the decode slot back.

        :param tokens: how many tokens have come in all
        """
        self.note_tokens(tokens)
        self._end_attempt(messages.JobEnd.DONE)

    def drop_source(self) -> None:
        """Let everything go, because the caller has gone or was cut off."""
        self._exchange.has_gone.set()
        with self._lock:
            ticket, attempt = self._ticket, self._attempt
        if ticket is not None:
            self._parts.scheduling.give_up(ticket, _gone())
        if attempt is not None:
            attempt.free()

    def recover(self, stream: streams.Stream, fault: errors.Fault) -> None:
        """Go on at another engine where the last one failed, or give up.

        :param stream: the stream
        :param fault: what befell the engine
        """
        fault.peer = fault.peer or self._name_decode()
        self._note_failure(fault)
        self._end_attempt(sort_end(fault), self._name_decode())
        result: Source = expression.Error(fault)
        if self._may_move(fault):
            now_ms = self._parts.clock.now_ms()
            limit = clock.Deadline(
                max(self._exchange.deadline.at_ms, now_ms + RESUME_MS)
            )
            result = self._find_source(stream.expected, limit)
        if result.is_ok():
            self._parts.relay.resume(stream, result.ok)
        else:
            self._parts.relay.fail(stream, self._word_last(result.error))

    def close(self, tokens: int, fault: errors.Fault | None) -> None:
        """Settle what is still open.

        :param tokens: how many tokens were taken from engines
        :param fault: why the answer is not whole; none if it is
        """
        how = messages.JobEnd.DONE
        if fault is not None:
            how = messages.JobEnd.CANCELLED
        self._end_attempt(how)
        exchange = self._exchange
        exchange.finish(
            base.Outcome(fault, exchange.prompt_used + tokens, tokens)
        )

    def limit_first_ms(self) -> int:
        """Return how long the first token may take from now on."""
        left_ms = self._exchange.deadline.left_ms(self._parts.clock.now_ms())
        return max(left_ms // PART_OF_LEFT, LEAST_WAIT_MS)

    def read_gap_limit_ms(self) -> int:
        """Return how long a further token may take.

        Where another engine can go on, a silent one is left soon enough for
        the caller to wait for the other; where none can, nothing is gained
        by giving it up.
        """
        exchange = self._exchange
        target_ms = exchange.route.target_gap_ms
        if not target_ms or not route.is_repeatable(exchange):
            return self._parts.gap_ms
        return max(target_ms * GAPS_TO_LEAVE, LEAST_GAP_MS)

    def _find_source(self, offset: int, limit: clock.Deadline) -> Source:
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

    def _try_once(self, offset: int, limit: clock.Deadline) -> Source:
        return self._queue(limit).bind(
            lambda attempt: self._run_attempt(attempt, offset, limit)
        )

    def _queue(
        self, limit: clock.Deadline
    ) -> expression.Result[attempts.Attempt, errors.Fault]:
        parts = self._parts
        began_ms = parts.clock.now_ms()
        job = self._make_job(limit)
        with self._exchange.span.begin(parts.tracer, errors.Step.QUEUE):
            submitted = parts.scheduling.submit(job)
            if submitted.is_error():
                return expression.Error(submitted.error)
            with self._lock:
                self._ticket = submitted.ok
            if self._exchange.has_gone.is_set():
                parts.scheduling.give_up(submitted.ok, _gone())
            decision = parts.scheduling.wait(submitted.ok)
        waited_ms = parts.clock.now_ms() - began_ms
        parts.metrics.queue_wait.record(waited_ms)
        self._log_decision(job, decision, waited_ms)
        return decision.bind(lambda found: self._take(job, found))

    def _log_decision(
        self,
        job: messages.Job,
        decision: expression.Result[messages.Assignment, errors.Fault],
        waited_ms: int,
    ) -> None:
        exchange = self._exchange
        fields = {
            "request_id": exchange.request_id,
            "job": job.job_id,
            "pool": job.pool,
            "prompt_tokens": job.prompt_tokens,
            "expected_tokens": job.expected_tokens or job.max_tokens,
            "waited_ms": waited_ms,
            "tables": exchange.tables.revision,
        }
        if decision.is_error():
            LOG.info(
                "no engine was chosen",
                extra=logs.describe(decision.error, **fields),
            )
            return
        chosen = decision.ok
        LOG.info(
            "engines were chosen",
            extra=logs.describe(
                prefill=chosen.prefill,
                decode=chosen.decode,
                **fields,
                **chosen.inputs,
            ),
        )

    def _take(
        self, job: messages.Job, assignment: messages.Assignment
    ) -> expression.Result[attempts.Attempt, errors.Fault]:
        """Turn a decision into an attempt, if the key still holds."""
        parts = self._parts
        held = authenticate.check_key(
            parts.source, self._exchange, errors.Step.QUEUE
        )
        if held.is_ok() and self._exchange.charge is not None:
            held = self._exchange.charge.confirm()
        engines = [
            self._find_engine(name)
            for name in (assignment.prefill, assignment.decode)
        ]
        if held.is_error() or None in engines:
            parts.scheduling.finish(job.job_id, messages.JobEnd.CANCELLED)
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
            upstreams.RunLabel(job.job_id, parts.vm, parts.incarnation),
            job.job_id,
            engines[0],
            engines[1],
            assignment,
            parts.scheduling,
            parts.cancelling,
        )
        with self._lock:
            self._attempt = attempt
        return expression.Ok(attempt)

    def _run_attempt(
        self, attempt: attempts.Attempt, offset: int, limit: clock.Deadline
    ) -> Source:
        if self._exchange.has_gone.is_set():
            attempt.end(messages.JobEnd.CANCELLED)
            return expression.Error(_gone())
        is_alone = (
            attempt.prefill is attempt.decode and attempt.decode.reads_prompts
        )
        if is_alone:
            nothing = upstreams.PrefillResult({}, 0, 0)
            result = self._decode(attempt, nothing, offset, limit)
            if result.is_ok():
                self._parts.scheduling.note_prefilled(attempt.job_id)
        else:
            result = self._prefill(attempt, limit).bind(
                lambda found: self._decode(attempt, found, offset, limit)
            )
        if result.is_error():
            fault = result.error
            blame = attempt.decode_name
            if fault.step is errors.Step.PREFILL:
                blame = attempt.prefill_name
            self._avoid = self._avoid | {blame}
            # An engine that is told to cancel may close the connection; it
            # has not died, and is not to blame.
            has_gone = self._exchange.has_gone.is_set()
            end = messages.JobEnd.CANCELLED if has_gone else sort_end(fault)
            attempt.end(end, blame)
        return result

    def _prefill(
        self, attempt: attempts.Attempt, limit: clock.Deadline
    ) -> expression.Result[upstreams.PrefillResult, errors.Fault]:
        parts = self._parts
        with self._begin_hop(attempt, errors.Step.PREFILL) as span:
            result = attempt.prefill.prefill(
                attempt.label, self._exchange.call, self._share(limit)
            )
            if result.is_error():
                span.fail(result.error)
                return result
        self._exchange.prompt_used += result.ok.prompt_tokens
        self._has_run = self._has_run or attempt.prefill.prefill_runs
        parts.scheduling.note_prefilled(attempt.job_id)
        return result

    def _decode(
        self,
        attempt: attempts.Attempt,
        found: upstreams.PrefillResult,
        offset: int,
        limit: clock.Deadline,
    ) -> Source:
        """Decode where a slot is reserved, or where one comes free.

        Another router may have taken the slot before its note came.  The
        prefill would be lost with it, and its result lives long enough to
        look for another slot.
        """
        clock_ = self._parts.clock
        until = clock.Deadline(clock_.now_ms() + MOVE_WITHIN_MS)
        result = self._decode_once(attempt, found, offset, limit)
        while (
            result.is_error()
            and result.error.code is errors.Code.UPSTREAM_REFUSED
            and result.error.step is errors.Step.DECODE
            and not until.has_passed(clock_.now_ms())
            and not self._exchange.has_gone.is_set()
        ):
            found_again = self._prepare_again(attempt, found)
            if found_again is None:
                break
            found = found_again
            if not self._parts.may_repeat(self._exchange.pool.name):
                break
            result = self._decode_once(attempt, found, offset, limit)
        return result

    def _prepare_again(
        self, attempt: attempts.Attempt, found: upstreams.PrefillResult
    ) -> upstreams.PrefillResult | None:
        """Return with what a refused decode is sent once more, if at all.

        An engine refuses when it is full, and also when the KV cache cannot
        be had any more.  Where it can read the prompt itself, it is asked
        to, once: that serves the caller in either case if there is room by
        now, and needs no third engine.
        """
        if self._move_decode(attempt):
            return found
        if not attempt.decode.reads_prompts:
            self._parts.clock.sleep_ms(MOVE_PAUSE_MS)
            return found
        if not found.transfer:
            return None
        self._parts.cancelling.cancel(attempt.prefill, attempt.label)
        return upstreams.PrefillResult({}, found.prompt_tokens, 0)

    def _move_decode(self, attempt: attempts.Attempt) -> bool:
        if len(self._sent_to) >= self._exchange.route.most_attempts:
            return False
        name = self._parts.scheduling.move_decode(
            attempt.job_id, attempt.decode_name
        )
        engine = self._find_engine(name) if name is not None else None
        if name is None or engine is None:
            return False
        attempt.change_decode(name, engine)
        return True

    def _decode_once(
        self,
        attempt: attempts.Attempt,
        found: upstreams.PrefillResult,
        offset: int,
        limit: clock.Deadline,
    ) -> Source:
        self._sent_to.add(attempt.decode_name)
        self._exchange.tried.append(attempt.decode_name)
        with self._begin_hop(attempt, errors.Step.TRANSFER) as span:
            result = attempt.decode.decode(
                attempt.label,
                self._exchange.call,
                found.transfer,
                offset,
                self._share(limit),
            )
            if result.is_error():
                span.fail(result.error)
        return result

    def _begin_hop(
        self, attempt: attempts.Attempt, step: errors.Step
    ) -> traces.Span:
        span = self._exchange.span.begin(self._parts.tracer, step)
        attempt.label.traceparent = span.traceparent
        return span

    def _share(self, limit: clock.Deadline) -> int:
        left_ms = limit.left_ms(self._parts.clock.now_ms())
        return max(left_ms // PART_OF_LEFT, LEAST_WAIT_MS)

    def _make_job(self, limit: clock.Deadline) -> messages.Job:
        exchange = self._exchange
        number = self._number
        self._number += 1
        return messages.Job(
            f"{exchange.request_id}-{number}",
            exchange.account.name,
            exchange.account.weight,
            exchange.pool.name,
            exchange.model,
            exchange.estimate,
            exchange.max_tokens,
            exchange.prefix_hashes,
            len(exchange.body),
            self._parts.clock.now_ms(),
            self._limit_start(limit),
            number,
            self._choose_avoided(),
            exchange.digest,
            exchange.expected_tokens,
            exchange.arrived_ms + exchange.route.target_ms
            if exchange.route.target_ms
            else 0,
        )

    def _limit_start(self, limit: clock.Deadline) -> clock.Deadline:
        """Return when a first token is too late to be of use.

        Callers leave a stream that does not begin within their patience, and
        what is refused well before can still be served on its return.
        """
        exchange = self._exchange
        row = exchange.route
        if not row.is_streaming or not row.target_ms:
            return limit
        patience_ms = max(
            LEAST_PATIENCE_MS,
            row.target_ms * PATIENCE_TARGETS,
            row.target_gap_ms * PATIENCE_GAPS,
        )
        start_ms = exchange.arrived_ms + int(patience_ms * WAIT_PART)
        return clock.Deadline(min(limit.at_ms, start_ms))

    def _choose_avoided(self) -> frozenset[str]:
        """Return the upstreams to avoid, unless none would be left.

        A pool whose every upstream has failed once is better tried again
        than given up: a restarted engine serves within seconds.
        """
        usable = {
            role: {
                upstream.name
                for upstream in self._exchange.pool.upstreams
                if upstream.role in (role, tables.UpstreamRole.BOTH)
            }
            for role in (
                tables.UpstreamRole.PREFILL,
                tables.UpstreamRole.DECODE,
            )
        }
        if all(names - self._avoid for names in usable.values()):
            return self._avoid
        return frozenset()

    def _find_engine(self, name: str) -> upstreams.Engine | None:
        """Return an engine by the newest tables.

        The scheduler has the newest pools, and the request may have come
        under older ones.
        """
        newest = self._parts.source.read_tables() or self._exchange.tables
        pool = newest.pools.get(self._exchange.pool.name)
        if pool is None:
            return None
        return next(
            (
                self._parts.directory.find_engine(pool, upstream)
                for upstream in pool.upstreams
                if upstream.name == name
            ),
            None,
        )

    def _may_move(self, fault: errors.Fault) -> bool:
        """Tell whether another upstream may be tried.

        Repeats cost a prefill each, and come just when upstreams fail; the
        budget keeps them a small part of all work.
        """
        exchange = self._exchange
        return (
            fault.code in MOVABLE
            and (
                fault.run is errors.Run.NOT_RUN
                or route.is_repeatable(exchange)
            )
            and max(self._number - self._unsent, len(self._sent_to))
            < exchange.route.most_attempts
            and self._number < MOST_TRIES
            and not exchange.has_gone.is_set()
            and self._parts.may_repeat(exchange.pool.name)
        )

    def _note_failure(self, fault: errors.Fault) -> None:
        if fault.run is not errors.Run.NOT_RUN:
            self._has_run = True
        if fault.code is errors.Code.UPSTREAM_UNREACHABLE:
            self._unsent += 1
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
            extra=logs.describe(fault, request_id=self._exchange.request_id),
        )

    def _word_last(self, fault: errors.Fault) -> errors.Fault:
        """Return what the caller is told, true for all attempts together.

        The last attempt may have been refused before it ran, but an earlier
        one may have run.
        """
        if self._has_run and fault.run is errors.Run.NOT_RUN:
            fault.run = errors.Run.MAY_HAVE_RUN
        if fault.run is errors.Run.NOT_RUN and fault.retry_after_ms is None:
            fault.retry_after_ms = RETRY_AFTER_MS
        return fault

    def _drop_result(self, result: Source) -> Source:
        if result.is_ok():
            result.ok.connection.close()
        self._end_attempt(messages.JobEnd.CANCELLED)
        return expression.Error(self._word_last(_gone()))

    def _end_attempt(self, how: messages.JobEnd, blame: str = "") -> None:
        with self._lock:
            attempt = self._attempt
        if blame:
            self._avoid = self._avoid | {blame}
        if attempt is not None:
            attempt.end(how, blame)

    def _name_decode(self) -> str:
        return "" if self._attempt is None else self._attempt.decode_name


def _gone() -> errors.Fault:
    return errors.Fault(
        errors.Code.CANCELLED,
        errors.Step.CALLER,
        message="the caller has gone",
    )

"""Runs a model request's calls to its prefill and decode engines."""

import logging
import typing

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import tables
from mulberryway import traces
from mulberryway.filters import attempt as attempts
from mulberryway.filters import base
from mulberryway.filters import decode_gate
from mulberryway.filters import model_dependencies
from mulberryway.filters import route
from mulberryway.policy import prefill_timeouts
from mulberryway.upstreams import base as upstreams
from mulberryway.upstreams import decode_call

__all__ = ["EngineCalls", "compute_attempt_timeout_ms"]

LOG = logging.getLogger(__name__)

# An unresponsive engine must leave enough time to try another one.
REMAINING_TIME_DIVISOR = 2
MIN_ATTEMPT_TIMEOUT_MS = 200
# Engines keep a prefill result for less than a second, and part of that time
# is needed for the transfer.
DECODE_REASSIGN_TIMEOUT_MS = 500
DECODE_REASSIGN_DELAY_MS = 30
# Engines asked for a reservation per attempt; each costs a round trip.
MAX_RESERVE_ATTEMPTS = 4
# After these faults the decode has not started and the prefill result is
# still available.
DECODE_NOT_STARTED = frozenset(
    (errors.Code.UPSTREAM_REFUSED, errors.Code.UPSTREAM_UNREACHABLE)
)
# After these faults the engine may have run the prefill, which produces no
# output.  A rejection counts as a separate attempt, and after a failed
# connect the whole request may fail over.
PREFILL_OUTCOME_UNKNOWN = frozenset(
    (errors.Code.UPSTREAM_TIMEOUT, errors.Code.UPSTREAM_FAILED)
)


def compute_attempt_timeout_ms(limit: clock.Deadline, now_ms: int) -> int:
    """Return the timeout of a call to one engine in ms.

    :param limit: the deadline of the request
    :param now_ms: the current time in ms
    """
    return max(
        limit.left_ms(now_ms) // REMAINING_TIME_DIVISOR, MIN_ATTEMPT_TIMEOUT_MS
    )


class EngineCalls:
    """Makes the engine calls of one request, over all its attempts.

    ``has_run`` is true if the request may have run on any engine.
    ``sent_to`` names the engines that received it, including those that
    rejected it.

    :param exchange: the request
    :param parts: the dependencies shared by all model requests
    """

    __slots__ = ("has_run", "sent_to", "_exchange", "_parts", "_gate")

    def __init__(
        self,
        exchange: base.Exchange,
        parts: model_dependencies.ModelDependencies,
    ) -> None:
        self.has_run = False
        self.sent_to: set[str] = set()
        self._exchange = exchange
        self._parts = parts
        self._gate: decode_gate.DecodeGate = decode_gate.OpenGate()

    def run(
        self,
        attempt: attempts.Attempt,
        offset: int,
        limit: clock.Deadline,
        gate: decode_gate.DecodeGate,
    ) -> model_dependencies.SourceResult:
        """Run an attempt until its token stream begins.

        :param attempt: the attempt, with a reserved slot
        :param offset: the number of tokens that the caller already has
        :param limit: the deadline of the request
        :param gate: asked right before the request is sent to a decode engine
        :returns: the stream, or a fault
        """
        self._gate = gate
        if not gate.accepts(attempt.decode_name):
            return expression.Error(_make_kept_fault(attempt))
        uses_chunked_prefill = (
            attempt.prefill is attempt.decode
            and attempt.decode.supports_chunked_prefill
        )
        if uses_chunked_prefill:
            empty_prefill = upstreams.PrefillResult({}, 0, 0)
            result = attempt.decode.prepare_decode(
                attempt.label, self._make_reservation_request(attempt)
            ).bind(
                lambda reservation: self._decode(
                    attempt, empty_prefill, offset, limit
                )
            )
            if result.is_ok():
                self._parts.scheduling.record_prefilled(attempt.job_id)
        else:
            result = (
                self._prepare(attempt)
                .bind(lambda reservation: self._prefill(attempt, limit))
                .or_else_with(lambda fault: self._skip_prefill(attempt, fault))
                .bind(
                    lambda prefill: self._decode(
                        attempt, prefill, offset, limit
                    )
                )
            )
        if result.is_error():
            # A cancellation that arrived before the connection was made
            # had nothing to close, and it is not sent again.
            self._release(attempt)
        return result

    def _release(self, attempt: attempts.Attempt) -> None:
        """Release what the decode engine holds for a failed attempt."""
        if self._exchange.has_gone.is_set():
            # The answer of an aborted request must not wait for the engine.
            self._parts.cancelling.cancel(attempt.decode, attempt.label)
        else:
            attempt.decode.release(attempt.label)

    def _prepare(
        self, attempt: attempts.Attempt
    ) -> expression.Result[errors.Fault | None, errors.Fault]:
        """Reserve KV cache at the decode engine, or at another one.

        Many VMs choose among the same engines, based on load reports that
        are already out of date.  A prefill for an engine without free
        capacity would be wasted.

        An engine that does not answer may be full, or slow for a moment.
        Another one is asked, or the same again if there is no other; the
        decode is sent without a reservation after a second silence.
        """
        is_first_silence = True
        for left in reversed(range(MAX_RESERVE_ATTEMPTS)):
            result = attempt.decode.prepare_decode(
                attempt.label, self._make_reservation_request(attempt)
            )
            if result.is_error():
                is_full = result.error.step is errors.Step.RESERVE
                if not is_full or not self._reassign_decode(attempt):
                    break
            elif result.ok is None or not (left and is_first_silence):
                break
            else:
                is_first_silence = False
                if not self._avoid_decode(attempt):
                    attempt.decode.release(attempt.label)
        return result

    def _make_reservation_request(
        self, attempt: attempts.Attempt
    ) -> upstreams.ReservationRequest | None:
        hold_ms = self._exchange.pool.hold_ms
        if not hold_ms or not attempt.kv_tokens:
            return None
        return upstreams.ReservationRequest(
            attempt.kv_tokens, hold_ms, attempt.requires_reservation
        )

    def _log_wasted_prefill(
        self,
        attempt: attempts.Attempt,
        prefill: upstreams.PrefillResult,
        fault: errors.Fault,
    ) -> None:
        LOG.info(
            "a prompt was read in vain",
            extra=logs.make_extra(
                fault,
                request_id=self._exchange.request_id,
                prefill=attempt.prefill_name,
                decode=attempt.decode_name,
                tokens=prefill.prompt_tokens,
                has_gone=self._exchange.has_gone.is_set(),
            ),
        )

    def _skip_prefill(
        self, attempt: attempts.Attempt, fault: errors.Fault
    ) -> expression.Result[upstreams.PrefillResult, errors.Fault]:
        """Fall back to chunked prefill if the prefill has no response."""
        is_outcome_unknown = (
            fault.code in PREFILL_OUTCOME_UNKNOWN
            and fault.step is errors.Step.PREFILL
            and not fault.has_died
        )
        if (
            not is_outcome_unknown
            or not attempt.decode.supports_chunked_prefill
            or self._exchange.has_gone.is_set()
        ):
            return expression.Error(fault)
        LOG.info(
            "a prefill was not answered, the decode engine reads the prompt",
            extra=logs.make_extra(
                fault,
                request_id=self._exchange.request_id,
                decode=attempt.decode_name,
                ready_in_ms=attempt.ready_in_ms,
            ),
        )
        self._parts.scheduling.record_prefill_failed(attempt.job_id)
        return expression.Ok(upstreams.PrefillResult({}, 0, 0))

    def _prefill(
        self, attempt: attempts.Attempt, limit: clock.Deadline
    ) -> expression.Result[upstreams.PrefillResult, errors.Fault]:
        if not self._gate.is_needed():
            return expression.Error(_make_kept_fault(attempt))
        parts = self._parts
        checked = parts.scheduling.check_running(attempt.job_id)
        if checked.is_error():
            return expression.Error(checked.error)
        if not parts.scheduling.try_send(attempt.job_id, attempt.prefill_name):
            return _make_cold_error(errors.Step.PREFILL, attempt.prefill_name)
        started_ms = parts.clock.now_ms()
        with self._begin_span(attempt, errors.Step.PREFILL) as span:
            result = attempt.prefill.prefill(
                attempt.label,
                self._exchange.call,
                self._compute_prefill_timeout_ms(attempt, limit),
            )
            read_ms = parts.clock.now_ms() - started_ms
            self._exchange.stages.read_ms += read_ms
            _record_sent(attempt, result)
            if result.is_error():
                span.fail(result.error)
                return result
        self._exchange.prefilled_tokens += result.ok.prompt_tokens
        self.has_run = self.has_run or attempt.prefill.counts_prefill_as_run
        parts.scheduling.record_prefilled(attempt.job_id)
        return result

    def _decode(
        self,
        attempt: attempts.Attempt,
        prefill: upstreams.PrefillResult,
        offset: int,
        limit: clock.Deadline,
    ) -> model_dependencies.SourceResult:
        """Decode at the chosen engine, or at another one with a free slot.

        Another router may have taken the slot before its gossip message
        arrived, or the engine may have crashed during the prefill.  The
        prefill result is kept long enough to look for another slot.
        """
        clock_ = self._parts.clock
        reassign_deadline = clock.Deadline(
            clock_.now_ms() + DECODE_REASSIGN_TIMEOUT_MS
        )
        sent = prefill
        result = self._decode_once(attempt, sent, offset, limit)
        while (
            result.is_error()
            and result.error.code in DECODE_NOT_STARTED
            and result.error.step is errors.Step.DECODE
            and not reassign_deadline.has_passed(clock_.now_ms())
            and not self._exchange.has_gone.is_set()
        ):
            is_unreached = (
                result.error.code is errors.Code.UPSTREAM_UNREACHABLE
            )
            retry_input = (
                self._reassign_unreached_decode(
                    attempt, prefill, reassign_deadline
                )
                if is_unreached
                else self._prepare_decode_retry(attempt, prefill, sent)
            )
            if retry_input is None:
                break
            sent = retry_input
            # An attempt that did not reach an engine costs no retry budget.
            if not is_unreached and not self._parts.try_withdraw_retry(
                self._exchange.pool.name
            ):
                break
            rejection = result.error
            result = self._decode_once(attempt, sent, offset, limit)
            if result.is_ok() and prefill.transfer and not sent.transfer:
                self._log_wasted_prefill(attempt, prefill, rejection)
                # The label also names the decode that runs now.
                if attempt.decode is not attempt.prefill:
                    self._parts.cancelling.cancel(
                        attempt.prefill, attempt.label
                    )
        if result.is_error() and prefill.transfer:
            self._log_wasted_prefill(attempt, prefill, result.error)
        return result

    def _prepare_decode_retry(
        self,
        attempt: attempts.Attempt,
        prefill: upstreams.PrefillResult,
        sent: upstreams.PrefillResult,
    ) -> upstreams.PrefillResult | None:
        """Return the prefill result for a retry of a rejected decode, or none.

        An engine rejects a decode when it is full or when it cannot fetch
        the KV cache.  If it supports chunked prefill, it is asked once to
        prefill the prompt itself, which handles both cases if it has free
        capacity by now, and needs no third engine.

        :param attempt: the attempt
        :param prefill: the result of its prefill, which is kept until an
            engine accepts the decode
        :param sent: the result that was sent with the rejected decode
        """
        while self._reassign_decode(attempt):
            if self._reserve_reassigned(attempt):
                return prefill
        if not attempt.decode.supports_chunked_prefill:
            self._parts.clock.sleep_ms(DECODE_REASSIGN_DELAY_MS)
            return sent
        if not sent.transfer:
            return None
        return upstreams.PrefillResult({}, prefill.prompt_tokens, 0)

    def _reassign_unreached_decode(
        self,
        attempt: attempts.Attempt,
        prefill: upstreams.PrefillResult,
        reassign_deadline: clock.Deadline,
    ) -> upstreams.PrefillResult | None:
        """Find another engine for a decode that did not reach its engine.

        :returns: the prefill result to send; none if no engine has free
            capacity in time
        """
        clock_ = self._parts.clock
        while not reassign_deadline.has_passed(clock_.now_ms()):
            if self._exchange.has_gone.is_set():
                break
            if self._reassign_decode(
                attempt, is_unreached=True
            ) and self._reserve_reassigned(attempt):
                return prefill
            clock_.sleep_ms(DECODE_REASSIGN_DELAY_MS)
        return None

    def _reserve_reassigned(self, attempt: attempts.Attempt) -> bool:
        """Reserve KV cache at the new engine of a decode that requires it.

        :returns: whether the decode may be sent
        """
        return (
            not attempt.requires_reservation or self._prepare(attempt).is_ok()
        )

    def _reassign_decode(
        self, attempt: attempts.Attempt, is_unreached: bool = False
    ) -> bool:
        if len(self.sent_to) >= self._exchange.route.max_attempts:
            return False
        return self._move_decode(
            attempt,
            self._parts.scheduling.reassign_decode(
                attempt.job_id, attempt.decode_name, is_unreached
            ),
        )

    def _avoid_decode(self, attempt: attempts.Attempt) -> bool:
        """Move a decode from an engine whose capacity is unknown."""
        if len(self.sent_to) >= self._exchange.route.max_attempts:
            return False
        return self._move_decode(
            attempt,
            self._parts.scheduling.avoid_decode(
                attempt.job_id, attempt.decode_name
            ),
        )

    def _move_decode(
        self, attempt: attempts.Attempt, name: str | None
    ) -> bool:
        """Use another decode engine.

        :param attempt: the attempt
        :param name: the engine that has a reserved slot; none if none has
        :returns: whether it is used
        """
        engine = self.find_engine(name) if name is not None else None
        if name is None or engine is None or not self._gate.accepts(name):
            return False
        attempt.decode.release(attempt.label)
        attempt.reassign_decode(
            name,
            self.find_version(name),
            engine,
            self._parts.clock.now_ms(),
        )
        return True

    def _decode_once(
        self,
        attempt: attempts.Attempt,
        prefill: upstreams.PrefillResult,
        offset: int,
        limit: clock.Deadline,
    ) -> model_dependencies.SourceResult:
        if self._is_removed_or_draining(attempt):
            return _make_unsent_error(
                attempt, "the chosen engine is draining or removed"
            )
        if not self._has_required_version(attempt):
            return _make_unsent_error(
                attempt, "the chosen engine has another software version"
            )
        checked = self._parts.scheduling.check_running(attempt.job_id)
        if checked.is_error():
            return expression.Error(checked.error)
        if not self._gate.enter():
            return expression.Error(_make_kept_fault(attempt))
        if not self._parts.scheduling.try_send(
            attempt.job_id, attempt.decode_name
        ):
            self._gate.leave()
            return _make_cold_error(errors.Step.DECODE, attempt.decode_name)
        self._exchange.record_attempt(
            attempt.decode_name,
            attempt.decode_version,
            self._parts.clock.now_ms(),
        )
        started_ms = self._parts.clock.now_ms()
        timeout_ms = self._compute_start_timeout_ms(attempt, prefill, limit)
        with self._begin_span(attempt, errors.Step.TRANSFER) as span:
            result = attempt.decode.decode(
                attempt.label,
                self._exchange.call,
                prefill.transfer,
                offset,
                timeout_ms,
            ).bind(
                lambda source: self._await_events(
                    attempt, source, clock.Deadline(started_ms + timeout_ms)
                )
            )
            begin_ms = self._parts.clock.now_ms() - started_ms
            self._exchange.stages.begin_ms += begin_ms
            if _record_sent(attempt, result):
                self.sent_to.add(attempt.decode_name)
            if result.is_error():
                span.fail(result.error)
                self._gate.leave()
        return result

    def _await_events(
        self,
        attempt: attempts.Attempt,
        source: upstreams.TokenStream,
        limit: clock.Deadline,
    ) -> model_dependencies.SourceResult:
        """Wait for an engine's first event if the stream has another engine.

        :param attempt: the attempt, whose decode was accepted
        :param source: the engine's stream
        :param limit: when the wait ends; the stream is then used without it
        :returns: the same stream, or a fault if the engine has closed it
        """
        if not self._gate.needs_events():
            return expression.Ok(source)
        return decode_call.await_body(
            source,
            attempt.decode.address,
            limit.left_ms(self._parts.clock.now_ms()),
            self._parts.directory.dialer,
        )

    def _is_removed_or_draining(self, attempt: attempts.Attempt) -> bool:
        """Return whether the decode engine was removed or is draining.

        A prefill may take longer than a draining engine still serves.  The
        tables are checked only if the choice is older than its TTL.
        """
        parts = self._parts
        if parts.clock.now_ms() - attempt.chosen_ms < parts.choice_ttl_ms:
            return False
        row = self._find_row(attempt.decode_name)
        return row is None or row[1].leaving

    def _has_required_version(self, attempt: attempts.Attempt) -> bool:
        """Return whether the decode engine may write the stream's events.

        An engine that has restarted since it was chosen may have another
        version.
        """
        row = self._find_row(attempt.decode_name)
        if row is not None:
            attempt.decode_version = row[1].version
        return attempt.required_version in (None, attempt.decode_version)

    def _begin_span(
        self, attempt: attempts.Attempt, step: errors.Step
    ) -> traces.Span:
        span = self._exchange.span.begin(self._parts.tracer, step)
        attempt.label.traceparent = span.traceparent
        return span

    def _compute_prefill_timeout_ms(
        self, attempt: attempts.Attempt, limit: clock.Deadline
    ) -> int:
        # A decode follows in any case.
        timeout_ms = compute_attempt_timeout_ms(
            limit, self._parts.clock.now_ms()
        )
        if not attempt.decode.supports_chunked_prefill:
            return timeout_ms
        return min(
            timeout_ms,
            prefill_timeouts.compute_prefill_timeout_ms(
                attempt.ready_in_ms, self._compute_target_left_ms()
            ),
        )

    def _compute_target_left_ms(self) -> int | None:
        exchange = self._exchange
        if not exchange.route.target_ms:
            return None
        target_at_ms = exchange.arrived_ms + exchange.route.target_ms
        return target_at_ms - self._parts.clock.now_ms()

    def _compute_start_timeout_ms(
        self,
        attempt: attempts.Attempt,
        prefill: upstreams.PrefillResult,
        limit: clock.Deadline,
    ) -> int:
        timeout_ms = self._compute_call_timeout_ms(attempt, limit)
        gate_ms = self._gate.compute_timeout_ms(attempt, not prefill.transfer)
        return timeout_ms if gate_ms is None else min(timeout_ms, gate_ms)

    def _compute_call_timeout_ms(
        self, attempt: attempts.Attempt, limit: clock.Deadline
    ) -> int:
        """Return the timeout of a decode, whose outcome may be unknown."""
        now_ms = self._parts.clock.now_ms()
        exchange = self._exchange
        if (
            not route.is_idempotent(exchange)
            or exchange.route.max_attempts <= 1
            or not self._has_other_engine(attempt)
        ):
            # No other engine may follow, so no time is kept for one.
            return max(limit.left_ms(now_ms), MIN_ATTEMPT_TIMEOUT_MS)
        return compute_attempt_timeout_ms(limit, now_ms)

    def _has_other_engine(self, attempt: attempts.Attempt) -> bool:
        """Return whether the pool has another engine for a decode."""
        newest = self._parts.source.get_tables() or self._exchange.tables
        pool = newest.pools.get(self._exchange.pool.name)
        return pool is not None and any(
            upstream.name != attempt.decode_name
            and upstream.role is not tables.UpstreamRole.PREFILL
            and not upstream.leaving
            and attempt.required_version in (None, upstream.version)
            for upstream in pool.upstreams
        )

    def find_engine(self, name: str) -> upstreams.Engine | None:
        """Return an engine from the active tables.

        The scheduler uses the active pools, while the request may have
        arrived under older tables.

        :param name: the engine's name
        :returns: the engine, or none if it has been removed
        """
        row = self._find_row(name)
        if row is None:
            return None
        return self._parts.directory.find_engine(*row)

    def find_version(self, name: str) -> str:
        """Return an engine's software version from the active tables.

        :param name: the engine's name
        :returns: the version; empty if the engine has been removed
        """
        row = self._find_row(name)
        return "" if row is None else row[1].version

    def _find_row(
        self, name: str
    ) -> tuple[tables.Pool, tables.Upstream] | None:
        newest = self._parts.source.get_tables() or self._exchange.tables
        pool = newest.pools.get(self._exchange.pool.name)
        if pool is None:
            return None
        return next(
            (
                (pool, upstream)
                for upstream in pool.upstreams
                if upstream.name == name
            ),
            None,
        )


def _record_sent(
    attempt: attempts.Attempt,
    result: expression.Result[typing.Any, errors.Fault],
) -> bool:
    """Return whether a call reached its engine, and record it."""
    was_sent = result.is_ok() or (
        result.error.code is not errors.Code.UPSTREAM_UNREACHABLE
    )
    attempt.was_sent = attempt.was_sent or was_sent
    return was_sent


def _make_unsent_error(
    attempt: attempts.Attempt, message: str
) -> model_dependencies.SourceResult:
    return expression.Error(
        errors.Fault(
            errors.Code.UPSTREAM_UNREACHABLE,
            errors.Step.DECODE,
            attempt.decode_name,
            message=message,
        )
    )


def _make_cold_error(
    step: errors.Step, engine: str
) -> expression.Result[typing.Any, errors.Fault]:
    """Return the error for a request that a cold engine must not get.

    The engine counts as full and not as unreachable, because nothing shows
    that it has crashed.
    """
    return expression.Error(
        errors.Fault(
            errors.Code.UPSTREAM_REFUSED,
            step,
            engine,
            message="the chosen engine is cold and gets no more requests now",
        )
    )


def _make_kept_fault(attempt: attempts.Attempt) -> errors.Fault:
    return errors.Fault(
        errors.Code.CANCELLED,
        errors.Step.DECODE,
        attempt.decode_name,
        message="the stream stays with its engine",
    )

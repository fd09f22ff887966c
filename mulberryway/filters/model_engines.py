"""Takes one model request through a prefill and a decode engine."""

import collections.abc
import logging

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import tables
from mulberryway import traces
from mulberryway.filters import attempt as attempts
from mulberryway.filters import base
from mulberryway.filters import model_dependencies
from mulberryway.upstreams import base as upstreams

__all__ = ["EngineCalls", "compute_attempt_timeout_ms"]

LOG = logging.getLogger(__name__)

# An engine that fell silent must leave time for another one.
REMAINING_TIME_DIVISOR = 2
MIN_ATTEMPT_TIMEOUT_MS = 200
# A prefill's result lives for less than a second; some of it is needed for
# the transfer.
DECODE_REASSIGN_TIMEOUT_MS = 500
DECODE_REASSIGN_DELAY_MS = 30
# Engines that are asked for room in one try; each costs a round trip.
MAX_RESERVE_ATTEMPTS = 4
# A prefill without an answer is given up early enough for the decode engine,
# which holds a slot for the request, to read the prompt itself.
PREFILL_TIMEOUT_FACTOR = 3
MIN_PREFILL_TIMEOUT_MS = 400
# After these a decode has not run, and the prefill's result is still there.
DECODE_NOT_STARTED = frozenset(
    (errors.Code.UPSTREAM_REFUSED, errors.Code.UPSTREAM_UNREACHABLE)
)
# After these the engine may have read the prompt, which runs nothing; a
# refusal counts as an attempt of its own, and a connection that was never
# made lets the whole request move.
PREFILL_OUTCOME_UNKNOWN = frozenset(
    (errors.Code.UPSTREAM_TIMEOUT, errors.Code.UPSTREAM_FAILED)
)


def compute_attempt_timeout_ms(limit: clock.Deadline, now_ms: int) -> int:
    """Return how long one engine may take.

    :param limit: when the caller stops waiting
    :param now_ms: the present
    """
    return max(
        limit.left_ms(now_ms) // REMAINING_TIME_DIVISOR, MIN_ATTEMPT_TIMEOUT_MS
    )


class EngineCalls:
    """The calls of one request to engines, over all its attempts.

    ``has_run`` tells whether the request may have run at any of them, and
    ``sent_to`` names those that it was sent to, refused or not.

    :param exchange: the request
    :param parts: what all model requests share
    """

    __slots__ = ("has_run", "sent_to", "_exchange", "_parts", "_may_begin")

    def __init__(
        self,
        exchange: base.Exchange,
        parts: model_dependencies.ModelDependencies,
    ) -> None:
        self.has_run = False
        self.sent_to: set[str] = set()
        self._exchange = exchange
        self._parts = parts
        self._may_begin: collections.abc.Callable[[], bool] = lambda: True

    def run(
        self,
        attempt: attempts.Attempt,
        offset: int,
        limit: clock.Deadline,
        may_begin: collections.abc.Callable[[], bool],
    ) -> model_dependencies.SourceResult:
        """Take an attempt to the beginning of its stream.

        :param attempt: the attempt, its slot reserved
        :param offset: how much of the answer the caller has already
        :param limit: when the caller stops waiting
        :param may_begin: asked right before a decode engine gets the request
        :returns: the stream, or a fault
        """
        self._may_begin = may_begin
        is_alone = (
            attempt.prefill is attempt.decode
            and attempt.decode.supports_chunked_prefill
        )
        if is_alone:
            nothing = upstreams.PrefillResult({}, 0, 0)
            result = attempt.decode.prepare(
                attempt.label, self._read_room(attempt)
            ).bind(lambda made: self._decode(attempt, nothing, offset, limit))
            if result.is_ok():
                self._parts.scheduling.record_prefilled(attempt.job_id)
        else:
            result = (
                self._prepare(attempt)
                .bind(lambda made: self._prefill(attempt, limit))
                .or_else_with(lambda fault: self._skip_prefill(attempt, fault))
                .bind(
                    lambda found: self._decode(attempt, found, offset, limit)
                )
            )
        if result.is_error():
            # A cancel that came before the connection was made has found
            # nothing to close, and none comes again.
            attempt.decode.release(attempt.label)
        return result

    def _prepare(
        self, attempt: attempts.Attempt
    ) -> expression.Result[None, errors.Fault]:
        """Reserve room at the decode engine, or at another one.

        Many VMs choose among the same engines, and what each believes of
        their memory is some time old.  A prompt that was read for an engine
        without room is lost.
        """
        for _ in range(MAX_RESERVE_ATTEMPTS):
            result = attempt.decode.prepare(
                attempt.label, self._read_room(attempt)
            )
            is_full = (
                result.is_error() and result.error.step is errors.Step.RESERVE
            )
            if not is_full or not self._move_decode(attempt):
                break
        return result

    def _read_room(
        self, attempt: attempts.Attempt
    ) -> upstreams.ReservationRequest | None:
        hold_ms = self._exchange.pool.hold_ms
        if not hold_ms or not attempt.kv_tokens:
            return None
        return upstreams.ReservationRequest(
            attempt.kv_tokens, hold_ms, attempt.requires_reservation
        )

    def _note_vain(
        self,
        attempt: attempts.Attempt,
        found: upstreams.PrefillResult,
        fault: errors.Fault,
    ) -> None:
        LOG.info(
            "a prompt was read in vain",
            extra=logs.make_extra(
                fault,
                request_id=self._exchange.request_id,
                prefill=attempt.prefill_name,
                decode=attempt.decode_name,
                tokens=found.prompt_tokens,
                has_gone=self._exchange.has_gone.is_set(),
            ),
        )

    def _skip_prefill(
        self, attempt: attempts.Attempt, fault: errors.Fault
    ) -> expression.Result[upstreams.PrefillResult, errors.Fault]:
        """Let the decode engine read a prompt whose prefill has no answer."""
        is_lost = (
            fault.code in PREFILL_OUTCOME_UNKNOWN
            and fault.step is errors.Step.PREFILL
            and not fault.has_died
        )
        if (
            not is_lost
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
        parts = self._parts
        began_ms = parts.clock.now_ms()
        with self._begin_hop(attempt, errors.Step.PREFILL) as span:
            result = attempt.prefill.prefill(
                attempt.label,
                self._exchange.call,
                self._limit_prefill(attempt, limit),
            )
            read_ms = parts.clock.now_ms() - began_ms
            self._exchange.stages.read_ms += read_ms
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
        found: upstreams.PrefillResult,
        offset: int,
        limit: clock.Deadline,
    ) -> model_dependencies.SourceResult:
        """Decode where a slot is reserved, or where one comes free.

        Another router may have taken the slot before its note came, or the
        engine has died while the prompt was read.  The prefill would be lost
        with it, and its result lives long enough to look for another slot.
        """
        clock_ = self._parts.clock
        until = clock.Deadline(clock_.now_ms() + DECODE_REASSIGN_TIMEOUT_MS)
        result = self._decode_once(attempt, found, offset, limit)
        while (
            result.is_error()
            and result.error.code in DECODE_NOT_STARTED
            and result.error.step is errors.Step.DECODE
            and not until.has_passed(clock_.now_ms())
            and not self._exchange.has_gone.is_set()
        ):
            is_unreached = (
                result.error.code is errors.Code.UPSTREAM_UNREACHABLE
            )
            found_again = (
                self._leave_unreached(attempt, found, until)
                if is_unreached
                else self._prepare_again(attempt, found)
            )
            if found_again is None:
                break
            if found.transfer and not found_again.transfer:
                self._note_vain(attempt, found, result.error)
            found = found_again
            # What did not reach an engine takes nothing from the budget.
            if not is_unreached and not self._parts.try_withdraw_retry(
                self._exchange.pool.name
            ):
                break
            result = self._decode_once(attempt, found, offset, limit)
        if result.is_error() and found.transfer:
            self._note_vain(attempt, found, result.error)
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
        if not attempt.decode.supports_chunked_prefill:
            self._parts.clock.sleep_ms(DECODE_REASSIGN_DELAY_MS)
            return found
        if not found.transfer:
            return None
        self._parts.cancelling.cancel(attempt.prefill, attempt.label)
        return upstreams.PrefillResult({}, found.prompt_tokens, 0)

    def _leave_unreached(
        self,
        attempt: attempts.Attempt,
        found: upstreams.PrefillResult,
        until: clock.Deadline,
    ) -> upstreams.PrefillResult | None:
        """Find another engine for a decode that did not reach its own.

        :returns: what it is sent with; none if no engine has room in time
        """
        clock_ = self._parts.clock
        while not until.has_passed(clock_.now_ms()):
            if self._exchange.has_gone.is_set():
                break
            if self._move_decode(attempt, is_unreached=True):
                return found
            clock_.sleep_ms(DECODE_REASSIGN_DELAY_MS)
        return None

    def _move_decode(
        self, attempt: attempts.Attempt, is_unreached: bool = False
    ) -> bool:
        if len(self.sent_to) >= self._exchange.route.max_attempts:
            return False
        name = self._parts.scheduling.reassign_decode(
            attempt.job_id, attempt.decode_name, is_unreached
        )
        engine = self.find_engine(name) if name is not None else None
        if name is None or engine is None:
            return False
        attempt.reassign_decode(name, engine, self._parts.clock.now_ms())
        return True

    def _decode_once(
        self,
        attempt: attempts.Attempt,
        found: upstreams.PrefillResult,
        offset: int,
        limit: clock.Deadline,
    ) -> model_dependencies.SourceResult:
        if not self._may_begin():
            return expression.Error(
                errors.Fault(
                    errors.Code.CANCELLED,
                    errors.Step.DECODE,
                    attempt.decode_name,
                    message="the silent engine goes on",
                )
            )
        if self._has_left(attempt):
            return expression.Error(
                errors.Fault(
                    errors.Code.UPSTREAM_UNREACHABLE,
                    errors.Step.DECODE,
                    attempt.decode_name,
                    message="the chosen engine leaves",
                )
            )
        self._exchange.record_attempt(
            attempt.decode_name, self._parts.clock.now_ms()
        )
        began_ms = self._parts.clock.now_ms()
        with self._begin_hop(attempt, errors.Step.TRANSFER) as span:
            result = attempt.decode.decode(
                attempt.label,
                self._exchange.call,
                found.transfer,
                offset,
                self._share(limit),
            )
            begin_ms = self._parts.clock.now_ms() - began_ms
            self._exchange.stages.begin_ms += begin_ms
            if (
                result.is_ok()
                or result.error.code is not errors.Code.UPSTREAM_UNREACHABLE
            ):
                self.sent_to.add(attempt.decode_name)
            if result.is_error():
                span.fail(result.error)
        return result

    def _has_left(self, attempt: attempts.Attempt) -> bool:
        """Tell whether the decode engine has left since it was chosen.

        A prompt may be read for longer than an engine that leaves serves on;
        a younger choice holds.
        """
        parts = self._parts
        if parts.clock.now_ms() - attempt.chosen_ms < parts.choice_ttl_ms:
            return False
        row = self._find_row(attempt.decode_name)
        return row is None or row[1].leaving

    def _begin_hop(
        self, attempt: attempts.Attempt, step: errors.Step
    ) -> traces.Span:
        span = self._exchange.span.begin(self._parts.tracer, step)
        attempt.label.traceparent = span.traceparent
        return span

    def _limit_prefill(
        self, attempt: attempts.Attempt, limit: clock.Deadline
    ) -> int:
        share = self._share(limit)
        if not attempt.decode.supports_chunked_prefill:
            return share
        patience_ms = attempt.ready_in_ms * PREFILL_TIMEOUT_FACTOR
        return min(share, max(patience_ms, MIN_PREFILL_TIMEOUT_MS))

    def _share(self, limit: clock.Deadline) -> int:
        return compute_attempt_timeout_ms(limit, self._parts.clock.now_ms())

    def find_engine(self, name: str) -> upstreams.Engine | None:
        """Return an engine by the newest tables.

        The scheduler has the newest pools, and the request may have come
        under older ones.

        :param name: the engine's name
        :returns: the engine, or none if it has left the tables
        """
        row = self._find_row(name)
        if row is None:
            return None
        return self._parts.directory.find_engine(*row)

    def _find_row(
        self, name: str
    ) -> tuple[tables.Pool, tables.Upstream] | None:
        newest = self._parts.source.read_tables() or self._exchange.tables
        pool = newest.pools.get(self._exchange.pool.name)
        if pool is None:
            return None
        return next(
            ((pool, one) for one in pool.upstreams if one.name == name),
            None,
        )

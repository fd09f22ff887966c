"""Forwards calls to plain services."""

import collections.abc
import contextlib
import logging
import threading
import typing

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import replies
from mulberryway import tables
from mulberryway import traces
from mulberryway.controllers import scheduling
from mulberryway.filters import base
from mulberryway.filters import hedging
from mulberryway.filters import route
from mulberryway.filters import server_choice
from mulberryway.filters import status
from mulberryway.policy import call_admission
from mulberryway.policy import poison
from mulberryway.policy import ranks
from mulberryway.policy import server_selection
from mulberryway.policy import shutdown
from mulberryway.relay import watch
from mulberryway.upstreams import base as upstreams
from mulberryway.upstreams import connections
from mulberryway.upstreams import directory
from mulberryway.upstreams import http_service

__all__ = ["ServiceForward"]

LOG = logging.getLogger(__name__)

RETRY_AFTER_MS = 1_000
# The maximum number of servers per call, including unreachable ones; enough to
# try every server of a service with three or four.
MAX_ATTEMPTS = 4
# An unresponsive server must leave time to send an idempotent call to another
# one, which gets half of the remaining time, or more if the target allows it.
REMAINING_TIME_DIVISOR = 2
# A call that takes this many times its usual duration is probably lost.
PATIENCE_FACTOR = 4.0
# The wait for a server whose usual duration is unknown is at least this.
MIN_PATIENCE_MS = 250


class ServiceForward(base.Filter):
    """Serves requests to pools of plain service servers.

    :param directory_: finds the clients of servers
    :param chooser: selects a server for each attempt
    :param tracer: creates spans
    :param clock_: the source of the current time
    :param source: provides the active tables
    :param callers: detects callers that disconnect during a call
    :param try_withdraw_retry: withdraws a retry from a pool's retry budget
    :param scheduling_: records calls that crashed servers; without it no
        call is quarantined
    :param lock: guards the chooser and what it shares with other threads
    :param get_time_to_abort_ms: returns the time until this VM gives up its
        requests, in ms; none if it is not shutting down
    """

    def __init__(
        self,
        directory_: directory.UpstreamDirectory,
        chooser: server_selection.ServerSelector,
        tracer: traces.Tracer,
        clock_: clock.Clock,
        source: tables.TableSource,
        callers: watch.DisconnectMonitor | None = None,
        try_withdraw_retry: collections.abc.Callable[
            [str], bool
        ] = lambda pool: True,
        scheduling_: scheduling.SchedulingController | None = None,
        lock: contextlib.AbstractContextManager[typing.Any] | None = None,
        get_time_to_abort_ms: collections.abc.Callable[
            [], int | None
        ] = lambda: None,
    ) -> None:
        self._directory = directory_
        self._chooser = chooser
        self._tracer = tracer
        self._clock = clock_
        self._source = source
        self._callers = callers
        self._try_withdraw_retry = try_withdraw_retry
        self._scheduling = scheduling_
        self._lock = lock or threading.Lock()
        self._get_time_to_abort_ms = get_time_to_abort_ms

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Forward a call; retry it on another server only if that is safe.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: the service's reply, or a fault
        """
        if self._scheduling is not None:
            exchange.digest = _digest(exchange)
            if self._scheduling.is_quarantined(exchange.digest):
                return expression.Error(_make_quarantine_fault(exchange))
        with hedging.OpenCalls() as open_calls:
            return self._watch(exchange, open_calls)

    def _watch(
        self, exchange: base.Exchange, open_calls: hedging.OpenCalls
    ) -> base.Answer:
        """Forward a call; cancel it if its caller leaves or it is aborted."""

        def cancel() -> None:
            exchange.has_gone.set()
            open_calls.cancel()

        exchange.add_abort_callback(cancel)
        if self._callers is None:
            return self._forward(exchange, open_calls)
        watched = self._callers.add(exchange.connection, cancel)
        try:
            return self._forward(exchange, open_calls)
        finally:
            self._callers.remove(watched)

    def _forward(
        self, exchange: base.Exchange, open_calls: hedging.OpenCalls
    ) -> base.Answer:
        fault = self._find_late_fault(exchange)
        if fault is not None:
            return expression.Error(fault)
        retry_ms = self._admit(exchange)
        if retry_ms is not None:
            return expression.Error(_make_overload_fault(exchange, retry_ms))
        attempts = _Attempts(exchange.route.max_attempts)
        while attempts.has_left():
            if attempts.called and not self._may_try_next_server(
                exchange, attempts.has_run, attempts.sent
            ):
                break
            choice = self._choose(exchange, attempts.called)
            if choice is None:
                break
            # A call that may have run cannot be refused with a promise.
            if not attempts.has_run and self._is_too_late(
                exchange, choice.upstream
            ):
                choice.release()
                return expression.Error(status.make_stopping_fault())
            with choice:
                version, result = self._call(
                    exchange, choice, attempts, open_calls
                )
            if result.is_ok():
                if exchange.required_version is None:
                    exchange.on_first_event(version)
                exchange.arrival = result.ok.arrival
                return expression.Ok(_make_reply(result.ok))
        return self._make_failure(exchange, attempts)

    def _find_late_fault(self, exchange: base.Exchange) -> errors.Fault | None:
        """Return the fault of a call that nobody waits for any more."""
        if exchange.has_gone.is_set():
            return status.make_disconnect_fault()
        if exchange.deadline.has_passed(self._clock.now_ms()):
            return errors.Fault(
                errors.Code.DEADLINE_EXCEEDED,
                errors.Step.SERVICE,
                exchange.pool.name,
                message="the deadline of the call has passed",
            )
        return None

    def _is_too_late(
        self, exchange: base.Exchange, upstream: tables.Upstream
    ) -> bool:
        """Return whether a call may not get its answer before a shutdown."""
        left_ms = self._get_time_to_abort_ms()
        if left_ms is None:
            return False
        now_ms = self._clock.now_ms()
        with self._lock:
            usual_ms = self._chooser.get_duration_ms(
                exchange.pool, upstream, now_ms
            )
        needed_ms = shutdown.compute_call_ms(
            usual_ms,
            exchange.route.target_ms,
            exchange.deadline.left_ms(now_ms),
            route.is_idempotent(exchange),
        )
        if needed_ms <= left_ms:
            return False
        LOG.info(
            "a call may take longer than its VM can wait",
            extra=logs.make_extra(
                request_id=exchange.request_id,
                upstream=upstream.name,
                usual_ms=usual_ms,
                needed_ms=needed_ms,
                left_ms=left_ms,
            ),
        )
        return True

    def _make_failure(
        self, exchange: base.Exchange, attempts: "_Attempts"
    ) -> base.Answer:
        """Return the answer of a call that no server has served."""
        fault = attempts.fault
        if fault is None:
            return expression.Error(self._make_no_server_fault(exchange))
        if (
            fault.answer is not None
            and fault.run is errors.ExecutionStatus.RAN
        ):
            return expression.Ok(_make_reply(fault.answer))
        if attempts.has_run and fault.run is errors.ExecutionStatus.NOT_RUN:
            fault.run = errors.ExecutionStatus.MAY_HAVE_RUN
        if (
            fault.run is errors.ExecutionStatus.NOT_RUN
            and fault.retry_after_ms is None
        ):
            fault.retry_after_ms = self._get_wait_ms(exchange) or (
                RETRY_AFTER_MS
            )
        return expression.Error(fault)

    def _call(
        self,
        exchange: base.Exchange,
        choice: server_choice.ServerChoice,
        attempts: "_Attempts",
        open_calls: hedging.OpenCalls,
    ) -> tuple[str, hedging.Result]:
        """Call a server, and a second one if the first is silent.

        :returns: the version of the server that has answered, and the result
        """
        upstream = choice.upstream
        hedges: list[hedging.Hedge] = []
        number = self._begin_attempt(exchange, upstream, attempts)
        timeout_ms, extension_ms = self._compute_timeouts_ms(
            exchange, upstream, attempts
        )
        canceller = connections.CallCanceller(
            extension_ms,
            lambda: hedges.extend(
                self._start_hedge(exchange, attempts, open_calls, canceller)
            ),
            exchange.memory.make_room(),
        )
        open_calls.add(canceller)
        result = self._call_once(
            exchange, choice, number, timeout_ms, canceller
        )
        canceller.detach()
        for hedge in hedges:
            if result.is_ok():
                hedge.cancel()
                continue
            second = hedge.wait()
            if second is not None and second.is_ok():
                return hedge.upstream.version, second
            if second is not None:
                self._record_fault(
                    exchange, hedge.upstream, second.error, attempts
                )
        if result.is_error():
            self._record_fault(exchange, upstream, result.error, attempts)
        return upstream.version, result

    def _begin_attempt(
        self,
        exchange: base.Exchange,
        upstream: tables.Upstream,
        attempts: "_Attempts",
    ) -> int:
        """Record that a server is called, and return the call's number."""
        exchange.record_attempt(
            upstream.name, upstream.version, self._clock.now_ms()
        )
        attempts.called = attempts.called | {upstream.name}
        return len(attempts.called) - 1

    def _start_hedge(
        self,
        exchange: base.Exchange,
        attempts: "_Attempts",
        open_calls: hedging.OpenCalls,
        first: connections.CallCanceller,
    ) -> list[hedging.Hedge]:
        """Call a second server while the first one is silent.

        The retry budget is asked only now, when a second call is needed.

        :param first: cancels the first call
        :returns: the second call; empty if none may be made
        """
        if not self._may_try_next_server(exchange, True, attempts.sent + 1):
            return []
        choice = self._choose(exchange, attempts.called)
        if choice is None:
            return []
        canceller = connections.CallCanceller(room=exchange.memory.make_room())
        open_calls.add(canceller)
        hedge = hedging.Hedge(
            choice.upstream,
            canceller,
            lambda: self._call_others(
                exchange, hedge, choice, attempts, canceller
            ),
            first.cancel,
        )
        self._begin_attempt(exchange, choice.upstream, attempts)
        if not hedge.start():
            choice.release()
            return []
        return [hedge]

    def _call_others(
        self,
        exchange: base.Exchange,
        hedge: hedging.Hedge,
        choice: server_choice.ServerChoice,
        attempts: "_Attempts",
        canceller: connections.CallCanceller,
    ) -> hedging.Result:
        """Call a second server, and others if it turns the call away.

        The request's own thread waits for the first server meanwhile.

        :param choice: the second server
        :returns: the result of the last call, whose server the hedge names
        """
        while True:
            with choice:
                result = self._call_once(
                    exchange,
                    choice,
                    len(attempts.called) - 1,
                    max(exchange.deadline.left_ms(self._clock.now_ms()), 1),
                    canceller,
                    is_hedge=True,
                )
            if (
                result.is_ok()
                or result.error.run is not errors.ExecutionStatus.NOT_RUN
                or canceller.is_cancelled
            ):
                return result
            following = self._choose_after_rejection(
                exchange, choice.upstream, result.error, attempts
            )
            if following is None:
                return result
            choice = following
            hedge.upstream = choice.upstream

    def _choose_after_rejection(
        self,
        exchange: base.Exchange,
        rejecting: tables.Upstream,
        fault: errors.Fault,
        attempts: "_Attempts",
    ) -> server_choice.ServerChoice | None:
        """Return the next server of a hedged call, or none."""
        # The first server has the request, though its fault is not known yet.
        sent = attempts.sent + 1
        sent += fault.code is not errors.Code.UPSTREAM_UNREACHABLE
        if sent >= exchange.route.max_attempts:
            return None
        if not self._may_try_next_server(exchange, True, sent):
            return None
        choice = self._choose(exchange, attempts.called)
        if choice is not None:
            self._record_fault(exchange, rejecting, fault, attempts)
            self._begin_attempt(exchange, choice.upstream, attempts)
        return choice

    def _record_fault(
        self,
        exchange: base.Exchange,
        upstream: tables.Upstream,
        fault: errors.Fault,
        attempts: "_Attempts",
    ) -> None:
        attempts.record(fault)
        if fault.has_died and self._scheduling is not None:
            self._scheduling.record_crash(
                exchange.digest, f"{exchange.pool.name}/{upstream.name}"
            )

    def _may_try_next_server(
        self, exchange: base.Exchange, has_run: bool, sent: int
    ) -> bool:
        """Return whether the call may be sent to another server.

        A call that may have run must not be sent again unless its route is
        idempotent.
        """
        return (
            (not has_run or route.is_idempotent(exchange))
            and not exchange.has_gone.is_set()
            and not exchange.deadline.has_passed(self._clock.now_ms())
            and (not sent or self._try_withdraw_retry(exchange.pool.name))
        )

    def _admit(self, exchange: base.Exchange) -> int | None:
        """Return none if a call may wait for a server.

        :returns: else after how long a retry is useful, in ms
        """
        now_ms = self._clock.now_ms()
        row = exchange.route
        target_ms = row.target_ms - (now_ms - exchange.arrived_ms)
        needs = call_admission.CallNeeds(
            target_ms if target_ms > 0 else None,
            exchange.deadline.left_ms(now_ms),
            ranks.compute_rank(row.priority, exchange.account.priority),
            exchange.request_id,
        )
        pool = self._find_current_pool(exchange)
        with self._lock:
            return self._chooser.admit(pool, needs, now_ms)

    def _choose(
        self, exchange: base.Exchange, avoid: frozenset[str]
    ) -> server_choice.ServerChoice | None:
        pool = self._find_current_pool(exchange)
        with self._lock:
            upstream = self._chooser.choose(
                pool, avoid, self._clock.now_ms(), exchange.required_version
            )
        if upstream is None:
            return None
        return server_choice.ServerChoice(
            upstream,
            lambda outcome, took_ms: self._finish_call(
                exchange.pool, upstream, outcome, took_ms
            ),
        )

    def _finish_call(
        self,
        pool: tables.Pool,
        upstream: tables.Upstream,
        outcome: server_selection.CallOutcome,
        took_ms: int,
    ) -> None:
        with self._lock:
            self._chooser.finish(
                pool, upstream, outcome, took_ms, self._clock.now_ms()
            )

    def _make_no_server_fault(self, exchange: base.Exchange) -> errors.Fault:
        wait_ms = self._get_wait_ms(exchange)
        message = "no server of the pool accepts calls"
        if wait_ms:
            message = "no server of the pool accepts calls now"
        return errors.Fault(
            errors.Code.NO_UPSTREAM,
            errors.Step.SERVICE,
            exchange.pool.name,
            message=message,
            retry_after_ms=wait_ms or RETRY_AFTER_MS,
        )

    def _get_wait_ms(self, exchange: base.Exchange) -> int:
        """Return the time until a server of a call's pool may be chosen."""
        pool = self._find_current_pool(exchange)
        with self._lock:
            return self._chooser.get_wait_ms(pool, self._clock.now_ms())

    def _find_current_pool(self, exchange: base.Exchange) -> tables.Pool:
        """Return a call's pool from the active tables.

        A call may wait for an unresponsive server for longer than draining
        servers still serve, so a retry must not use the tables of its arrival.
        """
        current = self._source.get_tables()
        if current is None:
            return exchange.pool
        return current.pools.get(exchange.pool.name, exchange.pool)

    def _call_once(
        self,
        exchange: base.Exchange,
        choice: server_choice.ServerChoice,
        number: int,
        timeout_ms: int,
        canceller: connections.CallCanceller,
        is_hedge: bool = False,
    ) -> hedging.Result:
        service = self._directory.find_service(exchange.pool, choice.upstream)
        step = errors.Step.SERVICE
        started_ms = self._clock.now_ms()
        with exchange.span.begin(self._tracer, step) as span:
            headers = http_service.strip_hop_by_hop_headers(exchange.headers)
            headers.append(("traceparent", span.traceparent))
            result = service.call(
                f"{exchange.request_id}-{number}",
                exchange.method,
                exchange.target,
                headers,
                exchange.body,
                timeout_ms,
                route.is_idempotent(exchange),
                canceller,
            )
            if result.is_error():
                span.fail(result.error)
        if (
            canceller.room is not None
            and result.is_error()
            and result.error.answer is None
        ):
            canceller.room.release()
        # A second call that the first one has overtaken proves nothing, but a
        # first call that was overtaken was late.
        is_void = is_hedge and canceller.is_cancelled
        self._record_call_end(exchange, choice, result, started_ms, is_void)
        if self._scheduling is not None and _has_answer(result):
            self._scheduling.record_answer(exchange.digest)
        return result

    def _compute_timeouts_ms(
        self,
        exchange: base.Exchange,
        upstream: tables.Upstream,
        attempts: "_Attempts",
    ) -> tuple[int, int]:
        """Return the timeout of a call to a server, and its extension.

        At the timeout a second server may be called.  If none may follow, the
        server gets all of the remaining time.
        """
        left_ms = max(exchange.deadline.left_ms(self._clock.now_ms()), 1)
        if (
            len(attempts.called) >= exchange.route.max_attempts
            or not route.is_idempotent(exchange)
            or not server_selection.list_usable_servers(
                self._find_current_pool(exchange),
                attempts.called,
                exchange.required_version,
            )
        ):
            return left_ms, 0
        timeout_ms = min(
            self._compute_patience_ms(exchange, upstream, left_ms), left_ms
        )
        return timeout_ms, left_ms - timeout_ms

    def _compute_patience_ms(
        self, exchange: base.Exchange, upstream: tables.Upstream, left_ms: int
    ) -> int:
        """Return how long a server may be silent.

        A second call is made in time for the target if the target leaves room
        for several usual durations; else at half of the remaining time.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            usual_ms = self._chooser.get_duration_ms(
                exchange.pool, upstream, now_ms
            )
        half_ms = left_ms // REMAINING_TIME_DIVISOR
        if usual_ms is None:
            return max(half_ms, MIN_PATIENCE_MS)
        patience_ms = int(PATIENCE_FACTOR * usual_ms)
        target_left_ms = exchange.route.target_ms - (
            now_ms - exchange.arrived_ms
        )
        if patience_ms + usual_ms <= target_left_ms:
            return patience_ms
        return max(half_ms, patience_ms)

    def _record_call_end(
        self,
        exchange: base.Exchange,
        choice: server_choice.ServerChoice,
        result: hedging.Result,
        started_ms: int,
        is_void: bool,
    ) -> None:
        took_ms = self._clock.now_ms() - started_ms
        fault = None if result.is_ok() else result.error
        is_path_fault = fault is not None and fault.is_path_fault
        if exchange.has_gone.is_set() or is_path_fault or is_void:
            # A call cancelled for its caller, or lost on its way, proves
            # nothing about the server.
            call_outcome = server_selection.CallOutcome.NO_VERDICT
        elif fault is None:
            call_outcome = server_selection.CallOutcome.DONE
        elif fault.code is errors.Code.UPSTREAM_UNREACHABLE:
            call_outcome = server_selection.CallOutcome.UNREACHED
        elif fault.run is errors.ExecutionStatus.NOT_RUN:
            call_outcome = server_selection.CallOutcome.REJECTED
        else:
            call_outcome = server_selection.CallOutcome.FAILED
        choice.finish(call_outcome, took_ms)
        if fault is not None:
            LOG.info(
                "a call to a server failed",
                extra=logs.make_extra(
                    fault,
                    request_id=exchange.request_id,
                    upstream=choice.upstream.name,
                    took_ms=took_ms,
                ),
            )


class _Attempts:
    """The servers that were called for one request, and what came of it.

    :param max_attempts: servers to which the request may be sent
    """

    __slots__ = ("called", "sent", "has_run", "fault", "_max_attempts")

    def __init__(self, max_attempts: int) -> None:
        self.called: frozenset[str] = frozenset()
        self.sent = 0
        # Whether a server may have run it.
        self.has_run = False
        # The fault of the last call; none if there was none.
        self.fault: errors.Fault | None = None
        self._max_attempts = max_attempts

    def has_left(self) -> bool:
        """Return whether the request may be sent to one more server."""
        return (
            self.sent < self._max_attempts and len(self.called) < MAX_ATTEMPTS
        )

    def record(self, fault: errors.Fault) -> None:
        """Record a call that has failed.

        :param fault: its fault
        """
        # A server's own reply tells the caller more than a later refusal.
        has_answer = (
            self.fault is not None
            and self.fault.answer is not None
            and self.fault.run is errors.ExecutionStatus.RAN
        )
        if not has_answer or fault.answer is not None:
            self.fault = fault
        # Without a connection, nothing was sent.
        self.sent += fault.code is not errors.Code.UPSTREAM_UNREACHABLE
        self.has_run = (
            self.has_run or fault.run is not errors.ExecutionStatus.NOT_RUN
        )


def _make_reply(reply: upstreams.ServiceReply) -> replies.Reply:
    return replies.Reply(reply.status, reply.headers, reply.body)


def _has_answer(result: hedging.Result) -> bool:
    """Return whether a server has run a call to its end."""
    return result.is_ok() or (
        result.error.answer is not None
        and result.error.run is errors.ExecutionStatus.RAN
    )


def _digest(exchange: base.Exchange) -> str:
    """Return a digest by which any VM recognises a retry of the call."""
    return poison.digest_request(
        exchange.account.name,
        exchange.pool.name,
        f"{exchange.method} {exchange.target}\0".encode(),
        exchange.body,
    )


def _make_overload_fault(
    exchange: base.Exchange, retry_ms: int
) -> errors.Fault:
    return errors.Fault(
        errors.Code.OVERLOADED,
        errors.Step.SERVICE,
        exchange.pool.name,
        message="the servers of the pool are busy",
        retry_after_ms=retry_ms,
    )


def _make_quarantine_fault(exchange: base.Exchange) -> errors.Fault:
    return errors.Fault(
        errors.Code.QUARANTINED,
        errors.Step.SERVICE,
        exchange.pool.name,
        message="servers crashed while running this call",
    )

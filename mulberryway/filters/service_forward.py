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
from mulberryway.filters import route
from mulberryway.policy import call_admission
from mulberryway.policy import poison
from mulberryway.policy import ranks
from mulberryway.policy import server_selection
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
# one.  It gets half of the remaining time, but at least this long, which is
# several times the usual duration of a call.  If no other server may be
# chosen, it gets all of the remaining time.
REMAINING_TIME_DIVISOR = 2
MIN_ATTEMPT_TIMEOUT_MS = 500


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
        canceller = connections.CallCanceller()
        if self._callers is None:
            return self._forward(exchange, canceller)

        def on_disconnect() -> None:
            exchange.has_gone.set()
            canceller.cancel()

        watched = self._callers.add(exchange.connection, on_disconnect)
        try:
            return self._forward(exchange, canceller)
        finally:
            self._callers.remove(watched)

    def _forward(
        self, exchange: base.Exchange, canceller: connections.CallCanceller
    ) -> base.Answer:
        retry_ms = self._admit(exchange)
        if retry_ms is not None:
            return expression.Error(_make_overload_fault(exchange, retry_ms))
        avoid: frozenset[str] = frozenset()
        has_run = False
        fault: errors.Fault | None = None
        sent = 0
        for number in range(MAX_ATTEMPTS):
            if sent >= exchange.route.max_attempts:
                break
            if number and not self._may_try_next_server(
                exchange, has_run, sent
            ):
                break
            upstream = self._choose(exchange, avoid)
            if upstream is None:
                break
            exchange.record_attempt(
                upstream.name, upstream.version, self._clock.now_ms()
            )
            avoid = avoid | {upstream.name}
            result = self._call_once(
                exchange,
                upstream,
                number,
                self._compute_timeout_ms(exchange, number, avoid),
                canceller,
            )
            if result.is_ok():
                if exchange.required_version is None:
                    exchange.on_first_event(upstream.version)
                return expression.Ok(_make_reply(result.ok))
            fault = result.error
            # Without a connection, nothing was sent.
            sent += fault.code is not errors.Code.UPSTREAM_UNREACHABLE
            if fault.has_died and self._scheduling is not None:
                self._scheduling.record_crash(
                    exchange.digest, f"{exchange.pool.name}/{upstream.name}"
                )
            has_run = (
                has_run or fault.run is not errors.ExecutionStatus.NOT_RUN
            )
        if fault is None:
            return expression.Error(self._make_no_server_fault(exchange))
        if (
            fault.answer is not None
            and fault.run is errors.ExecutionStatus.RAN
        ):
            return expression.Ok(_make_reply(fault.answer))
        if has_run and fault.run is errors.ExecutionStatus.NOT_RUN:
            fault.run = errors.ExecutionStatus.MAY_HAVE_RUN
        if (
            fault.run is errors.ExecutionStatus.NOT_RUN
            and fault.retry_after_ms is None
        ):
            fault.retry_after_ms = self._get_wait_ms(exchange) or (
                RETRY_AFTER_MS
            )
        return expression.Error(fault)

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
    ) -> tables.Upstream | None:
        pool = self._find_current_pool(exchange)
        with self._lock:
            return self._chooser.choose(
                pool, avoid, self._clock.now_ms(), exchange.required_version
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
        upstream: tables.Upstream,
        number: int,
        timeout_ms: int,
        canceller: connections.CallCanceller,
    ) -> expression.Result[upstreams.ServiceReply, errors.Fault]:
        service = self._directory.find_service(exchange.pool, upstream)
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
        self._record_call_end(exchange, upstream, result, started_ms)
        return result

    def _compute_timeout_ms(
        self, exchange: base.Exchange, number: int, called: frozenset[str]
    ) -> int:
        """Return the timeout of a call to a server.

        Whether the retry budget will allow another call is not checked,
        because the check withdraws from it.

        :param called: names of the servers called so far and of this one
        """
        left_ms = max(exchange.deadline.left_ms(self._clock.now_ms()), 1)
        if (
            number + 1 >= exchange.route.max_attempts
            or not route.is_idempotent(exchange)
            or not server_selection.list_usable_servers(
                self._find_current_pool(exchange),
                called,
                exchange.required_version,
            )
        ):
            return left_ms
        return min(
            max(left_ms // REMAINING_TIME_DIVISOR, MIN_ATTEMPT_TIMEOUT_MS),
            left_ms,
        )

    def _record_call_end(
        self,
        exchange: base.Exchange,
        upstream: tables.Upstream,
        result: expression.Result[upstreams.ServiceReply, errors.Fault],
        started_ms: int,
    ) -> None:
        now_ms = self._clock.now_ms()
        fault = None if result.is_ok() else result.error
        is_path_fault = fault is not None and fault.is_path_fault
        if exchange.has_gone.is_set() or is_path_fault:
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
        with self._lock:
            self._chooser.finish(
                exchange.pool,
                upstream,
                call_outcome,
                now_ms - started_ms,
                now_ms,
            )
        if fault is not None:
            LOG.info(
                "a call to a server failed",
                extra=logs.make_extra(
                    fault,
                    request_id=exchange.request_id,
                    upstream=upstream.name,
                    took_ms=now_ms - started_ms,
                ),
            )


def _make_reply(reply: upstreams.ServiceReply) -> replies.Reply:
    return replies.Reply(reply.status, reply.headers, reply.body)


def _digest(exchange: base.Exchange) -> str:
    """Return a digest by which any VM recognises a retry of the call."""
    serialized_call = (
        f"{exchange.method} {exchange.target}\0".encode() + exchange.body
    )
    return poison.digest_request(
        exchange.account.name, exchange.pool.name, serialized_call
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

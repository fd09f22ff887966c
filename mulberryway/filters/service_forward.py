"""Passes calls on to plain services."""

import threading

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import replies
from mulberryway import tables
from mulberryway import traces
from mulberryway.filters import base
from mulberryway.filters import choosing
from mulberryway.filters import route
from mulberryway.upstreams import base as upstreams
from mulberryway.upstreams import directory
from mulberryway.upstreams import http_service

__all__ = ["ServiceForward"]

MOST_TRIES = 3
RETRY_AFTER_MS = 1_000


class ServiceForward(base.Filter):
    """Serves requests whose pool holds a plain service.

    :param directory_: finds the servers
    :param chooser: chooses among them
    :param tracer: makes spans
    :param clock_: where the time comes from
    """

    def __init__(
        self,
        directory_: directory.UpstreamDirectory,
        chooser: choosing.ServerChooser,
        tracer: traces.Tracer,
        clock_: clock.Clock,
    ) -> None:
        self._directory = directory_
        self._chooser = chooser
        self._tracer = tracer
        self._clock = clock_
        self._lock = threading.Lock()

    def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Pass a call on, to a second server only where that is safe.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: the service's reply, or a fault
        """
        avoid: frozenset[str] = frozenset()
        has_run = False
        fault = _no_server(exchange)
        for number in range(MOST_TRIES):
            upstream = self._choose(exchange, avoid)
            if upstream is None:
                break
            result = self._call_once(exchange, upstream, number)
            if result.is_ok():
                return expression.Ok(_make_reply(result.ok))
            fault = result.error
            has_run = has_run or fault.run is not errors.Run.NOT_RUN
            avoid = avoid | {upstream.name}
            # A call that may have run must not run again elsewhere, unless
            # its route says that this does no harm.
            if has_run and not route.is_repeatable(exchange):
                break
            if exchange.deadline.has_passed(self._clock.now_ms()):
                break
        if has_run and fault.run is errors.Run.NOT_RUN:
            fault.run = errors.Run.MAY_HAVE_RUN
        return expression.Error(fault)

    def _choose(
        self, exchange: base.Exchange, avoid: frozenset[str]
    ) -> tables.Upstream | None:
        with self._lock:
            return self._chooser.choose(
                exchange.pool, avoid, self._clock.now_ms()
            )

    def _call_once(
        self, exchange: base.Exchange, upstream: tables.Upstream, number: int
    ) -> expression.Result[upstreams.ServiceReply, errors.Fault]:
        service = self._directory.find_service(exchange.pool, upstream)
        step = errors.Step.SERVICE
        with exchange.span.begin(self._tracer, step) as span:
            headers = http_service.strip_hop_headers(exchange.headers)
            headers.append(("traceparent", span.traceparent))
            result = service.call(
                f"{exchange.request_id}-{number}",
                exchange.method,
                exchange.target,
                headers,
                exchange.body,
                max(exchange.deadline.left_ms(self._clock.now_ms()), 1),
            )
            if result.is_error():
                span.fail(result.error)
        self._note_end(exchange, upstream, result)
        return result

    def _note_end(
        self,
        exchange: base.Exchange,
        upstream: tables.Upstream,
        result: expression.Result[upstreams.ServiceReply, errors.Fault],
    ) -> None:
        was_reached = (
            result.is_ok() or result.error.run is not errors.Run.NOT_RUN
        )
        with self._lock:
            self._chooser.finish(
                exchange.pool, upstream, was_reached, self._clock.now_ms()
            )


def _make_reply(reply: upstreams.ServiceReply) -> replies.Reply:
    return replies.Reply(reply.status, reply.headers, reply.body)


def _no_server(exchange: base.Exchange) -> errors.Fault:
    return errors.Fault(
        errors.Code.NO_UPSTREAM,
        errors.Step.SERVICE,
        exchange.pool.name,
        message="no server of the pool takes calls",
        retry_after_ms=RETRY_AFTER_MS,
    )

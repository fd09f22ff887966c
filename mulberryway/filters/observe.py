"""Records a trace, metrics and a log line for each request."""

import logging

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import metrics
from mulberryway import traces
from mulberryway.filters import base
from mulberryway.filters import status

__all__ = ["RequestTelemetry"]

LOG = logging.getLogger(__name__)


class RequestTelemetry(base.Filter):
    """Starts a request's span and records its outcome.

    :param tracer: creates spans
    :param metrics_: the process's instruments
    :param clock_: the source of the current time
    :param lifecycle: the state of the VM's startup and shutdown
    """

    def __init__(
        self,
        tracer: traces.Tracer,
        metrics_: metrics.Metrics,
        clock_: clock.Clock,
        lifecycle: status.Lifecycle,
    ) -> None:
        self._tracer = tracer
        self._metrics = metrics_
        self._clock = clock_
        self._lifecycle = lifecycle

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Start a span that ends with the request.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: the chain's answer, or a fault
        """
        exchange.span = self._tracer.begin_from(
            errors.Step.CALLER, exchange.find_header("traceparent")
        )
        exchange.span.note("request_id", exchange.request_id)
        exchange.add_completion_callback(
            lambda outcome: self._end(exchange, outcome)
        )
        return proceed(exchange)

    def _end(self, exchange: base.Exchange, outcome: base.Outcome) -> None:
        fault = outcome.fault
        account = getattr(exchange, "account", None)
        labels = {
            "account": "" if account is None else account.name,
            "code": "ok" if fault is None else fault.code.value,
        }
        self._metrics.requests.add(1, labels)
        if outcome.used_tokens:
            self._metrics.tokens.add(
                outcome.used_tokens, {"account": labels["account"]}
            )
        if fault is not None:
            exchange.span.fail(fault)
        exchange.span.end()
        took_ms = self._clock.now_ms() - exchange.arrived_ms
        pool = getattr(exchange, "pool", None)
        route = getattr(exchange, "route", None)
        self._metrics.request_time.record(
            took_ms, {"pool": "" if pool is None else pool.name}
        )
        tables_ = getattr(exchange, "tables", None)
        LOG.info(
            "a request ended",
            extra=logs.make_extra(
                fault,
                request_id=exchange.request_id,
                account=labels["account"],
                route="" if route is None else route.name,
                pool="" if pool is None else pool.name,
                tables=0 if tables_ is None else tables_.revision,
                era=0 if tables_ is None else tables_.era,
                tried=exchange.tried,
                tried_ms=exchange.tried_ms,
                versions=exchange.versions,
                tokens=outcome.tokens,
                first_ms=exchange.first_ms,
                gap_ms=exchange.gap_ms,
                took_ms=took_ms,
                **exchange.arrival,
                **_make_stage_fields(exchange),
                **_make_resumption_fields(exchange),
                **self._make_shutdown_fields(exchange),
            ),
        )

    def _make_shutdown_fields(self, exchange: base.Exchange) -> dict[str, int]:
        """Return when a request arrived that ends during a shutdown.

        The time is negative if it arrived before the signal to stop.
        """
        since_ms = self._lifecycle.stopping_since_ms
        if since_ms is None:
            return {}
        return {"after_signal_ms": exchange.arrived_ms - since_ms}


def _make_stage_fields(exchange: base.Exchange) -> dict[str, int]:
    """Return log fields that explain a late answer."""
    stages = exchange.stages
    route = getattr(exchange, "route", None)
    if route is None:
        return {}
    if not route.is_streaming:
        return {"target_ms": route.target_ms}
    return {
        "queued_ms": stages.queued_ms,
        "read_ms": stages.read_ms,
        "begin_ms": stages.begin_ms,
        "target_ms": route.target_ms,
        "target_gap_ms": route.target_gap_ms,
    }


def _make_resumption_fields(exchange: base.Exchange) -> dict[str, str | int]:
    """Return log fields of a resumed stream; empty for other requests."""
    resumption = exchange.resumption
    if resumption is None:
        return {}
    return {
        "resumes": resumption.attempt_id,
        "last_event": resumption.last_event,
    }

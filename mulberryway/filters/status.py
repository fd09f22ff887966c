"""Filters for health checks, metrics, discovery and graceful shutdown."""

import abc
import json

import expression

from mulberryway import errors
from mulberryway import metrics
from mulberryway import replies
from mulberryway.filters import base
from mulberryway.policy import endpoints

__all__ = [
    "DiscoveryEndpoint",
    "HealthEndpoint",
    "Lifecycle",
    "LateStreamRejection",
    "ShutdownRejection",
    "MetricsEndpoint",
    "make_disconnect_fault",
    "make_stopping_fault",
]

JSON_HEADERS = [("Content-Type", replies.JSON_TYPE)]
STOPPING_RETRY_MS = 100
# Most streams end within this time.
STREAM_MS = 5_000
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Lifecycle(abc.ABC):
    """The state of a process's startup and shutdown."""

    @property
    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Whether new callers may be sent to this VM."""

    @property
    @abc.abstractmethod
    def is_rejecting(self) -> bool:
        """Whether new requests are rejected."""

    @property
    @abc.abstractmethod
    def is_draining(self) -> bool:
        """Whether callers should send their next request to another VM."""

    @property
    @abc.abstractmethod
    def stopping_since_ms(self) -> int | None:
        """When the shutdown began, in ms; none if it has not."""

    @abc.abstractmethod
    def get_time_to_abort_ms(self) -> int | None:
        """Return the time until the VM answers open requests itself, in ms.

        :returns: none if no shutdown has begun
        """


class HealthEndpoint(base.Filter):
    """Answers ``/healthz`` and ``/readyz``; needs no key.

    :param lifecycle: the state of the VM's startup and shutdown
    """

    def __init__(self, lifecycle: Lifecycle) -> None:
        self._lifecycle = lifecycle

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Answer health checks, and forward all other requests.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: a reply, or the chain's answer
        """
        if exchange.path == "/healthz":
            return _reply(200, {"alive": True})
        if exchange.path == "/readyz":
            ready = self._lifecycle.is_ready
            return _reply(200 if ready else 503, {"ready": ready})
        return proceed(exchange)


class MetricsEndpoint(base.Filter):
    """Answers ``/metrics`` in the Prometheus text format.

    :param metrics_: the process's instruments
    """

    def __init__(self, metrics_: metrics.Metrics) -> None:
        self._metrics = metrics_

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Answer scrapes, and forward all other requests.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: a reply, or the chain's answer
        """
        if exchange.path != METRICS_PATH:
            return proceed(exchange)
        headers = [("Content-Type", METRICS_TYPE)]
        return expression.Ok(
            replies.Reply(200, headers, self._metrics.write_text())
        )


class ShutdownRejection(base.Filter):
    """Rejects new requests in the last phase of a graceful shutdown.

    :param lifecycle: the state of the VM's startup and shutdown
    """

    def __init__(self, lifecycle: Lifecycle) -> None:
        self._lifecycle = lifecycle

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Reject or forward a request.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: the chain's answer, or ``STOPPING``
        """
        if not self._lifecycle.is_rejecting:
            return proceed(exchange)
        # Over an open connection, the caller's next request would be
        # sent to this VM again.
        exchange.head.keep = False
        return expression.Error(make_stopping_fault())


class LateStreamRejection(base.Filter):
    """Rejects streams that would not finish before a VM shuts down.

    A stream that begins late in a shutdown would be cut off, while another
    VM could complete it.  A draining VM also closes the connection after
    each answer, so that the next request goes to another VM.

    :param lifecycle: the state of the VM's startup and shutdown
    """

    def __init__(self, lifecycle: Lifecycle) -> None:
        self._lifecycle = lifecycle

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Reject streams near the end of a shutdown, and forward all else.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: the chain's answer, or ``STOPPING``
        """
        if self._lifecycle.is_draining:
            exchange.head.keep = False
        left_ms = self._lifecycle.get_time_to_abort_ms()
        if (
            left_ms is None
            or left_ms >= STREAM_MS
            or not exchange.route.is_streaming
        ):
            return proceed(exchange)
        return expression.Error(make_stopping_fault())


class DiscoveryEndpoint(base.Filter):
    """Answers ``GET /v1/entry`` with VM addresses; needs no key.

    :param directory: lists the VMs that accept new callers
    :param zone: this VM's zone, for callers that do not name theirs
    :param ttl_ms: how long callers may cache the answer, in ms
    """

    def __init__(
        self, directory: endpoints.EndpointDirectory, zone: str, ttl_ms: int
    ) -> None:
        self._directory = directory
        self._zone = zone
        self._ttl_ms = ttl_ms

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Answer discovery requests, and forward all other requests.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: a reply, or the chain's answer
        """
        if exchange.path != "/v1/entry" or exchange.method != "GET":
            return proceed(exchange)
        zone = exchange.find_header("x-zone") or self._zone
        addresses = [
            {"address": endpoint.address, "zone": endpoint.zone}
            for endpoint in self._directory.list_addresses(zone)
        ]
        return _reply(200, {"addresses": addresses, "ttl_ms": self._ttl_ms})


def make_disconnect_fault() -> errors.Fault:
    """Return the fault of a request whose caller disconnected."""
    return errors.Fault(
        errors.Code.CANCELLED,
        errors.Step.CALLER,
        message="the caller disconnected",
    )


def make_stopping_fault() -> errors.Fault:
    """Return the fault of a request that is not run for a shutdown."""
    return errors.Fault(
        errors.Code.STOPPING,
        errors.Step.ADMISSION,
        message="this VM is shutting down; use another entry address",
        retry_after_ms=STOPPING_RETRY_MS,
    )


def _reply(status: int, value: dict[str, object]) -> base.Answer:
    body = json.dumps(value).encode()
    return expression.Ok(replies.Reply(status, list(JSON_HEADERS), body))

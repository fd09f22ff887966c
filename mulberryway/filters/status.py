"""Answers for load checks, callers that look for an entry, and stops."""

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
]

JSON_HEADERS = [("Content-Type", replies.JSON_TYPE)]
STOPPING_RETRY_MS = 100
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Lifecycle(abc.ABC):
    """How far a process's start or stop has come."""

    @property
    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Whether new callers should come here."""

    @property
    @abc.abstractmethod
    def is_rejecting(self) -> bool:
        """Whether new requests are refused."""

    @property
    @abc.abstractmethod
    def is_draining(self) -> bool:
        """Whether callers should use another VM for their next request."""

    @property
    @abc.abstractmethod
    def is_near_shutdown(self) -> bool:
        """Whether work that takes seconds could not end in time any more."""


class HealthEndpoint(base.Filter):
    """Answers ``/healthz`` and ``/readyz``; needs no key.

    :param lifecycle: tells whether new callers should come
    """

    def __init__(self, lifecycle: Lifecycle) -> None:
        self._lifecycle = lifecycle

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Answer checks, and let all else go on.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: a reply, or what the chain answers
        """
        if exchange.path == "/healthz":
            return _reply(200, {"alive": True})
        if exchange.path == "/readyz":
            ready = self._lifecycle.is_ready
            return _reply(200 if ready else 503, {"ready": ready})
        return proceed(exchange)


class MetricsEndpoint(base.Filter):
    """Answers ``/metrics`` with counters and histograms as text.

    :param metrics_: the process's instruments
    """

    def __init__(self, metrics_: metrics.Metrics) -> None:
        self._metrics = metrics_

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Answer collectors, and let all else go on.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: a reply, or what the chain answers
        """
        if exchange.path != METRICS_PATH:
            return proceed(exchange)
        headers = [("Content-Type", METRICS_TYPE)]
        return expression.Ok(
            replies.Reply(200, headers, self._metrics.write_text())
        )


class ShutdownRejection(base.Filter):
    """Refuses new requests truthfully once callers have had time to go.

    :param lifecycle: tells how far a stop has come
    """

    def __init__(self, lifecycle: Lifecycle) -> None:
        self._lifecycle = lifecycle

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Refuse or go on.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: what the chain answers, or ``STOPPING``
        """
        if not self._lifecycle.is_rejecting:
            return proceed(exchange)
        # The caller's next request has to go to another VM, and with an
        # open connection it would come here.
        exchange.head.keep = False
        return expression.Error(
            errors.Fault(
                errors.Code.STOPPING,
                errors.Step.ADMISSION,
                message="this VM is stopping; use another entry address",
                retry_after_ms=STOPPING_RETRY_MS,
            )
        )


class LateStreamRejection(base.Filter):
    """Keeps a stopping VM's last seconds for work that ends within them.

    A stream that begins late in a stop would be cut, while another VM could
    carry it whole.  Every answer of a VM that leaves also closes its
    connection, so that the next request goes elsewhere.

    :param lifecycle: tells how far a stop has come
    """

    def __init__(self, lifecycle: Lifecycle) -> None:
        self._lifecycle = lifecycle

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Refuse streams near the end of a stop, and let all else go on.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: what the chain answers, or ``STOPPING``
        """
        if self._lifecycle.is_draining:
            exchange.head.keep = False
        if not (
            self._lifecycle.is_near_shutdown and exchange.route.is_streaming
        ):
            return proceed(exchange)
        return expression.Error(
            errors.Fault(
                errors.Code.STOPPING,
                errors.Step.ADMISSION,
                message="this VM is stopping; use another entry address",
                retry_after_ms=STOPPING_RETRY_MS,
            )
        )


class DiscoveryEndpoint(base.Filter):
    """Answers ``GET /v1/entry`` with the addresses to use; needs no key.

    :param directory: knows the VMs that take new callers
    :param zone: the zone of this VM, for callers that name none
    :param ttl_ms: how long callers may keep the answer
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
        """Answer a question for addresses, and let all else go on.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: a reply, or what the chain answers
        """
        if exchange.path != "/v1/entry" or exchange.method != "GET":
            return proceed(exchange)
        zone = exchange.find_header("x-zone") or self._zone
        addresses = [
            {"address": found.address, "zone": found.zone}
            for found in self._directory.list_addresses(zone)
        ]
        return _reply(200, {"addresses": addresses, "ttl_ms": self._ttl_ms})


def _reply(status: int, value: dict[str, object]) -> base.Answer:
    body = json.dumps(value).encode()
    return expression.Ok(replies.Reply(status, list(JSON_HEADERS), body))

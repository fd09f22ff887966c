"""Finds the software version that must continue a resumed stream."""

import logging

import expression

from mulberryway import errors
from mulberryway import logs
from mulberryway.controllers import version_tracking
from mulberryway.filters import base
from mulberryway.policy import stream_versions

__all__ = ["StreamResumption"]

LOG = logging.getLogger(__name__)

# A stream ends within its route's timeout, and so does the request that
# resumes it.
TTL_TIMEOUTS = 2
# A record of another VM arrives within this time, if it is on its way.
UNKNOWN_RETRY_MS = 500


class StreamResumption(base.Filter):
    """Lets a resumed stream continue at its own software version only.

    :param tracker: knows the versions of streams
    """

    def __init__(self, tracker: version_tracking.VersionTracker) -> None:
        self._tracker = tracker

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Set the required version of a resumed stream; record new streams.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: the chain's answer, or a fault if the version is unknown
        """
        route = exchange.route
        if not (route.is_streaming and route.idempotent):
            return proceed(exchange)
        if exchange.resumption is None:
            exchange.on_first_event = lambda version: self._record(
                exchange, version
            )
            return proceed(exchange)
        found = self._find(exchange, exchange.resumption)
        if found.version is None:
            return expression.Error(_make_unknown_fault(exchange))
        exchange.required_version = found.version
        return proceed(exchange)

    def _record(self, exchange: base.Exchange, version: str) -> None:
        self._tracker.record(
            stream_versions.digest_stream(
                exchange.account.name, exchange.attempt_id
            ),
            exchange.pool.name,
            version,
            exchange.route.timeout_ms * TTL_TIMEOUTS,
        )

    def _find(
        self, exchange: base.Exchange, resumption: base.Resumption
    ) -> version_tracking.FoundVersion:
        found = self._tracker.find(
            stream_versions.digest_stream(
                exchange.account.name, resumption.attempt_id
            ),
            exchange.pool.name,
            exchange.route.timeout_ms * TTL_TIMEOUTS,
            has_record=bool(resumption.attempt_id),
        )
        LOG.info(
            "a caller resumes a stream",
            extra=logs.make_extra(
                request_id=exchange.request_id,
                resumes=resumption.attempt_id,
                last_event=resumption.last_event,
                version=found.version,
                source=found.source.value,
                asked=found.asked[0],
                answered=found.asked[1],
                serving=sorted(found.serving),
            ),
        )
        return found


def _make_unknown_fault(exchange: base.Exchange) -> errors.Fault:
    return errors.Fault(
        errors.Code.NO_UPSTREAM,
        errors.Step.ADMISSION,
        exchange.pool.name,
        message="the software version that began the stream is unknown",
        retry_after_ms=UNKNOWN_RETRY_MS,
    )

"""Runs filters in order."""

import collections.abc
import logging

import expression

from mulberryway import errors
from mulberryway.filters import base

__all__ = ["Chain"]

LOG = logging.getLogger(__name__)


class Chain:
    """A sequence of filters, each of which may call the next one.

    :param filters: the filters in order; the last one must always answer
    """

    def __init__(self, filters: collections.abc.Sequence[base.Filter]) -> None:
        self._filters = tuple(filters)

    def handle(self, exchange: base.Exchange) -> base.Answer:
        """Run a request through the filters.

        An exception in a filter becomes an internal error reply, so that the
        worker thread and the connection remain usable.

        :param exchange: the request
        :returns: a reply, a streamed answer, or a fault
        """
        try:
            return self._step(0)(exchange)
        except Exception:
            LOG.exception("filter failed: request %s", exchange.request_id)
            return expression.Error(
                errors.Fault(
                    errors.Code.INTERNAL,
                    errors.Step.CALLER,
                    run=errors.ExecutionStatus.MAY_HAVE_RUN,
                )
            )

    def _step(self, index: int) -> base.NextHandler:
        if index == len(self._filters):
            return _reject
        filter_ = self._filters[index]
        return lambda exchange: filter_.handle(exchange, self._step(index + 1))


def _reject(exchange: base.Exchange) -> base.Answer:
    return expression.Error(
        errors.Fault(errors.Code.UNKNOWN_ROUTE, errors.Step.CALLER)
    )

"""The order in which filters see a request."""

import collections.abc
import logging

import expression

from mulberryway import errors
from mulberryway.filters import base

__all__ = ["Chain"]

LOG = logging.getLogger(__name__)


class Chain:
    """Filters, each of which decides whether the next one sees a request.

    :param filters: in order; the last one always answers
    """

    def __init__(self, filters: collections.abc.Sequence[base.Filter]) -> None:
        self._filters = tuple(filters)

    def handle(self, exchange: base.Exchange) -> base.Answer:
        """Pass a request through all filters.

        An exception in a filter is answered like any fault: the worker
        thread and the connection's state are worth more than the request.

        :param exchange: the request
        :returns: a reply, a lent stream, or a fault
        """
        try:
            return self._step(0)(exchange)
        except Exception:
            LOG.exception("a filter failed: request %s", exchange.request_id)
            return expression.Error(
                errors.Fault(
                    errors.Code.INTERNAL,
                    errors.Step.CALLER,
                    run=errors.ExecutionStatus.MAY_HAVE_RUN,
                )
            )

    def _step(self, place: int) -> base.NextHandler:
        if place == len(self._filters):
            return _refuse
        filter_ = self._filters[place]
        return lambda exchange: filter_.handle(exchange, self._step(place + 1))


def _refuse(exchange: base.Exchange) -> base.Answer:
    return expression.Error(
        errors.Fault(errors.Code.UNKNOWN_ROUTE, errors.Step.CALLER)
    )

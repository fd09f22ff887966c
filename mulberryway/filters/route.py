"""Finds the route and the pool of a request."""

import expression

from mulberryway import errors
from mulberryway.filters import base

__all__ = ["FindRoute", "is_repeatable"]

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
ONCE_HEADER = "idempotency-key"


class FindRoute(base.Filter):
    """Joins a request with the tables by its path and its account."""

    def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Let a request go on that some route serves.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: what the chain answers, or a fault
        """
        route = exchange.tables.find_route(exchange.path)
        if route is None:
            return _refuse(errors.Code.UNKNOWN_ROUTE, "no route has this path")
        if route.accounts and exchange.account.name not in route.accounts:
            return _refuse(
                errors.Code.FORBIDDEN, "the route is for other accounts"
            )
        exchange.route = route
        exchange.pool = exchange.tables.pools[route.pool]
        exchange.deadline.at_ms = exchange.arrived_ms + route.timeout_ms
        if not is_repeatable(exchange) and not exchange.find_header(
            ONCE_HEADER
        ):
            return _refuse(
                errors.Code.REQUEST_ID_REQUIRED,
                "this route needs an Idempotency-Key",
            )
        return proceed(exchange)


def is_repeatable(exchange: base.Exchange) -> bool:
    """Tell whether a request may run more than once.

    :param exchange: the request, its route known
    :returns: whether a repeat does no harm
    """
    return exchange.route.idempotent or exchange.method in SAFE_METHODS


def _refuse(code: errors.Code, message: str) -> base.Answer:
    return expression.Error(
        errors.Fault(code, errors.Step.CALLER, message=message)
    )

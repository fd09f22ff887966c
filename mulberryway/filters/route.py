"""Finds the route and the pool of a request."""

import random

import expression

from mulberryway import errors
from mulberryway import tables
from mulberryway.filters import base

__all__ = ["RouteMatcher", "is_idempotent"]

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
IDEMPOTENCY_KEY_HEADER = "idempotency-key"


class RouteMatcher(base.Filter):
    """Joins a request with the tables by its path and its account.

    :param requires_idempotency_key: whether calls that may run only once must
        bring an id by which a repeat at another VM is recognised
    :param random_: chooses among the pools of a divided route
    """

    def __init__(
        self,
        requires_idempotency_key: bool = True,
        random_: random.Random | None = None,
    ) -> None:
        self._needs_id = requires_idempotency_key
        self._random = random_ or random.Random()

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Let a request go on that some route serves.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: what the chain answers, or a fault
        """
        host = (exchange.find_header("host") or "").partition(":")[0]
        route = exchange.tables.find_route(exchange.path, host.lower())
        if route is None:
            return _refuse(errors.Code.UNKNOWN_ROUTE, "no route has this path")
        if route.accounts and exchange.account.name not in route.accounts:
            return _refuse(
                errors.Code.FORBIDDEN, "the route is for other accounts"
            )
        exchange.route = route
        exchange.pool = exchange.tables.pools[self._choose_pool(route)]
        exchange.deadline.at_ms = exchange.arrived_ms + route.timeout_ms
        if (
            self._needs_id
            and not is_idempotent(exchange)
            and not exchange.find_header(IDEMPOTENCY_KEY_HEADER)
        ):
            return _refuse(
                errors.Code.REQUEST_ID_REQUIRED,
                "this route needs an Idempotency-Key",
            )
        return proceed(exchange)

    def _choose_pool(self, route: tables.Route) -> str:
        if not route.shares:
            return route.pool
        return self._random.choices(
            [share.pool for share in route.shares],
            [share.weight for share in route.shares],
        )[0]


def is_idempotent(exchange: base.Exchange) -> bool:
    """Tell whether a request may run more than once.

    :param exchange: the request, its route known
    :returns: whether a repeat does no harm
    """
    row = exchange.route
    return row.idempotent or (
        row.retries_safe_methods and exchange.method in SAFE_METHODS
    )


def _refuse(code: errors.Code, message: str) -> base.Answer:
    return expression.Error(
        errors.Fault(code, errors.Step.CALLER, message=message)
    )

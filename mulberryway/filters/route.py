"""Matches requests to routes and pools."""

import random

import expression

from mulberryway import errors
from mulberryway import tables
from mulberryway.filters import base

__all__ = ["RouteMatcher", "is_idempotent"]

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
IDEMPOTENCY_KEY_HEADER = "idempotency-key"


class RouteMatcher(base.Filter):
    """Finds the route by path and host, and checks the account's access.

    :param requires_idempotency_key: whether non-idempotent calls must carry
        a key by which a retry at another VM is recognised
    :param random_: chooses the pool of a route with a traffic split
    """

    def __init__(
        self,
        requires_idempotency_key: bool = True,
        random_: random.Random | None = None,
    ) -> None:
        self._requires_idempotency_key = requires_idempotency_key
        self._random = random_ or random.Random()

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Forward a request if a route serves it.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: the chain's answer, or a fault
        """
        host = (exchange.find_header("host") or "").partition(":")[0]
        route = exchange.tables.find_route(exchange.path, host.lower())
        if route is None:
            return _reject(
                errors.Code.UNKNOWN_ROUTE, "no route matches this path"
            )
        if route.accounts and exchange.account.name not in route.accounts:
            return _reject(
                errors.Code.FORBIDDEN, "the account may not use this route"
            )
        exchange.route = route
        exchange.pool = exchange.tables.pools[self._choose_pool(route)]
        exchange.deadline.at_ms = exchange.arrived_ms + route.timeout_ms
        if (
            self._requires_idempotency_key
            and not is_idempotent(exchange)
            and not exchange.find_header(IDEMPOTENCY_KEY_HEADER)
        ):
            return _reject(
                errors.Code.REQUEST_ID_REQUIRED,
                "this route requires an Idempotency-Key header",
            )
        return proceed(exchange)

    def _choose_pool(self, route: tables.Route) -> str:
        if not route.weighted_pools:
            return route.pool
        return self._random.choices(
            [share.pool for share in route.weighted_pools],
            [share.weight for share in route.weighted_pools],
        )[0]


def is_idempotent(exchange: base.Exchange) -> bool:
    """Return whether a request may run more than once.

    :param exchange: the request, whose route is already set
    :returns: whether a retry has no further effect
    """
    row = exchange.route
    return row.idempotent or (
        row.retries_safe_methods and exchange.method in SAFE_METHODS
    )


def _reject(code: errors.Code, message: str) -> base.Answer:
    return expression.Error(
        errors.Fault(code, errors.Step.CALLER, message=message)
    )

"""Counts requests, so that repeats stay a small part of them."""

import threading

from mulberryway import clock
from mulberryway.filters import base
from mulberryway.policy import retries

__all__ = ["Budget", "CountRequests"]


class Budget:
    """Holds the lock around a budget, which has none of its own.

    :param budget: what may be spent
    :param clock_: where the time comes from
    """

    def __init__(
        self, budget: retries.FleetBudget, clock_: clock.Clock
    ) -> None:
        self._budget = budget
        self._clock = clock_
        self._lock = threading.Lock()

    def change_vms(self, count: int) -> None:
        """Take over how many VMs share the budget.

        :param count: the VMs that live, this one among them
        """
        with self._lock:
            self._budget.change_vms(count)

    def earn(self, pool: str) -> None:
        """Count a request.

        :param pool: the pool that it is for
        """
        with self._lock:
            self._budget.earn(pool, self._clock.now_ms())

    def spend(self, pool: str) -> bool:
        """Take one repeat out.

        :param pool: the pool that it is for
        :returns: false if none is left
        """
        with self._lock:
            return self._budget.spend(pool, self._clock.now_ms())


class CountRequests(base.Filter):
    """Counts each request for the pool that it goes to.

    :param budget: where it is counted
    """

    def __init__(self, budget: Budget) -> None:
        self._budget = budget

    def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Count a request and let it go on.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: what the chain answers
        """
        self._budget.earn(exchange.pool.name)
        return proceed(exchange)

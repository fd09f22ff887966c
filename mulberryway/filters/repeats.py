"""Counts requests, so that repeats stay a small part of them."""

import collections.abc
import threading

from mulberryway import clock
from mulberryway.filters import base
from mulberryway.policy import retries

__all__ = ["SharedRetryBudget", "RetryBudgetDeposit"]


class SharedRetryBudget:
    """Holds the lock around a budget, which has none of its own.

    :param budget: what may be spent
    :param clock_: where the time comes from
    :param count_vms: returns how many VMs share the budget, this one and
        those that are silent among them
    """

    def __init__(
        self,
        budget: retries.FleetRetryBudget,
        clock_: clock.Clock,
        count_vms: collections.abc.Callable[[], int],
    ) -> None:
        self._budget = budget
        self._clock = clock_
        self._count_vms = count_vms
        self._lock = threading.Lock()

    def deposit(self, pool: str) -> None:
        """Count a request.

        :param pool: the pool that it is for
        """
        with self._lock:
            self._budget.deposit(pool, self._clock.now_ms())

    def try_withdraw(self, pool: str) -> bool:
        """Take one repeat out.

        :param pool: the pool that it is for
        :returns: false if none is left
        """
        with self._lock:
            self._budget.change_vms(self._count_vms())
            return self._budget.try_withdraw(pool, self._clock.now_ms())


class RetryBudgetDeposit(base.Filter):
    """Counts each request for the pool that it goes to.

    :param budget: where it is counted
    """

    def __init__(self, budget: SharedRetryBudget) -> None:
        self._budget = budget

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Count a request and let it go on.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: what the chain answers
        """
        self._budget.deposit(exchange.pool.name)
        return proceed(exchange)

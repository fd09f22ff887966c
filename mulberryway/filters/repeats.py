"""Limits retries to a fraction of all requests."""

import collections.abc
import threading

from mulberryway import clock
from mulberryway.filters import base
from mulberryway.policy import retries

__all__ = ["SharedRetryBudget", "RetryBudgetDeposit"]


class SharedRetryBudget:
    """A retry budget with a lock, for use by several threads.

    :param budget: the budget, which is not thread-safe itself
    :param clock_: the source of the current time
    :param count_vms: returns the number of VMs that share the budget,
        including this one and unresponsive ones
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
        """Count a request, which raises the budget.

        :param pool: the name of the request's pool
        """
        with self._lock:
            self._budget.deposit(pool, self._clock.now_ms())

    def try_withdraw(self, pool: str) -> bool:
        """Withdraw one retry from the budget.

        :param pool: the name of the request's pool
        :returns: false if no retry is left
        """
        with self._lock:
            self._budget.set_vm_count(self._count_vms())
            return self._budget.try_withdraw(pool, self._clock.now_ms())


class RetryBudgetDeposit(base.Filter):
    """Counts each request in its pool's retry budget.

    :param budget: the budget to raise
    """

    def __init__(self, budget: SharedRetryBudget) -> None:
        self._budget = budget

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Count a request and forward it.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: the chain's answer, or a fault
        """
        self._budget.deposit(exchange.pool.name)
        return proceed(exchange)

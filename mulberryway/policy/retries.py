"""Retry budgets, which bound the load that retries add."""

import collections

__all__ = ["FleetRetryBudget", "UnlimitedRetryBudget", "RetryBudget"]

# Each retry costs another prefill when free capacity is lowest. One retry per
# ten first attempts keeps the added load under a tenth. The cap of the balance
# is the number of requests that two crashing engines with twenty slots each
# release at once.
RETRIES_PER_FIRST_ATTEMPT = 0.1
MAX_BALANCE = 40.0


class RetryBudget:
    """Budget with a deposit per first attempt and a withdrawal per retry."""

    __slots__ = ("_balance",)

    def __init__(self) -> None:
        self._balance = MAX_BALANCE

    def deposit(self) -> None:
        """Count a first attempt."""
        self._balance = min(
            self._balance + RETRIES_PER_FIRST_ATTEMPT, MAX_BALANCE
        )

    def try_withdraw(self) -> bool:
        """Withdraw one retry.

        :returns: false if the balance is too low; the retry must not run
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class UnlimitedRetryBudget(RetryBudget):
    """Admits every retry; used where another budget limits retries."""

    __slots__ = ()

    def try_withdraw(self) -> bool:
        """Admit a retry."""
        return True


class FleetRetryBudget:
    """One VM's share of a retry budget for all VMs, by pool.

    In any window, operators allow a fraction of the pool's requests and a
    fixed number in addition, over all VMs. A VM may retry that fraction of
    its own requests and has a share of the fixed number, so no coordination is
    needed. VMs that are considered dead keep their shares, since they may only
    be partitioned.

    :param part: retries allowed per request, as a fraction
    :param window_ms: length of the window in ms
    :param slack: retries in addition, over all VMs
    """

    # Upper bound of the sum of all shares; the rest covers a VM that others
    # have not discovered yet.
    SHARED_FRACTION = 0.8

    __slots__ = (
        "_part",
        "_window_ms",
        "_slack",
        "_vms",
        "_requests",
        "_retries",
    )

    def __init__(self, part: float, window_ms: int, slack: int) -> None:
        self._part = part
        self._window_ms = window_ms
        self._slack = slack
        self._vms = 1
        self._requests: dict[str, collections.deque[int]] = {}
        self._retries: dict[str, collections.deque[int]] = {}

    def set_vm_count(self, count: int) -> None:
        """Set the number of VMs that share the budget.

        :param count: the number of known VMs, including this one
        """
        self._vms = max(count, 1)

    def deposit(self, pool: str, now_ms: int) -> None:
        """Count a request.

        :param pool: the pool of the request
        :param now_ms: current time in ms
        """
        self._get_window(self._requests, pool, now_ms).append(now_ms)

    def try_withdraw(self, pool: str, now_ms: int) -> bool:
        """Withdraw one retry.

        :param pool: the pool of the request
        :param now_ms: current time in ms
        :returns: false if the budget is exhausted; the retry must not be sent
        """
        retries = self._get_window(self._retries, pool, now_ms)
        requests = len(self._get_window(self._requests, pool, now_ms))
        slack = self._slack * self.SHARED_FRACTION / self._vms
        if len(retries) + 1 > self._part * requests + slack:
            return False
        retries.append(now_ms)
        return True

    def _get_window(
        self,
        counts: dict[str, collections.deque[int]],
        pool: str,
        now_ms: int,
    ) -> collections.deque[int]:
        window = counts.setdefault(pool, collections.deque())
        while window and now_ms - window[0] >= self._window_ms:
            window.popleft()
        return window

"""A budget for repeats, so that they do not multiply load."""

import collections

__all__ = ["FleetRetryBudget", "UnlimitedRetryBudget", "RetryBudget"]

# Each repeat costs another prefill just when there is least room.  One for ten
# first attempts keeps the added load under a tenth; the most that may be saved
# up is what two dying engines of twenty slots set free at once.
REPEATS_PER_FIRST = 0.1
MAX_BALANCE = 40.0


class RetryBudget:
    """Earned by first attempts, spent by repeats."""

    __slots__ = ("_saved",)

    def __init__(self) -> None:
        self._saved = MAX_BALANCE

    def deposit(self) -> None:
        """Count a first attempt."""
        self._saved = min(self._saved + REPEATS_PER_FIRST, MAX_BALANCE)

    def try_withdraw(self) -> bool:
        """Take one repeat out.

        :returns: false if none is left; the repeat must not run
        """
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


class UnlimitedRetryBudget(RetryBudget):
    """Lets every repeat through, where another budget counts them."""

    __slots__ = ()

    def try_withdraw(self) -> bool:
        """Let a repeat through."""
        return True


class FleetRetryBudget:
    """One VM's part of a budget that all VMs share, by pool.

    Operators allow, in any window, a part of the pool's requests and a
    number on top, over all VMs.  A VM takes the part of its own requests and
    its share of the number, so that nobody has to be asked.  VMs that are
    taken for dead keep their shares, since they may only be cut off.

    :param part: repeats for each request
    :param window_ms: the window's length
    :param slack: repeats on top, over all VMs
    """

    # What the shares may add up to; the rest covers a VM that others do not
    # know of yet.
    SHARED_PART = 0.8

    __slots__ = ("_part", "_window_ms", "_slack", "_vms", "_firsts", "_spent")

    def __init__(self, part: float, window_ms: int, slack: int) -> None:
        self._part = part
        self._window_ms = window_ms
        self._slack = slack
        self._vms = 1
        self._firsts: dict[str, collections.deque[int]] = {}
        self._spent: dict[str, collections.deque[int]] = {}

    def change_vms(self, count: int) -> None:
        """Take over how many VMs share the budget.

        :param count: the VMs that are known, this one among them
        """
        self._vms = max(count, 1)

    def deposit(self, pool: str, now_ms: int) -> None:
        """Count a request.

        :param pool: the pool that it is for
        :param now_ms: the present
        """
        self._read(self._firsts, pool, now_ms).append(now_ms)

    def try_withdraw(self, pool: str, now_ms: int) -> bool:
        """Take one repeat out.

        :param pool: the pool that it is for
        :param now_ms: the present
        :returns: false if none is left; the repeat must not be sent
        """
        spent = self._read(self._spent, pool, now_ms)
        firsts = len(self._read(self._firsts, pool, now_ms))
        slack = self._slack * self.SHARED_PART / self._vms
        if len(spent) + 1 > self._part * firsts + slack:
            return False
        spent.append(now_ms)
        return True

    def _read(
        self,
        counts: dict[str, collections.deque[int]],
        pool: str,
        now_ms: int,
    ) -> collections.deque[int]:
        found = counts.setdefault(pool, collections.deque())
        while found and now_ms - found[0] >= self._window_ms:
            found.popleft()
        return found

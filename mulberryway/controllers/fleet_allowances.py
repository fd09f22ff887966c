"""Accounts' tokens over all VMs, by counters that VMs tell one another."""

import collections.abc
import threading

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import tables
from mulberryway.controllers import base
from mulberryway.peers import gossip_messages
from mulberryway.policy import allowance
from mulberryway.policy import usage

__all__ = ["FleetAllowances"]

# A request's tokens are told to the other VMs this late at most.
PERIOD_MS = 60
# Whether the store answers is looked at so often.
IDLE_MS = 250
# A VM that asks the store tells at least this often that it is reached, or
# all others would take it for away and ask themselves.
WATCHER_HEARTBEAT_MS = 1_500
# A refusal tells when to come back; within it the others' counts arrive too.
MIN_RETRY_MS = 200
MAX_RETRY_MS = 5_000


class FleetAllowances(base.Controller, allowance.Allowances):
    """Holds the lock around the book of usage, and tells the other VMs.

    :param book: what was given and what is left
    :param read_mirrors: returns the revisions of mirrors by kind
    :param is_store_reached: tells whether the platform's store answers; none
        if it is not asked
    :param clock_: where the time comes from

    ``broadcast`` is set by whoever can send to the other VMs.
    """

    def __init__(
        self,
        book: usage.ReplicatedRateLimiter,
        read_mirrors: collections.abc.Callable[[], dict[str, int]],
        is_store_reached: collections.abc.Callable[[], bool | None],
        clock_: clock.Clock,
    ) -> None:
        super().__init__("fleet-allowances", clock_, PERIOD_MS)
        self._book = book
        self.broadcast: collections.abc.Callable[[bytes, bool], None] = (
            lambda payload, is_urgent: None
        )
        self._read_mirrors = read_mirrors
        self._lock = threading.Lock()
        self._is_store_reached = is_store_reached
        self._told: tuple[dict[str, int], bool | None] | None = None
        self._told_ms = 0
        self._stepped_ms = clock_.now_ms() - PERIOD_MS

    def step(self) -> None:
        """Tell the other VMs what has changed, and wait for more."""
        left_ms = self._stepped_ms + PERIOD_MS - self.clock.now_ms()
        if left_ms > 0:
            self.clock.sleep_ms(left_ms)
        self._stepped_ms = self.clock.now_ms()
        self._tell()
        with self._lock:
            due_ms = self._book.compute_next_heartbeat_ms()
        left_ms = due_ms - self.clock.now_ms()
        self.period_ms = min(max(left_ms, 1), IDLE_MS)

    def _tell(self) -> None:
        mirrors, is_reached = self._read_mirrors(), self._is_store_reached()
        # If every VM told all others at once that it has a change as well,
        # messages would grow with the square of the fleet.  VMs that ask the
        # store tell it at once, the others with their next heartbeat.
        now_ms = self.clock.now_ms()
        has_changed = (mirrors, is_reached) != self._told
        is_due = now_ms - self._told_ms >= WATCHER_HEARTBEAT_MS
        is_news = (has_changed or is_due) and is_reached is not None
        self._told = mirrors, is_reached
        with self._lock:
            message = self._book.make_usage(mirrors, now_ms, is_news)
        if message is not None:
            self._told_ms = now_ms
            message.is_store_reached = is_reached
            self.broadcast(
                gossip_messages.encode_usage(message), not message.is_heartbeat
            )

    def take(self, told: usage.Usage) -> None:
        """Take in another VM's counts.

        :param told: its counts
        """
        with self._lock:
            self._book.merge_usage(told, self.clock.now_ms())

    def update_members(self, vms: list[str]) -> None:
        """Take over which VMs there are.

        :param vms: their names
        """
        with self._lock:
            self._book.update_members(vms, self.clock.now_ms())

    def list_unresponsive(self) -> frozenset[str]:
        """Return the VMs that were heard before and are silent now."""
        with self._lock:
            return self._book.list_unresponsive(self.clock.now_ms())

    def update_tables(self, changed: tables.Tables) -> None:
        """Take over rates and bursts.

        :param changed: the new tables
        """
        with self._lock:
            self._book.update_accounts(
                changed.accounts.values(), self.clock.now_ms()
            )
        # VMs that do not watch the store wait for what this one knows.
        self.wake()

    def reserve(
        self, account: str, tokens: int
    ) -> expression.Result[allowance.Reservation, errors.Fault]:
        """Take tokens for a request before it runs.

        :param account: the client account
        :param tokens: what it may use
        :returns: the reservation, or ``OVER_ALLOWANCE`` with a retry hint
        """
        with self._lock:
            now_ms = self.clock.now_ms()
            wait_ms = self._book.take(account, tokens, now_ms)
            inputs = self._book.describe(account, now_ms)
        if wait_ms is None:
            self.wake()
            return expression.Ok(allowance.Reservation(account, tokens))
        fault = errors.Fault(
            errors.Code.OVER_ALLOWANCE,
            errors.Step.ADMISSION,
            account,
            message="the account has used its rate and burst",
            retry_after_ms=min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS),
        )
        fault.inputs = inputs | {"tokens": tokens}
        return expression.Error(fault)

    def settle(self, reservation: allowance.Reservation, used: int) -> None:
        """Give back what a request did not use.

        :param reservation: what was taken
        :param used: tokens that count
        """
        unused = reservation.tokens - used
        if unused <= 0:
            return
        with self._lock:
            self._book.refund(reservation.account, unused, self.clock.now_ms())
        self.wake()

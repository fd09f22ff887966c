"""Fleet-wide rate limits by usage counters that VMs broadcast."""

import collections.abc
import threading

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import tables
from mulberryway.controllers import base
from mulberryway.peers import gossip_messages
from mulberryway.policy import allowance
from mulberryway.policy import mirror_summary
from mulberryway.policy import usage

__all__ = ["FleetAllowances"]

# Maximum delay until a request's tokens are announced to the other VMs.
PERIOD_MS = 60
# Interval at which the reachability of the store is checked.
IDLE_MS = 250
# Maximum interval at which a VM that contacts the store announces that it
# reaches it.  Otherwise all others would consider the store unreachable from
# that VM and contact it themselves.
WATCHER_HEARTBEAT_MS = 1_500
# Bounds of the retry hint; within the minimum the others' counts arrive too.
MIN_RETRY_MS = 200
MAX_RETRY_MS = 5_000
# A request waits this long for the first messages of VMs that have started at
# the same time, and asks this often.
SETTLE_WAIT_MS = 400
SETTLE_POLL_MS = 20

MirrorSummaries = dict[str, mirror_summary.MirrorSummary]
MirrorReader = collections.abc.Callable[[], MirrorSummaries]


class FleetAllowances(base.Controller, allowance.Allowances):
    """Guards the replicated rate limiter by a lock and broadcasts its counts.

    :param rate_limiter: rate limiter with the counts of all VMs
    :param read_mirrors: returns the state of each mirror, by kind
    :param is_store_reached: returns whether the platform's store answers, or
        None if this VM does not contact it
    :param clock_: time source

    ``broadcast`` and ``send`` are replaced by the component that sends to all
    or some of the other VMs.
    """

    def __init__(
        self,
        rate_limiter: usage.ReplicatedRateLimiter,
        read_mirrors: MirrorReader,
        is_store_reached: collections.abc.Callable[[], bool | None],
        clock_: clock.Clock,
    ) -> None:
        super().__init__("fleet-allowances", clock_, PERIOD_MS)
        self._rate_limiter = rate_limiter
        self.broadcast: collections.abc.Callable[[bytes, bool], None] = (
            lambda payload, is_urgent: None
        )
        self.send: collections.abc.Callable[
            [bytes, collections.abc.Iterable[str]], None
        ] = lambda payload, vms: None
        self._read_mirrors = read_mirrors
        self._lock = threading.Lock()
        self._is_store_reached = is_store_reached
        self._announced: tuple[MirrorSummaries, bool | None] | None = None
        self._announced_ms = 0
        self._stepped_ms = clock_.now_ms() - PERIOD_MS

    def step(self) -> None:
        """Broadcast changes, and set the delay until the next step."""
        left_ms = self._stepped_ms + PERIOD_MS - self.clock.now_ms()
        if left_ms > 0:
            self.clock.sleep_ms(left_ms)
        self._stepped_ms = self.clock.now_ms()
        self._broadcast_usage()
        with self._lock:
            due_ms = self._rate_limiter.compute_next_heartbeat_ms()
        left_ms = due_ms - self.clock.now_ms()
        self.period_ms = min(max(left_ms, 1), IDLE_MS)

    def _broadcast_usage(self) -> None:
        mirrors, is_reached = self._read_mirrors(), self._is_store_reached()
        # If every VM announced at once that it has a change as well, the
        # number of messages would grow with the square of the fleet size.
        # VMs that contact the store announce changes at once, the others with
        # their next heartbeat.
        now_ms = self.clock.now_ms()
        has_changed = (mirrors, is_reached) != self._announced
        is_due = now_ms - self._announced_ms >= WATCHER_HEARTBEAT_MS
        must_announce = (has_changed or is_due) and is_reached is not None
        self._announced = mirrors, is_reached
        with self._lock:
            message = self._rate_limiter.make_usage(
                mirrors, now_ms, must_announce
            )
        if message is not None:
            self._announced_ms = now_ms
            message.is_store_reached = is_reached
            self.broadcast(
                gossip_messages.encode_usage(message), not message.is_heartbeat
            )

    def take(self, message: usage.Usage) -> None:
        """Merge another VM's counts.

        :param message: its usage message
        """
        with self._lock:
            has_started = self._rate_limiter.merge_usage(
                message, self.clock.now_ms()
            )
        if has_started:
            self._greet([message.vm])

    def update_members(self, vms: list[str]) -> None:
        """Apply the set of VMs that the store lists, and greet them.

        Until a VM has heard from the others it may use only its own fraction
        of all limits.  Its membership protocol takes a second or more to
        reach all of a large fleet.

        :param vms: names of the VMs
        """
        with self._lock:
            self._rate_limiter.update_members(vms, self.clock.now_ms())
        self._greet(vms)

    def _greet(self, vms: collections.abc.Iterable[str]) -> None:
        mirrors, is_reached = self._read_mirrors(), self._is_store_reached()
        with self._lock:
            message = self._rate_limiter.make_greeting(
                mirrors, self.clock.now_ms()
            )
        message.is_store_reached = is_reached
        self.send(gossip_messages.encode_usage(message), vms)

    def list_unresponsive(self) -> frozenset[str]:
        """Return known VMs that are unresponsive now."""
        with self._lock:
            return self._rate_limiter.list_unresponsive(self.clock.now_ms())

    def update_tables(self, changed: tables.Tables) -> None:
        """Apply changed rates and bursts.

        :param changed: the new tables
        """
        with self._lock:
            self._rate_limiter.update_accounts(
                changed.accounts.values(), self.clock.now_ms()
            )
        # VMs that do not watch the store depend on this VM's announcement.
        self.wake()

    def reserve(
        self, account: str, tokens: int
    ) -> expression.Result[allowance.Reservation, errors.Fault]:
        """Take tokens for a request before it runs.

        :param account: name of the client account
        :param tokens: maximum number of tokens that it may use
        :returns: the reservation, or ``OVER_ALLOWANCE`` with a retry hint
        """
        deadline = clock.Deadline(self.clock.now_ms() + SETTLE_WAIT_MS)
        while True:
            with self._lock:
                now_ms = self.clock.now_ms()
                wait_ms = self._rate_limiter.take(account, tokens, now_ms)
                inputs = self._rate_limiter.describe(account, now_ms)
                is_settling = self._rate_limiter.is_settling(now_ms)
            if (
                wait_ms is None
                or not is_settling
                or deadline.has_passed(now_ms)
            ):
                break
            self.clock.sleep_ms(SETTLE_POLL_MS)
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
        """Refund tokens that a request did not use.

        :param reservation: the reservation
        :param used: number of tokens that the account is charged for
        """
        unused = reservation.tokens - used
        if unused <= 0:
            return
        with self._lock:
            self._rate_limiter.refund(
                reservation.account, unused, self.clock.now_ms()
            )
        self.wake()

"""Baseline rate limiter: each VM gets a fixed fraction of rate and burst.

It needs no messages and never overruns while the configured number of VMs is
right, but it rejects accounts whose callers connect to only a few VMs.
"""

import threading

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import tables
from mulberryway.policy import allowance
from mulberryway.policy import token_bucket

__all__ = ["StaticAllowances"]


class _StaticReservation(allowance.Reservation):
    """A reservation with its bucket and the mark taken after it."""

    __slots__ = ("bucket", "stamp")

    def __init__(
        self,
        account: str,
        tokens: int,
        bucket: token_bucket.TokenBucket,
        stamp: int,
    ) -> None:
        super().__init__(account, tokens)
        self.bucket = bucket
        self.stamp = stamp


class StaticAllowances(allowance.Allowances):
    """Divides each account's rate and burst evenly over a number of VMs.

    Buckets start empty, so that a restart does not allow a burst twice in one
    window.

    :param source: source of the active tables
    :param clock_: time source
    :param vms: number of VMs
    """

    def __init__(
        self, source: tables.TableSource, clock_: clock.Clock, vms: int
    ) -> None:
        self._source = source
        self._clock = clock_
        self._vms = vms
        self._lock = threading.Lock()
        self._buckets: dict[str, token_bucket.TokenBucket] = {}
        source.subscribe(self._apply_tables)
        current = source.get_tables()
        if current is not None:
            self._apply_tables(current)

    def reserve(
        self, account: str, tokens: int
    ) -> expression.Result[allowance.Reservation, errors.Fault]:
        """Reserve tokens for a request before it runs.

        :param account: name of the client account
        :param tokens: prompt tokens plus the maximum of generated tokens
        :returns: the reservation, or ``OVER_ALLOWANCE`` with a retry hint
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            bucket = self._buckets.get(account)
            if bucket is None or not bucket.take(tokens, now_ms):
                return expression.Error(_reject(bucket, tokens, now_ms))
            stamp = bucket.mark(now_ms)
        return expression.Ok(
            _StaticReservation(account, tokens, bucket, stamp)
        )

    def settle(self, reservation: allowance.Reservation, used: int) -> None:
        """Refund tokens that a request did not use; call exactly once.

        :param reservation: the reservation
        :param used: number of tokens computed or received by the caller
        """
        if not isinstance(reservation, _StaticReservation):
            return
        unused = max(reservation.tokens - used, 0)
        with self._lock:
            reservation.bucket.refund(
                unused, reservation.stamp, self._clock.now_ms()
            )

    def _apply_tables(self, current: tables.Tables) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            removed = self._buckets.keys() - current.accounts.keys()
            for name in removed:
                del self._buckets[name]
            for account in current.accounts.values():
                self._apply_limits(account, now_ms)

    def _apply_limits(
        self, account: tables.ClientAccount, now_ms: int
    ) -> None:
        bucket = self._buckets.get(account.name)
        if bucket is None:
            self._buckets[account.name] = token_bucket.TokenBucket(
                account.rate, account.burst, self._vms, now_ms
            )
        else:
            bucket.update_limits(account.rate, account.burst, now_ms)


def _reject(
    bucket: token_bucket.TokenBucket | None, tokens: int, now_ms: int
) -> errors.Fault:
    wait_ms = None if bucket is None else bucket.time_until(tokens, now_ms)
    return errors.Fault(
        errors.Code.OVER_ALLOWANCE,
        errors.Step.ADMISSION,
        message="the client account's allowance is exhausted",
        retry_after_ms=wait_ms,
    )

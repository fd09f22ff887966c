"""Durations of slot leases, loans and their margins."""

__all__ = ["AllowanceTimes"]


class AllowanceTimes:
    """Durations in milliseconds; tests may shorten them.

    :param lease_ms: how long a slot is held without a renewal.  It is renewed
        after a quarter of that, so holders survive an outage of the platform
        for at least three quarters of it, one and a half hours.
    :param lease_margin_ms: how much longer other VMs wait for the lease to
        expire; covers clock rates that differ by one percent
    :param absence_timeout_ms: how long a VM must be missing from the
        platform's list to count as removed; longer than the list's lag
    :param loan_ms: maximum duration of a loan.  Longer loans would need fewer
        messages, but hold tokens where they are not used.
    :param loan_margin_ms: how much later the lender counts a loan as expired
    :param idle_ms: unused tokens of a loan are returned after this time
    :param reservation_ttl_ms: how long a reservation waits for its request to
        run; longer than the limit for a first token
    :param refund_window_ms: how long after its end a loan accepts refunds,
        which bounds the duration of requests that are still refunded
    :param min_uptime_ms: a slot moves only to a VM that has been up this long
    :param startup_delay_ms: how long a new process waits to learn about other
        VMs; without it the first of many would take all slots
    :param retry_ms: mean interval between attempts on one object, and
        interval between reads of the VM list and between moves of slots
    """

    __slots__ = (
        "lease_ms",
        "lease_margin_ms",
        "absence_timeout_ms",
        "loan_ms",
        "loan_margin_ms",
        "idle_ms",
        "reservation_ttl_ms",
        "refund_window_ms",
        "min_uptime_ms",
        "startup_delay_ms",
        "retry_ms",
    )

    def __init__(
        self,
        lease_ms: int = 7_200_000,
        lease_margin_ms: int = 72_000,
        absence_timeout_ms: int = 60_000,
        loan_ms: int = 4_000,
        loan_margin_ms: int = 100,
        idle_ms: int = 500,
        reservation_ttl_ms: int = 2_000,
        refund_window_ms: int = 180_000,
        min_uptime_ms: int = 60_000,
        startup_delay_ms: int = 2_000,
        retry_ms: int = 4_000,
    ) -> None:
        self.lease_ms = lease_ms
        self.lease_margin_ms = lease_margin_ms
        self.absence_timeout_ms = absence_timeout_ms
        self.loan_ms = loan_ms
        self.loan_margin_ms = loan_margin_ms
        self.idle_ms = idle_ms
        self.reservation_ttl_ms = reservation_ttl_ms
        self.refund_window_ms = refund_window_ms
        self.min_uptime_ms = min_uptime_ms
        self.startup_delay_ms = startup_delay_ms
        self.retry_ms = retry_ms

    @property
    def max_loan_ms(self) -> int:
        """Time from a lender's grant until the loan has surely expired."""
        return self.loan_ms + self.loan_margin_ms

    @property
    def renew_before_ms(self) -> int:
        """Remaining lease time at which a lease is renewed."""
        return self.lease_ms * 3 // 4

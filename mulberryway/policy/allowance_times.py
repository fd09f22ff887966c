"""How long shares, loans and their margins last."""

__all__ = ["AllowanceTimes"]


class AllowanceTimes:
    """Durations in milliseconds; a test may shorten them.

    :param lease_ms: for how long a share is held without a renewal.  It is
        renewed at a quarter, so an outage of the platform is survived for
        at least three quarters of it: an hour and a half.
    :param lease_margin_ms: how much longer others wait; covers clocks that
        run apart by a hundredth
    :param absence_timeout_ms: for how long the platform's list must have left
        a VM out; the list lags by less
    :param loan_ms: the longest life of a loan.  Longer ones would need
        fewer messages, and hold tokens where they are not used.
    :param loan_margin_ms: how much later the lender counts it as ended
    :param idle_ms: an unused rest of a loan goes back after this
    :param reservation_ttl_ms: how long a reservation waits for its request to
        run; longer than a first token may take
    :param refund_window_ms: for how long after its end a loan takes refunds;
        the longest request that is still refunded
    :param min_uptime_ms: a share moves only to a VM that lives this long
    :param startup_delay_ms: a new process waits this long to know the other
        VMs, else the first of many would take all shares
    :param retry_ms: the pause between looks at one object, of the list, or
        between moves of shares
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
    def lapse_ms(self) -> int:
        """When a loan has surely ended, counted from the lender's grant."""
        return self.loan_ms + self.loan_margin_ms

    @property
    def renew_before_ms(self) -> int:
        """How long before its end a lease is renewed."""
        return self.lease_ms * 3 // 4

"""What is left of an account's rate and burst for all VMs."""

__all__ = ["UsageBucket"]

MS_IN_S = 1_000
# Part of an account's margin that all VMs together may leave untold for a
# while.
UNANNOUNCED_MARGIN_FRACTION = 0.1


class UsageBucket:
    """One account's bucket, as one VM believes it to be.

    :param now_ms: the present
    """

    __slots__ = (
        "rate",
        "burst",
        "level",
        "shared_level",
        "spent",
        "updated_ms",
        "announced",
        "margin",
    )

    def __init__(self, now_ms: int) -> None:
        self.rate = 0.0
        self.burst = 0.0
        self.level = 0.0
        # What was left when VMs fell silent, or more by now: their part of
        # it is left to them.
        self.shared_level = 0.0
        self.spent = 0
        self.updated_ms = now_ms
        # What of it the other VMs were told.
        self.announced = 0
        # What the account may get beyond its due in one window.
        self.margin = 0.0

    @property
    def unannounced(self) -> int:
        """Tokens given here of which the other VMs do not know; signed."""
        return self.spent - self.announced

    def can_defer(self, vms: int) -> bool:
        """Tell whether what is untold may wait for the next heartbeat.

        It may while all VMs together would use but a small part of the
        margin by that, and much is left.

        :param vms: how many VMs there are
        """
        least = self.margin * UNANNOUNCED_MARGIN_FRACTION / vms
        return abs(self.unannounced) <= least and self.level * 2 >= self.burst

    def refill(self, part: float, now_ms: int) -> None:
        """Add what has come in since the last time.

        :param part: the part of the rate that may be given here
        :param now_ms: the present
        """
        passed_ms = max(now_ms - self.updated_ms, 0)
        self.updated_ms = now_ms
        self.level = min(
            self.level + self.rate * part * passed_ms / MS_IN_S, self.burst
        )
        self.shared_level = max(
            self.level, 0.0 if part >= 1 else self.shared_level
        )

    def compute_available(self, part: float) -> float:
        """Return how many tokens may be given here.

        :param part: the part of all rates that may be given here
        """
        return self.level - self.shared_level * (1.0 - part)

"""One account's token bucket, as replicated on each VM."""

__all__ = ["UsageBucket"]

MS_IN_S = 1_000
# Fraction of an account's margin that all VMs together may leave unannounced
# until the next heartbeat.
UNANNOUNCED_MARGIN_FRACTION = 0.1


class UsageBucket:
    """One account's token bucket, as known to one VM.

    :param now_ms: current time in ms
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
        # Level when VMs became unresponsive, or a later, higher one.  Their
        # fraction of it is reserved for them.
        self.shared_level = 0.0
        self.spent = 0
        self.updated_ms = now_ms
        # The part of ``spent`` that was announced to other VMs.
        self.announced = 0
        # Tokens beyond its limit that the account may get in one window.
        self.margin = 0.0

    @property
    def unannounced(self) -> int:
        """Tokens granted here that were not announced yet; may be negative."""
        return self.spent - self.announced

    def can_defer(self, vms: int) -> bool:
        """Return whether unannounced tokens may wait for the heartbeat.

        They may if all VMs together would use only a small fraction of the
        margin by waiting, and the bucket is at least half full.

        :param vms: number of VMs
        """
        threshold = self.margin * UNANNOUNCED_MARGIN_FRACTION / vms
        return (
            abs(self.unannounced) <= threshold and self.level * 2 >= self.burst
        )

    def refill(self, fraction: float, now_ms: int) -> None:
        """Add the tokens that accrued since the last refill.

        :param fraction: fraction of the rate that may be granted here
        :param now_ms: current time in ms
        """
        elapsed_ms = max(now_ms - self.updated_ms, 0)
        self.updated_ms = now_ms
        self.level = min(
            self.level + self.rate * fraction * elapsed_ms / MS_IN_S,
            self.burst,
        )
        self.shared_level = max(
            self.level, 0.0 if fraction >= 1 else self.shared_level
        )

    def compute_available(self, fraction: float) -> float:
        """Return the number of tokens that may be granted here.

        :param fraction: fraction of all rates that may be granted here
        """
        return self.level - self.shared_level * (1.0 - fraction)

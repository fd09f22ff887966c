"""Distinguishes entries that expired in a store outage from deregistration.

Servers renew their entries in the store. During an outage none can, and the
store removes the entries that were not renewed for some heartbeats, although
the servers are alive. The entry of a server that deregisters is removed in the
same way.
"""

from mulberryway.policy import store_reachability

__all__ = ["UnreachablePeriod", "MassExpiryDetector", "RegistrationLimits"]

# An entry expires if it was not renewed for this number of heartbeats.
EXPIRY_HEARTBEATS = 3
# After an outage, live servers renew their entries within this time.
REREGISTRATION_MS = 2_100
# In an outage that is long enough for one entry to expire, most entries do;
# servers deregister a few at a time.
EXPIRY_FRACTION = 0.5
# Without a detected outage, this number of removals at once is the minimum
# that counts as mass expiry.
MIN_MASS_EXPIRY = 3
# Fraction of the drain time for which entries are retained without an outage.
# The rest is reserved for noticing the removal and for requests whose server
# was chosen just before.
DRAIN_FRACTION = 0.75


class RegistrationLimits:
    """Settings of the servers' registration, as guaranteed by the operators.

    :param heartbeat_ms: interval in ms at which a server renews its entry
    :param drain_ms: how long a draining server continues to serve, in ms
    """

    __slots__ = ("heartbeat_ms", "drain_ms")

    def __init__(
        self, heartbeat_ms: int = 1_000, drain_ms: int = 2_000
    ) -> None:
        self.heartbeat_ms = heartbeat_ms
        self.drain_ms = drain_ms

    @property
    def min_outage_ms(self) -> int:
        """The shortest outage in which an entry can expire, in ms."""
        return (EXPIRY_HEARTBEATS - 1) * self.heartbeat_ms

    @property
    def max_silence_ms(self) -> int:
        """The longest time in ms after which each entry was renewed.

        An entry of a server that is gone has expired by then.
        """
        return EXPIRY_HEARTBEATS * self.heartbeat_ms + REREGISTRATION_MS

    @property
    def max_retention_ms(self) -> int:
        """The maximum retention of an entry without an outage, in ms."""
        return int(self.drain_ms * DRAIN_FRACTION)


class UnreachablePeriod:
    """Period in which the store did not respond to this VM.

    The reason is unknown: the store may be down, reject this VM, or have lost
    one connection.

    :param began_ms: earliest possible start of the period, in ms
    :param reason: the error of the first failed call
    """

    __slots__ = ("began_ms", "reason", "ended_ms", "is_fleet_wide")

    def __init__(self, began_ms: int, reason: str) -> None:
        self.began_ms = began_ms
        self.reason = reason
        self.ended_ms: int | None = None
        self.is_fleet_wide = False

    def compute_duration_ms(self, now_ms: int) -> int:
        """Return the duration so far, in ms.

        :param now_ms: current time in ms
        """
        ended_ms = now_ms if self.ended_ms is None else self.ended_ms
        return ended_ms - self.began_ms

    def is_recent(self, now_ms: int) -> bool:
        """Return whether entries that expired in it may still be missing.

        :param now_ms: current time in ms
        """
        return (
            self.ended_ms is None or now_ms - self.ended_ms < REREGISTRATION_MS
        )


class MassExpiryDetector:
    """Decides whether removed entries are retained, and for how long.

    A VM that mistook its own failure (rejections, a broken watch) for an
    outage would send requests to servers that have deregistered. So mass
    expiry requires an unreachable period that is long enough for an entry to
    expire, that all VMs with a recent report confirm, and in which most
    entries were removed.

    :param limits: settings of the servers' registration
    :param reachability: other VMs' reports on the store
    """

    __slots__ = ("_limits", "_reachability", "_period", "_removed")

    def __init__(
        self,
        limits: RegistrationLimits,
        reachability: store_reachability.StoreReachability,
    ) -> None:
        self._limits = limits
        self._reachability = reachability
        self._period: UnreachablePeriod | None = None
        # Names removed since the period began, including those registered
        # again.
        self._removed: set[str] = set()

    def record_failure(self, began_ms: int, reason: str) -> None:
        """Record that a call to the store failed.

        :param began_ms: earliest possible start of the outage in ms: the time
            of a rejection, or the start of a call that got no response
        :param reason: the error of the call
        """
        if self._period is None or self._period.ended_ms is not None:
            self._period = UnreachablePeriod(began_ms, reason)
            self._removed.clear()

    def record_response(self, now_ms: int) -> None:
        """Record that the store responded.

        :param now_ms: current time in ms
        """
        period = self._period
        if period is None or period.ended_ms is not None:
            return
        period.ended_ms = now_ms
        period.is_fleet_wide = self._reachability.is_fleet_wide(
            period.began_ms, now_ms
        )

    def find_unreachable_period(self, now_ms: int) -> UnreachablePeriod | None:
        """Return the period that explains removals now; none if there is none.

        :param now_ms: current time in ms
        """
        period = self._period
        if period is None or not period.is_recent(now_ms):
            return None
        return period

    def compute_retention_end_ms(
        self,
        removed: set[str],
        remaining: set[str],
        is_one_answer: bool,
        now_ms: int,
    ) -> int | None:
        """Decide until when removed entries are retained.

        :param removed: names of the entries that were removed now
        :param remaining: names of the entries that are present
        :param is_one_answer: whether all were removed since the last response
            of a watch; a listing or a copy may cover a longer time
        :param now_ms: current time in ms
        :returns: the time in ms until which all entries removed since the
            period began are retained; none if the removals take effect at once
        """
        period = self.find_unreachable_period(now_ms)
        if period is None:
            min_count = max(
                (len(remaining) + len(removed)) * EXPIRY_FRACTION,
                MIN_MASS_EXPIRY,
            )
            if not is_one_answer or len(removed) < min_count:
                return None
            return now_ms + self._limits.max_retention_ms
        self._removed |= removed
        if not self._may_have_expired(period, now_ms):
            return None
        if (
            len(self._removed)
            < len(self._removed | remaining) * EXPIRY_FRACTION
        ):
            return None
        ended_ms = now_ms if period.ended_ms is None else period.ended_ms
        return ended_ms + REREGISTRATION_MS

    def describe_peers(
        self, period: UnreachablePeriod, now_ms: int
    ) -> dict[str, int]:
        """Return other VMs' reports on an unreachable period, for logs.

        :param period: the unreachable period
        :param now_ms: current time in ms
        """
        return self._reachability.describe(period.began_ms, now_ms)

    def _may_have_expired(
        self, period: UnreachablePeriod, now_ms: int
    ) -> bool:
        if period.compute_duration_ms(now_ms) < self._limits.min_outage_ms:
            return False
        if period.ended_ms is not None:
            return period.is_fleet_wide
        return self._reachability.is_fleet_wide(period.began_ms, now_ms)

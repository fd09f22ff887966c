"""Tells entries that lapsed in an outage of the store from those that left.

Servers renew their entries in the store.  While the store is away none can,
and it drops those that it has not heard of for some heartbeats, although the
servers live.  A server that leaves has its entry removed in the same way.
"""

from mulberryway.policy import store_reachability

__all__ = ["UnreachablePeriod", "MassExpiryDetector", "RegistrationLimits"]

# An entry lapses when it was not renewed for so many heartbeats.
LAPSE_BEATS = 3
# After an outage servers that live renew their entries within so long.
REREGISTRATION_MS = 2_100
# In an outage that is long enough for one entry to lapse, most do; servers
# that leave do so a few at a time.
LAPSE_PART = 0.5
# Without an outage that was noticed, so many at once are a lapse at least.
LEAST_LAPSE = 3
# Of the time for which a server serves on after it has left; the rest is for
# noticing the removal and for requests that were chosen just before.
DRAIN_PART = 0.75


class RegistrationLimits:
    """What the operators promise of servers' entries.

    :param heartbeat_ms: how often a server renews its entry
    :param drain_ms: how long a server that leaves serves on
    """

    __slots__ = ("heartbeat_ms", "drain_ms")

    def __init__(
        self, heartbeat_ms: int = 1_000, drain_ms: int = 2_000
    ) -> None:
        self.heartbeat_ms = heartbeat_ms
        self.drain_ms = drain_ms

    @property
    def min_outage_ms(self) -> int:
        """The shortest absence of the store in which an entry can lapse."""
        return (LAPSE_BEATS - 1) * self.heartbeat_ms

    @property
    def max_retention_ms(self) -> int:
        """How long a removed entry may count at most without an outage."""
        return int(self.drain_ms * DRAIN_PART)


class UnreachablePeriod:
    """A span in which the store did not answer this VM.

    It says nothing of the reason: the store may be down, refuse this VM, or
    have lost one connection.

    :param began_ms: since when the store may have been away
    :param reason: how the first call failed
    """

    __slots__ = ("began_ms", "reason", "ended_ms", "is_fleet_wide")

    def __init__(self, began_ms: int, reason: str) -> None:
        self.began_ms = began_ms
        self.reason = reason
        self.ended_ms: int | None = None
        self.is_fleet_wide = False

    def compute_duration_ms(self, now_ms: int) -> int:
        """Return how long it lasted so far.

        :param now_ms: the present
        """
        ended_ms = now_ms if self.ended_ms is None else self.ended_ms
        return ended_ms - self.began_ms

    def is_recent(self, now_ms: int) -> bool:
        """Tell whether entries that lapsed in it may still be missing.

        :param now_ms: the present
        """
        return (
            self.ended_ms is None or now_ms - self.ended_ms < REREGISTRATION_MS
        )


class MassExpiryDetector:
    """Decides whether removed entries still count, and for how long.

    A VM that took its own trouble for an outage (refusals, a cut watch) would
    send requests to servers that have left.  So a lapse needs an absence that
    is long enough for one, that every VM which is heard has seen, and that
    took most entries away.

    :param limits: what the operators promise
    :param outages_: what other VMs tell of the store
    """

    __slots__ = ("_limits", "_outages", "_absence", "_removed")

    def __init__(
        self,
        limits: RegistrationLimits,
        outages_: store_reachability.StoreReachability,
    ) -> None:
        self._limits = limits
        self._outages = outages_
        self._absence: UnreachablePeriod | None = None
        # Names that were removed since the absence began, also those that
        # have come back.
        self._removed: set[str] = set()

    def record_failure(self, began_ms: int, reason: str) -> None:
        """Tell that the store could not be asked.

        :param began_ms: since when it may have been away: the moment of a
            refusal, or the beginning of a call that was not answered
        :param reason: how the call failed
        """
        if self._absence is None or self._absence.ended_ms is not None:
            self._absence = UnreachablePeriod(began_ms, reason)
            self._removed.clear()

    def record_response(self, now_ms: int) -> None:
        """Tell that the store has answered.

        :param now_ms: the present
        """
        absence = self._absence
        if absence is None or absence.ended_ms is not None:
            return
        absence.ended_ms = now_ms
        absence.is_fleet_wide = self._outages.is_fleet_wide(
            absence.began_ms, now_ms
        )

    def find_unreachable_period(self, now_ms: int) -> UnreachablePeriod | None:
        """Return the absence by which removals are judged now, or none.

        :param now_ms: the present
        """
        absence = self._absence
        if absence is None or not absence.is_recent(now_ms):
            return None
        return absence

    def judge(
        self,
        removed: set[str],
        left: set[str],
        is_one_answer: bool,
        now_ms: int,
    ) -> int | None:
        """Decide about entries that are gone from the store.

        :param removed: names of those that went now
        :param left: names of those that are there
        :param is_one_answer: whether they went since the last answer of a
            watch; a listing or a copy may cover a longer time
        :param now_ms: the present
        :returns: until when all that went since the absence began count; none
            if the removals count at once
        """
        absence = self.find_unreachable_period(now_ms)
        if absence is None:
            most = max((len(left) + len(removed)) * LAPSE_PART, LEAST_LAPSE)
            if not is_one_answer or len(removed) < most:
                return None
            return now_ms + self._limits.max_retention_ms
        self._removed |= removed
        if not self._may_have_lapsed(absence, now_ms):
            return None
        if len(self._removed) < len(self._removed | left) * LAPSE_PART:
            return None
        ended_ms = now_ms if absence.ended_ms is None else absence.ended_ms
        return ended_ms + REREGISTRATION_MS

    def describe_peers(
        self, absence: UnreachablePeriod, now_ms: int
    ) -> dict[str, int]:
        """Return what other VMs tell of an absence, for logs.

        :param absence: the absence
        :param now_ms: the present
        """
        return self._outages.describe(absence.began_ms, now_ms)

    def _may_have_lapsed(
        self, absence: UnreachablePeriod, now_ms: int
    ) -> bool:
        if absence.compute_duration_ms(now_ms) < self._limits.min_outage_ms:
            return False
        if absence.ended_ms is not None:
            return absence.is_fleet_wide
        return self._outages.is_fleet_wide(absence.began_ms, now_ms)

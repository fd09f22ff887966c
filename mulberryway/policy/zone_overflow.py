"""Decides when requests may leave their availability zone, and how many."""

import collections.abc
import math

__all__ = [
    "MARGIN_MS",
    "ROUND_TRIP_MS",
    "ServerOption",
    "ZoneChange",
    "ZoneOverflow",
]

# Additional round-trip time to another zone if none is configured.
ROUND_TRIP_MS = 2.0
# How much sooner another zone has to answer, beyond the round trip, if no
# other margin is configured.
MARGIN_MS = 3.0
# A request that waits at home for as long as it would be served elsewhere
# leaves at the latest; smaller differences are within the estimates' error.
MARGIN_FRACTION = 1.0
# Once requests leave, they do until the advantage is below this fraction of
# the margin.
HYSTERESIS_FRACTION = 0.5
# Loads of servers are some hundred milliseconds old.  Requests that stay in an
# overloaded zone are late, those that return later than necessary cost only
# the distance.
RISE_PER_S = 8.0
FALL_PER_S = 0.25
# Bounds the change after a time without requests.
MAX_ELAPSED_MS = 500
MS_IN_S = 1_000
# Requests without a usable server in their zone may be retries at other
# servers; only after this time the zone has none.
NO_SERVER_MS = 500
# Bounds the reports of changes for each pool.
REPORT_INTERVAL_MS = 10_000


class ServerOption:
    """A server that may be chosen for a request.

    :param name: the server's name
    :param zone: its availability zone
    :param wait_ms: expected time until it has answered, without the distance,
        in milliseconds
    :param free: requests of all VMs that it can run at once beyond those that
        it has; negative by the number that would have to wait
    """

    __slots__ = ("name", "zone", "wait_ms", "free")

    def __init__(
        self, name: str, zone: str, wait_ms: float, free: float
    ) -> None:
        self.name = name
        self.zone = zone
        self.wait_ms = wait_ms
        self.free = free

    def is_valid(self) -> bool:
        """Return whether the load can be used."""
        try:
            return math.isfinite(self.free) and 0 <= self.wait_ms < math.inf
        except TypeError:
            return False


class ZoneChange:
    """What an operator should hear of a pool.

    :param pool: the pool's name
    :param share: the fraction of its requests that may leave the zone
    :param local_ms: expected wait in the zone, in milliseconds; none if the
        zone has no usable server
    :param remote_ms: expected wait in other zones with the distance, in
        milliseconds; none if it did not matter
    """

    __slots__ = ("pool", "share", "local_ms", "remote_ms")

    def __init__(
        self,
        pool: str,
        share: float,
        local_ms: float | None,
        remote_ms: float | None,
    ) -> None:
        self.pool = pool
        self.share = share
        self.local_ms = local_ms
        self.remote_ms = remote_ms


class _PoolShare:
    """The share of a pool's requests that may leave the zone."""

    __slots__ = (
        "share",
        "released",
        "without_server_ms",
        "_updated_ms",
        "_was_leaving",
        "_reported_ms",
    )

    def __init__(self, now_ms: int) -> None:
        self.share = 0.0
        # Requests that might leave the zone.
        self.released = 0
        # Since when the zone has had no usable server; none if it has one.
        self.without_server_ms: int | None = None
        self._updated_ms = now_ms - MAX_ELAPSED_MS
        self._was_leaving = False
        self._reported_ms: int | None = None

    def update(
        self, advantage_ms: float, margin_ms: float, now_ms: int
    ) -> None:
        """Raise or lower the share at a bounded rate.

        :param advantage_ms: how much sooner other zones are, in milliseconds
        :param margin_ms: how much sooner they have to be, in milliseconds
        :param now_ms: current time in milliseconds
        """
        elapsed_ms = max(now_ms - self._updated_ms, 0)
        elapsed_s = min(elapsed_ms, MAX_ELAPSED_MS) / MS_IN_S
        self._updated_ms = max(now_ms, self._updated_ms)
        if self.share:
            margin_ms *= HYSTERESIS_FRACTION
        if advantage_ms > margin_ms:
            self.share = min(self.share + elapsed_s * RISE_PER_S, 1.0)
        else:
            self.share = max(self.share - elapsed_s * FALL_PER_S, 0.0)

    def must_report(self, is_leaving: bool, now_ms: int) -> bool:
        """Return whether a change is reported now, and note that it is."""
        if is_leaving == self._was_leaving or (
            self._reported_ms is not None
            and now_ms - self._reported_ms < REPORT_INTERVAL_MS
        ):
            return False
        self._was_leaving, self._reported_ms = is_leaving, now_ms
        return True


class ZoneOverflow:
    """Restricts requests to their zone; not thread-safe.

    :param zone: the availability zone of this VM; empty to restrict nothing
    :param round_trip_ms: additional round-trip time to another zone, in
        milliseconds
    :param margin_ms: how much sooner, beyond that, another zone has to answer
        before requests leave, in milliseconds
    """

    __slots__ = (
        "_zone",
        "_round_trip_ms",
        "_margin_ms",
        "_pools",
        "on_change",
        "on_invalid",
    )

    def __init__(
        self,
        zone: str,
        round_trip_ms: float = ROUND_TRIP_MS,
        margin_ms: float = MARGIN_MS,
    ) -> None:
        self._zone = zone
        self._round_trip_ms = round_trip_ms
        self._margin_ms = margin_ms
        self._pools: dict[str, _PoolShare] = {}
        # Called when a pool starts or stops leaving the zone, at a bounded
        # rate, and for each server whose load cannot be used.
        self.on_change: collections.abc.Callable[[ZoneChange], None] = (
            lambda change: None
        )
        self.on_invalid: collections.abc.Callable[
            [str, ServerOption, int], None
        ] = lambda pool, option, now_ms: None

    def restrict(
        self,
        pool: str,
        options: collections.abc.Sequence[ServerOption],
        draw: float,
        now_ms: int,
    ) -> collections.abc.Sequence[ServerOption]:
        """Return the servers among which a request may choose.

        The choice among servers of several zones is left to the caller, who
        spreads requests over them by their loads.

        :param pool: the pool's name
        :param options: the usable servers; not empty
        :param draw: a random number, at least 0 and below 1
        :param now_ms: current time in milliseconds
        :returns: the servers of this VM's zone, or all; not empty
        """
        home = [option for option in options if option.zone == self._zone]
        if not self._zone or len(home) == len(options):
            return options
        state = self._pools.get(pool)
        if state is None:
            state = self._pools[pool] = _PoolShare(now_ms)
        if not home:
            self._record_no_server(pool, state, now_ms)
            return options
        state.without_server_ms = None
        if self._check(pool, options, now_ms):
            self._update(pool, state, home, options, now_ms)
        if draw >= state.share:
            return home
        state.released += 1
        return options

    def list_shares(self) -> list[tuple[str, float]]:
        """Return the share that may leave the zone by pool."""
        return [
            (pool, 1.0 if state.without_server_ms is not None else state.share)
            for pool, state in list(self._pools.items())
        ]

    def list_released(self) -> list[tuple[str, int]]:
        """Return how many requests might leave the zone by pool."""
        return [
            (pool, state.released) for pool, state in list(self._pools.items())
        ]

    def _record_no_server(
        self, pool: str, state: _PoolShare, now_ms: int
    ) -> None:
        state.released += 1
        if state.without_server_ms is None:
            state.without_server_ms = now_ms
        elif now_ms - state.without_server_ms >= NO_SERVER_MS:
            self._report(ZoneChange(pool, 1.0, None, None), state, now_ms)

    def _update(
        self,
        pool: str,
        state: _PoolShare,
        home: list[ServerOption],
        options: collections.abc.Sequence[ServerOption],
        now_ms: int,
    ) -> None:
        local_ms = min(option.wait_ms for option in home)
        served_ms = min(
            option.wait_ms for option in options if option.zone != self._zone
        )
        remote_ms = served_ms + self._round_trip_ms
        margin_ms = max(self._margin_ms, MARGIN_FRACTION * served_ms)
        state.update(local_ms - remote_ms, margin_ms, now_ms)
        change = ZoneChange(pool, state.share, local_ms, remote_ms)
        self._report(change, state, now_ms)

    def _check(
        self,
        pool: str,
        options: collections.abc.Sequence[ServerOption],
        now_ms: int,
    ) -> bool:
        """Return whether all loads are valid."""
        invalid = [option for option in options if not option.is_valid()]
        for option in invalid:
            self.on_invalid(pool, option, now_ms)
        return not invalid

    def _report(
        self, change: ZoneChange, state: _PoolShare, now_ms: int
    ) -> None:
        if state.must_report(change.share > 0, now_ms):
            self.on_change(change)

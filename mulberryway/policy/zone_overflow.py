"""Decides when requests leave their availability zone, and how many do."""

import collections.abc
import itertools
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
# Once requests leave, they do until the advantage is below this fraction of
# the margin.
HYSTERESIS_FRACTION = 0.5
# Loads of servers are some hundred milliseconds old, so a share that changed
# faster would follow its own effects.  A return that is too early makes
# requests late, a late one costs only the distance.
MAX_RISE_PER_S = 1.0
MAX_FALL_PER_S = 0.5
# Bounds the change after a time without requests.
MAX_ELAPSED_MS = 500
MS_IN_S = 1_000
# A server that is slow although it has free capacity does not become faster by
# fewer requests.  While that lasts, the share grows at this rate towards 1,
# and afterwards it falls at the other.
SLOW_RISE_PER_S = 2.0
SLOW_FALL_PER_S = 1.0
# The remaining requests show whether the zone's servers have recovered.
MAX_SHARE = 0.97
# When the other zones are found full, at most once in this time, the share is
# limited to this fraction of itself; the limit then grows at this rate, so
# that their own requests find room.
FULL_INTERVAL_MS = 300
FULL_FRACTION = 0.5
LIMIT_RISE_PER_S = 0.5
# Free capacity of each server that is left to the requests of its own zone.
RESERVED_REQUESTS = 1.0
MIN_WAIT_MS = 1.0
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
    :param share: the fraction of its requests that leave the zone
    :param local_ms: expected wait in the zone, in milliseconds; none if the
        zone has no usable server
    :param remote_ms: expected wait in other zones with the distance, in
        milliseconds; none if they have no free capacity
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


class _Capacity:
    """What a group of servers can take.

    :param options: the servers
    :param reserved: free capacity of each that is not counted
    """

    __slots__ = ("room", "rate", "min_wait_ms")

    def __init__(
        self,
        options: collections.abc.Iterable[ServerOption],
        reserved: float = 0.0,
    ) -> None:
        loads = [
            (max(option.wait_ms, MIN_WAIT_MS), option.free)
            for option in options
            if option.is_valid()
        ]
        rooms = [max(free - reserved, 0.0) for _, free in loads]
        self.room = sum(rooms)
        # Requests that can be run per millisecond with the free capacity.
        self.rate = sum(
            room / wait_ms
            for room, (wait_ms, _) in zip(rooms, loads, strict=True)
        )
        self.min_wait_ms = min(
            (wait_ms for wait_ms, _ in loads), default=math.inf
        )

    def get_wait_ms(self) -> float:
        """Return the mean wait of requests that are spread by rate."""
        return self.room / self.rate if self.rate else self.min_wait_ms


class _PoolShare:
    """The share of a pool's requests that leave the zone."""

    __slots__ = (
        "share",
        "updated_ms",
        "_slow_part",
        "_limit",
        "_limited_ms",
        "left",
        "without_server_ms",
        "was_leaving",
        "reported_ms",
    )

    def __init__(self, now_ms: int) -> None:
        self.share = 0.0
        self.updated_ms = now_ms - MAX_ELAPSED_MS
        # The part of the share that does not depend on what waits at home.
        self._slow_part = 0.0
        self._limit = MAX_SHARE
        self._limited_ms = now_ms - FULL_INTERVAL_MS
        self.left = 0
        # Since when the zone has had no usable server; none if it has one.
        self.without_server_ms: int | None = None
        self.was_leaving = False
        self.reported_ms: int | None = None

    def update(
        self, excess: float, has_room: bool, is_full: bool, now_ms: int
    ) -> None:
        """Move the share, at a bounded rate, to where it evens out the waits.

        :param excess: by which fraction of the wait in the zone other zones
            are sooner; not positive if they are not
        :param has_room: whether the zone has free capacity
        :param is_full: whether the other zones have none
        :param now_ms: current time in milliseconds
        """
        elapsed_ms = max(now_ms - self.updated_ms, 0)
        elapsed_s = min(elapsed_ms, MAX_ELAPSED_MS) / MS_IN_S
        self.updated_ms = max(now_ms, self.updated_ms)
        if excess <= 0:
            self._slow_part -= elapsed_s * SLOW_FALL_PER_S
        elif has_room:
            self._slow_part += elapsed_s * SLOW_RISE_PER_S * excess
        self._slow_part = min(max(self._slow_part, 0.0), MAX_SHARE)
        self._update_limit(is_full, elapsed_s, now_ms)
        goal = 1.0 - (1.0 - self._slow_part) * (1.0 - max(excess, 0.0))
        lowest = self.share - elapsed_s * MAX_FALL_PER_S
        highest = self.share + elapsed_s * MAX_RISE_PER_S
        self.share = min(max(goal, lowest), highest, self._limit)

    def _update_limit(
        self, is_full: bool, elapsed_s: float, now_ms: int
    ) -> None:
        if not is_full:
            raised = self._limit + elapsed_s * LIMIT_RISE_PER_S
            self._limit = min(raised, MAX_SHARE)
        elif self.share and now_ms - self._limited_ms >= FULL_INTERVAL_MS:
            self._limit = self.share * FULL_FRACTION
            self._limited_ms = now_ms

    def must_report(self, is_leaving: bool, now_ms: int) -> bool:
        """Return whether a change is reported now, and note that it is."""
        if is_leaving == self.was_leaving or (
            self.reported_ms is not None
            and now_ms - self.reported_ms < REPORT_INTERVAL_MS
        ):
            return False
        self.was_leaving, self.reported_ms = is_leaving, now_ms
        return True


class ZoneOverflow:
    """Restricts requests to zones; not thread-safe.

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

        :param pool: the pool's name
        :param options: the usable servers; not empty
        :param draw: a random number, at least 0 and below 1
        :param now_ms: current time in milliseconds
        :returns: the servers of one zone, or all if this VM has no zone; not
            empty
        """
        zones: dict[str, list[ServerOption]] = {}
        for option in options:
            zones.setdefault(option.zone, []).append(option)
        if not self._zone or zones.keys() <= {self._zone}:
            return options
        state = self._pools.get(pool)
        if state is None:
            state = self._pools[pool] = _PoolShare(now_ms)
        home = zones.pop(self._zone, None)
        if home is None:
            return self._restrict_without_home(
                pool, state, zones, draw, now_ms
            )
        state.without_server_ms = None
        remote = {
            zone: _Capacity(servers, RESERVED_REQUESTS)
            for zone, servers in zones.items()
        }
        if self._check(pool, options, now_ms):
            self._update(pool, state, home, remote.values(), now_ms)
        if draw >= state.share or not any(
            capacity.room for capacity in remote.values()
        ):
            return home
        state.left += 1
        rates = {zone: capacity.rate for zone, capacity in remote.items()}
        return zones[_draw_zone(rates, draw / state.share)]

    def list_shares(self) -> list[tuple[str, float]]:
        """Return the share that leaves the zone by pool."""
        return [
            (pool, 1.0 if state.without_server_ms is not None else state.share)
            for pool, state in list(self._pools.items())
        ]

    def list_left(self) -> list[tuple[str, int]]:
        """Return how many requests have left the zone by pool."""
        return [
            (pool, state.left) for pool, state in list(self._pools.items())
        ]

    def _restrict_without_home(
        self,
        pool: str,
        state: _PoolShare,
        zones: dict[str, list[ServerOption]],
        draw: float,
        now_ms: int,
    ) -> list[ServerOption]:
        state.left += 1
        if state.without_server_ms is None:
            state.without_server_ms = now_ms
        elif now_ms - state.without_server_ms >= NO_SERVER_MS:
            self._report(pool, state, 1.0, None, None, now_ms)
        capacities = {
            zone: _Capacity(servers) for zone, servers in zones.items()
        }
        rates = {zone: item.rate for zone, item in capacities.items()}
        if not any(rates.values()):
            rates = {
                zone: 1.0 / item.min_wait_ms
                for zone, item in capacities.items()
            }
        return zones[_draw_zone(rates, draw)]

    def _update(
        self,
        pool: str,
        state: _PoolShare,
        home: list[ServerOption],
        remote: collections.abc.Collection[_Capacity],
        now_ms: int,
    ) -> None:
        local = _Capacity(home)
        local_ms = local.get_wait_ms()
        room = sum(capacity.room for capacity in remote)
        rate = sum(capacity.rate for capacity in remote)
        remote_ms = room / rate + self._round_trip_ms if room else None
        excess = 0.0
        if remote_ms is not None:
            margin_ms = self._margin_ms
            if state.share > 0:
                margin_ms *= HYSTERESIS_FRACTION
            excess = 1.0 - (remote_ms + margin_ms) / local_ms
        state.update(excess, local.room > 0, not room, now_ms)
        self._report(pool, state, state.share, local_ms, remote_ms, now_ms)

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
        self,
        pool: str,
        state: _PoolShare,
        share: float,
        local_ms: float | None,
        remote_ms: float | None,
        now_ms: int,
    ) -> None:
        if state.must_report(share > 0, now_ms):
            self.on_change(ZoneChange(pool, share, local_ms, remote_ms))


def _draw_zone(rates: collections.abc.Mapping[str, float], draw: float) -> str:
    """Return a zone with a probability in proportion to its rate.

    :param rates: rates by zone; not empty
    :param draw: a random number, at least 0 and below 1
    """
    names = list(rates)
    bounds = list(itertools.accumulate(rates.values()))
    point = draw * bounds[-1]
    return next(
        (
            name
            for name, bound in zip(names, bounds, strict=True)
            if point < bound
        ),
        names[-1],
    )

"""Selects the server of a non-model service for a call; without I/O."""

import enum
import random
import statistics

from mulberryway import tables
from mulberryway.policy import call_admission
from mulberryway.policy import call_spread
from mulberryway.policy import cold_start
from mulberryway.policy import health
from mulberryway.policy import send_limits
from mulberryway.policy import server_estimates
from mulberryway.policy import server_load_book
from mulberryway.policy import zone_overflow

__all__ = ["CallOutcome", "ServerSelector", "list_usable_servers"]

# The design load is some hundred short calls per second to three to seven
# servers.  A server that refused a connection is in backoff for this long.
# Without backoff every call would first wait for a failed connection, and a
# longer one would leave a restarted server idle.
UNREACHED_BACKOFF_MS = 2_000
# Additional round-trip time of a call to another zone.
CROSS_ZONE_MS = 2.0
# A server that fails calls immediately looks idle and would attract more of
# them.  A failure rate above the pool's median therefore adds to its estimated
# time; the margin is the random deviation of the mean of about ten calls.
FAILURE_MARGIN = 0.15
FAILURE_MS = 1_000.0
FAILURE_SMOOTHING = 0.1
# A failure rate decays to zero over this time without calls, so a recovered
# server is tried again after some seconds.
FAILURE_DECAY_MS = 10_000


def list_usable_servers(
    pool: tables.Pool,
    excluded: frozenset[str],
    required_version: str | None = None,
) -> list[tables.Upstream]:
    """Return the servers that may be chosen for a call.

    :param pool: the pool
    :param excluded: names of servers at which this call failed
    :param required_version: the only software version that may run the call;
        none for any
    :returns: the servers that are neither draining nor excluded
    """
    return [
        upstream
        for upstream in pool.upstreams
        if not upstream.leaving
        and upstream.name not in excluded
        and required_version in (None, upstream.version)
    ]


class CallOutcome(enum.Enum):
    """The outcome of a call to a server."""

    DONE = "done"
    FAILED = "failed"
    # The server turned the call away without running it.
    REJECTED = "rejected"
    UNREACHED = "unreached"
    NO_VERDICT = "no_verdict"


class _Server:
    """This VM's own observations of one server."""

    __slots__ = (
        "in_flight",
        "latency",
        "failures",
        "updated_ms",
        "backoff_until_ms",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency = health.Ewma(server_estimates.INITIAL_CALL_MS)
        self.failures = health.Ewma(0.0, FAILURE_SMOOTHING)
        self.updated_ms = 0
        self.backoff_until_ms = 0

    def get_failure_rate(self, now_ms: int) -> float:
        age_ms = max(now_ms - self.updated_ms, 0)
        return self.failures.value * max(1.0 - age_ms / FAILURE_DECAY_MS, 0.0)


class ServerSelector:
    """Chooses the server that will probably respond first.

    While other VMs report their calls, it chooses by the calls of all VMs;
    else by those of this VM.  It is not thread-safe; callers hold a lock.

    :param zone: the zone of this VM
    :param shares: this VM's shares of limits over all VMs
    :param cold_limits: what operators allow cold servers to get
    :param limits: further limits of requests to servers; none by default
    :param book: the calls of all VMs; none to know only those of this VM
    :param zones: decides when calls leave their zone; by default their zone
        counts only as a distance
    :param random_: spreads the calls of VMs that know the same
    """

    __slots__ = (
        "_book",
        "_zones",
        "_random",
        "_mixes",
        "_zone",
        "_servers",
        "_shares",
        "_cold_limits",
        "_cold_starts",
        "_limits",
    )

    def __init__(
        self,
        zone: str,
        shares: cold_start.FleetShares | None = None,
        cold_limits: cold_start.ColdStartLimits | None = None,
        limits: send_limits.SendLimits | None = None,
        book: server_load_book.ServerLoadBook | None = None,
        zones: zone_overflow.ZoneOverflow | None = None,
        random_: random.Random | None = None,
    ) -> None:
        self._zone = zone
        self._book = book or server_load_book.ServerLoadBook("", 0)
        self._zones = zones or zone_overflow.ZoneOverflow("")
        self._random = random_ or random.Random()
        self._mixes: dict[str, call_admission.RankMix] = {}
        self._limits = limits
        self._shares = shares or cold_start.FleetShares("")
        self._cold_limits = cold_limits or cold_start.ColdStartLimits()
        # By pool name, with the row that was applied last.
        self._cold_starts: dict[
            str, tuple[tables.Pool, cold_start.ColdStartLimiter]
        ] = {}
        self._servers: dict[tuple[str, str], _Server] = {}

    def choose(
        self,
        pool: tables.Pool,
        excluded: frozenset[str],
        now_ms: int,
        required_version: str | None = None,
    ) -> tables.Upstream | None:
        """Choose a server and count a call to it.

        :param pool: the pool
        :param excluded: names of servers at which this call failed
        :param now_ms: current time in milliseconds
        :param required_version: see :func:`list_usable_servers`
        :returns: the server, or none if all are draining or excluded, or have
            got the requests that they may get now
        """
        limits = self._find_limits(pool, now_ms)
        usable = [
            upstream
            for upstream in list_usable_servers(
                pool, excluded, required_version
            )
            if limits.has_room(upstream.name, now_ms)
        ]
        if not usable:
            return None
        self._remove_deregistered(pool)
        if self._is_load_shared(pool, now_ms):
            chosen = self._choose_by_fleet(pool, usable, now_ms)
        else:
            chosen = self._choose_alone(pool, usable, now_ms)
        self._book.begin(pool.name, chosen.name, now_ms)
        self._find(pool, chosen).in_flight += 1
        limits.try_send(chosen.name, now_ms)
        return chosen

    def admit(
        self,
        pool: tables.Pool,
        needs: call_admission.CallNeeds,
        now_ms: int,
    ) -> int | None:
        """Decide whether a call may wait for a server.

        :param pool: the pool
        :param needs: what the caller can use
        :param now_ms: current time in milliseconds
        :returns: none if it may; else when it may come back, in milliseconds
        """
        mix = self._mixes.setdefault(pool.name, call_admission.RankMix())
        mix.record(needs.rank)
        news_age_ms = self._book.get_news_age_ms(now_ms)
        if news_age_ms is None or (
            news_age_ms > call_admission.MAX_NEWS_AGE_MS
        ):
            return None
        servers = self._list_admitting(pool, now_ms)
        if not servers:
            return None
        traffic = self._book.get_traffic(pool.name, now_ms)
        fraction = call_admission.compute_fraction(servers, needs, traffic)
        if fraction >= 1.0:
            return None
        draws = random.Random(needs.key)
        if draws.random() < mix.compute_part(needs.rank, fraction):
            return None
        self._book.record_refusal(pool.name, needs.rank, now_ms)
        return call_admission.compute_retry_ms(
            servers, fraction, traffic, draws.random()
        )

    def get_duration_ms(
        self, pool: tables.Pool, upstream: tables.Upstream, now_ms: int
    ) -> float | None:
        """Return the expected duration of a call, in milliseconds.

        :param pool: the pool
        :param upstream: the server
        :param now_ms: current time in milliseconds
        :returns: none until some calls have ended
        """
        estimate = self._book.get_estimate(
            pool.name, upstream.name, upstream.slots
        )
        if not estimate.has_samples:
            return None
        return self._make_state(pool, upstream, now_ms).wait_ms

    def get_wait_ms(self, pool: tables.Pool, now_ms: int) -> int:
        """Return the time until a server may be chosen, in ms.

        :param pool: the pool
        :param now_ms: current time in milliseconds
        :returns: 0 if one may be chosen now, or if the time is unknown
        """
        limits = self._find_limits(pool, now_ms)
        return min(
            (
                limits.get_wait_ms(upstream.name, now_ms)
                for upstream in list_usable_servers(pool, frozenset())
            ),
            default=0,
        )

    def finish(
        self,
        pool: tables.Pool,
        upstream: tables.Upstream,
        outcome: CallOutcome,
        took_ms: int,
        now_ms: int,
    ) -> None:
        """Record the outcome of a call.

        :param pool: the pool
        :param upstream: the server
        :param outcome: the outcome
        :param took_ms: the call's duration in milliseconds
        :param now_ms: current time in milliseconds
        """
        server = self._find(pool, upstream)
        server.in_flight = max(server.in_flight - 1, 0)
        self._book.finish(
            pool.name,
            upstream.name,
            took_ms if outcome is CallOutcome.DONE else None,
            outcome is CallOutcome.REJECTED,
            now_ms,
        )
        if outcome is CallOutcome.NO_VERDICT:
            return
        if outcome is CallOutcome.UNREACHED:
            server.backoff_until_ms = now_ms + UNREACHED_BACKOFF_MS
            if pool.name in self._cold_starts:
                _, limiter = self._cold_starts[pool.name]
                limiter.expect_restart(upstream.name, server.backoff_until_ms)
            return
        server.backoff_until_ms = 0
        server.updated_ms = now_ms
        server.failures.note(0.0 if outcome is CallOutcome.DONE else 1.0)
        if outcome is CallOutcome.DONE:
            server.latency.note(took_ms)

    def _is_load_shared(self, pool: tables.Pool, now_ms: int) -> bool:
        return (
            len(pool.upstreams) > 1
            and self._book.get_news_age_ms(now_ms) is not None
        )

    def _list_admitting(
        self, pool: tables.Pool, now_ms: int
    ) -> list[call_spread.ServerState]:
        """Return the servers that count for admission.

        :returns: none if the pool has a single server, or if the capacity of
            one that is in use is unknown
        """
        usable = self._list_reachable(
            pool, list_usable_servers(pool, frozenset()), now_ms
        )
        are_known = all(
            self._book.get_estimate(
                pool.name, upstream.name, upstream.slots
            ).is_capacity_known
            for upstream in usable
        )
        if len(pool.upstreams) < 2 or not are_known:
            return []
        return [
            self._make_state(pool, upstream, now_ms) for upstream in usable
        ]

    def _list_reachable(
        self,
        pool: tables.Pool,
        usable: list[tables.Upstream],
        now_ms: int,
    ) -> list[tables.Upstream]:
        """Return the servers that are not in backoff, or all if none."""
        return [
            upstream
            for upstream in usable
            if self._find(pool, upstream).backoff_until_ms <= now_ms
        ] or usable

    def _make_state(
        self,
        pool: tables.Pool,
        upstream: tables.Upstream,
        now_ms: int,
        extra_ms: float = 0.0,
    ) -> call_spread.ServerState:
        estimate = self._book.get_estimate(
            pool.name, upstream.name, upstream.slots
        )
        return call_spread.ServerState(
            upstream.name,
            self._book.count_in_flight(pool.name, upstream.name, now_ms),
            estimate.concurrency,
            estimate.get_service_ms(now_ms),
            extra_ms,
        )

    def _choose_by_fleet(
        self,
        pool: tables.Pool,
        usable: list[tables.Upstream],
        now_ms: int,
    ) -> tables.Upstream:
        """Choose by the calls of all VMs."""
        median_rate = self._compute_median_rate(pool, usable, now_ms)
        by_name = {
            upstream.name: (
                upstream,
                self._make_state(
                    pool,
                    upstream,
                    now_ms,
                    self._compute_failure_ms(
                        pool, upstream, median_rate, now_ms
                    )
                    + self._book.get_estimate(
                        pool.name, upstream.name
                    ).get_rejection_ms(now_ms),
                ),
            )
            for upstream in self._list_reachable(pool, usable, now_ms)
        }
        options = [
            zone_overflow.ServerOption(
                name,
                upstream.zone,
                state.wait_ms + state.extra_ms,
                state.free,
            )
            for name, (upstream, state) in by_name.items()
        ]
        allowed = self._zones.restrict(
            pool.name, options, self._random.random(), now_ms
        )
        for upstream, state in by_name.values():
            state.extra_ms += self._get_distance_ms(upstream)
        traffic = self._book.get_traffic(pool.name, now_ms)
        shares = call_spread.compute_shares(
            [by_name[option.name][1] for option in allowed],
            traffic.calls,
            traffic.horizon_ms,
        )
        name = call_spread.choose(shares, self._random.random())
        return by_name[name][0]

    def _choose_alone(
        self,
        pool: tables.Pool,
        usable: list[tables.Upstream],
        now_ms: int,
    ) -> tables.Upstream:
        """Choose by the calls of this VM."""
        median_rate = self._compute_median_rate(pool, usable, now_ms)
        return min(
            usable,
            key=lambda upstream: self._rank(
                pool, upstream, median_rate, now_ms
            ),
        )

    def _compute_median_rate(
        self,
        pool: tables.Pool,
        usable: list[tables.Upstream],
        now_ms: int,
    ) -> float:
        return statistics.median(
            self._find(pool, upstream).get_failure_rate(now_ms)
            for upstream in usable
        )

    def _compute_failure_ms(
        self,
        pool: tables.Pool,
        upstream: tables.Upstream,
        median_rate: float,
        now_ms: int,
    ) -> float:
        """Return the cost of failures, in milliseconds."""
        server = self._find(pool, upstream)
        excess = server.get_failure_rate(now_ms) - median_rate - FAILURE_MARGIN
        return max(excess, 0.0) * FAILURE_MS

    def _get_distance_ms(self, upstream: tables.Upstream) -> float:
        return 0.0 if upstream.zone == self._zone else CROSS_ZONE_MS

    def _find(self, pool: tables.Pool, upstream: tables.Upstream) -> _Server:
        return self._servers.setdefault((pool.name, upstream.name), _Server())

    def _find_limits(
        self, pool: tables.Pool, now_ms: int
    ) -> send_limits.SendLimits:
        cold_starts = self._find_cold_starts(pool, now_ms)
        if self._limits is None:
            return cold_starts
        return send_limits.CombinedSendLimits((cold_starts, self._limits))

    def _find_cold_starts(
        self, pool: tables.Pool, now_ms: int
    ) -> cold_start.ColdStartLimiter:
        row, limiter = self._cold_starts.get(pool.name) or (
            None,
            cold_start.ColdStartLimiter(self._shares, self._cold_limits),
        )
        if row is not pool:
            limiter.update_pool(pool, now_ms)
            self._book.retain(
                pool.name, {upstream.name for upstream in pool.upstreams}
            )
            self._cold_starts[pool.name] = pool, limiter
        return limiter

    def _remove_deregistered(self, pool: tables.Pool) -> None:
        names = {upstream.name for upstream in pool.upstreams}
        removed = [
            key
            for key, server in self._servers.items()
            if key[0] == pool.name
            and key[1] not in names
            and not server.in_flight
        ]
        for key in removed:
            del self._servers[key]

    def _rank(
        self,
        pool: tables.Pool,
        upstream: tables.Upstream,
        median_rate: float,
        now_ms: int,
    ) -> tuple[bool, float, str]:
        server = self._find(pool, upstream)
        wait_ms = (server.in_flight + 1) * server.latency.value
        wait_ms += self._get_distance_ms(upstream)
        wait_ms += self._compute_failure_ms(
            pool, upstream, median_rate, now_ms
        )
        return (server.backoff_until_ms > now_ms, wait_ms, upstream.name)

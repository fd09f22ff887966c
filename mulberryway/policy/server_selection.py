"""Decides which server of a plain service gets a call; without I/O."""

import enum
import statistics

from mulberryway import tables
from mulberryway.policy import health

__all__ = ["CallOutcome", "ServerSelector"]

# The load this is made for: some hundred short calls a second to three to
# seven servers.  A server that refused a connection is passed over for so
# long: without it every call would pay the failed connection first, and a
# longer time would leave a restarted server idle.
UNREACHED_BACKOFF_MS = 2_000
# A call to another zone takes about two milliseconds more there and back.
CROSS_ZONE_MS = 2.0
# What a call is thought to take before any has ended.
INITIAL_CALL_MS = 60.0
# A server that fails calls at once looks idle and draws more of them.  One
# that fails clearly oftener than the pool's median counts as that much slower;
# the margin is what chance alone does to the mean of some ten calls.
FAILURE_MARGIN = 0.15
FAILURE_MS = 1_000.0
FAILURE_SMOOTHING = 0.1
# A server that was passed by gets better by itself, so that a mended one is
# tried again after some seconds.
FAILURE_DECAY_MS = 10_000


class CallOutcome(enum.Enum):
    """How a call to a server ended."""

    DONE = "done"
    FAILED = "failed"
    UNREACHED = "unreached"
    NO_VERDICT = "no_verdict"


class _Server:
    """What this VM has seen of one server."""

    __slots__ = (
        "in_flight",
        "latency",
        "failures",
        "updated_ms",
        "backoff_until_ms",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency = health.Ewma(INITIAL_CALL_MS)
        self.failures = health.Ewma(0.0, FAILURE_SMOOTHING)
        self.updated_ms = 0
        self.backoff_until_ms = 0

    def get_failure_rate(self, now_ms: int) -> float:
        age_ms = max(now_ms - self.updated_ms, 0)
        return self.failures.value * max(1.0 - age_ms / FAILURE_DECAY_MS, 0.0)


class ServerSelector:
    """Chooses the server that will probably answer first.

    It has no lock of its own.

    :param zone: the zone of this VM
    """

    __slots__ = ("_zone", "_servers")

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._servers: dict[tuple[str, str], _Server] = {}

    def choose(
        self, pool: tables.Pool, excluded: frozenset[str], now_ms: int
    ) -> tables.Upstream | None:
        """Choose a server and count a call to it.

        :param pool: the pool
        :param avoid: names of servers that failed this call
        :param now_ms: the present
        :returns: the server, or none if all are leaving or failed
        """
        usable = [
            upstream
            for upstream in pool.upstreams
            if not upstream.leaving and upstream.name not in excluded
        ]
        if not usable:
            return None
        self._remove_deregistered(pool)
        median_rate = statistics.median(
            self._find(pool, upstream).get_failure_rate(now_ms)
            for upstream in usable
        )
        chosen = min(
            usable,
            key=lambda upstream: self._rank(
                pool, upstream, median_rate, now_ms
            ),
        )
        self._find(pool, chosen).in_flight += 1
        return chosen

    def finish(
        self,
        pool: tables.Pool,
        upstream: tables.Upstream,
        outcome: CallOutcome,
        took_ms: int,
        now_ms: int,
    ) -> None:
        """Count a call's end.

        :param pool: the pool
        :param upstream: the server
        :param end: how it ended
        :param took_ms: how long it took
        :param now_ms: the present
        """
        server = self._find(pool, upstream)
        server.in_flight = max(server.in_flight - 1, 0)
        if outcome is CallOutcome.NO_VERDICT:
            return
        if outcome is CallOutcome.UNREACHED:
            server.backoff_until_ms = now_ms + UNREACHED_BACKOFF_MS
            return
        server.backoff_until_ms = 0
        server.updated_ms = now_ms
        server.failures.note(1.0 if outcome is CallOutcome.FAILED else 0.0)
        if outcome is CallOutcome.DONE:
            server.latency.note(took_ms)

    def _find(self, pool: tables.Pool, upstream: tables.Upstream) -> _Server:
        return self._servers.setdefault((pool.name, upstream.name), _Server())

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
        excess = server.get_failure_rate(now_ms) - median_rate - FAILURE_MARGIN
        wait_ms = (server.in_flight + 1) * server.latency.value
        if upstream.zone != self._zone:
            wait_ms += CROSS_ZONE_MS
        wait_ms += max(excess, 0.0) * FAILURE_MS
        return (server.backoff_until_ms > now_ms, wait_ms, upstream.name)

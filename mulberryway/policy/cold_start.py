"""Limits requests to servers that are cold, over all VMs; without I/O.

A server that has just started, or is about to serve again, is slow and may
crash if it gets requests at its usual rate.  The limit holds over all VMs
together, so each VM has a fixed share of it for each cold server.  Shares need
no messages, and they hold while VMs cannot reach one another.
"""

import hashlib

from mulberryway import tables
from mulberryway.objects import position
from mulberryway.policy import request_window
from mulberryway.policy import send_limits

__all__ = ["ColdStartLimiter", "ColdStartLimits", "FleetShares"]

WINDOW_MS = 1_000
# The rest of the limit covers VMs that others have not discovered yet.
SHARED_FRACTION = 0.8


class ColdStartLimits:
    """What operators allow beyond a cold server's rate.

    :param over_part: factor on the server's rate
    :param slack: requests per second in addition
    """

    __slots__ = ("over_part", "slack")

    def __init__(self, over_part: float = 1.0, slack: int = 0) -> None:
        self.over_part = over_part
        self.slack = slack

    def compute_limit(self, pool: tables.Pool) -> int | None:
        """Return the requests per second that a cold server may get.

        :param pool: the server's pool
        :returns: the limit over all VMs; none if there is none
        """
        if not pool.cold_requests_per_s:
            return None
        allowed = pool.cold_requests_per_s * self.over_part + self.slack
        return max(int(allowed * SHARED_FRACTION), 1)


class FleetShares:
    """This VM's share of a limit that holds over all VMs.

    :param vm: this VM's name

    ``vms`` holds the names of all known VMs, including dead ones, which may
    only be partitioned.  Until it is complete, ``is_complete`` is false and
    there is no share.  ``is_informed`` tells whether this VM would learn that
    a server has become cold.
    """

    __slots__ = ("vm", "vms", "is_complete", "is_informed")

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.vms: frozenset[str] = frozenset((vm,))
        self.is_complete = False
        self.is_informed = True

    def compute(self, limit: int, server: str) -> int:
        """Return this VM's share of a server's limit.

        The shares of all VMs add up to the limit.  What cannot be divided
        goes to the VMs that rank first for the server, so that different VMs
        have it for different servers (rendezvous hashing).

        :param limit: the limit over all VMs
        :param server: the server's name
        """
        if not self.is_complete:
            return 0
        share, rest = divmod(limit, len(self.vms))
        if not rest:
            return share
        return share + (self.rank(server) < rest)

    def rank(self, server: str) -> int:
        """Return this VM's place in the order of VMs for a server, from 0.

        :param server: the server's name
        """
        own = _hash(self.vm, server)
        return sum(_hash(vm, server) < own for vm in self.vms)


class _Server:
    """One server's state, and the times of this VM's requests to it."""

    __slots__ = ("position", "cold_until_ms", "requests", "share")

    def __init__(self) -> None:
        # That of its last report.
        self.position = position.ORIGIN
        self.cold_until_ms = 0
        self.requests = request_window.RequestWindow(WINDOW_MS)
        # The VMs for which the share was computed, and the share.
        self.share: tuple[frozenset[str], int] = (frozenset(), 0)


class ColdStartLimiter(send_limits.SendLimits):
    """One VM's requests to the cold servers of a pool; not thread-safe.

    :param shares: this VM's share of each limit
    :param limits: what operators allow
    """

    __slots__ = ("_shares", "_limits", "_servers", "_limit", "_cold_ms")

    def __init__(self, shares: FleetShares, limits: ColdStartLimits) -> None:
        self._shares = shares
        self._limits = limits
        self._servers: dict[str, _Server] = {}
        self._limit: int | None = None
        self._cold_ms = 0

    def update_pool(self, pool: tables.Pool, now_ms: int) -> None:
        """Apply a pool's row, with its servers' reports.

        A report tells for how long the server stays cold.  It counts from when
        this VM got it, and not again until the server reports anew.  Calls
        that have begun under older tables may pass an older row.

        :param pool: the row
        :param now_ms: current time in ms
        """
        self._limit = self._limits.compute_limit(pool)
        self._cold_ms = pool.cold_ms
        if self._limit is None:
            self._servers = {}
            return
        self._servers = {
            row.name: self._servers.get(row.name) or _Server()
            for row in pool.upstreams
        }
        for row in pool.upstreams:
            server = self._servers[row.name]
            if row.position > server.position:
                server.position = row.position
                server.cold_until_ms = now_ms + row.cold_left_ms

    def expect_restart(self, server: str, now_ms: int) -> None:
        """Record that a server is down and will be cold when it is back.

        :param server: its name
        :param now_ms: current time in ms
        """
        state = self._servers.get(server)
        if state is not None:
            state.cold_until_ms = max(
                state.cold_until_ms, now_ms + self._cold_ms
            )

    def has_share(self, upstream: str, now_ms: int) -> bool:
        """Return whether this VM may send to a server, now or soon."""
        state = self._find_cold(upstream, now_ms)
        return state is None or self._get_share(upstream, state) > 0

    def has_room(self, upstream: str, now_ms: int) -> bool:
        """Return whether a server may be chosen for a request now."""
        state = self._find_cold(upstream, now_ms)
        if state is None:
            return True
        share = self._get_share(upstream, state)
        return state.requests.count(now_ms) < share

    def record_choice(self, upstream: str, now_ms: int) -> None:
        """Count a request for which a server was chosen."""
        state = self._servers.get(upstream)
        if state is not None:
            state.requests.record_choice(now_ms)

    def try_send(self, upstream: str, now_ms: int) -> bool:
        """Count a request that is about to be sent, if it may be sent."""
        state = self._servers.get(upstream)
        if state is None:
            return True
        if self._is_cold(state, now_ms) and state.requests.count_sent(
            now_ms
        ) >= self._get_share(upstream, state):
            return False
        state.requests.record_send(now_ms)
        return True

    def _find_cold(self, server: str, now_ms: int) -> _Server | None:
        """Return a server's state; none if its requests are not limited."""
        state = self._servers.get(server)
        if state is None or not self._is_cold(state, now_ms):
            return None
        return state

    def _is_cold(self, state: _Server, now_ms: int) -> bool:
        return now_ms < state.cold_until_ms or not self._shares.is_informed

    def _get_share(self, server: str, state: _Server) -> int:
        shares = self._shares
        if not shares.is_complete or self._limit is None:
            return 0
        if state.share[0] is not shares.vms:
            state.share = shares.vms, shares.compute(self._limit, server)
        return state.share[1]


def _hash(vm: str, server: str) -> bytes:
    return hashlib.blake2b(f"{vm}/{server}".encode(), digest_size=8).digest()

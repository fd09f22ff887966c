"""Decides which server of a plain service gets a call; without I/O."""

import collections

from mulberryway import tables

__all__ = ["ServerChooser"]

# The load this is made for: some hundred short calls a second to three to
# seven servers.  A server that refused a connection is passed over for so
# long: without it every call would pay the failed connection first, and a
# longer time would leave a restarted server idle.
PASS_OVER_MS = 2_000
# A call to another zone costs about two milliseconds more there and back,
# as much as waiting behind one short call; so a server elsewhere is chosen
# when those nearby have two more calls under way.
ZONE_PENALTY = 2


class ServerChooser:
    """Counts calls under way and chooses the least loaded server.

    It has no lock of its own.

    :param zone: the zone of this VM
    """

    __slots__ = ("_zone", "_under_way", "_passed_over")

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._under_way: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._passed_over: dict[tuple[str, str], int] = {}

    def choose(
        self, pool: tables.Pool, avoid: frozenset[str], now_ms: int
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
            if not upstream.leaving and upstream.name not in avoid
        ]
        if not usable:
            return None
        chosen = min(
            usable, key=lambda upstream: self._weigh(pool, upstream, now_ms)
        )
        self._under_way[pool.name, chosen.name] += 1
        return chosen

    def finish(
        self,
        pool: tables.Pool,
        upstream: tables.Upstream,
        was_reached: bool,
        now_ms: int,
    ) -> None:
        """Count a call's end.

        :param pool: the pool
        :param upstream: the server
        :param was_reached: false if no connection could be made
        :param now_ms: the present
        """
        key = (pool.name, upstream.name)
        self._under_way[key] -= 1
        if self._under_way[key] <= 0:
            del self._under_way[key]
        if was_reached:
            self._passed_over.pop(key, None)
        else:
            self._passed_over[key] = now_ms + PASS_OVER_MS

    def _weigh(
        self, pool: tables.Pool, upstream: tables.Upstream, now_ms: int
    ) -> tuple[bool, int, str]:
        key = (pool.name, upstream.name)
        is_suspect = self._passed_over.get(key, 0) > now_ms
        penalty = 0 if upstream.zone == self._zone else ZONE_PENALTY
        return (is_suspect, self._under_way[key] + penalty, upstream.name)

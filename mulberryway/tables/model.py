"""Routes, pools and client accounts as typed, immutable rows."""

import collections.abc
import enum
import hashlib

from mulberryway.objects import position

__all__ = [
    "ANONYMOUS_ACCOUNT",
    "ClientAccount",
    "Pool",
    "PoolKind",
    "WeightedPool",
    "Route",
    "Tables",
    "Upstream",
    "UpstreamRole",
    "digest_key",
]


def digest_key(key: str) -> str:
    """Return the digest under which a caller's key is stored.

    Keys are long random strings, so an unsalted digest cannot be reversed by
    an exhaustive search. The key itself is not stored.

    :param key: the key that the caller sent
    :returns: 64 hexadecimal digits
    """
    return hashlib.sha256(key.encode()).hexdigest()


# Attempts of one request, on different upstreams, if its route sets no limit.
DEFAULT_MAX_ATTEMPTS = 4


class PoolKind(enum.Enum):
    """The kind of servers in a pool."""

    MODEL = "model"
    PLAIN = "plain"


class UpstreamRole(enum.Enum):
    """The work that an upstream accepts; ``SERVICE`` is a plain service."""

    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"
    SERVICE = "service"


class Upstream:
    """One server of a pool.

    :param name: unique in the pool
    :param address: ``host:port``
    :param zone: its availability zone
    :param role: the work that it accepts
    :param leaving: whether it is draining: it completes its requests and gets
        no new ones
    :param cold_left_ms: for how long it stays cold, in milliseconds, by its
        last report; 0 if it is warm
    :param position_: the store's position of its last report
    :param cordoned: whether nothing at all may be sent to it, not even a
        probe or an order; requests that it runs are completed
    :param checks_fencing: whether it rejects orders with an old fencing number
    :param version: the version of its software; the events of two versions
        must not be joined in one stream
    :param started_ms: when its incarnation started, in ms of its own clock; 0
        if unknown
    :param slots: requests that it runs at once, by its own report; 0 if
        unknown
    """

    __slots__ = (
        "name",
        "address",
        "zone",
        "role",
        "leaving",
        "cordoned",
        "cold_left_ms",
        "position",
        "checks_fencing",
        "version",
        "started_ms",
        "slots",
    )

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        role: UpstreamRole,
        leaving: bool = False,
        checks_fencing: bool = False,
        version: str = "",
        cordoned: bool = False,
        cold_left_ms: int = 0,
        position_: position.Position = position.ORIGIN,
        started_ms: int = 0,
        slots: int = 0,
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.role = role
        self.leaving = leaving or cordoned
        self.cordoned = cordoned
        self.cold_left_ms = cold_left_ms
        self.position = position_
        self.checks_fencing = checks_fencing
        self.version = version
        self.started_ms = started_ms
        self.slots = slots


class Pool:
    """A row of the table of pools.

    :param name: unique; routes refer to it
    :param kind: model engines or a plain service
    :param upstreams: its servers
    :param models: names of the models that it serves
    :param credential: the bearer token sent to the upstreams instead of the
        caller's key; empty for none
    :param slots: how many requests one decode engine runs at once
    :param block_tokens: tokens in one KV cache block
    :param link_bytes_per_s: bandwidth of the link that transfers KV caches, in
        bytes per second
    :param kv_bytes_per_token: bytes of KV cache for one prompt token
    :param kv_capacity_tokens: tokens that fit into one engine's memory; 0 if
        it is known only from the engines' load reports
    :param max_connections: connections that one upstream accepts from all VMs
        together; 0 if unknown
    :param role_switch_ms: how long an engine is unavailable while it changes
        its role, in milliseconds
    :param has_chunked_prefill: whether its decode engines support chunked
        prefill, which is slower than a prefill engine
    :param pause_ms: the longest inter-token gap, in milliseconds, that meets
        the targets of all its routes; 0 if no route has a target
    :param hold_ms: the longest time, in milliseconds, for which its decode
        engines reserve a slot and memory; 0 if they do not
    :param cold_requests_per_s: requests per second that one of its upstreams
        tolerates while it is cold; 0 if that is not limited
    :param cold_ms: how long an upstream is cold after it starts, in
        milliseconds
    """

    __slots__ = (
        "name",
        "kind",
        "upstreams",
        "kv_capacity_tokens",
        "max_connections",
        "role_switch_ms",
        "has_chunked_prefill",
        "pause_ms",
        "hold_ms",
        "cold_requests_per_s",
        "cold_ms",
        "models",
        "credential",
        "slots",
        "block_tokens",
        "link_bytes_per_s",
        "kv_bytes_per_token",
    )

    def __init__(
        self,
        name: str,
        kind: PoolKind,
        upstreams: tuple[Upstream, ...],
        models: tuple[str, ...] = (),
        credential: str = "",
        slots: int = 20,
        block_tokens: int = 1024,
        link_bytes_per_s: int = 25_000_000_000,
        kv_bytes_per_token: int = 131_072,
        kv_capacity_tokens: int = 0,
        max_connections: int = 0,
        role_switch_ms: int = 0,
        has_chunked_prefill: bool = False,
        pause_ms: int = 0,
        hold_ms: int = 0,
        cold_requests_per_s: float = 0.0,
        cold_ms: int = 0,
    ) -> None:
        self.hold_ms = hold_ms
        self.cold_requests_per_s = cold_requests_per_s
        self.cold_ms = cold_ms
        self.name = name
        self.kind = kind
        self.upstreams = upstreams
        self.models = models
        self.credential = credential
        self.slots = slots
        self.block_tokens = block_tokens
        self.link_bytes_per_s = link_bytes_per_s
        self.kv_bytes_per_token = kv_bytes_per_token
        self.kv_capacity_tokens = kv_capacity_tokens
        self.max_connections = max_connections
        self.role_switch_ms = role_switch_ms
        self.has_chunked_prefill = has_chunked_prefill
        self.pause_ms = pause_ms


class WeightedPool:
    """One of the pools among which a route's requests are split.

    :param pool: the pool's name
    :param weight: its weight, relative to the other pools
    """

    __slots__ = ("pool", "weight")

    def __init__(self, pool: str, weight: int) -> None:
        self.pool = pool
        self.weight = weight


class Route:
    """A row of the table of routes.

    :param name: unique
    :param path_prefix: the longest prefix that matches a path wins
    :param pool: the name of the pool that serves it
    :param models: the models that callers may request; empty for all that the
        pool serves
    :param idempotent: whether a call may be retried on another upstream; if
        not, callers must send a request id
    :param timeout_ms: the longest wait for a non-streaming response or for the
        first token, in milliseconds
    :param accounts: client accounts that may use it; empty for all
    :param host: the host name that it serves; empty for any
    :param weighted_pools: the pools among which its requests are split; empty
        if all go to ``pool``
    :param retries_safe_methods: whether a call with a safe HTTP method counts
        as idempotent, regardless of ``idempotent``
    :param is_public: whether callers need no key
    :param is_streaming: whether responses are event streams
    :param max_attempts: maximum number of upstreams that a request is sent to
    :param target_ms: the target latency of the response, or of a stream's
        first event, in milliseconds; 0 if only ``timeout_ms`` applies
    :param target_gap_ms: the target of the longest inter-token gap, in
        milliseconds; 0 for none
    :param priority: the rank under overload; lower ranks are served first
    """

    __slots__ = (
        "name",
        "path_prefix",
        "host",
        "weighted_pools",
        "retries_safe_methods",
        "is_public",
        "is_streaming",
        "max_attempts",
        "target_ms",
        "target_gap_ms",
        "priority",
        "pool",
        "models",
        "idempotent",
        "timeout_ms",
        "accounts",
    )

    def __init__(
        self,
        name: str,
        path_prefix: str,
        pool: str,
        models: tuple[str, ...] = (),
        idempotent: bool = True,
        timeout_ms: int = 10_000,
        accounts: tuple[str, ...] = (),
        host: str = "",
        weighted_pools: tuple[WeightedPool, ...] = (),
        retries_safe_methods: bool = True,
        is_public: bool = False,
        is_streaming: bool = False,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
        target_ms: int = 0,
        target_gap_ms: int = 0,
        priority: int = 0,
    ) -> None:
        self.name = name
        self.path_prefix = path_prefix
        self.host = host
        self.weighted_pools = weighted_pools
        self.retries_safe_methods = retries_safe_methods
        self.is_public = is_public
        self.is_streaming = is_streaming
        self.max_attempts = max_attempts
        self.target_ms = target_ms
        self.target_gap_ms = target_gap_ms
        self.priority = priority
        self.pool = pool
        self.models = models
        self.idempotent = idempotent
        self.timeout_ms = timeout_ms
        self.accounts = accounts

    def leads_to(self, pool: str) -> bool:
        """Return whether requests of the route may go to a pool.

        :param pool: the pool's name
        """
        return pool == self.pool or any(
            weighted.pool == pool for weighted in self.weighted_pools
        )


class ClientAccount:
    """A client account: its keys and its rate limit.

    :param name: unique
    :param key_digests: see :func:`digest_key`
    :param rate: tokens per second, over all VMs together
    :param burst: tokens that may be used at once after an idle period
    :param weight: its weight when not all requests can be served
    :param plain_tokens: tokens charged for a call that specifies none
    :param priority: overrides the route's priority; none to use the route's
    """

    __slots__ = (
        "name",
        "key_digests",
        "rate",
        "burst",
        "weight",
        "plain_tokens",
        "priority",
    )

    def __init__(
        self,
        name: str,
        key_digests: tuple[str, ...],
        rate: int,
        burst: int,
        weight: int = 1,
        plain_tokens: int = 0,
        priority: int | None = None,
    ) -> None:
        self.name = name
        self.key_digests = key_digests
        self.rate = rate
        self.burst = burst
        self.weight = weight
        self.plain_tokens = plain_tokens
        self.priority = priority


# The account of callers without a key on public routes; nothing is charged.
ANONYMOUS_ACCOUNT = ClientAccount("", (), 0, 0)


class Tables:
    """One accepted, immutable state of all tables.

    :param revision: increases with each accepted edit
    :param routes: rows of the table of routes
    :param pools: rows of the table of pools
    :param accounts: the client accounts
    """

    __slots__ = (
        "revision",
        "era",
        "routes",
        "pools",
        "accounts",
        "_by_prefix",
        "_by_digest",
        "_priorities",
    )

    def __init__(
        self,
        revision: int,
        routes: tuple[Route, ...],
        pools: tuple[Pool, ...],
        accounts: tuple[ClientAccount, ...],
    ) -> None:
        self.revision = revision
        # The era of the store of which they were built; 0 if it names none.
        self.era = 0
        self.routes = {route.name: route for route in routes}
        self.pools = {pool.name: pool for pool in pools}
        self.accounts = {account.name: account for account in accounts}
        self._by_prefix: dict[tuple[str, str], Route] = {}
        for route in routes:
            self._by_prefix.setdefault((route.host, route.path_prefix), route)
        self._by_digest = {
            digest: account
            for account in accounts
            for digest in account.key_digests
        }
        # Computed on first use, because it visits all accounts.
        self._priorities: dict[str, frozenset[int]] = {}

    def find_route(self, path: str, host: str = "") -> Route | None:
        """Return the route with the longest prefix of a path.

        A prefix matches whole path segments only: ``/v1`` serves ``/v1/x`` but
        not ``/v1x``.

        :param path: the path without its query
        :param host: the requested host name, without a port
        :returns: the route, or none
        """
        hosts = (host, "") if host else ("",)
        return next(
            (
                route
                for prefix in _list_prefixes(path)
                for name in hosts
                if (route := self._by_prefix.get((name, prefix))) is not None
            ),
            None,
        )

    def find_account(self, key_digest: str) -> ClientAccount | None:
        """Return the client account that owns a key.

        :param key_digest: see :func:`digest_key`
        :returns: the account, or none
        """
        return self._by_digest.get(key_digest)

    def list_priorities(self, pool: str) -> frozenset[int]:
        """Return the priorities that requests to a pool can have.

        :param pool: the pool's name
        :returns: those of its routes and of the accounts that override them
        """
        found = self._priorities.get(pool)
        if found is None:
            found = self._priorities[pool] = self._collect_priorities(pool)
        return found

    def _collect_priorities(self, pool: str) -> frozenset[int]:
        return frozenset(
            priority
            for route in self.routes.values()
            if route.leads_to(pool)
            for priority in self._collect_route_priorities(route)
        )

    def _collect_route_priorities(self, route: Route) -> set[int]:
        overriding = {
            account.priority
            for name, account in self.accounts.items()
            if not route.accounts or name in route.accounts
        }
        if route.is_public or not overriding:
            overriding.add(None)
        return {
            route.priority if priority is None else priority
            for priority in overriding
        }


def _list_prefixes(path: str) -> collections.abc.Iterator[str]:
    """Yield the prefixes that match a path, the longest first.

    The number of prefixes depends on the path's segments, not on the number of
    routes.
    """
    yield path
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        if path[: end + 1] != path:
            yield path[: end + 1]
        if end:
            yield path[:end]

"""Routes, pools and client accounts as typed, immutable rows."""

import collections.abc
import enum
import hashlib

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
    """Return the digest under which a caller's key is kept.

    Keys are long random strings, so a plain digest cannot be searched for
    and no salt is needed; the key itself is stored nowhere.

    :param key: the key as the caller presents it
    :returns: 64 hexadecimal digits
    """
    return hashlib.sha256(key.encode()).hexdigest()


# To how many upstreams one request may go where its route does not say.
DEFAULT_MAX_ATTEMPTS = 4


class PoolKind(enum.Enum):
    """What stands behind a pool's addresses."""

    MODEL = "model"
    PLAIN = "plain"


class UpstreamRole(enum.Enum):
    """What work an upstream takes; plain services have role ``SERVICE``."""

    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"
    SERVICE = "service"


class Upstream:
    """One server of a pool.

    :param name: unique in the pool
    :param address: ``host:port``
    :param zone: its availability zone
    :param role: what work it takes
    :param leaving: it finishes what it has and gets nothing new
    :param checks_fencing: it refuses orders with an old fencing number
    """

    __slots__ = (
        "name",
        "address",
        "zone",
        "role",
        "leaving",
        "checks_fencing",
    )

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        role: UpstreamRole,
        leaving: bool = False,
        checks_fencing: bool = False,
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.role = role
        self.leaving = leaving
        self.checks_fencing = checks_fencing


class Pool:
    """A row of the table of pools.

    :param name: unique; routes refer to it
    :param kind: model engines or a plain service
    :param upstreams: its servers
    :param models: names of the models that it serves
    :param credential: what the upstreams want to see instead of the
        caller's key, sent as a bearer token; empty for none
    :param slots: how many requests one decode engine holds
    :param block_tokens: tokens in one KV cache block
    :param link_bytes_per_s: rate of the link that KV caches cross
    :param kv_bytes_per_token: KV cache made for one prompt token
    :param kv_capacity_tokens: tokens that one engine's memory holds; 0 where
        only its reports tell
    :param max_connections: what one upstream accepts from all VMs
        together; 0 where nothing is known
    :param role_switch_ms: how long an engine that changes its role is away
    :param self_reading: whether its decode engines can read prompts
        themselves, more slowly than prefill engines do
    :param pause_ms: the longest pause between a stream's events that is on
        time on every route to it; 0 where no route has a target
    :param hold_ms: the longest time for which its decode engines reserve a
        slot and memory; 0 where they do not
    """

    __slots__ = (
        "name",
        "kind",
        "upstreams",
        "kv_capacity_tokens",
        "max_connections",
        "role_switch_ms",
        "self_reading",
        "pause_ms",
        "hold_ms",
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
        self_reading: bool = False,
        pause_ms: int = 0,
        hold_ms: int = 0,
    ) -> None:
        self.hold_ms = hold_ms
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
        self.self_reading = self_reading
        self.pause_ms = pause_ms


class WeightedPool:
    """One of the pools among which a route's requests are divided.

    :param pool: the pool's name
    :param weight: its part of the requests, against the other weights
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
    :param models: the models that callers may name here; empty for all
        that the pool serves
    :param idempotent: whether a call may be repeated elsewhere; where it
        may not, a caller has to send a request id
    :param timeout_ms: the longest that a caller waits for a plain answer
        or for the first token
    :param accounts: client accounts that may use it; empty for all
    :param host: the host name that it serves; empty for any
    :param shares: the pools among which its requests are divided; empty
        where all go to ``pool``
    :param retries_safe_methods: whether a method that is safe by HTTP makes a
        call idempotent, whatever ``idempotent`` says
    :param is_public: whether it is open to callers without a key
    :param is_streaming: whether answers are streams of events
    :param max_attempts: to how many upstreams one request may be sent
    :param target_ms: the answer, or a stream's first event, is on time
        within it; 0 where only ``timeout_ms`` counts
    :param target_gap_ms: the longest pause between a stream's events that
        is still on time; 0 for no target
    :param priority: where not all can be served, lower ranks go first
    """

    __slots__ = (
        "name",
        "path_prefix",
        "host",
        "shares",
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
        shares: tuple[WeightedPool, ...] = (),
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
        self.shares = shares
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


class ClientAccount:
    """A client account: its keys and its allowance.

    :param name: unique
    :param key_digests: see :func:`digest_key`
    :param rate: tokens a second, counted over all VMs together
    :param burst: tokens that may be used at once after a pause
    :param weight: its part of what is there when not all can be served
    :param plain_tokens: what a call is charged that names no tokens
    :param priority: goes before the route's rank; none where that holds
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


# For callers of public routes: no key, and nothing is charged.
ANONYMOUS_ACCOUNT = ClientAccount("", (), 0, 0)


class Tables:
    """One accepted state of all tables; never changed once made.

    :param revision: grows with each accepted edit
    :param routes: rows of the table of routes
    :param pools: rows of the table of pools
    :param accounts: the client accounts
    """

    __slots__ = (
        "revision",
        "routes",
        "pools",
        "accounts",
        "_by_prefix",
        "_by_digest",
    )

    def __init__(
        self,
        revision: int,
        routes: tuple[Route, ...],
        pools: tuple[Pool, ...],
        accounts: tuple[ClientAccount, ...],
    ) -> None:
        self.revision = revision
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

    def find_route(self, path: str, host: str = "") -> Route | None:
        """Return the route with the longest prefix of a path.

        A prefix matches whole segments only: ``/v1`` serves ``/v1/x`` but
        not ``/v1x``.

        :param path: the path without its query
        :param host: the host that the caller named, without a port
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
        """Return the client account to which a key belongs.

        :param key_digest: see :func:`digest_key`
        :returns: the account, or none
        """
        return self._by_digest.get(key_digest)


def _list_prefixes(path: str) -> collections.abc.Iterator[str]:
    """Return the prefixes that match a path, the longest first.

    A path has only as many prefixes as segments, however many routes there
    are.
    """
    yield path
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        if path[: end + 1] != path:
            yield path[: end + 1]
        if end:
            yield path[:end]

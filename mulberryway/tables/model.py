"""Routes, pools and client accounts as typed, immutable rows."""

import enum
import hashlib

__all__ = [
    "ClientAccount",
    "Pool",
    "PoolKind",
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
    """

    __slots__ = (
        "name",
        "kind",
        "upstreams",
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
    ) -> None:
        self.name = name
        self.kind = kind
        self.upstreams = upstreams
        self.models = models
        self.credential = credential
        self.slots = slots
        self.block_tokens = block_tokens
        self.link_bytes_per_s = link_bytes_per_s
        self.kv_bytes_per_token = kv_bytes_per_token


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
    """

    __slots__ = (
        "name",
        "path_prefix",
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
    ) -> None:
        self.name = name
        self.path_prefix = path_prefix
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
    """

    __slots__ = ("name", "key_digests", "rate", "burst", "weight")

    def __init__(
        self,
        name: str,
        key_digests: tuple[str, ...],
        rate: int,
        burst: int,
        weight: int = 1,
    ) -> None:
        self.name = name
        self.key_digests = key_digests
        self.rate = rate
        self.burst = burst
        self.weight = weight


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
        self._by_prefix = sorted(
            routes, key=lambda route: len(route.path_prefix), reverse=True
        )
        self._by_digest = {
            digest: account
            for account in accounts
            for digest in account.key_digests
        }

    def find_route(self, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        A prefix matches whole segments only: ``/v1`` serves ``/v1/x`` but
        not ``/v1x``.

        :param path: the path without its query
        :returns: the route, or none
        """
        return next(
            (
                route
                for route in self._by_prefix
                if path == route.path_prefix
                or path.startswith(route.path_prefix.rstrip("/") + "/")
            ),
            None,
        )

    def find_account(self, key_digest: str) -> ClientAccount | None:
        """Return the client account to which a key belongs.

        :param key_digest: see :func:`digest_key`
        :returns: the account, or none
        """
        return self._by_digest.get(key_digest)

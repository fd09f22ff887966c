"""Reads the platform's configuration and servers into the tables."""

import collections.abc
import logging
import typing

from mulberryway import tables
from mulberryway.controllers import mirrored_tables
from mulberryway.objects import base
from mulberryway.platform import wire

__all__ = ["CONFIGURATION_KIND", "SERVERS_KIND", "TablesReader"]

LOG = logging.getLogger(__name__)

CONFIGURATION_KIND = "config"
SERVERS_KIND = "servers"
CONFIGURATION_NAME = "main"
BLOCK_TOKENS = 16
BITS_IN_MBIT = 1_000_000
BITS_IN_BYTE = 8
MS_IN_S = 1_000
STREAMING = "streaming"
IDEMPOTENT = "idempotent"
READY_STATE = "ready"
DRAINING_STATE = "draining"
ROLES = {
    "prefill": tables.UpstreamRole.PREFILL,
    "decode": tables.UpstreamRole.DECODE,
}
PARSE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)

Value = dict[str, typing.Any]


class TablesReader(mirrored_tables.Reader):
    """Joins the one configuration object with the servers' own entries.

    The configuration is read anew only when it has changed: it may be large,
    and servers change far more often.
    """

    def __init__(self) -> None:
        self._version = 0
        self._routes: tuple[tables.Route, ...] = ()
        self._pools: tuple[tables.Pool, ...] = ()
        self._accounts: tuple[tables.ClientAccount, ...] = ()

    def read(
        self,
        configuration: collections.abc.Mapping[str, base.StoredObject],
        servers: collections.abc.Iterable[base.StoredObject],
        revision: int,
    ) -> tables.Tables | None:
        """Return the tables.

        :param configuration: the configuration's objects by name
        :param servers: the servers' entries; those that name no server to
            use are passed over
        :param revision: the revision that the tables get
        :returns: the tables, or none while there is no configuration
        :raises ValueError: if the configuration is malformed
        """
        main = configuration.get(CONFIGURATION_NAME)
        if main is None:
            return None
        if main.version != self._version:
            self._read_configuration(main.value)
            self._version = main.version
        found: dict[str, list[tables.Upstream]] = {}
        kinds = {pool.name: pool.kind for pool in self._pools}
        known = [
            server
            for entry in servers
            if (server := _read_server(entry, kinds)) is not None
        ]
        for server in _list_newest(known):
            found.setdefault(server.pool, []).append(server.row)
        return tables.Tables(
            revision,
            self._routes,
            tuple(
                _fill(pool, tuple(found.get(pool.name, ())))
                for pool in self._pools
            ),
            self._accounts,
        )

    def _read_configuration(self, value: Value) -> None:
        accounts = tuple(map(_read_account, value.get("tenants") or ()))
        routes = tuple(
            _read_route(row, not accounts) for row in value["routes"]
        )
        pools = tuple(
            _read_pool(row, _find_pause(row, routes))
            for row in value["services"]
        )
        self._routes, self._pools = routes, pools
        self._accounts = accounts


def _read_route(row: Value, is_open: bool) -> tables.Route:
    kind = wire.parse_string(row["kind"])
    is_streaming = kind == STREAMING
    shares = tuple(
        tables.WeightedPool(
            wire.parse_string(part["service"]),
            wire.parse_integer(part["weight"]),
        )
        for part in row.get("traffic_split") or ()
    )
    shares = tuple(share for share in shares if share.weight)
    pool = shares[0].pool if shares else wire.parse_string(row["service"])
    return tables.Route(
        wire.parse_string(row["name"]),
        wire.parse_string(row["path_prefix"]),
        pool,
        idempotent=(
            bool(row.get("resumable")) if is_streaming else kind == IDEMPOTENT
        ),
        timeout_ms=wire.parse_integer(row["timeout_ms"], 1),
        host=wire.parse_string(row["host"]).lower(),
        shares=shares if len(shares) > 1 else (),
        retries_safe_methods=False,
        is_public=is_open or bool(row.get("public")),
        is_streaming=is_streaming,
        max_attempts=wire.parse_integer(row.get("max_attempts", 1), 1),
        target_ms=wire.parse_integer(row.get("target_latency_ms", 0)),
        target_gap_ms=wire.parse_integer(row.get("target_gap_ms") or 0),
        priority=wire.parse_integer(row.get("priority", 0)),
    )


def _find_pause(row: Value, routes: tuple[tables.Route, ...]) -> int:
    """Return the shortest target for a pause among a pool's routes."""
    name = row["name"]
    return min(
        (
            route.target_gap_ms
            for route in routes
            if route.target_gap_ms
            and (
                route.pool == name
                or any(share.pool == name for share in route.shares)
            )
        ),
        default=0,
    )


def _read_pool(row: Value, pause_ms: int) -> tables.Pool:
    name = wire.parse_string(row["name"])
    connections = wire.parse_integer(row.get("max_conns", 0))
    shape = row.get("engine")
    if not shape:
        return tables.Pool(
            name, tables.PoolKind.PLAIN, (), max_connections=connections
        )
    # A link's rate is in megabits a second, and "swap_s" is how long an
    # engine is away that changes its role.
    return tables.Pool(
        name,
        tables.PoolKind.MODEL,
        (),
        tuple(wire.parse_string(model["name"]) for model in shape["models"]),
        slots=wire.parse_integer(shape["slots"], 1),
        block_tokens=BLOCK_TOKENS,
        link_bytes_per_s=int(
            float(shape["link_mbps"]) * BITS_IN_MBIT / BITS_IN_BYTE
        ),
        kv_bytes_per_token=wire.parse_integer(shape["kv_bytes"]),
        kv_capacity_tokens=wire.parse_integer(shape["kv_capacity"], 1),
        max_connections=connections,
        role_switch_ms=int(float(shape.get("swap_s", 0)) * MS_IN_S),
        self_reading=True,
        pause_ms=pause_ms,
        hold_ms=int(float(shape.get("hold_ms", 0))),
    )


def _read_account(row: Value) -> tables.ClientAccount:
    # No rate, or a rate of 0, stands for no limit.
    return tables.ClientAccount(
        wire.parse_string(row["name"]),
        tuple(map(tables.digest_key, row["api_keys"])),
        wire.parse_integer(row.get("rate_per_s") or 0),
        wire.parse_integer(row.get("burst") or 0),
        plain_tokens=wire.parse_integer(row.get("plain_tokens") or 0),
        priority=row.get("priority"),
    )


class _Server:
    """What one entry says.

    :param pool: the pool's name
    :param row: the upstream
    :param born_ms: when its life began, by its own clock; 0 if not told
    """

    __slots__ = ("pool", "row", "born_ms")

    def __init__(self, pool: str, row: tables.Upstream, born_ms: int) -> None:
        self.pool = pool
        self.row = row
        self.born_ms = born_ms


def _list_newest(
    servers: collections.abc.Iterable[_Server],
) -> list[_Server]:
    """Return the servers without earlier lives at the same addresses.

    A server that crashed and started again under another name leaves its old
    entry for three more heartbeats.  Prompts would go to a life that has
    ended, and its pool would seem to have one engine too many.
    """
    newest: dict[str, int] = {}
    known = list(servers)
    for server in known:
        address = server.row.address
        newest[address] = max(newest.get(address, 0), server.born_ms)
    return [
        server
        for server in known
        if not server.born_ms or server.born_ms == newest[server.row.address]
    ]


def _read_server(
    entry: base.StoredObject,
    kinds: collections.abc.Mapping[str, tables.PoolKind],
) -> _Server | None:
    """Read one entry; whoever wrote a malformed one, it names no server."""
    try:
        value = entry.value
        pool = wire.parse_string(value["service"])
        address = wire.parse_string(value["address"])
        host, _, port = address.rpartition(":")
        if not host or not port.isdecimal():
            raise ValueError("expected host:port")
        zone = wire.parse_string(value["zone"])
        state = wire.parse_string(value["state"])
        if state not in (READY_STATE, DRAINING_STATE):
            raise ValueError("an unknown state")
        role = tables.UpstreamRole.SERVICE
        if kinds.get(pool) is tables.PoolKind.MODEL:
            role = ROLES[value["phase"]]
        born_ms = wire.parse_integer(value.get("born") or 0)
    except PARSE_ERRORS as error:
        LOG.debug("entry %s names no server: %r", entry.name, error)
        return None
    row = tables.Upstream(
        entry.name, address, zone, role, state == DRAINING_STATE
    )
    return _Server(pool, row, born_ms)


def _fill(
    pool: tables.Pool, found: tuple[tables.Upstream, ...]
) -> tables.Pool:
    return tables.Pool(
        pool.name,
        pool.kind,
        found,
        pool.models,
        slots=pool.slots,
        block_tokens=pool.block_tokens,
        link_bytes_per_s=pool.link_bytes_per_s,
        kv_bytes_per_token=pool.kv_bytes_per_token,
        kv_capacity_tokens=pool.kv_capacity_tokens,
        max_connections=pool.max_connections,
        role_switch_ms=pool.role_switch_ms,
        self_reading=pool.self_reading,
        pause_ms=pool.pause_ms,
        hold_ms=pool.hold_ms,
    )

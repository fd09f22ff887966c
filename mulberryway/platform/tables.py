"""Builds the tables from the platform's configuration and servers."""

import collections.abc
import logging
import typing

from mulberryway import addresses
from mulberryway import logs
from mulberryway import tables
from mulberryway.controllers import mirrored_tables
from mulberryway.objects import base
from mulberryway.objects import position
from mulberryway.platform import wire
from mulberryway.policy import carried_objects

__all__ = [
    "CONFIGURATION_KIND",
    "EVACUATIONS_KIND",
    "SERVERS_KIND",
    "TablesReader",
    "read_configuration_generation",
    "read_server_generation",
]

LOG = logging.getLogger(__name__)

CONFIGURATION_KIND = "config"
SERVERS_KIND = "servers"
# Each object names an availability zone; its contents have no meaning.
EVACUATIONS_KIND = "evacuations"
CONFIGURATION_NAME = "main"
BLOCK_TOKENS = 16
BITS_IN_MBIT = 1_000_000
BITS_IN_BYTE = 8
MS_IN_S = 1_000
MAX_VERSION_LENGTH = 128
# Of names that other VMs are sent.
MAX_NAME_LENGTH = 128
# The end of the year 9999; a later start is none.
MAX_STARTED_MS = 253_402_300_799_999
# Bounds the length of a log line.
MAX_LOGGED_ENTRIES = 8
MAX_SEQUENCE = 2**63 - 1
MAX_SLOTS = 100_000
MAX_COLD_MS = 600_000
MAX_COLD_REQUESTS_PER_S = 1_000_000
STREAMING = "streaming"
IDEMPOTENT = "idempotent"
READY_STATE = "ready"
DRAINING_STATE = "draining"
ROLES = {
    "prefill": tables.UpstreamRole.PREFILL,
    "decode": tables.UpstreamRole.DECODE,
}
# What every server says of itself, beside the fields that are read with a
# type of their own.
FIELD_TYPES = {
    "version": (str,),
    "slots": (int, float),
    "cold_left_ms": (int, float),
    "sequence": (int, float),
}
PARSE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
)

Value = dict[str, typing.Any]


class TablesReader(mirrored_tables.Reader):
    """Builds tables from the configuration object and the server entries.

    The configuration is parsed only when its version changes, because it can
    be large and server entries change far more often.
    """

    def __init__(self) -> None:
        self._position = position.ORIGIN
        self._routes: tuple[tables.Route, ...] = ()
        self._pools: tuple[tables.Pool, ...] = ()
        self._accounts: tuple[tables.ClientAccount, ...] = ()
        # What is wrong with server entries, by their names, as logged.
        self._malformed: dict[str, str] = {}

    def read(
        self,
        configuration: collections.abc.Mapping[str, base.StoredObject],
        servers: collections.abc.Iterable[base.StoredObject],
        revision: int,
        evacuations: collections.abc.Iterable[base.StoredObject] = (),
    ) -> tables.Tables | None:
        """Return the tables.

        :param configuration: the configuration objects by name
        :param servers: the server entries; malformed ones are ignored
        :param revision: the revision to assign to the tables
        :param evacuations: the entries of zones that are evacuated
        :returns: the tables, or None if there is no configuration
        :raises ValueError: if the configuration is malformed
        """
        main = configuration.get(CONFIGURATION_NAME)
        if main is None:
            return None
        if main.content_position != self._position:
            self._update_configuration(main)
        upstreams: dict[str, list[tables.Upstream]] = {}
        kinds = {pool.name: pool.kind for pool in self._pools}
        evacuated_zones = frozenset(entry.name for entry in evacuations)
        parsed: list[_Server] = []
        malformed: dict[str, str] = {}
        for entry in servers:
            try:
                parsed.append(_parse_server(entry, kinds, evacuated_zones))
            except PARSE_ERRORS as error:
                reason = repr(error)[: wire.MAX_LOGGED_LENGTH]
                malformed[entry.name] = reason
        self._log_malformed(malformed)
        for server in _list_current(parsed):
            upstreams.setdefault(server.pool, []).append(server.row)
        return tables.Tables(
            revision,
            self._routes,
            tuple(
                _set_upstreams(pool, tuple(upstreams.get(pool.name, ())))
                for pool in self._pools
            ),
            self._accounts,
        )

    def _update_configuration(self, main: base.StoredObject) -> None:
        """Use a configuration; one that is malformed changes nothing.

        :raises ValueError: if it is malformed and there is none before
        """
        try:
            self._parse_configuration(main.value)
        except PARSE_ERRORS as error:
            if self._position == position.ORIGIN:
                raise ValueError(repr(error)) from error
            # A guess could route requests to upstreams that must not get
            # them.  The servers are followed nevertheless.
            LOG.error(
                "a configuration cannot be read; the one before stays",
                extra=logs.make_extra(
                    reason=repr(error)[: wire.MAX_LOGGED_LENGTH],
                    **main.position.describe(),
                ),
            )
        self._position = main.content_position

    def _log_malformed(self, malformed: dict[str, str]) -> None:
        """Log which server entries are not used, each of them once."""
        new = [
            name
            for name, reason in malformed.items()
            if self._malformed.get(name) != reason
        ]
        self._malformed = malformed
        if new:
            LOG.warning(
                "server entries name no server and are ignored",
                extra=logs.make_extra(
                    count=len(new),
                    entries={
                        name[:MAX_NAME_LENGTH]: malformed[name]
                        for name in new[:MAX_LOGGED_ENTRIES]
                    },
                ),
            )

    def _parse_configuration(self, value: Value) -> None:
        account_ranks = {row.name: row.priority for row in self._accounts}
        accounts = tuple(
            _parse_account(row, account_ranks)
            for row in value.get("tenants") or ()
        )
        route_ranks = {row.name: row.priority for row in self._routes}
        routes = tuple(
            _parse_route(row, not accounts, route_ranks)
            for row in value["routes"]
        )
        pools = tuple(
            _parse_pool(row, _find_min_gap_target(row, routes))
            for row in value["services"]
        )
        self._routes, self._pools = routes, pools
        self._accounts = accounts


def read_configuration_generation(
    object_: base.StoredObject,
) -> carried_objects.Generation | None:
    """Return the number by which the operators order configurations.

    :param object_: the configuration
    :returns: the generation; None if it is malformed
    """
    try:
        return (wire.parse_integer(object_.value.get("version")),)
    except ValueError:
        return None


def read_server_generation(
    object_: base.StoredObject,
) -> carried_objects.Generation | None:
    """Return the numbers by which a server orders what it reports.

    :param object_: the server's entry
    :returns: its incarnation and the number of the report, which starts anew
        with each incarnation; None if they are malformed
    """
    value = object_.value
    try:
        return (
            _parse_started_ms(value),
            wire.parse_integer(value.get("sequence"), maximum=MAX_SEQUENCE),
        )
    except ValueError:
        return None


def read_server_version(object_: base.StoredObject) -> tuple[str, str] | None:
    """Return the pool and the software version of a server.

    :param object_: the server's entry
    :returns: both names; None if the entry is malformed
    """
    value = object_.value
    try:
        return (
            wire.parse_string(value["service"]),
            _parse_version(value, object_.name, _parse_started_ms(value)),
        )
    except (ValueError, KeyError, TypeError):
        return None


def _parse_route(
    row: Value,
    allows_anonymous: bool,
    ranks: collections.abc.Mapping[str, int | None],
) -> tables.Route:
    kind = wire.parse_string(row["kind"])
    is_streaming = kind == STREAMING
    weighted_pools = tuple(
        tables.WeightedPool(
            wire.parse_string(split_row["service"]),
            wire.parse_integer(split_row["weight"]),
        )
        for split_row in row.get("traffic_split") or ()
    )
    weighted_pools = tuple(
        weighted for weighted in weighted_pools if weighted.weight
    )
    pool = (
        weighted_pools[0].pool
        if weighted_pools
        else wire.parse_string(row["service"])
    )
    return tables.Route(
        wire.parse_string(row["name"]),
        wire.parse_string(row["path_prefix"]),
        pool,
        idempotent=(
            bool(row.get("resumable")) if is_streaming else kind == IDEMPOTENT
        ),
        timeout_ms=wire.parse_integer(row["timeout_ms"], 1),
        host=wire.parse_string(row["host"]).lower(),
        weighted_pools=weighted_pools if len(weighted_pools) > 1 else (),
        retries_safe_methods=False,
        is_public=allows_anonymous or bool(row.get("public")),
        is_streaming=is_streaming,
        max_attempts=wire.parse_integer(row.get("max_attempts", 1), 1),
        target_ms=wire.parse_integer(row.get("target_latency_ms", 0)),
        target_gap_ms=wire.parse_integer(row.get("target_gap_ms") or 0),
        priority=_parse_rank(row, ranks) or 0,
    )


def _find_min_gap_target(row: Value, routes: tuple[tables.Route, ...]) -> int:
    """Return the lowest inter-token gap target of a pool's routes."""
    name = row["name"]
    return min(
        (
            route.target_gap_ms
            for route in routes
            if route.target_gap_ms and route.leads_to(name)
        ),
        default=0,
    )


def _parse_pool(row: Value, pause_ms: int) -> tables.Pool:
    name = wire.parse_string(row["name"])
    connections = wire.parse_integer(row.get("max_conns", 0))
    cold_requests_per_s = wire.parse_amount(
        row.get("cold_per_s"), MAX_COLD_REQUESTS_PER_S
    )
    cold_ms = int(
        wire.parse_amount(row.get("cold_s"), MAX_COLD_MS / MS_IN_S) * MS_IN_S
    )
    engine = row.get("engine")
    if not engine:
        return tables.Pool(
            name,
            tables.PoolKind.PLAIN,
            (),
            max_connections=connections,
            cold_requests_per_s=cold_requests_per_s,
            cold_ms=cold_ms,
        )
    # "link_mbps" is in megabits per second; "swap_s" is the time for which
    # an engine that changes its role is unavailable, in seconds.
    return tables.Pool(
        name,
        tables.PoolKind.MODEL,
        (),
        tuple(wire.parse_string(model["name"]) for model in engine["models"]),
        slots=wire.parse_integer(engine["slots"], 1),
        block_tokens=BLOCK_TOKENS,
        link_bytes_per_s=int(
            float(engine["link_mbps"]) * BITS_IN_MBIT / BITS_IN_BYTE
        ),
        kv_bytes_per_token=wire.parse_integer(engine["kv_bytes"]),
        kv_capacity_tokens=wire.parse_integer(engine["kv_capacity"], 1),
        max_connections=connections,
        role_switch_ms=int(float(engine.get("swap_s", 0)) * MS_IN_S),
        has_chunked_prefill=True,
        pause_ms=pause_ms,
        hold_ms=int(float(engine.get("hold_ms", 0))),
        cold_requests_per_s=cold_requests_per_s,
        cold_ms=cold_ms,
    )


def _parse_account(
    row: Value, ranks: collections.abc.Mapping[str, int | None]
) -> tables.ClientAccount:
    # A missing rate or a rate of 0 means no limit.
    return tables.ClientAccount(
        wire.parse_string(row["name"]),
        tuple(map(tables.digest_key, row["api_keys"])),
        wire.parse_integer(row.get("rate_per_s") or 0),
        wire.parse_integer(row.get("burst") or 0),
        plain_tokens=wire.parse_integer(row.get("plain_tokens") or 0),
        priority=_parse_rank(row, ranks),
    )


def _parse_rank(
    row: Value, previous: collections.abc.Mapping[str, int | None]
) -> int | None:
    """Return the rank of a route or an account; None if it has none.

    A malformed one must not keep the rest of a configuration from taking
    effect, for example keys that are taken away.

    :param row: the encoded route or account
    :param previous: the ranks in force by name, which remain in that case
    """
    value = row.get("priority")
    try:
        return None if value is None else wire.parse_integer(value)
    except ValueError as error:
        name = wire.parse_string(row["name"])
        LOG.error(
            "a rank in the configuration is malformed",
            extra=logs.make_extra(
                row=name,
                value=repr(value)[: wire.MAX_LOGGED_LENGTH],
                in_force=previous.get(name),
                reason=repr(error),
            ),
        )
        return previous.get(name)


class _Server:
    """A server entry after parsing.

    :param pool: the pool's name
    :param row: the upstream
    :param started_ms: when the incarnation started, in ms of the server's own
        clock; 0 if unknown
    """

    __slots__ = ("pool", "row", "started_ms")

    def __init__(
        self, pool: str, row: tables.Upstream, started_ms: int
    ) -> None:
        self.pool = pool
        self.row = row
        self.started_ms = started_ms


def _list_current(
    servers: collections.abc.Iterable[_Server],
) -> list[_Server]:
    """Return the servers without previous incarnations at an address.

    The entry of a server that crashed and restarted under another name stays
    for three more heartbeats.  If it were used, prompts would be sent to an
    incarnation that has ended, and the pool would have one engine too many.
    """
    newest: dict[str, int] = {}
    parsed = list(servers)
    for server in parsed:
        address = server.row.address
        newest[address] = max(newest.get(address, 0), server.started_ms)
    return [
        server
        for server in parsed
        if not server.started_ms
        or server.started_ms == newest[server.row.address]
    ]


def _parse_started_ms(value: Value) -> int:
    """Return when a server's incarnation started, in ms; 0 if unknown."""
    started_ms = value.get("born")
    if started_ms is None:
        return 0
    return wire.parse_integer(started_ms, maximum=MAX_STARTED_MS)


def _parse_server(
    entry: base.StoredObject,
    kinds: collections.abc.Mapping[str, tables.PoolKind],
    evacuated_zones: frozenset[str],
) -> _Server:
    """Parse a server entry.

    :raises ValueError: if it names no server; other ``PARSE_ERRORS`` as well
    """
    value = entry.value
    pool = wire.parse_string(value["service"])
    if pool not in kinds:
        raise ValueError("unknown service")
    address = wire.parse_string(value["address"])
    addresses.split_ip(address)
    name = wire.parse_id(entry.name)
    if len(name) > MAX_NAME_LENGTH:
        raise ValueError("the name is too long")
    zone = wire.parse_zone(wire.parse_string(value["zone"]))
    state = wire.parse_string(value["state"])
    if state not in (READY_STATE, DRAINING_STATE):
        raise ValueError("unknown state")
    for field, types in FIELD_TYPES.items():
        if type(value[field]) not in types:
            raise ValueError(f"{field} is of another type")
    role = tables.UpstreamRole.SERVICE
    if kinds[pool] is tables.PoolKind.MODEL:
        role = ROLES[value["phase"]]
    started_ms = _parse_started_ms(value)
    version = _parse_version(value, entry.name, started_ms)
    row = tables.Upstream(
        name,
        address,
        zone,
        role,
        state == DRAINING_STATE,
        version=version,
        cordoned=zone in evacuated_zones,
        cold_left_ms=int(
            wire.parse_amount(value.get("cold_left_ms"), MAX_COLD_MS)
        ),
        position_=entry.content_position,
        started_ms=started_ms,
        slots=int(wire.parse_amount(value.get("slots"), MAX_SLOTS)),
    )
    return _Server(pool, row, started_ms)


def _parse_version(value: Value, name: str, started_ms: int) -> str:
    """Return the software version of a server.

    One that is missing or malformed becomes a version of this incarnation
    alone, because it may differ from that of any other server.
    """
    version = value.get("version")
    if (
        isinstance(version, str)
        and 0 < len(version) <= MAX_VERSION_LENGTH
        and version.isprintable()
    ):
        return version
    return f"unknown:{name}:{started_ms}"[:MAX_VERSION_LENGTH]


def _set_upstreams(
    pool: tables.Pool, upstreams: tuple[tables.Upstream, ...]
) -> tables.Pool:
    return tables.Pool(
        pool.name,
        pool.kind,
        upstreams,
        pool.models,
        slots=pool.slots,
        block_tokens=pool.block_tokens,
        link_bytes_per_s=pool.link_bytes_per_s,
        kv_bytes_per_token=pool.kv_bytes_per_token,
        kv_capacity_tokens=pool.kv_capacity_tokens,
        max_connections=pool.max_connections,
        role_switch_ms=pool.role_switch_ms,
        has_chunked_prefill=pool.has_chunked_prefill,
        pause_ms=pool.pause_ms,
        hold_ms=pool.hold_ms,
        cold_requests_per_s=pool.cold_requests_per_s,
        cold_ms=pool.cold_ms,
    )

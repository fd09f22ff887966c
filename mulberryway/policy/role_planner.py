"""Plans how many engines of a pool have the prefill role."""

import collections.abc
import math

from mulberryway import tables
from mulberryway.policy import orders
from mulberryway.policy import pool_demand
from mulberryway.upstreams import base as upstreams

__all__ = ["RolePlanner"]

# A prefill takes a fraction of a second, while a decode occupies an engine's
# memory for seconds, so decode engines fill up while prefill engines are idle.
# One engine in this many has the prefill role while the demand is unknown;
# prompts beyond its capacity in a burst become chunked prefills on decode
# engines.
ENGINES_PER_PREFILL = 3.5
# Smaller pools keep the roles that their operators configured.
MIN_ENGINES = 3
# Pools of fewer engines do not follow the demand: one change would take a
# quarter of them or more out of service.
MIN_ENGINES_BY_DEMAND = 5
# A new role appears in the pool only after the engine has drained and
# registered again, which takes several seconds.  An order whose response was
# lost may still be executed up to twelve seconds later.
ORDER_COOLDOWN_MS = 20_000
# Engines serve no requests while they change their role.
MAX_CONCURRENT_CHANGES = 2
# A change takes longer than most bursts, so the demand counts by its means
# over this many durations of a change, and only if memory or prefill engines
# were short for as long in the last minute.
WINDOW_SWITCHES = 2
DEFAULT_SWITCH_MS = 6_000
# Prefill engines are planned for this part of their time, so that prompts
# seldom wait for one another, and are too few beyond the second one.
PLANNED_UTILIZATION = 0.6
MAX_UTILIZATION = 0.85
# Memory of decode engines is short if this fraction of it is reserved, and may
# be given up for a prefill engine if less than the second one is.
SHORT_MEMORY = 0.9
SPARE_MEMORY = 0.7
# By its demand, a pool keeps at least this many, so that the loss of one
# leaves another.
MIN_PREFILLS = 2
# After a change, none in the opposite direction follows for this time.
DWELL_MS = 60_000
# Bounds the engines whose last role is known, as a multiple of those listed.
MAX_ENGINES_PER_ROW = 4
MS_IN_S = 1_000

PREFILL = tables.UpstreamRole.PREFILL
DECODE = tables.UpstreamRole.DECODE


class _PoolRoles:
    """The roles of a pool's engines as the tables have shown them."""

    __slots__ = ("by_engine", "last_role", "changed_ms")

    def __init__(self) -> None:
        self.by_engine: dict[str, tables.UpstreamRole] = {}
        # The role that an engine got last, and when it was seen.
        self.last_role: tables.UpstreamRole | None = None
        self.changed_ms = 0

    def update(self, pool: tables.Pool, now_ms: int) -> None:
        roles = {row.name: row.role for row in pool.upstreams}
        changed = [
            role
            for name, role in roles.items()
            if self.by_engine.get(name, role) is not role
        ]
        if changed:
            self.last_role, self.changed_ms = changed[-1], now_ms
        # An engine is missing from the tables while it changes its role.
        if len(self.by_engine) > MAX_ENGINES_PER_ROW * len(roles):
            self.by_engine = {}
        self.by_engine |= roles

    def may_become(self, role: tables.UpstreamRole, now_ms: int) -> bool:
        return (
            self.last_role in (None, role)
            or now_ms - self.changed_ms >= DWELL_MS
        )


class RolePlanner(orders.Planner):
    """Plans orders that change engines' roles.

    Surplus prefill engines become decode engines.  The demand decides how many
    are surplus where it is known, and which decode engines become prefill
    engines.  The roles in the tables are the truth: what is in memory only
    delays orders.
    """

    def __init__(self) -> None:
        self._ordered: dict[tuple[str, str], tuple[str, int]] = {}
        self._roles: dict[str, _PoolRoles] = {}

    def plan(
        self,
        pools: collections.abc.Mapping[str, tables.Pool],
        loads: collections.abc.Mapping[tuple[str, str], upstreams.EngineLoad],
        now_ms: int,
    ) -> list[orders.PlannedOrder]:
        """Return the orders that may be sent now.

        :param pools: the pools by name
        :param loads: unused, because roles are part of the tables
        :param now_ms: current time in milliseconds
        :returns: the orders
        """
        self._ordered = {
            key: ordered
            for key, ordered in self._ordered.items()
            if now_ms - ordered[1] < ORDER_COOLDOWN_MS
        }
        self._roles = {
            name: roles for name, roles in self._roles.items() if name in pools
        }
        return [
            order
            for name, pool in pools.items()
            if pool.kind is tables.PoolKind.MODEL and pool.has_chunked_prefill
            for order in self._plan_pool(name, pool, now_ms)
        ]

    def record_accepted(self, order: orders.PlannedOrder, now_ms: int) -> None:
        """Record that an engine accepted an order.

        :param order: the order
        :param now_ms: current time in milliseconds
        """
        self._ordered[order.pool, order.row.name] = order.argument, now_ms

    def record_failed(self, order: orders.PlannedOrder, now_ms: int) -> None:
        """Record that an order was rejected or got no response.

        :param order: the order
        :param now_ms: current time in milliseconds
        """
        self._ordered[order.pool, order.row.name] = order.argument, now_ms

    def reset(self) -> None:
        """Discard all orders because this VM is no longer the leader."""
        self._ordered.clear()

    def _plan_pool(
        self, name: str, pool: tables.Pool, now_ms: int
    ) -> list[orders.PlannedOrder]:
        roles = self._roles.setdefault(name, _PoolRoles())
        roles.update(pool, now_ms)
        # An evacuated zone comes back with the roles that its engines have.
        kept = [
            row for row in pool.upstreams if row.cordoned or not row.leaving
        ]
        if len(kept) < MIN_ENGINES:
            return []
        ordered = {
            key[1]: value
            for key, value in self._ordered.items()
            if key[0] == name
        }
        available = max(MAX_CONCURRENT_CHANGES - len(ordered), 0)
        unordered = [row for row in kept if row.name not in ordered]
        prefills = [row for row in unordered if row.role is PREFILL]
        desired = max(round(len(kept) / ENGINES_PER_PREFILL), 1)
        demand = self._find_demand(name, pool, kept)
        inputs: dict[str, float] = {}
        if demand is not None:
            coming = len(prefills) + sum(
                argument == PREFILL.value for argument, _ in ordered.values()
            )
            switch_s = _get_switch_s(pool)
            needed = _count_needed(demand, switch_s)
            inputs = _describe(demand, switch_s, coming, needed)
            if _must_add(demand, switch_s, coming, len(kept)):
                count = min(
                    needed - coming,
                    available,
                    _count_spare(demand, coming, len(kept)),
                )
                return self._add_prefills(
                    name, unordered, count, demand, inputs, now_ms
                )
            if _is_memory_short(demand, switch_s):
                if needed < desired and not roles.may_become(DECODE, now_ms):
                    needed = desired
                desired = min(desired, needed)
            else:
                desired = max(desired, needed)
        surplus = min(len(prefills) - desired, available)
        return [
            orders.PlannedOrder(name, row, "role", DECODE.value, inputs)
            for row in sorted(
                (row for row in prefills if not row.cordoned),
                key=lambda row: row.name,
            )[: max(surplus, 0)]
        ]

    def _find_demand(
        self, name: str, pool: tables.Pool, kept: list[tables.Upstream]
    ) -> pool_demand.PoolDemand | None:
        """Return a pool's demand if it may decide; otherwise none."""
        demand = self.demands.get(name)
        if (
            demand is None
            or len(kept) < MIN_ENGINES_BY_DEMAND
            or any(row.cordoned for row in kept)
            or len(demand.memory_load) < _get_switch_s(pool) * WINDOW_SWITCHES
        ):
            return None
        return demand

    def _add_prefills(
        self,
        name: str,
        rows: list[tables.Upstream],
        count: int,
        demand: pool_demand.PoolDemand,
        inputs: dict[str, float],
        now_ms: int,
    ) -> list[orders.PlannedOrder]:
        if not self._roles[name].may_become(PREFILL, now_ms):
            return []
        decodes = [row for row in rows if row.role is DECODE]
        # Streams resume at an engine of the software version that began them.
        left = {
            version: sum(row.version == version for row in decodes)
            for version in {row.version for row in decodes}
        }
        chosen = []
        for row in sorted(
            decodes,
            key=lambda row: (demand.held_blocks.get(row.name, 0), row.name),
        ):
            if len(chosen) < count and left[row.version] > 1:
                left[row.version] -= 1
                chosen.append(row)
        return [
            orders.PlannedOrder(name, row, "role", PREFILL.value, inputs)
            for row in chosen
        ]


def _get_switch_s(pool: tables.Pool) -> int:
    switch_ms = pool.role_switch_ms or DEFAULT_SWITCH_MS
    return max(math.ceil(switch_ms / MS_IN_S), 1)


def _count_needed(demand: pool_demand.PoolDemand, switch_s: int) -> int:
    """Return how many prefill engines the demand needs."""
    mean = demand.get_mean_prefill(switch_s * WINDOW_SWITCHES)
    # A burst, smoothed over two seconds, may keep them busy.
    peak = demand.get_mean_prefill(2)
    return max(
        math.ceil(mean / PLANNED_UTILIZATION),
        math.ceil(peak / MAX_UTILIZATION),
        MIN_PREFILLS,
    )


def _must_add(
    demand: pool_demand.PoolDemand, switch_s: int, prefills: int, engines: int
) -> bool:
    """Return whether decode engines have to become prefill engines."""
    return (
        demand.count_busy_s(prefills * MAX_UTILIZATION)
        >= switch_s * WINDOW_SWITCHES
        and _count_spare(demand, prefills, engines) > 0
    )


def _count_spare(
    demand: pool_demand.PoolDemand, prefills: int, engines: int
) -> int:
    """Return how many decode engines the memory in use can spare."""
    decodes = engines - prefills
    memory = max(demand.memory_load, default=0.0)
    most = min(max(engines // 2 - prefills, 0), MAX_CONCURRENT_CHANGES)
    return max(
        (
            count
            for count in range(1, most + 1)
            if memory * decodes / max(decodes - count, 1) < SPARE_MEMORY
        ),
        default=0,
    )


def _is_memory_short(demand: pool_demand.PoolDemand, switch_s: int) -> bool:
    full_s = demand.count_full_s(SHORT_MEMORY)
    return full_s >= switch_s * WINDOW_SWITCHES


def _describe(
    demand: pool_demand.PoolDemand, switch_s: int, prefills: int, needed: int
) -> dict[str, float]:
    """Return the inputs of a plan for logs."""
    window_s = switch_s * WINDOW_SWITCHES
    return {
        "prefill_engines": prefills,
        "needed": needed,
        "prefill_load": round(demand.get_mean_prefill(window_s), 2),
        "prefill_peak": round(demand.get_mean_prefill(2), 2),
        "memory_peak": round(max(demand.memory_load, default=0.0), 2),
        "memory_short_s": demand.count_full_s(SHORT_MEMORY),
    }

"""Plans how many engines of a pool have the prefill role."""

import collections.abc

from mulberryway import tables
from mulberryway.policy import orders
from mulberryway.upstreams import base as upstreams

__all__ = ["RolePlanner"]

# A prefill takes a fraction of a second, while a decode occupies an engine's
# memory for seconds, so decode engines fill up while prefill engines are idle.
# One engine in this many has the prefill role; prompts beyond its capacity in
# a burst become chunked prefills on decode engines.
ENGINES_PER_PREFILL = 3.5
# Smaller pools keep the roles that their operators configured.
MIN_ENGINES = 3
# A new role appears in the pool only after the engine has drained and
# registered again, which takes several seconds.  An order whose response was
# lost may still be executed up to twelve seconds later.
ORDER_COOLDOWN_MS = 20_000
# Engines serve no requests while they change their role.
MAX_CONCURRENT_CHANGES = 2


class RolePlanner(orders.Planner):
    """Plans orders that turn surplus prefill engines into decode engines."""

    def __init__(self) -> None:
        self._ordered_ms: dict[tuple[str, str], int] = {}

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
        self._ordered_ms = {
            key: at_ms
            for key, at_ms in self._ordered_ms.items()
            if now_ms - at_ms < ORDER_COOLDOWN_MS
        }
        return [
            order
            for name, pool in pools.items()
            if pool.kind is tables.PoolKind.MODEL and pool.has_chunked_prefill
            for order in self._plan_pool(name, pool)
        ]

    def record_accepted(self, order: orders.PlannedOrder, now_ms: int) -> None:
        """Record that an engine accepted an order.

        :param order: the order
        :param now_ms: current time in milliseconds
        """
        self._ordered_ms[order.pool, order.row.name] = now_ms

    def record_failed(self, order: orders.PlannedOrder, now_ms: int) -> None:
        """Record that an order was rejected or got no response.

        :param order: the order
        :param now_ms: current time in milliseconds
        """
        self._ordered_ms[order.pool, order.row.name] = now_ms

    def reset(self) -> None:
        """Discard all state because this VM is no longer the leader."""
        self._ordered_ms.clear()

    def _plan_pool(
        self, name: str, pool: tables.Pool
    ) -> list[orders.PlannedOrder]:
        # An evacuated zone comes back with the roles that its engines have.
        kept = [
            row for row in pool.upstreams if row.cordoned or not row.leaving
        ]
        if len(kept) < MIN_ENGINES:
            return []
        changing = sum(key[0] == name for key in self._ordered_ms)
        prefills = [
            row
            for row in kept
            if row.role is tables.UpstreamRole.PREFILL
            and (name, row.name) not in self._ordered_ms
        ]
        desired = max(round(len(kept) / ENGINES_PER_PREFILL), 1)
        surplus = len(prefills) - desired
        available = max(MAX_CONCURRENT_CHANGES - changing, 0)
        return [
            orders.PlannedOrder(
                name, row, "role", tables.UpstreamRole.DECODE.value
            )
            for row in sorted(
                (row for row in prefills if not row.cordoned),
                key=lambda row: row.name,
            )[: max(min(surplus, available), 0)]
        ]

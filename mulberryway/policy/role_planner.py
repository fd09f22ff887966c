"""How many engines of a pool read prompts, and which change their role."""

import collections.abc

from mulberryway import tables
from mulberryway.policy import orders
from mulberryway.upstreams import base as upstreams

__all__ = ["RolePlanner"]

# Reading a prompt takes a fraction of a second and making its answer takes
# seconds of an engine's memory, so decode engines fill up while prefill
# engines idle.  One engine in so many reads prompts; what it cannot take in a
# burst, decode engines read themselves.
ENGINES_PER_PREFILL = 3.5
# A smaller pool is left as its operators made it.
MIN_ENGINES = 3
# What was ordered shows in the pool only when the engine has emptied itself
# and is back, which takes several seconds; and an order whose answer was
# lost may be carried out up to twelve seconds later.
ORDER_COOLDOWN_MS = 20_000
# Engines that change their role serve nothing meanwhile, so not all at once.
MAX_CONCURRENT_CHANGES = 2


class RolePlanner(orders.Planner):
    """Turns surplus prefill engines into decode engines."""

    def __init__(self) -> None:
        self._ordered_ms: dict[tuple[str, str], int] = {}

    def plan(
        self,
        pools: collections.abc.Mapping[str, tables.Pool],
        loads: collections.abc.Mapping[tuple[str, str], upstreams.EngineLoad],
        now_ms: int,
    ) -> list[orders.PlannedOrder]:
        """Return the orders that may be given now.

        :param pools: the pools by name
        :param loads: not looked at: a role stands in the tables
        :param now_ms: the present
        :returns: orders
        """
        self._ordered_ms = {
            key: at_ms
            for key, at_ms in self._ordered_ms.items()
            if now_ms - at_ms < ORDER_COOLDOWN_MS
        }
        return [
            order
            for name, pool in pools.items()
            if pool.kind is tables.PoolKind.MODEL and pool.self_reading
            for order in self._plan_pool(name, pool)
        ]

    def record_accepted(self, order: orders.PlannedOrder, now_ms: int) -> None:
        """Tell that an engine took an order.

        :param order: the order
        :param now_ms: the present
        """
        self._ordered_ms[order.pool, order.row.name] = now_ms

    def record_failed(self, order: orders.PlannedOrder, now_ms: int) -> None:
        """Tell that an order was refused or got no answer.

        :param order: the order
        :param now_ms: the present
        """
        self._ordered_ms[order.pool, order.row.name] = now_ms

    def forget(self) -> None:
        """Forget all, for this VM is the issuer no longer."""
        self._ordered_ms.clear()

    def _plan_pool(
        self, name: str, pool: tables.Pool
    ) -> list[orders.PlannedOrder]:
        active = [row for row in pool.upstreams if not row.leaving]
        if len(active) < MIN_ENGINES:
            return []
        changing = sum(key[0] == name for key in self._ordered_ms)
        prefills = sorted(
            (
                row
                for row in active
                if row.role is tables.UpstreamRole.PREFILL
                and (name, row.name) not in self._ordered_ms
            ),
            key=lambda row: row.name,
        )
        desired = max(round(len(active) / ENGINES_PER_PREFILL), 1)
        surplus = len(prefills) - desired
        available = max(MAX_CONCURRENT_CHANGES - changing, 0)
        return [
            orders.PlannedOrder(
                name, row, "role", tables.UpstreamRole.DECODE.value
            )
            for row in prefills[: max(min(surplus, available), 0)]
        ]

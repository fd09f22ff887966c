"""Decides which orders engines need, and how many may run at once."""

import abc
import collections.abc
import types

from mulberryway import tables
from mulberryway.policy import pool_demand
from mulberryway.upstreams import base as upstreams

__all__ = ["OrderPlanner", "PlannedOrder", "Planner"]

# The weight store is rate-limited and engines serve no requests while they
# load; more loads at once would share its rate and all finish late.
MAX_LOADS = 2
# A load that is not in the engine's report within this time is sent again.
LOAD_TIMEOUT_MS = 300_000
# Time in ms before a rejected or unanswered order is sent again.
RETRY_MS = 15_000


class PlannedOrder:
    """An order that an engine needs.

    :param pool: the pool's name
    :param row: the engine's row
    :param verb: ``load``, ``unload`` or ``role``
    :param argument: the model's name, or the role
    :param inputs: what the decision was made from, for logs
    """

    __slots__ = ("pool", "row", "verb", "argument", "inputs")

    def __init__(
        self,
        pool: str,
        row: tables.Upstream,
        verb: str,
        argument: str,
        inputs: collections.abc.Mapping[str, float] | None = None,
    ) -> None:
        self.inputs = inputs or {}
        self.pool = pool
        self.row = row
        self.verb = verb
        self.argument = argument

    def get_key(self) -> tuple[str, str, str, str]:
        """Return the key that identifies this order."""
        return self.pool, self.row.name, self.verb, self.argument


class Planner(abc.ABC):
    """Decides which orders engines need."""

    # Whether the engine's state is queried immediately before an order, which
    # is then valid for that state only.
    needs_state: bool = True
    # What is asked of the pools, by name, where it is known.
    demands: collections.abc.Mapping[str, pool_demand.PoolDemand] = (
        types.MappingProxyType({})
    )

    def update_demands(
        self, demands: collections.abc.Mapping[str, pool_demand.PoolDemand]
    ) -> None:
        """Replace what is asked of the pools.

        :param demands: the known demands by pool
        """
        self.demands = demands

    @abc.abstractmethod
    def plan(
        self,
        pools: collections.abc.Mapping[str, tables.Pool],
        loads: collections.abc.Mapping[tuple[str, str], upstreams.EngineLoad],
        now_ms: int,
    ) -> list[PlannedOrder]:
        """Return the orders that may be sent now.

        :param pools: the pools by name
        :param loads: the newest reports by pool and upstream
        :param now_ms: current time in ms
        :returns: the orders
        """

    @abc.abstractmethod
    def record_accepted(self, order: PlannedOrder, now_ms: int) -> None:
        """Record that an engine accepted an order.

        :param order: the order
        :param now_ms: current time in ms
        """

    @abc.abstractmethod
    def record_failed(self, order: PlannedOrder, now_ms: int) -> None:
        """Record that an order was rejected or not answered.

        :param order: the order
        :param now_ms: current time in ms
        """

    @abc.abstractmethod
    def reset(self) -> None:
        """Clear all state, because this VM is no longer the leader."""


class OrderPlanner(Planner):
    """Compares the table of pools with the reports of engines.

    :param most_loads: maximum number of concurrent loads, over all pools
    """

    needs_state = False

    def __init__(self, most_loads: int = MAX_LOADS) -> None:
        self._max_loads = most_loads
        self._loading: dict[tuple[str, str, str, str], int] = {}
        self._accepted_roles: dict[tuple[str, str], str] = {}
        self._failed_ms: dict[tuple[str, str, str, str], int] = {}

    def plan(
        self,
        pools: collections.abc.Mapping[str, tables.Pool],
        loads: collections.abc.Mapping[tuple[str, str], upstreams.EngineLoad],
        now_ms: int,
    ) -> list[PlannedOrder]:
        """Return the orders that may be sent now.

        An engine whose report is not known gets no load or unload, because it
        may already have the model. Draining engines get no orders.

        :param pools: the pools by name
        :param loads: the newest reports by pool and upstream
        :param now_ms: current time in ms
        :returns: the orders, roles first
        """
        needed = [
            order
            for name, pool in pools.items()
            if pool.kind is tables.PoolKind.MODEL
            for row in pool.upstreams
            if not row.leaving
            for order in self._list_needed(name, pool, row, loads)
        ]
        self._remove_finished(needed, now_ms)
        ready = [order for order in needed if self._is_ready(order, now_ms)]
        free_loads = max(self._max_loads - len(self._loading), 0)
        loading = [order for order in ready if order.verb == "load"]
        return [o for o in ready if o.verb != "load"] + loading[:free_loads]

    def record_accepted(self, order: PlannedOrder, now_ms: int) -> None:
        """Record that an engine accepted an order.

        :param order: the order
        :param now_ms: current time in ms
        """
        if order.verb == "load":
            self._loading[order.get_key()] = now_ms
        elif order.verb == "role":
            key = order.pool, order.row.name
            self._accepted_roles[key] = order.argument
        else:
            self._failed_ms[order.get_key()] = now_ms

    def record_failed(self, order: PlannedOrder, now_ms: int) -> None:
        """Record that an order was rejected or not answered.

        All orders are idempotent, so an order that may have arrived is sent
        again.

        :param order: the order
        :param now_ms: current time in ms
        """
        self._failed_ms[order.get_key()] = now_ms

    def reset(self) -> None:
        """Clear all state, because this VM is no longer the leader.

        Running loads continue to use the weight store's rate. A new leader
        cannot count loads that are not yet in reports and that it did not send
        itself, so for the duration of one load there may be twice as many.
        """
        self._loading.clear()
        self._accepted_roles.clear()
        self._failed_ms.clear()

    def _list_needed(
        self,
        name: str,
        pool: tables.Pool,
        row: tables.Upstream,
        loads: collections.abc.Mapping[tuple[str, str], upstreams.EngineLoad],
    ) -> list[PlannedOrder]:
        orders = []
        role = row.role.value
        if self._accepted_roles.get((name, row.name)) != role:
            orders.append(PlannedOrder(name, row, "role", role))
        load = loads.get((name, row.name))
        if load is None or not pool.models:
            return orders
        orders += [
            PlannedOrder(name, row, "load", model)
            for model in pool.models
            if model not in load.models
        ]
        # A model is unloaded only after all its replacements are loaded.
        if set(pool.models) <= set(load.models):
            orders += [
                PlannedOrder(name, row, "unload", model)
                for model in load.models
                if model not in pool.models
            ]
        return orders

    def _remove_finished(
        self, needed: list[PlannedOrder], now_ms: int
    ) -> None:
        keys = {order.get_key() for order in needed}
        self._loading = {
            key: at_ms
            for key, at_ms in self._loading.items()
            if key in keys and now_ms - at_ms < LOAD_TIMEOUT_MS
        }
        self._failed_ms = {
            key: at_ms
            for key, at_ms in self._failed_ms.items()
            if key in keys and now_ms - at_ms < RETRY_MS
        }

    def _is_ready(self, order: PlannedOrder, now_ms: int) -> bool:
        key = order.get_key()
        return key not in self._loading and key not in self._failed_ms

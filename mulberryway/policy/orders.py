"""Which orders engines need, and how many may run at once."""

import abc
import collections.abc

from mulberryway import tables
from mulberryway.upstreams import base as upstreams

__all__ = ["OrderPlanner", "PlannedOrder", "Planner"]

# The weight store is rate-limited, and loading engines serve nothing: loads
# that share its rate would all end late.
MOST_LOADS = 2
# A load that is not seen in the engine's report by then is ordered again.
LOAD_TIMEOUT_MS = 300_000
# What was refused or got no answer is not ordered again at once.
RETRY_MS = 15_000


class PlannedOrder:
    """An order that an engine needs.

    :param pool: the pool's name
    :param row: the engine's row
    :param verb: ``load``, ``unload`` or ``role``
    :param argument: the model's name, or the role
    """

    __slots__ = ("pool", "row", "verb", "argument")

    def __init__(
        self, pool: str, row: tables.Upstream, verb: str, argument: str
    ) -> None:
        self.pool = pool
        self.row = row
        self.verb = verb
        self.argument = argument

    def get_key(self) -> tuple[str, str, str, str]:
        """Return what tells this order from others."""
        return self.pool, self.row.name, self.verb, self.argument


class Planner(abc.ABC):
    """Decides which orders engines need."""

    # Whether an engine is asked for its state right before an order, which
    # then holds only for that state.
    needs_state: bool = True

    @abc.abstractmethod
    def plan(
        self,
        pools: collections.abc.Mapping[str, tables.Pool],
        loads: collections.abc.Mapping[tuple[str, str], upstreams.EngineLoad],
        now_ms: int,
    ) -> list[PlannedOrder]:
        """Return the orders that may be given now.

        :param pools: the pools by name
        :param loads: the newest reports by pool and upstream
        :param now_ms: the present
        :returns: orders
        """

    @abc.abstractmethod
    def record_accepted(self, order: PlannedOrder, now_ms: int) -> None:
        """Tell that an engine took an order.

        :param order: the order
        :param now_ms: the present
        """

    @abc.abstractmethod
    def record_failed(self, order: PlannedOrder, now_ms: int) -> None:
        """Tell that an order was refused or got no answer.

        :param order: the order
        :param now_ms: the present
        """

    @abc.abstractmethod
    def forget(self) -> None:
        """Forget all, for this VM is the issuer no longer."""


class OrderPlanner(Planner):
    """Compares the table of pools with what engines report.

    :param most_loads: how many loads may run at once, over all pools
    """

    needs_state = False

    def __init__(self, most_loads: int = MOST_LOADS) -> None:
        self._most_loads = most_loads
        self._loading: dict[tuple[str, str, str, str], int] = {}
        self._given_roles: dict[tuple[str, str], str] = {}
        self._failed_ms: dict[tuple[str, str, str, str], int] = {}

    def plan(
        self,
        pools: collections.abc.Mapping[str, tables.Pool],
        loads: collections.abc.Mapping[tuple[str, str], upstreams.EngineLoad],
        now_ms: int,
    ) -> list[PlannedOrder]:
        """Return the orders that may be given now.

        An engine whose report is not known gets no load or unload, for it
        may have the model already.  Leaving engines get nothing.

        :param pools: the pools by name
        :param loads: the newest reports by pool and upstream
        :param now_ms: the present
        :returns: orders, roles first
        """
        needed = [
            order
            for name, pool in pools.items()
            if pool.kind is tables.PoolKind.MODEL
            for row in pool.upstreams
            if not row.leaving
            for order in self._list_needed(name, pool, row, loads)
        ]
        self._forget_done(needed, now_ms)
        ready = [order for order in needed if self._is_ready(order, now_ms)]
        room = max(self._most_loads - len(self._loading), 0)
        loading = [order for order in ready if order.verb == "load"]
        return [o for o in ready if o.verb != "load"] + loading[:room]

    def record_accepted(self, order: PlannedOrder, now_ms: int) -> None:
        """Tell that an engine took an order.

        :param order: the order
        :param now_ms: the present
        """
        if order.verb == "load":
            self._loading[order.get_key()] = now_ms
        elif order.verb == "role":
            key = order.pool, order.row.name
            self._given_roles[key] = order.argument
        else:
            self._failed_ms[order.get_key()] = now_ms

    def record_failed(self, order: PlannedOrder, now_ms: int) -> None:
        """Tell that an order was refused or got no answer.

        All orders are idempotent, so one that may have arrived is repeated.

        :param order: the order
        :param now_ms: the present
        """
        self._failed_ms[order.get_key()] = now_ms

    def forget(self) -> None:
        """Forget all, for this VM is the issuer no longer.

        Loads that run go on to use the weight store's rate; a new issuer
        counts those that reports do not show yet only from its own orders,
        so for one load time there may be twice as many.
        """
        self._loading.clear()
        self._given_roles.clear()
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
        if self._given_roles.get((name, row.name)) != role:
            orders.append(PlannedOrder(name, row, "role", role))
        load = loads.get((name, row.name))
        if load is None or not pool.models:
            return orders
        orders += [
            PlannedOrder(name, row, "load", model)
            for model in pool.models
            if model not in load.models
        ]
        # A model goes only when all that replace it are there.
        if set(pool.models) <= set(load.models):
            orders += [
                PlannedOrder(name, row, "unload", model)
                for model in load.models
                if model not in pool.models
            ]
        return orders

    def _forget_done(self, needed: list[PlannedOrder], now_ms: int) -> None:
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

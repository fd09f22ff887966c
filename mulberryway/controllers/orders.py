"""Sends orders to engines while this VM holds the leader's lease."""

import collections.abc
import logging
import typing

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import tables
from mulberryway.controllers import base
from mulberryway.objects import base as platform
from mulberryway.objects import position
from mulberryway.policy import leader_lease
from mulberryway.policy import orders
from mulberryway.policy import pool_demand
from mulberryway.upstreams import base as upstreams

__all__ = ["OrdersController"]

LOG = logging.getLogger(__name__)

KIND = "leases"
NAME = "orders"
PURPOSE = "orders"
PERIOD_MS = 1_000
# The lease is renewed between steps, and would expire during a step that takes
# too long.
MAX_ORDERS_PER_STEP = 50
# Engines may read fencing tokens as numbers of 64 bits.
MAX_NUMBER = 2**63 - 1

EngineFinder = collections.abc.Callable[[str, str], upstreams.Engine | None]
LoadReader = collections.abc.Callable[
    [], collections.abc.Mapping[tuple[str, str], upstreams.EngineLoad]
]
DemandReader = collections.abc.Callable[
    [], collections.abc.Mapping[str, pool_demand.PoolDemand]
]


class OrdersController(base.Controller):
    """Holds the leader's lease and sends the orders that engines need.

    :param vm: this VM's name
    :param incarnation: the incarnation of this VM's router
    :param store: the platform's store
    :param source: the active tables
    :param find_engine: finds an engine by pool and upstream
    :param read_loads: returns the newest load reports
    :param is_candidate: returns whether this VM may become the leader
    :param clock_: the clock
    :param planner: decides which orders are needed; the default compares
        the tables with the engines' reports
    :param read_demands: returns what is asked of the pools
    :param read_era: returns the latest known era of the store; 0 if it names
        none
    :param is_first_start: see :class:`leader_lease.LeaderLease`
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        store: platform.ObjectStore,
        source: tables.TableSource,
        find_engine: EngineFinder,
        read_loads: LoadReader,
        is_candidate: collections.abc.Callable[[], bool],
        clock_: clock.Clock,
        planner: orders.Planner | None = None,
        read_demands: DemandReader = dict,
        read_era: collections.abc.Callable[[], int] = lambda: 0,
        is_first_start: bool = True,
    ) -> None:
        super().__init__("orders", clock_, PERIOD_MS)
        self._vm = vm
        self._store = store
        self._source = source
        self._find_engine = find_engine
        self._read_loads = read_loads
        self._is_candidate = is_candidate
        self._lease = leader_lease.LeaderLease(vm, incarnation, is_first_start)
        self._planner = planner or orders.OrderPlanner()
        self._read_demands = read_demands
        self._read_era = read_era
        self._fencing = 0

    def step(self) -> None:
        """Renew the lease, then send the orders that are due."""
        self._record_era()
        tables_ = self._source.get_tables()
        if tables_ is None:
            return
        self._planner.update_demands(self._read_demands())
        if self._is_idle(tables_):
            return
        self._maintain_lease()
        now_ms = self.clock.now_ms()
        if not self._lease.may_send(True, now_ms):
            return
        if self._lease.fencing != self._fencing:
            self._fencing = self._lease.fencing
            self._planner.reset()
        planned = self._planner.plan(tables_.pools, self._read_loads(), now_ms)
        for order in planned[:MAX_ORDERS_PER_STEP]:
            self._send_order(order)

    def _is_idle(self, tables_: tables.Tables) -> bool:
        # Store calls are limited, so no VM holds the lease while no orders are
        # needed.  The planner needs no lease to determine that.
        return self._planner.needs_state and not self._planner.plan(
            tables_.pools, self._read_loads(), self.clock.now_ms()
        )

    def _maintain_lease(self) -> None:
        action = self._lease.decide(self._is_candidate(), self.clock.now_ms())
        if action is leader_lease.LeaseAction.READ:
            self._read()
            action = self._lease.decide(True, self.clock.now_ms())
        if action is leader_lease.LeaseAction.WRITE:
            self._write()

    def _record_era(self) -> bool:
        """Return whether the store may have lost the lease meanwhile."""
        era, fencing = self._read_era(), self._lease.fencing
        if not self._lease.record_era(era, self.clock.now_ms()):
            return False
        LOG.warning(
            "the store may have lost the lease",
            extra=logs.make_extra(era=era, fencing=fencing),
        )
        return True

    def _read(self) -> None:
        result = self._store.read(KIND, NAME, PURPOSE)
        self._record_era()
        now_ms = self.clock.now_ms()
        if result.is_ok():
            record = _unpack(result.ok.value)
            self._lease.record_read(record, result.ok.position, now_ms)
        elif result.error.code is errors.Code.NOT_FOUND:
            self._lease.record_read(None, position.ORIGIN, now_ms)

    def _write(self) -> None:
        sent_ms = self.clock.now_ms()
        record = self._lease.make_record(sent_ms)
        is_takeover = record.fencing != self._lease.fencing
        value, version = _pack(record), self._lease.version
        if version != position.ORIGIN:
            result = self._store.update(
                KIND, NAME, value, version.revision, PURPOSE
            )
        else:
            result = self._store.create(KIND, NAME, value, PURPOSE)
        if self._record_era() and is_takeover:
            # The decision was based on the state before the store's return.
            return
        if result.is_ok():
            self._record_written(record, result.ok.position, sent_ms)
        elif result.error.run is errors.ExecutionStatus.MAY_HAVE_RUN:
            self._read_back(record, sent_ms)
        elif result.error.code is errors.Code.CONFLICT:
            # Another VM has written the lease and holds it now.
            self._lease.lose()
        elif result.error.code is errors.Code.NOT_FOUND:
            self._lease.record_deleted()

    def _read_back(
        self, record: leader_lease.LeaseRecord, sent_ms: int
    ) -> None:
        # The write may have taken effect although its reply was lost.  The
        # stored record shows it, because no two writes are equal.
        result = self._store.read(KIND, NAME, PURPOSE)
        if result.is_error():
            return
        stored = _unpack(result.ok.value)
        if _pack(stored) == _pack(record):
            self._record_written(record, result.ok.position, sent_ms)
        else:
            now_ms = self.clock.now_ms()
            self._lease.record_read(stored, result.ok.position, now_ms)

    def _record_written(
        self,
        record: leader_lease.LeaseRecord,
        version: position.Position,
        sent_ms: int,
    ) -> None:
        now_ms = self.clock.now_ms()
        if record.fencing != self._fencing:
            LOG.info("this VM is the leader now, fencing %d", record.fencing)
        self._lease.record_write(record, version, sent_ms, now_ms)

    def _send_order(self, order: orders.PlannedOrder) -> None:
        engine = self._find_engine(order.pool, order.row.name)
        if engine is None:
            return
        expected = None
        if self._planner.needs_state:
            state = engine.report_load()
            if state.is_error() or state.ok.is_executing_order:
                self._planner.record_failed(order, self.clock.now_ms())
                return
            expected = state.ok.orders
            if state.ok.role == order.argument:
                # The engine already has the role; the tables are outdated.
                self._planner.record_accepted(order, self.clock.now_ms())
                return
        sent = upstreams.Order(
            order.verb,
            order.argument,
            self._lease.fencing,
            self._vm,
            expected,
        )
        # If the process was paused after the lease was renewed, another VM may
        # hold the lease, and the order could revert the new leader's.  The
        # clock runs during a pause, so the lease is checked again right before
        # the order is sent.
        if not self._lease.may_send(
            order.row.checks_fencing, self.clock.now_ms()
        ):
            return
        result = engine.send_order(sent)
        now_ms = self.clock.now_ms()
        LOG.info(
            "an order was given",
            extra=logs.make_extra(
                result.error if result.is_error() else None,
                pool=order.pool,
                upstream=order.row.name,
                verb=order.verb,
                argument=order.argument,
                fencing=sent.fencing,
                expected=expected,
                **order.inputs,
            ),
        )
        if result.is_ok():
            self._planner.record_accepted(order, now_ms)
            return
        self._planner.record_failed(order, now_ms)
        if result.error.code is errors.Code.UPSTREAM_REFUSED:
            LOG.warning(
                "order rejected by its fencing number: %r", result.error
            )
            self._lease.lose()


def _pack(record: leader_lease.LeaseRecord) -> dict[str, typing.Any]:
    return {
        "holder": record.holder,
        "incarnation": record.incarnation,
        "fencing": record.fencing,
        "renewal": record.renewal,
    }


def _unpack(value: dict[str, typing.Any]) -> leader_lease.LeaseRecord:
    """Return the record of a stored lease.

    One that cannot be read is held by nobody who is known: it is taken over
    once a lease that was written when it was first read would have expired.
    """
    holder = value.get("holder")
    numbers = [
        value.get(name) for name in ("incarnation", "fencing", "renewal")
    ]
    if not isinstance(holder, str) or not all(map(_is_number, numbers)):
        LOG.warning("the stored lease is malformed", extra=logs.make_extra())
        return leader_lease.LeaseRecord("", 0, 0, 0)
    return leader_lease.LeaseRecord(holder, *numbers)


def _is_number(value: typing.Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_NUMBER

"""Asks engines for their load and cache events on behalf of a cell."""

import concurrent.futures

from mulberryway import clock
from mulberryway import tables
from mulberryway.controllers import base
from mulberryway.controllers import scheduler_gossip
from mulberryway.controllers import scheduling
from mulberryway.peers import gossip_messages
from mulberryway.policy import pool_subsets
from mulberryway.upstreams import base as upstreams
from mulberryway.upstreams import directory

__all__ = ["EngineReportController"]

# An engine's report lags by some hundred milliseconds itself, so asking more
# often than this tells nothing new.
MIN_PERIOD_MS = 500
# Bounds the processor time that reports take: with more engines each is asked
# more seldom.
MAX_CALLS_PER_S = 12
CALLS_PER_ENGINE = 2
MS_IN_S = 1_000
# One engine that does not answer must not hold the others' reports up.
WORKERS = 4


class EngineReportController(base.Controller):
    """Asks the engines that fall to this router, and tells its cell.

    :param notes_: knows the cell, and carries what was learnt to it
    :param scheduling_: takes it in here
    :param directory_: finds engines
    :param source: the tables in force
    :param vm: this VM's name
    :param clock_: where the time comes from
    """

    def __init__(
        self,
        notes_: scheduler_gossip.SchedulerGossipController,
        scheduling_: scheduling.SchedulingController,
        directory_: directory.UpstreamDirectory,
        source: tables.TableSource,
        vm: str,
        clock_: clock.Clock,
    ) -> None:
        super().__init__("engine-reports", clock_, MIN_PERIOD_MS)
        self._notes = notes_
        self._scheduling = scheduling_
        self._directory = directory_
        self._source = source
        self._vm = vm
        self._sequences: dict[tuple[str, str], int] = {}
        self._workers = concurrent.futures.ThreadPoolExecutor(
            WORKERS, "engine-reports"
        )

    def step(self) -> None:
        """Ask each engine that falls to this router once."""
        found = self._source.read_tables()
        if found is None:
            return
        asked = self._list_asked(found)
        calls = len(asked) * CALLS_PER_ENGINE
        self.period_ms = max(MIN_PERIOD_MS, calls * MS_IN_S // MAX_CALLS_PER_S)
        list(self._workers.map(lambda one: self._ask(*one), asked))

    def stop(self, wait_ms: int = 2_000) -> None:
        """End the thread and its helpers.

        :param wait_ms: the longest wait for the current step
        """
        super().stop(wait_ms)
        self._workers.shutdown(wait=False, cancel_futures=True)

    def list_assigned_engines(self) -> list[upstreams.Engine]:
        """Return the engines that fall to this router."""
        found = self._source.read_tables()
        if found is None:
            return []
        return [
            self._directory.find_engine(pool, upstream)
            for _, pool, upstream in self._list_asked(found)
        ]

    def _list_asked(
        self, found: tables.Tables
    ) -> list[tuple[pool_subsets.PoolSubset, tables.Pool, tables.Upstream]]:
        return [
            (share, found.pools[share.pool], upstream)
            for share in self._notes.shares
            if share.pool in found.pools
            for upstream in self._list_own(share, found.pools[share.pool])
        ]

    def _list_own(
        self, share: pool_subsets.PoolSubset, pool: tables.Pool
    ) -> list[tables.Upstream]:
        vms = [*share.peers, self._vm]
        considered = set(share.upstreams)
        return [
            upstream
            for upstream in pool.upstreams
            if upstream.name in considered
            and pool_subsets.choose_load_poller(upstream.name, vms) == self._vm
        ]

    def _ask(
        self,
        share: pool_subsets.PoolSubset,
        pool: tables.Pool,
        upstream: tables.Upstream,
    ) -> None:
        engine = self._directory.find_engine(pool, upstream)
        load = engine.report_load()
        if load.is_error():
            return
        events = self._read_events(engine, (pool.name, upstream.name))
        self._scheduling.record_load(pool.name, upstream.name, load.ok)
        self._scheduling.record_cache_events(pool.name, upstream.name, events)
        news = gossip_messages.EngineReport(
            pool.name, upstream.name, load.ok, events
        )
        self._notes.send(gossip_messages.encode_report(news), share.peers)

    def _read_events(
        self, engine: upstreams.Engine, key: tuple[str, str]
    ) -> list[upstreams.CacheEvent]:
        after = self._sequences.get(key, 0)
        found = engine.read_cache_events(after)
        if found.is_error():
            # A restarted engine counts anew; its events are asked for from
            # the start, else none would ever come again.
            self._sequences.pop(key, None)
            return []
        if found.ok:
            self._sequences[key] = found.ok[-1].sequence
        return found.ok

"""Polls engines' load and cache events on behalf of a peer group."""

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

# An engine's report is itself some hundred milliseconds old, so polling more
# often would return nothing new.
MIN_PERIOD_MS = 500
# Bounds the processor time spent on reports: with more engines, each is polled
# less often.
MAX_CALLS_PER_S = 12
CALLS_PER_ENGINE = 2
MS_IN_S = 1_000
# An unresponsive engine must not delay the reports of the others.
WORKERS = 4


class EngineReportController(base.Controller):
    """Polls the engines assigned to this router and gossips their reports.

    The peer group consists of the routers that share upstreams with this one.

    :param gossip_: provides the peer group and sends the reports to it
    :param scheduling_: the scheduler that uses the reports on this VM
    :param directory_: finds engines
    :param source: the active tables
    :param vm: this VM's name
    :param clock_: the clock
    """

    def __init__(
        self,
        gossip_: scheduler_gossip.SchedulerGossipController,
        scheduling_: scheduling.SchedulingController,
        directory_: directory.UpstreamDirectory,
        source: tables.TableSource,
        vm: str,
        clock_: clock.Clock,
    ) -> None:
        super().__init__("engine-reports", clock_, MIN_PERIOD_MS)
        self._gossip = gossip_
        self._scheduling = scheduling_
        self._directory = directory_
        self._source = source
        self._vm = vm
        self._sequences: dict[tuple[str, str], int] = {}
        self._workers = concurrent.futures.ThreadPoolExecutor(
            WORKERS, "engine-reports"
        )

    def step(self) -> None:
        """Poll each engine assigned to this router once."""
        active = self._source.get_tables()
        if active is None:
            return
        assigned = self._list_assigned(active)
        calls = len(assigned) * CALLS_PER_ENGINE
        self.period_ms = max(MIN_PERIOD_MS, calls * MS_IN_S // MAX_CALLS_PER_S)
        list(
            self._workers.map(lambda item: self._poll_engine(*item), assigned)
        )

    def stop(self, wait_ms: int = 2_000) -> None:
        """Stop the thread and its worker threads.

        :param wait_ms: maximum wait for the current step, in milliseconds
        """
        super().stop(wait_ms)
        self._workers.shutdown(wait=False, cancel_futures=True)

    def list_assigned_engines(self) -> list[upstreams.Engine]:
        """Return the engines assigned to this router by rendezvous hashing."""
        active = self._source.get_tables()
        if active is None:
            return []
        return [
            self._directory.find_engine(pool, upstream)
            for _, pool, upstream in self._list_assigned(active)
        ]

    def _list_assigned(
        self, active: tables.Tables
    ) -> list[tuple[pool_subsets.PoolSubset, tables.Pool, tables.Upstream]]:
        return [
            (subset, active.pools[subset.pool], upstream)
            for subset in self._gossip.subsets
            if subset.pool in active.pools
            for upstream in self._list_assigned_upstreams(
                subset, active.pools[subset.pool]
            )
        ]

    def _list_assigned_upstreams(
        self, subset: pool_subsets.PoolSubset, pool: tables.Pool
    ) -> list[tables.Upstream]:
        vms = [*subset.peers, self._vm]
        considered = set(subset.upstreams)
        return [
            upstream
            for upstream in pool.upstreams
            if upstream.name in considered
            and pool_subsets.choose_load_poller(upstream.name, vms) == self._vm
        ]

    def _poll_engine(
        self,
        subset: pool_subsets.PoolSubset,
        pool: tables.Pool,
        upstream: tables.Upstream,
    ) -> None:
        engine = self._directory.find_engine(pool, upstream)
        load = engine.report_load()
        if load.is_error():
            return
        events = self._fetch_events(engine, (pool.name, upstream.name))
        self._scheduling.record_load(pool.name, upstream.name, load.ok)
        self._scheduling.record_cache_events(pool.name, upstream.name, events)
        report_ = gossip_messages.EngineReport(
            pool.name, upstream.name, load.ok, events
        )
        self._gossip.send(gossip_messages.encode_report(report_), subset.peers)

    def _fetch_events(
        self, engine: upstreams.Engine, key: tuple[str, str]
    ) -> list[upstreams.CacheEvent]:
        after = self._sequences.get(key, 0)
        result = engine.read_cache_events(after)
        if result.is_error():
            # A restarted engine numbers its events from the start again.  With
            # the old number none of them would be returned.
            self._sequences.pop(key, None)
            return []
        if result.ok:
            self._sequences[key] = result.ok[-1].sequence
        return result.ok

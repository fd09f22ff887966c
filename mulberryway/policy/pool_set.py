"""Keeps the schedulers of model pools consistent with the tables."""

import collections.abc
import random

from mulberryway import tables
from mulberryway.policy import cold_start
from mulberryway.policy import fairness
from mulberryway.policy import job_completion
from mulberryway.policy import part_quarantine
from mulberryway.policy import poison
from mulberryway.policy import pool_scheduler
from mulberryway.policy import pool_upstreams
from mulberryway.policy import retries
from mulberryway.policy import send_limits
from mulberryway.policy import upstream_view
from mulberryway.policy import zone_costs

__all__ = ["PoolSet"]


class PoolSet:
    """Creates, updates and retains the schedulers of model pools.

    :param vm: this VM's name
    :param fairness_mode: the deployment's fairness mode
    :param register: registry of suspected poison requests
    :param parts: quarantine of prompt parts
    :param random_: seeded random generator
    :param token_gap_ms: inter-token gap target, in milliseconds
    :param max_entries: maximum number of waiting jobs in each pool
    :param max_bytes: maximum size of waiting bodies in each pool, in bytes
    :param budget: class of the pools' retry budgets
    :param prefill_rate: see :class:`pool_upstreams.PoolUpstreams`
    :param shares: this VM's shares of limits over all VMs
    :param cold_limits: what operators allow cold upstreams to get
    :param limits: further limits of requests to upstreams; none by default
    :param zones: charges for the distance between zones; nothing by default
    """

    def __init__(
        self,
        vm: str,
        fairness_mode: fairness.FairnessMode,
        register: poison.PoisonRegistry,
        parts: part_quarantine.PartQuarantine,
        random_: random.Random,
        token_gap_ms: int,
        max_entries: int,
        max_bytes: int,
        budget: type[retries.RetryBudget] = retries.RetryBudget,
        prefill_rate: float = upstream_view.PREFILL_MS_PER_TOKEN,
        shares: cold_start.FleetShares | None = None,
        cold_limits: cold_start.ColdStartLimits | None = None,
        limits: send_limits.SendLimits | None = None,
        zones: zone_costs.ZoneCosts | None = None,
    ) -> None:
        self._limits = limits
        self._zones = zones
        self._shares = shares or cold_start.FleetShares(vm)
        self._cold_limits = cold_limits or cold_start.ColdStartLimits()
        self.pools: dict[str, pool_scheduler.PoolScheduler] = {}
        self._vm = vm
        self._fairness_mode = fairness_mode
        self._register = register
        self._parts = parts
        self._random = random_
        self._token_gap_ms = token_gap_ms
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._budget = budget
        self._prefill_rate = prefill_rate
        self._vms: tuple[str, ...] = (vm,)
        self._completions: dict[str, job_completion.JobCompletion] = {}
        self._retained: dict[str, pool_scheduler.PoolScheduler] = {}

    def find_any(self, name: str) -> pool_scheduler.PoolScheduler:
        """Return the scheduler of a current or removed pool.

        Jobs that had started when a pool was removed still finish there.

        :param name: the name of a pool that exists or existed
        :returns: its scheduler
        """
        return self.pools.get(name) or self._retained[name]

    def find_completion(self, name: str) -> job_completion.JobCompletion:
        """Return the job completion of a current or removed pool.

        :param name: the name of a pool that exists or existed
        :returns: its job completion
        """
        return self._completions[name]

    def find_known_completion(
        self, name: str
    ) -> job_completion.JobCompletion | None:
        """Return the job completion of a pool; none if it never existed.

        :param name: the pool's name
        """
        return self._completions.get(name)

    def list_completions(
        self,
    ) -> list[tuple[str, job_completion.JobCompletion]]:
        """Return the job completions with the names of their pools."""
        return list(self._completions.items())

    def change_vms(self, vms: tuple[str, ...]) -> None:
        """Apply a new list of VMs that run a router.

        :param vms: their names
        """
        if set(vms) == set(self._vms):
            return
        self._vms = tuple(sorted(vms))
        for pool in self.pools.values():
            pool.members.reset_subsets()
            pool.members.change(pool.row, self._vms)

    def change(
        self, rows: collections.abc.Mapping[str, tables.Pool], now_ms: int
    ) -> list[str]:
        """Apply a new table of pools.

        :param rows: the rows by name
        :param now_ms: current time in milliseconds
        :returns: names of the removed pools
        """
        models = {
            name: row
            for name, row in rows.items()
            if row.kind is tables.PoolKind.MODEL
        }
        removed = [name for name in self.pools if name not in models]
        for name in removed:
            self._retained[name] = self.pools.pop(name)
        for name, row in models.items():
            if name not in self.pools:
                self._add(name, row)
            self.pools[name].row = row
            self.pools[name].members.change(row, self._vms)
            self.pools[name].placer.cold_starts.update_pool(row, now_ms)
        return removed

    def _add(self, name: str, row: tables.Pool) -> None:
        pool = self._retained.pop(name, None)
        if pool is None:
            pool = self._make(row)
            self._completions[name] = job_completion.JobCompletion(
                pool, self._register, self._parts
            )
        self.pools[name] = pool

    def _make(self, row: tables.Pool) -> pool_scheduler.PoolScheduler:
        return pool_scheduler.PoolScheduler(
            row,
            pool_upstreams.PoolUpstreams(
                self._vm, self._random, self._prefill_rate
            ),
            self._register,
            self._parts,
            self._fairness_mode,
            self._random,
            self._token_gap_ms,
            self._max_entries,
            self._max_bytes,
            self._budget(),
            cold_start.ColdStartLimiter(self._shares, self._cold_limits),
            self._limits,
            self._zones,
        )

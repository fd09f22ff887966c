"""Tracks a pool's upstreams as they are added, removed or change role."""

import heapq
import itertools
import random

from mulberryway import tables
from mulberryway.policy import health
from mulberryway.policy import kv_growth
from mulberryway.policy import pool_demand
from mulberryway.policy import pool_subsets
from mulberryway.policy import prefill_speed
from mulberryway.policy import step_profile
from mulberryway.policy import subsetting
from mulberryway.policy import upstream_view

__all__ = ["PoolUpstreams"]

# A chunked prefill takes this many times as long as one on a prefill engine.
CHUNKED_PREFILL_SLOWDOWN = 2.0
# Upstreams outside of the subset that a router uses for each software version
# of which its subset has none.
MAX_OUTSIDE_SUBSET = 2
PREFILL_ROLES = (tables.UpstreamRole.PREFILL, tables.UpstreamRole.BOTH)
DECODE_ROLES = (tables.UpstreamRole.DECODE, tables.UpstreamRole.BOTH)


class PoolUpstreams:
    """Holds the upstreams of this router's subset of a pool, by role.

    :param vm: this VM's name
    :param random_: seeded random generator
    :param prefill_rate: initial estimate of a prefill upstream's time per
        prompt token, in milliseconds
    """

    __slots__ = (
        "_vm",
        "_random",
        "_views",
        "_retained",
        "_subsets",
        "_pool_rate",
        "growth_rate",
        "_step_profile",
        "_demand",
        "prefills",
        "decodes",
        "_outside",
    )

    def __init__(
        self,
        vm: str,
        random_: random.Random,
        prefill_rate: float = upstream_view.PREFILL_MS_PER_TOKEN,
    ) -> None:
        self._vm = vm
        self._pool_rate = health.LatencyFloor(prefill_rate)
        self.growth_rate = kv_growth.GrowthRate()
        self._step_profile = step_profile.StepProfile()
        self._demand = pool_demand.DemandHistory()
        self._random = random_
        self._views: dict[str, upstream_view.UpstreamView] = {}
        self._retained: dict[str, upstream_view.UpstreamView] = {}
        self._subsets: dict[int, subsetting.Subsets] = {}
        self.prefills: list[upstream_view.UpstreamView] = []
        self.decodes: list[upstream_view.UpstreamView] = []
        # Upstreams outside of the subset, only for streams that require
        # their software version.
        self._outside: list[upstream_view.UpstreamView] = []

    def find(self, upstream: str) -> upstream_view.UpstreamView | None:
        """Return the view of one upstream.

        :param upstream: its name
        :returns: its view, or none
        """
        return self._views.get(upstream)

    def list_all(self) -> list[upstream_view.UpstreamView]:
        """Return the views of all upstreams, whatever their role."""
        return list(self._views.values())

    def list_decodes(
        self, version: str | None
    ) -> list[upstream_view.UpstreamView]:
        """Return the upstreams that accept decodes.

        :param version: the only software version to return; none for all
        """
        if version is None:
            return self.decodes
        return [
            view
            for view in itertools.chain(self.decodes, self._outside)
            if view.row.version == version
        ]

    def sample_memory(self, now_ms: int) -> None:
        """Record how full the decode engines' memory is, if that is due.

        :param now_ms: current time in milliseconds
        """
        if not self._demand.is_sample_due(now_ms):
            return
        total = sum(view.total_blocks or 0 for view in self.decodes)
        reserved = sum(view.count_reserved_blocks() for view in self.decodes)
        self._demand.note_memory(reserved / total if total else 0.0, now_ms)

    def count_memory(self, now_ms: int) -> dict[str, int]:
        """Return what the decode engines hold, as this VM knows it.

        :param now_ms: current time in milliseconds
        :returns: streams, and KV cache blocks by kind
        """
        return {
            "streams": sum(view.count_running() for view in self.decodes),
            "present": sum(
                view.estimate_present(now_ms) for view in self.decodes
            ),
            "reserved": sum(
                view.count_reserved_blocks() for view in self.decodes
            ),
            "total": sum(view.total_blocks or 0 for view in self.decodes),
            "overrun": round(self.growth_rate.overrun_blocks),
        }

    def summarize_demand(
        self, engines: int, now_ms: int
    ) -> pool_demand.PoolDemand | None:
        """Return what was asked of the pool in the last minute.

        :param engines: number of all engines of the pool
        :param now_ms: current time in milliseconds
        :returns: the demand; none if it is not known yet
        """
        return self._demand.summarize(
            engines / max(len(self._views), 1),
            {
                view.row.name: view.count_reserved_blocks()
                for view in self.decodes
            },
            now_ms,
        )

    def is_ejection_limit_reached(
        self, view: upstream_view.UpstreamView, now_ms: int
    ) -> bool:
        """Return whether peers' reports may eject no further upstream.

        :param view: the upstream in question
        :param now_ms: current time in milliseconds
        :returns: whether its ejection would take more than half of the
            upstreams of its role out of service
        """
        siblings = self.prefills if view in self.prefills else self.decodes
        ejected = sum(item.health.is_ejected(now_ms) for item in siblings)
        is_new = not view.health.is_ejected(now_ms)
        return is_new and (ejected + 1) * 2 > len(siblings)

    def change(self, pool: tables.Pool, vms: tuple[str, ...]) -> None:
        """Apply a pool's new row.

        A draining upstream aborts requests that it still receives.  So an
        upstream that drains, was removed or has lost its role is out of the
        lists from this call on.  Its view is retained while jobs run there,
        so that their slots still count if the upstream returns.

        :param pool: the row
        :param vms: names of all VMs that run a router
        """
        chosen = self._choose_rows(pool, vms)
        outside = self._choose_outside(pool, chosen)
        rows = [*chosen, *outside]
        known = self._retained | self._views
        self._views = {
            row.name: self._update_view(known.get(row.name), row, pool)
            for row in rows
        }
        self._retained = {
            name: view
            for name, view in known.items()
            if name not in self._views and view.own_decodes > 0
        }
        self._outside = [self._views[row.name] for row in outside]
        active = [self._views[row.name] for row in chosen if not row.leaving]
        self.prefills = [v for v in active if v.row.role in PREFILL_ROLES]
        self.decodes = [v for v in active if v.row.role in DECODE_ROLES]

    def _choose_rows(
        self, pool: tables.Pool, vms: tuple[str, ...]
    ) -> list[tables.Upstream]:
        by_name = {row.name: row for row in pool.upstreams}
        count = round(len(by_name) / subsetting.SUBSET_SIZE)
        subsets = self._subsets.get(count)
        if subsets is None:
            subsets = subsetting.Subsets(count, vms)
            self._subsets = {count: subsets}
        return [
            by_name[name] for name in subsets.choose(self._vm, list(by_name))
        ]

    def _choose_outside(
        self, pool: tables.Pool, chosen: list[tables.Upstream]
    ) -> list[tables.Upstream]:
        """Return upstreams of the versions that the subset cannot decode."""
        names = {row.name for row in chosen}
        covered = {row.version for row in chosen if _accepts_decodes(row)}
        missing: dict[str, list[tables.Upstream]] = {}
        for row in pool.upstreams:
            if (
                row.version not in covered
                and row.name not in names
                and _accepts_decodes(row)
            ):
                missing.setdefault(row.version, []).append(row)
        return [
            row
            for rows in missing.values()
            for row in heapq.nlargest(
                MAX_OUTSIDE_SUBSET,
                rows,
                key=lambda row: pool_subsets.hash_pair(row.name, self._vm),
            )
        ]

    def reset_subsets(self) -> None:
        """Discard the subsets because the list of VMs has changed."""
        self._subsets = {}

    def _update_view(
        self,
        view: upstream_view.UpstreamView | None,
        row: tables.Upstream,
        pool: tables.Pool,
    ) -> upstream_view.UpstreamView:
        blocks = pool.kv_capacity_tokens // max(pool.block_tokens, 1) or None
        is_new = view is None or row.role is not view.row.role
        if view is None:
            view = upstream_view.UpstreamView(
                row, pool.slots, self._random, blocks
            )
            view.growth_rate = self.growth_rate
            view.step_profile = self._step_profile
            view.demand = self._demand
        if is_new:
            is_decode = row.role is tables.UpstreamRole.DECODE
            slowdown = CHUNKED_PREFILL_SLOWDOWN if is_decode else 1.0
            view.speed = prefill_speed.PrefillSpeed(self._pool_rate, slowdown)
        if row.role not in PREFILL_ROLES:
            view.prefixes.clear()
        view.row = row
        view.slots = pool.slots
        view.pause_ms = pool.pause_ms
        return view


def _accepts_decodes(row: tables.Upstream) -> bool:
    return row.role in DECODE_ROLES and not row.leaving

"""Keeps this VM's share of limits over all VMs up to date."""

import collections.abc
import threading

from mulberryway import clock
from mulberryway.policy import cold_start

__all__ = ["FleetSharesUpdater"]

# A VM that started while the store was unreachable has heard of all others by
# then.
SETTLE_MS = 3_000
# How long a dead VM keeps its share of limits that partitioned VMs may exceed.
DEAD_VM_TTL_MS = 600_000
# A VM that has had no contact for this long may not know of a cold server.
INFORMATION_TTL_MS = 5_000


class FleetSharesUpdater:
    """Records all VMs that the store or other VMs have named.

    :param shares: the shares to update
    :param is_informed: returns whether this VM would learn from the store or
        from another VM that a server has become cold
    :param clock_: the source of the current time
    :param ttl_ms: how long VMs count after they were named last, in ms; for
        good by default
    """

    def __init__(
        self,
        shares: cold_start.FleetShares,
        is_informed: collections.abc.Callable[[], bool],
        clock_: clock.Clock,
        ttl_ms: int | None = None,
    ) -> None:
        self._ttl_ms = ttl_ms
        self._named_ms: dict[str, int] = {}
        self._shares = shares
        self._is_informed = is_informed
        self._clock = clock_
        self._started_ms = clock_.now_ms()
        # A VM serves no requests before it has got tables.
        self._informed_ms = self._started_ms
        self._lock = threading.Lock()
        self._is_listed = False

    def record_listed(self, vms: collections.abc.Iterable[str]) -> None:
        """Record the VMs that are registered in the store.

        :param vms: their names
        """
        with self._lock:
            self._is_listed = True
            self._add(vms)
            self._update_completeness()

    def record_known(self, vms: collections.abc.Iterable[str]) -> None:
        """Record the VMs that this VM has heard of; call it every second.

        :param vms: their names, with those of dead VMs if they count for good
        """
        with self._lock:
            self._add(vms)
            self._update_completeness()
            now_ms = self._clock.now_ms()
            if self._is_informed():
                self._informed_ms = now_ms
            self._shares.is_informed = (
                now_ms - self._informed_ms < INFORMATION_TTL_MS
            )

    def _update_completeness(self) -> None:
        age_ms = self._clock.now_ms() - self._started_ms
        has_settled = len(self._shares.vms) > 1 and age_ms >= SETTLE_MS
        # The requests of a previous incarnation still count in its window.
        self._shares.is_complete = (
            self._shares.is_complete
            or has_settled
            or (self._is_listed and age_ms >= cold_start.WINDOW_MS)
        )

    def _add(self, vms: collections.abc.Iterable[str]) -> None:
        now_ms = self._clock.now_ms()
        self._named_ms.update(dict.fromkeys((self._shares.vm, *vms), now_ms))
        if self._ttl_ms is not None:
            self._named_ms = {
                vm: named_ms
                for vm, named_ms in self._named_ms.items()
                if now_ms - named_ms < self._ttl_ms
            }
        known = frozenset(self._named_ms)
        if known != self._shares.vms:
            self._shares.vms = known

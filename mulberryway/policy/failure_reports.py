"""Whether a VM's word against upstreams counts for the other VMs."""

import itertools

__all__ = ["FailureReportFilter"]

# What a VM says against upstreams is remembered for so long.
BLAMED_MS = 30_000
# A VM that blames more than this part of a pool, and more than so many of
# its upstreams, is probably at fault itself: cut off, frozen or slow.
MOST_PART = 0.25
LEAST_BLAMED = 2


class FailureReportFilter:
    """Remembers which VM blamed which upstreams of late."""

    __slots__ = ("_blamed",)

    def __init__(self) -> None:
        # In the order in which the VMs were last heard to blame.
        self._blamed: dict[str, dict[tuple[str, str], int]] = {}

    @property
    def size(self) -> int:
        """How many VMs are remembered."""
        return len(self._blamed)

    def accepts(
        self, vm: str, upstream: tuple[str, str], size: int, now_ms: int
    ) -> bool:
        """Count a VM's word against an upstream, and tell whether it counts.

        :param vm: the VM
        :param upstream: the names of the pool and the upstream
        :param size: how many upstreams the pool has
        :param now_ms: the present
        """
        blamed = {
            key: at_ms
            for key, at_ms in self._blamed.pop(vm, {}).items()
            if now_ms - at_ms < BLAMED_MS
        }
        blamed[upstream] = now_ms
        self._blamed[vm] = blamed
        self._forget_old(now_ms)
        in_pool = sum(pool == upstream[0] for pool, _ in blamed)
        return in_pool <= max(int(size * MOST_PART), LEAST_BLAMED)

    def _forget_old(self, now_ms: int) -> None:
        is_old = itertools.takewhile(
            lambda row: now_ms - max(row[1].values()) >= BLAMED_MS,
            self._blamed.items(),
        )
        for vm, _ in list(is_old):
            del self._blamed[vm]

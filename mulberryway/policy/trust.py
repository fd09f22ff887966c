"""Whether a VM's word against upstreams counts for the other VMs."""

__all__ = ["Trust"]

# What a VM says against upstreams is remembered for so long.
BLAMED_MS = 30_000
# A VM that blames more than this part of a pool, and more than so many of
# its upstreams, is probably at fault itself: cut off, frozen or slow.
MOST_PART = 0.25
LEAST_BLAMED = 2


class Trust:
    """Remembers which VM blamed which upstreams of late."""

    __slots__ = ("_blamed",)

    def __init__(self) -> None:
        self._blamed: dict[str, dict[tuple[str, str], int]] = {}

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
            for key, at_ms in self._blamed.get(vm, {}).items()
            if now_ms - at_ms < BLAMED_MS
        }
        blamed[upstream] = now_ms
        self._blamed[vm] = blamed
        in_pool = sum(pool == upstream[0] for pool, _ in blamed)
        return in_pool <= max(int(size * MOST_PART), LEAST_BLAMED)

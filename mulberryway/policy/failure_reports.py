"""Decides whether a VM's failure reports count for the other VMs."""

import itertools

__all__ = ["FailureReportFilter"]

# Time in ms for which a failure report is kept.
REPORT_TTL_MS = 30_000
# A VM that reports failures of more than this fraction of a pool, and of more
# than this number of its upstreams, is probably faulty itself: partitioned,
# frozen or slow.
MAX_REPORTED_FRACTION = 0.25
MIN_REPORTED = 2


class FailureReportFilter:
    """Remembers which VM recently reported which upstreams."""

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        # Ordered by the time of each VM's last failure report.
        self._reports: dict[str, dict[tuple[str, str], int]] = {}

    @property
    def size(self) -> int:
        """Number of VMs whose failure reports are kept."""
        return len(self._reports)

    def accepts(
        self, vm: str, upstream: tuple[str, str], size: int, now_ms: int
    ) -> bool:
        """Record a failure report, and return whether it counts.

        :param vm: the VM that sent the report
        :param upstream: the names of the pool and the upstream
        :param size: number of upstreams in the pool
        :param now_ms: current time in ms
        """
        reported = {
            key: at_ms
            for key, at_ms in self._reports.pop(vm, {}).items()
            if now_ms - at_ms < REPORT_TTL_MS
        }
        reported[upstream] = now_ms
        self._reports[vm] = reported
        self._evict_old(now_ms)
        in_pool = sum(pool == upstream[0] for pool, _ in reported)
        return in_pool <= max(int(size * MAX_REPORTED_FRACTION), MIN_REPORTED)

    def _evict_old(self, now_ms: int) -> None:
        is_old = itertools.takewhile(
            lambda item: now_ms - max(item[1].values()) >= REPORT_TTL_MS,
            self._reports.items(),
        )
        for vm, _ in list(is_old):
            del self._reports[vm]

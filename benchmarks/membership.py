"""Cost and propagation time of the membership protocol by fleet size.

``python -m benchmarks.membership`` steps the real controllers in one process
on a manual clock.  Messages are encoded and counted, but not sent over
sockets.
"""

import json
import time
import typing

from benchmarks import series
from tests import membership_fleet

__all__ = ["measure"]

COMMAND = "python -m benchmarks.membership"
SIZES = (3, 9, 27, 81, 243)
# Wait until the updates about the VMs' joining are no longer gossiped.
SETTLE_PERIODS = 240
PERIODS = 30
MAX_PERIODS = 60


def measure() -> dict[str, typing.Any]:
    """Return bytes, CPU time and propagation time by fleet size."""
    figures = {str(size): _measure_size(size) for size in SIZES}
    for name, key, unit in (
        ("membership-bytes", "bytes_per_vm_s", "bytes a second, each VM"),
        ("membership-cpu", "cpu_ms_per_vm_s", "ms of processor a second"),
    ):
        points = [(int(size), row[key]) for size, row in figures.items()]
        series.write_series(series.Series(name, COMMAND, "VMs", unit, points))
    return figures


def _measure_size(size: int) -> dict[str, typing.Any]:
    fleet = membership_fleet.Fleet(size)
    fleet.run(SETTLE_PERIODS)
    sent_bytes = _count_bytes(fleet)
    cpu_s = time.process_time()
    fleet.run(PERIODS)
    per_vm_s = size * PERIODS
    return {
        "known_by_all": all(
            len(vm.list_members()) == size for vm in fleet.vms
        ),
        "bytes_per_vm_s": round((_count_bytes(fleet) - sent_bytes) / per_vm_s),
        "cpu_ms_per_vm_s": round(
            1_000 * (time.process_time() - cpu_s) / per_vm_s, 3
        ),
        "stop_seen_by_all_periods": _count_periods_to_spread(fleet),
    }


def _count_bytes(fleet: membership_fleet.Fleet) -> int:
    return sum(
        call_count.payload_bytes
        for traffic in fleet.network.traffic.values()
        for call_count in traffic.get_counts()
    )


def _count_periods_to_spread(fleet: membership_fleet.Fleet) -> int | None:
    """Count the periods until all VMs list one of them as stopping.

    :param fleet: the fleet
    :returns: the number of periods, or none if ``MAX_PERIODS`` pass first
    """
    fleet.vms[1].update_local(is_stopping=True)
    for period in range(1, MAX_PERIODS):
        fleet.run(1)
        views = (fleet.see(vm, "vm1") for vm in fleet.vms)
        if all(view is not None and view.is_stopping for view in views):
            return period
    return None


if __name__ == "__main__":
    for count, result in measure().items():
        print(count, "VMs", json.dumps(result), flush=True)

"""Compares ways by which hints reach all VMs, by fleet size and under faults.

``python -m benchmarks --only=dissemination`` prints the rows.
"""

import itertools
import typing

from benchmarks import dissemination_model as model

__all__ = ["measure"]

SIZES = (6, 20, 80, 195, 400)
KINDS: dict[str, type[model.Node]] = {
    "direct": model.DirectNode,
    "gossip": model.GossipNode,
    "relays": model.RelayNode,
}
SMALL_ZONES, LARGE_ZONES = 3, 5
LARGE_VMS = 20
ITEMS_PER_S_A_VM = 1.3
DURATION_MS = 2_000
SETTLE_MS = 300
FAULTS = ("none", "frozen", "one_way", "burst")


def measure() -> dict[str, typing.Any]:
    """Return the figures of each way, size and fault."""
    rows = [
        _run(name, vms, fault)
        for vms, fault in itertools.product(SIZES, FAULTS)
        for name in KINDS
        if fault == "none" or vms == 195
    ]
    return {"rows": rows}


def _run(name: str, vms: int, fault: str) -> dict[str, typing.Any]:
    zones = LARGE_ZONES if vms >= LARGE_VMS else SMALL_ZONES
    fleet = model.SimulatedNetwork(vms, zones, KINDS[name])
    if fault == "frozen":
        # The first VM of each zone has the fast link that makes a relay.
        fleet.frozen |= set(fleet.names[:zones])
    elif fault == "one_way":
        fleet.cut |= {
            (other, relay)
            for relay in fleet.names[:zones]
            for other in fleet.names
        }
    elif fault == "burst":
        for one in fleet.names:
            fleet.publish(one)
    fleet.run(DURATION_MS, ITEMS_PER_S_A_VM * vms)
    fleet.run(DURATION_MS + SETTLE_MS)
    found = fleet.summarize(DURATION_MS + SETTLE_MS)
    return {
        "deployment": f"{vms} VMs",
        "load": fault,
        "rival": name,
        **{
            key: round(getattr(found, key), 3)
            for key in model.Summary.__slots__
        },
    }

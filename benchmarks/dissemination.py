"""Compares gossip dissemination methods by fleet size and under faults.

``python -m benchmarks --only=dissemination`` prints the rows.
"""

import itertools
import typing

from benchmarks import dissemination_model as model

__all__ = ["measure"]

SIZES = (6, 20, 80, 195, 400)
NODE_CLASSES: dict[str, type[model.Node]] = {
    "direct": model.DirectNode,
    "gossip": model.GossipNode,
    "relays": model.RelayNode,
}
SMALL_ZONES, LARGE_ZONES = 3, 5
LARGE_VMS = 20
UPDATES_PER_VM_S = 1.3
DURATION_MS = 2_000
SETTLE_MS = 300
FAULTS = ("none", "frozen", "one_way", "burst")


def measure() -> dict[str, typing.Any]:
    """Return the figures of each method, fleet size and fault."""
    rows = [
        _run(name, vms, fault)
        for vms, fault in itertools.product(SIZES, FAULTS)
        for name in NODE_CLASSES
        if fault == "none" or vms == 195
    ]
    return {"rows": rows}


def _run(name: str, vms: int, fault: str) -> dict[str, typing.Any]:
    zones = LARGE_ZONES if vms >= LARGE_VMS else SMALL_ZONES
    network = model.SimulatedNetwork(vms, zones, NODE_CLASSES[name])
    if fault == "frozen":
        # The first VM of each zone has a fast link and so becomes a relay.
        network.frozen |= set(network.names[:zones])
    elif fault == "one_way":
        network.cut |= {
            (other, relay)
            for relay in network.names[:zones]
            for other in network.names
        }
    elif fault == "burst":
        for publisher in network.names:
            network.publish(publisher)
    network.run(DURATION_MS, UPDATES_PER_VM_S * vms)
    network.run(DURATION_MS + SETTLE_MS)
    summary = network.summarize(DURATION_MS + SETTLE_MS)
    return {
        "deployment": f"{vms} VMs",
        "load": fault,
        "rival": name,
        **{
            key: round(getattr(summary, key), 3)
            for key in model.Summary.__slots__
        },
    }

"""Which faults come when: a seeded plan of chains that overlap."""

import collections.abc
import random

__all__ = [
    "COOLDOWN_MS",
    "SoakConfig",
    "ScheduledFault",
    "make_fault_schedule",
]

# Faults end this long before the plan does, so that what comes after shows
# whether everything has recovered.
COOLDOWN_MS = 7_000
# Of that, what recovery may take.
RECOVERY_MS = 4_000
LEAST_FOR_MS = 200
# Silences and pauses are drawn up to this; it is longer than the time after
# which a VM is taken for silent and shorter than that for which it is
# remembered.
MOST_FOR_MS = 4_000
MOST_GAP_MS = 1_500
MOST_STEPS = 4

VM_FAULTS = (
    "vm_kill",
    "vm_term",
    "vm_pause",
    "vm_reload",
    "front_cut",
    "front_silent",
    "front_delay",
    "tie_stall",
    "tie_refuse",
    "tie_silent",
)
STORE_FAULTS = ("store_refuse", "store_silent", "store_lose", "store_compact")
UPSTREAM_FAULTS = (
    "up_kill",
    "up_pause",
    "up_cut",
    "up_silent",
    "up_one_way",
    "up_delay",
    "up_error",
    "up_full",
    "up_lapse",
    "up_lose",
    "up_break",
    "up_leave",
)
EDITS = ("edit_route", "edit_key", "edit_rate")
FLEET_FAULTS = ("all_kill", "poison")
# How often each sort is drawn.
WEIGHTED_FAULT_GROUPS = (
    (VM_FAULTS, 5),
    (STORE_FAULTS, 2),
    (UPSTREAM_FAULTS, 6),
    (EDITS, 3),
    (FLEET_FAULTS, 1),
)


class SoakConfig:
    """The size of a soak.

    :param vms: entry VMs
    :param prefills: prefill engines
    :param decodes: decode engines
    :param services: servers of the plain service
    :param chains: chains of faults that overlap
    :param length_ms: how long faults come; the calm follows
    """

    __slots__ = (
        "vms",
        "prefills",
        "decodes",
        "services",
        "chains",
        "length_ms",
    )

    def __init__(
        self,
        vms: int = 3,
        prefills: int = 2,
        decodes: int = 3,
        services: int = 3,
        chains: int = 3,
        length_ms: int = 10_000,
    ) -> None:
        self.vms = vms
        self.prefills = prefills
        self.decodes = decodes
        self.services = services
        self.chains = chains
        self.length_ms = length_ms

    def list_upstream_names(self) -> list[str]:
        """Return the names of all upstreams."""
        return [
            *(f"p{number}" for number in range(self.prefills)),
            *(f"d{number}" for number in range(self.decodes)),
            *(f"s{number}" for number in range(self.services)),
        ]


class ScheduledFault:
    """One fault.

    :param at_ms: when it comes, from the plan's beginning
    :param kind: which one
    :param target: a VM's number or an upstream's name, as text
    :param duration_ms: how long it lasts, where that fits
    """

    __slots__ = ("at_ms", "kind", "target", "duration_ms")

    def __init__(
        self, at_ms: int, kind: str, target: str, duration_ms: int
    ) -> None:
        self.at_ms = at_ms
        self.kind = kind
        self.target = target
        self.duration_ms = duration_ms


def make_fault_schedule(seed: int, shape: SoakConfig) -> list[ScheduledFault]:
    """Return a plan; the same one for the same seed and shape.

    :param seed: decides everything
    :param shape: the size
    :returns: steps in the order of time
    """
    chance = random.Random(f"plan/{seed}")
    steps = [
        step
        for _ in range(shape.chains)
        for step in _make_chain(chance, shape)
    ]
    return sorted(steps, key=lambda step: step.at_ms)


def _make_chain(
    chance: random.Random, shape: SoakConfig
) -> collections.abc.Iterator[ScheduledFault]:
    """Yield faults of one sort at one place, one soon after the other."""
    at_ms = chance.randrange(500, shape.length_ms // 2)
    (kinds,) = chance.choices(
        [kinds for kinds, _ in WEIGHTED_FAULT_GROUPS],
        [often for _, often in WEIGHTED_FAULT_GROUPS],
    )
    target = _choose_target(chance, shape, kinds)
    for _ in range(chance.randint(1, MOST_STEPS)):
        for_ms = chance.randint(LEAST_FOR_MS, MOST_FOR_MS)
        for_ms = min(for_ms, shape.length_ms - at_ms)
        if for_ms < LEAST_FOR_MS:
            return
        yield ScheduledFault(at_ms, chance.choice(kinds), target, for_ms)
        # A chain may go on before its last fault has ended.
        at_ms += chance.randint(100, MOST_GAP_MS) + (
            for_ms if chance.random() < 0.5 else 0
        )


def _choose_target(
    chance: random.Random, shape: SoakConfig, kinds: tuple[str, ...]
) -> str:
    if kinds is UPSTREAM_FAULTS:
        return chance.choice(shape.list_upstream_names())
    return str(chance.randrange(shape.vms))

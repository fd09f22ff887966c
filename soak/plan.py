"""Seeded schedules of faults in overlapping chains."""

import collections.abc
import random

from standins import odd_answers

__all__ = [
    "ADVISORIES",
    "ALL_KILL",
    "BACKUP",
    "COOLDOWN_MS",
    "EVACUATION",
    "FOREIGN_ENTRIES",
    "LIMIT_PER_S",
    "ODDITIES",
    "RETURN",
    "SPOILED",
    "SoakConfig",
    "ScheduledFault",
    "ZONES",
    "choose_zone",
    "make_fault_schedule",
]

# Fault-free time at the end of a run, in which the checks verify recovery.
COOLDOWN_MS = 7_000
# Time allowed for recovery; part of the cooldown.
RECOVERY_MS = 4_000
MIN_DURATION_MS = 200
# Upper limit of fault durations.  It is longer than the time after which a VM
# counts as unresponsive and shorter than the time after which it is removed.
MAX_DURATION_MS = 4_000
MAX_GAP_MS = 1_500
# Partitions last long enough for the VM to notice them and be checked.
MIN_PARTITION_MS = 5_000
MAX_CHAIN_LENGTH = 4

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
# A VM loses its paths to all upstreams; see ``standins.partitioned_vm``.
# Operators evacuate a zone, whose servers are cold when it is used again.
EVACUATION = "zone_evacuate"
MIN_EVACUATION_MS = 4_000
# Availability zones; the number of an upstream selects its zone.
ZONES = ("kandy-a", "matale-b")
# Upstreams that say in their answers what they want.
ADVISORIES = ("up_limited", "up_pausing", "up_leaving")
MIN_ADVISORY_MS = 4_000
LIMIT_PER_S = 1.5
# The store is backed up, and returns from the backup after an outage.
BACKUP = "backup"
RETURN = "store_return"
MIN_RETURN_MS = 200
MAX_RETURN_MS = 1_500
# Age of a backup when the store returns from it.
MIN_BACKUP_AGE_MS = 300
MAX_BACKUP_AGE_MS = 3_000
# Upstreams break off in the head of their answers or send lines that are no
# headers, and another writer leaves server entries that cannot be used.
FOREIGN_ENTRIES = "foreign_entries"
UNREADABLE = ("up_torn", "up_malformed", FOREIGN_ENTRIES)
MIN_UNREADABLE_MS = 2_000
# Upstreams break off answers at any byte and send some twice.
SPOILED = "up_spoiled"
MIN_SPOILED_MS = 3_000
# Upstreams send odd answers; see ``standins.odd_answers``.
ODDITIES = {
    f"up_odd_{oddity.name.lower()}": oddity
    for oddity in odd_answers.Oddity
    if oddity is not odd_answers.Oddity.NONE
}
MIN_ODD_MS = 2_000
ALL_KILL = "all_kill"
PARTITIONS = ("path_silent", "path_reset", "path_refuse")
# Relative frequency of each group of faults.
WEIGHTED_FAULT_GROUPS = (
    (VM_FAULTS, 5),
    (STORE_FAULTS, 2),
    (UPSTREAM_FAULTS, 6),
    (EDITS, 3),
    (FLEET_FAULTS, 1),
)


class SoakConfig:
    """Size of a soak.

    :param vms: number of entry VMs
    :param prefills: number of prefill engines
    :param decodes: number of decode engines
    :param services: number of servers of the non-model service
    :param chains: number of overlapping fault chains
    :param length_ms: duration of fault injection; the cooldown follows it
    :param partitions: number of partitions beside the chains
    :param versions: number of software versions of the decode engines; with
        several, callers resume their streams
    :param crashing_parts: number of prompt parts that end the engine which
        answers a stream with one of them
    :param evacuations: number of evacuations beside the chains
    :param advisories: number of upstreams that say in their answers what they
        want, beside the chains
    :param slow_readers: number of callers that read long answers slowly
    :param returns: number of returns of the store from a backup, beside the
        chains
    :param unreadable: number of upstreams whose answers have no whole head, or
        of spells of unusable server entries, beside the chains
    :param spoiled: number of upstreams that break off a share of their answers
        anywhere and send another share twice, beside the chains
    :param odd: number of upstreams whose answers are odd or do not end,
        beside the chains
    :param losses: number of times that all VMs are killed at once, beside the
        chains
    :param stops: number of VMs that are told to stop in close succession,
        beside the chains; see ``soak.stops``
    """

    __slots__ = (
        "vms",
        "prefills",
        "decodes",
        "services",
        "chains",
        "length_ms",
        "partitions",
        "versions",
        "crashing_parts",
        "evacuations",
        "advisories",
        "slow_readers",
        "returns",
        "unreadable",
        "spoiled",
        "odd",
        "losses",
        "stops",
    )

    def __init__(
        self,
        vms: int = 3,
        prefills: int = 2,
        decodes: int = 3,
        services: int = 3,
        chains: int = 3,
        length_ms: int = 10_000,
        partitions: int = 0,
        versions: int = 1,
        crashing_parts: int = 0,
        evacuations: int = 0,
        advisories: int = 0,
        slow_readers: int = 0,
        returns: int = 0,
        unreadable: int = 0,
        losses: int = 0,
        spoiled: int = 0,
        stops: int = 0,
        odd: int = 0,
    ) -> None:
        self.odd = odd
        self.stops = stops
        self.returns = returns
        self.unreadable = unreadable
        self.spoiled = spoiled
        self.losses = losses
        self.slow_readers = slow_readers
        self.advisories = advisories
        self.evacuations = evacuations
        self.crashing_parts = crashing_parts
        self.vms = vms
        self.prefills = prefills
        self.decodes = decodes
        self.services = services
        self.chains = chains
        self.length_ms = length_ms
        self.partitions = partitions
        self.versions = versions

    def list_crashing_parts(self) -> list[str]:
        """Return the ids of the prompt parts that end engines."""
        return [f"c{number}" for number in range(self.crashing_parts)]

    def list_upstream_names(self) -> list[str]:
        """Return the names of all upstreams."""
        return [
            *(f"p{number}" for number in range(self.prefills)),
            *(f"d{number}" for number in range(self.decodes)),
            *(f"s{number}" for number in range(self.services)),
        ]


def choose_zone(name: str) -> str:
    """Return an upstream's availability zone.

    :param name: name of the upstream, a letter and a number
    """
    return ZONES[int(name[1:]) % len(ZONES)]


class ScheduledFault:
    """One fault of a schedule.

    :param at_ms: start time, relative to the start of the schedule
    :param kind: kind of the fault
    :param target: number of a VM or name of an upstream, as text
    :param duration_ms: duration, for faults that have one
    """

    __slots__ = ("at_ms", "kind", "target", "duration_ms")

    def __init__(
        self, at_ms: int, kind: str, target: str, duration_ms: int
    ) -> None:
        self.at_ms = at_ms
        self.kind = kind
        self.target = target
        self.duration_ms = duration_ms

    def describe(self) -> str:
        """Return the fault in a few words."""
        return f"{self.kind}({self.target}) {self.at_ms}+{self.duration_ms}"


def make_fault_schedule(seed: int, config: SoakConfig) -> list[ScheduledFault]:
    """Return the schedule for a seed and a size; the same on every call.

    :param seed: seed of all random choices
    :param config: size of the soak
    :returns: faults in order of start time
    """
    rng = random.Random(f"plan/{seed}")
    steps = [
        step for _ in range(config.chains) for step in _make_chain(rng, config)
    ]
    # Last, so that they leave the chains of a seed as they are.
    steps += [_make_partition(rng, config) for _ in range(config.partitions)]
    steps += [_make_evacuation(rng, config) for _ in range(config.evacuations)]
    steps += [_make_advisory(rng, config) for _ in range(config.advisories)]
    steps += [
        step
        for _ in range(config.returns)
        for step in _make_return(rng, config)
    ]
    steps += [_make_unreadable(rng, config) for _ in range(config.unreadable)]
    steps += [
        ScheduledFault(rng.randrange(500, config.length_ms), ALL_KILL, "", 0)
        for _ in range(config.losses)
    ]
    steps += [_make_spoiled(rng, config) for _ in range(config.spoiled)]
    steps += [_make_odd(rng, config) for _ in range(config.odd)]
    return sorted(steps, key=lambda step: step.at_ms)


def _make_return(
    rng: random.Random, config: SoakConfig
) -> collections.abc.Iterator[ScheduledFault]:
    at_ms = rng.randrange(MIN_BACKUP_AGE_MS, config.length_ms - MAX_RETURN_MS)
    age_ms = rng.randint(MIN_BACKUP_AGE_MS, MAX_BACKUP_AGE_MS)
    yield ScheduledFault(max(at_ms - age_ms, 0), BACKUP, "", 0)
    yield ScheduledFault(
        at_ms, RETURN, "", rng.randint(MIN_RETURN_MS, MAX_RETURN_MS)
    )


def _make_partition(rng: random.Random, config: SoakConfig) -> ScheduledFault:
    at_ms = rng.randrange(500, config.length_ms - MIN_PARTITION_MS)
    return ScheduledFault(
        at_ms,
        rng.choice(PARTITIONS),
        str(rng.randrange(config.vms)),
        rng.randint(MIN_PARTITION_MS, config.length_ms - at_ms),
    )


def _make_evacuation(rng: random.Random, config: SoakConfig) -> ScheduledFault:
    at_ms = rng.randrange(500, config.length_ms - MIN_EVACUATION_MS)
    return ScheduledFault(
        at_ms,
        EVACUATION,
        rng.choice(ZONES),
        rng.randint(MIN_EVACUATION_MS, config.length_ms - at_ms),
    )


def _make_advisory(rng: random.Random, config: SoakConfig) -> ScheduledFault:
    at_ms = rng.randrange(500, config.length_ms - MIN_ADVISORY_MS)
    return ScheduledFault(
        at_ms,
        rng.choice(ADVISORIES),
        rng.choice(config.list_upstream_names()),
        rng.randint(MIN_ADVISORY_MS, config.length_ms - at_ms),
    )


def _make_unreadable(rng: random.Random, config: SoakConfig) -> ScheduledFault:
    at_ms = rng.randrange(500, config.length_ms - MIN_UNREADABLE_MS)
    return ScheduledFault(
        at_ms,
        rng.choice(UNREADABLE),
        rng.choice(config.list_upstream_names()),
        rng.randint(MIN_UNREADABLE_MS, config.length_ms - at_ms),
    )


def _make_spoiled(rng: random.Random, config: SoakConfig) -> ScheduledFault:
    at_ms = rng.randrange(500, config.length_ms - MIN_SPOILED_MS)
    return ScheduledFault(
        at_ms,
        SPOILED,
        rng.choice(config.list_upstream_names()),
        rng.randint(MIN_SPOILED_MS, config.length_ms - at_ms),
    )


def _make_odd(rng: random.Random, config: SoakConfig) -> ScheduledFault:
    at_ms = rng.randrange(500, config.length_ms - MIN_ODD_MS)
    return ScheduledFault(
        at_ms,
        rng.choice(list(ODDITIES)),
        rng.choice(config.list_upstream_names()),
        rng.randint(MIN_ODD_MS, config.length_ms - at_ms),
    )


def _make_chain(
    rng: random.Random, config: SoakConfig
) -> collections.abc.Iterator[ScheduledFault]:
    """Yield faults of one group on one target in close succession."""
    at_ms = rng.randrange(500, config.length_ms // 2)
    (kinds,) = rng.choices(
        [kinds for kinds, _ in WEIGHTED_FAULT_GROUPS],
        [weight for _, weight in WEIGHTED_FAULT_GROUPS],
    )
    target = _choose_target(rng, config, kinds)
    for _ in range(rng.randint(1, MAX_CHAIN_LENGTH)):
        duration_ms = rng.randint(MIN_DURATION_MS, MAX_DURATION_MS)
        duration_ms = min(duration_ms, config.length_ms - at_ms)
        if duration_ms < MIN_DURATION_MS:
            return
        yield ScheduledFault(at_ms, rng.choice(kinds), target, duration_ms)
        # The next fault may start before the previous one has ended.
        at_ms += rng.randint(100, MAX_GAP_MS) + (
            duration_ms if rng.random() < 0.5 else 0
        )


def _choose_target(
    rng: random.Random, config: SoakConfig, kinds: tuple[str, ...]
) -> str:
    if kinds is UPSTREAM_FAULTS:
        return rng.choice(config.list_upstream_names())
    return str(rng.randrange(config.vms))

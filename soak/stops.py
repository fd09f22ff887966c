"""Seeded series of VMs that are told to stop."""

import collections.abc
import random

from soak import plan

__all__ = [
    "GRACE_MS",
    "SILENCE",
    "STOP",
    "THAW_MARGIN_MS",
    "ScheduledStop",
    "make_stops",
]

STOP = "vm_stop"
SILENCE = "up_silence"
# Time after which the platform kills a VM that was told to stop.
GRACE_MS = 4_000
MAX_GAP_MS = 1_500
# Upstreams stand still from some time before the end of the grace period.
MIN_LEAD_MS = 400
MAX_LEAD_MS = 1_800
MIN_SILENCE_MS = 1_000
MAX_SILENCE_MS = 2_500
MIN_FREEZE_MS = 1_000
MAX_FREEZE_MS = 3_000
# A frozen VM goes on at least this long before the end of its grace period, or
# counts as frozen over it.
THAW_MARGIN_MS = 400
# Probabilities of what comes beside a stop.
PARTIAL_SILENCE_PROBABILITY = 0.3
ENGINE_SILENCE_PROBABILITY = 0.3
AGAIN_PROBABILITY = 0.25
FREEZE_PROBABILITY = 0.2
RELOAD_PROBABILITY = 0.5
EDIT_PROBABILITY = 0.6
EDITS = ("edit_route", "edit_key", "edit_rate", "edit_idle")
MIN_EDIT_MS = 500


class ScheduledStop(plan.ScheduledFault):
    """A VM that is told to stop, and what happens beside it.

    All times are relative to its first SIGTERM.

    :param at_ms: start time, relative to the start of the schedule
    :param target: number of the VM, as text
    :param silence: upstreams that stand still, and from when to when
    :param again_ms: time of a second SIGTERM; 0 for none
    :param freeze: from when to when the VM is frozen; None for never
    :param reload_ms: time of a SIGHUP; 0 for none
    :param edit: a change of the configuration; None for none
    """

    __slots__ = ("silence", "again_ms", "freeze", "reload_ms", "edit")

    def __init__(
        self,
        at_ms: int,
        target: str,
        silence: tuple[list[str], int, int],
        again_ms: int,
        freeze: tuple[int, int] | None,
        reload_ms: int,
        edit: plan.ScheduledFault | None,
    ) -> None:
        super().__init__(at_ms, STOP, target, GRACE_MS)
        self.silence = silence
        self.again_ms = again_ms
        self.freeze = freeze
        self.reload_ms = reload_ms
        self.edit = edit

    def describe(self) -> str:
        """Return the stop and what happens beside it in one line."""
        names, from_ms, to_ms = self.silence
        details = [f"silent({'+'.join(names)}) {from_ms}-{to_ms}"]
        if self.again_ms:
            details.append(f"again {self.again_ms}")
        if self.freeze:
            details.append(f"frozen {self.freeze[0]}-{self.freeze[1]}")
        if self.reload_ms:
            details.append(f"reload {self.reload_ms}")
        if self.edit:
            details.append(f"{self.edit.kind} {self.edit.at_ms}")
        return f"{super().describe()} [{'; '.join(details)}]"


def make_stops(
    seed: int, config: plan.SoakConfig
) -> collections.abc.Iterator[ScheduledStop]:
    """Yield stops in close succession, the same on every call.

    :param seed: seed of all random choices
    :param config: size of the soak
    """
    rng = random.Random(f"stops/{seed}")
    latest_ms = max(config.length_ms - GRACE_MS - MAX_GAP_MS, 501)
    at_ms = rng.randrange(500, min(latest_ms, 2_000))
    numbers: list[int] = []
    for _ in range(config.stops):
        if not numbers:
            numbers = rng.sample(range(config.vms), config.vms)
        yield _make_stop(rng, config, at_ms, str(numbers.pop()))
        at_ms = min(at_ms + rng.randint(100, MAX_GAP_MS), latest_ms)


def _make_stop(
    rng: random.Random, config: plan.SoakConfig, at_ms: int, target: str
) -> ScheduledStop:
    def happens(probability: float) -> bool:
        return rng.random() < probability

    return ScheduledStop(
        at_ms,
        target,
        _make_silence(rng, config),
        rng.randrange(100, GRACE_MS) if happens(AGAIN_PROBABILITY) else 0,
        _make_freeze(rng) if happens(FREEZE_PROBABILITY) else None,
        rng.randrange(GRACE_MS) if happens(RELOAD_PROBABILITY) else 0,
        _make_edit(rng, target) if happens(EDIT_PROBABILITY) else None,
    )


def _make_silence(
    rng: random.Random, config: plan.SoakConfig
) -> tuple[list[str], int, int]:
    names = config.list_upstream_names()
    servers = [name for name in names if name[0] == "s"]
    if rng.random() < PARTIAL_SILENCE_PROBABILITY:
        servers = rng.sample(servers, rng.randint(1, len(servers)))
    if rng.random() < ENGINE_SILENCE_PROBABILITY:
        engines = [name for name in names if name[0] != "s"]
        servers += rng.sample(engines, rng.randint(1, len(engines)))
    from_ms = GRACE_MS - rng.randint(MIN_LEAD_MS, MAX_LEAD_MS)
    duration_ms = rng.randint(MIN_SILENCE_MS, MAX_SILENCE_MS)
    return servers, from_ms, from_ms + duration_ms


def _make_freeze(rng: random.Random) -> tuple[int, int]:
    duration_ms = rng.randint(MIN_FREEZE_MS, MAX_FREEZE_MS)
    from_ms = rng.randrange(GRACE_MS - MIN_FREEZE_MS)
    to_ms = from_ms + duration_ms
    if GRACE_MS - THAW_MARGIN_MS < to_ms <= GRACE_MS:
        to_ms = GRACE_MS + THAW_MARGIN_MS
    return from_ms, to_ms


def _make_edit(rng: random.Random, target: str) -> plan.ScheduledFault:
    at_ms = rng.randrange(GRACE_MS)
    duration_ms = rng.randint(MIN_EDIT_MS, GRACE_MS)
    return plan.ScheduledFault(at_ms, rng.choice(EDITS), target, duration_ms)

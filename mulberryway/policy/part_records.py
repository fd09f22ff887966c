"""The crashes that parts of prompts are blamed for."""

import enum
import hashlib

__all__ = [
    "CRASHES_TO_QUARANTINE",
    "NO_PART_KEY",
    "SAME_CRASH_MS",
    "SAME_EVENT_MS",
    "TRIAL",
    "Crash",
    "PartRecord",
    "PartState",
    "choose_state",
    "is_part_key",
    "make_part_key",
]

KEY_PREFIX = "part:"
# The key of an engine's crash that no part is blamed for.
NO_PART_KEY = KEY_PREFIX
MODEL_DIGITS = 8
# Takes the place of the upstream in an update: a trial of the part begins.
TRIAL = "trial"
CRASHES_TO_QUARANTINE = 2
# Engines that crash within this time may have one cause, such as a loss of
# power.  A sound part that is not proven yet is rarely on this many of them.
SAME_EVENT_MS = 400
CRASHES_OF_EVENT_TO_QUARANTINE = 3
# Reports of one crash by several VMs.  Shorter than an engine's restart.
SAME_CRASH_MS = 900
# Trials of several VMs within this time count once.
SAME_TRIAL_MS = 1_000
MAX_CRASHES_PER_PART = 8
MAX_TRIALS_PER_PART = 3


def make_part_key(model: str, part: str) -> str:
    """Return the key under which a part's crashes are counted.

    It is the same for all client accounts: a part that crashes engines does so
    for each of them.

    :param model: the model's name
    :param part: the part's id
    """
    digest = hashlib.sha256(model.encode()).hexdigest()[:MODEL_DIGITS]
    return f"{KEY_PREFIX}{digest}/{part}"


def is_part_key(key: str) -> bool:
    """Return whether an update is about a part, not about a whole request.

    :param key: the update's digest
    """
    return key.startswith(KEY_PREFIX)


class PartState(enum.Enum):
    """Whether requests with some parts may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class Crash:
    """A crash that a part is blamed for.

    :param upstream: ``pool/name`` of the engine
    :param at_ms: time of the crash, in ms
    """

    __slots__ = ("upstream", "at_ms")

    def __init__(self, upstream: str, at_ms: int) -> None:
        self.upstream = upstream
        self.at_ms = at_ms

    def is_same(self, other: "Crash") -> bool:
        """Return whether another report is about this crash.

        :param other: the other report
        """
        return (
            self.upstream == other.upstream
            and abs(self.at_ms - other.at_ms) < SAME_CRASH_MS
        )


class PartRecord:
    """The crashes that one part is blamed for, and its trials.

    ``crashes`` and ``trials_ms`` are in order of time; trials are those of
    all VMs.

    :param now_ms: current time in ms
    """

    __slots__ = ("crashes", "trials_ms", "used_ms")

    def __init__(self, now_ms: int) -> None:
        self.crashes: list[Crash] = []
        self.trials_ms: list[int] = []
        self.used_ms = now_ms

    def add_crash(self, crash: Crash) -> bool:
        """Record a crash; return whether it was not known.

        :param crash: the crash
        """
        if any(map(crash.is_same, self.crashes)):
            return False
        self.crashes.append(crash)
        self.crashes.sort(key=lambda known: known.at_ms)
        del self.crashes[:-MAX_CRASHES_PER_PART]
        return True

    def add_trial(self, at_ms: int) -> None:
        """Record a trial unless it is known.

        :param at_ms: when it began, in ms
        """
        if all(
            abs(at_ms - known_ms) >= SAME_TRIAL_MS
            for known_ms in self.trials_ms
        ):
            self.trials_ms = sorted([*self.trials_ms, at_ms])
            del self.trials_ms[:-MAX_TRIALS_PER_PART]


def choose_state(crashes: list[Crash]) -> PartState:
    """Return the state of a part.

    :param crashes: the crashes that it is blamed for, in order of time
    """
    if not crashes:
        return PartState.CLEAR
    is_one_event = crashes[-1].at_ms - crashes[0].at_ms < SAME_EVENT_MS
    needed = (
        CRASHES_OF_EVENT_TO_QUARANTINE
        if is_one_event
        else CRASHES_TO_QUARANTINE
    )
    return (
        PartState.SUSPECT if len(crashes) < needed else PartState.QUARANTINED
    )

"""Simulates prompt parts that crash engines, without sockets.

``python -m benchmarks.crashes_simulation`` compares ways to decide which part
is to blame, over seeds and scenarios.  Each VM decides by what it has seen and
by what the others have told it, after a delay.
"""

import abc
import collections
import collections.abc
import heapq
import itertools
import random
import statistics

from mulberryway.policy import hints
from mulberryway.policy import part_quarantine
from mulberryway.policy import part_records

__all__ = ["Result", "Scenario", "SCENARIOS", "WAYS", "simulate"]

PartState = part_records.PartState
SEEDS = 10
PREFILL_MS = 150
CRASH_MS = 100
DETECTION_MS = 60
RESTART_MS = 2_000
SURVIVAL_MS = 1_000
CONTACT_MS = 3_000
COUNTED_CRASHES = 5
# Sound parts, and how often a sound request has each of the rare ones.
SHARED_PART, BAD_PARTS = "part:m/aa", ("part:m/c0", "part:m/c1")
MIDDLE_PARTS = tuple(f"part:m/b{number}" for number in range(7))
RARE_PARTS = tuple(f"part:m/d{number}" for number in range(50))
RARE_PROBABILITY = 0.2
WARM_UP_MS = 10_000
LENGTH_MS = 60_000


class Scenario:
    """One load with its faults.

    :param name: name of the scenario
    :param vms: number of VMs
    :param engines: number of decode engines
    :param sound_ms: mean time between sound requests
    :param bad_ms: time between requests with a crashing part
    :param copies: number of such requests at one moment
    :param bad_parts: number of crashing parts, which come by turns
    :param answer_ms: duration of an answer
    :param has_history: whether sound requests come before the others
    :param crash_ms: mean time between ordinary crashes; 0 for none
    :param outage_ms: time between crashes of half of the engines; 0 for none
    :param spread_ms: time until the other VMs know what one has seen
    """

    __slots__ = (
        "name",
        "vms",
        "engines",
        "sound_ms",
        "bad_ms",
        "copies",
        "bad_parts",
        "answer_ms",
        "has_history",
        "crash_ms",
        "outage_ms",
        "spread_ms",
    )

    def __init__(
        self,
        name: str,
        vms: int = 6,
        engines: int = 6,
        sound_ms: int = 80,
        bad_ms: int = 300,
        copies: int = 1,
        bad_parts: int = 1,
        answer_ms: int = 2_000,
        has_history: bool = True,
        crash_ms: int = 0,
        outage_ms: int = 0,
        spread_ms: int = 50,
    ) -> None:
        self.name = name
        self.vms = vms
        self.engines = engines
        self.sound_ms = sound_ms
        self.bad_ms = bad_ms
        self.copies = copies
        self.bad_parts = bad_parts
        self.answer_ms = answer_ms
        self.has_history = has_history
        self.crash_ms = crash_ms
        self.outage_ms = outage_ms
        self.spread_ms = spread_ms


SCENARIOS = (
    Scenario("one part, every 0.3 s"),
    Scenario("every 1.2 s", bad_ms=1_200),
    Scenario("16 at once", bad_ms=3_000, copies=16, engines=24),
    Scenario("two parts by turns", bad_parts=2),
    Scenario("answers of 50 ms", answer_ms=50),
    Scenario("no history, few sound", has_history=False, sound_ms=500),
    Scenario("no history, two parts", has_history=False, bad_parts=2),
    Scenario("ordinary crashes", bad_ms=1_200, crash_ms=3_000),
    Scenario("half of the engines", bad_ms=1_200, outage_ms=8_000),
    Scenario(
        "195 VMs", vms=195, engines=70, sound_ms=50, spread_ms=200, bad_ms=400
    ),
)


class Way(abc.ABC):
    """One VM's way to decide, with what it tells the others.

    :param vm: the VM's name
    :param vms: names of all VMs
    :param seed: seed of its random choices
    """

    def __init__(self, vm: str, vms: tuple[str, ...], seed: int) -> None:
        self.vm = vm
        self.outbox: list[hints.Death] = []

    @abc.abstractmethod
    def decide(self, parts: tuple[str, ...], now_ms: int) -> PartState:
        """Return whether a request may run.

        :param parts: its parts
        :param now_ms: current time in ms
        """

    def begin(self, parts: tuple[str, ...], now_ms: int) -> None:
        """Record that a request starts.

        :param parts: its parts
        :param now_ms: current time in ms
        """
        return

    @abc.abstractmethod
    def record_crash(
        self, parts: tuple[str, ...], engine: str, now_ms: int
    ) -> None:
        """Record a crash of an engine that had just begun a request.

        :param parts: the request's parts
        :param engine: the engine's incarnation
        :param now_ms: current time in ms
        """

    def record_end(self, parts: tuple[str, ...], now_ms: int) -> None:
        """Record that an answer is whole.

        :param parts: the request's parts
        :param now_ms: current time in ms
        """
        return

    def record_survival(
        self, parts: tuple[str, ...], began_ms: int, now_ms: int
    ) -> None:
        """Record that an engine lives on after a run's first output.

        :param parts: the request's parts
        :param began_ms: time of the first output, in ms
        :param now_ms: current time in ms
        """
        return

    @abc.abstractmethod
    def apply(self, update: hints.Death, now_ms: int) -> None:
        """Apply what another VM has told.

        :param update: the update
        :param now_ms: current time in ms
        """

    def drain(self, now_ms: int) -> list[hints.Death]:
        """Return what to tell the others now.

        :param now_ms: current time in ms
        """
        updates, self.outbox = self.outbox, []
        return updates


class CountCrashes(Way):
    """Rejects parts that were in two crashes."""

    def __init__(self, vm: str, vms: tuple[str, ...], seed: int) -> None:
        super().__init__(vm, vms, seed)
        self.crashes: dict[str, set[str]] = collections.defaultdict(set)

    def decide(self, parts: tuple[str, ...], now_ms: int) -> PartState:
        """Return the state of the part with most crashes."""
        most = max(len(self.crashes[part]) for part in parts)
        if most >= 2:
            return PartState.QUARANTINED
        return PartState.SUSPECT if most else PartState.CLEAR

    def record_crash(
        self, parts: tuple[str, ...], engine: str, now_ms: int
    ) -> None:
        """Count the crash for each part."""
        for part in parts:
            self.crashes[part].add(engine)
            self.outbox.append(hints.Death(part, engine, 0, False))

    def apply(self, update: hints.Death, now_ms: int) -> None:
        """Count another VM's crash."""
        if update.upstream:
            self.crashes[update.digest].add(update.upstream)


class CountSinceEnd(CountCrashes):
    """Counts a part's crashes since a request with it has ended well."""

    RECENT_MS = 10_000

    def __init__(self, vm: str, vms: tuple[str, ...], seed: int) -> None:
        super().__init__(vm, vms, seed)
        self.ended_ms: dict[str, int] = {}

    def record_crash(
        self, parts: tuple[str, ...], engine: str, now_ms: int
    ) -> None:
        """Count the crash for the parts that have not ended well lately."""
        blamed = tuple(
            part
            for part in parts
            if now_ms - self.ended_ms.get(part, -self.RECENT_MS)
            >= self.RECENT_MS
        )
        super().record_crash(blamed, engine, now_ms)

    def record_end(self, parts: tuple[str, ...], now_ms: int) -> None:
        """Clear the parts."""
        for part in parts:
            self.ended_ms[part] = now_ms
            if self.crashes.pop(part, None):
                self.outbox.append(hints.Death(part, "", 0, True))

    def apply(self, update: hints.Death, now_ms: int) -> None:
        """Apply another VM's crash or clearance."""
        super().apply(update, now_ms)
        if not update.upstream:
            self.crashes.pop(update.digest, None)


class Likelihood(CountCrashes):
    """Rejects parts most of whose runs have ended their engine."""

    MAX_CRASHED_FRACTION = 0.5

    def __init__(self, vm: str, vms: tuple[str, ...], seed: int) -> None:
        super().__init__(vm, vms, seed)
        self.survived: collections.Counter[str] = collections.Counter()

    def decide(self, parts: tuple[str, ...], now_ms: int) -> PartState:
        """Return the state of the part that ends most of its engines."""
        for part in parts:
            crashed = len(self.crashes[part])
            runs = crashed + self.survived[part]
            if crashed >= 2 and crashed > self.MAX_CRASHED_FRACTION * runs:
                return PartState.QUARANTINED
        return PartState.CLEAR

    def record_survival(
        self, parts: tuple[str, ...], began_ms: int, now_ms: int
    ) -> None:
        """Count the run for each part."""
        for part in parts:
            self.survived[part] += 1
            self.outbox.append(hints.Death(part, "", 0, True))

    def apply(self, update: hints.Death, now_ms: int) -> None:
        """Count another VM's crash or run."""
        super().apply(update, now_ms)
        if not update.upstream:
            self.survived[update.digest] += 1


class Quarantine(Way):
    """The product's quarantine."""

    def __init__(self, vm: str, vms: tuple[str, ...], seed: int) -> None:
        super().__init__(vm, vms, seed)
        self.parts = part_quarantine.PartQuarantine(vm, random.Random(seed))
        self.parts.update_vms(vms)

    def decide(self, parts: tuple[str, ...], now_ms: int) -> PartState:
        """Return the verdict's state."""
        return self.parts.assess(parts, now_ms).state

    def begin(self, parts: tuple[str, ...], now_ms: int) -> None:
        """Begin a trial if the request is one."""
        if self.parts.assess(parts, now_ms).is_trial:
            self.parts.begin_trial(parts, now_ms)

    def record_crash(
        self, parts: tuple[str, ...], engine: str, now_ms: int
    ) -> None:
        """Blame the parts."""
        self.parts.record_crash(parts, engine, now_ms)

    def record_survival(
        self, parts: tuple[str, ...], began_ms: int, now_ms: int
    ) -> None:
        """Exonerate the parts."""
        self.parts.record_survival(parts, began_ms, now_ms)

    def apply(self, update: hints.Death, now_ms: int) -> None:
        """Apply the update."""
        self.parts.apply_update(update, now_ms)

    def drain(self, now_ms: int) -> list[hints.Death]:
        """Return the quarantine's updates."""
        return self.parts.drain_updates(now_ms)


WAYS: dict[str, type[Way]] = {
    "count crashes": CountCrashes,
    "count since a good end": CountSinceEnd,
    "likelihood": Likelihood,
    "quarantine": Quarantine,
}


class Run:
    """A request at an engine.

    :param way: the VM that sent it
    :param parts: its parts
    :param is_suspect: whether it runs as the only suspect there
    """

    __slots__ = ("way", "parts", "is_suspect", "began_ms")

    def __init__(
        self, way: Way, parts: tuple[str, ...], is_suspect: bool
    ) -> None:
        self.way = way
        self.parts = parts
        self.is_suspect = is_suspect
        self.began_ms = 0


class Engine:
    """One incarnation of a decode engine.

    :param name: its name
    """

    __slots__ = ("name", "runs", "is_up")

    def __init__(self, name: str) -> None:
        self.name = name
        self.runs: list[Run] = []
        self.is_up = True


class Result:
    """What happened in one simulation.

    :param crashes: times at which a crashing part ended an engine, in ms
    :param late: requests with such a part that reached an engine late
    :param served: fraction of the sound requests that ran, from 6 s after the
        second crash on
    :param longest_ms: longest time for which a sound part was always rejected
    """

    __slots__ = ("crashes", "late", "served", "longest_ms")

    def __init__(
        self, crashes: int, late: int, served: float, longest_ms: int
    ) -> None:
        self.crashes = crashes
        self.late = late
        self.served = served
        self.longest_ms = longest_ms


class Simulation:
    """Plays one scenario with one way and one seed.

    :param scenario: the scenario
    :param way: the way of all VMs
    :param seed: seed of all random choices
    """

    def __init__(self, scenario: Scenario, way: type[Way], seed: int) -> None:
        self._scenario = scenario
        self._random = random.Random(f"{scenario.name}/{seed}")
        names = tuple(f"vm{number}" for number in range(scenario.vms))
        self._vms = [way(name, names, seed) for name in names]
        self._names = (f"e{number}" for number in itertools.count())
        self._engines = [
            Engine(next(self._names)) for _ in range(scenario.engines)
        ]
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._numbers = itertools.count()
        self._now_ms = 0
        self._bad_turns = itertools.cycle(BAD_PARTS[: scenario.bad_parts])
        # Times of crashes and of requests, by crashing part.
        self.crashes: dict[str, list[int]] = collections.defaultdict(list)
        self.sent_bad: dict[str, list[int]] = collections.defaultdict(list)
        self.sound: list[tuple[int, tuple[str, ...], bool]] = []

    def play(self) -> Result:
        """Play the scenario and return what happened."""
        scenario = self._scenario
        self._begin_ms = WARM_UP_MS if scenario.has_history else 0
        self._repeat(0, scenario.sound_ms, self._send_sound)
        self._repeat(self._begin_ms, scenario.bad_ms, self._send_bad, False)
        if scenario.crash_ms:
            self._repeat(0, scenario.crash_ms, lambda: self._kill(1))
        if scenario.outage_ms:
            half = scenario.engines // 2
            self._repeat(
                WARM_UP_MS, scenario.outage_ms, lambda: self._kill(half), False
            )
        self._repeat(0, 20, self._exchange, False)
        end_ms = self._begin_ms + LENGTH_MS
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self._now_ms = int(at_ms)
            action()
        return self._summarize()

    def _at(
        self, at_ms: float, action: collections.abc.Callable[[], None]
    ) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def _repeat(
        self,
        at_ms: float,
        interval_ms: int,
        action: collections.abc.Callable[[], None],
        is_random: bool = True,
    ) -> None:
        def step() -> None:
            action()
            delay_ms = interval_ms * (
                self._random.expovariate(1) if is_random else 1
            )
            self._at(self._now_ms + delay_ms, step)

        self._at(at_ms, step)

    def _exchange(self) -> None:
        for sender in self._vms:
            updates = sender.drain(self._now_ms)
            if updates:
                self._at(
                    self._now_ms + self._scenario.spread_ms,
                    lambda s=sender, u=updates: self._deliver(s, u),
                )

    def _deliver(self, sender: Way, updates: list[hints.Death]) -> None:
        for receiver, update in itertools.product(self._vms, updates):
            if receiver is not sender:
                aged = hints.Death(
                    update.digest,
                    update.upstream,
                    update.age_ms + self._scenario.spread_ms,
                    update.proven,
                )
                receiver.apply(aged, self._now_ms)

    def _make_sound_parts(self) -> tuple[str, ...]:
        parts = (SHARED_PART, self._random.choice(MIDDLE_PARTS))
        if self._random.random() < RARE_PROBABILITY:
            parts += (self._random.choice(RARE_PARTS),)
        return parts

    def _send_sound(self) -> None:
        parts = self._make_sound_parts()
        self.sound.append((self._now_ms, parts, self._send(parts)))

    def _send_bad(self) -> None:
        for _ in range(self._scenario.copies):
            self._send((*self._make_sound_parts(), next(self._bad_turns)))

    def _send(self, parts: tuple[str, ...]) -> bool:
        """Send a request; return whether it may run."""
        way = self._random.choice(self._vms)
        state = way.decide(parts, self._now_ms)
        if state is PartState.QUARANTINED:
            return False
        way.begin(parts, self._now_ms)
        if parts[-1] in BAD_PARTS:
            self.sent_bad[parts[-1]].append(self._now_ms)
        run = Run(way, parts, state is PartState.SUSPECT)
        is_trial = way.decide(parts, self._now_ms) is PartState.QUARANTINED
        self._at(
            self._now_ms + PREFILL_MS, lambda: self._decode(run, is_trial)
        )
        return True

    def _decode(self, run: Run, is_trial: bool) -> None:
        state = run.way.decide(run.parts, self._now_ms)
        if state is PartState.QUARANTINED and not is_trial:
            return
        usable = [
            engine
            for engine in self._engines
            if engine.is_up
            and not (
                run.is_suspect
                and any(other.is_suspect for other in engine.runs)
            )
        ]
        if not usable:
            return
        engine = self._random.choice(usable)
        run.began_ms = self._now_ms
        engine.runs.append(run)
        if run.parts[-1] in BAD_PARTS:
            self._at(
                self._now_ms + CRASH_MS,
                lambda: self._crash(engine, run.parts[-1]),
            )
        self._at(
            self._now_ms + self._scenario.answer_ms,
            lambda: self._end(engine, run),
        )
        self._at(
            self._now_ms + SURVIVAL_MS, lambda: self._survive(engine, run)
        )

    def _end(self, engine: Engine, run: Run) -> None:
        if engine.is_up:
            run.way.record_end(run.parts, self._now_ms)

    def _survive(self, engine: Engine, run: Run) -> None:
        if engine.is_up:
            run.is_suspect = False
            engine.runs.remove(run)
            run.way.record_survival(run.parts, run.began_ms, self._now_ms)

    def _kill(self, count: int) -> None:
        up = [engine for engine in self._engines if engine.is_up]
        for engine in self._random.sample(up, min(count, len(up))):
            self._crash(engine)

    def _crash(self, engine: Engine, part: str = "") -> None:
        if not engine.is_up:
            return
        engine.is_up = False
        if part:
            self.crashes[part].append(self._now_ms)
        self._at(self._now_ms + DETECTION_MS, lambda: self._detect(engine))
        self._at(self._now_ms + RESTART_MS, lambda: self._restart(engine))

    def _detect(self, engine: Engine) -> None:
        # Runs that were survived are not in the list any more.
        for run in engine.runs:
            run.way.record_crash(run.parts, f"lm/{engine.name}", self._now_ms)

    def _restart(self, engine: Engine) -> None:
        self._engines.remove(engine)
        self._engines.append(Engine(next(self._names)))

    def _summarize(self) -> Result:
        late = sum(
            at_ms > times[COUNTED_CRASHES - 1] + CONTACT_MS
            for part, times in self.crashes.items()
            if len(times) >= COUNTED_CRASHES
            for at_ms in self.sent_bad[part]
        )
        quiet_ms = 2 * CONTACT_MS + max(
            (times[:2][-1] for times in self.crashes.values()),
            default=self._begin_ms,
        )
        counted = [
            has_run for at_ms, _, has_run in self.sound if at_ms >= quiet_ms
        ]
        served = sum(counted) / max(len(counted), 1)
        return Result(
            sum(map(len, self.crashes.values())),
            late,
            served,
            self._find_longest_rejection(),
        )

    def _find_longest_rejection(self) -> int:
        """Return the longest time in which a part was only rejected, in ms."""
        longest_ms = 0
        since: dict[str, int] = {}
        for at_ms, parts, has_run in self.sound:
            for part in parts:
                if has_run:
                    since.pop(part, None)
                else:
                    since.setdefault(part, at_ms)
                    longest_ms = max(longest_ms, at_ms - since[part])
        return longest_ms


def simulate(scenario: Scenario, way: type[Way], seed: int) -> Result:
    """Play one scenario.

    :param scenario: the scenario
    :param way: the way of all VMs
    :param seed: seed of all random choices
    :returns: what happened
    """
    return Simulation(scenario, way, seed).play()


def main() -> None:
    """Print the means over all seeds, one line for each way and scenario."""
    print(
        f"{'scenario':24}{'way':24}{'crashes':>9}{'late':>8}"
        f"{'served':>8}{'rejected ms':>13}"
    )
    for scenario, (name, way) in itertools.product(SCENARIOS, WAYS.items()):
        results = [simulate(scenario, way, seed) for seed in range(SEEDS)]
        crashes = statistics.mean(result.crashes for result in results)
        late = statistics.mean(result.late for result in results)
        served = statistics.mean(result.served for result in results)
        longest_ms = max(result.longest_ms for result in results)
        print(
            f"{scenario.name:24}{name:24}{crashes:9.1f}{late:8.1f}"
            f"{served:8.3f}{longest_ms:13}",
            flush=True,
        )


if __name__ == "__main__":
    main()

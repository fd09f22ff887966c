"""Quarantine of prompt parts that crash engines, over all VMs; best effort.

A part is blamed for a crash if the engine had just begun to answer a request
with it, unless an engine has survived another such request at about that time.
A part that is blamed for several crashes is quarantined: requests with it are
rejected, except for a rare trial.  Sound parts of these requests are proven
sound by requests without the crashing part.
"""

import collections
import collections.abc
import random

from mulberryway.policy import hints
from mulberryway.policy import part_records
from mulberryway.policy import part_trials

__all__ = ["PartChange", "PartQuarantine", "Verdict"]

Crash = part_records.Crash
PartState = part_records.PartState

# A survived run exonerates its parts from crashes up to this long after it
# began.  A part that begins to crash engines is protected for as long.
PROOF_TTL_MS = 4_000
# A part that nobody has requested for this long is forgotten.
RETENTION_MS = 600_000
# Bound the memory.
MAX_PARTS = 1_024
MAX_PROOFS = 4_096
MAX_REPORTED = 64
# Bounds the log lines about one crash.
MAX_CHANGES = 32
# Bounds the message about one crash; the most often blamed parts go first.
MAX_BLAMED_PARTS = 16
MAX_REPEATED_UPDATES = 48
# Several VMs may refute another VM's blame.  They take a random time, so that
# most of them hear it from the first ones, however many VMs there are.
MIN_REFUTATION_WINDOW_MS = 200
REFUTATION_WINDOW_PER_VM_MS = 20


class Verdict:
    """What is known about the parts of a request.

    :param state: whether the request may run
    :param key: the part that decides this; empty if it is clear
    :param upstreams: the engines that crashed on that part
    :param retry_after_ms: when a quarantined part may be tried again
    :param is_trial: whether the request may run as the only one with a
        quarantined part
    """

    __slots__ = ("state", "key", "upstreams", "retry_after_ms", "is_trial")

    def __init__(
        self,
        state: PartState,
        key: str = "",
        upstreams: tuple[str, ...] = (),
        retry_after_ms: int = 0,
        is_trial: bool = False,
    ) -> None:
        self.state = state
        self.key = key
        self.upstreams = upstreams
        self.retry_after_ms = retry_after_ms
        self.is_trial = is_trial


class PartChange:
    """A change of what is known about a part, for logs.

    :param key: the part
    :param state: its state now
    :param upstreams: the engines that crashed on it
    """

    __slots__ = ("key", "state", "upstreams")

    def __init__(
        self,
        key: str,
        state: PartState,
        upstreams: tuple[str, ...] = (),
    ) -> None:
        self.key = key
        self.state = state
        self.upstreams = upstreams


class PartQuarantine:
    """The crashes and survived runs of prompt parts; not thread-safe.

    :param vm: this VM's name
    :param random_: seeded random generator
    """

    def __init__(self, vm: str, random_: random.Random) -> None:
        self._vm = vm
        self._random = random_
        self._vms: tuple[str, ...] = (vm,)
        self._records: collections.OrderedDict[
            str, part_records.PartRecord
        ] = collections.OrderedDict()
        # When the last survived run with a part began, in ms.
        self._proofs: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # When the peers were told of an engine's crash.
        self._reported: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._updates: list[tuple[hints.Death, int]] = []
        self._changes: collections.deque[PartChange] = collections.deque(
            maxlen=MAX_CHANGES
        )
        # Parts whose blame this VM refutes, and when.
        self._refutations: dict[str, int] = {}

    def update_vms(self, vms: tuple[str, ...]) -> None:
        """Replace the list of VMs that run a router.

        :param vms: their names
        """
        self._vms = vms

    def count(self, state: PartState) -> int:
        """Return the number of parts that are suspect or quarantined.

        :param state: the state to count
        """
        return sum(
            part_records.choose_state(self._list_crashes(key, record)) is state
            for key, record in self._records.items()
        )

    def assess(
        self, keys: collections.abc.Collection[str], now_ms: int
    ) -> Verdict:
        """Return whether a request may run.

        :param keys: keys of its prompt's parts
        :param now_ms: current time in ms
        :returns: the verdict; a suspect request must be the only suspect on
            its engines
        """
        blamed = {
            key: crashes
            for key in keys
            if (crashes := self._find_crashes(key, now_ms))
        }
        if not blamed:
            return Verdict(PartState.CLEAR)
        waits = {
            key: self._compute_wait_ms(key, crashes, rivals, now_ms)
            for key, crashes in blamed.items()
            if part_records.choose_state(crashes) is PartState.QUARANTINED
            and (rivals := self._count_rivals(crashes, keys, now_ms))
            < len(crashes)
        }
        for key in waits:
            self._records[key].used_ms = now_ms
        key = max(waits or blamed, key=lambda key: (waits.get(key, 0), key))
        wait_ms = waits.get(key, 0)
        return Verdict(
            PartState.QUARANTINED if wait_ms > 0 else PartState.SUSPECT,
            key,
            tuple(crash.upstream for crash in blamed[key]),
            wait_ms,
            bool(waits) and wait_ms <= 0,
        )

    def begin_trial(
        self, keys: collections.abc.Collection[str], now_ms: int
    ) -> None:
        """Record that a request with quarantined parts starts.

        :param keys: keys of its prompt's parts
        :param now_ms: current time in ms
        """
        for key in keys:
            crashes = self._find_crashes(key, now_ms)
            if part_records.choose_state(crashes) is PartState.QUARANTINED:
                self._records[key].add_trial(now_ms)
                self._queue(
                    hints.Death(key, part_records.TRIAL, 0, False), now_ms
                )

    def record_crash(
        self,
        keys: collections.abc.Collection[str],
        upstream: str,
        now_ms: int,
    ) -> list[str]:
        """Blame parts for a crash, unless they are proven; tell the peers.

        :param keys: keys of parts of requests that had just begun there
        :param upstream: ``pool/name`` of the engine
        :param now_ms: current time in ms
        :returns: the parts that were not blamed for this crash before
        """
        blamed = [
            key
            for key in dict.fromkeys(keys)
            if not self._is_exonerated(key, now_ms)
            and self._add_crash(key, Crash(upstream, now_ms), now_ms)
        ]
        blamed.sort(key=lambda key: -len(self._records[key].crashes))
        for key in blamed[:MAX_BLAMED_PARTS]:
            self._queue(hints.Death(key, upstream, 0, False), now_ms)
        return blamed

    def report_crash(self, upstream: str, now_ms: int) -> None:
        """Tell the peers of a crash; they blame the parts of their own runs.

        :param upstream: ``pool/name`` of the engine
        :param now_ms: current time in ms
        """
        reported_ms = self._reported.pop(upstream, None)
        self._reported[upstream] = now_ms
        while len(self._reported) > MAX_REPORTED:
            self._reported.popitem(last=False)
        if (
            reported_ms is None
            or now_ms - reported_ms >= part_records.SAME_CRASH_MS
        ):
            update = hints.Death(part_records.NO_PART_KEY, upstream, 0, False)
            self._queue(update, now_ms)

    def record_survival(
        self,
        keys: collections.abc.Collection[str],
        began_ms: int,
        now_ms: int,
    ) -> None:
        """Record that an engine has survived a run; tell the peers if needed.

        :param keys: keys of the parts of its prompt
        :param began_ms: when the run began to write, in ms
        :param now_ms: current time in ms
        """
        for key in keys:
            if self._add_proof(key, began_ms):
                self._queue_clearance(key, now_ms)

    def apply_update(self, update: hints.Death, now_ms: int) -> None:
        """Apply another VM's update, which may be late or a duplicate.

        :param update: the update
        :param now_ms: current time in ms
        """
        key, at_ms = update.digest, now_ms - update.age_ms
        if (
            key == part_records.NO_PART_KEY
            or not 0 <= update.age_ms < RETENTION_MS
        ):
            return
        if not update.upstream:
            self._add_proof(key, at_ms)
            self._refutations.pop(key, None)
        elif update.upstream == part_records.TRIAL:
            record = self._records.get(key)
            if record is not None:
                record.add_trial(at_ms)
        elif self._is_exonerated(key, at_ms):
            window_ms = max(
                MIN_REFUTATION_WINDOW_MS,
                REFUTATION_WINDOW_PER_VM_MS * len(self._vms),
            )
            delay_ms = self._random.randrange(window_ms)
            self._refutations.setdefault(key, now_ms + delay_ms)
        else:
            self._add_crash(key, Crash(update.upstream, at_ms), now_ms)

    def drain_updates(self, now_ms: int) -> list[hints.Death]:
        """Return the updates to send to the peers now, and clear them.

        :param now_ms: current time in ms
        """
        for key, due_ms in list(self._refutations.items()):
            if due_ms <= now_ms:
                del self._refutations[key]
                self._queue_clearance(key, now_ms)
        updates, self._updates = self._updates, []
        for update, at_ms in updates:
            update.age_ms += now_ms - at_ms
        return [update for update, _ in updates]

    def drain_changes(self) -> list[PartChange]:
        """Return the changes since the last call, for logs."""
        changes = list(self._changes)
        self._changes.clear()
        return changes

    def list_quarantined(self, now_ms: int) -> list[hints.Death]:
        """Return the crashes and trials of quarantined parts.

        They are repeated for VMs that have just started or were cut off.

        :param now_ms: current time in ms
        """
        updates = []
        for key, record in list(self._records.items()):
            crashes = self._find_crashes(key, now_ms)
            if part_records.choose_state(crashes) is not PartState.QUARANTINED:
                continue
            updates += [
                hints.Death(key, crash.upstream, now_ms - crash.at_ms, False)
                for crash in crashes
            ]
            updates += [
                hints.Death(key, part_records.TRIAL, now_ms - at_ms, False)
                for at_ms in record.trials_ms
            ]
        return updates[-MAX_REPEATED_UPDATES:]

    def _find_crashes(self, key: str, now_ms: int) -> list[Crash]:
        record = self._records.get(key)
        if record is None:
            return []
        if now_ms - record.used_ms >= RETENTION_MS:
            del self._records[key]
            return []
        return self._list_crashes(key, record)

    def _list_crashes(
        self, key: str, record: part_records.PartRecord
    ) -> list[Crash]:
        return [
            crash
            for crash in record.crashes
            if not self._is_exonerated(key, crash.at_ms)
        ]

    def _is_exonerated(self, key: str, at_ms: int) -> bool:
        """Return whether a run with a part was survived around a crash."""
        proven_ms = self._proofs.get(key)
        return proven_ms is not None and proven_ms > at_ms - PROOF_TTL_MS

    def _count_rivals(
        self,
        crashes: list[Crash],
        keys: collections.abc.Collection[str],
        now_ms: int,
    ) -> int:
        """Return how well parts that a request lacks explain some crashes.

        A sound part that all requests share is blamed with the part that
        crashes engines.  A request with the sound one alone must be allowed to
        prove it.

        :param crashes: the crashes that a part of the request is blamed for
        :param keys: keys of the request's parts
        :param now_ms: current time in ms
        :returns: for the crash that is explained worst, the largest number of
            crashes that another part of it is blamed for
        """
        rivals: collections.Counter[str] = collections.Counter()
        for other in list(self._records):
            if other in keys:
                continue
            others = self._find_crashes(other, now_ms)
            for crash in others:
                rivals[crash.upstream] = max(
                    rivals[crash.upstream], len(others)
                )
        return min(rivals[crash.upstream] for crash in crashes)

    def _compute_wait_ms(
        self,
        key: str,
        crashes: list[Crash],
        rivals: int,
        now_ms: int,
    ) -> int:
        """Return the time until a quarantined part's next trial; 0 if due."""
        wait_ms = part_trials.compute_wait_ms(
            self._records[key],
            crashes,
            rivals > 0,
            part_trials.rank_vm(key, self._vm, self._vms),
            len(self._vms),
            now_ms,
        )
        return RETENTION_MS if wait_ms is None else wait_ms

    def _add_crash(self, key: str, crash: Crash, now_ms: int) -> bool:
        record = self._records.get(key)
        if record is None:
            record = self._records[key] = part_records.PartRecord(now_ms)
            while len(self._records) > MAX_PARTS:
                self._records.popitem(last=False)
        if not record.add_crash(crash):
            return False
        record.used_ms = now_ms
        self._records.move_to_end(key)
        self._record_change(key, self._list_crashes(key, record))
        return True

    def _add_proof(self, key: str, began_ms: int) -> bool:
        """Add a survived run; return whether it ends a blame."""
        record = self._records.get(key)
        was_blamed = record is not None and bool(
            self._list_crashes(key, record)
        )
        self._proofs[key] = max(began_ms, self._proofs.get(key, began_ms))
        self._proofs.move_to_end(key)
        while len(self._proofs) > MAX_PROOFS:
            self._proofs.popitem(last=False)
        if record is None or self._list_crashes(key, record):
            return False
        del self._records[key]
        if was_blamed:
            self._record_change(key, [])
        return was_blamed

    def _record_change(self, key: str, crashes: list[Crash]) -> None:
        upstreams = tuple(crash.upstream for crash in crashes)
        self._changes.append(
            PartChange(key, part_records.choose_state(crashes), upstreams)
        )

    def _queue_clearance(self, key: str, now_ms: int) -> None:
        proven_ms = self._proofs.get(key)
        if proven_ms is not None:
            update = hints.Death(key, "", now_ms - proven_ms, True)
            self._queue(update, now_ms)

    def _queue(self, update: hints.Death, now_ms: int) -> None:
        self._updates.append((update, now_ms))
        del self._updates[:-MAX_PARTS]

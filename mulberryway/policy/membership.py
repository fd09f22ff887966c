"""Membership by probes and gossip (SWIM); eventually consistent.

Each VM probes one other VM per period. If it gets no response, it asks three
more VMs to probe the target, and then suspects it. A suspect that does not
refute this in time is considered dead. Updates are piggybacked on the probes.
"""

import functools
import math
import operator
import random

from mulberryway.policy import member

__all__ = ["Membership"]

# Each message carries at most this many updates, so that the bandwidth of a VM
# does not grow with the fleet. With one probe and one response per second it
# stays under 4 KB/s.
MAX_UPDATES_PER_MESSAGE = 8
# Each update is retransmitted about this many times log2 of the fleet size,
# which reaches all VMs with high probability.
RETRANSMIT_FACTOR = 2
INDIRECT_PROBES = 3
# A VM that is delayed by a garbage collection or a slow link must not be
# removed. It has this many periods, and more in a large fleet, to refute the
# suspicion.
SUSPECT_PERIODS = 3
# Dead VMs are kept as tombstones; otherwise late gossip would revive them. The
# time is long because VMs that need slots held by a dead VM need its
# incarnation.
TOMBSTONE_MS = 600_000
SYNC_PERIODS = 5


class Membership:
    """One VM's view of all VMs.

    :param own: this VM's member record
    :param period_ms: time between probes, in ms
    :param seed: seeds the random choice of probe targets
    """

    def __init__(
        self, own: member.Member, period_ms: int, seed: int = 0
    ) -> None:
        self.local = own
        self._period_ms = period_ms
        self._random = random.Random(f"{seed}/{own.name}")
        self._members: dict[str, member.Member] = {own.name: own}
        self._digest = _digest_member(own)
        self._transmissions: dict[str, int] = {own.name: 0}
        self._since_ms: dict[str, int] = {}
        self._round: list[str] = []
        self._synced_ms: int | None = None
        # Nothing expires before this time, in ms; none if it must be computed.
        self._expiry_ms: float | None = None

    def list_members(self) -> list[member.Member]:
        """Return all known VMs, including this one and tombstones."""
        return list(self._members.values())

    def find(self, name: str) -> member.Member | None:
        """Return a VM by name.

        :param name: the VM's name
        :returns: its member record, or none if not known
        """
        return self._members.get(name)

    def digest(self) -> int:
        """Return a digest that is equal on two VMs with the same view."""
        return self._digest

    def apply(self, update: member.Member, now_ms: int) -> bool:
        """Apply an update about a VM.

        :param update: the received update
        :param now_ms: current time in ms
        :returns: whether it changed the view
        """
        if update.name == self.local.name:
            return self._refute(update)
        known = self._members.get(update.name)
        if known is not None and not update.is_newer_than(known):
            return False
        if known is None and update.health is member.MemberStatus.DEAD:
            # An update that marks a VM as dead does not add it. Otherwise
            # tombstones would circulate forever and never be removed.
            return False
        self._put(self._copy_heartbeat(update, known), now_ms)
        return True

    def record_heartbeat(
        self, name: str, streams: int, revision: int, now_ms: int
    ) -> None:
        """Record the state that a VM has just sent of itself.

        :param name: the VM
        :param streams: number of its running requests
        :param revision: revision of its tables
        :param now_ms: current time in ms
        """
        known = self._members.get(name)
        if known is not None:
            known.streams = streams
            known.revision = revision
            known.heard_ms = now_ms

    def mark_suspect(self, name: str, incarnation: int, now_ms: int) -> bool:
        """Suspect a VM that failed both direct and indirect probes.

        :param name: the VM
        :param incarnation: the incarnation that was probed
        :param now_ms: current time in ms
        :returns: whether it is newly suspected
        """
        known = self._members.get(name)
        is_same = known is not None and known.incarnation == incarnation
        if not is_same or known.health is not member.MemberStatus.ALIVE:
            return False
        self._set_health(known, member.MemberStatus.SUSPECT, now_ms)
        return True

    def expire(self, now_ms: int) -> list[member.Member]:
        """Mark overdue suspects as dead, and remove old tombstones.

        :param now_ms: current time in ms
        :returns: the VMs that were newly marked as dead
        """
        if self._expiry_ms is not None and now_ms < self._expiry_ms:
            return []
        dead = []
        for known in list(self._members.values()):
            if now_ms < self._find_expiry_ms(known):
                continue
            if known.health is member.MemberStatus.SUSPECT:
                dead.append(
                    self._set_health(known, member.MemberStatus.DEAD, now_ms)
                )
            else:
                self._remove(known)
        self._expiry_ms = min(
            map(self._find_expiry_ms, self._members.values())
        )
        return dead

    def _find_expiry_ms(self, known: member.Member) -> float:
        """Return when a VM's status changes by time alone, in ms."""
        since_ms = self._since_ms.get(known.name, 0)
        if known.health is member.MemberStatus.SUSPECT:
            size = len(self._members)
            periods = SUSPECT_PERIODS + math.ceil(math.log2(size + 1))
            return since_ms + self._period_ms * periods
        if known.health is member.MemberStatus.DEAD:
            return since_ms + TOMBSTONE_MS
        return math.inf

    def choose_probe_target(self) -> member.Member | None:
        """Return the VM to probe next.

        Every VM is probed once per shuffled round, which bounds the time until
        a crash is detected; plain random choice has no bound. Suspects are
        probed as well, so that they can refute the suspicion. A partitioned VM
        considers all others dead and has none to probe.

        :returns: a VM that is not dead, or none
        """
        while True:
            if not self._round:
                self._round = [
                    vm.name
                    for vm in self._list_others()
                    if vm.health is not member.MemberStatus.DEAD
                ]
                self._random.shuffle(self._round)
                if not self._round:
                    return None
            known = self._members.get(self._round.pop())
            if (
                known is not None
                and known.health is not member.MemberStatus.DEAD
            ):
                return known

    def sample_alive(
        self, count: int, besides: str = ""
    ) -> list[member.Member]:
        """Return random VMs that are considered alive.

        :param count: maximum number of VMs
        :param besides: the name of a VM to exclude
        :returns: the VMs
        """
        alive = [
            vm
            for vm in self._list_others()
            if vm.health is member.MemberStatus.ALIVE and vm.name != besides
        ]
        return self._random.sample(alive, min(count, len(alive)))

    def sample_dead(self) -> member.Member | None:
        """Return a random dead VM, to check whether it is reachable again.

        After a network partition of several minutes between two regions, each
        region considers the other's VMs dead, and would otherwise never probe
        them again.
        """
        members = self._list_others()
        dead = [vm for vm in members if vm.health is member.MemberStatus.DEAD]
        return self._random.choice(dead) if dead else None

    def select_updates(self) -> list[member.Member]:
        """Return the updates to piggyback on the next message.

        :returns: a few updates, the least often sent first
        """
        limit = self.compute_retransmit_limit()
        waiting = sorted(
            self._transmissions, key=lambda name: self._transmissions[name]
        )
        chosen = waiting[:MAX_UPDATES_PER_MESSAGE]
        for name in chosen:
            self._transmissions[name] += 1
        for name in [n for n in chosen if self._transmissions[n] >= limit]:
            del self._transmissions[name]
        return [self._members[name] for name in chosen]

    def compute_retransmit_limit(self) -> int:
        """Return how often a VM transmits an update."""
        return RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._members) + 1))

    def needs_sync(self, digest: int, now_ms: int) -> bool:
        """Return whether to fetch another VM's full view.

        Gossip alone may miss a VM. Views differ briefly after each change, so
        a full view is fetched only after a pause since the last one.

        :param digest: the other VM's digest
        :param now_ms: current time in ms
        :returns: whether to fetch; if so, the pause starts again
        """
        if digest == self._digest:
            return False
        pause_ms = self._period_ms * SYNC_PERIODS
        # With n VMs a full view has n entries. The pause grows with the fleet,
        # so the bandwidth stays constant.
        pause_ms *= max(len(self._members) // 32, 1)
        if self._synced_ms is not None:
            if now_ms - self._synced_ms < pause_ms:
                return False
        self._synced_ms = now_ms
        return True

    def update_local(
        self,
        is_stopping: bool | None = None,
        holdings: bytes | None = None,
        is_starting: bool | None = None,
    ) -> None:
        """Change what this VM announces of itself.

        :param is_stopping: whether it accepts no new callers
        :param holdings: its part of the fleet's shared state, encoded
        :param is_starting: whether it cannot serve callers yet
        """
        if is_starting is not None:
            self.local.is_starting = is_starting
        if is_stopping is not None:
            self.local.is_stopping = is_stopping
        if holdings is not None:
            self.local.holdings = holdings
        self._announce(self.local.version + 1)

    def _refute(self, update: member.Member) -> bool:
        """Refute a wrong update about this VM."""
        if update.incarnation > self.local.incarnation:
            # The clock of an earlier incarnation was ahead. Without a larger
            # number, other VMs would mistake this incarnation for an outdated
            # one forever.
            self.local.incarnation = update.incarnation + 1
            self._announce(0)
            return True
        is_old = update.incarnation < self.local.incarnation
        if is_old or update.health is member.MemberStatus.ALIVE:
            return False
        self._announce(max(update.version, self.local.version) + 1)
        return True

    def _announce(self, version: int) -> None:
        # The digest covers this VM's own record, so every change updates it.
        self.local.version = version
        self._digest = functools.reduce(
            operator.xor, map(_digest_member, self._members.values())
        )
        self._transmissions[self.local.name] = 0

    def _put(self, update: member.Member, now_ms: int) -> None:
        known = self._members.get(update.name)
        if known is None:
            # A new VM is probed within the current round.
            index = self._random.randint(0, len(self._round))
            self._round.insert(index, update.name)
        else:
            self._digest ^= _digest_member(known)
        self._members[update.name] = update
        self._expiry_ms = None
        self._digest ^= _digest_member(update)
        self._since_ms[update.name] = now_ms
        self._transmissions[update.name] = 0

    def _copy_heartbeat(
        self, update: member.Member, known: member.Member | None
    ) -> member.Member:
        if known is not None and known.incarnation == update.incarnation:
            update.streams = known.streams
            update.revision = known.revision
            update.heard_ms = known.heard_ms
        return update

    def _set_health(
        self, known: member.Member, health: member.MemberStatus, now_ms: int
    ) -> member.Member:
        changed = known.copy()
        changed.health = health
        self._put(changed, now_ms)
        return changed

    def _remove(self, known: member.Member) -> None:
        del self._members[known.name]
        self._expiry_ms = None
        self._since_ms.pop(known.name, None)
        self._transmissions.pop(known.name, None)

    def _list_others(self) -> list[member.Member]:
        members = self._members.values()
        return [vm for vm in members if vm is not self.local]


def _digest_member(known: member.Member) -> int:
    # Tombstones are removed at different times on each VM, which must not make
    # the digests differ.
    return 0 if known.health is member.MemberStatus.DEAD else known.digest()

"""Keeps this VM's view of all VMs up to date; hints, no promises."""

import collections
import collections.abc
import random

from mulberryway import clock
from mulberryway.controllers import base
from mulberryway.controllers import membership_exchange
from mulberryway.objects import base as platform
from mulberryway.peers import client
from mulberryway.peers.gen.membership import Membership as service
from mulberryway.policy import broadcast_queue
from mulberryway.policy import endpoints
from mulberryway.policy import member
from mulberryway.policy import membership

__all__ = ["MembershipController", "choose_incarnation"]

# A new piece of urgent news goes to this many VMs at once, and each of them
# does the same: with 410 VMs everybody has it after about five hops.
FAN_OUT = 3
# A flood of news must not turn into a flood of messages: what comes within
# this pause goes out with the next regular probe at the latest.
URGENT_MIN_INTERVAL_MS = 50
# All VMs together read the platform's list this often; each of n reads it
# every n times this, so the platform's load does not grow with the fleet.
LIST_INTERVAL_MS = 10_000
# A VM that knows nobody has nothing else to go by.
ISOLATED_LIST_INTERVAL_MS = 5_000
DEAD_PROBE_PERIODS = 10


def choose_incarnation(
    name: str,
    seeds: collections.abc.Iterable[str],
    peers: client.PeerClient,
    clock_: clock.Clock,
) -> int:
    """Return a number that is greater than those of a VM's earlier lives.

    A VM keeps nothing, so its wall clock counts its lives.  Should the clock
    have gone back, others would take the new life for an old one, believe
    its requests to be those of a dead owner, and cancel them at the engines.
    So those that may know an earlier life are asked before anything begins.

    :param name: the VM's name
    :param seeds: addresses ``host:port`` of peers
    :param peers: calls other VMs
    :param clock_: where the time comes from
    :returns: the incarnation
    """
    answers = (
        peers.call(seed, service.Client, "list_all", is_idempotent=True)
        for seed in seeds
    )
    known = [
        one.incarnation
        for answer in answers
        if answer.is_ok()
        for one in answer.ok
        if one.name == name
    ]
    return max([clock_.wall_ms(), *(number + 1 for number in known)])


class MembershipController(base.Controller, endpoints.EndpointDirectory):
    """Probes other VMs, answers their probes, and spreads hints.

    :param own: this VM
    :param seeds: addresses ``host:port`` of peers to begin with
    :param peers: calls other VMs
    :param store: the platform, for its list of VMs; none to do without
    :param clock_: where the time comes from
    :param period_ms: the time between probes
    """

    def __init__(
        self,
        own: member.Member,
        seeds: tuple[str, ...],
        peers: client.PeerClient,
        store: platform.ObjectStore | None,
        clock_: clock.Clock,
        period_ms: int,
    ) -> None:
        super().__init__("membership", clock_, period_ms)
        self._random = random.Random(f"{own.name}/{own.incarnation}")
        self._view = membership.Membership(
            own, period_ms, self._random.getrandbits(32)
        )
        self.exchange = membership_exchange.MembershipExchange(
            self._view, peers, clock_, self._hurry
        )
        self._lock = self.exchange.lock
        self._seeds = collections.deque(seeds)
        self._store = store
        self._urgent_ms = 0
        self._is_urgent = False
        self._steps = 0
        self._next_list_ms = 0
        self._alive: tuple[str, ...] = ()
        self._alive_digest: int | None = None

    @property
    def own(self) -> member.Member:
        """This VM, as it tells of itself."""
        return self._view.own

    def list_members(self) -> list[member.Member]:
        """Return copies of all known VMs, this one and dead ones included."""
        with self._lock:
            self._expire()
            return [one.copy() for one in self._view.list_members()]

    def count_members(self) -> int:
        """Return how many VMs are known, dead ones included.

        A VM that is cut off takes all others for dead although they live.
        """
        with self._lock:
            return len(self._view.list_members())

    def list_alive(self) -> tuple[str, ...]:
        """Return the names of all VMs that are not thought to be dead.

        :returns: sorted names; the same object until the view changes, so
            that whoever derives something from it can keep that
        """
        with self._lock:
            self._expire()
            digest = self._view.digest()
            if digest != self._alive_digest:
                self._alive_digest = digest
                self._alive = tuple(
                    sorted(
                        one.name
                        for one in self._view.list_members()
                        if one.health is not member.MemberStatus.DEAD
                    )
                )
            return self._alive

    def list_addresses(self, caller_zone: str) -> list[endpoints.Endpoint]:
        """Return addresses in the order in which a caller should try them.

        :param caller_zone: the caller's zone; empty if not known
        :returns: a few addresses; never empty
        """
        with self._lock:
            self._expire()
            now_ms = self.clock.now_ms()
            self._view.record_heartbeat(
                self.own.name,
                self.exchange.streams,
                self.exchange.revision,
                now_ms,
            )
            return endpoints.choose_endpoints(
                self._view.list_members(), caller_zone, self._random, now_ms
            )

    def set_streams(self, streams: int) -> None:
        """Tell how many requests run here, for other VMs' entry answers.

        :param streams: running requests
        """
        self.exchange.streams = streams

    def announce_revision(self, revision: int) -> None:
        """Tell which tables this VM has; a newer one is told to others.

        :param revision: the root's revision
        """
        with self._lock:
            is_newer = revision > self.exchange.revision
            self.exchange.revision = max(revision, self.exchange.revision)
        if is_newer:
            self._hurry()

    def subscribe_newer_tables(
        self, on_newer: membership_exchange.OnNewerTables
    ) -> None:
        """Call a function when a VM is heard of that has newer tables.

        :param on_newer: gets the VM, on a thread of the peers' server or of
            this controller; must return quickly
        """
        self.exchange.on_newer.append(on_newer)

    def update_local(
        self,
        is_stopping: bool | None = None,
        holdings: bytes | None = None,
        is_starting: bool | None = None,
    ) -> None:
        """Change what this VM tells of itself, and tell it at once.

        :param is_stopping: whether it wants no new callers
        :param holdings: what it holds of the fleet's state
        :param is_starting: whether it cannot serve callers yet
        """
        with self._lock:
            self._view.update_local(is_stopping, holdings, is_starting)
        self._hurry()

    def publish(
        self, kind: str, key: str, payload: bytes, ttl_ms: int
    ) -> None:
        """Tell all VMs something small, for a while.

        :param kind: who it is for
        :param key: what it is about; replaces an older note
        :param payload: at most 512 bytes
        :param ttl_ms: how long it matters, in milliseconds
        """
        now_ms = self.clock.now_ms()
        hint = broadcast_queue.Hint(
            kind, key, payload, self.clock.wall_ms(), now_ms + ttl_ms
        )
        with self._lock:
            is_new = self.exchange.board.add(hint, now_ms)
        if is_new:
            self._hurry()

    def subscribe(
        self, kind: str, on_hint: membership_exchange.OnHint
    ) -> None:
        """Call a function for each new note of a kind from other VMs.

        :param kind: the kind
        :param on_hint: gets the note; must return quickly
        """
        self.exchange.on_hint.setdefault(kind, []).append(on_hint)

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take over other addresses to begin with.

        :param seeds: addresses ``host:port`` of peers
        """
        self._seeds = collections.deque(seeds)

    def step(self) -> None:
        """Probe one VM, and more when there is urgent news."""
        self._steps += 1
        with self._lock:
            is_urgent, self._is_urgent = self._is_urgent, False
            target = self._view.choose_probe_target()
            others = self._view.sample_alive(FAN_OUT if is_urgent else 0)
        for one in others:
            self.exchange.probe_peer(one.peer, one.name)
        if target is None:
            self._join()
        else:
            self._check(target)
        self._probe_dead()
        with self._lock:
            self._expire()
        self._read_list()

    def _expire(self) -> None:
        """Take over what is due by time; with the lock held.

        Probes and the store's list may take seconds, so readers do not wait
        for the end of a step.
        """
        self._view.expire(self.clock.now_ms())

    def _hurry(self) -> None:
        self._is_urgent = True
        now_ms = self.clock.now_ms()
        if now_ms - self._urgent_ms >= URGENT_MIN_INTERVAL_MS:
            self._urgent_ms = now_ms
            self.wake()

    def _join(self) -> None:
        if self._seeds:
            self._seeds.rotate(-1)
            self.exchange.probe_peer(self._seeds[0], "")

    def _check(self, target: member.Member) -> None:
        if self.exchange.probe_peer(target.peer, target.name):
            return
        with self._lock:
            helpers = self._view.sample_alive(
                membership.INDIRECT_PROBES, target.name
            )
        answers = (
            self.exchange.call(one.peer, "probe_for", target.peer, target.name)
            for one in helpers
        )
        if any(answer.is_ok() and answer.ok for answer in answers):
            return
        with self._lock:
            self._view.note_silent(
                target.name, target.incarnation, self.clock.now_ms()
            )

    def _probe_dead(self) -> None:
        if self._steps % DEAD_PROBE_PERIODS:
            return
        with self._lock:
            dead = self._view.sample_dead()
        if dead is not None:
            self.exchange.probe_peer(dead.peer, dead.name)
        elif self._seeds:
            self._join()

    def _read_list(self) -> None:
        now_ms = self.clock.now_ms()
        if self._store is None or now_ms < self._next_list_ms:
            return
        with self._lock:
            count = len(self._view.list_members())
        pause_ms = (
            ISOLATED_LIST_INTERVAL_MS
            if count == 1
            else LIST_INTERVAL_MS * count
        )
        # Spread, else VMs that started together would read together.
        spread_ms = self._random.randint(pause_ms // 2, pause_ms * 3 // 2)
        self._next_list_ms = now_ms + spread_ms
        listed = self._store.list_vms("membership")
        if listed.is_ok():
            self._meet(listed.ok)

    def _meet(self, listed: list[platform.ListedVm]) -> None:
        with self._lock:
            unknown = [vm for vm in listed if self._view.find(vm.name) is None]
        # Meeting a few is enough: they know the rest.
        chosen = self._random.sample(unknown, min(len(unknown), FAN_OUT))
        for vm in chosen:
            has_port = ":" in vm.address
            port = "" if has_port else f":{self.own.peer_port}"
            self.exchange.probe_peer(vm.address + port, "")

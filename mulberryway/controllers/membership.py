"""Keeps this VM's view of all VMs up to date; eventually consistent."""

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

# An urgent update goes to this many VMs immediately, and each of them does the
# same: with 410 VMs it reaches all of them after about five hops.
FAN_OUT = 3
# Minimum time between two urgent steps, so that many updates do not cause as
# many messages.  Updates within this time are sent with the next regular probe
# at the latest.
URGENT_MIN_INTERVAL_MS = 50
# Interval at which the fleet as a whole reads the platform's VM list.  Each of
# n VMs reads it every n intervals, so the platform's load does not grow with
# the fleet.
LIST_INTERVAL_MS = 10_000
# A VM without any known peer can find other VMs only through the list.
ISOLATED_LIST_INTERVAL_MS = 5_000
DEAD_PROBE_PERIODS = 10


def choose_incarnation(
    name: str,
    seeds: collections.abc.Iterable[str],
    peers: client.PeerClient,
    clock_: clock.Clock,
) -> int:
    """Return an incarnation greater than those of a VM's previous ones.

    A VM stores nothing between runs, so its incarnation is its wall clock.
    If the clock was set back, other VMs would treat the new incarnation as
    an old one, consider its requests orphaned and cancel them at the
    engines.  Therefore the seeds are asked for previous incarnations first.

    :param name: the VM's name
    :param seeds: addresses ``host:port`` of peers
    :param peers: calls other VMs
    :param clock_: the clock
    :returns: the incarnation
    """
    answers = (
        peers.call(seed, service.Client, "list_all", is_idempotent=True)
        for seed in seeds
    )
    known = [
        entry.incarnation
        for answer in answers
        if answer.is_ok()
        for entry in answer.ok
        if entry.name == name
    ]
    return max([clock_.wall_ms(), *(number + 1 for number in known)])


class MembershipController(base.Controller, endpoints.EndpointDirectory):
    """Probes other VMs, answers their probes and gossips updates.

    :param own: this VM
    :param seeds: addresses ``host:port`` of the first peers to contact
    :param peers: calls other VMs
    :param store: the platform's store, for its list of VMs; None to use
        only the seeds
    :param clock_: the clock
    :param period_ms: the time between probes, in milliseconds
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
            self._view, peers, clock_, self._request_urgent_step
        )
        self._lock = self.exchange.lock
        self._seeds = collections.deque(seeds)
        self._store = store
        self._last_urgent_ms = 0
        self._is_urgent = False
        self._steps = 0
        self._next_list_ms = 0
        self._alive: tuple[str, ...] = ()
        self._alive_digest: int | None = None

    @property
    def own(self) -> member.Member:
        """This VM's own entry, as it is gossiped."""
        return self._view.local

    def list_members(self) -> list[member.Member]:
        """Return copies of all known VMs, including this one and dead ones."""
        with self._lock:
            self._expire()
            return [entry.copy() for entry in self._view.list_members()]

    def count_members(self) -> int:
        """Return the number of known VMs, including dead ones.

        A partitioned VM considers all others dead although they are alive.
        """
        with self._lock:
            return len(self._view.list_members())

    def list_alive(self) -> tuple[str, ...]:
        """Return the names of all VMs that are not considered dead.

        :returns: sorted names; the same object until the view changes, so
            that callers can cache values derived from it
        """
        with self._lock:
            self._expire()
            digest = self._view.digest()
            if digest != self._alive_digest:
                self._alive_digest = digest
                self._alive = tuple(
                    sorted(
                        entry.name
                        for entry in self._view.list_members()
                        if entry.health is not member.MemberStatus.DEAD
                    )
                )
            return self._alive

    def list_addresses(self, caller_zone: str) -> list[endpoints.Endpoint]:
        """Return addresses in the order in which a caller should try them.

        :param caller_zone: the caller's zone; empty if unknown
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
        """Set the number of running requests, for VMs' discovery responses.

        :param streams: the number of requests running on this VM
        """
        self.exchange.streams = streams

    def announce_revision(self, revision: int) -> None:
        """Announce the revision of this VM's tables to the other VMs.

        :param revision: the root's revision
        """
        with self._lock:
            is_newer = revision > self.exchange.revision
            self.exchange.revision = max(revision, self.exchange.revision)
        if is_newer:
            self._request_urgent_step()

    def subscribe_newer_tables(
        self, on_newer: membership_exchange.OnNewerTables
    ) -> None:
        """Call a function when another VM announces newer tables.

        :param on_newer: called with the VM, on a thread of the peer server
            or of this controller; must return quickly
        """
        self.exchange.on_newer.append(on_newer)

    def update_local(
        self,
        is_stopping: bool | None = None,
        holdings: bytes | None = None,
        is_starting: bool | None = None,
    ) -> None:
        """Update this VM's own entry and gossip it immediately.

        :param is_stopping: whether the VM accepts no new callers
        :param holdings: encoded summary of the fleet state that it holds
        :param is_starting: whether it cannot serve callers yet
        """
        with self._lock:
            self._view.update_local(is_stopping, holdings, is_starting)
        self._request_urgent_step()

    def publish(
        self, kind: str, key: str, payload: bytes, ttl_ms: int
    ) -> None:
        """Gossip a small message to all VMs until it expires.

        :param kind: the message's kind, to which receivers subscribe
        :param key: identifies the subject; replaces an older message with
            the same key
        :param payload: the contents, at most 512 bytes
        :param ttl_ms: the time to live, in milliseconds
        """
        now_ms = self.clock.now_ms()
        hint = broadcast_queue.Hint(
            kind, key, payload, self.clock.wall_ms(), now_ms + ttl_ms
        )
        with self._lock:
            is_new = self.exchange.board.add(hint, now_ms)
        if is_new:
            self._request_urgent_step()

    def subscribe(
        self, kind: str, on_hint: membership_exchange.OnHint
    ) -> None:
        """Call a function for each new message of a kind from other VMs.

        :param kind: the kind
        :param on_hint: called with the message; must return quickly
        """
        self.exchange.on_hint.setdefault(kind, []).append(on_hint)

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds.

        :param seeds: addresses ``host:port`` of peers
        """
        self._seeds = collections.deque(seeds)

    def step(self) -> None:
        """Probe one VM, or more if an urgent update is pending."""
        self._steps += 1
        with self._lock:
            is_urgent, self._is_urgent = self._is_urgent, False
            target = self._view.choose_probe_target()
            others = self._view.sample_alive(FAN_OUT if is_urgent else 0)
        for entry in others:
            self.exchange.probe_peer(entry.peer, entry.name)
        if target is None:
            self._probe_seed()
        else:
            self._probe_target(target)
        self._probe_dead()
        with self._lock:
            self._expire()
        self._fetch_vm_list()

    def _expire(self) -> None:
        """Apply timeouts to the view; the lock must be held.

        Probes and the store's list may take seconds, so readers apply them
        too and do not depend on the end of a step.
        """
        self._view.expire(self.clock.now_ms())

    def _request_urgent_step(self) -> None:
        self._is_urgent = True
        now_ms = self.clock.now_ms()
        if now_ms - self._last_urgent_ms >= URGENT_MIN_INTERVAL_MS:
            self._last_urgent_ms = now_ms
            self.wake()

    def _probe_seed(self) -> None:
        if self._seeds:
            self._seeds.rotate(-1)
            self.exchange.probe_peer(self._seeds[0], "")

    def _probe_target(self, target: member.Member) -> None:
        if self.exchange.probe_peer(target.peer, target.name):
            return
        with self._lock:
            helpers = self._view.sample_alive(
                membership.INDIRECT_PROBES, target.name
            )
        answers = (
            self.exchange.call(
                entry.peer, "probe_for", target.peer, target.name
            )
            for entry in helpers
        )
        if any(answer.is_ok() and answer.ok for answer in answers):
            return
        with self._lock:
            self._view.mark_suspect(
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
            self._probe_seed()

    def _fetch_vm_list(self) -> None:
        now_ms = self.clock.now_ms()
        if self._store is None or now_ms < self._next_list_ms:
            return
        with self._lock:
            count = len(self._view.list_members())
        interval_ms = (
            ISOLATED_LIST_INTERVAL_MS
            if count == 1
            else LIST_INTERVAL_MS * count
        )
        # The jitter keeps VMs that started together from reading together.
        delay_ms = self._random.randint(interval_ms // 2, interval_ms * 3 // 2)
        self._next_list_ms = now_ms + delay_ms
        listed = self._store.list_vms("membership")
        if listed.is_ok():
            self._contact_unknown(listed.ok)

    def _contact_unknown(self, listed: list[platform.ListedVm]) -> None:
        with self._lock:
            unknown = [vm for vm in listed if self._view.find(vm.name) is None]
        # A few are enough, because their replies list the others.
        chosen = self._random.sample(unknown, min(len(unknown), FAN_OUT))
        for vm in chosen:
            has_port = ":" in vm.address
            port = "" if has_port else f":{self.own.peer_port}"
            self.exchange.probe_peer(vm.address + port, "")

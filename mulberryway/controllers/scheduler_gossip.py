"""Gossips scheduler state among the routers that share upstreams."""

import collections.abc

from mulberryway import clock
from mulberryway import tables
from mulberryway.controllers import base
from mulberryway.controllers import dissemination
from mulberryway.controllers import membership
from mulberryway.controllers import scheduling
from mulberryway.peers import gossip_messages
from mulberryway.policy import broadcast_queue
from mulberryway.policy import forwarders
from mulberryway.policy import hints
from mulberryway.policy import member
from mulberryway.policy import poison
from mulberryway.policy import pool_subsets
from mulberryway.policy import server_loads
from mulberryway.policy import stream_versions
from mulberryway.policy import usage as usages

__all__ = ["SchedulerGossipController"]

# The scheduler itself limits its gossip messages to this interval.
PERIOD_MS = 20
# An idle router checks for pending messages less often, because each check
# costs processor time.
IDLE_MS = 200
BUSY_HOLD_MS = 500
# Assigning subsets of 4,800 engines to 410 VMs takes some 70 ms, five times
# the processor time that control may use in a second.  It is done only when
# the engines or the VMs have changed.
MEMBERSHIP_CHECK_MS = 1_000
DEATH = "death"


class SchedulerGossipController(base.Controller):
    """Sends this router's gossip to its peer group and applies the group's.

    The peer group consists of the routers that share upstreams with this one.
    A crash while serving a request is also gossiped to all VMs, because the
    caller may retry the request at any of them.

    :param scheduling_: the scheduler whose state is gossiped
    :param members: lists the VMs
    :param source: the active tables
    :param dissemination_: sends messages to the other VMs
    :param clock_: the clock
    """

    def __init__(
        self,
        scheduling_: scheduling.SchedulingController,
        members: membership.MembershipController,
        source: tables.TableSource,
        dissemination_: dissemination.DisseminationController,
        clock_: clock.Clock,
    ) -> None:
        super().__init__("notes", clock_, PERIOD_MS)
        self.subsets: tuple[pool_subsets.PoolSubset, ...] = ()
        self._dissemination = dissemination_
        self._other_vms: frozenset[str] = frozenset()
        self._vms: tuple[str, ...] = ()
        self._known_vms: frozenset[str] = frozenset()
        self._scheduling = scheduling_
        self._members = members
        self._source = source
        self._next_check_ms = 0
        self._subsets_state: tuple[int, tuple[str, ...]] | None = None
        self._changed_ms = 0
        self._is_idle = False
        # Called with each VM's usage counts and the address of its peer
        # server; must return quickly.
        self.on_usage: collections.abc.Callable[[usages.Usage, str], None] = (
            lambda usage, address: None
        )
        # Called with each VM's report on its paths; must return quickly.
        self.on_paths: collections.abc.Callable[
            [forwarders.PathReport], None
        ] = lambda report: None
        # Called with the VMs considered alive; must return quickly.
        self.on_members: collections.abc.Callable[
            [list[member.Member]], None
        ] = lambda alive: None
        # Called every second with the names of all VMs that this VM has heard
        # of, including dead ones; must return quickly.
        self.on_known_vms: collections.abc.Callable[[frozenset[str]], None] = (
            lambda vms: None
        )
        # Called every second with the names of the VMs considered alive; must
        # return quickly.
        self.on_alive_vms: collections.abc.Callable[
            [tuple[str, ...]], None
        ] = lambda vms: None
        # Called with each VM's calls to plain servers; must return quickly.
        self.on_server_loads: collections.abc.Callable[
            [server_loads.ServerLoadReport], None
        ] = lambda report: None
        # Called with the versions that began streams; must return quickly.
        self.on_streams: collections.abc.Callable[
            [list[stream_versions.StreamVersion]], None
        ] = lambda records: None
        scheduling_.on_change = self._handle_change
        dissemination_.on_items = self.take
        members.subscribe(DEATH, self._apply_crash)

    def step(self) -> None:
        """Send a gossip message if one is due."""
        now_ms = self.clock.now_ms()
        self._is_idle = now_ms - self._changed_ms > BUSY_HOLD_MS
        self.period_ms = IDLE_MS if self._is_idle else PERIOD_MS
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + MEMBERSHIP_CHECK_MS
            self._check_membership()
        note = self._scheduling.drain_hints()
        if note is None:
            return
        payload = gossip_messages.encode_note(note)
        peers = self._list_peers()
        if peers >= self._other_vms:
            self._dissemination.publish(payload, not note.is_heartbeat)
        else:
            self.send(payload, peers)
        for crash in note.deaths:
            if not crash.is_repeated:
                self._publish_crash(crash)

    def send(self, payload: bytes, vms: collections.abc.Iterable[str]) -> None:
        """Send a payload to some VMs.

        :param payload: a datagram's payload
        :param vms: names of VMs; unknown ones are skipped
        """
        self._dissemination.send(payload, vms)

    def take(self, items: list[bytes]) -> None:
        """Apply gossip messages from other routers.

        :param items: encoded notes, usage counts, engine reports and streams
        """
        received = [gossip_messages.decode_datagram(item) for item in items]
        notes = [entry.note for entry in received if entry.note is not None]
        if notes:
            self._scheduling.apply_hints(notes)
        for entry in received:
            if entry.usage is not None:
                address = self._dissemination.find_address(entry.usage.vm)
                self.on_usage(entry.usage, address)
            if entry.paths is not None:
                self.on_paths(entry.paths)
            if entry.server_loads is not None:
                self.on_server_loads(entry.server_loads)
            if entry.streams:
                self.on_streams(entry.streams)
            for news in entry.news:
                self._apply_report(news)

    def _apply_report(self, news: gossip_messages.EngineReport) -> None:
        self._scheduling.record_load(news.pool, news.upstream, news.load)
        self._scheduling.record_cache_events(
            news.pool, news.upstream, news.events
        )

    def _handle_change(self) -> None:
        # Until the message arrives, other routers consider the slot free.
        self._changed_ms = self.clock.now_ms()
        self.wake()

    def _check_membership(self) -> None:
        # Other VMs' discovery responses use this number.
        self._members.set_streams(self._scheduling.started)
        vms = self._members.list_alive()
        if vms != self._vms:
            self._vms = vms
            self._update_members()
        self.on_known_vms(self._known_vms)
        self.on_alive_vms(vms)
        active = self._source.get_tables()
        state = (active.revision if active else 0, vms)
        if active is not None and state != self._subsets_state:
            self._subsets_state = state
            self._scheduling.update_vms(vms)
            self.subsets = tuple(
                pool_subsets.find_pool_subset(
                    pool, self._members.own.name, vms
                )
                for pool in active.pools.values()
                if pool.kind is tables.PoolKind.MODEL
            )
            self._scheduling.update_peers(len(self._list_peers()))

    def _update_members(self) -> None:
        known = self._members.list_members()
        self._known_vms = frozenset(entry.name for entry in known)
        alive = [
            entry
            for entry in known
            if entry.health is not member.MemberStatus.DEAD
        ]
        self._dissemination.update_members(alive)
        self.on_members(alive)
        self._other_vms = frozenset(entry.name for entry in alive) - {
            self._members.own.name
        }

    def _list_peers(self) -> set[str]:
        return {name for subset in self.subsets for name in subset.peers}

    def _publish_crash(self, crash: hints.Death) -> None:
        self._members.publish(
            DEATH,
            f"{crash.digest}/{crash.upstream}",
            gossip_messages.encode_death(crash),
            poison.QUARANTINE_MS,
        )

    def _apply_crash(self, hint: broadcast_queue.Hint) -> None:
        crash = gossip_messages.decode_death(hint.payload)
        # The message may have been forwarded by several VMs for a while.
        left_ms = max(hint.until_ms - self.clock.now_ms(), 0)
        crash.age_ms += max(poison.QUARANTINE_MS - left_ms, 0)
        self._scheduling.record_crashes([crash])

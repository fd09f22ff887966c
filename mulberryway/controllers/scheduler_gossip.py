"""Exchanges hints with the routers that share upstreams with this one."""

import collections.abc

from mulberryway import clock
from mulberryway import tables
from mulberryway.controllers import base
from mulberryway.controllers import dissemination
from mulberryway.controllers import membership
from mulberryway.controllers import scheduling
from mulberryway.peers import gossip_messages
from mulberryway.policy import broadcast_queue
from mulberryway.policy import hints
from mulberryway.policy import member
from mulberryway.policy import poison
from mulberryway.policy import pool_subsets
from mulberryway.policy import usage as usages

__all__ = ["SchedulerGossipController"]

# The scheduler itself keeps notes this far apart.
PERIOD_MS = 20
# A router at rest looks for news less often, as each look costs processor
# time.
IDLE_MS = 200
BUSY_HOLD_MS = 500
# Dividing 4,800 engines among 410 VMs takes some 70 ms, five times what
# control may take in a second, so it is done only when either has changed.
MEMBERSHIP_CHECK_MS = 1_000
DEATH = "death"


class SchedulerGossipController(base.Controller):
    """Sends this router's notes to its cell, and takes in the cell's.

    Notes go only to routers that share upstreams.  A death under a request
    goes to all VMs besides, since its caller may repeat it anywhere.

    :param scheduling_: whose notes these are
    :param members: the VMs
    :param source: the tables in force
    :param dissemination_: brings them to the other VMs
    :param clock_: where the time comes from
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
        self.shares: tuple[pool_subsets.PoolSubset, ...] = ()
        self._dissemination = dissemination_
        self._others: frozenset[str] = frozenset()
        self._vms: tuple[str, ...] = ()
        self._scheduling = scheduling_
        self._members = members
        self._source = source
        self._look_ms = 0
        self._divided: tuple[int, tuple[str, ...]] | None = None
        self._changed_ms = 0
        self._is_idle = False
        # Gets each VM's counts with the address of its peers' port; must
        # return quickly.
        self.on_usage: collections.abc.Callable[[usages.Usage, str], None] = (
            lambda usage, address: None
        )
        scheduling_.on_change = self._note_change
        dissemination_.on_items = self.take
        members.subscribe(DEATH, self._take_death)

    def step(self) -> None:
        """Send a note if one is due."""
        now_ms = self.clock.now_ms()
        self._is_idle = now_ms - self._changed_ms > BUSY_HOLD_MS
        self.period_ms = IDLE_MS if self._is_idle else PERIOD_MS
        if now_ms >= self._look_ms:
            self._look_ms = now_ms + MEMBERSHIP_CHECK_MS
            self._look()
        note = self._scheduling.drain_hints()
        if note is None:
            return
        payload = gossip_messages.encode_note(note)
        peers = self._list_peers()
        if peers >= self._others:
            self._dissemination.publish(payload, not note.is_heartbeat)
        else:
            self.send(payload, peers)
        for death in note.deaths:
            self._publish(death)

    def send(self, payload: bytes, vms: collections.abc.Iterable[str]) -> None:
        """Send a payload to some VMs.

        :param payload: a datagram's payload
        :param vms: names of VMs; unknown ones are passed over
        """
        self._dissemination.send(payload, vms)

    def take(self, items: list[bytes]) -> None:
        """Take in what other routers sent.

        :param items: encoded notes, counts and reports
        """
        received = [gossip_messages.decode_datagram(item) for item in items]
        notes = [one.note for one in received if one.note is not None]
        if notes:
            self._scheduling.apply_hints(notes)
        for one in received:
            if one.usage is not None:
                address = self._dissemination.find_address(one.usage.vm)
                self.on_usage(one.usage, address)
            for news in one.news:
                self._take_news(news)

    def _take_news(self, news: gossip_messages.EngineReport) -> None:
        self._scheduling.record_load(news.pool, news.upstream, news.load)
        self._scheduling.record_cache_events(
            news.pool, news.upstream, news.events
        )

    def _note_change(self) -> None:
        # Until the note comes, others take the same slot as free.
        self._changed_ms = self.clock.now_ms()
        self.wake()

    def _look(self) -> None:
        # Other VMs' entry answers go by it.
        self._members.set_streams(self._scheduling.started)
        vms = self._members.list_alive()
        if vms != self._vms:
            self._vms = vms
            self._change_members()
        found = self._source.read_tables()
        state = (found.revision if found else 0, vms)
        if found is not None and state != self._divided:
            self._divided = state
            self._scheduling.change_vms(vms)
            self.shares = tuple(
                pool_subsets.find_pool_subset(
                    pool, self._members.own.name, vms
                )
                for pool in found.pools.values()
                if pool.kind is tables.PoolKind.MODEL
            )

    def _change_members(self) -> None:
        alive = [
            one
            for one in self._members.list_members()
            if one.health is not member.MemberStatus.DEAD
        ]
        self._dissemination.update_members(alive)
        self._others = frozenset(one.name for one in alive) - {
            self._members.own.name
        }

    def _list_peers(self) -> set[str]:
        return {name for share in self.shares for name in share.peers}

    def _publish(self, death: hints.Death) -> None:
        self._members.publish(
            DEATH,
            f"{death.digest}/{death.upstream}",
            gossip_messages.encode_death(death),
            poison.QUARANTINE_MS,
        )

    def _take_death(self, hint: broadcast_queue.Hint) -> None:
        death = gossip_messages.decode_death(hint.payload)
        # The hint may have gone from VM to VM for a while.
        left_ms = max(hint.until_ms - self.clock.now_ms(), 0)
        death.age_ms = max(poison.QUARANTINE_MS - left_ms, 0)
        self._scheduling.record_crashes([death])

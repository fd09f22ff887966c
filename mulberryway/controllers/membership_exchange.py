"""Exchanges membership gossip with probes and their answers; best effort."""

import collections.abc
import threading
import typing

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.peers import client
from mulberryway.peers import membership_messages
from mulberryway.peers.gen.membership import Membership as service
from mulberryway.peers.gen.membership import ttypes
from mulberryway.policy import broadcast_queue
from mulberryway.policy import member
from mulberryway.policy import membership

__all__ = ["MembershipExchange", "OnHint", "OnNewerTables"]

OnHint = collections.abc.Callable[[broadcast_queue.Hint], None]
OnNewerTables = collections.abc.Callable[[member.Member], None]


class MembershipExchange(service.Iface):
    """Sends and answers probes, and applies the gossip in them.

    :param view: this VM's view of all VMs
    :param peers: calls other VMs
    :param clock_: the clock
    :param on_urgent: called when a received message must be forwarded
        immediately
    """

    def __init__(
        self,
        view: membership.Membership,
        peers: client.PeerClient,
        clock_: clock.Clock,
        on_urgent: collections.abc.Callable[[], None],
    ) -> None:
        self.lock = threading.RLock()
        self.view = view
        self.board = broadcast_queue.BroadcastQueue()
        self.revision = 0
        self.streams = 0
        self.on_hint: dict[str, list[OnHint]] = {}
        self.on_newer: list[OnNewerTables] = []
        self._peers = peers
        self._clock = clock_
        self._on_urgent = on_urgent

    def probe(self, news: ttypes.News) -> ttypes.News:
        """Answer a probe; both VMs exchange gossip.

        :param news: the calling VM's gossip
        :returns: this VM's gossip
        """
        self._apply_message(news)
        return self._make_message(news.sender.name)

    def probe_for(self, peer: str, name: str) -> bool:
        """Probe another VM for a VM that cannot reach it.

        :param peer: its ``host:port``
        :param name: its name
        :returns: whether it answered
        """
        return self.probe_peer(peer, name)

    def list_all(self) -> list[ttypes.Member]:
        """Return the entries of all VMs that this VM knows."""
        with self.lock:
            known = self.view.list_members()
            return list(map(membership_messages.pack_member, known))

    def probe_peer(self, peer: str, name: str) -> bool:
        """Probe a VM; an answer from another VM at its address does not count.

        :param peer: its ``host:port``
        :param name: its name; empty to accept any VM
        :returns: whether it answered
        """
        answer = self.call(peer, "probe", self._make_message(name))
        if not answer.is_ok():
            return False
        self._apply_message(answer.ok, peer)
        return name in ("", answer.ok.sender.name)

    def call(
        self, peer: str, method: str, *arguments: typing.Any
    ) -> expression.Result[typing.Any, errors.Fault]:
        """Call a peer's membership service.

        :param peer: its ``host:port``
        :param method: the method
        :param arguments: its arguments
        :returns: the answer, or a fault
        """
        return self._peers.call(
            peer, service.Client, method, *arguments, is_idempotent=True
        )

    def _make_message(self, receiver: str) -> ttypes.News:
        pack_member = membership_messages.pack_member
        with self.lock:
            now_ms = self._clock.now_ms()
            hints = self.board.take(
                self.view.compute_retransmit_limit(), now_ms
            )
            return ttypes.News(
                pack_member(self.view.local),
                self.revision,
                self.streams,
                self.view.digest(),
                list(map(pack_member, self._choose_members(receiver))),
                [
                    membership_messages.pack_hint(hint, now_ms)
                    for hint in hints
                ],
            )

    def _choose_members(self, receiver: str) -> list[member.Member]:
        news = self.view.select_updates()
        known = self.view.find(receiver)
        if known is None or known.health is member.MemberStatus.ALIVE:
            return news
        # A VM that is wrongly considered dead can only refute that if it
        # receives its own entry.  After a network partition the old update
        # is no longer gossiped.
        return [known, *news]

    def _apply_message(self, news: ttypes.News, peer: str = "") -> None:
        self._apply([news.sender, *news.members])
        now_ms = self._clock.now_ms()
        with self.lock:
            self.view.record_heartbeat(
                news.sender.name, news.streams, news.revision, now_ms
            )
            sender = self.view.find(news.sender.name)
            is_behind = news.revision > self.revision
            # Only the probing VM fetches the full list, so that the server's
            # threads do not make calls.
            needs_sync = bool(peer) and self.view.needs_sync(
                news.digest, now_ms
            )
        self._apply_hints(news.hints, now_ms)
        if is_behind and sender is not None:
            for callback in self.on_newer:
                callback(sender.copy())
        if needs_sync:
            self._sync(peer)

    def _sync(self, peer: str) -> None:
        answer = self.call(peer, "list_all")
        if answer.is_ok():
            self._apply(answer.ok)

    def _apply(self, messages: list[ttypes.Member]) -> None:
        now_ms = self._clock.now_ms()
        with self.lock:
            for message in messages:
                entry = membership_messages.unpack_member(message)
                self.view.apply(entry, now_ms)

    def _apply_hints(self, messages: list[ttypes.Hint], now_ms: int) -> None:
        unpacked = (
            membership_messages.unpack_hint(message, now_ms)
            for message in messages
        )
        with self.lock:
            new = [hint for hint in unpacked if self.board.add(hint, now_ms)]
        for hint in new:
            for callback in self.on_hint.get(hint.kind, ()):
                callback(hint)
        if new:
            self._on_urgent()

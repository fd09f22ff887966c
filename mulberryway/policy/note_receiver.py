"""Applies notes from peers, and expires the state of unresponsive peers."""

import collections.abc

from mulberryway.policy import crash_reports
from mulberryway.policy import failure_reports
from mulberryway.policy import hints
from mulberryway.policy import peer_ranks
from mulberryway.policy import pool_scheduler

__all__ = ["NoteReceiver"]

# A crashed router uses no slots, but one whose notes are lost for a moment
# does. Three missed heartbeats distinguish the two well enough, since the
# engines make the final decision.
UNRESPONSIVE_MS = 3_000
# An idle peer may send nothing for longer. After this time, the sequence
# numbers of its notes are evicted as well.
EVICTION_MS = 60_000
EXPIRY_CHECK_MS = 500
# Interval for evicting sequence numbers of deregistered upstreams.
PRUNE_MS = 10_000
FRESH_MS = 1_500
HOLDING = "holding"
ACCOUNT = "account"
RANK = "rank"


class _PeerState:
    """State of one incarnation of a peer."""

    __slots__ = (
        "incarnation",
        "sequence",
        "at_ms",
        "applied",
        "is_unresponsive",
        "has_malformed",
    )

    def __init__(self, incarnation: int, at_ms: int) -> None:
        self.incarnation = incarnation
        self.sequence = 0
        self.at_ms = at_ms
        # Sequence number of the newest note by subject: notes may arrive out
        # of order, and each contains only changes.
        self.applied: dict[tuple[str, str, str], int] = {}
        self.is_unresponsive = False
        # Bounds the malformed reports that are kept to one an incarnation.
        self.has_malformed = False

    def accepts(self, key: tuple[str, str, str], sequence: int) -> bool:
        """Return whether a note is the newest on its subject."""
        if sequence <= self.applied.get(key, 0):
            return False
        self.applied[key] = sequence
        return True


class NoteReceiver:
    """Applies notes, and expires peers that become unresponsive.

    :param vm: this VM's name; its own notes are ignored
    :param crashes: exchanges reports of crashes
    """

    def __init__(self, vm: str, crashes: crash_reports.CrashReports) -> None:
        self._vm = vm
        self._crashes = crashes
        self._peers: dict[str, _PeerState] = {}
        self._report_filter = failure_reports.FailureReportFilter()
        self._malformed: list[tuple[str, hints.RankNote]] = []
        self._checked_ms = 0
        self._pruned_ms = 0

    def drain_malformed(self) -> list[tuple[str, hints.RankNote]]:
        """Return malformed reports on ranks with their senders, once."""
        malformed, self._malformed = self._malformed, []
        return malformed

    def note(
        self,
        note: hints.Note,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        now_ms: int,
    ) -> None:
        """Apply a note.

        :param note: the peer's note
        :param pools_: the pools by name
        :param now_ms: current time in ms
        """
        if note.vm == self._vm:
            return
        # Crash updates are valid in any order of receipt.
        self._crashes.apply_updates(note.deaths, now_ms)
        peer = self._find(note, pools_, now_ms)
        if peer is None:
            return
        if note.sequence > peer.sequence:
            peer.sequence = note.sequence
            peer.at_ms = now_ms
            peer.is_unresponsive = False
        for holding in note.holdings:
            key = (HOLDING, holding.pool, holding.upstream)
            if peer.accepts(key, note.sequence):
                self._apply_holding(note.vm, holding, pools_, now_ms)
        for account in note.accounts:
            pool = pools_.get(account.pool)
            key = (ACCOUNT, account.pool, account.account)
            if pool is not None and peer.accepts(key, note.sequence):
                pool.peer_accounts.note(note.vm, account, now_ms)
        self._apply_ranks(note, peer, pools_, now_ms)

    def _apply_ranks(
        self,
        note: hints.Note,
        peer: _PeerState,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        now_ms: int,
    ) -> None:
        for item in note.ranks:
            if not peer_ranks.is_valid(item):
                if not peer.has_malformed:
                    self._malformed.append((note.vm, item))
                peer.has_malformed = True
                continue
            pool = pools_.get(item.pool)
            key = (RANK, item.pool, str(item.rank))
            if pool is not None and peer.accepts(key, note.sequence):
                pool.peer_ranks.note(note.vm, item, now_ms)

    def compute_max_age_ms(self, now_ms: int) -> int:
        """Return the age of the oldest note among responsive peers.

        :param now_ms: current time in ms
        :returns: age in ms; 0 if no peer is known
        """
        return max(
            (
                now_ms - peer.at_ms
                for peer in self._peers.values()
                if not peer.is_unresponsive
            ),
            default=0,
        )

    def expire_peers(
        self,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        now_ms: int,
    ) -> None:
        """Remove the state of unresponsive peers, and update the placers.

        A pool is without peer state if its reports show load that no peer has
        accounted for. Routers that decide by the same stale reports would all
        choose the engine that looks best.

        :param pools_: the pools by name
        :param now_ms: current time in ms
        """
        if now_ms - self._checked_ms < EXPIRY_CHECK_MS:
            return
        self._checked_ms = now_ms
        for vm, peer in list(self._peers.items()):
            age_ms = now_ms - peer.at_ms
            if age_ms >= UNRESPONSIVE_MS and not peer.is_unresponsive:
                peer.is_unresponsive = True
                _remove_peer(vm, pools_)
            if age_ms >= EVICTION_MS:
                del self._peers[vm]
        if now_ms - self._pruned_ms >= PRUNE_MS:
            self._pruned_ms = now_ms
            self._prune(pools_)
        has_recent_peer = any(
            now_ms - peer.at_ms < FRESH_MS for peer in self._peers.values()
        )
        for pool in pools_.values():
            pool.placer.is_without_peer_state = not has_recent_peer and any(
                view.unattributed_decodes for view in pool.members.list_all()
            )

    @property
    def size(self) -> int:
        """Number of subjects whose newest sequence number is stored."""
        return sum(len(peer.applied) for peer in self._peers.values())

    def _prune(
        self,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
    ) -> None:
        known = {
            (name, view.row.name)
            for name, pool in pools_.items()
            for view in pool.members.list_all()
        }
        for peer in self._peers.values():
            peer.applied = {
                key: sequence
                for key, sequence in peer.applied.items()
                if key[0] in (ACCOUNT, RANK) or key[1:] in known
            }

    def _find(
        self,
        note: hints.Note,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        now_ms: int,
    ) -> _PeerState | None:
        """Return the sender's state; none if its incarnation is outdated."""
        peer = self._peers.get(note.vm)
        if peer is not None and note.incarnation < peer.incarnation:
            return None
        if peer is None or note.incarnation > peer.incarnation:
            if peer is not None:
                _remove_peer(note.vm, pools_)
            peer = self._peers[note.vm] = _PeerState(note.incarnation, now_ms)
        return peer

    def _apply_holding(
        self,
        vm: str,
        holding: hints.Holding,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        now_ms: int,
    ) -> None:
        pool = pools_.get(holding.pool)
        view = (
            pool.members.find(holding.upstream) if pool is not None else None
        )
        if pool is None or view is None:
            return
        view.apply_peer_holding(vm, holding, now_ms)
        outcomes = holding.outcomes
        if outcomes.has_failures() and not self._report_filter.accepts(
            vm,
            (holding.pool, holding.upstream),
            len(pool.members.list_all()),
            now_ms,
        ):
            return
        if outcomes.has_failures() and pool.members.is_ejection_limit_reached(
            view, now_ms
        ):
            return
        if outcomes.has_failures():
            view.reported_by = vm
        view.health.apply_peer_outcomes(outcomes, now_ms)


def _remove_peer(
    vm: str, pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler]
) -> None:
    for pool in pools_.values():
        pool.peer_accounts.remove_peer(vm)
        pool.peer_ranks.remove_peer(vm)
        for view in pool.members.list_all():
            view.forget_peer(vm)

"""What a router heard from its peers, and for how long it counts."""

import collections.abc

from mulberryway.policy import failure_reports
from mulberryway.policy import hints
from mulberryway.policy import poison
from mulberryway.policy import pool_scheduler

__all__ = ["NoteReceiver"]

# A router that died holds no slots; one whose notes are lost for a moment
# still does.  Three missed heartbeats tell the two apart well enough, since
# engines have the last word.
SILENT_MS = 3_000
# A peer that holds nothing may be silent for longer; after this what is known
# of its notes' order is dropped.
GONE_MS = 60_000
SWEEP_MS = 500
# How often the order of notes about upstreams that have left is dropped.
PRUNE_MS = 10_000
FRESH_MS = 1_500
HOLDING = "holding"
ACCOUNT = "account"


class _Heard:
    """What was heard of one life of a peer."""

    __slots__ = ("incarnation", "sequence", "at_ms", "applied", "is_silent")

    def __init__(self, incarnation: int, at_ms: int) -> None:
        self.incarnation = incarnation
        self.sequence = 0
        self.at_ms = at_ms
        # The newest note by what it was about: notes may overtake each
        # other, and each tells of what has changed only.
        self.applied: dict[tuple[str, str, str], int] = {}
        self.is_silent = False

    def accepts(self, key: tuple[str, str, str], sequence: int) -> bool:
        """Tell whether a note is the newest about something."""
        if sequence <= self.applied.get(key, 0):
            return False
        self.applied[key] = sequence
        return True


class NoteReceiver:
    """Takes in notes, and forgets peers that fall silent.

    :param vm: this VM's name; its own notes are passed over
    :param register: requests that may be poison
    """

    def __init__(self, vm: str, register: poison.PoisonRegistry) -> None:
        self._vm = vm
        self._register = register
        self._heard: dict[str, _Heard] = {}
        self._trust = failure_reports.FailureReportFilter()
        self._swept_ms = 0
        self._pruned_ms = 0

    def note(
        self,
        note: hints.Note,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        now_ms: int,
    ) -> None:
        """Take in a note.

        :param note: the peer's note
        :param pools_: the pools by name
        :param now_ms: the present
        """
        if note.vm == self._vm:
            return
        # News of crashes is true whatever the order in which it comes.
        self._register.note_news(note.deaths, now_ms)
        heard = self._find(note, pools_, now_ms)
        if heard is None:
            return
        if note.sequence > heard.sequence:
            heard.sequence = note.sequence
            heard.at_ms = now_ms
            heard.is_silent = False
        for holding in note.holdings:
            key = (HOLDING, holding.pool, holding.upstream)
            if heard.accepts(key, note.sequence):
                self._take_holding(note.vm, holding, pools_, now_ms)
        for account in note.accounts:
            pool = pools_.get(account.pool)
            key = (ACCOUNT, account.pool, account.account)
            if pool is not None and heard.accepts(key, note.sequence):
                pool.neighbours.note(note.vm, account, now_ms)

    def compute_max_age_ms(self, now_ms: int) -> int:
        """Return how long ago the longest silent peer was heard.

        :param now_ms: the present
        :returns: milliseconds; 0 where no peer is known
        """
        return max(
            (
                now_ms - heard.at_ms
                for heard in self._heard.values()
                if not heard.is_silent
            ),
            default=0,
        )

    def expire_peers(
        self,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        now_ms: int,
    ) -> None:
        """Forget silent peers, and tell the placers whether they are blind.

        A pool is blind if its reports show others' work of which no peer has
        told; routers that choose by the same stale reports would all send to
        the engine that looks best.

        :param pools_: the pools by name
        :param now_ms: the present
        """
        if now_ms - self._swept_ms < SWEEP_MS:
            return
        self._swept_ms = now_ms
        for vm, heard in list(self._heard.items()):
            silent_ms = now_ms - heard.at_ms
            if silent_ms >= SILENT_MS and not heard.is_silent:
                heard.is_silent = True
                _forget(vm, pools_)
            if silent_ms >= GONE_MS:
                del self._heard[vm]
        if now_ms - self._pruned_ms >= PRUNE_MS:
            self._pruned_ms = now_ms
            self._prune(pools_)
        hears = any(
            now_ms - heard.at_ms < FRESH_MS for heard in self._heard.values()
        )
        for pool in pools_.values():
            pool.placer.is_without_peer_state = not hears and any(
                view.unattributed_decodes for view in pool.members.list_all()
            )

    @property
    def size(self) -> int:
        """About how many things of all peers the order of notes is kept."""
        return sum(len(heard.applied) for heard in self._heard.values())

    def _prune(
        self,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
    ) -> None:
        known = {
            (name, view.row.name)
            for name, pool in pools_.items()
            for view in pool.members.list_all()
        }
        for heard in self._heard.values():
            heard.applied = {
                key: sequence
                for key, sequence in heard.applied.items()
                if key[0] == ACCOUNT or key[1:] in known
            }

    def _find(
        self,
        note: hints.Note,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        now_ms: int,
    ) -> _Heard | None:
        """Return what was heard of the sender's life; none if it is over."""
        heard = self._heard.get(note.vm)
        if heard is not None and note.incarnation < heard.incarnation:
            return None
        if heard is None or note.incarnation > heard.incarnation:
            if heard is not None:
                _forget(note.vm, pools_)
            heard = self._heard[note.vm] = _Heard(note.incarnation, now_ms)
        return heard

    def _take_holding(
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
        if outcomes.has_failures() and not self._trust.accepts(
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
        view.health.note_peer(outcomes, now_ms)


def _forget(
    vm: str, pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler]
) -> None:
    for pool in pools_.values():
        pool.neighbours.forget(vm)
        for view in pool.members.list_all():
            view.forget_peer(vm)

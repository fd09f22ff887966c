"""What a router heard from its peers, and for how long it counts."""

import collections.abc

from mulberryway.policy import hints
from mulberryway.policy import poison
from mulberryway.policy import pools

__all__ = ["Hearer"]

# A router that died holds no slots; one whose notes are lost for a moment
# still does.  Three missed heartbeats tell the two apart well enough, since
# engines have the last word.
SILENT_MS = 3_000
SWEEP_MS = 500
FRESH_MS = 1_500


class _Heard:
    __slots__ = ("incarnation", "sequence", "at_ms")

    def __init__(self, note: hints.Note, at_ms: int) -> None:
        self.incarnation = note.incarnation
        self.sequence = note.sequence
        self.at_ms = at_ms


class Hearer:
    """Takes in notes, and forgets peers that fall silent.

    :param vm: this VM's name; its own notes are passed over
    :param register: requests that may be poison
    """

    def __init__(self, vm: str, register: poison.Register) -> None:
        self._vm = vm
        self._register = register
        self._heard: dict[str, _Heard] = {}
        self._swept_ms = 0

    def note(
        self,
        note: hints.Note,
        pools_: collections.abc.Mapping[str, pools.PoolScheduler],
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
        heard = self._heard.get(note.vm)
        if heard is not None:
            if (note.incarnation, note.sequence) <= (
                heard.incarnation,
                heard.sequence,
            ):
                return
            if note.incarnation != heard.incarnation:
                _forget(note.vm, pools_)
        self._heard[note.vm] = _Heard(note, now_ms)
        for holding in note.holdings:
            _take_holding(note.vm, holding, pools_, now_ms)
        for account in note.accounts:
            pool = pools_.get(account.pool)
            if pool is not None:
                pool.neighbours.note(note.vm, account, now_ms)

    def read_age_ms(self, now_ms: int) -> int:
        """Return how long ago the longest silent peer was heard.

        :param now_ms: the present
        :returns: milliseconds; 0 where no peer is known
        """
        return max(
            (now_ms - heard.at_ms for heard in self._heard.values()),
            default=0,
        )

    def sweep(
        self,
        pools_: collections.abc.Mapping[str, pools.PoolScheduler],
        now_ms: int,
    ) -> None:
        """Forget silent peers, and tell the placers whether they are blind.

        Load: several routers choose on the same stale reports while no
        notes come.  Harm: all send to the one that looks best.  A pool is
        blind if its reports show others' work of which no peer has told.

        :param pools_: the pools by name
        :param now_ms: the present
        """
        if now_ms - self._swept_ms < SWEEP_MS:
            return
        self._swept_ms = now_ms
        silent = [
            vm
            for vm, heard in self._heard.items()
            if now_ms - heard.at_ms >= SILENT_MS
        ]
        for vm in silent:
            del self._heard[vm]
            _forget(vm, pools_)
        hears = any(
            now_ms - heard.at_ms < FRESH_MS for heard in self._heard.values()
        )
        for pool in pools_.values():
            pool.placer.is_blind = not hears and any(
                view.excess for view in pool.members.list_all()
            )


def _take_holding(
    vm: str,
    holding: hints.Holding,
    pools_: collections.abc.Mapping[str, pools.PoolScheduler],
    now_ms: int,
) -> None:
    pool = pools_.get(holding.pool)
    view = pool.members.find(holding.upstream) if pool is not None else None
    if view is not None:
        view.note_peer(vm, holding, now_ms)


def _forget(
    vm: str, pools_: collections.abc.Mapping[str, pools.PoolScheduler]
) -> None:
    for pool in pools_.values():
        pool.neighbours.forget(vm)
        for view in pool.members.list_all():
            view.forget_peer(vm)

"""What a router tells its peers, and when."""

import collections.abc
import itertools

from mulberryway.policy import hints
from mulberryway.policy import poison
from mulberryway.policy import pool_scheduler

__all__ = ["NoteSender"]

# A note for each change would cost a busy router (22 requests a second, each
# with three changes) more than its 15 KB a second; within this time changes
# go together, and a peer's view is that much late.
LEAST_PAUSE_MS = 5
# A change that nobody waits for goes along with the next note, and by itself
# after this time.
MAX_DEFER_MS = 250
# An empty note tells that the router lives; what it holds counts until it
# has been silent for three of these.
HEARTBEAT_MS = 1_000
# A router that holds nothing has nothing to lose by silence.  In a fleet of
# more VMs than this it beats more seldom, in proportion, so that the notes
# that a VM gets from idle ones stay the same in number.
HEARTBEAT_VMS = 12
# Everything is told anew now and then, which mends what a lost note spoilt.
WHOLE_MS = 5_000
# Jobs that wait are told of again so often.  In a fleet of more than
# ``HEARTBEAT_VMS`` the first time may be as late: most wait for less, and
# their start is news.
WAITING_MS = 100
# Accounts told of at once: those that were given least and have jobs
# waiting.  With more, a cell of six routers would exchange all 2,200.
MOST_ACCOUNTS = 16
# Upstreams in one note, so that it fits a datagram.  The others follow with
# the next note: what they tell is the amount since their last one, so none of
# it may be left out.
MOST_HOLDINGS = 64


class NoteSender:
    """Collects changes into notes.

    :param vm: this VM's name
    :param incarnation: which life of its router this is
    :param register: requests that may be poison
    """

    def __init__(
        self, vm: str, incarnation: int, register: poison.PoisonRegistry
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._register = register
        self._numbers = itertools.count(1)
        # How many VMs exchange notes.
        self.vms = 1
        self._views: set[tuple[str, str]] = set()
        # Views that may wait for a note of others, and since when they do.
        self._later: set[tuple[str, str]] = set()
        self._later_since_ms = 0
        # What was told since the last whole note, which repeats it.
        self._recent: set[tuple[str, str]] = set()
        self._accounts: set[tuple[str, str]] = set()
        self._charged: dict[tuple[str, str], float] = {}
        self._weights: dict[tuple[str, str], int] = {}
        self._told_waiting: dict[tuple[str, str], tuple[int, int]] = {}
        self._at_ms: int | None = None
        self._whole_ms: int | None = None

    def mark_changed(self, pool: str, upstream: str) -> None:
        """Mark an upstream where something of ours began or ended.

        :param pool: the pool's name
        :param upstream: the upstream's name
        """
        self._views.add((pool, upstream))

    def mark_changed_deferred(
        self, pool: str, upstream: str, now_ms: int
    ) -> None:
        """Mark an upstream of which the news may wait a bit.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param now_ms: the present
        """
        if not self._later:
            self._later_since_ms = now_ms
        self._later.add((pool, upstream))

    def record_charge(
        self, pool: str, account: str, weight: int, tokens: float
    ) -> None:
        """Add to what an account was charged.

        :param pool: the pool's name
        :param account: the account
        :param weight: its weight
        :param tokens: how many; below zero if given back
        """
        key = pool, account
        self._charged[key] = self._charged.get(key, 0.0) + tokens
        self._weights[key] = weight
        self._accounts.add(key)

    def build_note(
        self,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        now_ms: int,
    ) -> hints.Note | None:
        """Return what peers should hear now.

        :param pools_: the pools by name
        :param now_ms: the present
        :returns: a note, or none if nothing is due
        """
        pause_ms = None if self._at_ms is None else now_ms - self._at_ms
        if pause_ms is not None and pause_ms < LEAST_PAUSE_MS:
            return None
        waiting = self._list_waiting(pools_)
        is_beating = pause_ms is None or self._has_to_beat(pause_ms, pools_)
        has_waited = self._has_to_tell_waiting(waiting, pause_ms)
        deaths = self._register.take_news(now_ms)
        if self._later and now_ms - self._later_since_ms >= MAX_DEFER_MS:
            self._views |= self._later
        changed = self._views or self._accounts or deaths
        if not (changed or has_waited or is_beating):
            return None
        self._views |= self._later
        self._later = set()
        changed_views = set(self._views)
        self._mark_whole(pools_, now_ms)
        self._recent |= changed_views
        return self._build(pools_, waiting, deaths, now_ms)

    def _has_to_tell_waiting(
        self,
        waiting: dict[tuple[str, str], tuple[int, int]],
        pause_ms: int | None,
    ) -> bool:
        told = self._told_waiting
        if pause_ms is None or pause_ms >= WAITING_MS:
            return bool(waiting or told)
        has_gone = bool(told.keys() - waiting.keys())
        has_changed = has_gone or bool(waiting and waiting != told)
        return has_changed and self.vms <= HEARTBEAT_VMS

    def _build(
        self,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        waiting: dict[tuple[str, str], tuple[int, int]],
        deaths: list[hints.Death],
        now_ms: int,
    ) -> hints.Note:
        accounts = self._accounts | waiting.keys() | self._told_waiting.keys()
        views = sorted(self._views)
        note = hints.Note(
            self._vm,
            self._incarnation,
            next(self._numbers),
            [
                holding
                for pool, upstream in views[:MOST_HOLDINGS]
                for holding in _read_holding(
                    pools_.get(pool), upstream, now_ms
                )
            ],
            [
                self._read_account(pools_[pool], account, now_ms)
                for pool, account in sorted(accounts)
                if pool in pools_
            ],
            deaths,
        )
        self._views, self._accounts = set(views[MOST_HOLDINGS:]), set()
        self._told_waiting = waiting
        self._at_ms = now_ms
        return note

    def _mark_whole(
        self,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        now_ms: int,
    ) -> None:
        if self._whole_ms is not None and now_ms - self._whole_ms < WHOLE_MS:
            return
        self._whole_ms = now_ms
        self._views |= self._recent | {
            (name, view.row.name)
            for name, pool in pools_.items()
            for view in pool.members.list_all()
            if view.own_decodes
        }
        self._recent = set()

    def _has_to_beat(
        self,
        pause_ms: int,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
    ) -> bool:
        if pause_ms < HEARTBEAT_MS:
            return False
        holds = any(
            view.own_decodes or view.own_prefills
            for pool in pools_.values()
            for view in pool.members.list_all()
        )
        scale = max(self.vms / HEARTBEAT_VMS, 1.0)
        return holds or pause_ms >= HEARTBEAT_MS * scale

    @staticmethod
    def _list_waiting(
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
    ) -> dict[tuple[str, str], tuple[int, int]]:
        return {
            (name, state.name): (
                state.waiting,
                state.list_heads()[0].job.arrived_ms,
            )
            for name, pool in pools_.items()
            for state in pool.queue.list_next(MOST_ACCOUNTS)
        }

    def _read_account(
        self, pool: pool_scheduler.PoolScheduler, account: str, now_ms: int
    ) -> hints.AccountNote:
        key = pool.row.name, account
        state = pool.queue.find_account(account, self._weights.get(key, 1))
        self._weights[key] = state.weight
        heads = state.list_heads()
        oldest_ms = now_ms - heads[0].job.arrived_ms if heads else 0
        prefill_ms = int(heads[0].prefill_ms) if heads else 0
        return hints.AccountNote(
            pool.row.name,
            account,
            state.weight,
            int(self._charged.get(key, 0.0)),
            state.waiting,
            oldest_ms,
            prefill_ms,
        )


def _read_holding(
    pool: pool_scheduler.PoolScheduler | None, upstream: str, now_ms: int
) -> list[hints.Holding]:
    view = pool.members.find(upstream) if pool is not None else None
    if pool is None or view is None:
        return []
    return [
        hints.Holding(
            pool.row.name,
            upstream,
            view.own_decodes,
            view.take_prefill_ms(now_ms),
            view.own_suspects,
            view.own_blocks,
            view.take_step_ms(),
            view.health.take_news(),
        )
    ]

"""Collects changes of a router and sends them to its peers as notes."""

import collections.abc
import itertools

from mulberryway.policy import crash_reports
from mulberryway.policy import hints
from mulberryway.policy import pool_scheduler

__all__ = ["NoteSender"]

# One note per change would exceed the 15 KB per second of a busy router (22
# requests per second with three changes each). Changes within this interval
# are sent together, which delays a peer's view by that much.
MIN_INTERVAL_MS = 5
# A deferrable change is piggybacked on the next note, and is sent in a note of
# its own after this time.
MAX_DEFER_MS = 250
# An empty note shows that the router is alive. Its in-flight load counts until
# it has been unresponsive for three of these.
HEARTBEAT_MS = 1_000
# An idle router has no in-flight load that could be expired. In a fleet of
# more VMs than this its heartbeat interval grows in proportion, so that the
# number of notes that a VM receives from idle ones stays constant.
HEARTBEAT_SCALING_VMS = 12
# All state is sent again at this interval, which corrects the effect of lost
# notes.
FULL_NOTE_MS = 5_000
# Interval for sending waiting jobs again. In a fleet of more than
# ``HEARTBEAT_SCALING_VMS`` changes are also delayed by up to this: most jobs
# wait for less, and their start is sent as a change.
WAITING_MS = 100
# Maximum number of accounts in a note: those with the least service and with
# waiting jobs. With more, a subset of six routers would exchange all 2,200.
MAX_ACCOUNTS = 16
# Maximum number of upstreams in a note, so that it fits a datagram. The others
# follow in the next note: their values are amounts since their last note, so
# none may be omitted.
MAX_HOLDINGS = 64


class NoteSender:
    """Collects changes into notes.

    :param vm: this VM's name
    :param incarnation: the incarnation of its router
    :param crashes: exchanges reports of crashes
    """

    def __init__(
        self, vm: str, incarnation: int, crashes: crash_reports.CrashReports
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._crashes = crashes
        self._numbers = itertools.count(1)
        # Number of VMs that exchange notes.
        self.vms = 1
        self._views: set[tuple[str, str]] = set()
        # Views that may wait for the next note, and since when they do, in ms.
        self._deferred: set[tuple[str, str]] = set()
        self._deferred_since_ms = 0
        # Views sent since the last full note; the next one includes them.
        self._recent: set[tuple[str, str]] = set()
        self._accounts: set[tuple[str, str]] = set()
        self._charged: dict[tuple[str, str], float] = {}
        self._weights: dict[tuple[str, str], int] = {}
        self._sent_waiting: dict[tuple[str, str], tuple[int, int]] = {}
        # Pools and ranks of waiting jobs in the last message on ranks, and
        # when it was sent, in ms.
        self._sent_ranks: set[tuple[str, int]] = set()
        self._ranks_ms = 0
        self._at_ms: int | None = None
        self._full_note_ms: int | None = None

    def mark_changed(self, pool: str, upstream: str) -> None:
        """Mark an upstream where a request of this router started or ended.

        :param pool: the pool's name
        :param upstream: the upstream's name
        """
        self._views.add((pool, upstream))

    def mark_changed_deferred(
        self, pool: str, upstream: str, now_ms: int
    ) -> None:
        """Mark an upstream whose changes may wait for the next note.

        :param pool: the pool's name
        :param upstream: the upstream's name
        :param now_ms: current time in ms
        """
        if not self._deferred:
            self._deferred_since_ms = now_ms
        self._deferred.add((pool, upstream))

    def record_charge(
        self, pool: str, account: str, weight: int, tokens: float
    ) -> None:
        """Add to the tokens charged to an account.

        :param pool: the pool's name
        :param account: the account
        :param weight: its weight
        :param tokens: number of tokens; negative for a refund
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
        """Return the note that is due now, if any.

        :param pools_: the pools by name
        :param now_ms: current time in ms
        :returns: a note, or none if nothing is due
        """
        elapsed_ms = None if self._at_ms is None else now_ms - self._at_ms
        if elapsed_ms is not None and elapsed_ms < MIN_INTERVAL_MS:
            return None
        waiting = self._list_waiting(pools_)
        is_heartbeat_due = elapsed_ms is None or self._is_heartbeat_due(
            elapsed_ms, pools_
        )
        must_send_waiting = self._must_send_waiting(waiting, elapsed_ms)
        deaths = self._crashes.drain_updates(now_ms)
        if self._deferred and now_ms - self._deferred_since_ms >= MAX_DEFER_MS:
            self._views |= self._deferred
        changed = self._views or self._accounts or deaths
        if not (changed or must_send_waiting or is_heartbeat_due):
            return None
        self._views |= self._deferred
        self._deferred = set()
        changed_views = set(self._views)
        self._mark_all_if_due(pools_, now_ms)
        self._recent |= changed_views
        return self._build(pools_, waiting, deaths, now_ms)

    def _must_send_waiting(
        self,
        waiting: dict[tuple[str, str], tuple[int, int]],
        elapsed_ms: int | None,
    ) -> bool:
        sent = self._sent_waiting
        if elapsed_ms is None or elapsed_ms >= WAITING_MS:
            return bool(waiting or sent)
        has_removed = bool(sent.keys() - waiting.keys())
        has_changed = has_removed or bool(waiting and waiting != sent)
        return has_changed and self.vms <= HEARTBEAT_SCALING_VMS

    def _build(
        self,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        waiting: dict[tuple[str, str], tuple[int, int]],
        deaths: list[hints.Death],
        now_ms: int,
    ) -> hints.Note:
        accounts = self._accounts | waiting.keys() | self._sent_waiting.keys()
        views = sorted(self._views)
        note = hints.Note(
            self._vm,
            self._incarnation,
            next(self._numbers),
            [
                holding
                for pool, upstream in views[:MAX_HOLDINGS]
                for holding in _make_holdings(
                    pools_.get(pool), upstream, now_ms
                )
            ],
            [
                self._make_account_note(pools_[pool], account, now_ms)
                for pool, account in sorted(accounts)
                if pool in pools_
            ],
            deaths,
            self._list_ranks(pools_, now_ms),
        )
        self._views, self._accounts = set(views[MAX_HOLDINGS:]), set()
        self._sent_waiting = waiting
        self._at_ms = now_ms
        return note

    def _list_ranks(
        self,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        now_ms: int,
    ) -> list[hints.RankNote]:
        """Return the waiting jobs by rank, of pools where ranks differ."""
        waiting = {
            (name, rank)
            for name, pool in pools_.items()
            if any(ranks := pool.queue.list_ranks())
            for rank in ranks
        }
        is_due = now_ms - self._ranks_ms >= WAITING_MS
        if not is_due and waiting == self._sent_ranks:
            return []
        # Peers forget a rank by a report that none of its jobs waits.
        removed = self._sent_ranks - waiting
        if waiting or removed:
            self._ranks_ms = now_ms
        self._sent_ranks = waiting
        return [
            _make_rank_note(pools_.get(name), name, rank, now_ms)
            for name, rank in sorted(waiting | removed)
        ]

    def _mark_all_if_due(
        self,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
        now_ms: int,
    ) -> None:
        if (
            self._full_note_ms is not None
            and now_ms - self._full_note_ms < FULL_NOTE_MS
        ):
            return
        self._full_note_ms = now_ms
        self._views |= self._recent | {
            (name, view.row.name)
            for name, pool in pools_.items()
            for view in pool.members.list_all()
            if view.own_decodes
        }
        self._recent = set()

    def _is_heartbeat_due(
        self,
        elapsed_ms: int,
        pools_: collections.abc.Mapping[str, pool_scheduler.PoolScheduler],
    ) -> bool:
        if elapsed_ms < HEARTBEAT_MS:
            return False
        has_load = any(
            view.own_decodes or view.own_prefills
            for pool in pools_.values()
            for view in pool.members.list_all()
        )
        scale = max(self.vms / HEARTBEAT_SCALING_VMS, 1.0)
        return has_load or elapsed_ms >= HEARTBEAT_MS * scale

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
            for state in pool.queue.list_next(MAX_ACCOUNTS)
        }

    def _make_account_note(
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


def _make_holdings(
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
            view.drain_prefill_ms(now_ms),
            view.own_suspects,
            view.own_blocks,
            view.drain_step_ms(),
            view.health.drain_outcomes(),
            view.estimate_own_present(now_ms),
        )
    ]


def _make_rank_note(
    pool: pool_scheduler.PoolScheduler | None,
    name: str,
    rank: int,
    now_ms: int,
) -> hints.RankNote:
    state = pool.queue.get_rank(rank) if pool is not None else None
    if state is None:
        return hints.RankNote(name, rank, 0, 0)
    oldest = state.find_oldest()
    oldest_ms = now_ms - oldest.job.arrived_ms if oldest is not None else 0
    return hints.RankNote(name, rank, len(state.entries), max(oldest_ms, 0))

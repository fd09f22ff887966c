"""Client accounts' usage and waiting jobs, as reported by peers."""

from mulberryway.policy import fair_queue
from mulberryway.policy import hints
from mulberryway.policy import peer_ranks

__all__ = ["PeerAccounts"]

# A peer reports waiting jobs every 100 ms; a report is ignored after three
# times that.
WAITING_FRESH_MS = 300


class _Waiting:
    """An account's waiting jobs, as one peer last reported them."""

    __slots__ = ("jobs", "since_ms", "prefill_ms", "received_ms")

    def __init__(self, note: hints.AccountNote, received_ms: int) -> None:
        self.jobs = note.waiting
        self.since_ms = received_ms - note.oldest_ms
        self.prefill_ms = note.prefill_ms
        self.received_ms = received_ms


class PeerAccounts:
    """One pool's accounts as reported by the other routers of the subset.

    :param fair: the pool's fair queue, which orders the accounts
    :param ranks: the ranks of the peers' waiting jobs
    """

    __slots__ = ("_fair", "ranks", "_charged", "_waiting")

    def __init__(
        self,
        fair: fair_queue.FairQueue,
        ranks: peer_ranks.PeerRanks | None = None,
    ) -> None:
        self._fair = fair
        self.ranks = ranks or peer_ranks.PeerRanks()
        self._charged: dict[str, dict[str, int]] = {}
        self._waiting: dict[str, dict[str, _Waiting]] = {}

    def note(self, vm: str, note: hints.AccountNote, now_ms: int) -> None:
        """Apply a peer's report on one account.

        :param vm: the peer
        :param note: the report
        :param now_ms: current time in ms
        """
        charged = self._charged.setdefault(vm, {})
        added = note.charged - charged.get(note.account, note.charged)
        charged[note.account] = note.charged
        if added > 0:
            self._fair.charge(note.account, note.weight, added)
        elif added < 0:
            self._fair.adjust_charge(note.account, note.weight, added)
        if note.waiting:
            waiting = self._waiting.setdefault(vm, {})
            waiting[note.account] = _Waiting(note, now_ms)
        elif vm in self._waiting:
            # Each decision visits all peers with waiting jobs.
            self._waiting[vm].pop(note.account, None)
            if not self._waiting[vm]:
                del self._waiting[vm]

    def remove_peer(self, vm: str) -> None:
        """Remove the state of an unresponsive peer.

        :param vm: the peer
        """
        self._charged.pop(vm, None)
        self._waiting.pop(vm, None)

    def count_ahead(
        self,
        state: fair_queue.AccountState,
        entry: fair_queue.QueueEntry,
        slack_tokens: int,
        now_ms: int,
    ) -> int:
        """Return how many of the peers' jobs should precede a local job.

        Without this, a router would give each free slot to a job that waits
        locally, and a small account whose callers all use another router would
        starve. A peer reports only a few accounts, so the cost is bounded.

        :param state: the account of the local job
        :param entry: the local job
        :param slack_tokens: between accounts whose virtual start times differ
            by less than this, the cheaper prompt goes first, as in the local
            queue
        :param now_ms: current time in ms
        :returns: the number of jobs
        """
        counts: dict[str, int] = {}
        for vm, account, waiting in self._list_fresh(now_ms):
            counts[vm] = counts.get(vm, 0) + self._count_account(
                account, waiting, state, entry, slack_tokens
            )
        if not entry.rank and self.ranks.is_empty:
            return sum(counts.values())
        return sum(
            self._apply_ranks(vm, count, entry.rank, now_ms)
            for vm, count in counts.items()
        )

    def _apply_ranks(self, vm: str, count: int, rank: int, now_ms: int) -> int:
        """Return how many of a peer's jobs precede a job of a rank.

        :param vm: the peer
        :param count: how many precede it by their accounts
        :param rank: the queue rank of the job
        :param now_ms: current time in ms
        """
        if self.ranks.has_report(vm, now_ms):
            equal = min(count, self.ranks.count_at(vm, rank, now_ms))
            return self.ranks.count_above(vm, rank, now_ms) + equal
        # All jobs of this peer have the highest queue rank.
        return self._count_jobs(vm, now_ms) if rank else count

    def _list_fresh(self, now_ms: int) -> list[tuple[str, str, _Waiting]]:
        """Return the peers' accounts with waiting jobs."""
        return [
            (vm, account, waiting)
            for vm, accounts in self._waiting.items()
            for account, waiting in accounts.items()
            if now_ms - waiting.received_ms <= WAITING_FRESH_MS
        ]

    def _count_jobs(self, vm: str, now_ms: int) -> int:
        return sum(
            waiting.jobs
            for waiting in self._waiting[vm].values()
            if now_ms - waiting.received_ms <= WAITING_FRESH_MS
        )

    def count_above(self, rank: int, now_ms: int) -> int:
        """Return the number of the peers' waiting jobs of higher ranks.

        :param rank: the queue rank
        :param now_ms: current time in ms
        """
        if not rank:
            return 0
        return sum(
            self.ranks.count_above(vm, rank, now_ms)
            if self.ranks.has_report(vm, now_ms)
            else self._count_jobs(vm, now_ms)
            for vm in self._waiting
        )

    def _count_account(
        self,
        account: str,
        waiting: _Waiting,
        state: fair_queue.AccountState,
        entry: fair_queue.QueueEntry,
        slack_tokens: int,
    ) -> int:
        lead = state.virtual_start - self._fair.get_virtual_start(account)
        if abs(lead) < slack_tokens:
            return 1 if waiting.prefill_ms < entry.prefill_ms else 0
        if account == state.name:
            return 1 if waiting.since_ms < entry.job.arrived_ms else 0
        return waiting.jobs if lead > 0 else 0

    def sum_waiting_weight(self, now_ms: int, rank: int = 0) -> int:
        """Return the total weight of accounts with waiting jobs only at peers.

        :param now_ms: current time in ms
        :param rank: the queue rank of which these peers have waiting jobs
        :returns: the sum of weights, with each account counted once
        """
        names: set[str] = {
            account
            for vm, account, _ in self._list_fresh(now_ms)
            if not self._fair.count_waiting(account)
            and self._has_waiting(vm, rank, now_ms)
        }
        return sum(map(self._fair.get_weight, names))

    def _has_waiting(self, vm: str, rank: int, now_ms: int) -> bool:
        if not self.ranks.has_report(vm, now_ms):
            return not rank
        return bool(self.ranks.count_at(vm, rank, now_ms))

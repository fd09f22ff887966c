"""What peers told of the client accounts: work done, and work waiting."""

from mulberryway.policy import fair_queue
from mulberryway.policy import hints

__all__ = ["PeerAccounts"]

# A peer tells again of what waits each 100 ms, so after three times that a
# waiting job counts as gone.
WAITING_FRESH_MS = 300


class _Waiting:
    __slots__ = ("jobs", "since_ms", "prefill_ms", "told_ms")

    def __init__(self, note: hints.AccountNote, told_ms: int) -> None:
        self.jobs = note.waiting
        self.since_ms = told_ms - note.oldest_ms
        self.prefill_ms = note.prefill_ms
        self.told_ms = told_ms


class PeerAccounts:
    """The accounts of one pool as the other routers of the cell see them.

    :param fair: the pool's own queue, which orders the accounts
    """

    __slots__ = ("_fair", "_charged", "_waiting")

    def __init__(self, fair: fair_queue.FairQueue) -> None:
        self._fair = fair
        self._charged: dict[str, dict[str, int]] = {}
        self._waiting: dict[str, dict[str, _Waiting]] = {}

    def note(self, vm: str, note: hints.AccountNote, now_ms: int) -> None:
        """Take in what a peer told of one account.

        :param vm: the peer
        :param note: its news
        :param now_ms: the present
        """
        charged = self._charged.setdefault(vm, {})
        more = note.charged - charged.get(note.account, note.charged)
        charged[note.account] = note.charged
        if more > 0:
            self._fair.charge(note.account, note.weight, more)
        elif more < 0:
            self._fair.adjust_charge(note.account, note.weight, more)
        waiting = self._waiting.setdefault(vm, {})
        if note.waiting:
            waiting[note.account] = _Waiting(note, now_ms)
        else:
            waiting.pop(note.account, None)

    def forget(self, vm: str) -> None:
        """Drop what a peer told, after its silence.

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
        """Return how many of the peers' jobs should go before one of ours.

        A router on which a slot comes free would take it for whatever waits
        there, and a small account whose callers all use another router would
        starve.  A peer tells of a few accounts, so the cost is bounded.

        :param state: our job's account
        :param entry: our job
        :param slack_tokens: among accounts whose starts differ by no more,
            the cheaper prompt goes first, as in our own queue
        :param now_ms: the present
        :returns: a number of jobs
        """
        return sum(
            self._count_of(account, waiting, state, entry, slack_tokens)
            for accounts in self._waiting.values()
            for account, waiting in accounts.items()
            if now_ms - waiting.told_ms <= WAITING_FRESH_MS
        )

    def _count_of(
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

    def sum_waiting_weight(self, now_ms: int) -> int:
        """Return the weights of accounts that wait only at peers.

        :param now_ms: the present
        :returns: their sum, each account counted once
        """
        names: set[str] = {
            account
            for accounts in self._waiting.values()
            for account, waiting in accounts.items()
            if now_ms - waiting.told_ms <= WAITING_FRESH_MS
            and not self._fair.count_waiting(account)
        }
        return sum(map(self._fair.get_weight, names))

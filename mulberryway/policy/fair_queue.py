"""Orders the waiting jobs of one pool by rank and fair queueing.

Each client account has a virtual start, in tokens divided by its weight,
which grows with the tokens that were charged to it; the account with the
smallest virtual start is next.  Each queue rank has an order of its own, and
lower numbers go first.  All operations take logarithmic time in the
number of waiting accounts and entries.
"""

import collections.abc
import heapq
import itertools

from mulberryway.policy import jobs
from mulberryway.policy import queue_entries

__all__ = ["AccountState", "QueueEntry", "FairQueue", "Lane"]

# An account with no waiting jobs and no debit needs no state.  The limit is
# more than twice the design target of 2,200 accounts, so evictions are rare.
MAX_IDLE_ACCOUNTS = 5_000
# How far behind the virtual time an idle account may start.  Textbook
# start-time fair queueing moves the start of an account up to the virtual time
# when it begins to wait.  Here all routers of a subset have to arrive at the
# same order, and the move would happen on one router only.  The credit also
# lets an account whose demand is close to its fair share make up for short
# idle periods.  Its cost is that an account which returns after an idle period
# is served first until the credit is used up: about fifteen ordinary requests,
# or two to three seconds of a small pool's throughput.
MAX_CREDIT_TOKENS = 6_000.0
# Bounds the jobs that one job of a higher rank may displace.
MAX_DISPLACED = 8


AccountState = queue_entries.AccountState
QueueEntry = queue_entries.QueueEntry
Lane = queue_entries.Lane


class FairQueue:
    """Holds the entries of all accounts in fair order.

    :param max_entries: maximum number of waiting jobs
    :param max_bytes: maximum size of waiting bodies, in bytes
    """

    def __init__(self, max_entries: int, max_bytes: int) -> None:
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.virtual_time = 0.0
        self.weight_waiting = 0
        self.bytes = 0
        self._entries: dict[str, QueueEntry] = {}
        self._ranks: dict[int, queue_entries.RankState] = {}
        self._accounts: dict[str, AccountState] = {}
        self._expiry_heap: list[tuple[int, int, str]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def find_account(self, name: str, weight: int) -> AccountState:
        """Return an account's state, created on first use.

        :param name: the account
        :param weight: its current weight, which replaces the stored one
        :returns: the state
        """
        state = self._accounts.get(name)
        if state is None:
            self._evict_idle()
            state = AccountState(name, weight, self._get_min_start())
            self._accounts[name] = state
        elif state.weight != max(weight, 1):
            if state.waiting:
                self._change_weight(state, max(weight, 1) - state.weight)
            state.weight = max(weight, 1)
        return state

    def count_waiting(self, name: str) -> int:
        """Return the number of an account's waiting jobs.

        :param name: the account
        :returns: the number
        """
        state = self._accounts.get(name)
        return state.waiting if state is not None else 0

    def count_requiring(
        self, version: str | None, rank: int | None = None
    ) -> int:
        """Return the number of waiting jobs with a required version.

        :param version: the software version; none for jobs without one
        :param rank: the lowest queue rank to count; none for all
        :returns: the number
        """
        return sum(
            state.versions[version]
            for number, state in self._ranks.items()
            if rank is None or number <= rank
        )

    def get_rank(self, rank: int) -> queue_entries.RankState | None:
        """Return the waiting jobs of a queue rank; none if there are none.

        :param rank: the queue rank
        """
        return self._ranks.get(rank)

    def list_ranks(self) -> list[int]:
        """Return the queue ranks of the waiting jobs, the highest first."""
        return sorted(self._ranks)

    def sum_cost_above(self, rank: int) -> float:
        """Return the cost of waiting jobs of higher queue ranks, in tokens.

        :param rank: the queue rank
        """
        return sum(
            state.cost
            for number, state in self._ranks.items()
            if number < rank
        )

    def get_virtual_start(self, name: str) -> float:
        """Return the virtual start that orders an account.

        :param name: the account
        :returns: its virtual start
        """
        state = self._accounts.get(name)
        if state is None:
            return self._get_min_start()
        return (
            state.virtual_start
            if state.waiting
            else self._get_idle_start(state)
        )

    def get_weight(self, name: str) -> int:
        """Return an account's weight; 1 for one without state.

        :param name: the account
        :returns: its weight
        """
        state = self._accounts.get(name)
        return state.weight if state is not None else 1

    def has_room(self, job: jobs.Job) -> bool:
        """Return whether the queue has capacity for another job.

        One account may use at most half of the queue, so that an account
        which sends several times its rate never causes rejections of the
        others.  The limits themselves bound the VM's memory, because bodies
        of waiting jobs are kept in full.

        :param job: the job
        :returns: whether it fits
        """
        return not self._exceeds(job) and not self._exceeds_share(job)

    def list_displaceable(
        self, job: jobs.Job, rank: int
    ) -> list[QueueEntry] | None:
        """Return the jobs to reject so that a job of a higher rank fits.

        :param job: the job
        :param rank: its queue rank
        :returns: the latest ones of the lowest queue ranks; none if that is
            not enough
        """
        displaced: list[QueueEntry] = []
        while self._exceeds_share(job, displaced):
            entry = self._find_last(rank, displaced, job.account)
            if entry is None:
                return None
            displaced.append(entry)
        while self._exceeds(job, displaced):
            entry = self._find_last(rank, displaced)
            if entry is None:
                return None
            displaced.append(entry)
        return displaced

    def _exceeds(
        self, job: jobs.Job, removed: collections.abc.Sequence[QueueEntry] = ()
    ) -> bool:
        size = self.bytes + job.body_bytes - _sum_bytes(removed)
        return (
            len(self._entries) + 1 - len(removed) > self.max_entries
            or size > self.max_bytes
        )

    def _exceeds_share(
        self, job: jobs.Job, removed: collections.abc.Sequence[QueueEntry] = ()
    ) -> bool:
        state = self.find_account(job.account, job.weight)
        size = state.bytes + job.body_bytes - _sum_bytes(removed)
        return (
            state.waiting + 1 - len(removed)
        ) * 2 > self.max_entries or size * 2 > self.max_bytes

    def _find_last(
        self,
        rank: int,
        excluded: list[QueueEntry],
        account: str | None = None,
    ) -> QueueEntry | None:
        """Return the latest job of the lowest rank below a queue rank."""
        if len(excluded) >= MAX_DISPLACED:
            return None
        return next(
            (
                entry
                for number in reversed(self.list_ranks())
                if number > rank
                for entry in reversed(self._ranks[number].entries.values())
                if entry not in excluded
                and (account is None or entry.job.account == account)
            ),
            None,
        )

    def push(self, entry: QueueEntry) -> None:
        """Add a job to the queue.

        :param entry: the job's entry
        """
        job = entry.job
        state = self.find_account(job.account, job.weight)
        if not state.waiting:
            state.virtual_start = self._get_idle_start(state)
            self.weight_waiting += state.weight
        rank = self._ranks.get(entry.rank)
        if rank is None:
            rank = self._ranks[entry.rank] = queue_entries.RankState()
        if not state.has_waiting(entry.rank):
            rank.order.add((state.virtual_start, state.name))
            rank.weight += state.weight
        rank.add(entry)
        state.get_lanes(entry.rank)[entry.lane][job.job_id] = entry
        state.waiting += 1
        state.bytes += job.body_bytes
        self.bytes += job.body_bytes
        self._entries[job.job_id] = entry
        heapq.heappush(
            self._expiry_heap,
            (entry.latest_start_ms, next(self._numbers), job.job_id),
        )

    def remove(self, job_id: str) -> QueueEntry | None:
        """Remove a job without charging its account.

        :param job_id: the job
        :returns: its entry, or none if it was not waiting
        """
        entry = self._entries.pop(job_id, None)
        if entry is None:
            return None
        job = entry.job
        state = self._accounts[job.account]
        del state.get_lanes(entry.rank)[entry.lane][job_id]
        self._remove_from_rank(entry, state)
        state.waiting -= 1
        state.bytes -= job.body_bytes
        self.bytes -= job.body_bytes
        if not state.waiting:
            self.weight_waiting -= state.weight
        return entry

    def _remove_from_rank(
        self, entry: QueueEntry, state: AccountState
    ) -> None:
        rank = self._ranks[entry.rank]
        rank.remove(entry)
        if not state.has_waiting(entry.rank):
            rank.order.remove((state.virtual_start, state.name))
            rank.weight -= state.weight
            state.lower_lanes.pop(entry.rank, None)
        if not rank.entries:
            del self._ranks[entry.rank]

    def list_entries(self) -> list[QueueEntry]:
        """Return all waiting entries, in no particular order."""
        return list(self._entries.values())

    def move(self, job_id: str, lane: Lane) -> None:
        """Move a waiting job to the end of another lane.

        :param job_id: the job
        :param lane: the lane
        """
        entry = self._entries[job_id]
        lanes = self._accounts[entry.job.account].get_lanes(entry.rank)
        del lanes[entry.lane][job_id]
        entry.lane = lane
        lanes[lane][job_id] = entry

    def pop_expired(self, now_ms: int) -> collections.abc.Iterator[QueueEntry]:
        """Remove the jobs that can no longer meet their deadline.

        :param now_ms: current time in milliseconds
        :returns: their entries
        """
        while self._expiry_heap and self._expiry_heap[0][0] <= now_ms:
            entry = self.remove(heapq.heappop(self._expiry_heap)[2])
            if entry is not None:
                yield entry

    def get_next_expiry_ms(self) -> int | None:
        """Return when the next waiting job expires, in ms; none if empty."""
        while (
            self._expiry_heap and self._expiry_heap[0][2] not in self._entries
        ):
            heapq.heappop(self._expiry_heap)
        return self._expiry_heap[0][0] if self._expiry_heap else None

    def list_next(
        self, limit: int, rank: int | None = None
    ) -> list[AccountState]:
        """Return the next accounts in fair order, without any change.

        :param limit: maximum number of accounts
        :param rank: the queue rank of which they have jobs; none for any
        :returns: the accounts in order
        """
        orders = [
            state.order
            for number, state in self._ranks.items()
            if rank is None or number == rank
        ]
        # An account is in each order once at most.
        merged = itertools.islice(heapq.merge(*orders), limit * len(orders))
        names = dict.fromkeys(name for _, name in merged)
        return [
            self._accounts[name] for name in itertools.islice(names, limit)
        ]

    def charge(self, name: str, weight: int, tokens: float) -> None:
        """Charge an account for tokens granted here or by a peer.

        :param name: the account
        :param weight: its weight
        :param tokens: number of tokens
        """
        state = self.find_account(name, weight)
        start = (
            state.virtual_start
            if state.waiting
            else self._get_idle_start(state)
        )
        self.virtual_time = max(self.virtual_time, start)
        self._set_start(state, start + tokens / state.weight)

    def adjust_charge(self, name: str, weight: int, tokens: float) -> None:
        """Correct an earlier charge that was an estimate.

        :param name: the account
        :param weight: its weight
        :param tokens: tokens to add; negative for a refund
        """
        state = self.find_account(name, weight)
        start = state.virtual_start + tokens / state.weight
        # A peer's refund may arrive before the charge that it corrects.
        self._set_start(state, max(start, self._get_min_start()))

    def _get_min_start(self) -> float:
        return max(self.virtual_time - MAX_CREDIT_TOKENS, 0.0)

    def _set_start(self, state: AccountState, start: float) -> None:
        for number in state.list_ranks() if state.waiting else ():
            order = self._ranks[number].order
            order.remove((state.virtual_start, state.name))
            order.add((start, state.name))
        state.virtual_start = start

    def _change_weight(self, state: AccountState, change: int) -> None:
        self.weight_waiting += change
        for number in state.list_ranks():
            self._ranks[number].weight += change

    def _get_idle_start(self, state: AccountState) -> float:
        return max(state.virtual_start, self._get_min_start())

    def _evict_idle(self) -> None:
        if len(self._accounts) < MAX_IDLE_ACCOUNTS:
            return
        self._accounts = {
            name: state
            for name, state in self._accounts.items()
            if state.waiting
            or state.virtual_start > self.virtual_time - MAX_CREDIT_TOKENS
        }


def _sum_bytes(entries: collections.abc.Iterable[QueueEntry]) -> int:
    return sum(entry.job.body_bytes for entry in entries)

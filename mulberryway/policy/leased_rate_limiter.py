"""Reserves an account's tokens from held slots and from loans.

Invariant: no account is granted more than its limit.
"""

import collections.abc

from mulberryway.policy import allowance
from mulberryway.policy import allowance_borrower
from mulberryway.policy import allowance_lender

__all__ = [
    "BorrowPlan",
    "ReservationSource",
    "LeasedRateLimiter",
    "LeasedReservation",
]

# Upper bound of the backoff after no slot holder could lend.  Without it, an
# account that sends several times its rate would cause several messages for
# each rejected request.
MAX_BACKOFF_MS = 500
MIN_BACKOFF_MS = 20
DEMAND_WINDOW_MS = 1_000


class ReservationSource:
    """Tokens that a reservation took from one loan.

    :param source: a loan from a slot of this VM or from another VM
    :param tokens: number of tokens
    """

    __slots__ = ("source", "tokens")

    def __init__(
        self,
        source: allowance_lender.Loan | allowance_borrower.BorrowedLoan,
        tokens: int,
    ) -> None:
        self.source = source
        self.tokens = tokens


class LeasedReservation(allowance.Reservation):
    """A reservation that records the sources of its tokens."""

    __slots__ = ("sources", "is_used")

    def __init__(
        self, account: str, tokens: int, sources: list[ReservationSource]
    ) -> None:
        super().__init__(account, tokens)
        self.sources = sources
        self.is_used = False


class BorrowPlan:
    """Numbers of tokens to request from other VMs.

    :param need: minimum number of tokens that is useful
    :param wish: desired number of tokens
    """

    __slots__ = ("need", "wish")

    def __init__(self, need: int, wish: int) -> None:
        self.need = need
        self.wish = wish


class _Demand:
    """Demand of one account on this VM, in tokens per second."""

    __slots__ = ("start_ms", "tokens", "per_window")

    def __init__(self, now_ms: int) -> None:
        self.start_ms = now_ms
        self.tokens = 0
        self.per_window = 0

    def add(self, tokens: int, now_ms: int) -> None:
        if now_ms - self.start_ms >= DEMAND_WINDOW_MS:
            is_next = now_ms - self.start_ms < 2 * DEMAND_WINDOW_MS
            self.per_window = self.tokens if is_next else 0
            self.start_ms, self.tokens = now_ms, 0
        self.tokens += tokens


class LeasedRateLimiter:
    """Local allowance state of one VM; holds no lock and does no I/O.

    :param lender: tokens in the slots of this VM
    :param borrower: loans from other VMs
    """

    def __init__(
        self,
        lender: allowance_lender.Lender,
        borrower: allowance_borrower.Borrower,
    ) -> None:
        self.lender = lender
        self.borrower = borrower
        self._demands: dict[str, _Demand] = {}
        self._backoffs: dict[str, tuple[int, int]] = {}
        self._deficits: dict[str, int] = {}

    def reserve(
        self, account: str, tokens: int, now_ms: int
    ) -> LeasedReservation | None:
        """Reserve tokens from those available on this VM.

        Loans are used first, earliest expiry first: their remaining tokens
        would otherwise be lost or cost a message to return.

        :param account: name of the client account
        :param tokens: requested number of tokens
        :param now_ms: current time in ms, read immediately before use
        :returns: the reservation, or None if there are too few tokens
        """
        requested = tokens + self._deficits.get(account, 0)
        if self.read_available(account, now_ms) < requested:
            return None
        sources = self._spend_loans(account, requested, now_ms)
        missing = requested - sum(entry.tokens for entry in sources)
        sources += [
            ReservationSource(loan, loan.tokens)
            for loan in self.lender.take(account, missing, now_ms)
        ]
        self._deficits.pop(account, None)
        return LeasedReservation(account, tokens, sources)

    def read_available(self, account: str, now_ms: int) -> int:
        """Return the number of tokens available on this VM.

        :param account: name of the client account
        :param now_ms: current time in ms, read immediately before use
        :returns: tokens
        """
        loans = self.borrower.list_usable(account, now_ms)
        buckets = self.lender.list_buckets(account, now_ms)
        return sum(loan.left for loan in loans) + sum(
            slot_bucket.bucket.read_level(now_ms) for slot_bucket in buckets
        )

    def commit(self, reservation: LeasedReservation, now_ms: int) -> bool:
        """Return whether a reservation is valid, and count it as used.

        The process may have been paused since it last read the clock.  The
        lease or loan behind the tokens may have expired meanwhile, and
        another VM may hold them now.  No error would show this, only an
        overrun of the account, so call this immediately before use.

        :param reservation: the reservation
        :param now_ms: current time in ms, read immediately before use
        :returns: whether its tokens may be used now
        """
        if reservation.is_used:
            # The request is retried on another upstream; it counts once.
            return True
        sources = [entry.source for entry in reservation.sources]
        if not all(self._is_usable(source, now_ms) for source in sources):
            return False
        for source in sources:
            if isinstance(source, allowance_lender.Loan):
                self.lender.commit(source, now_ms)
        reservation.is_used = True
        return True

    def settle(
        self, reservation: LeasedReservation, used: int, now_ms: int
    ) -> None:
        """Refund tokens that a request did not use.

        If a request used more than it reserved, because its prompt was
        longer than estimated, the difference is added to the account's next
        reservation.

        :param reservation: the reservation
        :param used: number of tokens used
        :param now_ms: current time in ms
        """
        account = reservation.account
        unused = reservation.tokens - used
        if unused < 0:
            self._deficits[account] = self._deficits.get(account, 0) - unused
        for entry in reservation.sources:
            amount = min(max(unused, 0), entry.tokens)
            unused -= amount
            if amount > 0:
                self._refund(entry, amount, now_ms)

    def plan(
        self, account: str, tokens: int, now_ms: int
    ) -> BorrowPlan | None:
        """Decide how many tokens to request from other VMs.

        Designed for accounts whose callers connect to few VMs.  Besides the
        tokens that the request lacks, about one second of demand is
        prefetched, so that most requests need no message.

        :param account: name of the client account
        :param tokens: number of tokens that a request needs
        :param now_ms: current time in ms
        :returns: the tokens to request, or None during the backoff and for a
            request that can never succeed
        """
        until_ms, rejected = self._backoffs.get(account, (0, 0))
        if now_ms < until_ms and tokens >= rejected:
            return None
        row = self.lender.find_account(account)
        if row is None or tokens > row.burst:
            return None
        requested = tokens + self._deficits.get(account, 0)
        need = requested - self.read_available(account, now_ms)
        demand = self._demands.get(account)
        prefetch = (
            0 if demand is None else max(demand.per_window, demand.tokens)
        )
        return BorrowPlan(max(need, 1), max(need, 1) + prefetch)

    def record_demand(self, account: str, tokens: int, now_ms: int) -> None:
        """Record an account's demand on this VM.

        :param account: name of the client account
        :param tokens: number of tokens that a request needs
        :param now_ms: current time in ms
        """
        if self.lender.find_account(account) is None:
            return
        demand = self._demands.setdefault(account, _Demand(now_ms))
        demand.add(tokens, now_ms)

    def record_refusal(self, account: str, tokens: int, now_ms: int) -> int:
        """Record that no VM could lend enough, and estimate a retry time.

        :param account: name of the client account
        :param tokens: number of tokens that the request needed
        :param now_ms: current time in ms
        :returns: time in ms until a retry is useful
        """
        row = self.lender.find_account(account)
        rate = 0 if row is None else row.rate
        missing = tokens - self.read_available(account, now_ms)
        wait_ms = max(missing, 1) * 1_000 // max(rate, 1)
        backoff_ms = min(max(wait_ms, MIN_BACKOFF_MS), MAX_BACKOFF_MS)
        until_ms, rejected = self._backoffs.get(account, (0, 0))
        if now_ms >= until_ms or tokens < rejected:
            self._backoffs[account] = (now_ms + backoff_ms, tokens)
        return max(wait_ms, MIN_BACKOFF_MS)

    def prune_accounts(self) -> None:
        """Remove the state of accounts that no longer exist."""
        for entries in (self._demands, self._backoffs, self._deficits):
            _remove_matching(
                entries, lambda name: self.lender.find_account(name) is None
            )

    def _spend_loans(
        self, account: str, tokens: int, now_ms: int
    ) -> list[ReservationSource]:
        sources = []
        for loan in self.borrower.list_usable(account, now_ms):
            amount = min(loan.left, tokens)
            if amount > 0:
                self.borrower.spend(loan, amount, now_ms)
                sources.append(ReservationSource(loan, amount))
                tokens -= amount
        return sources

    def _is_usable(
        self,
        source: allowance_lender.Loan | allowance_borrower.BorrowedLoan,
        now_ms: int,
    ) -> bool:
        if isinstance(source, allowance_borrower.BorrowedLoan):
            return now_ms < source.end_ms
        return self.lender.is_usable(source, now_ms)

    def _refund(
        self, entry: ReservationSource, tokens: int, now_ms: int
    ) -> None:
        source = entry.source
        if isinstance(source, allowance_borrower.BorrowedLoan):
            self.borrower.refund(source, tokens, now_ms)
        else:
            self.lender.settle(source, tokens, now_ms)


def _remove_matching(
    entries: dict[str, object],
    is_removed: collections.abc.Callable[[str], bool],
) -> None:
    for name in list(filter(is_removed, entries)):
        del entries[name]

"""Takes an account's tokens from shares and loans; a promise."""

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

# A refusal after all holders were asked stands for this long at most, so
# that an account which sends several times its rate does not make several
# messages out of each refused request.
MAX_BACKOFF_MS = 500
MIN_BACKOFF_MS = 20
DEMAND_WINDOW_MS = 1_000


class ReservationSource:
    """Tokens that a reservation took from one place.

    :param source: a share of this VM or a loan from another
    :param tokens: how many
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
    """A reservation that remembers where its tokens came from."""

    __slots__ = ("sources", "is_used")

    def __init__(
        self, account: str, tokens: int, sources: list[ReservationSource]
    ) -> None:
        super().__init__(account, tokens)
        self.sources = sources
        self.is_used = False


class BorrowPlan:
    """What to ask other VMs for.

    :param need: the fewest tokens that help
    :param wish: how many would be good
    """

    __slots__ = ("need", "wish")

    def __init__(self, need: int, wish: int) -> None:
        self.need = need
        self.wish = wish


class _Demand:
    """How many tokens an account takes here in a second, lately."""

    __slots__ = ("start_ms", "tokens", "per_window")

    def __init__(self, now_ms: int) -> None:
        self.start_ms = now_ms
        self.tokens = 0
        self.per_window = 0

    def note(self, tokens: int, now_ms: int) -> None:
        if now_ms - self.start_ms >= DEMAND_WINDOW_MS:
            is_next = now_ms - self.start_ms < 2 * DEMAND_WINDOW_MS
            self.per_window = self.tokens if is_next else 0
            self.start_ms, self.tokens = now_ms, 0
        self.tokens += tokens


class LeasedRateLimiter:
    """One VM's part in all allowances; holds no lock and does no I/O.

    :param lender: the shares of this VM
    :param borrower: the loans from other VMs
    """

    def __init__(
        self,
        lender: allowance_lender.Lender,
        borrower: allowance_borrower.Borrower,
    ) -> None:
        self.lender = lender
        self.borrower = borrower
        self._demands: dict[str, _Demand] = {}
        self._pauses: dict[str, tuple[int, int]] = {}
        self._debts: dict[str, int] = {}

    def reserve(
        self, account: str, tokens: int, now_ms: int
    ) -> LeasedReservation | None:
        """Take tokens from what is at hand.

        Loans go first, those that end first before the others: what is left
        of them would be lost or cost a message.

        :param account: the client account
        :param tokens: how many
        :param now_ms: the present, read just now
        :returns: the reservation; none if there are not enough
        """
        wanted = tokens + self._debts.get(account, 0)
        if self.read_available(account, now_ms) < wanted:
            return None
        pieces = self._spend_loans(account, wanted, now_ms)
        missing = wanted - sum(piece.tokens for piece in pieces)
        pieces += [
            ReservationSource(loan, loan.tokens)
            for loan in self.lender.take(account, missing, now_ms)
        ]
        self._debts.pop(account, None)
        return LeasedReservation(account, tokens, pieces)

    def read_available(self, account: str, now_ms: int) -> int:
        """Return the tokens that are at hand.

        :param account: the client account
        :param now_ms: the present, read just now
        :returns: tokens
        """
        loans = self.borrower.list_usable(account, now_ms)
        shares = self.lender.list_buckets(account, now_ms)
        return sum(loan.left for loan in loans) + sum(
            share.bucket.read_level(now_ms) for share in shares
        )

    def is_usable(self, reservation: LeasedReservation, now_ms: int) -> bool:
        """Tell whether a reservation's tokens may be used, and count them.

        The process may have been paused since it read the clock, and the
        lease or loan that the tokens came from may have ended meanwhile:
        another VM may have them now.  Nobody would notice but the account
        that gets too much; so this is asked right before the act.

        :param reservation: the reservation
        :param now_ms: the present, read just now
        :returns: whether they may
        """
        if reservation.is_used:
            # The request moves to another upstream; it counts once.
            return True
        sources = [piece.source for piece in reservation.sources]
        if not all(self._is_usable(source, now_ms) for source in sources):
            return False
        for source in sources:
            if isinstance(source, allowance_lender.Loan):
                self.lender.confirm(source, now_ms)
        reservation.is_used = True
        return True

    def settle(
        self, reservation: LeasedReservation, used: int, now_ms: int
    ) -> None:
        """Give back what a request did not use.

        A request that used more than it had reserved, because its prompt
        was longer than estimated, leaves a debt that the account's next
        request pays.

        :param reservation: what was taken
        :param used: what was used
        :param now_ms: the present
        """
        account = reservation.account
        unused = reservation.tokens - used
        if unused < 0:
            self._debts[account] = self._debts.get(account, 0) - unused
        for piece in reservation.sources:
            part = min(max(unused, 0), piece.tokens)
            unused -= part
            if part > 0:
                self._put_back(piece, part, now_ms)

    def plan(
        self, account: str, tokens: int, now_ms: int
    ) -> BorrowPlan | None:
        """Decide how many tokens to ask other VMs for.

        The load that this is made for: an account whose callers meet few
        VMs.  Besides what the request lacks, about a second's demand is
        asked for, so that most requests need no message.

        :param account: the client account
        :param tokens: what a request wants
        :param now_ms: the present
        :returns: what to ask for; none if asking is of no use now
        """
        until_ms, refused = self._pauses.get(account, (0, 0))
        if now_ms < until_ms and tokens >= refused:
            return None
        row = self.lender.find_account(account)
        if row is None or tokens > row.burst:
            return None
        wanted = tokens + self._debts.get(account, 0)
        need = wanted - self.read_available(account, now_ms)
        demand = self._demands.get(account)
        ahead = 0 if demand is None else max(demand.per_window, demand.tokens)
        return BorrowPlan(max(need, 1), max(need, 1) + ahead)

    def record_demand(self, account: str, tokens: int, now_ms: int) -> None:
        """Count what an account wants here.

        :param account: the client account
        :param tokens: what a request wants
        :param now_ms: the present
        """
        if self.lender.find_account(account) is None:
            return
        demand = self._demands.setdefault(account, _Demand(now_ms))
        demand.note(tokens, now_ms)

    def record_refusal(self, account: str, tokens: int, now_ms: int) -> int:
        """Take in that no VM could help, and estimate when one can.

        :param account: the client account
        :param tokens: what the request wanted
        :param now_ms: the present
        :returns: milliseconds until another try makes sense
        """
        row = self.lender.find_account(account)
        rate = 0 if row is None else row.rate
        missing = tokens - self.read_available(account, now_ms)
        wait_ms = max(missing, 1) * 1_000 // max(rate, 1)
        pause_ms = min(max(wait_ms, MIN_BACKOFF_MS), MAX_BACKOFF_MS)
        until_ms, refused = self._pauses.get(account, (0, 0))
        if now_ms >= until_ms or tokens < refused:
            self._pauses[account] = (now_ms + pause_ms, tokens)
        return max(wait_ms, MIN_BACKOFF_MS)

    def prune_accounts(self) -> None:
        """Forget what is remembered of accounts that are gone."""
        for memory in (self._demands, self._pauses, self._debts):
            _drop(memory, lambda name: self.lender.find_account(name) is None)

    def _spend_loans(
        self, account: str, tokens: int, now_ms: int
    ) -> list[ReservationSource]:
        pieces = []
        for loan in self.borrower.list_usable(account, now_ms):
            part = min(loan.left, tokens)
            if part > 0:
                self.borrower.spend(loan, part, now_ms)
                pieces.append(ReservationSource(loan, part))
                tokens -= part
        return pieces

    def _is_usable(
        self,
        source: allowance_lender.Loan | allowance_borrower.BorrowedLoan,
        now_ms: int,
    ) -> bool:
        if isinstance(source, allowance_borrower.BorrowedLoan):
            return now_ms < source.end_ms
        return self.lender.is_usable(source, now_ms)

    def _put_back(
        self, piece: ReservationSource, tokens: int, now_ms: int
    ) -> None:
        source = piece.source
        if isinstance(source, allowance_borrower.BorrowedLoan):
            self.borrower.refund(source, tokens, now_ms)
        else:
            self.lender.settle(source, tokens, now_ms)


def _drop(
    memory: dict[str, object], is_gone: collections.abc.Callable[[str], bool]
) -> None:
    for name in list(filter(is_gone, memory)):
        del memory[name]

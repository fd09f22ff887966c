"""The tokens of the shares that this VM holds, and what it lent; a promise."""

import collections
import heapq
import itertools

from mulberryway import tables
from mulberryway.policy import allowance_slots
from mulberryway.policy import allowance_times
from mulberryway.policy import slot_lease_manager
from mulberryway.policy import token_bucket

__all__ = ["Lender", "Loan", "SlotBucket"]

# A loan may take this part of what is there beyond the borrower's need, so
# that one caller's VM does not empty a share before the others come.
SURPLUS_LOAN_DIVISOR = 4
# An account whose burst lasts only a moment gets shorter loans, else its
# tokens would be out on loan most of the time.
MIN_LOAN_MS = 200


class SlotBucket:
    """One account's tokens in one slot, for as long as the slot is held.

    :param slot: the slot
    :param holding: the holding under which it was made
    :param bucket: the tokens
    """

    __slots__ = ("slot", "holding", "bucket")

    def __init__(
        self,
        slot: int,
        holding: allowance_slots.Holding,
        bucket: token_bucket.TokenBucket,
    ) -> None:
        self.slot = slot
        self.holding = holding
        self.bucket = bucket


class Loan:
    """Tokens lent to another VM, or taken for a request of this one.

    :param share: where they came from
    :param tokens: how many
    :param length_ms: how long the borrower may use them
    :param lapse_ms: when they surely cannot be used any more
    """

    __slots__ = (
        "share",
        "tokens",
        "length_ms",
        "lapse_ms",
        "returned",
        "stamp",
    )

    def __init__(
        self,
        share: SlotBucket | None,
        tokens: int,
        length_ms: int,
        lapse_ms: int,
    ) -> None:
        self.share = share
        self.tokens = tokens
        self.length_ms = length_ms
        self.lapse_ms = lapse_ms
        self.returned = 0
        # Set once the loan has ended; refunds are reckoned from there.
        self.stamp: int | None = None


LoanId = tuple[str, int]


class Lender:
    """Spends and lends from the buckets of the held slots.

    :param keeper: knows which slots are held
    :param times: durations
    :param groups: into how many groups accounts are sorted
    :param parts: into how many parts each allowance is divided
    """

    def __init__(
        self,
        keeper: slot_lease_manager.SlotLeaseManager,
        times: allowance_times.AllowanceTimes,
        groups: int,
        parts: int,
    ) -> None:
        self._keeper = keeper
        self._times = times
        self._groups = groups
        self._parts = parts
        self._accounts: dict[str, tables.ClientAccount] = {}
        self._since_ms: dict[str, int] = {}
        self._gone_ms: dict[str, int] = {}
        self._shares: dict[tuple[str, int], SlotBucket] = {}
        self._loans: dict[LoanId, Loan] = {}
        self._numbers = itertools.count(1)
        self._open: list[tuple[int, LoanId]] = []
        self._ended: collections.deque[tuple[int, LoanId]] = (
            collections.deque()
        )

    def update_accounts(
        self, accounts: dict[str, tables.ClientAccount], now_ms: int
    ) -> None:
        """Go over to other rates and bursts.

        An account that was gone and is back begins empty, and only after
        loans from before have ended: edits must not bring a second burst.

        :param accounts: all client accounts
        :param now_ms: the present
        """
        for name in self._accounts.keys() - accounts.keys():
            del self._since_ms[name]
            self._gone_ms[name] = now_ms
        self._gone_ms = {
            name: gone_ms
            for name, gone_ms in self._gone_ms.items()
            if now_ms - gone_ms < self._times.lapse_ms
        }
        gone = [key for key in self._shares if key[0] not in accounts]
        for key in gone:
            del self._shares[key]
        for name in accounts.keys() - self._accounts.keys():
            lapsed_ms = self._gone_ms.pop(name, 0) + self._times.lapse_ms
            self._since_ms[name] = max(now_ms, lapsed_ms)
        self._accounts = dict(accounts)
        for (name, _), share in self._shares.items():
            account = accounts[name]
            share.bucket.change(account.rate, account.burst, now_ms)

    def find_account(self, name: str) -> tables.ClientAccount | None:
        """Return a client account.

        :param name: its name
        :returns: its row; none if it is not known
        """
        return self._accounts.get(name)

    def list_buckets(self, account: str, now_ms: int) -> list[SlotBucket]:
        """Return the account's shares that may be used now.

        :param account: the client account
        :param now_ms: the present, read just now
        :returns: shares, the fullest first
        """
        if account not in self._accounts:
            return []
        first = (
            allowance_slots.compute_group(account, self._groups) * self._parts
        )
        holdings = (
            self._keeper.find(slot, now_ms)
            for slot in range(first, first + self._parts)
        )
        shares = [
            self._find_share(account, holding)
            for holding in holdings
            if holding is not None
        ]
        shares.sort(key=lambda one: -one.bucket.read_level(now_ms))
        return shares

    def lend(
        self, loan_id: LoanId, account: str, need: int, wish: int, now_ms: int
    ) -> Loan:
        """Lend tokens; the same request gets the same loan.

        A request that was sent twice, or whose copy comes late, must not
        take tokens twice.  The tokens leave the bucket before the borrower
        hears of them, so a lost answer loses tokens and never makes any.

        :param loan_id: names the request
        :param account: the client account
        :param need: the fewest tokens that help
        :param wish: how many would be good
        :param now_ms: the present, read just now
        :returns: the loan, perhaps of no tokens
        """
        known = self._loans.get(loan_id)
        if known is not None:
            return known
        self.expire(now_ms)
        shares = self.list_buckets(account, now_ms)
        if not shares:
            return Loan(None, 0, 0, now_ms)
        return self._lend(loan_id, shares[0], need, wish, now_ms)

    def read_lendable(self, account: str, now_ms: int) -> int:
        """Return the most tokens that one more loan could have.

        :param account: the client account
        :param now_ms: the present
        :returns: tokens
        """
        shares = self.list_buckets(account, now_ms)
        return shares[0].bucket.read_level(now_ms) if shares else 0

    def close(self, loan_id: LoanId, returned: int, now_ms: int) -> None:
        """End a loan whose borrower will not use it any more.

        The borrower tells how many tokens came back in total, so that a
        message which comes twice or late counts once.

        :param loan_id: names the loan
        :param returned: unused tokens, over all closings of this loan
        :param now_ms: the present
        """
        loan = self._loans.get(loan_id)
        if loan is None or not self._is_held(loan.share):
            return
        more = max(min(returned, loan.tokens) - loan.returned, 0)
        loan.returned += more
        if loan.stamp is None:
            self._end(loan, more, now_ms)
        elif more > 0:
            loan.share.bucket.refund(more, loan.stamp, now_ms)

    def expire(self, now_ms: int) -> None:
        """End loans that have lapsed, and forget those long ended.

        :param now_ms: the present
        """
        while self._open and self._open[0][0] <= now_ms:
            loan_id = heapq.heappop(self._open)[1]
            loan = self._loans[loan_id]
            if loan.stamp is None:
                self._end(loan, 0, now_ms)
            forget_ms = now_ms + self._times.refund_window_ms
            self._ended.append((forget_ms, loan_id))
        while self._ended and self._ended[0][0] <= now_ms:
            del self._loans[self._ended.popleft()[1]]

    def take(self, account: str, tokens: int, now_ms: int) -> list[Loan]:
        """Take tokens for a request of this VM, as much as there is.

        Until the request is about to run the tokens are on loan to it: a
        process that is paused in between must not find its buckets full
        again and spend a second burst beside the first.

        :param account: the client account
        :param tokens: how many
        :param now_ms: the present, read just now
        :returns: loans that end by themselves if nobody confirms them
        """
        loans = []
        for share in self.list_buckets(account, now_ms):
            part = min(share.bucket.read_level(now_ms), tokens)
            if part > 0 and share.bucket.lend(part, now_ms):
                loan_id = ("", next(self._numbers))
                lapse_ms = now_ms + self._times.reservation_ttl_ms
                loan = Loan(
                    share, part, self._times.reservation_ttl_ms, lapse_ms
                )
                self._keep(loan_id, loan)
                tokens -= part
                loans.append(loan)
        return loans

    def is_usable(self, loan: Loan, now_ms: int) -> bool:
        """Tell whether tokens that were taken here may be used now.

        :param loan: from :meth:`take`
        :param now_ms: the present, read just now
        :returns: whether they may
        """
        share = loan.share
        is_held = self._keeper.find(share.slot, now_ms) is share.holding
        return is_held and loan.stamp is None and now_ms < loan.lapse_ms

    def confirm(self, loan: Loan, now_ms: int) -> None:
        """Count tokens that were taken here as used now.

        :param loan: from :meth:`take`
        :param now_ms: the present
        """
        if loan.stamp is None:
            self._end(loan, 0, now_ms)

    def settle(self, loan: Loan, returned: int, now_ms: int) -> None:
        """Take back what a request of this VM did not use.

        :param loan: from :meth:`take`
        :param returned: how many tokens
        :param now_ms: the present
        """
        if not self._is_held(loan.share):
            return
        if loan.stamp is None:
            self._end(loan, returned, now_ms)
        else:
            loan.share.bucket.refund(returned, loan.stamp, now_ms)

    def _lend(
        self,
        loan_id: LoanId,
        share: SlotBucket,
        need: int,
        wish: int,
        now_ms: int,
    ) -> Loan:
        bucket = share.bucket
        level = bucket.read_level(now_ms)
        extra = min(
            max(wish - need, 0), max(level - need, 0) // SURPLUS_LOAN_DIVISOR
        )
        tokens = min(need + extra, level)
        length_ms = self._choose_length(bucket)
        lapse_ms = now_ms + length_ms + self._times.loan_margin_ms
        loan = Loan(share, tokens, length_ms, lapse_ms)
        if tokens <= 0 or not bucket.lend(tokens, now_ms):
            loan.tokens = 0
            return loan
        self._keep(loan_id, loan)
        return loan

    def _keep(self, loan_id: LoanId, loan: Loan) -> None:
        self._loans[loan_id] = loan
        heapq.heappush(self._open, (loan.lapse_ms, loan_id))

    def _choose_length(self, bucket: token_bucket.TokenBucket) -> int:
        half_ms = bucket.burst * 500 // max(bucket.rate, 1)
        longest_ms = self._times.loan_ms
        return min(max(half_ms, min(MIN_LOAN_MS, longest_ms)), longest_ms)

    def _end(self, loan: Loan, returned: int, now_ms: int) -> None:
        loan.share.bucket.end_loan(loan.tokens, returned, now_ms)
        loan.stamp = loan.share.bucket.stamp(now_ms)

    def _find_share(
        self, account: str, holding: allowance_slots.Holding
    ) -> SlotBucket:
        key = (account, holding.slot)
        share = self._shares.get(key)
        if share is None or share.holding is not holding:
            row = self._accounts[account]
            start_ms = max(holding.start_ms, self._since_ms[account])
            bucket = token_bucket.TokenBucket(
                row.rate, row.burst, self._parts, start_ms
            )
            share = SlotBucket(holding.slot, holding, bucket)
            self._shares[key] = share
        return share

    def _is_held(self, share: SlotBucket | None) -> bool:
        if share is None:
            return False
        return self._keeper.holdings.get(share.slot) is share.holding

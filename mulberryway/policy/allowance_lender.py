"""Token buckets of the slots that this VM holds, and the loans from them.

Invariant: no account is granted more than its limit.
"""

import collections
import heapq
import itertools

from mulberryway import tables
from mulberryway.policy import allowance_slots
from mulberryway.policy import allowance_times
from mulberryway.policy import slot_lease_manager
from mulberryway.policy import token_bucket

__all__ = ["Lender", "Loan", "SlotBucket"]

# Of the tokens beyond the borrower's need, a loan gets at most one divided by
# this, so that one VM does not empty a slot bucket before other VMs borrow
# from it.
SURPLUS_LOAN_DIVISOR = 4
# Lower bound for loans of accounts with a small burst.  Their loans are
# shortened, else most of their tokens would be on loan most of the time.
MIN_LOAN_MS = 200


class SlotBucket:
    """One account's tokens in one slot, while this VM holds the slot.

    :param slot: number of the slot
    :param holding: the holding under which the bucket was created
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
    """Tokens lent to another VM, or reserved for a request of this VM.

    :param share: the slot bucket that the tokens were taken from
    :param tokens: number of tokens
    :param length_ms: for how long in ms the borrower may use them
    :param expires_ms: time in ms from which they cannot be used any more
    """

    __slots__ = (
        "share",
        "tokens",
        "length_ms",
        "expires_ms",
        "returned",
        "refund_stamp",
    )

    def __init__(
        self,
        share: SlotBucket | None,
        tokens: int,
        length_ms: int,
        expires_ms: int,
    ) -> None:
        self.share = share
        self.tokens = tokens
        self.length_ms = length_ms
        self.expires_ms = expires_ms
        self.returned = 0
        # Set when the loan ends; later refunds are limited from this mark.
        self.refund_stamp: int | None = None


LoanId = tuple[str, int]


class Lender:
    """Spends and lends tokens from the buckets of the held slots.

    :param lease_manager: tracks which slots this VM holds
    :param times: durations of loans and margins
    :param groups: number of groups that accounts are hashed into
    :param parts: number of equal partitions of each allowance
    """

    def __init__(
        self,
        lease_manager: slot_lease_manager.SlotLeaseManager,
        times: allowance_times.AllowanceTimes,
        groups: int,
        parts: int,
    ) -> None:
        self._lease_manager = lease_manager
        self._times = times
        self._groups = groups
        self._parts = parts
        self._accounts: dict[str, tables.ClientAccount] = {}
        self._fill_start_ms: dict[str, int] = {}
        self._removed_ms: dict[str, int] = {}
        self._buckets: dict[tuple[str, int], SlotBucket] = {}
        self._loans: dict[LoanId, Loan] = {}
        self._numbers = itertools.count(1)
        self._open: list[tuple[int, LoanId]] = []
        self._ended: collections.deque[tuple[int, LoanId]] = (
            collections.deque()
        )

    def update_accounts(
        self, accounts: dict[str, tables.ClientAccount], now_ms: int
    ) -> None:
        """Apply changed accounts, rates and bursts.

        An account that was removed and added again starts empty, and only
        after earlier loans have expired, so that edits do not allow a burst
        twice in one window.

        :param accounts: all client accounts, by name
        :param now_ms: current time in ms
        """
        for name in self._accounts.keys() - accounts.keys():
            del self._fill_start_ms[name]
            self._removed_ms[name] = now_ms
        self._removed_ms = {
            name: removed_ms
            for name, removed_ms in self._removed_ms.items()
            if now_ms - removed_ms < self._times.max_loan_ms
        }
        removed = [key for key in self._buckets if key[0] not in accounts]
        for key in removed:
            del self._buckets[key]
        for name in accounts.keys() - self._accounts.keys():
            expired_ms = (
                self._removed_ms.pop(name, 0) + self._times.max_loan_ms
            )
            self._fill_start_ms[name] = max(now_ms, expired_ms)
        self._accounts = dict(accounts)
        for (name, _), slot_bucket in self._buckets.items():
            account = accounts[name]
            slot_bucket.bucket.update_limits(
                account.rate, account.burst, now_ms
            )

    def find_account(self, name: str) -> tables.ClientAccount | None:
        """Return a client account.

        :param name: name of the account
        :returns: its table row, or None if it is unknown
        """
        return self._accounts.get(name)

    def list_buckets(self, account: str, now_ms: int) -> list[SlotBucket]:
        """Return the account's slot buckets that may be used now.

        :param account: name of the client account
        :param now_ms: current time in ms, read immediately before use
        :returns: slot buckets, fullest first
        """
        if account not in self._accounts:
            return []
        first = (
            allowance_slots.compute_group(account, self._groups) * self._parts
        )
        holdings = (
            self._lease_manager.find_valid(slot, now_ms)
            for slot in range(first, first + self._parts)
        )
        buckets = [
            self._find_bucket(account, holding)
            for holding in holdings
            if holding is not None
        ]
        buckets.sort(key=lambda item: -item.bucket.read_level(now_ms))
        return buckets

    def lend(
        self, loan_id: LoanId, account: str, need: int, wish: int, now_ms: int
    ) -> Loan:
        """Lend tokens; a duplicate request gets the same loan.

        A request that is sent twice or whose duplicate arrives late must not
        take tokens twice.  Tokens leave the bucket before the response is
        sent, so a lost response loses tokens but never creates any.

        :param loan_id: identifies the request
        :param account: name of the client account
        :param need: minimum number of tokens that is useful
        :param wish: desired number of tokens
        :param now_ms: current time in ms, read immediately before use
        :returns: the loan, possibly of no tokens
        """
        known = self._loans.get(loan_id)
        if known is not None:
            return known
        self.expire(now_ms)
        buckets = self.list_buckets(account, now_ms)
        if not buckets:
            return Loan(None, 0, 0, now_ms)
        return self._lend(loan_id, buckets[0], need, wish, now_ms)

    def read_lendable(self, account: str, now_ms: int) -> int:
        """Return the maximum number of tokens that one more loan could have.

        :param account: name of the client account
        :param now_ms: current time in ms
        :returns: tokens
        """
        buckets = self.list_buckets(account, now_ms)
        return buckets[0].bucket.read_level(now_ms) if buckets else 0

    def close(self, loan_id: LoanId, returned: int, now_ms: int) -> None:
        """End a loan that its borrower will not use any more.

        The borrower sends the total number of returned tokens, so a
        duplicate or late message counts once.

        :param loan_id: identifies the loan
        :param returned: unused tokens, summed over all closings of this loan
        :param now_ms: current time in ms
        """
        loan = self._loans.get(loan_id)
        if loan is None or not self._is_held(loan.share):
            return
        increase = max(min(returned, loan.tokens) - loan.returned, 0)
        loan.returned += increase
        if loan.refund_stamp is None:
            self._end_loan(loan, increase, now_ms)
        elif increase > 0:
            loan.share.bucket.refund(increase, loan.refund_stamp, now_ms)

    def expire(self, now_ms: int) -> None:
        """End expired loans, and remove those past the refund window.

        :param now_ms: current time in ms
        """
        while self._open and self._open[0][0] <= now_ms:
            loan_id = heapq.heappop(self._open)[1]
            loan = self._loans[loan_id]
            if loan.refund_stamp is None:
                self._end_loan(loan, 0, now_ms)
            remove_ms = now_ms + self._times.refund_window_ms
            self._ended.append((remove_ms, loan_id))
        while self._ended and self._ended[0][0] <= now_ms:
            del self._loans[self._ended.popleft()[1]]

    def take(self, account: str, tokens: int, now_ms: int) -> list[Loan]:
        """Reserve tokens for a request of this VM, as many as available.

        Until the request is about to run, the tokens are on loan to it.  A
        process that was paused in between must not find its buckets full
        again and spend a second burst besides the reserved one.

        :param account: name of the client account
        :param tokens: requested number of tokens
        :param now_ms: current time in ms, read immediately before use
        :returns: loans that expire unless they are confirmed
        """
        loans = []
        for slot_bucket in self.list_buckets(account, now_ms):
            amount = min(slot_bucket.bucket.read_level(now_ms), tokens)
            if amount > 0 and slot_bucket.bucket.lend(amount, now_ms):
                loan_id = ("", next(self._numbers))
                expires_ms = now_ms + self._times.reservation_ttl_ms
                loan = Loan(
                    slot_bucket,
                    amount,
                    self._times.reservation_ttl_ms,
                    expires_ms,
                )
                self._add_loan(loan_id, loan)
                tokens -= amount
                loans.append(loan)
        return loans

    def is_usable(self, loan: Loan, now_ms: int) -> bool:
        """Return whether tokens reserved on this VM may be used now.

        :param loan: a loan returned by :meth:`take`
        :param now_ms: current time in ms, read immediately before use
        :returns: whether the slot is still held and the loan has not expired
        """
        slot_bucket = loan.share
        is_held = (
            self._lease_manager.find_valid(slot_bucket.slot, now_ms)
            is slot_bucket.holding
        )
        return (
            is_held and loan.refund_stamp is None and now_ms < loan.expires_ms
        )

    def commit(self, loan: Loan, now_ms: int) -> None:
        """Count tokens reserved on this VM as used now.

        :param loan: a loan returned by :meth:`take`
        :param now_ms: current time in ms
        """
        if loan.refund_stamp is None:
            self._end_loan(loan, 0, now_ms)

    def settle(self, loan: Loan, returned: int, now_ms: int) -> None:
        """Refund tokens that a request of this VM did not use.

        :param loan: a loan returned by :meth:`take`
        :param returned: number of tokens to refund
        :param now_ms: current time in ms
        """
        if not self._is_held(loan.share):
            return
        if loan.refund_stamp is None:
            self._end_loan(loan, returned, now_ms)
        else:
            loan.share.bucket.refund(returned, loan.refund_stamp, now_ms)

    def _lend(
        self,
        loan_id: LoanId,
        slot_bucket: SlotBucket,
        need: int,
        wish: int,
        now_ms: int,
    ) -> Loan:
        bucket = slot_bucket.bucket
        level = bucket.read_level(now_ms)
        extra = min(
            max(wish - need, 0), max(level - need, 0) // SURPLUS_LOAN_DIVISOR
        )
        tokens = min(need + extra, level)
        length_ms = self._choose_length(bucket)
        expires_ms = now_ms + length_ms + self._times.loan_margin_ms
        loan = Loan(slot_bucket, tokens, length_ms, expires_ms)
        if tokens <= 0 or not bucket.lend(tokens, now_ms):
            loan.tokens = 0
            return loan
        self._add_loan(loan_id, loan)
        return loan

    def _add_loan(self, loan_id: LoanId, loan: Loan) -> None:
        self._loans[loan_id] = loan
        heapq.heappush(self._open, (loan.expires_ms, loan_id))

    def _choose_length(self, bucket: token_bucket.TokenBucket) -> int:
        half_ms = bucket.burst * 500 // max(bucket.rate, 1)
        max_ms = self._times.loan_ms
        return min(max(half_ms, min(MIN_LOAN_MS, max_ms)), max_ms)

    def _end_loan(self, loan: Loan, returned: int, now_ms: int) -> None:
        loan.share.bucket.end_loan(loan.tokens, returned, now_ms)
        loan.refund_stamp = loan.share.bucket.mark(now_ms)

    def _find_bucket(
        self, account: str, holding: allowance_slots.Holding
    ) -> SlotBucket:
        key = (account, holding.slot)
        slot_bucket = self._buckets.get(key)
        if slot_bucket is None or slot_bucket.holding is not holding:
            row = self._accounts[account]
            start_ms = max(holding.start_ms, self._fill_start_ms[account])
            bucket = token_bucket.TokenBucket(
                row.rate, row.burst, self._parts, start_ms
            )
            slot_bucket = SlotBucket(holding.slot, holding, bucket)
            self._buckets[key] = slot_bucket
        return slot_bucket

    def _is_held(self, slot_bucket: SlotBucket | None) -> bool:
        if slot_bucket is None:
            return False
        return (
            self._lease_manager.holdings.get(slot_bucket.slot)
            is slot_bucket.holding
        )

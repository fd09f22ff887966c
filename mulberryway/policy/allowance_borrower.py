"""Loans of rate limit tokens that this VM received from other VMs.

Invariant: no account is granted more than its limit.
"""

import itertools

from mulberryway.policy import allowance_times

__all__ = ["BorrowedLoan", "Borrower", "Closing"]

# Unused tokens are returned this long before the loan expires, so that the
# message reaches the lender in time.
EARLY_RETURN_MS = 150
# Returns a whole loan: lenders accept at most what they have lent.
RETURN_ALL_TOKENS = 1 << 40


class BorrowedLoan:
    """One loan from the borrower's point of view.

    :param number: identifies the loan together with this process
    :param peer: ``host:port`` of the lender
    :param account: name of the client account
    :param tokens: number of tokens lent
    :param end_ms: expiry in ms, measured from before the request was sent
    :param now_ms: current time in ms
    """

    __slots__ = (
        "number",
        "peer",
        "account",
        "left",
        "end_ms",
        "used_ms",
        "returned",
        "is_closed",
    )

    def __init__(
        self,
        number: int,
        peer: str,
        account: str,
        tokens: int,
        end_ms: int,
        now_ms: int,
    ) -> None:
        self.number = number
        self.peer = peer
        self.account = account
        self.left = tokens
        self.end_ms = end_ms
        self.used_ms = now_ms
        self.returned = 0
        self.is_closed = False

    def is_usable(self, now_ms: int) -> bool:
        """Return whether its tokens may be used now.

        :param now_ms: current time in ms, read immediately before use
        :returns: whether the loan is open and has not expired
        """
        return not self.is_closed and now_ms < self.end_ms


class Closing:
    """A message that returns a loan's unused tokens to its lender.

    :param peer: ``host:port`` of the lender
    :param number: number of the loan
    :param returned: unused tokens, summed over all closings of this loan
    """

    __slots__ = ("peer", "number", "returned")

    def __init__(self, peer: str, number: int, returned: int) -> None:
        self.peer = peer
        self.number = number
        self.returned = returned


class Borrower:
    """Tracks borrowed loans and decides when to return them.

    :param times: durations of loans and margins
    """

    def __init__(self, times: allowance_times.AllowanceTimes) -> None:
        self._times = times
        self._numbers = itertools.count(1)
        self._requested: set[int] = set()
        self._open: dict[str, list[BorrowedLoan]] = {}
        self._unsent: dict[int, BorrowedLoan] = {}

    def allocate_number(self) -> int:
        """Return a number for a new loan; no number is used twice."""
        number = next(self._numbers)
        self._requested.add(number)
        return number

    def complete_request(self, number: int, loan: BorrowedLoan | None) -> None:
        """Store the outcome of a loan request; duplicates are ignored.

        :param number: number of the loan
        :param loan: the loan, or None if the lender did not answer
        """
        if number not in self._requested:
            return
        self._requested.discard(number)
        if loan is not None:
            self._open.setdefault(loan.account, []).append(loan)

    def abandon(self, number: int, peer: str) -> None:
        """Return a loan whose response was lost; it is never used.

        :param number: number of the loan
        :param peer: ``host:port`` of the lender
        """
        self.complete_request(number, None)
        abandoned = BorrowedLoan(number, peer, "", 0, 0, 0)
        abandoned.returned = RETURN_ALL_TOKENS
        self._unsent[number] = abandoned

    def list_usable(self, account: str, now_ms: int) -> list[BorrowedLoan]:
        """Return the loans that an account may use now.

        :param account: name of the client account
        :param now_ms: current time in ms, read immediately before use
        :returns: loans ordered by expiry, earliest first
        """
        loans = self._open.get(account, ())
        usable = [one for one in loans if one.left and one.is_usable(now_ms)]
        return sorted(usable, key=lambda item: item.end_ms)

    def spend(self, loan: BorrowedLoan, tokens: int, now_ms: int) -> None:
        """Use tokens of a usable loan.

        :param loan: the loan
        :param tokens: number of tokens, at most the remaining ones
        :param now_ms: current time in ms
        """
        loan.left -= tokens
        loan.used_ms = now_ms

    def refund(self, loan: BorrowedLoan, tokens: int, now_ms: int) -> None:
        """Refund tokens that a request did not use.

        Until the loan expires, this VM can use them again.  Afterwards they
        are returned to the lender.

        :param loan: the loan that the tokens were taken from
        :param tokens: number of tokens
        :param now_ms: current time in ms
        """
        if loan.is_usable(now_ms):
            loan.left += tokens
        elif now_ms < loan.end_ms + self._times.refund_window_ms:
            loan.returned += tokens
            self._unsent[loan.number] = loan

    def collect_closings(
        self, now_ms: int, closes_all: bool = False
    ) -> list[Closing]:
        """Close loans that are due, and return the messages to send.

        A loan that was announced as closed is never used again, because the
        lender may already have lent its tokens to another VM.

        :param now_ms: current time in ms
        :param closes_all: close all loans, for a graceful shutdown
        :returns: messages for the lenders; a lost one only loses tokens
        """
        for account, loans in list(self._open.items()):
            due = [
                item
                for item in loans
                if closes_all or self._must_close(item, now_ms)
            ]
            for loan in due:
                self._close(loan)
            remaining = [item for item in loans if not item.is_closed]
            self._open[account] = remaining
            if not remaining:
                del self._open[account]
        unsent, self._unsent = self._unsent, {}
        return [
            Closing(loan.peer, loan.number, loan.returned)
            for loan in unsent.values()
        ]

    def count(self) -> int:
        """Return the number of open loans."""
        return sum(map(len, self._open.values()))

    def _must_close(self, loan: BorrowedLoan, now_ms: int) -> bool:
        # A used-up loan is closed at once.  Until then the lender reserves
        # bucket capacity for it, and refilled tokens would overflow.
        is_ending = now_ms >= loan.end_ms - EARLY_RETURN_MS
        is_idle = now_ms - loan.used_ms >= self._times.idle_ms
        return is_ending or is_idle or loan.left == 0

    def _close(self, loan: BorrowedLoan) -> None:
        loan.is_closed = True
        loan.returned += loan.left
        loan.left = 0
        self._unsent[loan.number] = loan

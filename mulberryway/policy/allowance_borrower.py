"""Tokens that this VM has on loan from others; a promise."""

import itertools

from mulberryway.policy import allowance_times

__all__ = ["BorrowedLoan", "Borrower", "Closing"]

# Unused tokens go back this long before their end, to arrive in time.
EARLY_RETURN_MS = 150
# A lender takes no more back than it has lent.
RETURN_ALL_TOKENS = 1 << 40


class BorrowedLoan:
    """One loan as its borrower sees it.

    :param number: names it, together with this process
    :param peer: the lender's ``host:port``
    :param account: the client account
    :param tokens: what was lent
    :param end_ms: when it ends, counted from before it was asked for
    :param now_ms: the present
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
        """Tell whether its tokens may be used; asked right before the act.

        :param now_ms: the present, read just now
        :returns: whether they may
        """
        return not self.is_closed and now_ms < self.end_ms


class Closing:
    """Tells a lender what came back.

    :param peer: the lender's ``host:port``
    :param number: the loan
    :param returned: unused tokens, over all closings of this loan
    """

    __slots__ = ("peer", "number", "returned")

    def __init__(self, peer: str, number: int, returned: int) -> None:
        self.peer = peer
        self.number = number
        self.returned = returned


class Borrower:
    """Keeps loans and decides when their rest goes back.

    :param times: durations
    """

    def __init__(self, times: allowance_times.AllowanceTimes) -> None:
        self._times = times
        self._numbers = itertools.count(1)
        self._asked: set[int] = set()
        self._open: dict[str, list[BorrowedLoan]] = {}
        self._changed: dict[int, BorrowedLoan] = {}

    def begin(self) -> int:
        """Return a number for a new loan; none is used twice."""
        number = next(self._numbers)
        self._asked.add(number)
        return number

    def add(self, number: int, loan: BorrowedLoan | None) -> None:
        """Take in what came of asking for a loan.

        An answer that comes twice counts once.

        :param number: the loan's number
        :param loan: the loan; none if there was no answer
        """
        if number not in self._asked:
            return
        self._asked.discard(number)
        if loan is not None:
            self._open.setdefault(loan.account, []).append(loan)

    def cancel(self, number: int, peer: str) -> None:
        """Give a loan back whose answer was lost; it is never used.

        :param number: the loan's number
        :param peer: the lender's ``host:port``
        """
        self.add(number, None)
        lost = BorrowedLoan(number, peer, "", 0, 0, 0)
        lost.returned = RETURN_ALL_TOKENS
        self._changed[number] = lost

    def list_usable(self, account: str, now_ms: int) -> list[BorrowedLoan]:
        """Return the loans that an account may use now.

        :param account: the client account
        :param now_ms: the present, read just now
        :returns: loans, those that end first before the others
        """
        loans = self._open.get(account, ())
        usable = [one for one in loans if one.left and one.is_usable(now_ms)]
        return sorted(usable, key=lambda one: one.end_ms)

    def spend(self, loan: BorrowedLoan, tokens: int, now_ms: int) -> None:
        """Use tokens of a usable loan.

        :param loan: the loan
        :param tokens: at most what is left
        :param now_ms: the present
        """
        loan.left -= tokens
        loan.used_ms = now_ms

    def refund(self, loan: BorrowedLoan, tokens: int, now_ms: int) -> None:
        """Take back what a request did not use.

        While the loan runs the tokens can be used again here; afterwards
        they go back to the lender.

        :param loan: the loan that they came from
        :param tokens: how many
        :param now_ms: the present
        """
        if loan.is_usable(now_ms):
            loan.left += tokens
        elif now_ms < loan.end_ms + self._times.refund_window_ms:
            loan.returned += tokens
            self._changed[loan.number] = loan

    def collect_closings(
        self, now_ms: int, closes_all: bool = False
    ) -> list[Closing]:
        """Close loans that are due, and tell what came back.

        A loan that is told to be closed is never used again: its tokens may
        already be lent to somebody else.

        :param now_ms: the present
        :param closes_all: close all loans, for a planned stop
        :returns: what to tell; a lost message only loses tokens
        """
        for account, loans in list(self._open.items()):
            due = [
                one for one in loans if closes_all or self._is_due(one, now_ms)
            ]
            for loan in due:
                self._close(loan)
            rest = [one for one in loans if not one.is_closed]
            self._open[account] = rest
            if not rest:
                del self._open[account]
        changed, self._changed = self._changed, {}
        return [
            Closing(loan.peer, loan.number, loan.returned)
            for loan in changed.values()
        ]

    def count(self) -> int:
        """Return how many loans are open."""
        return sum(map(len, self._open.values()))

    def _is_due(self, loan: BorrowedLoan, now_ms: int) -> bool:
        # A loan that is used up is told at once: the lender keeps room for
        # it in the bucket until then, and would let new tokens overflow.
        is_ending = now_ms >= loan.end_ms - EARLY_RETURN_MS
        is_idle = now_ms - loan.used_ms >= self._times.idle_ms
        return is_ending or is_idle or loan.left == 0

    def _close(self, loan: BorrowedLoan) -> None:
        loan.is_closed = True
        loan.returned += loan.left
        loan.left = 0
        self._changed[loan.number] = loan

"""Reserves tokens for requests from held slots and from other VMs."""

import collections.abc
import contextlib
import random
import threading
import typing

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import tables
from mulberryway.controllers import allowance_state
from mulberryway.controllers import base
from mulberryway.peers import client
from mulberryway.peers.gen.allowances import Allowances as service
from mulberryway.peers.gen.allowances import ttypes
from mulberryway.policy import allowance
from mulberryway.policy import allowance_borrower
from mulberryway.policy import allowance_slots
from mulberryway.policy import leased_rate_limiter

__all__ = ["AllowancesController", "AllowanceService"]

STEP_MS = 250
# A request waits at most this long for tokens from other VMs: a small fraction
# of the 1.1 s within which its first token is due.
BORROW_MS = 100
CALL_MS = 50
CLOSE_MS = 200
# Backoff for a holder that did not answer.  Without it, each request would
# wait for that holder in turn.
UNRESPONSIVE_BACKOFF_MS = 2_000


class AllowanceService(service.Iface):
    """Lends tokens to other VMs.

    :param state: local allowance state
    :param clock_: time source
    """

    def __init__(
        self, state: allowance_state.AllowanceState, clock_: clock.Clock
    ) -> None:
        self._state = state
        self._clock = clock_

    def borrow(self, request: ttypes.LoanRequest) -> ttypes.Loan:
        """Lend tokens from the slots of this VM.

        :param request: the borrower, the account and the numbers of tokens
        :returns: the loan, possibly of no tokens
        """
        loan_id = (request.borrower, request.number)
        lender = self._state.lender
        with self._state.lock:
            now_ms = self._clock.now_ms()
            loan = lender.lend(
                loan_id, request.account, request.need, request.wish, now_ms
            )
            left = lender.read_lendable(request.account, now_ms)
        return ttypes.Loan(loan.tokens, loan.length_ms, left)

    def close(self, borrower: str, closings: list[ttypes.Closing]) -> None:
        """Accept unused tokens that other VMs return.

        :param borrower: name of the borrowing process
        :param closings: the loans and their returned tokens
        """
        with self._state.lock:
            now_ms = self._clock.now_ms()
            for closing in closings:
                self._state.lender.close(
                    (borrower, closing.number), closing.returned, now_ms
                )


class AllowancesController(base.Controller, allowance.Allowances):
    """Reserves tokens, and returns borrowed ones before their loans expire.

    :param state: local allowance state
    :param source: source of the active tables
    :param peers: client for calls to other VMs
    :param clock_: time source
    """

    def __init__(
        self,
        state: allowance_state.AllowanceState,
        source: tables.TableSource,
        peers: client.PeerClient,
        clock_: clock.Clock,
    ) -> None:
        super().__init__("allowances", clock_, STEP_MS)
        self._state = state
        self._peers = peers
        self._random = random.Random(state.borrower_name)
        self._backoff_until_ms: dict[str, int] = {}
        self._last_levels: dict[tuple[str, str], int] = {}
        self._borrow_locks: dict[str, threading.RLock] = {}
        source.subscribe(self._apply_tables)
        current = source.get_tables()
        if current is not None:
            self._apply_tables(current)

    def reserve(
        self, account: str, tokens: int
    ) -> expression.Result[allowance.Reservation, errors.Fault]:
        """Reserve tokens for a request before it runs.

        :param account: name of the client account
        :param tokens: prompt tokens plus the maximum of generated tokens
        :returns: the reservation, or ``OVER_ALLOWANCE`` with a retry hint
        """
        with self._state.lock:
            now_ms = self.clock.now_ms()
            self._state.book.record_demand(account, tokens, now_ms)
            reservation = self._state.book.reserve(account, tokens, now_ms)
        if reservation is None:
            reservation = self._reserve_borrowed(account, tokens)
        if reservation is None:
            return expression.Error(self._reject(account, tokens))
        return expression.Ok(reservation)

    def commit(self, reservation: allowance.Reservation) -> bool:
        """Mark a reservation as used if it is still valid.

        :param reservation: the reservation
        :returns: whether its tokens may be used now
        """
        with self._state.lock:
            now_ms = self.clock.now_ms()
            return isinstance(
                reservation, leased_rate_limiter.LeasedReservation
            ) and self._state.book.commit(reservation, now_ms)

    def settle(self, reservation: allowance.Reservation, used: int) -> None:
        """Refund tokens that a request did not use; call exactly once.

        :param reservation: the reservation
        :param used: number of tokens computed or received by the caller
        """
        if isinstance(reservation, leased_rate_limiter.LeasedReservation):
            with self._state.lock:
                now_ms = self.clock.now_ms()
                self._state.book.settle(reservation, used, now_ms)

    def step(self) -> None:
        """Return unused loans, and expire those that were granted."""
        with self._state.lock:
            now_ms = self.clock.now_ms()
            self._state.lender.expire(now_ms)
        self._send_closings(closes_all=False)

    def return_loans(self) -> None:
        """Return all loans, as a part of a graceful shutdown."""
        self._send_closings(closes_all=True)

    def _reserve_borrowed(
        self, account: str, tokens: int
    ) -> leased_rate_limiter.LeasedReservation | None:
        # Only one thread borrows for an account at a time.  Threads that
        # borrow concurrently would each get a part of what one of them needs.
        deadline = clock.Deadline(self.clock.now_ms() + BORROW_MS)
        with self._lock_account(account) as is_locked:
            if not is_locked:
                return None
            with self._state.lock:
                now_ms = self.clock.now_ms()
                plan = self._state.book.plan(account, tokens, now_ms)
                reservation = self._state.book.reserve(account, tokens, now_ms)
            if reservation is not None or plan is None:
                return reservation
            return self._borrow_from_holders(account, tokens, deadline)

    def _borrow_from_holders(
        self, account: str, tokens: int, deadline: clock.Deadline
    ) -> leased_rate_limiter.LeasedReservation | None:
        for peer in self._list_holders(account):
            has_more = True
            while has_more and not deadline.has_passed(self.clock.now_ms()):
                with self._state.lock:
                    now_ms = self.clock.now_ms()
                    plan = self._state.book.plan(account, tokens, now_ms)
                if plan is None:
                    return None
                # A loan is from one slot only, and a VM may hold several.
                has_more = self._borrow(peer, account, plan, deadline)
                with self._state.lock:
                    reservation = self._state.book.reserve(
                        account, tokens, self.clock.now_ms()
                    )
                if reservation is not None:
                    return reservation
        return None

    def _list_holders(self, account: str) -> list[str]:
        """Return the slot holders to ask, highest last known level first."""
        parts = self._state.parts
        group = allowance_slots.compute_group(account, self._state.groups)
        now_ms = self.clock.now_ms()
        with self._state.lock:
            holders = {
                self._state.holders[slot]
                for slot in range(group * parts, (group + 1) * parts)
                if slot in self._state.holders
            }
        candidates = [
            peer
            for peer in holders
            if self._backoff_until_ms.get(peer, 0) <= now_ms
        ]
        candidates.sort()
        self._random.shuffle(candidates)
        candidates.sort(
            key=lambda peer: -self._last_levels.get((account, peer), 0)
        )
        return candidates

    def _borrow(
        self,
        peer: str,
        account: str,
        plan: leased_rate_limiter.BorrowPlan,
        deadline: clock.Deadline,
    ) -> bool:
        """Request a loan, and return whether the lender has more to lend."""
        borrower = self._state.borrower
        with self._state.lock:
            number = borrower.allocate_number()
        request = ttypes.LoanRequest(
            self._state.borrower_name, number, account, plan.need, plan.wish
        )
        # The loan's duration counts from here.  The lender counts from its
        # later grant, so it always expires the loan after the borrower.
        sent_ms = self.clock.now_ms()
        response = self._call(
            peer, "borrow", request, min(CALL_MS, deadline.left_ms(sent_ms))
        )
        with self._state.lock:
            if not response.is_ok():
                self._backoff_until_ms[peer] = (
                    self.clock.now_ms() + UNRESPONSIVE_BACKOFF_MS
                )
                borrower.abandon(number, peer)
                return False
            loan = response.ok
            self._last_levels[(account, peer)] = loan.left
            borrower.complete_request(
                number,
                allowance_borrower.BorrowedLoan(
                    number,
                    peer,
                    account,
                    loan.tokens,
                    sent_ms + loan.length_ms,
                    self.clock.now_ms(),
                ),
            )
            return loan.tokens > 0 and loan.left > 0

    def _send_closings(self, closes_all: bool) -> None:
        with self._state.lock:
            now_ms = self.clock.now_ms()
            closings = self._state.borrower.collect_closings(
                now_ms, closes_all
            )
        by_peer: dict[str, list[ttypes.Closing]] = {}
        for closing in closings:
            message = ttypes.Closing(closing.number, closing.returned)
            by_peer.setdefault(closing.peer, []).append(message)
        for peer, messages in by_peer.items():
            self._call(peer, "close", messages, CLOSE_MS)

    def _call(
        self, peer: str, method: str, argument: typing.Any, timeout_ms: int
    ) -> expression.Result[typing.Any, errors.Fault]:
        arguments = [argument]
        if method == "close":
            arguments.insert(0, self._state.borrower_name)
        return self._peers.call(
            peer,
            service.Client,
            method,
            *arguments,
            timeout_ms=timeout_ms,
            is_idempotent=True,
        )

    @contextlib.contextmanager
    def _lock_account(self, account: str) -> collections.abc.Iterator[bool]:
        with self._state.lock:
            lock = self._borrow_locks.setdefault(account, threading.RLock())
        is_locked = lock.acquire(timeout=BORROW_MS / 1000)
        try:
            yield is_locked
        finally:
            if is_locked:
                lock.release()

    def _reject(self, account: str, tokens: int) -> errors.Fault:
        with self._state.lock:
            now_ms = self.clock.now_ms()
            wait_ms = self._state.book.record_refusal(account, tokens, now_ms)
        return errors.Fault(
            errors.Code.OVER_ALLOWANCE,
            errors.Step.ADMISSION,
            message="the client account's allowance is exhausted",
            retry_after_ms=wait_ms,
        )

    def _apply_tables(self, current: tables.Tables) -> None:
        with self._state.lock:
            now_ms = self.clock.now_ms()
            self._state.lender.update_accounts(current.accounts, now_ms)
            self._state.book.prune_accounts()
            for entries in (self._borrow_locks, self._last_levels):
                removed = [
                    key
                    for key in entries
                    if _get_account(key) not in current.accounts
                ]
                for key in removed:
                    del entries[key]


def _get_account(key: str | tuple[str, str]) -> str:
    return key if isinstance(key, str) else key[0]

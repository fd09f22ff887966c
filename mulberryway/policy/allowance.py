"""Interface between request handling and the fleet-wide rate limits."""

import abc

import expression

from mulberryway import errors

__all__ = ["Allowances", "Reservation"]


class Reservation:
    """Tokens reserved from an account's allowance for one request.

    :param account: name of the client account
    :param tokens: number of tokens reserved
    """

    __slots__ = ("account", "tokens")

    def __init__(self, account: str, tokens: int) -> None:
        self.account = account
        self.tokens = tokens


class Allowances(abc.ABC):
    """Reserves tokens before a request runs and refunds unused ones."""

    @abc.abstractmethod
    def reserve(
        self, account: str, tokens: int
    ) -> expression.Result[Reservation, errors.Fault]:
        """Reserve tokens for a request before it runs.

        :param account: name of the client account
        :param tokens: prompt tokens plus the maximum of generated tokens
        :returns: the reservation, or ``OVER_ALLOWANCE`` with a retry hint
        """

    def commit(self, reservation: Reservation) -> bool:
        """Return whether a reservation is valid, and mark it as used.

        If the process was paused after it reserved, another VM may hold
        the tokens by now.  Call this immediately before calling the
        upstream, and settle with 0 if the result is false.  A reservation
        that is not checked within two seconds expires.

        :param reservation: the reservation
        :returns: whether its tokens may be used now
        """
        return True

    @abc.abstractmethod
    def settle(self, reservation: Reservation, used: int) -> None:
        """Refund the tokens that a request did not use; call exactly once.

        :param reservation: the reservation
        :param used: number of tokens computed or received by the caller
        """

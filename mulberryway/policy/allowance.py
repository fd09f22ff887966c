"""The seam between requests and the fleet-wide allowances."""

import abc

import expression

from mulberryway import errors

__all__ = ["Allowances", "Reservation"]


class Reservation:
    """Tokens that were taken from an account's allowance for one request.

    :param account: the client account
    :param tokens: how many were taken
    """

    __slots__ = ("account", "tokens")

    def __init__(self, account: str, tokens: int) -> None:
        self.account = account
        self.tokens = tokens


class Allowances(abc.ABC):
    """Takes tokens before they are used and gives back what was not."""

    @abc.abstractmethod
    def reserve(
        self, account: str, tokens: int
    ) -> expression.Result[Reservation, errors.Fault]:
        """Take tokens for a request before it runs.

        :param account: the client account
        :param tokens: the prompt and the most that can be generated
        :returns: the reservation, or ``OVER_ALLOWANCE`` with a retry hint
        """

    def is_usable(self, reservation: Reservation) -> bool:
        """Tell whether a reservation still stands, and count it as used.

        A process that was paused since it reserved may hold tokens that
        have passed on to another VM; ask right before the upstream is
        called, and settle with 0 if not.  A reservation that is not asked
        about within two seconds does not stand any more.

        :param reservation: what was taken
        :returns: whether its tokens may be used now
        """
        return True

    @abc.abstractmethod
    def settle(self, reservation: Reservation, used: int) -> None:
        """Give back what a request did not use; called exactly once.

        :param reservation: what was taken
        :param used: tokens that the caller received or that were computed
        """

"""What VMs tell one another of what accounts were given."""

from mulberryway import tables

__all__ = ["AccountUsage", "Margin", "Usage"]

MS_IN_S = 1_000


class Margin:
    """What an account may get beyond its rate and burst in one window.

    :param window_ms: the window's length
    :param over_part: part of what rate and burst allow in it
    :param over_tokens: tokens on top
    """

    __slots__ = ("window_ms", "over_part", "over_tokens")

    def __init__(
        self, window_ms: int, over_part: float, over_tokens: int
    ) -> None:
        self.window_ms = window_ms
        self.over_part = over_part
        self.over_tokens = over_tokens

    def compute_limit(self, account: tables.ClientAccount) -> float:
        """Return what an account is due in one window.

        :param account: the account
        :returns: tokens
        """
        return account.rate * self.window_ms / MS_IN_S + account.burst

    def read_tokens(self, account: tables.ClientAccount) -> float:
        """Return what an account may get beyond its due in one window.

        :param account: the account
        :returns: tokens
        """
        return self.compute_limit(account) * self.over_part + self.over_tokens


class AccountUsage:
    """One VM's count for one account.

    :param account: the account's name
    :param spent: tokens given since the VM began
    :param left: tokens that the VM believes are left for all
    """

    __slots__ = ("account", "spent", "left")

    def __init__(self, account: str, spent: int, left: int) -> None:
        self.account = account
        self.spent = spent
        self.left = left


class Usage:
    """What one VM tells of its counts; a later one replaces it.

    :param vm: the VM's name
    :param incarnation: which life of it; counts begin anew with each
    :param sequence: grows with each message of a life
    :param accounts: accounts whose counts have changed, or all
    :param mirrors: by kind, the revision up to which the VM knows the store
    :param age_ms: for how long the VM has counted
    :param is_store_reached: whether the platform's store answers it; none
        if it does not ask
    :param is_whole: whether all accounts are told
    :param is_heartbeat: whether it says nothing new; not sent
    """

    __slots__ = (
        "vm",
        "incarnation",
        "sequence",
        "accounts",
        "mirrors",
        "age_ms",
        "is_store_reached",
        "is_whole",
        "is_heartbeat",
    )

    def __init__(
        self,
        vm: str,
        incarnation: int,
        sequence: int,
        accounts: list[AccountUsage],
        mirrors: dict[str, int],
        age_ms: int,
        is_store_reached: bool | None = True,
        is_whole: bool = True,
        is_heartbeat: bool = False,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.sequence = sequence
        self.accounts = accounts
        self.mirrors = mirrors
        self.age_ms = age_ms
        self.is_store_reached = is_store_reached
        self.is_whole = is_whole
        self.is_heartbeat = is_heartbeat

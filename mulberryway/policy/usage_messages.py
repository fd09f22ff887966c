"""Messages in which VMs announce the tokens granted to accounts."""

from mulberryway import tables
from mulberryway.policy import mirror_summary

__all__ = ["AccountUsage", "Margin", "Usage"]

MS_IN_S = 1_000


class Margin:
    """Tokens that accounts may get beyond their limit in one window.

    :param window_ms: length of the window in ms
    :param over_part: fraction of the account's limit in the window
    :param over_tokens: tokens added to that
    """

    __slots__ = ("window_ms", "over_part", "over_tokens")

    def __init__(
        self, window_ms: int, over_part: float, over_tokens: int
    ) -> None:
        self.window_ms = window_ms
        self.over_part = over_part
        self.over_tokens = over_tokens

    def compute_limit(self, account: tables.ClientAccount) -> float:
        """Return an account's limit for one window, its rate plus burst.

        :param account: the account
        :returns: tokens
        """
        return account.rate * self.window_ms / MS_IN_S + account.burst

    def read_tokens(self, account: tables.ClientAccount) -> float:
        """Return the tokens that an account may get beyond its limit.

        :param account: the account
        :returns: tokens per window
        """
        return self.compute_limit(account) * self.over_part + self.over_tokens


class AccountUsage:
    """One VM's counter for one account.

    :param account: name of the account
    :param spent: tokens granted since the VM started
    :param left: tokens left for all VMs, as known to the sender
    """

    __slots__ = ("account", "spent", "left")

    def __init__(self, account: str, spent: int, left: int) -> None:
        self.account = account
        self.spent = spent
        self.left = left


class Usage:
    """A usage message of one VM; a later one replaces it.

    :param vm: name of the VM
    :param incarnation: incarnation of the VM; counters restart with each
    :param sequence: incremented with each message of an incarnation
    :param accounts: accounts whose counters have changed, or all
    :param mirrors: state of each mirror, by kind
    :param age_ms: how long in ms the VM has counted
    :param is_store_reached: whether the VM reaches the platform's store, or
        None if it does not contact it
    :param is_whole: whether the message is a full snapshot of all accounts
    :param is_heartbeat: whether it is a heartbeat without urgent changes;
        not part of the encoded message
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
        mirrors: dict[str, mirror_summary.MirrorSummary],
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

"""Which VMs a caller is told to connect to; a hint, never a promise."""

import abc

__all__ = ["EntryAddress", "EntryDirectory"]


class EntryAddress:
    """One address that a caller may use.

    :param address: ``host:port``
    :param zone: its availability zone
    """

    __slots__ = ("address", "zone")

    def __init__(self, address: str, zone: str) -> None:
        self.address = address
        self.zone = zone


class EntryDirectory(abc.ABC):
    """Knows which VMs take callers now."""

    @abc.abstractmethod
    def list_addresses(self, caller_zone: str) -> list[EntryAddress]:
        """Return addresses in the order in which a caller should try them.

        :param caller_zone: the caller's zone; empty if not known
        :returns: a few addresses; never empty while any VM is known
        """

"""What is known of one VM; a hint, never a promise."""

import enum
import hashlib

__all__ = ["MemberStatus", "Member"]


class MemberStatus(enum.IntEnum):
    """What other VMs think of a VM; later values win over earlier ones."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member:
    """One life of one VM's router process, as it was last heard of.

    :param name: the VM's name
    :param address: its IP number
    :param peer_port: where it answers peers
    :param router_port: where it answers callers
    :param zone: its availability zone
    :param region: its region
    :param incarnation: grows with each start of the process; a new VM at an
        old address has another one and is never taken for the old VM
    :param version: grows with each change that the VM tells of itself, and
        when it denies that it is dead
    :param health: what the teller thinks of it
    :param is_stopping: it wants no new callers
    :param holdings: what it holds of the fleet's state, in a form that is
        private to those who put it there; bounded
    :param is_starting: it cannot serve callers yet
    :param link_mbps: the rate of its network link; 0 if not known
    """

    __slots__ = (
        "name",
        "address",
        "peer_port",
        "router_port",
        "zone",
        "region",
        "incarnation",
        "version",
        "health",
        "is_stopping",
        "is_starting",
        "holdings",
        "link_mbps",
        "streams",
        "heard_ms",
        "revision",
    )

    def __init__(
        self,
        name: str,
        address: str,
        peer_port: int,
        router_port: int,
        zone: str,
        region: str,
        incarnation: int,
        version: int = 0,
        health: MemberStatus = MemberStatus.ALIVE,
        is_stopping: bool = False,
        holdings: bytes = b"",
        is_starting: bool = False,
        link_mbps: int = 0,
    ) -> None:
        self.name = name
        self.address = address
        self.peer_port = peer_port
        self.router_port = router_port
        self.zone = zone
        self.region = region
        self.incarnation = incarnation
        self.version = version
        self.health = health
        self.is_stopping = is_stopping
        self.holdings = holdings
        self.is_starting = is_starting
        self.link_mbps = link_mbps
        # What only the VM itself tells, in each message; too lively to be
        # passed on: running streams, when that was heard, its tables.
        self.streams = 0
        self.heard_ms: int | None = None
        self.revision = 0

    @property
    def peer(self) -> str:
        """Where it answers peers, as ``host:port``."""
        return f"{self.address}:{self.peer_port}"

    @property
    def entry(self) -> str:
        """Where it answers callers, as ``host:port``."""
        return f"{self.address}:{self.router_port}"

    @property
    def accepts_callers(self) -> bool:
        """Whether it is thought to be alive and not about to stop."""
        return self.health is MemberStatus.ALIVE and not self.is_stopping

    def copy(self) -> "Member":
        """Return a copy that may be changed."""
        twin = Member.__new__(Member)
        for attribute in Member.__slots__:
            setattr(twin, attribute, getattr(self, attribute))
        return twin

    def is_newer_than(self, other: "Member") -> bool:
        """Tell whether this is later news of the same VM.

        :param other: what is known so far
        :returns: whether it replaces what is known
        """
        return self._order() > other._order()

    def digest(self) -> int:
        """Return a number that stands for this news, of 60 bits."""
        text = f"{self.name}/{self.incarnation}/{self.version}/{self.health}"
        hashed = hashlib.blake2b(text.encode(), digest_size=8).digest()
        return int.from_bytes(hashed, "big") >> 4

    def _order(self) -> tuple[int, int, int]:
        return (self.incarnation, self.version, self.health)

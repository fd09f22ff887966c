"""Record of one VM as spread by gossip; eventually consistent."""

import enum
import hashlib

__all__ = ["MemberStatus", "Member"]


class MemberStatus(enum.IntEnum):
    """Status of a VM; a later value overrides an earlier one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member:
    """One incarnation of a VM's router process, as last announced.

    :param name: the VM's name
    :param address: its IP address
    :param peer_port: the port for peers
    :param router_port: the port for callers
    :param zone: its availability zone
    :param region: its region
    :param incarnation: increases with each start of the process; distinguishes
        a new VM at the same address from the old one
    :param version: increases with each change that the VM announces, and when
        it refutes a suspicion
    :param health: its status as seen by the sender
    :param is_stopping: whether it accepts no new callers
    :param holdings: its part of the fleet's shared state, encoded by the
        component that uses it; bounded
    :param is_starting: whether it cannot serve callers yet
    :param link_mbps: bandwidth of its network link in Mbit/s; 0 if not known
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
        # Sent only by the VM itself in each message, and changing too often
        # for gossip: running streams, time of receipt in ms, revision of its
        # tables.
        self.streams = 0
        self.heard_ms: int | None = None
        self.revision = 0

    @property
    def peer(self) -> str:
        """Address for peers, as ``host:port``."""
        return f"{self.address}:{self.peer_port}"

    @property
    def caller_address(self) -> str:
        """Address for callers, as ``host:port``."""
        return f"{self.address}:{self.router_port}"

    @property
    def accepts_callers(self) -> bool:
        """Whether it is considered alive and is not stopping."""
        return self.health is MemberStatus.ALIVE and not self.is_stopping

    def copy(self) -> "Member":
        """Return a copy that may be modified."""
        duplicate = Member.__new__(Member)
        for attribute in Member.__slots__:
            setattr(duplicate, attribute, getattr(self, attribute))
        return duplicate

    def is_newer_than(self, other: "Member") -> bool:
        """Return whether this is a later record of the same VM.

        :param other: the known record
        :returns: whether it replaces the known record
        """
        return self._order() > other._order()

    def digest(self) -> int:
        """Return a digest of this record, of 60 bits."""
        text = f"{self.name}/{self.incarnation}/{self.version}/{self.health}"
        hashed = hashlib.blake2b(text.encode(), digest_size=8).digest()
        return int.from_bytes(hashed, "big") >> 4

    def _order(self) -> tuple[int, int, int]:
        return (self.incarnation, self.version, self.health)

"""Messages that the disseminators of two VMs exchange."""

import enum

__all__ = ["Envelope", "Kind", "Packet", "Receiver"]


class Kind(enum.Enum):
    """Purpose of a packet, as named in metrics."""

    DIRECT = "direct"
    RELAY = "relay"
    BATCH = "batch"
    ACKNOWLEDGEMENT = "acknowledgement"


class Receiver:
    """A VM that receives items.

    :param name: the VM's name
    :param address: ``host:port`` of its port for peers
    :param zone: its availability zone
    :param link_mbps: bandwidth of its network link in Mbit/s; 0 if not known
    """

    __slots__ = ("name", "address", "zone", "link_mbps")

    def __init__(
        self, name: str, address: str, zone: str, link_mbps: int = 0
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.link_mbps = link_mbps


class Envelope:
    """Content of one datagram.

    :param items: encoded gossip messages
    :param relay_number: the receiver forwards the items to its zone and
        acknowledges with this number; 0 if they are only for the receiver
    :param acknowledged: an acknowledged relay number of the receiver; 0 for
        none
    :param is_deferrable: whether a relay may delay the items to batch them
    """

    __slots__ = ("items", "relay_number", "acknowledged", "is_deferrable")

    def __init__(
        self,
        items: list[bytes],
        relay_number: int = 0,
        acknowledged: int = 0,
        is_deferrable: bool = False,
    ) -> None:
        self.items = items
        self.relay_number = relay_number
        self.acknowledged = acknowledged
        self.is_deferrable = is_deferrable


class Packet:
    """An envelope with its destination.

    :param kind: the purpose
    :param address: ``host:port`` of the receiver
    :param zone: the receiver's availability zone; empty if not known
    :param envelope: the content; packets to several VMs may share it
    """

    __slots__ = ("kind", "address", "zone", "envelope")

    def __init__(
        self, kind: Kind, address: str, zone: str, envelope: Envelope
    ) -> None:
        self.kind = kind
        self.address = address
        self.zone = zone
        self.envelope = envelope

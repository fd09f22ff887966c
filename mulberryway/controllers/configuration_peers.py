"""Interface through which the configuration controller calls other VMs."""

import abc

import expression

from mulberryway import errors

__all__ = ["PeerSource", "PeerVm", "RootReply"]


class PeerVm:
    """A VM in this VM's view of the fleet.

    :param name: the VM's name
    :param zone: its availability zone
    :param region: its region
    :param address: ``host:port`` of its peer server
    :param is_alive: whether it is considered alive
    """

    __slots__ = ("name", "zone", "region", "address", "is_alive")

    def __init__(
        self,
        name: str,
        zone: str,
        region: str,
        address: str,
        is_alive: bool = True,
    ) -> None:
        self.name = name
        self.zone = zone
        self.region = region
        self.address = address
        self.is_alive = is_alive


class RootReply:
    """Another VM's active root and its confirmation.

    :param revision: its revision; 0 if the VM has none
    :param content: canonical JSON; empty if it is not newer than the
        caller's revision
    :param age_ms: milliseconds since the platform confirmed it, by that
        VM's clock; -1 for never
    :param fleet_size: the number of VMs alive at that confirmation
    :param is_serving: whether that VM serves requests with it
    :param is_witness: whether the platform has confirmed that VM's root
        since the VM was started
    """

    __slots__ = (
        "revision",
        "content",
        "age_ms",
        "fleet_size",
        "is_serving",
        "is_witness",
    )

    def __init__(
        self,
        revision: int,
        content: bytes,
        age_ms: int,
        fleet_size: int,
        is_serving: bool,
        is_witness: bool,
    ) -> None:
        self.revision = revision
        self.content = content
        self.age_ms = age_ms
        self.fleet_size = fleet_size
        self.is_serving = is_serving
        self.is_witness = is_witness


class PeerSource(abc.ABC):
    """Calls other VMs for their tables."""

    @abc.abstractmethod
    def list_peers(self) -> list[PeerVm]:
        """Return the VMs considered alive, without this one."""

    def list_known(self) -> list[PeerVm]:
        """Return all known VMs, including dead ones, without this one."""
        return self.list_peers()

    @abc.abstractmethod
    def read_root(
        self, address: str, known_revision: int
    ) -> expression.Result[RootReply, errors.Fault]:
        """Fetch a VM's root.

        :param address: the peer's ``host:port``
        :param known_revision: the content is sent only if it is newer
        :returns: the reply, or a fault
        """

    @abc.abstractmethod
    def read_segments(
        self, address: str, digests: list[str]
    ) -> expression.Result[dict[str, bytes], errors.Fault]:
        """Fetch segments from a VM.

        :param address: the peer's ``host:port``
        :param digests: the digests of the requested segments
        :returns: contents by digest, possibly incomplete, or a fault
        """

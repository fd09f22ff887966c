"""Decides when requests leave their availability zone, and how many do."""

import collections.abc

__all__ = ["ServerOption", "ZoneOverflow"]


class ServerOption:
    """A server that may be chosen for a request.

    :param name: the server's name
    :param zone: its availability zone
    :param wait_ms: expected time until it has answered, without the distance,
        in milliseconds
    :param free: requests of all VMs that it can run at once beyond those that
        it has; negative by the number that would have to wait
    """

    __slots__ = ("name", "zone", "wait_ms", "free")

    def __init__(
        self, name: str, zone: str, wait_ms: float, free: float
    ) -> None:
        self.name = name
        self.zone = zone
        self.wait_ms = wait_ms
        self.free = free


class ZoneOverflow:
    """Restricts requests to zones.

    :param zone: the availability zone of this VM
    """

    __slots__ = ("_zone",)

    def __init__(self, zone: str) -> None:
        self._zone = zone

    def restrict(
        self,
        pool: str,
        options: collections.abc.Sequence[ServerOption],
        draw: float,
        now_ms: int,
    ) -> collections.abc.Sequence[ServerOption]:
        """Return the servers among which a request may choose.

        :param pool: the pool's name
        :param options: the usable servers; not empty
        :param draw: a random number, at least 0 and below 1
        :param now_ms: current time in milliseconds
        :returns: the servers of one or several zones; not empty
        """
        return options

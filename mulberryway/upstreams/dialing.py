"""Opens connections to upstreams."""

import abc
import socket

from mulberryway import addresses

__all__ = ["DIRECT", "Dialer", "DirectDialer", "PathError", "connect_directly"]

MS_IN_S = 1_000


class PathError(ConnectionError):
    """This VM found no path to an upstream that may be sound."""


class Dialer(abc.ABC):
    """Opens connections and remembers which paths work."""

    @abc.abstractmethod
    def connect(self, address: str, timeout_ms: int) -> socket.socket:
        """Open a connection.

        :param address: the upstream's ``host:port``
        :param timeout_ms: timeout of a connect to the upstream, in ms
        :returns: a connected socket
        :raises PathError: if only the path to the upstream failed
        :raises OSError: if the upstream cannot be reached
        """

    def is_suspect(self, address: str) -> bool:
        """Return whether a failure there may be a failure of the path.

        :param address: the upstream's ``host:port``
        """
        return False

    def get_epoch(self, address: str) -> int:
        """Return a number that changes whenever a path is lost or restored.

        A connection that was opened in another epoch must not be reused.

        :param address: the upstream's ``host:port``
        """
        return 0

    def record_doubt(self, address: str) -> None:
        """Record that a call on an open connection failed or timed out.

        :param address: the upstream's ``host:port``
        """
        return


class DirectDialer(Dialer):
    """Connects to upstreams directly and remembers nothing."""

    def connect(self, address: str, timeout_ms: int) -> socket.socket:
        """Open a connection.

        :param address: the upstream's ``host:port``
        :param timeout_ms: timeout of the connect, in ms
        :returns: a connected socket
        :raises OSError: if the upstream cannot be reached
        """
        return connect_directly(address, timeout_ms)


def connect_directly(address: str, timeout_ms: int) -> socket.socket:
    """Connect to an upstream over this VM's own path.

    :param address: the upstream's ``host:port``
    :param timeout_ms: timeout of the connect, in ms
    :returns: a connected socket
    :raises OSError: if the upstream cannot be reached
    """
    try:
        target = addresses.split(address)
    except ValueError as error:
        raise OSError(f"no address to connect to: {address!r}") from error
    connection = socket.create_connection(target, timeout_ms / MS_IN_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


DIRECT = DirectDialer()

"""Opens connections to upstreams."""

import abc
import socket
import threading

from mulberryway import addresses

__all__ = [
    "CURRENT",
    "ConnectCanceller",
    "DIRECT",
    "Dialer",
    "DirectDialer",
    "PathError",
    "connect_directly",
]

MS_IN_S = 1_000


class PathError(ConnectionError):
    """This VM found no path to an upstream that may be sound."""


class ConnectCanceller(abc.ABC):
    """Cancels a connect that runs on another thread."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def is_cancelled(self) -> bool:
        """Whether the connect was cancelled."""

    @abc.abstractmethod
    def attach(self, connection: socket.socket) -> None:
        """Set the socket to shut down.

        :param connection: the socket
        """


class CurrentConnect(threading.local):
    """Describes the connect that runs on this thread.

    ``canceller`` cancels it; none if it cannot be cancelled.
    """

    canceller: ConnectCanceller | None = None

    def check(self) -> None:
        """Check that the connect was not cancelled.

        :raises ConnectionAbortedError: if it was cancelled
        """
        if self.canceller is not None and self.canceller.is_cancelled:
            raise ConnectionAbortedError("the connect was cancelled")


CURRENT = CurrentConnect()


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
    if CURRENT.canceller is None:
        connection = socket.create_connection(target, timeout_ms / MS_IN_S)
    else:
        connection = _connect(target, timeout_ms, CURRENT.canceller)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def _connect(
    target: tuple[str, int], timeout_ms: int, canceller: ConnectCanceller
) -> socket.socket:
    """Connect, and fail at once when the connect is cancelled."""
    ((family, kind, protocol, _, resolved), *_) = socket.getaddrinfo(
        *target, type=socket.SOCK_STREAM
    )
    connection = socket.socket(family, kind, protocol)
    try:
        connection.settimeout(timeout_ms / MS_IN_S)
        canceller.attach(connection)
        CURRENT.check()
        # A shutdown by the canceller ends this with ECONNRESET.
        connection.connect(resolved)
        CURRENT.check()
    except OSError:
        connection.close()
        raise
    return connection


DIRECT = DirectDialer()

"""Connection pool whose calls are bounded in time and size as a whole."""

import collections.abc
import functools
import socket
import threading
import time
import typing
import weakref

import urllib3

from mulberryway import response_heads
from mulberryway.upstreams import bounded_socket

__all__ = ["BoundedPool", "read_body"]

READ_BYTES = 65_536
# A large response over a slow link may take longer than the timeout, as long
# as it arrives at this rate; VMs have links of 5 Mbit/s and more.
MIN_BYTES_PER_S = 131_072


class _Connection(response_heads.StrictConnection):
    """A connection whose socket bounds each response.

    :param budget: bounds the bytes of all responses
    """

    def __init__(
        self,
        *arguments: typing.Any,
        budget: bounded_socket.ReceiveBudget,
        **keywords: typing.Any,
    ) -> None:
        super().__init__(*arguments, **keywords)
        # It stays known when the response takes over the socket.
        self.bounded: bounded_socket.BoundedSocket | None = None
        self.number = 0
        self._budget = budget

    def _new_conn(self) -> bounded_socket.BoundedSocket:
        self.bounded = bounded_socket.BoundedSocket(
            super()._new_conn(), self._budget
        )
        return self.bounded

    def abort(self) -> None:
        """Break off a call of another thread."""
        if self.bounded is None:
            return
        try:
            self.bounded.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection has been closed meanwhile.
            return

    def request(self, *arguments: typing.Any, **keywords: typing.Any) -> None:
        """Send a request within the connect timeout."""
        if self.sock is None:
            self.connect()
        assert self.bounded is not None
        # urllib3 replaces the timeout once the request is sent.
        self.bounded.begin_response(time.monotonic() + float(self.timeout))
        super().request(*arguments, **keywords)

    def getresponse(self) -> urllib3.HTTPResponse:
        """Read a response's head; its body is bounded by the same time."""
        assert self.bounded is not None
        self.number = self.bounded.begin_response(
            time.monotonic() + float(self.timeout)
        )
        return super().getresponse()


class BoundedPool(urllib3.HTTPConnectionPool):
    """Keeps connections to one address whose responses are bounded.

    The read timeout of a call bounds its whole response.  Responses must not
    be preloaded, and :func:`read_body` reads them.

    :param address: ``host:port``
    :param connections: the number of connections that are kept open
    :param budget: bounds the bytes of all responses
    """

    def __init__(
        self,
        address: str,
        connections: int,
        budget: bounded_socket.ReceiveBudget,
    ) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(host, int(port), maxsize=connections, retries=False)
        self.ConnectionCls = functools.partial(_Connection, budget=budget)
        self._open: weakref.WeakSet[_Connection] = weakref.WeakSet()
        self._open_lock = threading.Lock()

    def _new_conn(self) -> _Connection:
        connection = super()._new_conn()
        with self._open_lock:
            self._open.add(connection)
        return connection

    def abort(self) -> None:
        """Close the pool and break off the calls of other threads."""
        self.close()
        with self._open_lock:
            connections = list(self._open)
        for connection in connections:
            connection.abort()


def read_body(response: urllib3.BaseHTTPResponse, max_bytes: int) -> bytes:
    """Read a response's body and release or close its connection.

    :param response: a response of a bounded pool
    :param max_bytes: the maximum size of the response in bytes
    :returns: the complete body
    :raises urllib3.exceptions.HTTPError: if the response is incomplete
    :raises OSError: if its time is over, or if it is too large
    """
    # A response that ends with its connection has taken the socket over.
    bounded, number = response.connection.bounded, response.connection.number
    try:
        bounded.allow_body(max_bytes)
        body = b"".join(_read_pieces(response, bounded, number))
    except BaseException:
        response.close()
        raise
    finally:
        bounded.end_response(number)
    response.release_conn()
    return body


def _read_pieces(
    response: urllib3.BaseHTTPResponse,
    bounded: bounded_socket.BoundedSocket,
    number: int,
) -> collections.abc.Iterator[bytes]:
    """Yield a body, whose time grows with the bytes that arrive."""
    for piece in response.stream(READ_BYTES):
        # The connection of a complete response is in the pool again.
        bounded.extend_response(len(piece) / MIN_BYTES_PER_S, number)
        yield piece

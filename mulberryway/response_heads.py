"""Reads the heads of HTTP responses strictly, and nothing beyond their end.

``http.client`` takes the end of a connection, or the first line that is not a
header, for the end of a head.  The headers after it, such as the length, are
then missing, and what is left looks like a complete response.

It also drops what it has received beyond a response's end.  The rest of that
would be read as the next response on the same connection.
"""

import collections.abc
import http
import http.client
import io
import logging
import re
import socket
import typing

import urllib3
import urllib3.connection

from mulberryway import chunk_sizes

__all__ = [
    "BodyError",
    "HeadError",
    "IncompleteHeadError",
    "StrictConnection",
    "StrictResponse",
    "make_pools",
]

LOG = logging.getLogger(__name__)

MAX_LINE_BYTES = 65_536
MAX_LINES = 102
MAX_INTERIM_RESPONSES = 8
MAX_LENGTH_DIGITS = 18
# RFC 9110, section 15: other values are invalid.
STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] ([1-5][0-9]{2})(?: [^\x00-\x08\n-\x1f\x7f]*)?"
)
# RFC 9112, section 5, without line folding.
HEADER = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]++):([^\x00-\x08\n-\x1f\x7f]*+)"
)
BLANKS = b" \t"
# A head that breaks off may be followed by another one in the same line.
STATUS_WITHIN_LINE = re.compile(rb"HTTP/1\.[01] [1-9][0-9]{2}[ \r\n]")
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"


class HeadError(http.client.HTTPException):
    """The head of a response is incomplete, malformed or ambiguous."""


class IncompleteHeadError(HeadError):
    """The connection ended within the head of a response."""


class BodyError(http.client.HTTPException):
    """The chunks of a response's body are malformed."""


class _ChunkReader:
    """Reads a body with chunks, and checks how they are framed.

    The size of a chunk may begin with zeros, and zero is the size of the last
    one, so a part of a line is not taken for the line.

    :param reader: reads the response
    """

    def __init__(self, reader: io.BufferedReader) -> None:
        self._reader = reader
        self._data_left = 0
        self._is_last = False

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._reader, name)

    def readline(self, size: int = -1) -> bytes:
        """Return the size of a chunk, or a line after the last one.

        :param size: the maximum number of bytes
        :returns: a line with its end; empty at the end of the connection
        :raises http.client.IncompleteRead: if the line has no end
        :raises BodyError: if it is no size of a chunk
        """
        line = self._reader.readline(size)
        if line and not line.endswith(b"\n"):
            raise http.client.IncompleteRead(line)
        if line and not self._is_last:
            chunk_size = chunk_sizes.parse(_strip_end(line))
            if chunk_size is None:
                raise BodyError("the size of a chunk is malformed")
            self._data_left = chunk_size
            self._is_last = not chunk_size
        return line

    def read(self, size: int = -1) -> bytes:
        """Return a part of a chunk, or its end.

        :param size: the number of bytes
        :raises BodyError: if a chunk does not end where its size says
        """
        return self._check(self._reader.read(size))

    def read1(self, size: int = -1) -> bytes:
        """Return what has arrived of a chunk.

        :param size: the maximum number of bytes
        """
        return self._check(self._reader.read1(size))

    def readinto(self, buffer: typing.Any) -> int:
        """Read a part of a chunk.

        :param buffer: what it is written to
        :returns: the number of bytes
        """
        size = self._reader.readinto(buffer)
        self._check(bytes(memoryview(buffer)[:size]))
        return size

    def _check(self, data: bytes) -> bytes:
        if self._data_left:
            self._data_left -= len(data)
        elif data and data != b"\r\n":
            raise BodyError("a chunk does not end where its size says")
        return data


class StrictResponse(http.client.HTTPResponse):
    """A response whose head must be complete and unambiguous.

    ``has_surplus`` becomes true if bytes have arrived beyond its end.

    :param sock: the connection's socket
    :param follows_another: whether the connection has carried another
        response, of which a torn copy may precede this one
    """

    def __init__(
        self,
        sock: socket.socket,
        *arguments: typing.Any,
        follows_another: bool = False,
        **keywords: typing.Any,
    ) -> None:
        super().__init__(sock, *arguments, **keywords)
        self.has_surplus = False
        self._sock = sock
        self._follows_another = follows_another

    def begin(self) -> None:
        """Read the head, after any interim responses.

        :raises HeadError: if the head is no complete head of a response
        :raises http.client.RemoteDisconnected: if nothing has been received
        :raises OSError: if the connection fails
        """
        if self.headers is not None:
            return
        received = self.fp
        head = _read_head(received)
        if self._follows_another:
            _check_single_status(head)
        self.fp = io.BufferedReader(io.BytesIO(head))
        try:
            super().begin()
        finally:
            self.fp = received
        if self.chunked:
            self.fp = _ChunkReader(received)

    def _close_conn(self) -> None:
        """Close the reader at the end of the response."""
        try:
            self.has_surplus = self._has_unread_bytes()
        finally:
            super()._close_conn()

    def _has_unread_bytes(self) -> bool:
        """Return whether more bytes have arrived than the response has."""
        if self._sock.fileno() < 0:
            return False
        timeout_s = self._sock.gettimeout()
        try:
            self._sock.settimeout(0)
            return bool(self.fp.peek(1))
        except OSError as error:
            LOG.debug("a connection failed after a response: %r", error)
            return False
        finally:
            self._sock.settimeout(timeout_s)


class StrictConnection(urllib3.connection.HTTPConnection):
    """A connection of a pool that reads heads strictly.

    It is not used again once bytes have arrived that no request asked for.
    """

    # Only ``prepare`` connects, before the request is bounded.
    auto_open = 0

    def __init__(self, *arguments: typing.Any, **keywords: typing.Any) -> None:
        super().__init__(*arguments, **keywords)
        self._last_response: StrictResponse | None = None

    def response_class(
        self, *arguments: typing.Any, **keywords: typing.Any
    ) -> StrictResponse:
        """Return a reader of the next response."""
        self._last_response = StrictResponse(
            *arguments,
            follows_another=self._last_response is not None,
            **keywords,
        )
        return self._last_response

    @property
    def has_surplus(self) -> bool:
        """Whether bytes had arrived at the end of the last response."""
        last = self._last_response
        return last is not None and last.has_surplus

    @property
    def is_connected(self) -> bool:
        """Whether it is open and nothing has arrived since it was used."""
        return super().is_connected and not self.has_surplus

    def request(self, *arguments: typing.Any, **keywords: typing.Any) -> None:
        """Send a request, on a new connection if this one may not be used."""
        self.prepare()
        super().request(*arguments, **keywords)

    def putheader(self, header: str, *values: typing.Any) -> None:
        """Write a header, whatever its value.

        One value would make the library skip or refuse the header.
        """
        http.client.HTTPConnection.putheader(self, header, *values)

    def prepare(self) -> None:
        """Connect, anew if the connection may not carry the next request."""
        if self._last_response is not None and not self.is_connected:
            self.close()
        if self.sock is None:
            self.connect()

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        self._last_response = None
        super().close()


class _StrictPool(urllib3.HTTPConnectionPool):
    ConnectionCls = StrictConnection


def make_pools(**options: typing.Any) -> urllib3.PoolManager:
    """Return connection pools whose connections read heads strictly.

    :param options: the options of ``urllib3.PoolManager``
    """
    pools = urllib3.PoolManager(**options)
    pools.pool_classes_by_scheme = {"http": _StrictPool}
    return pools


def _read_head(received: io.BufferedReader) -> bytes:
    """Return the head of the final response."""
    for _ in range(MAX_INTERIM_RESPONSES + 1):
        lines = _read_lines(received)
        status = _parse_status(lines[0])
        if status >= http.HTTPStatus.OK:
            _check_headers(lines[1:-1])
            return b"".join(lines)
        if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
            raise HeadError("the protocol was switched")
    raise HeadError("too many interim responses")


def _read_lines(received: io.BufferedReader) -> list[bytes]:
    """Return the lines of a head, with the empty line at its end."""
    lines: list[bytes] = []
    while not lines or lines[-1] not in (b"\r\n", b"\n"):
        line = received.readline(MAX_LINE_BYTES)
        if not line and not lines:
            raise http.client.RemoteDisconnected("no response was received")
        if len(line) >= MAX_LINE_BYTES:
            raise HeadError("a line of the head is too long")
        if not line.endswith(b"\n"):
            raise IncompleteHeadError("the head has no end")
        lines.append(line)
        if len(lines) > MAX_LINES:
            raise HeadError("the head has too many lines")
    return lines


def _parse_status(line: bytes) -> int:
    match = STATUS_LINE.fullmatch(_strip_end(line))
    if match is None:
        raise HeadError("the status line is malformed")
    return int(match[1])


def _check_headers(lines: collections.abc.Iterable[bytes]) -> None:
    """Check that all lines are headers that agree about the body."""
    values: dict[bytes, set[bytes]] = {}
    for line in lines:
        match = HEADER.fullmatch(_strip_end(line))
        if match is None:
            raise HeadError("a line of the head is not a header")
        values.setdefault(match[1].lower(), set()).add(match[2].strip(BLANKS))
    lengths = values.get(CONTENT_LENGTH, set())
    codings = values.get(TRANSFER_ENCODING, set())
    if len(lengths) + len(codings) > 1:
        raise HeadError("the length of the body is ambiguous")
    if not all(map(_is_length, lengths)):
        raise HeadError("the length of the body is malformed")
    if any(coding.lower() != b"chunked" for coding in codings):
        raise HeadError("the transfer coding is unknown")


def _check_single_status(head: bytes) -> None:
    """Check that a head is not the beginning of one and the rest of another.

    :raises HeadError: if one of its lines has a status line within it
    """
    if STATUS_WITHIN_LINE.search(head, 1):
        raise HeadError("a line of the head has another status line within it")


def _is_length(value: bytes) -> bool:
    return value.isdigit() and len(value) <= MAX_LENGTH_DIGITS


def _strip_end(line: bytes) -> bytes:
    return line.removesuffix(b"\n").removesuffix(b"\r")

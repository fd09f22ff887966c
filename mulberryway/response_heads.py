"""Reads the heads of HTTP responses strictly.

``http.client`` takes the end of a connection, or the first line that is not a
header, for the end of a head.  The headers after it, such as the length, are
then missing, and what is left looks like a complete response.
"""

import collections.abc
import http
import http.client
import io
import re
import typing

import urllib3
import urllib3.connection

__all__ = ["HeadError", "StrictConnection", "StrictResponse", "make_pools"]

MAX_LINE_BYTES = 65_536
MAX_LINES = 102
MAX_INTERIM_RESPONSES = 8
MAX_LENGTH_DIGITS = 18
STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] ([1-9][0-9]{2})(?: [^\x00-\x08\n-\x1f\x7f]*)?"
)
# RFC 9112, section 5, without line folding.
HEADER = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\n-\x1f\x7f]*?)[ \t]*"
)
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"


class HeadError(http.client.HTTPException):
    """The head of a response is incomplete, malformed or ambiguous."""


class StrictResponse(http.client.HTTPResponse):
    """A response whose head must be complete and unambiguous."""

    def begin(self) -> None:
        """Read the head, after any interim responses.

        :raises HeadError: if the head is no complete head of a response
        :raises http.client.RemoteDisconnected: if nothing has been received
        :raises OSError: if the connection fails
        """
        if self.headers is not None:
            return
        received = self.fp
        self.fp = io.BufferedReader(io.BytesIO(_read_head(received)))
        try:
            super().begin()
        finally:
            self.fp = received


class StrictConnection(urllib3.connection.HTTPConnection):
    """A connection of a pool that reads heads strictly."""

    response_class = StrictResponse


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
        if not line.endswith(b"\n"):
            raise HeadError("the head has no end")
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
        values.setdefault(match[1].lower(), set()).add(match[2])
    lengths = values.get(CONTENT_LENGTH, set())
    codings = values.get(TRANSFER_ENCODING, set())
    if len(lengths) + len(codings) > 1:
        raise HeadError("the length of the body is ambiguous")
    if not all(map(_is_length, lengths)):
        raise HeadError("the length of the body is malformed")
    if any(coding.lower() != b"chunked" for coding in codings):
        raise HeadError("the transfer coding is unknown")


def _is_length(value: bytes) -> bool:
    return value.isdigit() and len(value) <= MAX_LENGTH_DIGITS


def _strip_end(line: bytes) -> bytes:
    return line.removesuffix(b"\n").removesuffix(b"\r")

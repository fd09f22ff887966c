"""Reads callers' requests strictly and reports bad ones as JSON."""

import collections.abc
import http
import io
import socket
import time
import typing

from cheroot import errors as cheroot_errors
from cheroot import makefile
from cheroot import server

from mulberryway import errors
from mulberryway import replies
from mulberryway.relay import writers

__all__ = ["Connection", "HeaderReader", "Request"]

READ_BYTES = 65_536
LINGER_TIMEOUT_S = 0.5
CONTENT_LENGTH = b"Content-Length"
TRANSFER_ENCODING = b"Transfer-Encoding"
FOLDING = (b" ", b"\t")
ERROR_CODE_BY_STATUS = {
    413: errors.Code.BODY_TOO_LARGE,
    414: errors.Code.BODY_TOO_LARGE,
    500: errors.Code.INTERNAL,
    503: errors.Code.OVERLOADED,
}
OVERLOAD_RETRY_AFTER_MS = 1_000


class _LimitedReader(socket.SocketIO):
    """A socket's file that stops at a point in time.

    The socket's own timeout starts anew with each byte, so a caller that
    sends one byte now and then would hold a worker thread for ever.
    """

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection, "rb")
        self.limit_s = 0.0

    def readinto(self, buffer: typing.Any) -> int | None:
        left_s = self.limit_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("timed out")
        self._sock.settimeout(left_s)
        return super().readinto(buffer)


def _make_file(connection: socket.socket, mode: str, size: int) -> io.IOBase:
    if "w" in mode:
        return makefile.StreamWriter(connection, mode, size)
    reader = makefile.StreamReader(connection, mode, size)
    # The reader keeps its own buffer; only where bytes come from changes.
    reader._raw = _LimitedReader(connection)
    return reader


class HeaderReader(server.HeaderReader):
    """Refuses heads that two programs could read in two ways.

    A body whose length is told twice, or in an unusual form, may be read
    as one request here and as two at an upstream; the second would then run
    unchecked, under the pool's own credential.
    """

    def __call__(
        self, rfile: typing.Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read a head.

        :param rfile: where the lines come from
        :param hdict: the headers by name, filled in
        :returns: the headers
        :raises ValueError: if the head is ambiguous; answered with 400
        """
        lines = _StrictLines(rfile)
        headers = super().__call__(lines, {} if hdict is None else hdict)
        length = headers.get(CONTENT_LENGTH)
        coding = headers.get(TRANSFER_ENCODING)
        if length is not None and coding is not None:
            raise ValueError(
                "Content-Length and Transfer-Encoding exclude each other"
            )
        if length is not None and not (length.isascii() and length.isdigit()):
            raise ValueError("Content-Length is not a number")
        if coding is not None and coding.lower() != b"chunked":
            raise ValueError("Transfer-Encoding is not chunked")
        return headers


class _StrictLines:
    """Lines of a head; refuses folded, nameless and repeated ones."""

    # These name the message's end; two of them need not agree.
    ONCE = frozenset((b"content-length", b"transfer-encoding", b"host"))

    __slots__ = ("_rfile", "_seen")

    def __init__(self, rfile: typing.Any) -> None:
        self._rfile = rfile
        self._seen: set[bytes] = set()

    def readline(self, size: int | None = None) -> bytes:
        line: bytes = self._rfile.readline(size)
        if line.startswith(FOLDING):
            raise ValueError("a header line is folded")
        name, colon, _ = line.partition(b":")
        if colon and name != name.strip():
            raise ValueError("a header's name has spaces around it")
        name = name.lower()
        if name in self.ONCE and name in self._seen:
            raise ValueError(f"{name.decode('latin-1')} is given twice")
        self._seen.add(name)
        return line


class Request(server.HTTPRequest):
    """One request; errors before the filter chain are JSON too."""

    header_reader = HeaderReader()

    def read_request_headers(self) -> bool:
        """Read the head.

        :returns: whether the request can go on
        """
        if not super().read_request_headers():
            return False
        if TRANSFER_ENCODING in self.inheaders and not self.chunked_read:
            # An HTTP/1.0 caller: cheroot would leave the body unread on
            # the connection and take it for the next request.
            self.simple_response("400 Bad Request", "unexpected coding")
            return False
        return True

    def read_body(self) -> bytes:
        """Return the whole body.

        :returns: the body
        :raises MaxSizeExceeded: if it is larger than allowed
        :raises ValueError: if its coding is wrong or it ends early
        """
        if self.chunked_read:
            return self._read_chunks()
        length = int(self.inheaders.get(CONTENT_LENGTH, 0))
        body = self.conn.rfile.read(length) if length else b""
        if len(body) < length:
            raise ValueError("the body ended early")
        return body

    def _read_chunks(self) -> bytes:
        most = self.server.max_request_body_size
        pieces = []
        total = 0
        for piece in self._iterate_chunks():
            total += len(piece)
            if total > most:
                raise cheroot_errors.MaxSizeExceeded
            pieces.append(piece)
        return b"".join(pieces)

    def _iterate_chunks(self) -> collections.abc.Iterator[bytes]:
        # cheroot's own reader takes a line of any length, trusts the chunk
        # sizes and leaves trailers unread.
        rfile = self.conn.rfile
        while True:
            line = rfile.readline(READ_BYTES)
            digits = line.partition(b";")[0].strip()
            if not line.endswith(b"\r\n") or not digits.isalnum():
                raise ValueError("a chunk's size is not a number")
            size = int(digits, 16)
            if not size:
                break
            if size > self.server.max_request_body_size:
                raise cheroot_errors.MaxSizeExceeded
            yield rfile.read(size)
            if rfile.read(2) != b"\r\n":
                raise ValueError("a chunk does not end with CRLF")
        # Trailers are not kept: none of them can mean anything here.
        while True:
            line = rfile.readline(READ_BYTES)
            if line == b"\r\n":
                return
            if not line.endswith(b"\r\n"):
                raise ValueError("the body ended early")

    def respond(self) -> None:
        """Let the gateway answer."""
        self.server.gateway(self).respond()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer a request that never reached the filter chain.

        What is left of it on the connection is unknown, so the connection
        is closed.

        :param status: the HTTP status with its reason
        :param msg: a sentence for people
        """
        number = int(str(status)[:3])
        self.close_connection = True
        self.conn.has_unread_input = True
        self.sent_headers = True
        fault = errors.Fault(
            ERROR_CODE_BY_STATUS.get(number, errors.Code.BAD_REQUEST),
            errors.Step.CALLER,
            message=msg or http.HTTPStatus(number).phrase,
            retry_after_ms=OVERLOAD_RETRY_AFTER_MS if number == 503 else None,
        )
        reply = replies.make_fault_reply(fault, close=True)
        reply.status = number
        head = writers.ReplyHead(True, False, [])
        try:
            self.conn.wfile.write(head.write_reply(reply))
        except OSError as error:
            if error.args[0] not in cheroot_errors.socket_errors_to_ignore:
                raise


class Connection(server.HTTPConnection):
    """A caller's connection, which can be lent to the relay.

    ``relayed_stream`` is set by the gateway and taken by the server when the
    worker thread puts the connection back; from then on no worker touches
    it.
    """

    RequestHandlerClass = Request

    def __init__(
        self,
        server_: typing.Any,
        sock: socket.socket,
        makefile_: typing.Any = None,
    ) -> None:
        super().__init__(server_, sock, _make_file)
        self.relayed_stream: typing.Any = None
        # Set when a request was answered before all of it was read.
        self.has_unread_input = False

    def communicate(self) -> bool:
        """Read one request and answer it.

        :returns: whether the connection stays open
        """
        limit_s = time.monotonic() + self.server.request_timeout_s
        self.rfile._raw.limit_s = limit_s
        return super().communicate()

    def close(self) -> None:
        """Close the connection, after what the caller is still sending.

        A socket that is closed with unread bytes resets the connection,
        and the reset overtakes the answer: the caller of an oversized
        request would see a broken connection instead of the reason.
        """
        if self.has_unread_input:
            self._discard_rest()
        super().close()

    def _discard_rest(self) -> None:
        until_s = time.monotonic() + LINGER_TIMEOUT_S
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while (left_s := until_s - time.monotonic()) > 0:
                self.socket.settimeout(left_s)
                if not self.socket.recv(READ_BYTES):
                    return
        except OSError:
            return

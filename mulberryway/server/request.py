"""Strict HTTP request parser that reports malformed requests as JSON."""

import http
import io
import logging
import re
import socket
import typing

from cheroot import server

from mulberryway import errors
from mulberryway import replies
from mulberryway.filters import status as filter_status
from mulberryway.policy import connection_limits
from mulberryway.relay import linger
from mulberryway.relay import request_memory
from mulberryway.relay import writers
from mulberryway.server import bodies

__all__ = ["HEAD", "Connection", "HeaderReader", "Request"]

LOG = logging.getLogger(__name__)

HEAD = b"HEAD"
CONTENT_LENGTH = b"Content-Length"
EXPECT = b"Expect"
TRANSFER_ENCODING = b"Transfer-Encoding"
FOLDING = (b" ", b"\t")
# RFC 9110, section 5.6.2.
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL_CHARACTERS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
# A target has no white space either.
NOT_IN_TARGET = re.compile(rb"[\x00-\x20\x7f-\xff]")
ERROR_CODE_BY_STATUS = {
    413: errors.Code.BODY_TOO_LARGE,
    414: errors.Code.BODY_TOO_LARGE,
    500: errors.Code.INTERNAL,
    503: errors.Code.OVERLOADED,
}
OVERLOAD_RETRY_AFTER_MS = 1_000


class _Writer:
    """Writes to a caller's socket without a buffer of its own.

    :param connection: the socket
    """

    __slots__ = ("_connection",)

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection

    def write(self, data: bytes) -> None:
        """Write bytes, within the socket's timeout.

        :param data: the bytes
        :raises OSError: if the caller does not read them in time
        """
        self._connection.sendall(data)


def _make_file(connection: socket.socket, mode: str, size: int) -> typing.Any:
    """Return what cheroot reads from, or writes to.

    The bytes of a request are received elsewhere, and are there before it is
    parsed.
    """
    return _Writer(connection) if "w" in mode else io.BytesIO()


class HeaderReader(server.HeaderReader):
    """Header reader that rejects ambiguous heads.

    A body whose length is given twice, or in an unusual form, may be parsed
    as one request here and as two by an upstream (request smuggling).  The
    second request would be executed unchecked with the pool's credential.
    """

    def __call__(
        self, rfile: typing.Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read the headers of a request.

        :param rfile: the file to read lines from
        :param hdict: dictionary that the headers are added to
        :returns: the headers by name
        :raises ValueError: if the head is ambiguous; the reply is 400
        """
        lines = _StrictLineReader(rfile)
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


class _OldHeaderReader(HeaderReader):
    """Header reader of HTTP/1.0, which knows no interim replies."""

    def __call__(
        self, rfile: typing.Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        headers = super().__call__(rfile, hdict)
        headers.pop(EXPECT, None)
        return headers


class _StrictLineReader:
    """Reads header lines; rejects folded, malformed and duplicate ones."""

    # Headers that must not be repeated, because duplicates may contradict
    # each other about the body's length or the target host.
    UNIQUE_HEADERS = frozenset(
        (b"content-length", b"transfer-encoding", b"host")
    )

    __slots__ = ("_rfile", "_seen")

    def __init__(self, rfile: typing.Any) -> None:
        self._rfile = rfile
        self._seen: set[bytes] = set()

    def readline(self, size: int | None = None) -> bytes:
        line: bytes = self._rfile.readline(size)
        if line.startswith(FOLDING):
            raise ValueError("header line is folded")
        name, colon, _ = line.partition(b":")
        if colon and TOKEN.fullmatch(name) is None:
            raise ValueError("header name is not a token")
        if CONTROL_CHARACTERS.search(line.removesuffix(b"\r\n")):
            # A request to an upstream cannot carry it.
            raise ValueError("header has control characters")
        name = name.lower()
        if name in self.UNIQUE_HEADERS and name in self._seen:
            raise ValueError(f"{name.decode('latin-1')} header is duplicated")
        self._seen.add(name)
        return line


class Request(server.HTTPRequest):
    """One HTTP request; replies with JSON even before the filter chain."""

    header_reader = HeaderReader()
    # Empty until the request line was read.
    method = b""
    # The complete body, the memory that is reserved for the request, and when
    # its last byte was received, in ms.
    body = b""
    memory: request_memory.RequestMemory
    received_ms = 0

    def read_request_line(self) -> bool:
        """Read the request line.

        :returns: whether to continue with the request
        """
        if not super().read_request_line():
            return False
        if self.response_protocol != "HTTP/1.1":
            self.header_reader = _OldHeaderReader()
        if TOKEN.fullmatch(self.method) is None:
            self.simple_response("400 Bad Request", "method is not a token")
            return False
        if NOT_IN_TARGET.search(self.uri):
            self.simple_response(
                "400 Bad Request", "target has control characters"
            )
            return False
        return True

    def read_request_headers(self) -> bool:
        """Read the request's headers.

        :returns: whether to continue with the request
        """
        if not super().read_request_headers():
            return False
        if TRANSFER_ENCODING in self.inheaders and not self.chunked_read:
            # The caller speaks HTTP/1.0.  cheroot would leave the body unread
            # on the connection and parse it as the next request.
            self.simple_response(
                "400 Bad Request", "unexpected Transfer-Encoding"
            )
            return False
        return True

    def make_body(self, reserve: bodies.Reservation) -> bodies.Body | None:
        """Return the decoder of the request's body; none if it has no body.

        :param reserve: reserves memory before it is used
        """
        if self.chunked_read:
            return bodies.ChunkedBody(
                reserve, self.server.max_request_body_size
            )
        length = int(self.inheaders.get(CONTENT_LENGTH, 0))
        return bodies.SizedBody(reserve, length) if length else None

    def respond(self) -> None:
        """Handle the request with the gateway."""
        self.server.gateway(self).respond()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Reply to a request that did not reach the filter chain.

        The connection is closed, because an unknown part of the request may
        still be unread.

        :param status: the HTTP status with its reason phrase
        :param msg: human-readable error message
        """
        number = int(str(status)[:3])
        self.close_connection = True
        self.conn.has_unread_input = True
        self.sent_headers = True
        if self.conn.is_input_ended:
            reply = replies.make_fault_reply(
                filter_status.make_stopping_fault(), close=True
            )
        else:
            reply = _make_error_reply(number, msg)
        has_body = self.method != HEAD
        head = writers.ReplyHead(True, False, [], has_body=has_body)
        self.conn.send_rejection(head.write_reply(reply))


def _make_error_reply(number: int, message: str) -> replies.Reply:
    fault = errors.Fault(
        ERROR_CODE_BY_STATUS.get(number, errors.Code.BAD_REQUEST),
        errors.Step.CALLER,
        message=message or http.HTTPStatus(number).phrase,
        retry_after_ms=OVERLOAD_RETRY_AFTER_MS if number == 503 else None,
    )
    reply = replies.make_fault_reply(fault, close=True)
    reply.status = number
    return reply


class Connection(server.HTTPConnection):
    """A caller's connection, which can be handed over to the relay.

    The gateway sets ``relayed_stream`` or ``unsent_reply``, and the server
    hands it over when the worker thread returns the connection.  No worker
    uses the connection after that.
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
        self.unsent_reply: typing.Any = None
        # Whether a reply was written before the request was read completely.
        self.has_unread_input = False
        # Whether the server stops before the request was read completely.
        self.is_input_ended = False
        # The complete request, which a worker handles.
        self.request: Request | None = None
        # Set when the connection is accepted.
        self.reader: typing.Any = None
        self.state = connection_limits.ConnectionState(
            self, connection_limits.Phase.IDLE, 0
        )

    def communicate(self) -> bool:
        """Reply to the complete request.

        :returns: whether the connection stays open
        """
        request, self.request = self.request, None
        assert request is not None
        try:
            request.respond()
        except OSError as error:
            LOG.info("writing a reply failed: %r", error)
            return False
        except Exception as error:
            self.server.error_log(
                f"handling a request failed: {error!r}",
                logging.ERROR,
                traceback=True,
            )
            if not request.sent_headers:
                request.simple_response("500 Internal Server Error")
            return self.has_unread_input
        return not request.close_connection or self.has_unread_input

    def send_rejection(self, data: bytes) -> None:
        """Send a short reply, as far as the caller accepts it now.

        :param data: the reply, after which the connection is closed
        """
        self.has_unread_input = True
        try:
            self.socket.setblocking(False)
            self.socket.send(data)
        except OSError as error:
            LOG.debug("a rejection was not sent: %r", error)

    def close(self) -> None:
        """Close the connection, and release what is held for it."""
        self.server.forget(self)
        super().close()
        # Reference cycles, which cheroot's caches are as well, would keep
        # the connection until the garbage collector runs.
        self.reader = self.request = None
        self.state.key = None
        self.get_peer_creds = self.resolve_peer_creds = None

    def _close_kernel_socket(self) -> None:
        """Shut the connection down, unless its close is to reset it.

        A shutdown would send an ordinary end before the reset.
        """
        if self.socket.fileno() < 0 or not linger.has_reset_on_close(
            self.socket
        ):
            super()._close_kernel_socket()

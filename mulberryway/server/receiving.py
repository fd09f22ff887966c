"""Reads requests from the bytes that arrive, without waiting for them."""

import collections.abc
import enum
import io
import re
import typing

from cheroot import errors as cheroot_errors

from mulberryway import errors
from mulberryway.relay import request_memory
from mulberryway.server import arrival_times
from mulberryway.server import bodies
from mulberryway.server import request

__all__ = ["Progress", "RequestReader"]

HEAD_END = b"\r\n\r\n"
BARE_LF = re.compile(rb"(?<!\r)\n")
# What the objects of a parsed head take: for each of its lines, and as a
# multiple of its bytes.
HEADER_BYTES = 512
HEAD_FACTOR = 3
RETRY_AFTER_MS = 1_000

# Gives up other requests so that there is room; false if there is none.
MakeRoom = collections.abc.Callable[[int], bool]


class Progress(enum.Enum):
    """What has arrived of a request."""

    INCOMPLETE = enum.auto()
    COMPLETE = enum.auto()
    # A reply was sent, and the rest of the request is discarded.
    REJECTED = enum.auto()


class _NoRoomError(Exception):
    """There is no memory for a part of a request.

    :param size: the size of that part in bytes
    """

    def __init__(self, size: int) -> None:
        super().__init__(f"no room for {size} bytes")
        self.size = size


class RequestReader:
    """Reads one request after the other of a connection.

    All that is kept of a request is reserved before, and its memory is handed
    over with the complete request.

    :param connection: the caller's connection
    :param make_room: asked when the memory of callers is used up
    """

    __slots__ = (
        "memory",
        "surplus",
        "_connection",
        "_make_room",
        "_head",
        "_request",
        "_body",
    )

    def __init__(self, connection: typing.Any, make_room: MakeRoom) -> None:
        self.memory = request_memory.RequestMemory(connection.server.memory)
        # What has arrived behind the last complete request.
        self.surplus = b""
        self._connection = connection
        self._make_room = make_room
        self._head = b""
        self._request: request.Request | None = None
        self._body: bodies.Body | None = None

    @property
    def has_begun(self) -> bool:
        """Whether a part of a request has arrived."""
        return bool(self._head) or self._request is not None

    def feed(self, data: bytes) -> Progress:
        """Take bytes that have arrived.

        :param data: the bytes
        :returns: what has arrived of the request
        """
        try:
            return self._feed(data)
        except _NoRoomError as error:
            self.memory.report_refusal(error.size)
            self._reject(errors.Code.OVERLOADED, "no room for the request")
        except cheroot_errors.MaxSizeExceeded:
            self._reject(errors.Code.BODY_TOO_LARGE, "body is too large")
        except ValueError as error:
            self._reject(errors.Code.BAD_REQUEST, str(error))
        return Progress.REJECTED

    @property
    def received_bytes(self) -> int:
        """The number of bytes of the incomplete request that have arrived."""
        if self._body is None:
            return len(self._head)
        return self._body.received_bytes

    def find_header(self, name: bytes) -> bytes:
        """Return the value of a header of the incomplete request.

        :param name: the name, in title case
        :returns: the value; empty if it has not arrived
        """
        if self._request is None:
            return b""
        return self._request.inheaders.get(name, b"")

    def end(self) -> None:
        """Reject the request, whose rest will not arrive."""
        if self._request is not None:
            self._reject(errors.Code.BAD_REQUEST, "body is truncated")
        else:
            self._parse_head(self._head)

    def reject(self, status: str) -> None:
        """Reply to the incomplete request with a status.

        :param status: the HTTP status with its reason phrase
        """
        request_ = self._request or self._make_request(b"")
        request_.simple_response(status)

    def release(self) -> None:
        """Drop what has arrived, and release its memory."""
        self._head = self.surplus = b""
        self._request = self._body = None
        self.memory.release()

    def _feed(self, data: bytes) -> Progress:
        if self._request is None:
            rest = self._read_head(data)
            if rest is None:
                return Progress.INCOMPLETE
            if not self._request.ready:
                return Progress.REJECTED
            data = rest
        request_ = self._request
        surplus = data if self._body is None else self._body.feed(data)
        if surplus is None:
            return Progress.INCOMPLETE
        self._reserve(len(surplus))
        self._complete(request_, surplus)
        return Progress.COMPLETE

    def _read_head(self, data: bytes) -> bytes | None:
        """Return what follows the head; none if it is incomplete."""
        checked = max(len(self._head) - len(HEAD_END) + 1, 0)
        received = self._head + data if self._head else data
        end = received.find(HEAD_END, checked)
        max_bytes = self._connection.server.max_request_header_size
        head_bytes = len(received) if end < 0 else end + len(HEAD_END)
        is_malformed = (
            head_bytes > max_bytes
            or BARE_LF.search(received, checked, head_bytes) is not None
        )
        if end < 0 and not is_malformed:
            self._reserve(len(data))
            self._head = received
            return None
        self._reserve(
            HEAD_FACTOR * head_bytes
            + HEADER_BYTES * received.count(b"\n", 0, head_bytes)
        )
        self._head = b""
        self._parse_head(received[:head_bytes])
        return received[head_bytes:]

    def _parse_head(self, head: bytes) -> None:
        self._request = self._make_request(head)
        self._request.parse_request()
        self._connection.rfile = io.BytesIO()
        if self._request.ready:
            self._body = self._request.make_body(self._reserve)

    def _make_request(self, head: bytes) -> request.Request:
        self._connection.rfile = io.BytesIO(head)
        return request.Request(self._connection.server, self._connection)

    def _complete(self, request_: request.Request, surplus: bytes) -> None:
        if self._body is not None:
            request_.body = self._body.read()
        request_.memory = self.memory
        request_.received_ms = (
            self._connection.server.clock.now_ms()
            - arrival_times.measure_unread_ms(self._connection.socket)
        )
        self._connection.request = request_
        self.memory = request_memory.RequestMemory(
            self._connection.server.memory
        )
        self.surplus = surplus
        self._request = self._body = None

    def _reserve(self, size: int) -> None:
        if size < 0:
            self.memory.shrink(-size)
            return
        while size and not self.memory.try_grow(size):
            if not self._make_room(size):
                raise _NoRoomError(size)

    def _reject(self, code: errors.Code, message: str) -> None:
        is_temporary = code is errors.Code.OVERLOADED
        fault = errors.Fault(
            code,
            errors.Step.CALLER,
            message=message,
            retry_after_ms=RETRY_AFTER_MS if is_temporary else None,
        )
        request_ = self._request
        if request_ is None:
            self.reject("503 Service Unavailable")
        else:
            self._connection.server.gateway(request_).reject(fault)

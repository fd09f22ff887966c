"""Decoders of request bodies that arrive in pieces."""

import abc
import collections.abc
import io

from cheroot import errors as cheroot_errors

from mulberryway import chunk_sizes

__all__ = ["Body", "ChunkedBody", "SizedBody"]

CRLF = b"\r\n"
MAX_LINE_BYTES = 65_536

# Reserves memory for the given number of bytes, or raises an exception;
# negative numbers release it.
Reservation = collections.abc.Callable[[int], None]


class Body(abc.ABC):
    """Collects one body.

    ``io.BytesIO`` grows in place and hands its content over without a copy.
    Objects for each piece, or pieces that are joined, would take several
    times the memory of the body.

    :param reserve: called before bytes are kept
    """

    __slots__ = ("_content", "_reserve")

    def __init__(self, reserve: Reservation) -> None:
        self._content = io.BytesIO()
        self._reserve = reserve

    @abc.abstractmethod
    def feed(self, data: bytes) -> bytes | None:
        """Take bytes that have arrived.

        :param data: the bytes
        :returns: what follows the body; none if the body is incomplete
        :raises MaxSizeExceeded: if the body is too large
        :raises ValueError: if its coding is malformed
        """

    @property
    def received_bytes(self) -> int:
        """The number of bytes of the body that have arrived."""
        return self._content.tell()

    def read(self) -> bytes:
        """Return the complete body."""
        return self._content.getvalue()


class SizedBody(Body):
    """A body whose length is known, and reserved as a whole.

    :param reserve: see :class:`Body`
    :param length: the length in bytes
    """

    __slots__ = ("_left",)

    def __init__(self, reserve: Reservation, length: int) -> None:
        super().__init__(reserve)
        reserve(length)
        self._left = length

    def feed(self, data: bytes) -> bytes | None:
        """Take bytes that have arrived.

        :param data: the bytes
        :returns: what follows the body; none if the body is incomplete
        """
        piece = data[: self._left]
        self._content.write(piece)
        self._left -= len(piece)
        return None if self._left else data[len(piece) :]


class ChunkedBody(Body):
    """A body in the chunked transfer coding; trailers are discarded.

    :param reserve: see :class:`Body`
    :param max_bytes: the maximum size of the body
    """

    __slots__ = (
        "_max_bytes",
        "_total",
        "_left",
        "_needs_end",
        "_is_trailer",
        "_trailer_bytes",
        "_partial",
    )

    def __init__(self, reserve: Reservation, max_bytes: int) -> None:
        super().__init__(reserve)
        self._max_bytes = max_bytes
        self._total = 0
        # What is left of the current chunk.
        self._left = 0
        # Whether the end of a chunk is expected.
        self._needs_end = False
        self._is_trailer = False
        self._trailer_bytes = 0
        # A line whose end has not arrived.
        self._partial = bytearray()

    def feed(self, data: bytes) -> bytes | None:
        """Take bytes that have arrived.

        :param data: the bytes
        :returns: what follows the body; none if the body is incomplete
        :raises MaxSizeExceeded: if the body is too large
        :raises ValueError: if its coding is malformed
        """
        if self._partial:
            checked = len(self._partial) - 1
            if CRLF not in self._partial[checked:] + data:
                self._keep(data)
                return None
            self._reserve(-len(self._partial))
            data = bytes(self._partial + data)
            self._partial.clear()
        position = 0
        pieces = []
        while position < len(data):
            if self._left:
                piece = data[position : position + self._left]
                pieces.append(piece)
                position += len(piece)
                self._left -= len(piece)
                continue
            end = data.find(CRLF, position)
            if end < 0:
                self._keep(data[position:])
                break
            line, position = data[position:end], end + len(CRLF)
            if self._is_trailer and not line:
                self._write(b"".join(pieces))
                return data[position:]
            self._take_line(line)
        self._write(b"".join(pieces))
        return None

    def _write(self, data: bytes) -> None:
        self._reserve(len(data))
        self._content.write(data)

    def _keep(self, piece: bytes) -> None:
        """Keep a further piece of a line that is incomplete."""
        size = len(self._partial) + len(piece)
        is_end = self._needs_end and not CRLF.startswith(self._partial + piece)
        if is_end or b"\n" in piece or size > MAX_LINE_BYTES:
            raise ValueError("a line of the chunked coding is malformed")
        self._reserve(len(piece))
        self._partial += piece

    def _take_line(self, line: bytes) -> None:
        if self._is_trailer:
            self._take_trailer(line)
        elif self._needs_end:
            if line:
                raise ValueError("chunk does not end with CRLF")
            self._needs_end = False
        else:
            self._begin_chunk(line)

    def _take_trailer(self, line: bytes) -> None:
        self._trailer_bytes += len(line) + len(CRLF)
        if self._trailer_bytes > MAX_LINE_BYTES or b"\n" in line:
            raise ValueError("the trailers are malformed")

    def _begin_chunk(self, line: bytes) -> None:
        size = chunk_sizes.parse(line)
        if size is None:
            raise ValueError("chunk size is not a hexadecimal number")
        self._total += size
        if self._total > self._max_bytes:
            raise cheroot_errors.MaxSizeExceeded
        self._left = size
        self._needs_end = bool(size)
        self._is_trailer = not size

"""Answers of a faulty server: broken off at any byte, or sent a second time.

Which answers, and how, follows from a seed, the server and the request, not
from the order of requests.  See ``standins.hosted_upstreams`` for the faults.
"""

import asyncio
import collections
import enum
import http
import random
import socket
import struct
import typing
import weakref

from aiohttp import web

__all__ = ["Framing", "Spoiler", "is_closed", "reset"]

# Keys of what is chosen for a request, and of the copy of its stream.
RNG = "rng"
COPY = "copy"
IS_BROKEN = "is_broken"
IS_COPIED = "is_copied"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Time from the last bytes of an answer to its reset, and within a copy.
PAUSES_S = (0.0, 0.005)
# Share of the copies that are sent as soon as they are due, without a next
# request, and of those that are broken off.
AT_REST_PART = 0.3
TORN_COPY_PART = 0.4
# Share of the answers that break off in their head.
HEAD_PART = 0.5
# An answer to a longer request may break off before the request was read.
LONG_BODY_BYTES = 1_000_000
END_OF_CHUNKS = b"0\r\n\r\n"


class Framing(enum.Enum):
    """What ends an answer; the value is its header line, if any."""

    LENGTH = "Content-Length: {}"
    CHUNKS = "Transfer-Encoding: chunked"
    CONNECTION = ""


def reset(request: web.Request) -> None:
    """Reset a request's connection.

    :param request: received request
    """
    transport = request.transport
    if transport is None:
        return
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
    )
    transport.abort()


def make_head(
    rng: random.Random,
    status: int,
    headers: typing.Mapping[str, str],
    framing: Framing,
    size: int,
) -> bytes:
    """Return an answer's head, its headers in any order.

    :param rng: chooses the order
    :param status: HTTP status
    :param headers: headers without those that frame the body
    :param framing: what ends the answer
    :param size: size of the body in bytes
    """
    lines = [f"{name}: {value}" for name, value in headers.items()]
    if framing.value:
        lines.append(framing.value.format(size))
    rng.shuffle(lines)
    phrase = http.HTTPStatus(status).phrase
    lines = [f"HTTP/1.1 {status} {phrase}", *lines, "", ""]
    return "\r\n".join(lines).encode()


def frame(framing: Framing, pieces: typing.Iterable[bytes]) -> bytes:
    """Return a body with its framing.

    :param framing: what ends the answer
    :param pieces: pieces of the body
    """
    if framing is not Framing.CHUNKS:
        return b"".join(pieces)
    return b"".join(map(make_chunk, pieces)) + END_OF_CHUNKS


def make_chunk(piece: bytes) -> bytes:
    """Return a piece of a body as a chunk.

    :param piece: the piece; not empty
    """
    return b"%x\r\n%s\r\n" % (len(piece), piece)


class _Break:
    """Where an answer breaks off, and how its connection ends.

    :param rng: chooses both
    :param framing: what would have ended the answer
    :param head_size: size of its head in bytes
    :param size: size of the whole answer in bytes
    """

    __slots__ = ("size", "is_reset", "pause_s")

    def __init__(
        self, rng: random.Random, framing: Framing, head_size: int, size: int
    ) -> None:
        is_in_head = size == head_size or rng.random() < HEAD_PART
        if is_in_head:
            self.size = rng.randrange(head_size)
        else:
            self.size = rng.randrange(head_size, size)
        # Nothing else tells half of such a body from a whole one.
        self.is_reset = rng.random() < 0.5 or (
            framing is Framing.CONNECTION and not is_in_head
        )
        self.pause_s = rng.choice(PAUSES_S)

    async def end(self, request: web.Request) -> None:
        """End the connection after the last bytes were written.

        :param request: received request
        """
        if self.is_reset:
            await asyncio.sleep(self.pause_s)
            reset(request)
        elif request.transport is not None:
            request.transport.close()


class _BrokenStream(web.StreamResponse):
    """A stream that is broken off.

    :param request: request to respond to
    :param head: its head
    :param framing: what would have ended it
    :param break_: where it breaks off
    """

    def __init__(
        self,
        request: web.Request,
        head: bytes,
        framing: Framing,
        break_: _Break,
    ) -> None:
        super().__init__()
        self._request = request
        self._head = head
        self._framing = framing
        self._break = break_
        self._left = break_.size
        self._is_prepared = False

    async def prepare(self, request: web.BaseRequest) -> None:
        """Write the head.

        :param request: request to respond to
        """
        if not self._is_prepared:
            self._is_prepared = True
            await self._write(self._head)

    async def write(self, data: bytes) -> None:
        """Write a piece of the body.

        :param data: the piece
        """
        is_chunk = self._framing is Framing.CHUNKS
        await self._write(make_chunk(data) if is_chunk else data)

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the end of the body.

        :param data: not used
        """
        if self._framing is Framing.CHUNKS:
            await self._write(END_OF_CHUNKS)

    async def _write(self, data: bytes) -> None:
        transport = self._request.transport
        if transport is None or transport.is_closing():
            return
        if self._left:
            transport.write(data[: self._left])
        self._left -= min(self._left, len(data))
        if not self._left:
            await self._break.end(self._request)


class Spoiler:
    """Breaks off a server's answers, or sends them a second time.

    :param instance: name of the server's incarnation
    :param faults: the server's current faults
    """

    def __init__(
        self, instance: str, faults: typing.Mapping[str, float]
    ) -> None:
        self._instance = instance
        self._faults = faults
        self._counts: collections.Counter[str] = collections.Counter()
        self._copies: weakref.WeakKeyDictionary[
            asyncio.BaseTransport, list[bytes]
        ] = weakref.WeakKeyDictionary()

    async def begin(self, request: web.Request) -> None:
        """Send copies that are due while a request is worked on.

        :param request: received request
        """
        attempt = request.headers.get("Attempt-Id", "")
        seed = int(self._faults["spoil_seed"])
        key = f"{seed}/{self._instance}/{attempt}"
        self._counts[key] += 1
        request[RNG] = rng = random.Random(f"{key}/{self._counts[key]}")
        sample = rng.random() - self._faults["broken_part"]
        request[IS_BROKEN] = sample < 0
        request[IS_COPIED] = 0 <= sample < self._faults["copied_part"]
        transport = request.transport
        copies = [] if transport is None else self._copies.pop(transport, [])
        if not self._faults["copied_part"]:
            return
        for copy in copies:
            middle = rng.randrange(len(copy) + 1)
            transport.write(copy[:middle])
            await asyncio.sleep(rng.choice(PAUSES_S))
            transport.write(copy[middle:])

    def is_early(self, request: web.Request) -> bool:
        """Return whether to answer a request before its body was read.

        :param request: received request
        """
        return request[IS_BROKEN] and (
            (request.content_length or 0) > LONG_BODY_BYTES
        )

    def must_reject(self, request: web.Request) -> bool:
        """Return whether to reject a request without executing it.

        :param request: received request
        """
        return request[RNG].random() < self._faults["rejected_part"]

    async def finish(
        self, request: web.Request, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Break off a server's answer, or let it be sent a second time.

        :param request: received request
        :param response: the server's answer
        :returns: the answer to send, if anything is left to send
        """
        if is_closed(request):
            return response
        if not isinstance(response, web.Response):
            if COPY in request:
                await response.write_eof()
                self._add_copy(request, request[COPY])
            return response
        rng = request[RNG]
        body = response.body
        assert isinstance(body, bytes)
        if request[IS_BROKEN]:
            framing = rng.choice(list(Framing))
            head = make_head(
                rng, response.status, response.headers, framing, len(body)
            )
            data = head + frame(framing, [body] if body else [])
            break_ = _Break(rng, framing, len(head), len(data))
            assert request.transport is not None
            request.transport.write(data[: break_.size])
            await break_.end(request)
        elif request[IS_COPIED]:
            head = make_head(
                rng,
                response.status,
                response.headers,
                Framing.LENGTH,
                len(body),
            )
            self._add_copy(request, head + body)
        return response

    def spoil_stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        events: list[bytes],
    ) -> web.StreamResponse:
        """Return a stream's answer, which may break off or be sent again.

        :param request: received request
        :param response: the server's answer
        :param events: all its events
        """
        rng = request[RNG]
        framing = Framing.CHUNKS
        if request[IS_BROKEN]:
            framing = rng.choice([Framing.CHUNKS, Framing.CONNECTION])
        elif not request[IS_COPIED]:
            return response
        head = make_head(rng, http.HTTPStatus.OK, response.headers, framing, 0)
        data = head + frame(framing, events)
        if request[IS_BROKEN]:
            break_ = _Break(rng, framing, len(head), len(data))
            return _BrokenStream(request, head, framing, break_)
        request[COPY] = data
        return response

    def _add_copy(self, request: web.Request, data: bytes) -> None:
        rng = request[RNG]
        if rng.random() < TORN_COPY_PART:
            data = data[: rng.randrange(1, len(data))]
        transport = request.transport
        if transport is None or transport.is_closing():
            return
        self._copies.setdefault(transport, []).append(data)
        if rng.random() < AT_REST_PART:
            asyncio.get_running_loop().call_later(
                self._faults["copy_ms"] / 1_000, self._send_at_rest, transport
            )

    def _send_at_rest(self, transport: asyncio.Transport) -> None:
        """Send copies that no next request has taken."""
        for copy in self._copies.pop(transport, []):
            if not transport.is_closing():
                transport.write(copy)


def is_closed(request: web.Request) -> bool:
    """Return whether a request's connection is closed.

    :param request: received request
    """
    transport = request.transport
    return transport is None or transport.is_closing()

"""Answers of a faulty server that are odd, or that do not end.

See ``standins.hosted_upstreams`` for the faults that choose them.
"""

import asyncio
import enum
import typing

from aiohttp import web

__all__ = ["COMMENT", "ENDLESS", "Oddity", "write"]

BLANKS = " " * 60_000
UNKNOWN_STATUS = 600
COMMENT = b": still there\n\n"
BLOCK = b"z" * 65_536
# How much of an answer may wait in this process for its reader.
MAX_UNSENT_BYTES = 262_144
UNSENT_POLL_S = 0.002
CHUNKED = "Transfer-Encoding: chunked"


class Oddity(enum.IntEnum):
    """What is odd about an answer."""

    NONE = 0
    # Its status line has a number that HTTP does not know.
    STATUS = 1
    # A value in its head has many blanks, and all else is as it should be.
    BLANKS = 2
    # Comments stand between the events, and all else is as it should be.
    COMMENTS = 3
    ENDLESS_HEADER_LINE = 4
    ENDLESS_HEADER_LINES = 5
    ENDLESS_INTERIM_RESPONSES = 6
    ENDLESS_BODY = 7
    ENDLESS_CHUNKS = 8
    ENDLESS_COMMENTS = 9
    ENDLESS_EVENT = 10


# The last header line, none if the head has no end, and what is repeated.
ENDLESS = {
    Oddity.ENDLESS_HEADER_LINE: (None, BLOCK),
    Oddity.ENDLESS_HEADER_LINES: (None, b"\r\nX-Odd: y" * 1_000),
    Oddity.ENDLESS_INTERIM_RESPONSES: (
        None,
        b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000,
    ),
    Oddity.ENDLESS_BODY: ("Connection: close", BLOCK),
    Oddity.ENDLESS_CHUNKS: (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    Oddity.ENDLESS_COMMENTS: (
        CHUNKED,
        (b"f\r\n" + COMMENT + b"\r\n") * 1_000,
    ),
    Oddity.ENDLESS_EVENT: (CHUNKED, b"8\r\ndata: z\n\r\n" * 1_000),
}


async def write(
    request: web.Request,
    oddity: Oddity,
    headers: typing.Mapping[str, str],
    parts: list[bytes],
) -> None:
    """Answer a request, and close its connection.

    An answer without an end is written until its reader closes.

    :param request: received request
    :param oddity: what is odd about the answer
    :param headers: its headers without those that frame the body
    :param parts: its body; the events of a stream
    """
    transport = request.transport
    if transport is None:
        return
    if oddity not in ENDLESS:
        transport.write(_make_answer(oddity, headers, parts))
        transport.close()
        return
    last_line, repeated = ENDLESS[oddity]
    transport.write(_make_begin(oddity, headers, last_line))
    while not transport.is_closing():
        if transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
            transport.write(repeated)
        await asyncio.sleep(UNSENT_POLL_S)


def _make_answer(
    oddity: Oddity, headers: typing.Mapping[str, str], parts: list[bytes]
) -> bytes:
    is_stream = "Content-Type" in headers
    between = COMMENT if oddity is Oddity.COMMENTS and is_stream else b""
    body = between + between.join(parts)
    status = UNKNOWN_STATUS if oddity is Oddity.STATUS else 200
    lines = [
        f"HTTP/1.1 {status} Odd",
        *_list_lines(headers),
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if oddity is Oddity.BLANKS:
        lines.insert(1, f"X-Odd: y{BLANKS}y")
    return "\r\n".join([*lines, "", ""]).encode() + body


def _make_begin(
    oddity: Oddity, headers: typing.Mapping[str, str], last_line: str | None
) -> bytes:
    if oddity is Oddity.ENDLESS_INTERIM_RESPONSES:
        return b""
    lines = ["HTTP/1.1 200 OK", *_list_lines(headers)]
    if last_line is not None:
        return "\r\n".join([*lines, last_line, "", ""]).encode()
    return "\r\n".join([*lines, "X-Odd: y"]).encode()


def _list_lines(headers: typing.Mapping[str, str]) -> list[str]:
    return [f"{name}: {value}" for name, value in headers.items()]

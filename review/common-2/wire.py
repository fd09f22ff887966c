"""A small HTTP/1.1 server for the stand-ins: asyncio, no dependencies.

Requests are kept as they arrived: the request line is not decoded, and the
headers are not merged.
"""

import asyncio
import json


class Request:
    """One request as it arrived."""

    def __init__(self, method, target, headers, body, writer, reader):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.writer = writer
        self.reader = reader

    def get(self, name, default=""):
        """Return the first value of a header."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_request(reader, writer):
    """Return the next request of a connection; none at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    request = Request(method, target, headers, b"", writer, reader)
    try:
        if request.get("Transfer-Encoding").lower() == "chunked":
            request.body = await _read_chunks(reader)
        elif request.get("Content-Length"):
            request.body = await reader.readexactly(
                int(request.get("Content-Length"))
            )
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return request


async def _read_chunks(reader):
    pieces = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if not size:
            while (await reader.readline()) not in (b"\r\n", b""):
                pass
            return b"".join(pieces)
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)


def make_head(status, headers, length=None):
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(request, status, headers=(), body=b""):
    """Write a whole response with a length."""
    request.writer.write(make_head(status, headers, len(body)) + body)


def answer_json(request, status, value, headers=()):
    """Write a JSON response."""
    answer(
        request,
        status,
        [("Content-Type", "application/json"), *headers],
        json.dumps(value).encode(),
    )


async def serve(host, port, handle):
    """Serve until the process ends.

    :param handle: a coroutine that answers a request; returns whether the
        connection stays open
    """

    async def run(reader, writer):
        try:
            while True:
                request = await read_request(reader, writer)
                if request is None or not await handle(request):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(run, host, port, limit=8_388_608)
    async with server:
        await server.serve_forever()

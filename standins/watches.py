"""The platform stand-in's watches."""

import asyncio
import contextlib
import json
import typing

from aiohttp import web

from standins import platform_faults
from standins import serving
from standins import store

__all__ = ["Watches"]

BOOKMARK_S = 1.0


class Watch:
    """One open watch; a silent one holds its connection and says nothing."""

    __slots__ = ("kind", "wake", "is_silent")

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.wake = asyncio.Event()
        self.is_silent = False


class Watches:
    """All open watches.

    :param store_: the objects
    :param faults: an outage ends watches
    """

    def __init__(
        self, store_: store.Store, faults: platform_faults.Faults
    ) -> None:
        self._store = store_
        self._faults = faults
        self._open: set[Watch] = set()

    def __len__(self) -> int:
        return len(self._open)

    def wake(self) -> None:
        """Let all look for changes, or for an outage."""
        for watch in self._open:
            watch.wake.set()

    def silence(self) -> None:
        """Silence those that are open now, for good."""
        for watch in self._open:
            if self._faults.hits(watch.kind):
                watch.is_silent = True

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Send changes as JSON lines, and a bookmark each second.

        :param request: with the query's ``resourceVersion``
        :returns: the response, when the watch has ended
        """
        kind = request.match_info["kind"]
        after = int(request.query.get("resourceVersion") or 0)
        try:
            self._store.read_changes(kind, after)
        except store.TooOld:
            return serving.make_error_response(410, "the version is too old")
        watch = Watch(kind)
        self._open.add(watch)
        try:
            response = web.StreamResponse(
                headers={"Content-Type": "application/json"}
            )
            response.enable_chunked_encoding()
            writer = await response.prepare(request)
            writer.send_headers()
            await self._send(response, watch, after)
        finally:
            self._open.discard(watch)
        return response

    async def _send(
        self, response: web.StreamResponse, watch: Watch, after: int
    ) -> None:
        loop = asyncio.get_running_loop()
        bookmark_s = loop.time() + BOOKMARK_S
        while not (self._faults.outage and self._faults.hits(watch.kind)):
            watch.wake.clear()
            if not watch.is_silent:
                try:
                    after = await self._send_fresh(response, watch, after)
                except store.TooOld:
                    return
            # Writes of other kinds wake this watch too, again and again;
            # its bookmarks are due all the same.
            if loop.time() >= bookmark_s:
                bookmark_s = loop.time() + BOOKMARK_S
                if not watch.is_silent:
                    await response.write(_encode_bookmark(after))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    watch.wake.wait(), bookmark_s - loop.time()
                )

    async def _send_fresh(
        self, response: web.StreamResponse, watch: Watch, after: int
    ) -> int:
        version = self._store.version
        lines = [
            encode_line(change.type, change.object)
            for change in self._store.read_changes(watch.kind, after)
        ]
        if lines:
            await response.write(b"".join(lines))
        return max(version, after)


def _encode_bookmark(version: int) -> bytes:
    metadata = {"resourceVersion": str(version)}
    return encode_line("BOOKMARK", {"metadata": metadata})


def encode_line(type_: str, object_: dict[str, typing.Any]) -> bytes:
    """Return one line of a watch.

    :param type_: the event's type
    :param object_: the object
    """
    return json.dumps({"type": type_, "object": object_}).encode() + b"\n"

"""Watches of the platform stand-in."""

import asyncio
import contextlib
import json
import typing

from aiohttp import web

from standins import platform_faults
from standins import serving
from standins import store

__all__ = ["Watches"]

BOOKMARK_INTERVAL_S = 1.0


class Watch:
    """Open watch; a silent one keeps its connection and sends nothing.

    :param kind: kind of the watched objects
    """

    __slots__ = ("kind", "wake", "is_silent")

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.wake = asyncio.Event()
        self.is_silent = False


class Watches:
    """Set of all open watches.

    :param store_: store of the watched objects
    :param faults: current faults; an outage ends watches
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
        """Make all watches check for changes and for an outage."""
        for watch in self._open:
            watch.wake.set()

    def silence(self) -> None:
        """Make the watches that are open now send nothing more."""
        for watch in self._open:
            if self._faults.applies_to(watch.kind):
                watch.is_silent = True

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Send changes as JSON lines, and a bookmark each second.

        :param request: request with ``resourceVersion`` in its query
        :returns: response, after the watch has ended
        """
        kind = request.match_info["kind"]
        after_version = int(request.query.get("resourceVersion") or 0)
        try:
            self._store.read_changes(kind, after_version)
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
            await self._send_events(response, watch, after_version)
        finally:
            self._open.discard(watch)
        return response

    async def _send_events(
        self, response: web.StreamResponse, watch: Watch, after_version: int
    ) -> None:
        loop = asyncio.get_running_loop()
        bookmark_s = loop.time() + BOOKMARK_INTERVAL_S
        while not (
            self._faults.outage and self._faults.applies_to(watch.kind)
        ):
            watch.wake.clear()
            if not watch.is_silent:
                try:
                    after_version = await self._send_changes(
                        response, watch, after_version
                    )
                except store.TooOld:
                    return
            # Frequent writes to other kinds wake this watch as well; they
            # must not delay its bookmarks.
            if loop.time() >= bookmark_s:
                bookmark_s = loop.time() + BOOKMARK_INTERVAL_S
                if not watch.is_silent:
                    await response.write(_encode_bookmark(after_version))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    watch.wake.wait(), bookmark_s - loop.time()
                )

    async def _send_changes(
        self, response: web.StreamResponse, watch: Watch, after_version: int
    ) -> int:
        version = self._store.version
        lines = [
            encode_line(change.type, change.object)
            for change in self._store.read_changes(watch.kind, after_version)
        ]
        if lines:
            await response.write(b"".join(lines))
        return max(version, after_version)


def _encode_bookmark(version: int) -> bytes:
    metadata = {"resourceVersion": str(version)}
    return encode_line("BOOKMARK", {"metadata": metadata})


def encode_line(type_: str, object_: dict[str, typing.Any]) -> bytes:
    """Encode one event of a watch as a line of JSON.

    :param type_: type of the event
    :param object_: object in the form of the API
    """
    return json.dumps({"type": type_, "object": object_}).encode() + b"\n"

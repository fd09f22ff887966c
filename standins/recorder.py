"""Bounded record of the requests to a stand-in, for the test harness."""

import collections
import typing

from aiohttp import web

from standins import serving

__all__ = ["Recorder"]

MAX_BYTES = 64 << 20
MAX_RUNS = 200_000


class Recorder:
    """Record of request texts and of executions.

    The oldest entries are dropped at the limits.  If ``dropped`` is not 0,
    the counts that a test reads are incomplete.
    """

    def __init__(self) -> None:
        self._texts: collections.deque[str] = collections.deque()
        self._bytes = 0
        self._dropped = 0
        self.runs: collections.deque[dict[str, typing.Any]] = (
            collections.deque(maxlen=MAX_RUNS)
        )

    def note(self, request: web.Request, body: bytes) -> None:
        """Record all parts of a request that could contain an API key.

        :param request: received request
        :param body: complete body of the request
        """
        headers = "\n".join(
            f"{name}: {value}" for name, value in request.headers.items()
        )
        text = (
            f"{request.raw_path}\n{headers}\n{body.decode(errors='replace')}"
        )
        self._texts.append(text)
        self._bytes += len(text)
        while self._bytes > MAX_BYTES:
            self._bytes -= len(self._texts.popleft())
            self._dropped += 1

    def add_routes(self, app: web.Application) -> None:
        """Add the routes that the test harness reads.

        :param app: application of the stand-in
        """
        app.router.add_get("/standin/seen", self._show_seen)
        app.router.add_get("/standin/runs", self._show_runs)

    async def _show_seen(self, request: web.Request) -> web.Response:
        """Return the number of requests that contain the ``needle``."""
        needle = request.query["needle"]
        count = sum(needle in text for text in self._texts)
        return serving.answer(
            {
                "count": count,
                "requests": len(self._texts) + self._dropped,
                "dropped": self._dropped,
            }
        )

    async def _show_runs(self, request: web.Request) -> web.Response:
        return serving.answer({"runs": list(self.runs)})

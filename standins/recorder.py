"""What a stand-in was sent, kept within bounds for checkers."""

import collections
import typing

from aiohttp import web

from standins import serving

__all__ = ["Recorder"]

MOST_BYTES = 64 << 20
MOST_RUNS = 200_000


class Recorder:
    """Keeps the text of requests, and a record of each run.

    The oldest are dropped at the bounds; ``dropped`` tells a checker that
    what it counts is incomplete.
    """

    def __init__(self) -> None:
        self._texts: collections.deque[str] = collections.deque()
        self._bytes = 0
        self._dropped = 0
        self.runs: collections.deque[dict[str, typing.Any]] = (
            collections.deque(maxlen=MOST_RUNS)
        )

    def note(self, request: web.Request, body: bytes) -> None:
        """Keep everything a request could carry a key in.

        :param request: the request
        :param body: its whole body
        """
        headers = "\n".join(
            f"{name}: {value}" for name, value in request.headers.items()
        )
        text = (
            f"{request.raw_path}\n{headers}\n{body.decode(errors='replace')}"
        )
        self._texts.append(text)
        self._bytes += len(text)
        while self._bytes > MOST_BYTES:
            self._bytes -= len(self._texts.popleft())
            self._dropped += 1

    def add_routes(self, app: web.Application) -> None:
        """Let checkers ask.

        :param app: the stand-in's application
        """
        app.router.add_get("/standin/seen", self._show_seen)
        app.router.add_get("/standin/runs", self._show_runs)

    async def _show_seen(self, request: web.Request) -> web.Response:
        """Count the requests that hold the query's ``needle``."""
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

"""The plain service stand-in: an echo, and bookings that must run once.

``python -m standins.service --port 9100``; ``POST /bookings`` takes effect
each time that it arrives, and ``GET /standin/bookings`` shows how often.
"""

import asyncio
import collections
import hashlib
import itertools
import typing

from absl import app
from absl import flags
from aiohttp import web

from standins import recorder
from standins import serving

__all__ = ["ServiceServer", "run"]

FLAGS = flags.FLAGS

flags.DEFINE_string("host", "127.0.0.1", "the IP number to listen on")
flags.DEFINE_integer("port", 9100, "the port")
flags.DEFINE_integer("delay_ms", 0, "the time that each call takes")
flags.DEFINE_string("credential", "", "the bearer token to ask for, if any")


class ServiceServer:
    """A service with effects that are counted.

    Faults, switched by ``POST /standin/faults``: ``delay_ms``;
    ``lost_replies`` counts bookings to come that take effect and whose
    connection is then cut; ``fail_status`` is answered, without any effect,
    to all calls while it is not 0.

    :param delay_ms: the time that each call takes
    :param credential: the bearer token to ask for; empty for none
    """

    def __init__(self, delay_ms: int, credential: str) -> None:
        self.faults = {
            "delay_ms": delay_ms,
            "lost_replies": 0,
            "fail_status": 0,
        }
        self.recorder = recorder.Recorder()
        self._credential = credential
        self._numbers = itertools.count(1)
        self._by_request: collections.Counter[str] = collections.Counter()
        self._by_key: collections.Counter[str] = collections.Counter()
        self._by_body: collections.Counter[str] = collections.Counter()

    def make_app(self) -> web.Application:
        """Return the application to serve."""
        app_ = serving.make_app()
        app_.router.add_get("/standin/bookings", self._show_bookings)
        app_.router.add_post("/standin/faults", self._set_faults)
        self.recorder.add_routes(app_)
        app_.router.add_post("/bookings{rest:.*}", self._book)
        app_.router.add_route("*", "/{path:.*}", self._echo)
        return app_

    async def _begin(self, request: web.Request) -> web.Response | None:
        self.recorder.note(request, await request.read())
        wanted = f"Bearer {self._credential}"
        if self._credential and request.headers.get("Authorization") != wanted:
            return self._answer(request, {"error": "wrong credential"}, 401)
        if self.faults["fail_status"]:
            status = self.faults["fail_status"]
            return self._answer(request, {"error": "switched"}, status)
        await asyncio.sleep(self.faults["delay_ms"] / 1000)
        return None

    def _answer(
        self, request: web.Request, body: typing.Any, status: int = 200
    ) -> web.Response:
        response = serving.answer(body, status)
        request_id = request.headers.get("X-Request-Id")
        if request_id is not None:
            response.headers["X-Request-Id"] = request_id
        return response

    async def _echo(self, request: web.Request) -> web.Response:
        refused = await self._begin(request)
        if refused is not None:
            return refused
        body = await request.read()
        return self._answer(
            request,
            {
                "method": request.method,
                "target": request.raw_path,
                "body": body.decode(errors="replace"),
            },
        )

    async def _book(self, request: web.Request) -> web.Response:
        """Book once more, whatever came before."""
        refused = await self._begin(request)
        if refused is not None:
            return refused
        body = await request.read()
        number = next(self._numbers)
        digest = hashlib.sha256(body).hexdigest()[:16]
        request_id = request.headers.get("X-Request-Id", "")
        key = request.headers.get("Idempotency-Key", "")
        self._by_request[request_id] += 1
        self._by_key[key] += 1
        self._by_body[digest] += 1
        self.recorder.runs.append(
            {"id": request_id, "key": key, "body": digest, "number": number}
        )
        if self.faults["lost_replies"] > 0:
            self.faults["lost_replies"] -= 1
            request.transport.abort()
        return self._answer(request, {"booking": number, "body": digest}, 201)

    async def _show_bookings(self, request: web.Request) -> web.Response:
        return serving.answer(
            {
                "total": self._by_request.total(),
                "by_request": self._by_request,
                "by_key": self._by_key,
                "by_body": self._by_body,
            }
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults |= await serving.read_json(request)
        return serving.answer(self.faults)


async def serve() -> None:
    """Serve until a signal."""
    server = ServiceServer(FLAGS.delay_ms, FLAGS.credential)
    await serving.serve(FLAGS.host, {FLAGS.port: server.make_app()})


def run() -> None:
    """Parse the command line and serve."""
    app.run(lambda _: asyncio.run(serve()))


if __name__ == "__main__":
    run()

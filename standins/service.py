"""Stand-in for a non-model service with an echo and non-idempotent bookings.

``python -m standins.service --port 9100``; ``POST /bookings`` takes effect
each time that it arrives, and ``GET /standin/bookings`` returns the counts.
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

flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on")
flags.DEFINE_integer("port", 9100, "port to listen on")
flags.DEFINE_integer("delay_ms", 0, "duration of each call")
flags.DEFINE_string("credential", "", "required bearer token, if any")


class ServiceServer:
    """Service that counts the effects of its calls.

    ``POST /standin/faults`` sets faults:

    * ``delay_ms``: duration of each call
    * ``lost_replies``: number of coming bookings that take effect, but whose
      connection is reset before the response
    * ``fail_status``: if not 0, status of all responses; calls then have no
      effect

    :param delay_ms: duration of each call in ms
    :param credential: required bearer token; empty for none
    """

    def __init__(self, delay_ms: int, credential: str) -> None:
        self.faults = {
            "delay_ms": delay_ms,
            "lost_replies": 0,
            "fail_status": 0,
        }
        self.recorder = recorder.Recorder()
        self._credential = credential
        self._booking_numbers = itertools.count(1)
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

    async def _find_error(self, request: web.Request) -> web.Response | None:
        self.recorder.note(request, await request.read())
        expected = f"Bearer {self._credential}"
        if (
            self._credential
            and request.headers.get("Authorization") != expected
        ):
            return self._make_response(
                request, {"error": "wrong credential"}, 401
            )
        if self.faults["fail_status"]:
            status = self.faults["fail_status"]
            return self._make_response(
                request, {"error": "injected fault"}, status
            )
        await asyncio.sleep(self.faults["delay_ms"] / 1000)
        return None

    def _make_response(
        self, request: web.Request, body: typing.Any, status: int = 200
    ) -> web.Response:
        response = serving.answer(body, status)
        request_id = request.headers.get("X-Request-Id")
        if request_id is not None:
            response.headers["X-Request-Id"] = request_id
        return response

    async def _echo(self, request: web.Request) -> web.Response:
        error_response = await self._find_error(request)
        if error_response is not None:
            return error_response
        body = await request.read()
        return self._make_response(
            request,
            {
                "method": request.method,
                "target": request.raw_path,
                "body": body.decode(errors="replace"),
            },
        )

    async def _book(self, request: web.Request) -> web.Response:
        """Make another booking, also for a repeated request."""
        error_response = await self._find_error(request)
        if error_response is not None:
            return error_response
        body = await request.read()
        number = next(self._booking_numbers)
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
        return self._make_response(
            request, {"booking": number, "body": digest}, 201
        )

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
    """Serve until a termination signal."""
    server = ServiceServer(FLAGS.delay_ms, FLAGS.credential)
    await serving.serve(FLAGS.host, {FLAGS.port: server.make_app()})


def run() -> None:
    """Parse the command line and serve."""
    app.run(lambda _: asyncio.run(serve()))


if __name__ == "__main__":
    run()

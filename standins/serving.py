"""What all HTTP stand-ins share: serving until a signal, JSON replies."""

import asyncio
import json
import signal
import typing

import aiohttp
from aiohttp import web

__all__ = [
    "answer",
    "make_error_response",
    "make_app",
    "make_session",
    "read_json",
    "serve",
]

BACKLOG = 1_024
KEEP_ALIVE_S = 75.0
MOST_BODY_BYTES = 8 << 20


def answer(body: typing.Any, status: int = 200) -> web.Response:
    """Return a JSON response.

    :param body: what to encode
    :param status: the HTTP status
    :returns: the response
    """
    return web.json_response(body, status=status)


def make_error_response(status: int, message: str) -> web.Response:
    """Return a JSON error.

    :param status: the HTTP status
    :param message: one sentence
    :returns: the response
    """
    return answer({"error": {"code": status, "message": message}}, status)


async def read_json(request: web.Request) -> dict[str, typing.Any]:
    """Return a request's JSON object.

    :param request: the request
    :returns: the object
    :raises web.HTTPBadRequest: if the body is anything else
    """
    try:
        body = json.loads(await request.read() or b"{}")
    except ValueError as error:
        raise web.HTTPBadRequest(text="not JSON") from error
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(text="not a JSON object")
    return body


def make_app() -> web.Application:
    """Return an application that takes large bodies."""
    return web.Application(client_max_size=MOST_BODY_BYTES)


def make_session() -> aiohttp.ClientSession:
    """Return a session for calls to other stand-ins."""
    return aiohttp.ClientSession()


async def serve(host: str, apps: dict[int, web.Application]) -> None:
    """Serve applications until SIGTERM or SIGINT.

    :param host: the IP number to listen on
    :param apps: the applications by port
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    runners = [await _start(host, port, app) for port, app in apps.items()]
    print(json.dumps({"ready": sorted(apps)}), flush=True)
    await stopping.wait()
    await asyncio.gather(*(runner.cleanup() for runner in runners))


async def _start(host: str, port: int, app: web.Application) -> web.AppRunner:
    # A handler has to end when its caller goes: that is how an engine
    # learns that a request is cancelled.
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=KEEP_ALIVE_S,
        shutdown_timeout=0.1,
    )
    await runner.setup()
    await web.TCPSite(runner, host, port, backlog=BACKLOG).start()
    return runner

"""Helpers of all HTTP stand-ins: serving until a signal, JSON responses."""

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
MAX_BODY_BYTES = 8 << 20


def answer(body: typing.Any, status: int = 200) -> web.Response:
    """Return a JSON response.

    :param body: value to encode
    :param status: HTTP status
    :returns: response with the encoded value
    """
    return web.json_response(body, status=status)


def make_error_response(status: int, message: str) -> web.Response:
    """Return a JSON error response.

    :param status: HTTP status
    :param message: error message
    :returns: response with the error
    """
    return answer({"error": {"code": status, "message": message}}, status)


async def read_json(request: web.Request) -> dict[str, typing.Any]:
    """Return the JSON object in a request's body.

    :param request: request to read
    :returns: decoded object; empty if there is no body
    :raises web.HTTPBadRequest: if the body is not a JSON object
    """
    try:
        body = json.loads(await request.read() or b"{}")
    except ValueError as error:
        raise web.HTTPBadRequest(text="the body is not valid JSON") from error
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(text="the body is not a JSON object")
    return body


def make_app() -> web.Application:
    """Return an application that accepts large bodies."""
    return web.Application(client_max_size=MAX_BODY_BYTES)


def make_session() -> aiohttp.ClientSession:
    """Return a session for calls to other stand-ins."""
    return aiohttp.ClientSession()


async def serve(host: str, apps: dict[int, web.Application]) -> None:
    """Serve applications until SIGTERM or SIGINT.

    :param host: IP address to listen on
    :param apps: applications by port
    """
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_event.set)
    runners = [await _start(host, port, app) for port, app in apps.items()]
    print(json.dumps({"ready": sorted(apps)}), flush=True)
    await stop_event.wait()
    await asyncio.gather(*(runner.cleanup() for runner in runners))


async def _start(host: str, port: int, app: web.Application) -> web.AppRunner:
    # Handlers are cancelled when their caller disconnects.  This is how an
    # engine detects that a request is cancelled.
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

"""Fault-injecting TCP proxy for several pairs of listening port and target.

``python -m standins.faultproxy --port 9300 --pair
engine=127.0.0.1:9301=127.0.0.1:9001``; ``POST /standin/pairs/NAME`` on the
control port sets faults, and ``GET /standin/pairs`` returns them.
"""

import asyncio

from absl import app
from absl import flags
from aiohttp import web

from standins import proxy_pair
from standins import serving

__all__ = ["run"]

FLAGS = flags.FLAGS

flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on")
flags.DEFINE_integer("port", 9300, "control port")
flags.DEFINE_multi_string("pair", [], "NAME=LISTEN_HOST:PORT=HOST:PORT")
flags.DEFINE_integer("seed", 1, "random seed of the delays")


class Control:
    """HTTP API of the control port.

    :param pairs: proxy pairs by name
    """

    def __init__(self, pairs: dict[str, proxy_pair.Proxy]) -> None:
        self._pairs = pairs

    def make_app(self) -> web.Application:
        """Return the control application."""
        app_ = serving.make_app()
        app_.router.add_get("/standin/pairs", self._show)
        app_.router.add_post("/standin/pairs/{name}", self._set_faults)
        return app_

    async def _show(self, request: web.Request) -> web.Response:
        return serving.answer(
            {name: pair.show() for name, pair in self._pairs.items()}
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        pair = self._pairs.get(request.match_info["name"])
        if pair is None:
            return serving.make_error_response(404, "no such pair")
        try:
            await pair.apply_faults(await serving.read_json(request))
        except ValueError as error:
            return serving.make_error_response(400, str(error))
        return serving.answer(pair.show())


def split_address(text: str) -> tuple[str, int]:
    """Split an address into host and port.

    :param text: ``host:port``
    :returns: host and port
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


async def serve() -> None:
    """Listen for all pairs and serve the control port until a signal."""
    pairs = {}
    for number, definition in enumerate(FLAGS.pair):
        name, listen, target = definition.split("=")
        pair = proxy_pair.Proxy(
            name, split_address(target), FLAGS.seed + number
        )
        pairs[name] = pair
        await asyncio.start_server(
            pair.accept, *split_address(listen), backlog=serving.BACKLOG
        )
    await serving.serve(FLAGS.host, {FLAGS.port: Control(pairs).make_app()})


def run() -> None:
    """Parse the command line and serve."""
    app.run(lambda _: asyncio.run(serve()))


if __name__ == "__main__":
    run()

"""The fault-injecting TCP proxy: many pairs in one process.

``python -m standins.faultproxy --port 9300 --pair
engine=127.0.0.1:9301=127.0.0.1:9001``; faults are switched by ``POST
/standin/pairs/NAME`` on the control port, and shown by ``GET
/standin/pairs``.
"""

import asyncio

from absl import app
from absl import flags
from aiohttp import web

from standins import proxy_pair
from standins import serving

__all__ = ["run"]

FLAGS = flags.FLAGS

flags.DEFINE_string("host", "127.0.0.1", "the IP number to listen on")
flags.DEFINE_integer("port", 9300, "the control port")
flags.DEFINE_multi_string("pair", [], "NAME=LISTEN_HOST:PORT=HOST:PORT")
flags.DEFINE_integer("seed", 1, "decides delays")


class Control:
    """The control port.

    :param pairs: the pairs by name
    """

    def __init__(self, pairs: dict[str, proxy_pair.Proxy]) -> None:
        self._pairs = pairs

    def make_app(self) -> web.Application:
        """Return the application to serve."""
        app_ = serving.make_app()
        app_.router.add_get("/standin/pairs", self._show)
        app_.router.add_post("/standin/pairs/{name}", self._change)
        return app_

    async def _show(self, request: web.Request) -> web.Response:
        return serving.answer(
            {name: pair.show() for name, pair in self._pairs.items()}
        )

    async def _change(self, request: web.Request) -> web.Response:
        pair = self._pairs.get(request.match_info["name"])
        if pair is None:
            return serving.make_error_response(404, "no such pair")
        try:
            await pair.change(await serving.read_json(request))
        except ValueError as error:
            return serving.make_error_response(400, str(error))
        return serving.answer(pair.show())


def split_address(text: str) -> tuple[str, int]:
    """Return host and port.

    :param text: ``host:port``
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


async def serve() -> None:
    """Listen for all pairs, then serve the control port until a signal."""
    pairs = {}
    for number, text in enumerate(FLAGS.pair):
        name, listen, target = text.split("=")
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

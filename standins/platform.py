"""Platform stand-in: an object API with conditional updates and watches.

``python -m standins.platform --port 8001``; ``POST /standin/faults`` sets
faults, and ``POST /standin/nodes`` sets the list of VMs.
"""

import asyncio
import collections.abc
import typing

from absl import app
from absl import flags
from aiohttp import web

from standins import platform_faults
from standins import rate_limits
from standins import serving
from standins import store
from standins import watches

__all__ = ["PlatformServer", "run"]

FLAGS = flags.FLAGS

flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on")
flags.DEFINE_integer("port", 8001, "port to listen on")
flags.DEFINE_integer("writes_per_s", 300, "writes per second; 0: no limit")
flags.DEFINE_integer("reads_per_s", 2_000, "reads per second; 0: no limit")
flags.DEFINE_integer("most_changes", 10_000, "history length in writes")
flags.DEFINE_integer("nodes_lag_ms", 2_000, "delay of the list of VMs")
flags.DEFINE_integer("latency_ms", 2, "response latency without faults")
flags.DEFINE_integer("seed", 1, "random seed that selects lost replies")

PREFIX = "/apis/mulberryway.dev/v1/{kind}"
WRITES = ("create", "update", "delete")
STATUSES = {
    store.Conflict: 409,
    store.Missing: 404,
    store.TooLarge: 413,
}

Handler = collections.abc.Callable[
    [web.Request], collections.abc.Awaitable[web.StreamResponse]
]


class PlatformServer:
    """Serves a :class:`store.Store` over HTTP, with limits and faults.

    :param writes_per_s: maximum rate of writes per second; 0 for no limit
    :param reads_per_s: maximum rate of reads per second; 0 for no limit
    :param most_changes: maximum number of writes in the history
    :param nodes_lag_ms: delay in ms of changes to the list of VMs
    :param latency_ms: response latency in ms without faults
    :param seed: random seed that selects lost replies
    """

    def __init__(
        self,
        writes_per_s: int,
        reads_per_s: int,
        most_changes: int,
        nodes_lag_ms: int,
        latency_ms: int,
        seed: int,
    ) -> None:
        self.store = store.Store(most_changes)
        self.faults = platform_faults.Faults(seed)
        self.watches = watches.Watches(self.store, self.faults)
        self.calls = rate_limits.CallCounter()
        self._writes = rate_limits.TokenBucket(writes_per_s)
        self._reads = rate_limits.TokenBucket(reads_per_s)
        self._nodes: list[typing.Any] = []
        self._nodes_lag_ms = nodes_lag_ms
        self._latency_ms = latency_ms

    def make_app(self) -> web.Application:
        """Return the application to serve."""
        app_ = serving.make_app()
        routes = (
            ("GET", PREFIX, "list", self._read_all),
            ("POST", PREFIX, "create", self._create),
            ("GET", PREFIX + "/{name}", "read", self._read),
            ("POST", PREFIX + "/{name}", "create", self._create),
            ("PUT", PREFIX + "/{name}", "update", self._update),
            ("DELETE", PREFIX + "/{name}", "delete", self._delete),
            ("GET", "/api/v1/{kind:nodes}", "list", self._read_nodes),
        )
        for method, path, verb, handler in routes:
            app_.router.add_route(
                method, path, self._add_faults_and_limits(verb, handler)
            )
        app_.router.add_get("/standin/calls", self._show_calls)
        app_.router.add_delete("/standin/calls", self._clear_calls)
        app_.router.add_get("/standin/faults", self._set_faults)
        app_.router.add_post("/standin/faults", self._set_faults)
        app_.router.add_post("/standin/nodes", self._set_nodes)
        return app_

    def _add_faults_and_limits(self, verb: str, handler: Handler) -> Handler:
        """Wrap a handler with call counts, rate limits and faults."""

        async def wrapper(request: web.Request) -> web.StreamResponse:
            kind = request.match_info["kind"]
            is_watch = request.query.get("watch") == "true"
            body = await request.read()
            self.calls.note("watch" if is_watch else verb, kind, len(body))
            is_affected = self.faults.applies_to(kind)
            if is_affected and self.faults.silence:
                await asyncio.Event().wait()
            slow_ms = self.faults.slow_ms if is_affected else 0
            await asyncio.sleep((self._latency_ms + slow_ms) / 1000)
            if is_affected and self.faults.outage:
                return serving.make_error_response(503, "simulated outage")
            if not self._consume_rate(verb):
                return serving.make_error_response(429, "rate limit exceeded")
            response = await self._call_handler(handler, request)
            drops_reply = (
                verb in WRITES
                and is_affected
                and self.faults.consume_reply_drop()
            )
            if drops_reply and request.transport is not None:
                request.transport.abort()
            return response

        return wrapper

    def _consume_rate(self, verb: str) -> bool:
        now_s = asyncio.get_running_loop().time()
        if verb in WRITES:
            return self._writes.take(now_s)
        return self._reads.take(now_s, len(self.watches))

    async def _call_handler(
        self, handler: Handler, request: web.Request
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except tuple(STATUSES) as error:
            return serving.make_error_response(
                STATUSES[type(error)], f"{type(error).__name__}: {error}"
            )

    async def _read(self, request: web.Request) -> web.Response:
        return serving.answer(self.store.read(*_get_kind_and_name(request)))

    async def _read_all(self, request: web.Request) -> web.StreamResponse:
        if request.query.get("watch") == "true":
            return await self.watches.serve(request)
        version, items = self.store.read_all(request.match_info["kind"])
        metadata = {"resourceVersion": str(version)}
        return serving.answer({"metadata": metadata, "items": items})

    async def _create(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        kind, name = _get_kind_and_name(request)
        name = name or str(body["metadata"]["name"])
        object_ = self.store.create(kind, name, body["value"])
        self.watches.wake()
        return serving.answer(object_, 201)

    async def _update(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        kind, name = _get_kind_and_name(request)
        version = _get_expected_version(request, body)
        object_ = self.store.update(kind, name, body["value"], version)
        self.watches.wake()
        return serving.answer(object_)

    async def _delete(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        self.store.delete(
            *_get_kind_and_name(request), _get_expected_version(request, body)
        )
        self.watches.wake()
        return serving.answer({"status": "Success"})

    async def _read_nodes(self, request: web.Request) -> web.Response:
        return serving.answer({"items": self._nodes})

    async def _set_nodes(self, request: web.Request) -> web.Response:
        items = (await serving.read_json(request))["items"]
        asyncio.get_running_loop().call_later(
            self._nodes_lag_ms / 1000, self._apply_nodes, items
        )
        return serving.answer({})

    def _apply_nodes(self, items: list[typing.Any]) -> None:
        self._nodes = items

    async def _set_faults(self, request: web.Request) -> web.Response:
        if request.method == "POST":
            values = await serving.read_json(request)
            try:
                self.faults.update(values)
            except ValueError as error:
                return serving.make_error_response(400, str(error))
            if "stale" in values:
                self.store.set_stale_reads(self.faults.stale)
            if self.faults.silent_watches:
                self.watches.silence()
                self.faults.silent_watches = False
            self.watches.wake()
        return serving.answer(self.faults.show())

    async def _show_calls(self, request: web.Request) -> web.Response:
        return serving.answer(self.calls.show(len(self.watches)))

    async def _clear_calls(self, request: web.Request) -> web.Response:
        self.calls.clear()
        return serving.answer({})


def _get_kind_and_name(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info.get("name", "")


def _get_expected_version(
    request: web.Request, body: dict[str, typing.Any]
) -> int:
    """Return the version that a write is conditional on.

    :raises web.HTTPBadRequest: if there is none; the system under test makes
        no unconditional writes, so a missing condition is an error
    """
    version = (
        request.query.get("resourceVersion")
        or body.get("metadata", {}).get("resourceVersion")
        or body.get("preconditions", {}).get("resourceVersion")
    )
    if version is None:
        raise web.HTTPBadRequest(text="missing resourceVersion")
    return int(version)


async def serve() -> None:
    """Serve until a termination signal."""
    server = PlatformServer(
        FLAGS.writes_per_s,
        FLAGS.reads_per_s,
        FLAGS.most_changes,
        FLAGS.nodes_lag_ms,
        FLAGS.latency_ms,
        FLAGS.seed,
    )
    await serving.serve(FLAGS.host, {FLAGS.port: server.make_app()})


def run() -> None:
    """Parse the command line and serve."""
    app.run(lambda _: asyncio.run(serve()))


if __name__ == "__main__":
    run()

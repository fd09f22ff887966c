"""Stand-in for the operators' store of objects: one revision for all kinds.

``python -m standins.hosted_store --port 8101``.  A fault can be set:
``refuse`` (503), ``silent`` (no answer), ``lose`` (done, but the connection
closes without an answer); and history can be dropped.
"""

import asyncio
import collections
import typing

from absl import app as absl_app
from absl import flags
from aiohttp import web

from standins import serving

__all__ = ["HostedStore", "run"]

FLAGS = flags.FLAGS
ROOT = "/mulberryway/objects"
PAGE = 500
SILENT_S = 60.0
MS_IN_S = 1_000

flags.DEFINE_string("host", "127.0.0.1", "the IP number to listen on")
flags.DEFINE_integer("port", 8101, "the port")

Stored = dict[str, typing.Any]


class HostedStore:
    """Objects by kind and name, and the changes that watches report."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, Stored]] = collections.defaultdict(
            dict
        )
        self.calls = 0
        self._changes: list[tuple[int, str, bool, Stored]] = []
        self._oldest = 0
        self._changed = asyncio.Condition()
        self._fault = ""

    def make_app(self) -> web.Application:
        """Return the application."""
        app = serving.make_app()
        app.middlewares.append(self._misbehave)
        app.router.add_get(f"{ROOT}/{{kind}}", self._list)
        app.router.add_post(f"{ROOT}/{{kind}}", self._create)
        app.router.add_get(f"{ROOT}/{{kind}}/{{name}}", self._read)
        app.router.add_put(f"{ROOT}/{{kind}}/{{name}}", self._replace)
        app.router.add_delete(f"{ROOT}/{{kind}}/{{name}}", self._delete)
        app.router.add_post("/standin/fault", self._set_fault)
        app.router.add_post("/standin/compact", self._compact)
        app.router.add_post("/standin/put/{kind}/{name}", self._put)
        app.router.add_post("/standin/drop/{kind}/{name}", self._drop)
        app.router.add_get("/standin/calls", self._show_calls)
        return app

    @web.middleware
    async def _misbehave(
        self, request: web.Request, handler: typing.Any
    ) -> web.StreamResponse:
        """Let the fault that is set befall the platform's own calls."""
        if request.path.startswith("/standin/"):
            return await handler(request)
        self.calls += 1
        fault = self._fault
        if fault == "refuse":
            return serving.make_error_response(503, "turned away")
        if fault == "silent":
            await asyncio.sleep(SILENT_S)
        response = await handler(request)
        if fault == "lose" and request.method != "GET":
            assert request.transport is not None
            request.transport.abort()
        return response

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(kind, request)
        names = sorted(self.objects[kind])
        after = request.query.get("after", "")
        left = [name for name in names if name > after]
        return serving.answer(
            {
                "items": [self.objects[kind][name] for name in left[:PAGE]],
                "has_more": len(left) > PAGE,
                "store_revision": self.revision,
            }
        )

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        since = int(request.query["watch"])
        wait_s = int(request.query.get("wait_ms", 0)) / MS_IN_S
        if since < self._oldest:
            return serving.make_error_response(410, "that history is gone")

        def list_events() -> list[dict[str, typing.Any]]:
            return [
                {"object": found, "deleted": deleted}
                for revision, changed, deleted, found in self._changes
                if changed == kind and revision > since
            ]

        async with self._changed:
            try:
                await asyncio.wait_for(
                    self._changed.wait_for(lambda: bool(list_events())), wait_s
                )
            except asyncio.TimeoutError:
                # An empty answer says that nothing has changed.
                pass
        return serving.answer(
            {"events": list_events(), "store_revision": self.revision}
        )

    async def _create(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        body = await serving.read_json(request)
        name = body["metadata"]["name"]
        if name in self.objects[kind]:
            return serving.answer(self.objects[kind][name], 409)
        return serving.answer(await self.put(kind, name, body.get("spec")))

    async def _read(self, request: web.Request) -> web.Response:
        found = self._find(request)
        if found is None:
            return serving.make_error_response(404, "no such object")
        return serving.answer(found)

    async def _replace(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        found = self._find(request)
        if found is None:
            return serving.make_error_response(404, "no such object")
        body = await serving.read_json(request)
        wanted = body.get("metadata", {}).get("revision")
        if wanted is not None and wanted != found["metadata"]["revision"]:
            return serving.answer(found, 409)
        return serving.answer(await self.put(kind, name, body.get("spec")))

    async def _delete(self, request: web.Request) -> web.Response:
        found = self._find(request)
        if found is None:
            return serving.make_error_response(404, "no such object")
        wanted = request.query.get("revision")
        if wanted and int(wanted) != found["metadata"]["revision"]:
            return serving.answer(found, 409)
        await self.drop(request.match_info["kind"], request.match_info["name"])
        return serving.answer({})

    def _find(self, request: web.Request) -> Stored | None:
        kind, name = request.match_info["kind"], request.match_info["name"]
        return self.objects[kind].get(name)

    async def put(self, kind: str, name: str, spec: typing.Any) -> Stored:
        """Write an object.

        :param kind: its kind
        :param name: its name
        :param spec: its content
        :returns: the object as stored
        """
        async with self._changed:
            self.revision += 1
            before = self.objects[kind].get(name)
            created = before["metadata"]["created"] if before else 1
            found = {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "created": created,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": spec,
                "status": None,
            }
            self.objects[kind][name] = found
            self._changes.append((self.revision, kind, False, found))
            self._changed.notify_all()
        return found

    async def drop(self, kind: str, name: str) -> None:
        """Remove an object.

        :param kind: its kind
        :param name: its name
        """
        async with self._changed:
            found = self.objects[kind].pop(name, None)
            if found is None:
                return
            self.revision += 1
            self._changes.append((self.revision, kind, True, found))
            self._changed.notify_all()

    async def _put(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        kind, name = request.match_info["kind"], request.match_info["name"]
        return serving.answer(await self.put(kind, name, body))

    async def _drop(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        await self.drop(kind, name)
        return serving.answer({})

    async def _set_fault(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        self._fault = body.get("fault", "")
        return serving.answer({})

    async def _compact(self, request: web.Request) -> web.Response:
        async with self._changed:
            self._changes.clear()
            self.revision += 1
            self._oldest = self.revision
        return serving.answer({})

    async def _show_calls(self, request: web.Request) -> web.Response:
        return serving.answer({"calls": self.calls})


def run(arguments: list[str]) -> None:
    """Serve until a signal comes.

    :param arguments: what is left of the command line
    """
    store = HostedStore()
    asyncio.run(serving.serve(FLAGS.host, {FLAGS.port: store.make_app()}))


if __name__ == "__main__":
    absl_app.run(run)

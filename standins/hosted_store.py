"""Stand-in for the operators' object store with one revision for all kinds.

``python -m standins.hosted_store --port 8101``.  ``POST /standin/fault`` sets
one of the faults ``refuse`` (status 503), ``silent`` (no response) and
``lose`` (writes take effect, but the connection closes without a response);
``POST /standin/compact`` discards the history of changes, and cuts waiting
watches if ``cut`` is set.  ``POST
/standin/copy`` makes a backup, and ``POST /standin/restore`` returns to it,
which starts the next era.  ``POST /standin/text/KIND/NAME`` writes an object
whose content is any text.
"""

import asyncio
import collections
import copy
import typing

from absl import app as absl_app
from absl import flags
from aiohttp import web

from standins import serving

__all__ = ["HostedStore", "run"]

FLAGS = flags.FLAGS
ROOT = "/mulberryway/objects"
PAGE_SIZE = 500
PAGE_BYTES = 1_048_576
MARK = "standin-text"
UNRESPONSIVE_S = 60.0
MS_IN_S = 1_000
ERA = "Store-Era"

flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on")
flags.DEFINE_integer("port", 8101, "port to listen on")

Stored = dict[str, typing.Any]


class Backup:
    """A copy of the store's state.

    :param revision: the revision counter
    :param objects: the objects by kind and name
    :param changes: the history of changes
    :param oldest_revision: the revision at which the history begins
    """

    __slots__ = ("revision", "objects", "changes", "oldest_revision")

    def __init__(
        self,
        revision: int,
        objects: dict[str, dict[str, Stored]],
        changes: list[tuple[int, str, bool, Stored]],
        oldest_revision: int,
    ) -> None:
        self.revision = revision
        self.objects = objects
        self.changes = changes
        self.oldest_revision = oldest_revision


class HostedStore:
    """Store of objects by kind and name, with a history for watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.era = 1
        self.objects: dict[str, dict[str, Stored]] = collections.defaultdict(
            dict
        )
        self.calls = 0
        self.gone = 0
        self._changes: list[tuple[int, str, bool, Stored]] = []
        self._oldest_revision = 0
        self._changed = asyncio.Condition()
        self._fault = ""
        # How often waiting watches were cut.
        self._cuts = 0
        self._backup: Backup | None = None
        # Contents that are no JSON values, by the marks that stand for them.
        self._texts: dict[str, bytes] = {}
        # Replaces the header of the era; empty for no header at all.
        self._era_header: str | None = None

    def make_app(self) -> web.Application:
        """Return the application to serve."""
        app = serving.make_app()
        app.middlewares.append(self._add_era)
        app.middlewares.append(self._inject_fault)
        app.middlewares.append(self._insert_texts)
        app.router.add_get(f"{ROOT}/{{kind}}", self._list)
        app.router.add_post(f"{ROOT}/{{kind}}", self._create)
        app.router.add_get(f"{ROOT}/{{kind}}/{{name}}", self._read)
        app.router.add_put(f"{ROOT}/{{kind}}/{{name}}", self._replace)
        app.router.add_delete(f"{ROOT}/{{kind}}/{{name}}", self._delete)
        app.router.add_post("/standin/fault", self._set_fault)
        app.router.add_post("/standin/compact", self._compact)
        app.router.add_post("/standin/copy", self._copy)
        app.router.add_post("/standin/restore", self._restore)
        app.router.add_post("/standin/era", self._set_era_header)
        app.router.add_post("/standin/put/{kind}/{name}", self._put)
        app.router.add_post("/standin/text/{kind}/{name}", self._put_text)
        app.router.add_post("/standin/drop/{kind}/{name}", self._drop)
        app.router.add_get("/standin/calls", self._show_calls)
        return app

    @web.middleware
    async def _add_era(
        self, request: web.Request, handler: typing.Any
    ) -> web.StreamResponse:
        """Add the header of the era to all responses."""
        response = await handler(request)
        header = self._era_header
        header = str(self.era) if header is None else header
        if header:
            response.headers[ERA] = header
        return response

    @web.middleware
    async def _insert_texts(
        self, request: web.Request, handler: typing.Any
    ) -> web.StreamResponse:
        """Put texts that no encoder writes in the place of their marks."""
        response = await handler(request)
        if self._texts and isinstance(response, web.Response):
            body = typing.cast(bytes, response.body)
            for mark, text in self._texts.items():
                body = body.replace(f'"{mark}"'.encode(), text)
            response.body = body
        return response

    @web.middleware
    async def _inject_fault(
        self, request: web.Request, handler: typing.Any
    ) -> web.StreamResponse:
        """Apply the current fault to all calls but those of the tests."""
        if request.path.startswith("/standin/"):
            return await handler(request)
        self.calls += 1
        fault = self._fault
        if fault == "refuse":
            return serving.make_error_response(503, "injected fault")
        if fault == "silent":
            await asyncio.sleep(UNRESPONSIVE_S)
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
        remaining = [name for name in names if name > after]
        size = self._find_page_size(kind, remaining)
        return serving.answer(
            {
                "items": [
                    self.objects[kind][name] for name in remaining[:size]
                ],
                "has_more": len(remaining) > size,
                "store_revision": self.revision,
            }
        )

    def _find_page_size(self, kind: str, names: list[str]) -> int:
        """Return how many objects go on a page; one in any case."""
        total = 0
        for number, name in enumerate(names[:PAGE_SIZE]):
            total += len(self._texts.get(f"{MARK}-{kind}-{name}", b""))
            if number and total > PAGE_BYTES:
                return number
        return PAGE_SIZE

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        after_revision = int(request.query["watch"])
        wait_s = int(request.query.get("wait_ms", 0)) / MS_IN_S
        if not self._oldest_revision <= after_revision <= self.revision:
            self.gone += 1
            return serving.make_error_response(
                410, "the history has no such revision"
            )
        cuts = self._cuts

        def list_events() -> list[dict[str, typing.Any]]:
            return [
                {"object": stored, "deleted": is_deleted}
                for revision, changed_kind, is_deleted, stored in self._changes
                if changed_kind == kind and revision > after_revision
            ]

        async with self._changed:
            try:
                await asyncio.wait_for(
                    self._changed.wait_for(
                        lambda: self._cuts != cuts or bool(list_events())
                    ),
                    wait_s,
                )
            except asyncio.TimeoutError:
                # An empty list of events means that nothing has changed.
                pass
        if self._cuts != cuts:
            assert request.transport is not None
            request.transport.abort()
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
        stored = self._find(request)
        if stored is None:
            return serving.make_error_response(404, "no such object")
        return serving.answer(stored)

    async def _replace(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        stored = self._find(request)
        if stored is None:
            return serving.make_error_response(404, "no such object")
        body = await serving.read_json(request)
        expected_revision = body.get("metadata", {}).get("revision")
        if (
            expected_revision is not None
            and expected_revision != stored["metadata"]["revision"]
        ):
            return serving.answer(stored, 409)
        return serving.answer(await self.put(kind, name, body.get("spec")))

    async def _delete(self, request: web.Request) -> web.Response:
        stored = self._find(request)
        if stored is None:
            return serving.make_error_response(404, "no such object")
        expected_revision = request.query.get("revision")
        if (
            expected_revision
            and int(expected_revision) != stored["metadata"]["revision"]
        ):
            return serving.answer(stored, 409)
        await self.delete(
            request.match_info["kind"], request.match_info["name"]
        )
        return serving.answer({})

    def _find(self, request: web.Request) -> Stored | None:
        kind, name = request.match_info["kind"], request.match_info["name"]
        return self.objects[kind].get(name)

    async def put(self, kind: str, name: str, spec: typing.Any) -> Stored:
        """Write an object.

        :param kind: kind of the object
        :param name: name of the object
        :param spec: content of the object
        :returns: stored object
        """
        async with self._changed:
            self.revision += 1
            previous = self.objects[kind].get(name)
            created = previous["metadata"]["created"] if previous else 1
            stored = {
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
            self.objects[kind][name] = stored
            self._changes.append((self.revision, kind, False, stored))
            self._changed.notify_all()
        return stored

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object if it exists.

        :param kind: kind of the object
        :param name: name of the object
        """
        async with self._changed:
            stored = self.objects[kind].pop(name, None)
            if stored is None:
                return
            self.revision += 1
            self._changes.append((self.revision, kind, True, stored))
            self._changed.notify_all()

    async def _put(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        kind, name = request.match_info["kind"], request.match_info["name"]
        return serving.answer(await self.put(kind, name, body))

    async def _put_text(self, request: web.Request) -> web.Response:
        """Write an object whose content is any text, as Latin-1 here."""
        body = await serving.read_json(request)
        kind, name = request.match_info["kind"], request.match_info["name"]
        mark = f"{MARK}-{kind}-{name}"
        self._texts[mark] = body["text"].encode("latin-1")
        await self.put(kind, name, mark)
        return serving.answer({})

    async def _drop(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        await self.delete(kind, name)
        return serving.answer({})

    async def _set_fault(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        self._fault = body.get("fault", "")
        return serving.answer({})

    async def _compact(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        async with self._changed:
            self._changes.clear()
            self.revision += 1
            self._oldest_revision = self.revision
            self._cuts += bool(body.get("cut"))
            self._changed.notify_all()
        return serving.answer({})

    async def _copy(self, request: web.Request) -> web.Response:
        async with self._changed:
            self._backup = Backup(
                self.revision,
                copy.deepcopy(self.objects),
                list(self._changes),
                self._oldest_revision,
            )
        return serving.answer({})

    async def _restore(self, request: web.Request) -> web.Response:
        """Return to the backup, which can be restored again."""
        backup = self._backup
        if backup is None:
            return serving.make_error_response(409, "there is no backup")
        async with self._changed:
            self.revision = backup.revision
            self.objects = copy.deepcopy(backup.objects)
            self._changes = list(backup.changes)
            self._oldest_revision = backup.oldest_revision
            self.era += 1
            self._cuts += 1
            self._changed.notify_all()
        return serving.answer({"era": self.era})

    async def _set_era_header(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        self._era_header = body.get("header")
        return serving.answer({})

    async def _show_calls(self, request: web.Request) -> web.Response:
        return serving.answer({"calls": self.calls, "gone": self.gone})


def run(arguments: list[str]) -> None:
    """Serve until a termination signal.

    :param arguments: remaining command-line arguments
    """
    store = HostedStore()
    asyncio.run(serving.serve(FLAGS.host, {FLAGS.port: store.make_app()}))


if __name__ == "__main__":
    absl_app.run(run)

"""Stand-in for the platform's metadata store (PROTOCOL.md).

``python3 store.py HOST PORT``.  One revision counter, linearizable, watches
with a history.  The operator's writes use the same calls.
"""

import asyncio
import json
import sys
import urllib.parse

import wire

ROOT = "/mulberryway/objects/"
PAGE = 500


class Store:
    """Objects by kind and name, with a history of their changes."""

    def __init__(self):
        self.revision = 1
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Condition()

    async def handle(self, request):
        path, _, query = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        if not path.startswith(ROOT):
            wire.answer_json(request, 404, {})
            return True
        parts = [
            urllib.parse.unquote(part) for part in path[len(ROOT) :].split("/")
        ]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        objects = self.kinds.setdefault(kind, {})
        body = json.loads(request.body) if request.body else {}
        if request.method == "GET" and name is None:
            if "watch" in query:
                await self._watch(request, kind, query)
            else:
                self._list(request, objects, query)
        elif request.method == "GET":
            stored = objects.get(name)
            wire.answer_json(request, 200 if stored else 404, stored or {})
        elif request.method == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                wire.answer_json(request, 409, objects[name])
            else:
                stored = await self._put(kind, name, body.get("spec"), None)
                wire.answer_json(request, 200, stored)
        elif request.method == "PUT":
            await self._replace(request, kind, name, parts, body)
        elif request.method == "DELETE":
            await self._delete(request, kind, name, query)
        else:
            wire.answer_json(request, 405, {})
        return True

    def _list(self, request, objects, query):
        names = [
            name for name in sorted(objects) if name > query.get("after", "")
        ]
        wire.answer_json(
            request,
            200,
            {
                "items": [objects[name] for name in names[:PAGE]],
                "has_more": len(names) > PAGE,
                "store_revision": self.revision,
            },
        )

    async def _watch(self, request, kind, query):
        after = int(query["watch"])
        if after > self.revision:
            wire.answer_json(request, 410, {})
            return

        def list_events():
            return [
                event
                for revision, changed, event in self.history
                if changed == kind and revision > after
            ]

        async with self.changed:
            try:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: bool(list_events())),
                    int(query.get("wait_ms", 0)) / 1000,
                )
            except asyncio.TimeoutError:
                pass
        wire.answer_json(
            request,
            200,
            {"events": list_events(), "store_revision": self.revision},
        )

    async def _replace(self, request, kind, name, parts, body):
        stored = self.kinds[kind].get(name)
        if stored is None:
            wire.answer_json(request, 404, {})
            return
        expected = (body.get("metadata") or {}).get("revision")
        if expected not in (None, stored["metadata"]["revision"]):
            wire.answer_json(request, 409, stored)
            return
        is_status = len(parts) > 2 and parts[2] == "status"
        spec = stored["spec"] if is_status else body.get("spec")
        status = body.get("status") if is_status else stored["status"]
        if (spec, status) != (stored["spec"], stored["status"]):
            stored = await self._put(kind, name, spec, status)
        wire.answer_json(request, 200, stored)

    async def _delete(self, request, kind, name, query):
        stored = self.kinds[kind].get(name)
        if stored is None:
            wire.answer_json(request, 404, {})
        elif query.get("revision") not in (
            None,
            str(stored["metadata"]["revision"]),
        ):
            wire.answer_json(request, 409, stored)
        else:
            del self.kinds[kind][name]
            await self._note(kind, stored, True)
            wire.answer_json(request, 200, stored)

    async def _put(self, kind, name, spec, status):
        before = self.kinds[kind].get(name)
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision + 1,
                "created": before["metadata"]["created"]
                if before
                else self.revision + 1,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self.kinds[kind][name] = stored
        await self._note(kind, stored, False)
        return stored

    async def _note(self, kind, stored, is_deleted):
        self.revision += 1
        event = {"object": stored, "deleted": is_deleted}
        async with self.changed:
            self.history.append((self.revision, kind, event))
            self.changed.notify_all()


async def main():
    host, port = sys.argv[1], int(sys.argv[2])
    store = Store()
    await wire.serve(host, port, store.handle)


if __name__ == "__main__":
    asyncio.run(main())

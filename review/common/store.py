"""Stand-in for the platform's metadata store, by PROTOCOL.md."""

import json
import threading
import time
import urllib.parse

from common import web

ROOT = "/mulberryway/objects/"
MAX_WAIT_MS = 30_000


class Store(web.Server):
    """Objects by kind and name, one revision, watches; loses nothing."""

    def __init__(self, address, port):
        self._changed = threading.Condition()
        self._revision = 1
        self._objects = {}
        # Revision, kind, whether deleted, object.
        self._history = []
        super().__init__(address, port)

    def put(self, kind, name, spec):
        """Write an object as the operator or a server does."""
        with self._changed:
            self._revision += 1
            known = self._objects.setdefault(kind, {}).get(name)
            created = known["metadata"]["created"] if known else self._revision
            stored = {
                "metadata": {
                    "name": name,
                    "revision": self._revision,
                    "created": created,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": spec,
                "status": None,
            }
            self._objects[kind][name] = stored
            self._history.append((self._revision, kind, False, stored))
            self._changed.notify_all()
            return stored

    def remove(self, kind, name):
        """Remove an object."""
        with self._changed:
            stored = self._objects.get(kind, {}).pop(name, None)
            if stored is not None:
                self._revision += 1
                self._history.append((self._revision, kind, True, stored))
                self._changed.notify_all()

    def handle(self, request, connection):
        """Answer a call."""
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.removeprefix(ROOT).split("/")
        kind = parts[0]
        name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else None
        if request.method == "GET" and "watch" in query:
            answer = self._watch(kind, query)
        elif request.method == "GET":
            answer = self._read(kind, name)
        else:
            value = json.loads(request.body or b"{}")
            answer = self._write(request.method, kind, name, value, query)
        connection.sendall(web.encode_json(*answer))
        return True

    def _read(self, kind, name):
        with self._changed:
            objects = self._objects.get(kind, {})
            if name is None:
                return 200, {
                    "items": [objects[key] for key in sorted(objects)],
                    "has_more": False,
                    "store_revision": self._revision,
                }
            return (200, objects[name]) if name in objects else (404, {})

    def _watch(self, kind, query):
        after = int(query["watch"])
        wait_ms = min(int(query.get("wait_ms", 0)), MAX_WAIT_MS)
        end_s = time.monotonic() + wait_ms / 1_000
        with self._changed:
            while True:
                events = [
                    {"object": stored, "deleted": is_deleted}
                    for revision, changed, is_deleted, stored in self._history
                    if changed == kind and revision > after
                ]
                left_s = end_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {
                        "events": events,
                        "store_revision": self._revision,
                    }
                self._changed.wait(left_s)

    def _write(self, method, kind, name, value, query):
        metadata = value.get("metadata", {})
        with self._changed:
            objects = self._objects.setdefault(kind, {})
            if method == "POST":
                name = metadata["name"]
                if name in objects:
                    return 409, objects[name]
                return 200, self.put(kind, name, value.get("spec"))
            if name not in objects:
                return 404, {}
            expected = metadata.get("revision", query.get("revision"))
            known = objects[name]
            if expected not in (None, ""):
                if int(expected) != known["metadata"]["revision"]:
                    return 409, known
            if method == "DELETE":
                self.remove(kind, name)
                return 200, {}
            if known["spec"] == value.get("spec"):
                return 200, known
            return 200, self.put(kind, name, value.get("spec"))

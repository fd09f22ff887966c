"""Stand-ins for servers, by PROTOCOL.md: a plain service and model servers."""

import json
import secrets
import threading
import time

from common import web

NOT_EXECUTED = ("Not-Executed", "1")
PROMPT_TOKENS_PER_MS = 55.5556
EVENT_S = 0.01
EVENTS = 30
SWAP_S = 6.0


class Registered(web.Server):
    """A server that registers itself in the store.

    :param store: the store
    :param record: called with a line for the record
    :param name: its id
    :param service: its service
    :param zone: its zone
    :param address: its loopback address
    :param slots: requests at once
    :param phase: ``prefill`` or ``decode``; empty for a plain service
    """

    def __init__(
        self, store, record, name, service, zone, address, slots, phase=""
    ):
        self.name = name
        self.record = record
        self.phase = phase
        self._store = store
        self._entry = {
            "service": service,
            "address": f"{address}:8080",
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 0,
            "born": int(time.time() * 1_000),
        }
        super().__init__(address, 8080)
        self.register()

    def register(self):
        """Write the entry to the store."""
        if self.phase:
            self._entry["phase"] = self.phase
            self._entry["models"] = [
                {"name": "m", "version": 1, "adapters": []}
            ]
        self._entry["sequence"] += 1
        self._store.put("servers", self.name, dict(self._entry))

    def leave(self):
        """Report that the server drains; it goes on serving."""
        self._entry["state"] = "draining"
        self.register()

    def make_headers(self, request):
        """Return the headers of all answers to a request."""
        return [
            ("Attempt-Id", request.attempt),
            ("Server-Seal", self.make_seal(request.attempt)),
        ]

    def make_seal(self, attempt):
        """Return the seal of an attempt's answer."""
        return f"{self.name}.{attempt}"

    def is_expected(self, request):
        """Return whether a request names this server or none."""
        return request.headers.get("expect-instance", self.name) == self.name

    def misdirect(self, request, connection):
        """Answer a request for another server."""
        head = [("Attempt-Id", request.attempt), ("Instance-Id", self.name)]
        connection.sendall(web.encode_response(421, head, b""))
        return True


class PlainServer(Registered):
    """A server of a plain service: takes ``work_s`` and returns 800 bytes.

    ``runs`` holds the requests that it began to run.
    """

    def __init__(self, *arguments, work_s=0.06, slots=6):
        self.runs = []
        self._work_s = work_s
        self._slots = threading.BoundedSemaphore(slots)
        super().__init__(*arguments, slots)

    def handle(self, request, connection):
        """Run a request."""
        if not self.is_expected(request):
            return self.misdirect(request, connection)
        with self._slots:
            self.runs.append(request)
            self.record(
                f"run {self.name} {request.attempt} {request.method} "
                f"{request.target} tenant={request.headers.get('tenant')}"
            )
            time.sleep(self._work_s)
        return self.answer(request, connection)

    def make_body(self, attempt):
        """Return the whole body of an attempt's answer."""
        return f"{self.name} {attempt} ".encode().ljust(800, b".")

    def answer(self, request, connection):
        """Send the answer; return whether to keep the connection."""
        connection.sendall(self.encode_answer(request))
        return True

    def encode_answer(self, request):
        """Return the bytes of the whole answer."""
        return web.encode_response(
            200, self.make_headers(request), self.make_body(request.attempt)
        )


class Engine(Registered):
    """A model server that prefills or decodes.

    :param handles: the handles of all engines, shared by them
    """

    def __init__(self, *arguments, phase, handles, slots=48, tokens=76_160):
        self.runs = []
        self._handles = handles
        self._slots = slots
        self._tokens = tokens
        self._used = {}
        self._lock = threading.Lock()
        self._reading = threading.Lock()
        self._is_swapping = False
        self._orders = 0
        super().__init__(*arguments, slots, phase)

    def handle(self, request, connection):
        """Answer a call or run a request."""
        if not self.is_expected(request):
            return self.misdirect(request, connection)
        path = request.target.removeprefix("/mulberryway/")
        if path == "report":
            connection.sendall(web.encode_json(200, self._report()))
        elif path == "order":
            connection.sendall(self._order(json.loads(request.body)))
        elif path == "hold-take":
            hold = {"hold": secrets.token_hex(6)}
            connection.sendall(web.encode_json(200, hold))
        elif path.startswith(("hold-drop/", "kv-handle/")):
            self._handles.pop(f"{self.address}/{path.partition('/')[2]}", None)
            connection.sendall(web.encode_json(200, {}))
        elif self._is_swapping:
            self._reject(request, connection, 503)
        elif request.headers.get("serving-phase") == "prefill":
            self._prefill(request, connection)
        else:
            return self._decode(request, connection)
        return True

    def _report(self):
        with self._lock:
            used = sum(self._used.values())
            running = len(self._used)
        return {
            "phase": self.phase,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self._is_swapping,
            "sequence": self._orders,
            "queued": 0,
            "running": running,
            "kv_used": used,
            "kv_total": self._tokens,
            "handles": 0,
            "born": self._entry["born"],
        }

    def _order(self, order):
        self.record(f"order {self.name} {order}")
        if order.get("op_type") != "phase" or "fence" not in order:
            return web.encode_json(400, {})
        if self._is_swapping or order.get("expect", self._orders) != (
            self._orders
        ):
            return web.encode_json(409, {})
        if order["phase"] == self.phase:
            return web.encode_json(200, {})
        self._orders += 1
        self._is_swapping = True
        threading.Thread(
            target=self._swap, args=(order["phase"],), daemon=True
        ).start()
        return web.encode_json(202, {})

    def _swap(self, phase):
        time.sleep(SWAP_S)
        self.phase = phase
        self._is_swapping = False
        self.register()

    def _reject(self, request, connection, status):
        head = [*self.make_headers(request), NOT_EXECUTED]
        connection.sendall(web.encode_response(status, head, b""))
        return True

    def _count_prompt(self, request):
        return int(request.headers["token-counts"].partition(",")[0])

    def _prefill(self, request, connection):
        if self.phase != "prefill":
            return self.misdirect(request, connection)
        tokens = self._count_prompt(request)
        with self._reading:
            time.sleep(tokens / PROMPT_TOKENS_PER_MS / 1_000)
        handle = secrets.token_hex(6)
        self._handles[f"{self.address}/{handle}"] = request.attempt
        value = {"cache_handle": handle, "tokens": tokens, "version": 1}
        connection.sendall(
            web.encode_json(200, value, self.make_headers(request))
        )
        return True

    def _decode(self, request, connection):
        if self.phase != "decode":
            return self.misdirect(request, connection)
        counts = request.headers["token-counts"].split(",")
        needed = sum(map(int, counts))
        with self._lock:
            is_full = len(self._used) >= self._slots or (
                sum(self._used.values()) + needed > self._tokens
            )
            if not is_full:
                self._used[id(request)] = needed
        if is_full:
            return self._reject(request, connection, 503)
        try:
            source = request.headers.get("kv-source")
            if source is not None and self._handles.pop(source, None) is None:
                return self._reject(request, connection, 503)
            if source is None:
                with self._reading:
                    time.sleep(int(counts[0]) * 2 / PROMPT_TOKENS_PER_MS / 1e3)
            return self._stream(request, connection)
        finally:
            with self._lock:
                del self._used[id(request)]

    def _stream(self, request, connection):
        self.runs.append(request)
        self.record(f"run {self.name} {request.attempt} {request.target}")
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{k}: {v}" for k, v in self.make_headers(request)]
        lines += ["Transfer-Encoding: chunked", "", ""]
        connection.sendall("\r\n".join(lines).encode())
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            time.sleep(EVENT_S)
        connection.sendall(b"0\r\n\r\n")
        return True

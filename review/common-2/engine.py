"""Stand-in for one model server (PROTOCOL.md).

``python3 engine.py HOST PORT INSTANCE FILE PHASE EVENTS EVENT_MS [OPTION...]``.
A stream has the events 1 to EVENTS, chunked; event N of a request holds the
same words at every server.  FILE gets a line of JSON for each run, and for
each end of one.  Options:

* ``keepalive=N``: fall silent for 800 ms after event N of a new run, and send
  a comment, as server-sent events allow, after 500 ms of it
* ``silent=N``: the same silence without comments
* ``stop=N``: the first of every N answers to new runs stops inside its event 5,
  with a last chunk
* ``build=VERSION``: write this software version into the events
"""

import asyncio
import hashlib
import itertools
import json
import sys
import time

import wire

HOST, PORT, INSTANCE, FILE, PHASE, EVENTS, EVENT_MS = sys.argv[1:8]
OPTIONS = dict(option.split("=") for option in sys.argv[8:])
SILENCE_S = 0.8
COMMENT_S = 0.5
SWAP_S = 6.0
NUMBERS = itertools.count(1)
RUNS = itertools.count()
STOPPED_EVENT = 5
BUILD = f" {OPTIONS['build']}" if "build" in OPTIONS else ""


class Engine:
    """The state of this server."""

    def __init__(self):
        self.phase = PHASE
        self.orders = 0
        self.swapped = 0.0
        self.running = 0
        self.handles = set()

    async def handle(self, request):
        """Answer one request; return whether the connection stays open."""
        path = request.target.partition("?")[0]
        expected = request.get("Expect-Instance", INSTANCE)
        if expected != INSTANCE:
            wire.answer(request, 421, [("Instance-Id", INSTANCE)])
            return True
        if path == "/health":
            wire.answer(request, 200, [("Instance-Id", INSTANCE)])
        elif path == "/mulberryway/report":
            wire.answer_json(request, 200, self.report())
        elif path == "/mulberryway/order":
            self.order(request)
        elif path == "/mulberryway/hold-take":
            wire.answer_json(request, 200, {"hold": f"h{next(NUMBERS)}"})
        elif path.startswith("/mulberryway/kv-handle/"):
            self.handles.discard(path.rpartition("/")[2])
            wire.answer_json(request, 200, {})
        elif path.startswith("/mulberryway/"):
            wire.answer_json(request, 200, {})
        elif not request.get("Attempt-Id"):
            wire.answer(request, 400, [("Not-Executed", "1")])
        elif time.monotonic() < self.swapped:
            wire.answer(request, 503, [*echo(request), ("Not-Executed", "1")])
        elif request.get("Serving-Phase") == "prefill":
            self.prefill(request)
        elif self.phase != "decode":
            wire.answer(
                request, 421, [*echo(request), ("Instance-Id", INSTANCE)]
            )
        else:
            return await self.stream(request)
        return True

    def report(self):
        return {
            "phase": self.phase,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": time.monotonic() < self.swapped,
            "sequence": self.orders,
            "queued": 0,
            "running": self.running,
            "kv_used": self.running * 400,
            "kv_total": 76160,
            "handles": len(self.handles),
        }

    def order(self, request):
        body = json.loads(request.body)
        if body["phase"] == self.phase:
            wire.answer_json(request, 200, {})
        elif time.monotonic() < self.swapped or (
            body.get("expect", self.orders) != self.orders
        ):
            wire.answer_json(request, 409, {})
        else:
            self.orders += 1
            self.phase = body["phase"]
            self.swapped = time.monotonic() + SWAP_S
            note(order=body)
            wire.answer_json(request, 202, {})

    def prefill(self, request):
        if self.phase != "prefill":
            wire.answer(
                request, 421, [*echo(request), ("Instance-Id", INSTANCE)]
            )
            return
        name = f"{INSTANCE}-{next(NUMBERS)}"
        self.handles.add(name)
        tokens = int(request.get("Token-Counts").partition(",")[0])
        wire.answer_json(
            request,
            200,
            {"cache_handle": name, "tokens": tokens, "version": 1},
            echo(request),
        )

    async def stream(self, request):
        attempt = request.get("Attempt-Id")
        first = int(request.get("Last-Event-Id", "0")) + 1
        stops = (
            first == 1
            and "stop" in OPTIONS
            and next(RUNS) % int(OPTIONS["stop"]) == 0
        )
        note(run=attempt, first=first, stops=stops)
        headers = [
            *seal(request),
            ("Content-Type", "text/event-stream"),
            ("Weight-Versions", "1"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer = request.writer
        writer.write(wire.make_head(200, headers))
        self.running += 1
        number = first - 1
        try:
            for number in range(first, int(EVENTS) + 1):
                if stops and number == STOPPED_EVENT:
                    write_chunk(writer, f"id: {number}\nda")
                    break
                write_chunk(
                    writer, f"id: {number}\ndata: t{number}{BUILD}\n\n"
                )
                await writer.drain()
                await asyncio.sleep(int(EVENT_MS) / 1000)
                if first == 1:
                    await self.fall_silent(writer, number)
            writer.write(b"0\r\n\r\n")
            note(run=attempt, ended=number)
        except (ConnectionError, asyncio.CancelledError):
            note(run=attempt, broken=number)
            raise
        finally:
            self.running -= 1
        return True

    async def fall_silent(self, writer, number):
        """Pause after an event, with comments if an option says so."""
        if number == int(OPTIONS.get("silent", 0)):
            await asyncio.sleep(SILENCE_S)
        if number == int(OPTIONS.get("keepalive", 0)):
            left_s = SILENCE_S
            while left_s > 0:
                await asyncio.sleep(min(COMMENT_S, left_s))
                left_s -= COMMENT_S
                if left_s > 0:
                    write_chunk(writer, ": keep-alive\n\n")
                    await writer.drain()


def write_chunk(writer, text):
    """Write one chunk."""
    data = text.encode()
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


def note(**record):
    """Append a line to the record of this server."""
    record = {"at": round(time.time(), 3), "instance": INSTANCE} | record
    with open(FILE, "a", encoding="utf-8") as output:
        output.write(json.dumps(record) + "\n")


def echo(request):
    """Return the header that each answer has."""
    return [("Attempt-Id", request.get("Attempt-Id"))]


def seal(request):
    """Return the headers of an answer to a run."""
    attempt = request.get("Attempt-Id")
    value = hashlib.sha256(f"{INSTANCE}/{attempt}".encode()).hexdigest()[:16]
    return [*echo(request), ("Server-Seal", value)]


if __name__ == "__main__":
    asyncio.run(wire.serve(HOST, int(PORT), Engine().handle))

"""Stand-in for one plain server (PROTOCOL.md).

``python3 service.py HOST PORT INSTANCE FILE WORK_MS [OPTION...]``.  It runs every request
that names it, works for WORK_MS, and answers with its seal.  FILE gets a line
of JSON for each request that arrives: the request line and headers as they
arrived, and whether it ran.  Options:

* ``fail=STATUS``: two of five requests that it has run are answered with this
  status, signed and without ``Not-Executed``
* ``spoil=N``: the last of every N answers is spoilt: a line of its head holds
  a word, many blanks and another word
"""

import asyncio
import hashlib
import itertools
import json
import sys
import time

import wire

HOST, PORT, INSTANCE, FILE, WORK_MS = sys.argv[1:6]
OPTIONS = dict(option.split("=") for option in sys.argv[6:])
FAILED_OF_FIVE = 2
RUNS = itertools.count()
BLANKS = 60_000


def note(**record):
    """Append a line to the record of this server."""
    record = {"at": round(time.time(), 3), "instance": INSTANCE} | record
    with open(FILE, "a", encoding="utf-8") as output:
        output.write(json.dumps(record) + "\n")


def make_headers(request):
    """Return the headers of each answer."""
    attempt = request.get("Attempt-Id")
    seal = hashlib.sha256(f"{INSTANCE}/{attempt}".encode()).hexdigest()[:16]
    return [
        ("Attempt-Id", attempt),
        ("Server-Seal", seal),
        ("Instance-Id", INSTANCE),
    ]


async def handle(request):
    """Answer one request."""
    attempt = request.get("Attempt-Id")
    if request.target == "/health":
        wire.answer(request, 200, [("Instance-Id", INSTANCE)])
        return True
    if not attempt:
        wire.answer(request, 400, [("Not-Executed", "1")])
        return True
    if request.get("Expect-Instance", INSTANCE) != INSTANCE:
        note(attempt=attempt, ran=False, status=421)
        wire.answer(request, 421, [("Instance-Id", INSTANCE)])
        return True
    number = next(RUNS)
    is_failed = "fail" in OPTIONS and number % 5 < FAILED_OF_FIVE
    is_spoilt = (
        "spoil" in OPTIONS and (number + 1) % int(OPTIONS["spoil"]) == 0
    )
    status = int(OPTIONS["fail"]) if is_failed else 200
    note(
        attempt=attempt,
        ran=True,
        status=status,
        spoilt=is_spoilt,
        method=request.method,
        target=request.target,
        body=request.body.decode("latin-1"),
        tenant=request.get("Tenant"),
    )
    await asyncio.sleep(int(WORK_MS) / 1000)
    body = "failed" if is_failed else f"done {attempt}"
    headers = make_headers(request)
    if is_spoilt:
        headers.append(("X-Lake", "a" + " " * BLANKS + "b"))
    wire.answer(request, status, headers, body.encode())
    return True


if __name__ == "__main__":
    asyncio.run(wire.serve(HOST, int(PORT), handle))

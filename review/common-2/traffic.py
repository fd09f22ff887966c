"""Clients that ask for streams, bookings and schedules, and their judge.

As PROTOCOL.md says, a client tries again once within its deadline: a request
that may be repeated after any failure, another one only after a promise.
"""

import concurrent.futures
import http.client
import threading
import time

import fleet

PROMISES = (408, 421, 429, 503)
# Seconds between two requests of a kind, and the deadline in ms.
KINDS = {
    "brief": (0.5, 14_000),
    "book": (0.25, 1_500),
    "view": (0.5, 1_500),
}
TIMES = {"timeout_ms": 800, "target_latency_ms": 300}
ROUTES = [
    fleet.make_stream_route("r-brief", "/brief/", "llm", 2, True),
    fleet.make_route("r-book", "/book/", "app", "non_idempotent", 1, **TIMES),
    fleet.make_route("r-view", "/view/", "app", "idempotent", 2, **TIMES),
]
SERVICES = [
    fleet.make_engine_service("llm"),
    {"name": "app", "health_path": "/health", "max_conns": 110},
]


def start_servers(run, work_ms=60):
    """Start three model servers and three plain ones.

    :param work_ms: how long a plain server works on a request
    """
    for name, phase in (
        ("i-p", "prefill"),
        ("i-d", "decode"),
        ("i-e", "decode"),
    ):
        script = fleet.COMMON / "engine.py"
        run.start_server(name, "llm", script, phase, 20, 20, phase=phase)
    for name in ("i-a", "i-b", "i-c"):
        run.start_server(name, "app", fleet.COMMON / "service.py", work_ms)


class Traffic:
    """The requests of one run and what came of them.

    :param run: the deployment
    :param keys: a key of each tenant, by its name
    :param kinds: replaces ``KINDS``
    """

    def __init__(self, run, keys=None, kinds=None):
        self.run = run
        self.kinds = kinds or KINDS
        self.keys = list((keys or {fleet.TENANT: fleet.KEY}).items())
        self.lock = threading.Lock()
        # Kind, tenant, time and success of each request.
        self.results = []

    def play(self, duration_s):
        """Send requests of all kinds for some time, and wait for their ends."""
        start = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(96) as clients:
            due = {kind: start for kind in self.kinds}
            number = 0
            while (now := time.monotonic()) < start + duration_s:
                for kind, (interval_s, _) in self.kinds.items():
                    if now >= due[kind]:
                        due[kind] += interval_s
                        number += 1
                        clients.submit(self.ask, kind, number, now - start)
                time.sleep(0.02)

    def ask(self, kind, number, at_s):
        """Send one request, and again as its client may."""
        machines = len(self.run.machines)
        # Four requests come in each half a second.
        tenant, key = self.keys[number // 4 % len(self.keys)]
        end = time.monotonic() + self.kinds[kind][1] / 1000
        is_served = False
        for retry in range(2):
            left_s = end - time.monotonic()
            if left_s <= 0.05:
                break
            attempt = f"{kind}{number:05d}-{retry}"
            status, after_s = self.send(
                kind, attempt, (number + retry) % machines, left_s, key
            )
            is_served = status == 200
            may_repeat = kind == "view" or status in PROMISES
            if is_served or not may_repeat:
                break
            time.sleep(min(after_s, max(end - time.monotonic(), 0) / 3))
        with self.lock:
            self.results.append((kind, tenant, at_s, is_served))

    def send(self, kind, attempt, machine, left_s, key):
        """Send one attempt; return its status and the Retry-After."""
        connection = self.run.connect(machine, left_s)
        status, after_s = 0, 0.0
        try:
            if kind == "brief":
                stream = fleet.read_stream(
                    connection, "/brief/2f", attempt, int(left_s * 1000), key
                )
                status = stream.status if stream.is_complete else 0
            else:
                connection.request(
                    "POST" if kind == "book" else "GET",
                    f"/{kind}/2f",
                    attempt.partition("-")[0].encode()
                    if kind == "book"
                    else None,
                    fleet.make_headers(attempt, int(left_s * 1000), key),
                )
                reply = connection.getresponse()
                reply.read()
                status = reply.status
                after_s = float(reply.getheader("Retry-After") or 0)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.run.note(f"client {attempt} failed: {error!r}")
        finally:
            connection.close()
        self.run.note(
            f"client sent {attempt} to machine {machine + 1}, status {status}"
        )
        return status, after_s

    def is_starved(self, from_s=0.0):
        """Return whether some kind of request, or some tenant, is starved.

        "Starved. It also fails if a kind of request [...] is served less than
        a quarter as often as all requests." and "Starved. It also fails if a
        tenant's requests are served less than a quarter as often as all."
        """
        chosen = [result for result in self.results if result[2] >= from_s]
        overall = sum(result[3] for result in chosen) / len(chosen)
        groups = [(0, kind) for kind in self.kinds]
        groups += [(1, tenant) for tenant, _ in self.keys]
        starved = False
        for column, name in groups:
            served = [entry[3] for entry in chosen if entry[column] == name]
            is_starved = sum(served) / len(served) < overall / 4
            starved = starved or is_starved
            self.run.note(
                f"from {from_s:.0f} s: {name} served {sum(served)} of "
                f"{len(served)}, all {overall:.3f}"
                + (" STARVED" if is_starved else "")
            )
        return starved

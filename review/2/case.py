"""MIXED: an answer that breaks off in its head becomes an empty success."""

import itertools
import threading
import time

from common import deployment
from common import servers
from common import traffic

# Three spells of spoiled answers, within the limits in claim.txt.
SPELLS = 3
SPELL_S = 5
CALM_S = 3
SPOILED_EVERY = 50
BOOKINGS_PER_S = 26
VIEWS_PER_S = 10


class SpoilingServer(servers.PlainServer):
    """Breaks off each fiftieth of its answers while it is in trouble."""

    is_in_trouble = False

    def __init__(self, *arguments):
        self._count = itertools.count(1)
        super().__init__(*arguments)

    def answer(self, request, connection):
        """Send the answer, or its beginning, and close."""
        if not self.is_in_trouble or next(self._count) % SPOILED_EVERY:
            return super().answer(request, connection)
        whole = self.encode_answer(request)
        end = whole.index(b"Content-Length")
        self.record(f"breaks off {self.name} {request.attempt} after {end} B")
        connection.sendall(whole[:end])
        return False


def play(folder, has_trouble):
    """Return whether a client got a success that no server gave."""
    with deployment.Deployment(folder) as fleet:
        upstreams = {}
        for number, zone in enumerate(deployment.ZONES):
            upstream = SpoilingServer(
                fleet.store,
                fleet.record,
                f"i-app{number}",
                "rota-app",
                zone,
                fleet.pick_server_address(),
            )
            upstreams[upstream.name] = upstream
        fleet.configure(
            [
                deployment.make_route(
                    "r-book", "/book/", "rota-app", "non_idempotent", 1_500
                ),
                deployment.make_route(
                    "r-view", "/view/", "rota-app", "idempotent", 1_500, 2
                ),
            ],
            [{"name": "rota-app", "health_path": "/health", "max_conns": 110}],
        )
        fleet.start()
        lock = threading.Lock()
        broken = []

        def send(kind, method, number):
            attempt = f"{kind}-{number}"
            answer = deployment.send(
                fleet, number % 3, method, f"/{kind}/a", attempt
            )
            if 200 <= answer.status < 300 and not is_sound(
                answer, attempt, upstreams
            ):
                fleet.record(f"BROKEN {attempt}")
                with lock:
                    broken.append(attempt)

        flows = [
            traffic.Traffic(BOOKINGS_PER_S, lambda n: send("book", "POST", n)),
            traffic.Traffic(VIEWS_PER_S, lambda n: send("view", "GET", n)),
        ]
        time.sleep(CALM_S)
        # Half of the servers, rounded down.
        spoiling = list(upstreams.values())[:1]
        for _ in range(SPELLS):
            for upstream in spoiling:
                upstream.is_in_trouble = has_trouble
            time.sleep(SPELL_S)
            for upstream in spoiling:
                upstream.is_in_trouble = False
            time.sleep(CALM_S)
        for flow in flows:
            flow.stop()
        print(f"successes that no server gave: {broken}")
        return bool(broken)


def is_sound(answer, attempt, upstreams):
    """Return whether an answer is the whole answer of a server."""
    name = (answer.seal or "").partition(".")[0]
    upstream = upstreams.get(name)
    return (
        upstream is not None
        and answer.is_whole
        and answer.seal == upstream.make_seal(attempt)
        and answer.body == upstream.make_body(attempt)
    )


if __name__ == "__main__":
    deployment.run(play)

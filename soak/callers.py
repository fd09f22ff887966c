"""Callers that keep their connections, leave, and write down all they see."""

import contextlib
import http.client
import random
import threading
import time

from soak import cluster
from soak import history
from tests import hosted_fleet

__all__ = ["Callers"]

CALLERS = 10
PAUSE_S = 0.12
CALL_TIMEOUT_S = 8.0
# How often a caller keeps its connection, and how often it leaves early.
KEEP_ALIVE_PROBABILITY = 0.8
DISCONNECT_PROBABILITY = 0.05
SMALL_ACCOUNT_PROBABILITY = 0.4
ROTATED_KEY_PROBABILITY = 0.15
KINDS = (
    history.RequestKind.PLAIN,
    history.RequestKind.PLAIN,
    history.RequestKind.NON_IDEMPOTENT,
    history.RequestKind.NON_IDEMPOTENT,
    history.RequestKind.SINGLE_RUN_STREAM,
    history.RequestKind.RESUMABLE_STREAM,
    history.RequestKind.ADDED_ROUTE,
)


class Caller(threading.Thread):
    """One caller.

    :param number: its number
    :param seed: decides what it does
    :param world_: the processes
    :param ending: set when it has to end
    """

    def __init__(
        self,
        number: int,
        seed: int,
        world_: cluster.SoakCluster,
        ending: threading.Event,
    ) -> None:
        super().__init__(daemon=True)
        self.attempts: list[history.Attempt] = []
        self._number = number
        self._chance = random.Random(f"caller/{seed}/{number}")
        self._world = world_
        self._ending = ending
        self._vm = number % len(world_.vms)
        self._connection: http.client.HTTPConnection | None = None

    def run(self) -> None:
        """Send attempts until it has to end."""
        while not self._ending.wait(PAUSE_S * 2 * self._chance.random()):
            attempt = self._make_attempt(len(self.attempts))
            self.attempts.append(attempt)
            self._call(attempt)
            attempt.ended_ms = cluster.now_ms()
        self._close()

    def _make_attempt(self, number: int) -> history.Attempt:
        kind = self._chance.choice(KINDS)
        key = self._choose_key()
        name = f"a{self._number}-{number}"
        attempt = history.Attempt(name, kind, key, self._vm, cluster.now_ms())
        attempt.path = f"/{kind.value}/{name}"
        attempt.sent = name.encode() * self._chance.randint(1, 40)
        attempt.has_disconnected = (
            self._chance.random() < DISCONNECT_PROBABILITY
        )
        return attempt

    def _choose_key(self) -> str:
        drawn = self._chance.random()
        if drawn < SMALL_ACCOUNT_PROBABILITY:
            return "k-small"
        if drawn > 1 - ROTATED_KEY_PROBABILITY:
            return self._chance.choice(list(self._world.seen.keys))
        return "k-large"

    def _call(self, attempt: history.Attempt) -> None:
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                hosted_fleet.HOST,
                self._world.client_proxy_ports[self._vm],
                timeout=CALL_TIMEOUT_S,
            )
        headers = {
            "Host": hosted_fleet.SITE,
            "Attempt-Id": attempt.name,
            "Deadline-Ms": "4000",
            "Authorization": f"Token {attempt.key}",
        }
        if attempt.kind.is_stream:
            headers |= hosted_fleet.STREAM
        try:
            self._connection.request(
                "POST", attempt.path, attempt.sent, headers
            )
            if attempt.has_disconnected:
                time.sleep(0.2 * self._chance.random())
                self._move()
                return
            self._read(attempt, self._connection.getresponse())
        except (OSError, http.client.HTTPException):
            # The record says it: status 0, or an answer that is cut.
            attempt.is_cut = attempt.status != 0
            self._move()

    def _read(
        self, attempt: history.Attempt, reply: http.client.HTTPResponse
    ) -> None:
        attempt.status = reply.status
        attempt.seal = reply.headers.get("Server-Seal", "")
        attempt.echoed_id = reply.headers.get("Attempt-Id", "")
        attempt.retry_after = reply.headers.get("Retry-After", "")
        closes = reply.headers.get("Connection", "") == "close"
        try:
            attempt.body = reply.read()
        except http.client.IncompleteRead as cut:
            attempt.body = cut.partial
            attempt.is_cut = True
        if (
            closes
            or attempt.is_cut
            or self._chance.random() > KEEP_ALIVE_PROBABILITY
        ):
            self._move()

    def _move(self) -> None:
        """Go to another VM that takes callers, by a new connection."""
        self._close()
        asked = self._chance.randrange(len(self._world.vms))
        usable = [asked]
        with contextlib.suppress(OSError, ValueError, KeyError):
            fronts = self._world.list_resolved(asked)
            usable = [
                number
                for number, ports in enumerate(self._world.ports)
                if f"{hosted_fleet.HOST}:{ports[0]}" in fronts
            ]
        self._vm = self._chance.choice(usable or [asked])

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class Callers:
    """Some callers at once.

    :param seed: decides what they do
    :param world_: the processes
    :param count: how many
    """

    def __init__(
        self, seed: int, world_: cluster.SoakCluster, count: int = CALLERS
    ) -> None:
        self._ending = threading.Event()
        self._callers = [
            Caller(number, seed, world_, self._ending)
            for number in range(count)
        ]

    def start(self) -> None:
        """Let all begin."""
        for one in self._callers:
            one.start()

    def stop(self) -> list[history.Attempt]:
        """End all, and return what they sent and got."""
        self._ending.set()
        for one in self._callers:
            one.join(CALL_TIMEOUT_S * 2)
        return [attempt for one in self._callers for attempt in one.attempts]

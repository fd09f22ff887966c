"""Callers that reuse connections, disconnect early, and record responses."""

import contextlib
import http.client
import random
import socket
import threading
import time

from soak import checks
from soak import cluster
from soak import history
from tests import hosted_fleet

__all__ = ["Callers"]

DEFAULT_CALLER_COUNT = 10
# Callers where VMs are told to stop; each second one uses an address until it
# is refused or not answered there.
STOPS_CALLER_COUNT = 16
REFUSED_STATUSES = (0, 503)
MEAN_INTERVAL_S = 0.12
CALL_TIMEOUT_S = 8.0
# Probabilities that a caller keeps its connection after a response, and that
# it disconnects before the response.
KEEP_ALIVE_PROBABILITY = 0.8
DISCONNECT_PROBABILITY = 0.05
SMALL_ACCOUNT_PROBABILITY = 0.4
ROTATED_KEY_PROBABILITY = 0.15
# Probability that a caller drops a stream that it can resume, and requests
# for the rest of one stream.
DROP_PROBABILITY = 0.4
MAX_RESUMPTIONS = 3
BYTES_PER_EVENT = 18
MAX_RETRY_S = 1.0
# Probability that a stream's prompt has a part that ends its engine.
CRASHING_PROBABILITY = 0.1
# What a caller that reads slowly sends and gets back, and how it reads.
LONG_BODY_BYTES = 400_000
SLOW_READ_BYTES = 20_000
SLOW_READ_INTERVAL_S = 0.1
SLOW_BUFFER_BYTES = 8_192
FIRST_PART = "aa"
MIDDLE_PARTS = tuple(f"b{number}" for number in range(5))
KINDS = (
    history.RequestKind.PLAIN,
    history.RequestKind.PLAIN,
    history.RequestKind.NON_IDEMPOTENT,
    history.RequestKind.NON_IDEMPOTENT,
    history.RequestKind.SINGLE_RUN_STREAM,
    history.RequestKind.RESUMABLE_STREAM,
    history.RequestKind.ADDED_ROUTE,
)


class CallerThread(threading.Thread):
    """Thread that sends one attempt after another and records the results.

    :param number: index of the caller
    :param seed: seed of the random choices
    :param soak_cluster: processes under test
    :param stop_event: event that stops the thread
    """

    def __init__(
        self,
        number: int,
        seed: int,
        soak_cluster: cluster.SoakCluster,
        stop_event: threading.Event,
    ) -> None:
        super().__init__(daemon=True)
        self.attempts: list[history.Attempt] = []
        self._number = number
        self._rng = random.Random(f"caller/{seed}/{number}")
        self._cluster = soak_cluster
        self._stop_event = stop_event
        self._vm = number % len(soak_cluster.vms)
        self._is_slow = number < soak_cluster.config.slow_readers
        self._keeps_address = bool(soak_cluster.config.stops and number % 2)
        self._connection: http.client.HTTPConnection | None = None
        self._must_switch = False
        self._began_ms = cluster.now_ms()

    def run(self) -> None:
        """Send attempts until the stop event is set."""
        while not self._stop_event.wait(
            MEAN_INTERVAL_S * 2 * self._rng.random()
        ):
            attempt = self._make_attempt(len(self.attempts))
            self.attempts.append(attempt)
            self._send(attempt)
            if self._cluster.config.versions > 1:
                self._resume(attempt)
        self._close()

    def _resume(self, first: history.Attempt) -> None:
        """Request the rest of a stream that was cut off."""
        previous = first
        for number in range(1, MAX_RESUMPTIONS + 1):
            events = checks.list_events(previous.body)
            last_event = events[-1] if events else previous.last_event
            if (
                first.kind is not history.RequestKind.RESUMABLE_STREAM
                or not last_event
                or last_event == checks.STREAM_EVENTS
            ):
                return
            time.sleep(min(float(previous.retry_after or 0), MAX_RETRY_S))
            attempt = history.Attempt(
                f"{first.name}-r{number}",
                first.kind,
                first.key,
                self._vm,
                cluster.now_ms(),
            )
            attempt.path, attempt.sent = first.path, first.sent
            attempt.parts, attempt.is_crashing = (
                first.parts,
                first.is_crashing,
            )
            attempt.resumes, attempt.last_event = first.name, last_event
            self.attempts.append(attempt)
            self._send(attempt)
            previous = attempt

    def _send(self, attempt: history.Attempt) -> None:
        """Send an attempt and record its result."""
        self._must_switch = False
        self._call(attempt)
        # Before the next address is resolved, which may take long.
        attempt.ended_ms = cluster.now_ms()
        if self._must_switch:
            self._switch_vm(attempt)

    def _make_attempt(self, number: int) -> history.Attempt:
        kind = self._rng.choice(KINDS)
        key = self._choose_key()
        name = f"a{self._number}-{number}"
        attempt = history.Attempt(name, kind, key, self._vm, cluster.now_ms())
        attempt.path = f"/{kind.value}/{name}"
        attempt.sent = name.encode() * self._rng.randint(1, 40)
        attempt.has_disconnected = self._rng.random() < DISCONNECT_PROBABILITY
        if self._cluster.config.crashing_parts and kind.is_stream:
            self._choose_parts(attempt, number)
        if self._is_slow and kind is history.RequestKind.PLAIN:
            attempt.sent = name.encode() * (LONG_BODY_BYTES // len(name))
        return attempt

    def _choose_parts(self, attempt: history.Attempt, number: int) -> None:
        parts = [FIRST_PART, self._rng.choice(MIDDLE_PARTS)]
        elapsed_ms = cluster.now_ms() - self._began_ms
        attempt.is_crashing = (
            elapsed_ms < self._cluster.config.length_ms
            and self._rng.random() < CRASHING_PROBABILITY
        )
        if attempt.is_crashing:
            bad_parts = self._cluster.config.list_crashing_parts()
            parts.append(self._rng.choice(bad_parts))
        parts.append(f"e{self._number:03x}{number:06x}")
        attempt.parts = ",".join(f"{part}:25" for part in parts)

    def _choose_key(self) -> str:
        sample = self._rng.random()
        if sample < SMALL_ACCOUNT_PROBABILITY:
            return "k-small"
        if sample > 1 - ROTATED_KEY_PROBABILITY:
            return self._rng.choice(list(self._cluster.history.keys))
        return "k-large"

    def _call(self, attempt: history.Attempt) -> None:
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                hosted_fleet.HOST,
                self._cluster.client_proxy_ports[self._vm],
                timeout=CALL_TIMEOUT_S,
            )
            if self._is_slow:
                self._connect_slowly(self._connection)
        headers = {
            "Host": hosted_fleet.SITE,
            "Attempt-Id": attempt.name,
            "Deadline-Ms": "4000",
            "Authorization": f"Token {attempt.key}",
        }
        if attempt.kind.is_stream:
            headers |= hosted_fleet.STREAM
        if attempt.parts:
            headers["Prompt-Prefix"] = attempt.parts
        if attempt.resumes:
            headers["Resumes"] = attempt.resumes
            headers["Last-Event-Id"] = str(attempt.last_event)
        try:
            self._connection.request(
                "POST", attempt.path, attempt.sent, headers
            )
            if attempt.has_disconnected:
                time.sleep(0.2 * self._rng.random())
                self._must_switch = True
                return
            self._read_response(attempt, self._connection.getresponse())
        except (OSError, http.client.HTTPException):
            # The checks see the failure as status 0 or as ``is_cut``.
            attempt.is_cut = attempt.status != 0
            self._must_switch = True

    def _connect_slowly(self, connection: http.client.HTTPConnection) -> None:
        """Open a connection whose buffer holds little of an answer."""
        connection.sock = socket.socket()
        connection.sock.settimeout(CALL_TIMEOUT_S)
        connection.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES
        )
        try:
            connection.sock.connect((connection.host, connection.port))
        except OSError:
            # The request opens another one, or fails and is recorded.
            connection.close()

    def _read_body(self, response: http.client.HTTPResponse) -> bytes:
        if not self._is_slow:
            return response.read()
        body = b""
        while piece := response.read(SLOW_READ_BYTES):
            body += piece
            time.sleep(SLOW_READ_INTERVAL_S)
        if response.length:
            raise http.client.IncompleteRead(body, response.length)
        return body

    def _read_response(
        self, attempt: history.Attempt, response: http.client.HTTPResponse
    ) -> None:
        attempt.status = response.status
        attempt.seal = response.headers.get("Server-Seal", "")
        attempt.echoed_id = response.headers.get("Attempt-Id", "")
        attempt.retry_after = response.headers.get("Retry-After", "")
        if self._should_drop(attempt):
            events = self._rng.randint(2, checks.STREAM_EVENTS - 2)
            attempt.body = response.read(events * BYTES_PER_EVENT)
            attempt.is_cut = attempt.has_disconnected = True
            self._must_switch = True
            return
        should_close = response.headers.get("Connection", "") == "close"
        try:
            attempt.body = self._read_body(response)
        except http.client.IncompleteRead as error:
            attempt.body = error.partial
            attempt.is_cut = True
        if (
            should_close
            or attempt.is_cut
            or self._rng.random() > KEEP_ALIVE_PROBABILITY
        ):
            self._must_switch = True

    def _should_drop(self, attempt: history.Attempt) -> bool:
        return (
            self._cluster.config.versions > 1
            and attempt.kind is history.RequestKind.RESUMABLE_STREAM
            and attempt.status == 200
            and self._rng.random() < DROP_PROBABILITY
        )

    def _switch_vm(self, attempt: history.Attempt) -> None:
        """Choose a VM from the resolved addresses and reconnect to it.

        :param attempt: the last attempt on the previous connection
        """
        self._close()
        if self._keeps_address and attempt.status not in REFUSED_STATUSES:
            return
        queried = self._rng.randrange(len(self._cluster.vms))
        usable = [queried]
        with contextlib.suppress(OSError, ValueError, KeyError):
            addresses = self._cluster.list_resolved(queried)
            usable = [
                number
                for number, ports in enumerate(self._cluster.ports)
                if f"{hosted_fleet.HOST}:{ports[0]}" in addresses
            ]
        self._vm = self._rng.choice(usable or [queried])

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class Callers:
    """Group of callers that run at the same time.

    :param seed: seed of the random choices
    :param soak_cluster: processes under test
    :param count: number of callers; by the size of the soak if none
    """

    def __init__(
        self,
        seed: int,
        soak_cluster: cluster.SoakCluster,
        count: int | None = None,
    ) -> None:
        if count is None:
            count = (
                STOPS_CALLER_COUNT
                if soak_cluster.config.stops
                else DEFAULT_CALLER_COUNT
            )
        self._stop_event = threading.Event()
        self._callers = [
            CallerThread(number, seed, soak_cluster, self._stop_event)
            for number in range(count)
        ]

    def start(self) -> None:
        """Start all callers."""
        for caller in self._callers:
            caller.start()

    def stop(self) -> list[history.Attempt]:
        """Stop all callers.

        :returns: attempts of all callers
        """
        self._stop_event.set()
        for caller in self._callers:
            caller.join(CALL_TIMEOUT_S * 2)
        return [
            attempt for caller in self._callers for attempt in caller.attempts
        ]

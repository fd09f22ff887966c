"""Concurrent callers under faults, and checks of the replies they got."""

import asyncio
import collections
import hashlib
import json
import random
import signal
import threading

import aiohttp

from mulberryway import clock
from mulberryway.policy import claim_records
from standins import answers
from tests import deployment
from tests import processes
from tests import router_fixture

CALLERS = 48
MAX_TOKENS = 3
MAX_ATTEMPTS = 3
CALL_TIMEOUT_S = 20
RETRY_DELAY_S = 0.05
FAULTS = (
    {"cut": True},
    {"silent": ["down"]},
    {"silent": ["up", "down"]},
    {"half_close": "down"},
    {"cut": True},
)
KINDS = ("stream", "stream", "whole", "plain", "plain", "booking")
NOT_RUN = "not_run"


class Record:
    """One attempt of one caller, and its result.

    ``status`` is 0 if the VM sent no reply.
    """

    def __init__(self, number, kind, name):
        self.number = number
        self.kind = kind
        self.name = name
        self.key = ""
        self.status = 0
        self.request_id = ""
        self.body = b""
        self.is_whole = False
        self.run = ""
        self.code = ""

    @property
    def prompt(self):
        return f"station log {self.name}"

    @property
    def booking(self):
        return json.dumps({"pen": self.name}).encode()


class FaultyDeployment(deployment.Deployment):
    """Three entry VMs whose upstreams are behind the fault proxy."""

    def __init__(self):
        super().__init__(engine_flags=("--token_ms=2",))
        ports = [*self.engine_ports, self.service_port]
        self.control, *self.fronts = processes.pick_ports(1 + len(ports))
        self.pairs = [f"u{number}" for number in range(len(ports))]
        flags = [
            f"--pair={name}=127.0.0.1:{front}=127.0.0.1:{port}"
            for name, front, port in zip(
                self.pairs, self.fronts, ports, strict=True
            )
        ]
        self.group.start(
            "standins.faultproxy",
            f"--port={self.control}",
            *flags,
            ports=[self.control, *self.fronts],
        )

    def make_rows(self):
        rows = super().make_rows()
        *engines, service = self.fronts
        upstreams = rows["pools"]["lm-pool"]["upstreams"]
        for number, port in enumerate(engines):
            upstreams[f"e{number}"]["address"] = f"127.0.0.1:{port}"
        upstreams = rows["pools"]["member-api"]["upstreams"]
        upstreams["s0"]["address"] = f"127.0.0.1:{service}"
        return rows

    def switch(self, pair, faults):
        processes.call(
            self.control, "POST", f"/standin/pairs/{pair}", dict(faults)
        )


class History:
    """Runs callers and injects faults, and records every attempt.

    :param world: the deployment
    :param seed: seed of the random calls and faults
    """

    def __init__(self, world, seed):
        self.world = world
        self.random = random.Random(seed)
        self.restarts = [threading.Lock() for _ in world.ports]
        self.records = []

    async def run(self, count, fault_every):
        """Send ``count`` requests; inject a fault every ``fault_every``."""
        numbers = iter(range(count))
        limit = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=limit, connector=connector
        ) as session:
            callers = [
                self.call_on(session, numbers, fault_every)
                for _ in range(CALLERS)
            ]
            await asyncio.gather(*callers)

    async def call_on(self, session, numbers, fault_every):
        for number in numbers:
            if number and number % fault_every == 0:
                await self.inject()
            kind = self.random.choice(KINDS)
            key = claim_records.make_uuid7(
                clock.SystemClock().wall_ms(),
                self.random.getrandbits(74),
            )
            await self.request(session, number, kind, key)

    async def request(self, session, number, kind, key):
        """Retry a request until there is a reply, at a random VM each time."""
        port = self.random.choice(self.world.ports)
        for _ in range(MAX_ATTEMPTS):
            record = Record(number, kind, f"{number}-{key[-6:]}")
            record.key = key if kind == "booking" else ""
            self.records.append(record)
            try:
                await self.attempt(session, port, record)
            except (aiohttp.ClientError, TimeoutError):
                pass
            if record.is_whole or record.status:
                return
            await asyncio.sleep(RETRY_DELAY_S)
            port = self.random.choice(self.world.ports)

    async def attempt(self, session, port, record):
        method, path, body = "GET", f"/member/{record.name}", None
        headers = {"Authorization": f"Bearer {router_fixture.KEY}"}
        if record.kind == "booking":
            method, path, body = "POST", "/bookings", record.booking
            headers["Idempotency-Key"] = record.key
        elif record.kind != "plain":
            method, path = "POST", "/v1/completions"
            call = {
                "model": "m",
                "prompt": record.prompt,
                "max_tokens": MAX_TOKENS,
                "stream": record.kind == "stream",
            }
            body = json.dumps(call).encode()
        async with session.request(
            method,
            f"http://127.0.0.1:{port}{path}",
            data=body,
            headers=headers,
        ) as reply:
            record.status = reply.status
            record.request_id = reply.headers.get("X-Request-Id", "")
            async for part in reply.content.iter_any():
                record.body += part
            record.is_whole = True
        if record.status >= 400:
            fault = json.loads(record.body).get("error", {})
            record.run = fault.get("run", "")
            record.code = fault.get("code", "")

    async def inject(self):
        """Inject a random fault: cut, stall, kill or pause."""
        choice = self.random.randrange(8)
        loop = asyncio.get_running_loop()
        if choice == 0:
            await loop.run_in_executor(None, self.restart_router)
        elif choice == 1:
            await loop.run_in_executor(None, self.pause_router)
        else:
            pair = self.random.choice(self.world.pairs)
            faults = self.random.choice(FAULTS)
            await loop.run_in_executor(None, self.world.switch, pair, faults)

    def restart_router(self):
        number = self.random.randrange(len(self.world.ports))
        # Without the lock, two concurrent restarts of a router could kill it
        # before it listens, which would look like a failed start.
        with self.restarts[number]:
            self.world.routers[number].kill()
            self.world.start_router(number).wait_ready()

    def pause_router(self):
        router = self.random.choice(self.world.routers)
        router.send_signal(signal.SIGSTOP)
        processes.wait_until(lambda: False, 0.7)
        router.send_signal(signal.SIGCONT)


class Effects:
    """The bookings, runs and held memory that upstreams report.

    :param bookings: how often each key was booked
    :param runs: ids of attempts that an engine started
    :param held: requests for which engines still hold memory at the end
    """

    def __init__(self, bookings, runs, held):
        self.bookings = collections.Counter(bookings)
        self.runs = runs
        self.held = held


def read_effects(world):
    """Read the effects from the stand-ins, after engines freed memory."""
    bookings = processes.call(
        world.service_port, "GET", "/standin/bookings"
    ).json()
    runs = [
        run["id"]
        for port in world.engine_ports
        for run in router_fixture.list_runs(port)
        if run["outcome"] != "refused"
    ]
    processes.wait_until(
        lambda: not any(map(router_fixture.list_held, world.engine_ports))
    )
    held = [
        request
        for port in world.engine_ports
        for request in router_fixture.list_held(port)
    ]
    return Effects(bookings["by_key"], runs, held)


def check(records, effects):
    """Return the names of violated rules, with what was observed."""
    return [
        *(fault for record in records for fault in check_answer(record)),
        *check_bookings(records, effects),
        *check_not_run(records, effects),
        *(("engine memory still held", item["id"]) for item in effects.held),
    ]


def check_answer(record):
    """Check that complete answers are correct and cut-off ones a prefix."""
    if record.code == "internal":
        yield "the router failed", record.number
    if record.status >= 400 or not record.status:
        return
    if record.kind == "stream":
        text, is_done = read_stream(record.body)
        expected = router_fixture.expect_text(record.prompt, MAX_TOKENS)
        if is_done and text != expected:
            yield "stream complete but wrong", record.number
        if not expected.startswith(text):
            yield "foreign or duplicate token", record.number
        if record.is_whole and not is_done and b'"error"' not in record.body:
            yield "truncated stream looks complete", record.number
    elif record.is_whole and record.kind == "whole":
        text = json.loads(record.body)["choices"][0]["text"]
        expected = answers.Answer("m", record.prompt, MAX_TOKENS).text()
        if text != expected:
            yield "completion wrong", (record.request_id, text, expected)
    elif record.is_whole and record.kind == "plain":
        if json.loads(record.body)["target"] != f"/member/{record.name}":
            yield "answer of another call", record.number
    elif record.is_whole:
        digest = hashlib.sha256(record.booking).hexdigest()[:16]
        if json.loads(record.body)["body"] != digest:
            yield "answer of another booking", record.number


def read_stream(body):
    """Return a stream's text, and whether its final event arrived."""
    events = [
        part.removeprefix(b"data: ")
        for part in body.split(b"\n\n")
        if part.startswith(b"data: ")
    ]
    # A stream may be cut off within an event; incomplete events are ignored.
    whole = events if body.endswith(b"\n\n") else events[:-1]
    values = [json.loads(event) for event in whole if event.startswith(b"{")]
    text = "".join(
        value["choices"][0]["text"] for value in values if "choices" in value
    )
    return text, b"[DONE]" in whole


def check_bookings(records, effects):
    by_key = collections.defaultdict(list)
    for record in records:
        if record.kind == "booking":
            by_key[record.key].append(record)
    for key, attempts in by_key.items():
        runs = effects.bookings[key]
        if runs > 1:
            yield "booked twice", key
        if any(attempt.status == 201 for attempt in attempts) and not runs:
            yield "booking confirmed but not made", key
        if runs and all(attempt.run == NOT_RUN for attempt in attempts):
            yield "booking made but reported not_run", key
        replies = {
            attempt.body for attempt in attempts if attempt.status == 201
        }
        if len(replies) > 1:
            yield "two answers to one booking", key


def check_not_run(records, effects):
    """Check that no engine started a request reported as not run."""
    started = {run.rpartition("-")[0] for run in effects.runs}
    for record in records:
        if record.run == NOT_RUN and record.kind in ("stream", "whole"):
            if not record.request_id:
                yield "rejection without an id", record.number
            elif record.request_id in started:
                yield "false not_run", record.number

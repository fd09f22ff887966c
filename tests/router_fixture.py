"""A router in the test's process, for use with stand-in upstreams."""

import http.client
import json
import time

import expression

from mulberryway import clock
from mulberryway import router
from mulberryway import settings
from mulberryway import tables
from mulberryway.filters import native_api
from mulberryway.policy import allowance
from mulberryway.policy import baselines
from mulberryway.policy import endpoints
from standins import answers
from tests import processes

KEY = "key-of-tea-estate-1"
OTHER_KEY = "key-of-surveyors-2"
CREDENTIAL = "pool-credential"
TEST_TIMEOUT_S = 30
ROLES = {
    "prefill": tables.UpstreamRole.PREFILL,
    "decode": tables.UpstreamRole.DECODE,
    "both": tables.UpstreamRole.BOTH,
    "service": tables.UpstreamRole.SERVICE,
}


class StaticTables(tables.TableSource):
    """A table source whose tables are set by the test."""

    def __init__(self, current=None):
        self.current = current
        self.subscribers = []

    def get_tables(self):
        return self.current

    def subscribe(self, on_change):
        self.subscribers.append(on_change)

    def change(self, changed):
        self.current = changed
        for subscriber in self.subscribers:
            subscriber(changed)


class CountingAllowances(allowance.Allowances):
    """Grants every request, and records reservations and settlements."""

    def __init__(self):
        self.open = []
        self.settled = []
        self.fault = None
        self.has_lapsed = False

    def commit(self, reservation):
        return not self.has_lapsed

    def reserve(self, account, tokens):
        if self.fault is not None:
            return expression.Error(self.fault)
        reservation = allowance.Reservation(account, tokens)
        self.open.append(reservation)
        return expression.Ok(reservation)

    def settle(self, reservation, used):
        self.open.remove(reservation)
        self.settled.append((reservation.account, reservation.tokens, used))


class OneEntry(endpoints.EndpointDirectory):
    def __init__(self, address):
        self.address = address

    def list_addresses(self, caller_zone):
        return [endpoints.Endpoint(self.address, "kandy-a")]


def make_account(name, key, *further):
    digests = tuple(map(tables.digest_key, (key, *further)))
    return tables.ClientAccount(name, digests, 1000, 1000)


def make_upstream(role, port, name=None):
    return tables.Upstream(
        name or f"{role}-{port}", f"127.0.0.1:{port}", "kandy-a", ROLES[role]
    )


def make_tables(engines=(), services=(), accounts=None, revision=1, **route):
    """Return tables with one model route and two plain routes."""
    accounts = accounts or (
        make_account("tea-estate", KEY),
        make_account("surveyors", OTHER_KEY),
    )
    pools = (
        tables.Pool(
            "lm-pool",
            tables.PoolKind.MODEL,
            tuple(engines),
            ("m",),
            CREDENTIAL,
        ),
        tables.Pool(
            "member-api",
            tables.PoolKind.PLAIN,
            tuple(services),
            credential=CREDENTIAL,
        ),
    )
    routes = (
        tables.Route("lm", "/v1/completions", "lm-pool", ("m",), **route),
        tables.Route("member", "/member", "member-api"),
        tables.Route(
            "book", "/bookings", "member-api", idempotent=False, **route
        ),
    )
    return tables.Tables(revision, routes, pools, accounts)


def make_settings():
    made = settings.Settings()
    made.vm_name = "a1"
    made.vm_zone = "kandy-a"
    (made.router_port,) = processes.pick_ports(1)
    made.router_threads = 32
    made.router_entry_ttl_ms = 100
    return made


class RouterFixture:
    """A running router; a context manager."""

    def __init__(
        self,
        current=None,
        settings_=None,
        scheduler=None,
        claims=None,
        try_withdraw_retry=lambda pool: True,
        closes_revoked_streams=True,
    ):
        self.settings = settings_ or make_settings()
        self.source = StaticTables(current)
        self.allowances = CountingAllowances()
        self.scheduler = scheduler or baselines.FirstComeScheduler()
        self.claims = claims
        self.withdrawn = []
        self.router = router.Router(
            self.settings,
            clock.SystemClock(),
            7,
            self.source,
            self.scheduler,
            self.allowances,
            OneEntry(f"127.0.0.1:{self.settings.router_port}"),
            native_api.NativeApi(claims),
            try_withdraw_retry,
            on_drain=lambda: self.withdrawn.append(True),
            closes_revoked_streams=closes_revoked_streams,
        )
        self.port = self.settings.router_port

    def __enter__(self):
        self.router.start()
        return self

    def __exit__(self, *_):
        self.router.stop(graceful=False)

    def connect(self):
        return http.client.HTTPConnection(
            "127.0.0.1", self.port, TEST_TIMEOUT_S
        )

    def call(self, method, path, body=None, key=KEY, **headers):
        """Send one call on a new connection."""
        headers = {k.replace("_", "-"): v for k, v in headers.items()}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        return processes.call(
            self.port, method, path, body, headers, TEST_TIMEOUT_S
        )

    def complete(self, prompt="why did my fix drift", key=KEY, **body):
        body = {"model": "m", "prompt": prompt, "max_tokens": 8} | body
        return self.call("POST", "/v1/completions", body, key)

    def is_idle(self, cancels=True):
        """Return whether no resources are held for any request."""
        return (
            not self.router.running
            and not self.router.relay.count
            and not self.router.scheduling.waiting
            and not self.router.scheduling.started
            and not (cancels and self.router.cancelling.open)
            and not self.allowances.open
        )

    def wait_idle(self, cancels=True):
        return processes.wait_until(lambda: self.is_idle(cancels))


class OpenStream:
    """A caller that reads a stream incrementally."""

    def __init__(self, fixture, prompt, max_tokens, key=KEY, model="m"):
        self.connection = fixture.connect()
        self.headers = {"Authorization": f"Bearer {key}"}
        self.body = json.dumps(
            {
                "model": model,
                "prompt": prompt,
                "max_tokens": max_tokens,
                "stream": True,
            }
        )
        self.refusals = 0
        self.reply = None
        self.send()

    def send(self):
        self.connection.request(
            "POST", "/v1/completions", self.body, self.headers
        )

    def begin(self):
        """Wait for the reply's headers; retry after a 429.

        A router that has just started has an empty allowance, and sends a
        retry delay that callers follow.
        """
        self.reply = self.connection.getresponse()
        until = time.monotonic() + TEST_TIMEOUT_S
        while self.reply.status == 429 and time.monotonic() < until:
            self.refusals += 1
            error = json.loads(self.reply.read())["error"]
            pause(error["retry_after_ms"] / 1000)
            self.send()
            self.reply = self.connection.getresponse()

    def read_event(self):
        """Return the next event's JSON, ``[DONE]``, or none at the end."""
        if self.reply is None:
            self.begin()
        while line := self.reply.readline():
            if line.strip():
                text = line.decode().removeprefix("data: ").strip()
                return text if text == "[DONE]" else json.loads(text)
        return None

    def read_all(self):
        """Return all events up to the end of the stream."""
        events = []
        while (event := self.read_event()) is not None:
            events.append(event)
            if event == "[DONE]":
                break
        return events

    def close(self):
        self.connection.close()


def join_text(events):
    """Return the concatenated text of a stream's events."""
    return "".join(
        event["choices"][0]["text"]
        for event in events
        if event != "[DONE]" and "choices" in event
    )


def expect_text(prompt, max_tokens, model="m"):
    return answers.Answer(model, prompt, max_tokens).text()


def list_held(port):
    """Return the requests for which a stand-in engine holds memory."""
    return processes.call(port, "GET", "/v1/requests").json()["requests"]


def list_runs(port):
    return processes.call(port, "GET", "/standin/runs").json()["runs"]


def pause(seconds):
    time.sleep(seconds)

"""Tests of callers whose servers break off answers and send some twice.

In the form of the users' record, see docs/incidents/unsigned-answers.md: all
servers of a service do both, and callers keep their connections.
"""

import collections
import concurrent.futures
import hashlib
import itertools
import unittest

from tests import hosted_fleet
from tests import kept_caller

SERVERS = ("s0", "s1", "s2")
PHASES = ("prefill", "decode", "decode")
CALLERS = 8
CALLS = 60
STREAMS = 20
# Every so many bookings have a body that is answered before it was read.
LONG_EVERY = 6
# More than the kernel takes before the server has read it.
LONG_BODY = b"0123456789abcdef" * 250_000
EVENTS = b"".join(b"id: %d\ndata: t%d v1\n\n" % (n, n) for n in range(1, 21))
REJECTIONS = (408, 421, 429, 503)
# A third of the answers is spoiled.  A call that may be repeated fails if both
# of its servers spoil theirs; one that may run once has a connection of its
# own, so that only broken answers and rejections fail it.
BROKEN, COPIED, REJECTED = 0.2, 0.1, 0.03
FAULTS = {
    "broken_part": BROKEN,
    "copied_part": COPIED,
    "rejected_part": REJECTED,
}
# A few calls in 100 may fail beyond that by chance.
CHANCE = 0.06
MIN_REPEATED = 1 - (BROKEN + COPIED + REJECTED) ** 2 - CHANCE
MIN_ONCE = 1 - (BROKEN + REJECTED) - CHANCE
# A stream that may run once has one decode, and a prefill that may be repeated
# or left out.
MIN_STREAMS_ONCE = 1 - (BROKEN + REJECTED) - 2 * CHANCE


class Call:
    """One request of a caller and its reply.

    :param kind: the method and the route's prefix
    :param attempt: its id
    :param body: the whole body of its answer
    :param reply: the reply
    """

    __slots__ = ("kind", "attempt", "body", "reply")

    def __init__(self, kind, attempt, body, reply):
        self.kind = kind
        self.attempt = attempt
        self.body = body
        self.reply = reply

    @property
    def is_served(self):
        return self.reply.status == 200 and not self.reply.is_cut


def make_seal(instance, attempt):
    """Return the signature of a server's answer, as the stand-in makes it."""
    return hashlib.sha256(f"{instance}/{attempt}".encode()).hexdigest()[:16]


def list_symptoms(call, runs):
    """Yield what is wrong with a reply.

    :param call: the request and its reply
    :param runs: the instances that ran the request, one for each run
    """
    reply, kind = call.reply, call.kind
    if "/book/" in kind or "/talk/" in kind:
        if len(runs) > 1:
            yield "ran twice"
    if reply.status in REJECTIONS and runs:
        yield f"ran, rejected with {reply.status}"
    if not 200 <= reply.status < 300:
        return
    seals = reply.headers.get_all("Server-Seal", [])
    if not seals:
        yield "success without a signature"
    elif seals[0] not in {make_seal(one, call.attempt) for one in runs}:
        yield "success with another signature"
    if reply.headers.get("Attempt-Id") != call.attempt:
        yield "success with another id"
    if reply.status != 200 or len(seals) > 1:
        yield "other head"
    if not call.body.startswith(reply.body):
        yield "another body"
    elif not reply.is_cut and reply.body != call.body:
        is_framed = "Content-Length" in reply.headers
        size = "empty" if not reply.body else "short"
        yield f"{size} body, complete by {'length' if is_framed else 'chunks'}"


class UnsignedAnswersTest(unittest.TestCase):
    def play(self, fleet, make_calls):
        """Send the calls of all callers at once, and check all replies.

        :param make_calls: sends the calls of one caller
        :returns: the calls by kind
        """
        for name in fleet.upstreams:
            fleet.set_fault(name, **FAULTS)
        callers = [
            kept_caller.KeptCaller(ports[0])
            for ports in itertools.islice(
                itertools.cycle(fleet.ports), CALLERS
            )
        ]
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            played = pool.map(
                lambda *one: list(make_calls(*one)), callers, range(CALLERS)
            )
            calls = list(itertools.chain.from_iterable(played))
        symptoms = collections.Counter()
        for caller in callers:
            caller.close(pause_s=0.05)
            symptoms["bytes beyond an answer"] += len(caller.surplus)
        runs = collections.defaultdict(list)
        for name in fleet.upstreams:
            for run in fleet.list_runs(name):
                runs[run["id"]].append(name)
        by_kind = collections.defaultdict(list)
        for call in calls:
            by_kind[call.kind].append(call)
            for symptom in list_symptoms(call, runs[call.attempt]):
                symptoms[f"{call.kind}: {symptom}"] += 1
        self.assertFalse(+symptoms, f"{+symptoms}\n{self.count(by_kind)}")
        return by_kind

    def count(self, by_kind):
        return {
            kind: collections.Counter(
                (call.reply.status, call.reply.is_cut) for call in calls
            )
            for kind, calls in by_kind.items()
        }

    def check_served(self, by_kind, kind, least):
        calls = by_kind[kind]
        served = sum(call.is_served for call in calls)
        self.assertGreaterEqual(
            served, least * len(calls), self.count(by_kind)
        )

    def test_plain_calls(self):
        """Guards against successes without a signature, and against short
        bodies that look whole, from servers that break off and answer twice.
        """

        def make_calls(caller, number):
            for count in range(CALLS):
                attempt = f"g-{number}-{count}"
                path = f"/plain/{attempt}"
                reply = caller.send("GET", path, attempt)
                yield Call(
                    "GET /plain/", attempt, f"GET {path} ".encode(), reply
                )
                attempt = f"p-{number}-{count}"
                path = f"/book/{attempt}"
                body = LONG_BODY if count % LONG_EVERY == 0 else b"{}"
                reply = caller.send("POST", path, attempt, body)
                whole = f"POST {path} ".encode() + body
                yield Call("POST /book/", attempt, whole, reply)

        router = {"body_bytes": hosted_fleet.LIMITS["body_bytes"]}
        with hosted_fleet.Fleet(servers=SERVERS, router=router) as fleet:
            by_kind = self.play(fleet, make_calls)
            self.check_served(by_kind, "GET /plain/", MIN_REPEATED)
            self.check_served(by_kind, "POST /book/", MIN_ONCE)

    def test_streams(self):
        """Guards against the same on routes of streams, whose engines answer
        prefills and decodes so.
        """

        def make_calls(caller, number):
            for count, prefix in itertools.product(
                range(STREAMS), ("/talk/", "/digest/")
            ):
                attempt = f"{prefix[1]}-{number}-{count}"
                reply = caller.send(
                    "POST",
                    prefix + attempt,
                    attempt,
                    b"{}",
                    hosted_fleet.STREAM,
                )
                yield Call(f"POST {prefix}", attempt, EVENTS, reply)

        with hosted_fleet.Fleet(phases=PHASES) as fleet:
            by_kind = self.play(fleet, make_calls)
            self.check_served(by_kind, "POST /digest/", MIN_REPEATED)
            self.check_served(by_kind, "POST /talk/", MIN_STREAMS_ONCE)

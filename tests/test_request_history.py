"""Tests of 20,000 concurrent requests under faults, and of the checker."""

import asyncio
import copy
import json
import unittest

from tests import request_history as history
from tests import router_fixture

REQUESTS = 20_000
FAULT_EVERY = 800
SEED = 20


class RequestHistoryTest(unittest.TestCase):
    def test_every_caller_gets_its_own(self):
        """Connections to upstreams are cut or stall and routers are killed or
        paused, while callers stream, read and book, and retry calls without a
        reply.  Guards against another caller's answer, a second booking, a
        false "not run", and engine memory that is not freed.
        """
        with history.FaultyDeployment() as world:
            run = history.History(world, SEED)
            asyncio.run(run.run(REQUESTS, FAULT_EVERY))
            effects = history.read_effects(world)
        violations = history.check(run.records, effects)
        self.assertEqual([], violations[:10])
        # The run must have produced both successful and failed requests.
        numbers = {record.number for record in run.records}
        self.assertEqual(len(numbers), REQUESTS)
        whole = sum(one.is_whole and one.status < 400 for one in run.records)
        self.assertGreater(whole, REQUESTS // 2)
        failed = [one for one in run.records if not one.is_whole or one.run]
        self.assertGreater(len(failed), 0)


def make_stream(number, text_of=None):
    record = history.Record(number, "stream", f"n{number}")
    record.status, record.is_whole = 200, True
    record.request_id = f"vm0.1-{number}"
    text = router_fixture.expect_text(text_of or record.prompt, 3)
    event = json.dumps({"id": "x", "choices": [{"text": text}]})
    record.body = f"data: {event}\n\ndata: [DONE]\n\n".encode()
    return record


def make_booking(status=201, run="", body=b""):
    record = history.Record(1, "booking", "pen 4")
    record.key, record.status, record.run = "k", status, run
    record.is_whole = True
    record.body = (
        body
        or json.dumps(
            {
                "booking": 1,
                "body": history.hashlib.sha256(record.booking).hexdigest()[
                    :16
                ],
            }
        ).encode()
    )
    return record


class CheckerTest(unittest.TestCase):
    """The checker detects a violation of each rule."""

    def check(self, records, bookings=None, runs=(), held=()):
        effects = history.Effects(bookings or {}, runs, held)
        return {name for name, _ in history.check(records, effects)}

    def test_sound_history(self):
        records = [make_stream(1), make_booking(), make_booking()]
        self.assertEqual(self.check(records, {"k": 1}), set())

    def test_streams(self):
        other = make_stream(2, text_of="station log of another")
        self.assertIn("stream complete but wrong", self.check([other]))
        self.assertIn("foreign or duplicate token", self.check([other]))
        doubled = make_stream(3)
        first, _, rest = doubled.body.partition(b"\n\n")
        doubled.body = first + b"\n\n" + doubled.body
        self.assertIn("foreign or duplicate token", self.check([doubled]))
        cut = make_stream(4)
        cut.body = cut.body.partition(b"data: [DONE]")[0]
        self.assertEqual(
            self.check([cut]), {"truncated stream looks complete"}
        )
        cut.is_whole = False
        self.assertEqual(self.check([cut]), set())

    def test_whole_and_plain(self):
        whole = make_stream(5)
        whole.kind = "whole"
        whole.body = json.dumps({"choices": [{"text": "else"}]}).encode()
        self.assertEqual(self.check([whole]), {"completion wrong"})
        plain = make_stream(6)
        plain.kind = "plain"
        plain.body = json.dumps({"target": "/member/else"}).encode()
        self.assertEqual(self.check([plain]), {"answer of another call"})

    def test_bookings(self):
        refused = make_booking(503, "not_run", b"{}")
        cases = (
            ("booked twice", [make_booking()], {"k": 2}),
            ("booking confirmed but not made", [make_booking()], {}),
            ("booking made but reported not_run", [refused], {"k": 1}),
            (
                "answer of another booking",
                [make_booking(body=b'{"body": "x"}')],
                {"k": 1},
            ),
        )
        for name, records, bookings in cases:
            with self.subTest(name):
                self.assertEqual(self.check(records, bookings), {name})
        second = copy.copy(make_booking())
        second.body = second.body.replace(b'"booking": 1', b'"booking": 2')
        self.assertEqual(
            self.check([make_booking(), second], {"k": 1}),
            {"two answers to one booking"},
        )

    def test_refusals_and_memory(self):
        refused = make_stream(7)
        refused.status, refused.run = 503, "not_run"
        broken = copy.copy(refused)
        broken.run, broken.code = "may_have_run", "internal"
        self.assertEqual(self.check([broken]), {"the router failed"})
        runs = [f"{refused.request_id}-0"]
        self.assertEqual(self.check([refused], runs=runs), {"false not_run"})
        self.assertEqual(
            self.check([], held=[{"id": "x"}]), {"engine memory still held"}
        )

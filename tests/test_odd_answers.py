"""Tests of engines whose answers to control calls hold odd values."""

import http
import json
import unittest
from unittest import mock

import expression
import hypothesis
from hypothesis import strategies

from mulberryway import clock
from mulberryway import errors
from mulberryway.peers import gossip_messages
from mulberryway.platform import advisories
from mulberryway.platform import wire
from mulberryway.upstreams import base
from mulberryway.upstreams import connections
from tests import odd_entries
from tests import test_torn_heads

SETTINGS = hypothesis.settings(
    deadline=None,
    max_examples=400,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
REPORT = {
    "phase": "decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "busy": False,
    "sequence": 2,
    "queued": 1,
    "running": 12,
    "kv_used": 41_000,
    "kv_total": 90_000,
}
HANDLE = {"cache_handle": "3fa09c41b7d5", "tokens": 1460, "version": 1}
NOT_RUN = (wire.NOT_EXECUTED, "1")
HEADERS = (
    "nan",
    "inf",
    "-1",
    "1e400",
    "1e308",
    "9" * 5_000,
    "0x10",
    "1_000",
    "\xb2",
    "\xff",
    "",
    " ",
    ",",
    "1,2",
    "timeout=9e9",
    "max=\xb9",
    "Mon, 01 Jan 99999999999999999999 00:00:00 GMT",
    "Mon, 01 Jan 0001 00:00:00 +9999",
    "Mon, 31 Dec 9999 23:59:60 -9999",
    "Mon, 01 Jan 2026 00:00:00 +99999999999",
    "Feb +99999999999 13 24:61:61",
)


def answer(body, status=200, headers=()):
    """Return an engine that gets one answer, without a network."""
    client = test_torn_heads.make_engine("127.0.0.1:1")
    response = connections.Response(status, list(headers), body)
    client._client.close()
    client._client = mock.Mock()
    client._client.call.return_value = expression.Ok(response)
    return client


def make_bodies(sound):
    return strategies.one_of(
        odd_entries.make_objects(sound), odd_entries.make_values()
    )


class OddAnswerTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(make_bodies(REPORT))
    def test_load_report(self, body):
        """Guards against reports that raise in whoever reads them, on this VM
        or on those that they are sent to.
        """
        result = answer(body).report_load()
        if result.is_error():
            self.assertIs(result.error.code, errors.Code.UPSTREAM_FAILED)
            return
        sent = gossip_messages.encode_report(
            gossip_messages.EngineReport("llm", "e0", result.ok, [])
        )
        (received,) = gossip_messages.decode_datagram(sent).news
        self.assertEqual(received.load.models, result.ok.models)
        self.assertEqual(received.load.running, result.ok.running)
        self.assertLess(len(sent), 8_000)
        self.assertIsInstance(result.ok.free_blocks / 3, float)

    @SETTINGS
    @hypothesis.given(make_bodies(HANDLE))
    def test_prefill(self, body):
        """Guards against handles that the next request cannot carry."""
        client = answer(body)
        result = client.prefill(
            test_torn_heads.make_label(), test_torn_heads.make_request(), 100
        )
        if result.is_error():
            self.assertIs(result.error.run, errors.ExecutionStatus.NOT_RUN)
            return
        name = result.ok.transfer["handle"].name
        self.assertTrue(name.isascii() and name.isprintable())

    @SETTINGS
    @hypothesis.given(make_bodies({"hold": "h-1"}))
    def test_reservation(self, body):
        client = answer(body)
        label = test_torn_heads.make_label()
        request = base.ReservationRequest(100, 1_000)
        self.assertTrue(client._reserve(label, request).is_ok())
        for kept in client._reservations.values():
            self.assertTrue(kept.name.isascii() and kept.name.isprintable())

    def test_deep_answers(self):
        """Guards against RecursionError, which is no ValueError."""
        for name, value in odd_entries.list_worst_values().items():
            for depth in (value, b"[" * 2_000, b'{"a":' * 2_000):
                with self.subTest(name):
                    self.assertTrue(answer(depth).report_load().is_error())


class OddHeaderTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from((200, 404, 429, 500, 503)),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    (
                        wire.RATE_LIMIT,
                        wire.RETRY_AFTER,
                        wire.LEAVING,
                        "Keep-Alive",
                    )
                ),
                strategies.one_of(
                    strategies.sampled_from(HEADERS),
                    strategies.text(strategies.characters(max_codepoint=255)),
                ),
            ),
            max_size=4,
        ),
    )
    def test_advisories(self, status, headers):
        """Guards against headers of a server that fail the request."""
        said = []
        reader = advisories.AdvisoryReader(
            "s0", lambda name, said_: said.append(said_), clock.SystemClock()
        )
        reader.read(status, headers, 0)
        self.assertEqual(len(said), 1)
        self.assertLessEqual(0, said[0].pause_ms)
        self.assertLessEqual(said[0].pause_ms, advisories.MAX_PAUSE_MS)
        json.dumps(said[0].rate_per_s, allow_nan=False)

    def test_dates_out_of_range(self):
        """Guards against 500 for a call whose server names an odd date."""
        for value in HEADERS:
            with self.subTest(value):
                said = []
                advisories.AdvisoryReader(
                    "s0", lambda *x, to=said: to.append(x), clock.SystemClock()
                ).read(
                    http.HTTPStatus.SERVICE_UNAVAILABLE,
                    [NOT_RUN, (wire.RETRY_AFTER, value)],
                    0,
                )
                self.assertEqual(len(said), 1)

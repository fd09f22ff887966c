"""Tests of stalled streams while tables change and engines drain."""

import concurrent.futures
import random
import time
import unittest

from tests import hosted_fleet
from tests import processes

SEEDS = 5
STREAMS = 6
SETTLE_S = 1
# Longer than the stall timeout, after which another engine is tried.
PAUSE_MS = 1_500
EVENT_MS = 80
EVENT_COUNT = 20
# The pause begins 2.4 s after the request's arrival.
SLOW_EVENT_MS = 150
LATE_PAUSE_AT = 16
CHANGE_INTERVAL_S = 1.2
DECODE_ENGINES = ("e1", "e2")
STALL_LOG_MESSAGE = "token timeout"
WAIT_LOG_MESSAGE = "a silent engine is waited for"
# Long enough for two consecutive stalls.
ROUTE_MS = 8_000
ROUTE = hosted_fleet.make_route(
    "r-long", "/long/", "llm", "streaming", 2, True
) | {"timeout_ms": ROUTE_MS}


class PausedStreamTest(unittest.TestCase):
    """A prefill and two decode engines that stall each of their streams."""

    def inject_all(self, fleet, seed):
        """Return the replies to the streams of one round of changes."""
        rng = random.Random(seed)
        for name in DECODE_ENGINES:
            fleet.set_fault(
                name,
                event_ms=EVENT_MS,
                pause_at=rng.randint(1, 16),
                pause_ms=PAUSE_MS,
            )
        actions = [
            (rng.uniform(0, 2.5), self.configure, (fleet,)),
            (rng.uniform(0, 2.5), self.configure, (fleet,)),
            (rng.uniform(0.3, 2.5), self.refuse_prompts, (fleet, 1)),
            (
                rng.uniform(0.3, 2.5),
                fleet.register,
                (rng.choice(DECODE_ENGINES), "draining"),
            ),
        ]
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
            streams = [
                pool.submit(
                    fleet.send,
                    number % 2,
                    "/long/a",
                    f"p-{seed}-{number}",
                    headers=hosted_fleet.STREAM,
                    deadline_ms=ROUTE_MS,
                )
                for number in range(STREAMS)
            ]
            self.run_actions(actions)
            replies = [future.result() for future in streams]
        self.refuse_prompts(fleet, 0)
        for name in DECODE_ENGINES:
            fleet.register(name)
        return replies

    def configure(self, fleet):
        fleet.configure(more=[ROUTE])

    def refuse_prompts(self, fleet, how):
        fleet.set_fault("e0", refuse_prompts=how)

    def run_actions(self, actions):
        started_s = time.monotonic()
        for at_s, action, arguments in sorted(
            actions, key=lambda entry: entry[0]
        ):
            time.sleep(max(started_s + at_s - time.monotonic(), 0))
            action(*arguments)

    def test_no_stream_is_cut_off(self):
        """Guards against a router that cuts off a working engine's stream."""
        with hosted_fleet.Fleet(
            phases=("prefill", "decode", "decode")
        ) as fleet:
            self.configure(fleet)
            time.sleep(SETTLE_S)
            for seed in range(SEEDS):
                for reply in self.inject_all(fleet, seed):
                    with self.subTest(seed=seed):
                        self.assertEqual(reply.status, 200, reply.body)
                        self.assertFalse(reply.is_cut, reply.body)
                        self.assertEqual(
                            hosted_fleet.list_ids(reply.body),
                            list(range(1, EVENT_COUNT + 1)),
                        )


class OneStreamTest(unittest.TestCase):
    """Base class: one stream whose engine pauses it."""

    def begin_stream(self, fleet, pool, **faults):
        """Start a stream; both decode engines have the same faults."""
        fleet.configure(more=[ROUTE])
        time.sleep(SETTLE_S)
        for name in DECODE_ENGINES:
            fleet.set_fault(name, pause_ms=PAUSE_MS, **faults)
        return pool.submit(
            fleet.send,
            0,
            "/long/a",
            "f-1",
            headers=hosted_fleet.STREAM,
            deadline_ms=ROUTE_MS,
        )

    def check_complete(self, reply, logs):
        self.assertEqual(
            hosted_fleet.list_ids(reply.body),
            list(range(1, EVENT_COUNT + 1)),
            logs,
        )
        self.assertFalse(reply.is_cut, logs)


class LatePauseTest(OneStreamTest):
    """An engine pauses a stream later than a new request may start."""

    def test_complete_while_tables_change(self):
        """Guards against cutting off the stream of a working engine because
        the time in which its request had to start is over.
        """
        with (
            hosted_fleet.Fleet(
                phases=("prefill", "decode", "decode")
            ) as fleet,
            concurrent.futures.ThreadPoolExecutor(1) as pool,
        ):
            stream = self.begin_stream(
                fleet, pool, event_ms=SLOW_EVENT_MS, pause_at=LATE_PAUSE_AT
            )
            while not stream.done():
                fleet.configure(more=[ROUTE])
                time.sleep(CHANGE_INTERVAL_S)
            reply = stream.result()
            logs = fleet.read_logs()
        self.assertIn(STALL_LOG_MESSAGE, logs)
        self.check_complete(reply, logs)


class FullReplacementTest(OneStreamTest):
    """An engine stalls a stream; the only other one has no free capacity."""

    def find_decoding(self, fleet):
        """Return the names of the decoding engine and of the other one."""
        processes.wait_until(
            lambda: any(
                fleet.read_state(name)["running"] for name in DECODE_ENGINES
            )
        )
        return sorted(
            DECODE_ENGINES, key=lambda name: -fleet.read_state(name)["running"]
        )

    def check_stream_kept(self, **faults):
        with (
            hosted_fleet.Fleet(
                phases=("prefill", "decode", "decode")
            ) as fleet,
            concurrent.futures.ThreadPoolExecutor(1) as pool,
        ):
            stream = self.begin_stream(
                fleet, pool, event_ms=EVENT_MS, pause_at=10
            )
            decoding, other = self.find_decoding(fleet)
            fleet.set_fault(other, **faults)
            reply = stream.result()
            is_wait_logged = processes.wait_until(
                lambda: WAIT_LOG_MESSAGE in fleet.find_log(0).read_text(), 5
            )
            logs = fleet.read_logs()
        self.assertTrue(is_wait_logged, logs)
        self.check_complete(reply, logs)

    def test_kept_if_the_other_engine_is_full(self):
        """Guards against streams cut off because an unresponsive engine was
        abandoned for one that then rejected the stream.
        """
        self.check_stream_kept(full=1)

    def test_kept_if_the_other_engine_is_unresponsive(self):
        """Guards against a failover to an engine that is unresponsive too."""
        self.check_stream_kept(mute=1)

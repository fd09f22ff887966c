"""Streams whose engines pause while tables change and engines leave."""

import concurrent.futures
import random
import time
import unittest

from tests import hosted_fleet
from tests import processes

SEEDS = 5
STREAMS = 6
SETTLE_S = 1
# Longer than an engine may be silent before another one is sought.
PAUSE_MS = 1_500
EVENT_MS = 80
EVENTS = 20
DECODES = ("e1", "e2")
SOUGHT = "a silent engine is waited for"
# Two pauses one after the other must fit.
ROUTE_MS = 8_000
ROUTE = hosted_fleet.make_route(
    "r-long", "/long/", "llm", "streaming", 2, True
) | {"timeout_ms": ROUTE_MS}


class PausedStreamTest(unittest.TestCase):
    """A prefill and two decode engines; both pause each of their streams."""

    def inject_all(self, fleet, seed):
        """Return the replies to streams of one round of changes."""
        chance = random.Random(seed)
        for name in DECODES:
            fleet.set_fault(
                name,
                event_ms=EVENT_MS,
                pause_at=chance.randint(1, 16),
                pause_ms=PAUSE_MS,
            )
        acts = [
            (chance.uniform(0, 2.5), self.configure, (fleet,)),
            (chance.uniform(0, 2.5), self.configure, (fleet,)),
            (chance.uniform(0.3, 2.5), self.refuse_prompts, (fleet, 1)),
            (
                chance.uniform(0.3, 2.5),
                fleet.register,
                (chance.choice(DECODES), "draining"),
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
            self.act(acts)
            replies = [one.result() for one in streams]
        self.refuse_prompts(fleet, 0)
        for name in DECODES:
            fleet.register(name)
        return replies

    def configure(self, fleet):
        fleet.configure(more=[ROUTE])

    def refuse_prompts(self, fleet, how):
        fleet.set_fault("e0", refuse_prompts=how)

    def act(self, acts):
        began_s = time.monotonic()
        for at_s, act, arguments in sorted(acts, key=lambda one: one[0]):
            time.sleep(max(began_s + at_s - time.monotonic(), 0))
            act(*arguments)

    def test_no_stream_is_cut(self):
        """Guards against answers that we end while their engine is sound."""
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
                            list(range(1, EVENTS + 1)),
                        )


class FullReplacementTest(unittest.TestCase):
    """An engine pauses a stream; the only other one has no room for it."""

    def find_decoding(self, fleet):
        """Return the names of the engine that decodes and of the other."""
        processes.wait_until(
            lambda: any(fleet.read_state(one)["running"] for one in DECODES)
        )
        return sorted(
            DECODES, key=lambda one: -fleet.read_state(one)["running"]
        )

    def check_kept(self, **faults):
        with (
            hosted_fleet.Fleet(
                phases=("prefill", "decode", "decode")
            ) as fleet,
            concurrent.futures.ThreadPoolExecutor(1) as pool,
        ):
            fleet.configure(more=[ROUTE])
            time.sleep(SETTLE_S)
            for name in DECODES:
                fleet.set_fault(
                    name, event_ms=EVENT_MS, pause_at=10, pause_ms=PAUSE_MS
                )
            stream = pool.submit(
                fleet.send,
                0,
                "/long/a",
                "f-1",
                headers=hosted_fleet.STREAM,
                deadline_ms=ROUTE_MS,
            )
            decoding, other = self.find_decoding(fleet)
            fleet.set_fault(other, **faults)
            reply = stream.result()
            is_sought = processes.wait_until(
                lambda: SOUGHT in fleet.find_log(0).read_text(), 5
            )
            logs = fleet.read_logs()
        self.assertTrue(is_sought, logs)
        self.assertEqual(
            hosted_fleet.list_ids(reply.body), list(range(1, EVENTS + 1)), logs
        )
        self.assertFalse(reply.is_cut, logs)

    def test_kept_where_the_other_engine_is_full(self):
        """Guards against answers cut because a silent engine was left for one
        that then refused the stream.
        """
        self.check_kept(full=1)

    def test_kept_where_the_other_engine_answers_no_reservation(self):
        """Guards against a silent engine left for one that is silent too."""
        self.check_kept(mute=1)

"""Tests of notes between routers, in datagrams on loopback."""

import socket
import unittest

from mulberryway import clock
from mulberryway.peers import datagrams
from mulberryway.peers import gossip_messages
from mulberryway.policy import hints
from mulberryway.policy import pool_subsets
from mulberryway.upstreams import base as upstreams
from tests import policy_cases as cases
from tests import processes

HOST = "127.0.0.1"


class PoolSubsetTest(unittest.TestCase):
    def test_each_engine_has_one_load_poller_per_subset(self):
        vms = [f"vm{n}" for n in range(41)]
        pool = cases.make_pool(prefills=160, decodes=320)
        polled = []
        for vm in vms:
            subset = pool_subsets.find_pool_subset(pool, vm, vms)
            self.assertLess(len(subset.peers), 8)
            polled += [
                name
                for name in subset.upstreams
                if pool_subsets.choose_load_poller(name, [*subset.peers, vm])
                == vm
            ]
        self.assertEqual(
            sorted(polled),
            sorted(upstream.name for upstream in pool.upstreams),
        )

    def test_small_pool_is_one_subset(self):
        subset = pool_subsets.find_pool_subset(
            cases.make_pool(), "b", ("a", "b", "c")
        )
        self.assertEqual(subset.upstreams, ["p0", "p1", "d0", "d1"])
        self.assertEqual(sorted(subset.peers), ["a", "c"])


class CodecTest(unittest.TestCase):
    def test_decodes_after_a_malformed_message(self):
        """Guard against a receive thread that stops at a malformed packet."""
        payload = gossip_messages.encode_note(
            hints.Note("a", 7, 3, [], [], [])
        )
        for size in range(1, len(payload)):
            with self.assertRaises((EOFError, TypeError)):
                gossip_messages.decode_datagram(payload[:size])
            self.assertEqual(
                gossip_messages.decode_datagram(payload).note.vm, "a"
            )


class DatagramsTest(unittest.TestCase):
    def setUp(self):
        self.received = []
        self.receiver = self.open("secret")
        self.sender = self.open("secret")
        self.address = f"{HOST}:{self.receiver.port}"

    def open(self, secret):
        transport = datagrams.DatagramTransport(
            HOST,
            0,
            secret,
            lambda payload, sender: self.received.append(payload),
            clock.SystemClock(),
        )
        transport.start()
        self.addCleanup(transport.stop)
        return transport

    def wait_for(self, payload):
        self.assertTrue(processes.wait_until(lambda: payload in self.received))

    def test_note_arrives_unchanged(self):
        note = hints.Note(
            "a",
            7,
            3,
            [hints.Holding("lm", "d0", 4, 900, 1, 12, 41)],
            [hints.AccountNote("lm", "tea", 2, 5_000, 3, 250, 77)],
            [hints.Death("ab" * 16, "lm/d0", 40, True)],
        )
        payload = gossip_messages.encode_note(note)
        self.sender.send(self.address, payload)
        self.wait_for(payload)
        decoded = gossip_messages.decode_datagram(self.received[-1]).note
        self.assertEqual(gossip_messages.encode_note(decoded), payload)
        self.assertEqual(decoded.holdings[0].blocks, 12)
        self.assertEqual(decoded.holdings[0].step_ms, 41)
        self.assertEqual(decoded.accounts[0].prefill_ms, 77)
        self.assertTrue(decoded.deaths[0].proven)

    def test_long_event_list_keeps_the_newest(self):
        events = [
            upstreams.CacheEvent(n, tuple(f"{n:016x}" for _ in range(9)), ())
            for n in range(100)
        ]
        report = gossip_messages.EngineReport(
            "lm", "p0", cases.make_load(running=3), events
        )
        payload = gossip_messages.encode_report(report)
        self.assertLess(len(payload), datagrams.MAX_PAYLOAD_BYTES)
        decoded = gossip_messages.decode_datagram(payload).news[0]
        self.assertEqual(decoded.load.running, 3)
        self.assertEqual(decoded.events[-1].stored, events[-1].stored)
        numbers = [event.sequence for event in decoded.events]
        self.assertEqual(numbers, list(range(numbers[0], 100)))

    def test_unauthenticated_and_replayed_datagrams_are_dropped(self):
        """A sender without the secret, and a datagram replayed to another VM.

        If they were accepted, they could direct all requests to one upstream.
        """
        unauthenticated = self.open("guess")
        unauthenticated.send(self.address, b"forged")
        interceptor = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(interceptor.close)
        interceptor.bind((HOST, 0))
        self.sender.send(
            f"{HOST}:{interceptor.getsockname()[1]}", b"for another"
        )
        intercepted = interceptor.recv(1_000)
        interceptor.sendto(intercepted, (HOST, self.receiver.port))
        self.sender.send(self.address, b"genuine")
        self.wait_for(b"genuine")
        self.assertEqual(self.received, [b"genuine"])

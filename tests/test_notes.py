"""Hints between routers, in datagrams on loopback."""

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


class SharingTest(unittest.TestCase):
    def test_each_engine_has_one_reporter_among_those_that_share_it(self):
        vms = [f"vm{n}" for n in range(41)]
        pool = cases.make_pool(prefills=160, decodes=320)
        asked = []
        for vm in vms:
            share = pool_subsets.find_pool_subset(pool, vm, vms)
            self.assertLess(len(share.peers), 8)
            asked += [
                name
                for name in share.upstreams
                if pool_subsets.choose_load_poller(name, [*share.peers, vm])
                == vm
            ]
        self.assertEqual(
            sorted(asked), sorted(one.name for one in pool.upstreams)
        )

    def test_a_small_pool_is_shared_by_all(self):
        share = pool_subsets.find_pool_subset(
            cases.make_pool(), "b", ("a", "b", "c")
        )
        self.assertEqual(share.upstreams, ["p0", "p1", "d0", "d1"])
        self.assertEqual(sorted(share.peers), ["a", "c"])


class CodecTest(unittest.TestCase):
    def test_reads_on_after_a_broken_message(self):
        """Guards against a thread that reads nothing after one bad packet."""
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
        self.got = []
        self.receiver = self.open("secret")
        self.sender = self.open("secret")
        self.address = f"{HOST}:{self.receiver.port}"

    def open(self, secret):
        opened = datagrams.DatagramTransport(
            HOST,
            0,
            secret,
            lambda payload, sender: self.got.append(payload),
            clock.SystemClock(),
        )
        opened.start()
        self.addCleanup(opened.stop)
        return opened

    def wait_for(self, payload):
        self.assertTrue(processes.wait_until(lambda: payload in self.got))

    def test_note_and_news_arrive_as_they_were(self):
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
        back = gossip_messages.decode_datagram(self.got[-1]).note
        self.assertEqual(gossip_messages.encode_note(back), payload)
        self.assertEqual(back.holdings[0].blocks, 12)
        self.assertEqual(back.holdings[0].step_ms, 41)
        self.assertEqual(back.accounts[0].prefill_ms, 77)
        self.assertTrue(back.deaths[0].proven)

    def test_a_long_list_of_events_keeps_the_newest(self):
        events = [
            upstreams.CacheEvent(n, tuple(f"{n:016x}" for _ in range(9)), ())
            for n in range(100)
        ]
        news = gossip_messages.EngineReport(
            "lm", "p0", cases.make_load(running=3), events
        )
        payload = gossip_messages.encode_report(news)
        self.assertLess(len(payload), datagrams.MAX_PAYLOAD_BYTES)
        back = gossip_messages.decode_datagram(payload).news[0]
        self.assertEqual(back.load.running, 3)
        self.assertEqual(back.events[-1].stored, events[-1].stored)
        numbers = [one.sequence for one in back.events]
        self.assertEqual(numbers, list(range(numbers[0], 100)))

    def test_strangers_and_diverted_datagrams_are_dropped(self):
        """Somebody without the secret sends hints, or passes on a datagram
        that was meant for another VM.  Believed, they would steer all
        requests to one upstream.
        """
        stranger = self.open("guess")
        stranger.send(self.address, b"forged")
        spy = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(spy.close)
        spy.bind((HOST, 0))
        self.sender.send(f"{HOST}:{spy.getsockname()[1]}", b"for another")
        diverted = spy.recv(1_000)
        spy.sendto(diverted, (HOST, self.receiver.port))
        self.sender.send(self.address, b"genuine")
        self.wait_for(b"genuine")
        self.assertEqual(self.got, [b"genuine"])

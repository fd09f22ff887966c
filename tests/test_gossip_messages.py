"""Tests of the gossip messages' encoding, also between versions."""

import unittest

from mulberryway.peers import codec
from mulberryway.peers import gossip_messages
from mulberryway.peers.gen.notes import ttypes
from mulberryway.policy import hints
from mulberryway.policy import server_loads


def make_note(**values):
    defaults = {
        "vm": "vm1",
        "incarnation": 1,
        "sequence": 2,
        "holdings": [],
        "accounts": [],
        "deaths": [],
    }
    return hints.Note(**(defaults | values))


class RoundTripTest(unittest.TestCase):
    def test_ranks_and_present_blocks(self):
        note = make_note(
            holdings=[hints.Holding("lm", "d0", 2, 0, 0, 9, present_blocks=0)],
            ranks=[hints.RankNote("lm", 2, 3, 40)],
        )
        read = gossip_messages.decode_datagram(
            gossip_messages.encode_note(note)
        ).note
        self.assertEqual(read.holdings[0].present_blocks, 0)
        (rank,) = read.ranks
        self.assertEqual(
            (rank.pool, rank.rank, rank.waiting, rank.oldest_ms),
            ("lm", 2, 3, 40),
        )

    def test_server_loads(self):
        report = server_loads.ServerLoadReport(
            "vm1", 1, 2, [server_loads.ServerLoad("app", "s0", 3, 4, 5, 600)]
        )
        read = gossip_messages.decode_datagram(
            gossip_messages.encode_server_loads(report)
        ).server_loads
        (load,) = read.loads
        self.assertEqual(
            (read.vm, read.incarnation, read.sequence), ("vm1", 1, 2)
        )
        self.assertEqual(
            (load.in_flight, load.completed, load.rejected, load.busy_ms),
            (3, 4, 5, 600),
        )


class PreviousVersionTest(unittest.TestCase):
    def test_note_without_the_new_fields(self):
        """During an update, VMs of the previous version send notes without
        ranks and present blocks.
        """
        message = ttypes.Note(
            "vm1", 1, 2, [ttypes.Holding("lm", "d0", 2, 0, 0, 9)], [], []
        )
        read = gossip_messages.decode_datagram(
            codec.write(ttypes.Datagram(note=message))
        ).note
        self.assertIsNone(read.holdings[0].present_blocks)
        self.assertEqual(read.ranks, [])

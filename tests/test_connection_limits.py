"""Tests of which connections a VM closes for others, without a network."""

import unittest

from mulberryway.policy import connection_limits
from mulberryway.policy import memory_budget

NOW_MS = 60_000
MB = 1_000_000
REST_BYTES = memory_budget.REST_BYTES
Phase = connection_limits.Phase


def make_state(key, phase, age_ms, held_bytes=1_000, received=()):
    """Return a connection's state.

    :param received: what had arrived in all at the last seconds, the latest
        one last
    """
    state = connection_limits.ConnectionState(
        key, phase, NOW_MS - age_ms, held_bytes
    )
    start_ms = NOW_MS - 1_000 * (len(received) - 1)
    for number, received_bytes in enumerate(received):
        state.measure(received_bytes, start_ms + 1_000 * number)
    return state


class LimitTest(unittest.TestCase):
    def compute(self, descriptors, memory_mb):
        return connection_limits.compute_max_connections(
            descriptors, memory_mb, REST_BYTES
        )

    def test_connections_fit_into_memory(self):
        """Guards against buffers of connections that nobody reads."""
        for memory_mb in (128, 150, 300, 552):
            count = self.compute(100_000, memory_mb)
            used = count * connection_limits.CONNECTION_BYTES
            self.assertLessEqual(used, (memory_mb * MB - REST_BYTES) // 4)

    def test_descriptors_are_left_for_others(self):
        """Guards against a VM that can reach neither store nor upstreams."""
        for descriptors in (256, 1_638, 4_100):
            count = self.compute(descriptors, 0)
            sides = 3 * connection_limits.compute_max_side_connections(count)
            self.assertLessEqual(count + sides, descriptors * 3 // 4)

    def test_unknown_memory(self):
        self.assertEqual(self.compute(4_100, 0), 2_050)


class ConnectionChoiceTest(unittest.TestCase):
    def choose(self, *states):
        chosen = connection_limits.choose_for_connection(states, NOW_MS)
        return None if chosen is None else chosen.key

    def test_rejected_ones_go_first(self):
        """Guards against the close of a sound connection for a rejected
        one.
        """
        self.assertEqual(
            self.choose(
                make_state("idle", Phase.IDLE, 9_000),
                make_state("receiving", Phase.RECEIVING, 9_000),
                make_state("lingering", Phase.LINGERING, 10),
            ),
            "lingering",
        )

    def test_oldest_incomplete_request(self):
        """Guards against stalled callers that keep all connections."""
        self.assertEqual(
            self.choose(
                make_state("idle", Phase.IDLE, 9_000),
                make_state("new", Phase.RECEIVING, 2_000),
                make_state("old", Phase.RECEIVING, 5_000),
            ),
            "old",
        )

    def test_requests_on_their_way(self):
        """Guards against requests that are cut off while they arrive."""
        self.assertEqual(
            self.choose(
                make_state("arriving", Phase.RECEIVING, 100),
                make_state("recent", Phase.IDLE, 50),
                make_state("unused", Phase.IDLE, 2_000),
            ),
            "unused",
        )

    def test_busy_ones_are_kept(self):
        """Guards against a connection that is closed during its request."""
        self.assertIsNone(self.choose(make_state("a", Phase.BUSY, 9_000)))


class MemoryChoiceTest(unittest.TestCase):
    asking = make_state("asking", Phase.RECEIVING, 0)

    def choose(self, is_small, *states):
        chosen = connection_limits.choose_for_memory(
            (self.asking, *states), self.asking, is_small
        )
        return None if chosen is None else chosen.key

    def test_stalled_request_goes_first(self):
        """Guards against a steady upload that makes room for a caller that
        has sent more, and then stopped.
        """
        steady = make_state(
            "steady", Phase.RECEIVING, 9_000, MB, (90_000, 120_000, 150_000)
        )
        stalled = make_state(
            "stalled", Phase.RECEIVING, 3_000, MB, (4 * MB, 4 * MB)
        )
        self.assertEqual(self.choose(False, steady, stalled), "stalled")
        self.assertEqual(self.choose(True, steady, stalled), "stalled")

    def test_caller_that_never_sends_goes_first(self):
        """Guards against memory that announced bodies keep."""
        self.assertEqual(
            self.choose(
                False, make_state("none", Phase.RECEIVING, 1_500, MB, (0,))
            ),
            "none",
        )

    def test_large_requests_do_not_displace_one_another(self):
        """Guards against large bodies of which none becomes complete."""
        self.assertIsNone(
            self.choose(
                False,
                make_state("fast", Phase.RECEIVING, 2_000, MB, (0, MB)),
                make_state("new", Phase.RECEIVING, 500, MB),
            )
        )

    def test_small_request_displaces_any_older_one(self):
        """Guards against ordinary callers that wait for large bodies."""
        self.assertEqual(
            self.choose(True, make_state("new", Phase.RECEIVING, 5, MB)),
            "new",
        )

    def test_idle_and_complete_requests_are_kept(self):
        """Guards against a request that is given up after it may have run."""
        self.assertIsNone(
            self.choose(
                True,
                make_state("busy", Phase.BUSY, 9_000, MB),
                make_state("idle", Phase.IDLE, 9_000, 0),
            )
        )

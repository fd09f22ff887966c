"""The relay's loop, with sockets of the test's own."""

import json
import logging
import queue
import socket
import threading
import time
import unittest

from mulberryway import clock
from mulberryway.relay import loop
from mulberryway.relay import pump
from mulberryway.relay import stream as streams
from mulberryway.relay import writers
from mulberryway.upstreams import base as upstreams
from tests import processes

GUARD_S = 20
GUARD_MS = 20_000
EVENT = b'data: {"id": "x", "index": 0, "choices": []}\n\n'


class FailingOwner(streams.StreamOwner):
    """Fails while it seeks another engine."""

    def __init__(self):
        self.closed = threading.Event()

    def on_first_token(self):
        pass

    def on_tokens(self, tokens):
        pass

    def on_source_end(self):
        pass

    def cancel_source(self):
        pass

    def recover(self, stream, fault):
        raise ValueError("a broken search")

    def replace(self, stream, fault):
        raise ValueError("a broken search")

    def close(self, tokens, fault):
        self.closed.set()


class StayingOwner(FailingOwner):
    """Knows of no other engine, and counts how often it is asked."""

    def __init__(self):
        super().__init__()
        self.asked = 0

    def may_replace_source(self):
        self.asked += 1
        return False


class SeekingOwner(FailingOwner):
    """Leaves a silent engine when the test says so.

    :param relay: returns the relay
    """

    def __init__(self):
        super().__init__()
        self.relay = None
        self.is_head_written = threading.Event()
        self.may_go_on = threading.Event()
        self.has_disconnected = queue.Queue()
        self.recovered = threading.Event()

    def replace(self, stream, fault):
        offset = stream.expected
        self.is_head_written.set()
        self.may_go_on.wait(GUARD_S)
        has_left = self.relay.try_close_source(stream, offset)
        self.has_disconnected.put(has_left)
        self.relay.keep_source(stream, fault)

    def recover(self, stream, fault):
        self.recovered.set()
        self.relay.fail(stream, fault)


class PumpTest(unittest.TestCase):
    def lend(self, owner, limit_ms):
        """Begin a stream, and return the caller's and the engine's ends."""
        loop_ = loop.EventLoop("test", clock.SystemClock())
        relay = pump.Relay(loop_)
        owner.relay = relay
        loop_.start()
        self.addCleanup(loop_.stop)
        self.addCleanup(relay.stop)
        caller, served = socket.socketpair()
        engine, source = socket.socketpair()
        self.addCleanup(caller.close)
        self.addCleanup(engine.close)
        caller.settimeout(GUARD_S)
        relay.lend(
            streams.Stream(
                owner,
                writers.EventWriter(writers.ReplyHead(True, True, [])),
                upstreams.TokenStream(source, b"", False, "x"),
                served,
                lambda keep: None if keep else served.close(),
                limit_ms,
                limit_ms,
            )
        )
        return caller, engine

    def test_a_silent_engine_is_kept_where_no_other_takes_the_stream(self):
        """Guards against answers that are cut because their engine paused."""
        owner = StayingOwner()
        caller, engine = self.lend(owner, 50)
        engine.sendall(EVENT)
        data = caller.recv(65_536)
        self.assertTrue(processes.wait_until(lambda: owner.asked >= 2))
        engine.sendall(EVENT.replace(b'"index": 0', b'"index": 1'))
        while data.count(b'"index"') < 2:
            piece = caller.recv(65_536)
            self.assertTrue(piece, "the answer was cut")
            data += piece
        self.assertFalse(owner.closed.is_set())

    def test_an_engine_that_goes_on_is_not_left(self):
        """Guards against closing streams that move while others are sought."""
        owner = SeekingOwner()
        caller, engine = self.lend(owner, 50)
        engine.sendall(EVENT)
        caller.recv(65_536)
        self.assertTrue(owner.is_head_written.wait(GUARD_S))
        engine.sendall(EVENT.replace(b'"index": 0', b'"index": 1'))
        self.assertIn(b'"index": 1', caller.recv(65_536))
        owner.may_go_on.set()
        self.assertFalse(owner.has_disconnected.get(timeout=GUARD_S))
        engine.sendall(EVENT.replace(b'"index": 0', b'"index": 2'))
        self.assertIn(b'"index": 2', caller.recv(65_536))

    def test_a_silent_engine_is_closed_before_another_begins(self):
        """Guards against one request running at two engines at once."""
        owner = SeekingOwner()
        caller, engine = self.lend(owner, 50)
        engine.sendall(EVENT)
        caller.recv(65_536)
        owner.may_go_on.set()
        self.assertTrue(owner.has_disconnected.get(timeout=GUARD_S))
        engine.settimeout(GUARD_S)
        self.assertEqual(engine.recv(1), b"")

    def test_an_engine_that_breaks_off_during_a_search_is_recovered(self):
        """Guards against streams that nobody goes on with after a search."""
        owner = SeekingOwner()
        caller, engine = self.lend(owner, 50)
        engine.sendall(EVENT)
        caller.recv(65_536)
        self.assertTrue(owner.is_head_written.wait(GUARD_S))
        owner.relay.try_close_source = lambda stream, offset: False
        engine.close()
        time.sleep(0.1)
        owner.may_go_on.set()
        self.assertTrue(owner.recovered.wait(GUARD_S))
        self.assertTrue(owner.closed.wait(GUARD_S))

    def test_a_search_that_fails_ends_the_answer(self):
        """An engine dies in mid-answer, and the search for another one
        raises.  The caller waited for ever on a connection that stayed
        open, and its slot in the router was lost.
        """
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        owner = FailingOwner()
        caller, engine = self.lend(owner, GUARD_MS)
        engine.sendall(EVENT)
        data = caller.recv(65_536)
        engine.close()
        while piece := caller.recv(65_536):
            data += piece
        caller.close()
        self.assertTrue(owner.closed.wait(GUARD_S))
        last = data.rpartition(b"data: ")[2].partition(b"\n")[0]
        self.assertIn("error", json.loads(last))

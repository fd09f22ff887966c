"""The relay's loop, with sockets of the test's own."""

import json
import logging
import socket
import threading
import unittest

from mulberryway import clock
from mulberryway.relay import loop
from mulberryway.relay import pump
from mulberryway.relay import stream as streams
from mulberryway.relay import writers
from mulberryway.upstreams import base as upstreams

GUARD_S = 20
GUARD_MS = 20_000
EVENT = b'data: {"id": "x", "index": 0, "choices": []}\n\n'


class BrokenOwner(streams.StreamOwner):
    """Fails while it seeks another engine."""

    def __init__(self):
        self.closed = threading.Event()

    def note_first_token(self):
        pass

    def note_tokens(self, tokens):
        pass

    def note_source_end(self):
        pass

    def drop_source(self):
        pass

    def recover(self, stream, fault):
        raise ValueError("a broken search")

    def close(self, tokens, fault):
        self.closed.set()


class PumpTest(unittest.TestCase):
    def test_a_search_that_fails_ends_the_answer(self):
        """An engine dies in mid-answer, and the search for another one
        raises.  The caller waited for ever on a connection that stayed
        open, and its slot in the router was lost.
        """
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        loop_ = loop.EventLoop("test", clock.SystemClock())
        relay = pump.Relay(loop_)
        loop_.start()
        self.addCleanup(loop_.stop)
        self.addCleanup(relay.stop)
        caller, served = socket.socketpair()
        engine, source = socket.socketpair()
        caller.settimeout(GUARD_S)
        owner = BrokenOwner()
        relay.lend(
            streams.Stream(
                owner,
                writers.EventWriter(writers.ReplyHead(True, True, [])),
                upstreams.TokenStream(source, b"", False, "x"),
                served,
                lambda keep: None if keep else served.close(),
                GUARD_MS,
                GUARD_MS,
            )
        )
        engine.sendall(EVENT)
        data = caller.recv(65_536)
        engine.close()
        while piece := caller.recv(65_536):
            data += piece
        caller.close()
        self.assertTrue(owner.closed.wait(GUARD_S))
        last = data.rpartition(b"data: ")[2].partition(b"\n")[0]
        self.assertIn("error", json.loads(last))

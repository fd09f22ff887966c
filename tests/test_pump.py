"""Tests of the relay with socket pairs for the caller and the engine."""

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

TEST_TIMEOUT_S = 20
TEST_TIMEOUT_MS = 20_000
EVENT = b'data: {"id": "x", "index": 0, "choices": []}\n\n'


class FailingOwner(streams.StreamOwner):
    """Owner whose search for a replacement engine raises."""

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
        raise ValueError("search failed")

    def replace_source(self, stream, fault):
        raise ValueError("search failed")

    def close(self, tokens, fault):
        self.closed.set()


class SingleEngineOwner(FailingOwner):
    """Owner without another engine; counts calls of may_replace_source."""

    def __init__(self):
        super().__init__()
        self.calls = 0

    def may_replace_source(self):
        self.calls += 1
        return False


class SearchingOwner(FailingOwner):
    """Owner that closes a stalled engine's connection when the test allows.

    ``relay`` is set by the test.
    """

    def __init__(self):
        super().__init__()
        self.relay = None
        self.search_started = threading.Event()
        self.may_continue = threading.Event()
        self.close_results = queue.Queue()
        self.recovered = threading.Event()

    def replace_source(self, stream, fault):
        offset = stream.expected
        self.search_started.set()
        self.may_continue.wait(TEST_TIMEOUT_S)
        is_closed = self.relay.try_close_source(stream, offset)
        self.close_results.put(is_closed)
        self.relay.keep_source(stream, fault)

    def recover(self, stream, fault):
        self.recovered.set()
        self.relay.fail(stream, fault)


class PumpTest(unittest.TestCase):
    def start_stream(self, owner, timeout_ms):
        """Start a stream and return the caller's and the engine's sockets."""
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
        caller.settimeout(TEST_TIMEOUT_S)
        relay.add_stream(
            streams.Stream(
                owner,
                writers.EventWriter(writers.ReplyHead(True, True, [])),
                upstreams.TokenStream(source, b"", False, "x"),
                served,
                lambda keep: None if keep else served.close(),
                timeout_ms,
                timeout_ms,
            )
        )
        return caller, engine

    def test_stalled_engine_is_kept_without_a_replacement(self):
        """Guards against aborting a stream whose engine is stalled although
        no other engine can take over.
        """
        owner = SingleEngineOwner()
        caller, engine = self.start_stream(owner, 50)
        engine.sendall(EVENT)
        data = caller.recv(65_536)
        self.assertTrue(processes.wait_until(lambda: owner.calls >= 2))
        engine.sendall(EVENT.replace(b'"index": 0', b'"index": 1'))
        while data.count(b'"index"') < 2:
            chunk = caller.recv(65_536)
            self.assertTrue(chunk, "the stream was aborted")
            data += chunk
        self.assertFalse(owner.closed.is_set())

    def test_engine_that_progresses_is_not_closed(self):
        """Guards against closing the connection of an engine that sends a
        token during the search for a replacement.
        """
        owner = SearchingOwner()
        caller, engine = self.start_stream(owner, 50)
        engine.sendall(EVENT)
        caller.recv(65_536)
        self.assertTrue(owner.search_started.wait(TEST_TIMEOUT_S))
        engine.sendall(EVENT.replace(b'"index": 0', b'"index": 1'))
        self.assertIn(b'"index": 1', caller.recv(65_536))
        owner.may_continue.set()
        self.assertFalse(owner.close_results.get(timeout=TEST_TIMEOUT_S))
        engine.sendall(EVENT.replace(b'"index": 0', b'"index": 2'))
        self.assertIn(b'"index": 2', caller.recv(65_536))

    def test_stalled_engine_is_closed_before_failover(self):
        """Guards against executing a request at two engines at once."""
        owner = SearchingOwner()
        caller, engine = self.start_stream(owner, 50)
        engine.sendall(EVENT)
        caller.recv(65_536)
        owner.may_continue.set()
        self.assertTrue(owner.close_results.get(timeout=TEST_TIMEOUT_S))
        engine.settimeout(TEST_TIMEOUT_S)
        self.assertEqual(engine.recv(1), b"")

    def test_engine_failure_during_a_search_is_recovered(self):
        """Guards against streams that are neither resumed nor aborted if the
        stalled engine's connection fails during the search.
        """
        owner = SearchingOwner()
        caller, engine = self.start_stream(owner, 50)
        engine.sendall(EVENT)
        caller.recv(65_536)
        self.assertTrue(owner.search_started.wait(TEST_TIMEOUT_S))
        owner.relay.try_close_source = lambda stream, offset: False
        engine.close()
        time.sleep(0.1)
        owner.may_continue.set()
        self.assertTrue(owner.recovered.wait(TEST_TIMEOUT_S))
        self.assertTrue(owner.closed.wait(TEST_TIMEOUT_S))

    def test_failed_search_aborts_the_stream(self):
        """An engine fails in mid-stream and the search for a replacement
        raises.  The caller waited forever on an open connection, and its
        slot in the router was never released.
        """
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        owner = FailingOwner()
        caller, engine = self.start_stream(owner, TEST_TIMEOUT_MS)
        engine.sendall(EVENT)
        data = caller.recv(65_536)
        engine.close()
        while chunk := caller.recv(65_536):
            data += chunk
        caller.close()
        self.assertTrue(owner.closed.wait(TEST_TIMEOUT_S))
        last = data.rpartition(b"data: ")[2].partition(b"\n")[0]
        self.assertIn("error", json.loads(last))

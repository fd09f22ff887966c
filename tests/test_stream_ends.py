"""Tests of streams that may end with their connection, and how they end."""

import queue
import socket
import threading
import unittest

from mulberryway import clock
from mulberryway.relay import loop
from mulberryway.relay import passthrough_stream
from mulberryway.relay import pump
from mulberryway.relay import stream as streams
from mulberryway.relay import writers
from mulberryway.upstreams import base as upstreams
from tests import processes

WAIT_S = 20.0
LONG_MS = 20_000
STALL_MS = 50
SHORT_BYTES = 100
LAST_CHUNK = b"0\r\n\r\n"


def make_event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


class Owner(streams.StreamOwner):
    """Owner whose answers wait for the test.

    ``is_alive`` is what it says of the engine.  ``may_search`` ends a search
    for another engine, and ``may_tell`` the question for this one.
    """

    def __init__(self, relay):
        self.relay = relay
        self.is_alive = False
        self.resumed = None
        self.may_search = threading.Event()
        self.may_tell = threading.Event()
        self.is_searching = threading.Event()
        self.is_asked = threading.Event()
        self.held = []
        self.recovered = []
        self.closed = threading.Event()

    def on_first_token(self):
        pass

    def on_tokens(self, tokens):
        pass

    def on_source_end(self, tokens):
        pass

    def cancel_source(self):
        pass

    def is_source_alive(self):
        self.is_asked.set()
        self.may_tell.wait(WAIT_S)
        return self.is_alive

    def replace_source(self, stream, fault):
        self.is_searching.set()
        self.may_search.wait(WAIT_S)
        self.held.append(self.relay.try_hold_source(stream, stream.expected))
        self.relay.keep_source(stream, fault)

    def recover(self, stream, fault):
        self.recovered.append(fault)
        source, self.resumed = self.resumed, None
        if source is None:
            self.relay.fail(stream, fault)
        else:
            self.relay.resume(stream, source)

    def close(self, tokens, fault):
        self.closed.set()


class StreamCase(unittest.TestCase):
    """Base class: a relay, and a caller and engines on socket pairs."""

    def setUp(self):
        self.loop = loop.EventLoop("test", clock.SystemClock())
        self.relay = pump.Relay(self.loop)
        self.owner = Owner(self.relay)
        self.loop.start()
        self.addCleanup(self.loop.stop)
        self.addCleanup(self.relay.stop)
        for gate in (self.owner.may_search, self.owner.may_tell):
            self.addCleanup(gate.set)
        self.caller, self.served = socket.socketpair()
        self.caller.settimeout(WAIT_S)
        self.addCleanup(self.caller.close)

    def make_engine(self, is_chunked=False):
        engine, source = socket.socketpair()
        self.addCleanup(engine.close)
        return engine, upstreams.TokenStream(source, b"", is_chunked, "x")

    def start(self, stall_ms=LONG_MS, is_chunked=False):
        """Start a stream; return its engine."""
        engine, source = self.make_engine(is_chunked)
        self.stream = passthrough_stream.PassthroughStream(
            self.owner,
            passthrough_stream.PassthroughWriter(
                writers.ReplyHead(True, True, [])
            ),
            source,
            self.served,
            lambda keep: self.served.close(),
            LONG_MS,
            stall_ms,
        )
        self.relay.add_stream(self.stream)
        return engine

    def read(self, text):
        """Read the answer up to a text."""
        received = b""
        while text not in received:
            data = self.caller.recv(65_536)
            self.assertTrue(data, received)
            received += data
        return received

    def read_end(self):
        """Read the answer's rest."""
        return b"".join(iter(lambda: self.caller.recv(65_536), b""))


class StreamEndTest(StreamCase):
    """Streams that the end of their engine's connection may end."""

    def begin_search(self):
        """Start a stream whose engine falls silent after an event."""
        engine = self.start(STALL_MS)
        engine.sendall(make_event(1))
        self.read(make_event(1))
        self.assertTrue(self.owner.is_searching.wait(WAIT_S))
        return engine

    def test_crash_during_a_search(self):
        """Guards against a stream that ends as complete because its engine
        crashed while another one was sought.
        """
        self.begin_search().close()
        processes.wait_until(lambda: self.stream.source is None)
        self.owner.may_tell.set()
        self.owner.may_search.set()
        self.assertEqual(self.read_end(), b"")
        self.assertTrue(self.owner.closed.wait(WAIT_S))

    def test_end_during_a_search(self):
        """Guards against a complete stream that is cut off by a search."""
        self.owner.is_alive = True
        self.begin_search().close()
        self.assertTrue(self.owner.is_asked.wait(WAIT_S))
        self.owner.may_tell.set()
        self.assertEqual(self.read_end(), LAST_CHUNK)

    def check_search_that_ends_first(self, is_alive):
        """Let a search end while it is asked for the engine."""
        self.owner.is_alive = is_alive
        self.begin_search().close()
        self.assertTrue(self.owner.is_asked.wait(WAIT_S))
        self.owner.may_search.set()
        processes.wait_until(lambda: not self.stream.is_replacing_source)
        self.owner.may_tell.set()
        rest = self.read_end()
        # The stream may be complete, so no other engine was asked to run it.
        self.assertEqual(self.owner.held, [False])
        return rest

    def test_search_that_ends_before_the_end_is_confirmed(self):
        """Guards against a complete stream that its search cuts off."""
        self.assertEqual(self.check_search_that_ends_first(True), LAST_CHUNK)
        self.assertEqual(self.owner.recovered, [])

    def test_search_that_ends_before_the_crash_is_known(self):
        """Guards against a crash that nobody acts on, after a search."""
        self.assertEqual(self.check_search_that_ends_first(False), b"")
        self.assertEqual(len(self.owner.recovered), 1)

    def test_question_that_fails(self):
        """Guards against a stream that ends as complete, or never, because
        its engine could not be asked for.
        """
        self.owner.is_source_alive = None
        engine = self.start()
        engine.sendall(make_event(1))
        self.read(make_event(1))
        with self.assertLogs(pump.LOG, "ERROR"):
            engine.close()
            self.assertEqual(self.read_end(), b"")
        self.assertEqual(len(self.owner.recovered), 1)

    def test_other_engine_without_an_event(self):
        """Guards against a cut stream that ends as complete because another
        engine has accepted it and closed its connection before its first
        event.
        """
        engine = self.start(is_chunked=True)
        other, self.owner.resumed = self.make_engine()
        self.owner.is_alive = True
        self.owner.may_tell.set()
        event = make_event(1)
        engine.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        self.read(event)
        engine.close()
        other.close()
        self.assertEqual(self.read_end(), b"")
        self.assertEqual(len(self.owner.recovered), 2)

    def test_other_engine_with_an_event(self):
        engine = self.start(is_chunked=True)
        other, self.owner.resumed = self.make_engine()
        self.owner.is_alive = True
        self.owner.may_tell.set()
        event = make_event(1)
        engine.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        self.read(event)
        engine.close()
        other.sendall(make_event(2))
        other.close()
        self.assertIn(make_event(2) + b"\r\n" + LAST_CHUNK, self.read_end())


class ShortSocket(socket.socket):
    """A socket that accepts a few bytes of each write, as if it were full."""

    def send(self, data, *flags):
        return super().send(data[:SHORT_BYTES], *flags)


class FailedStreamTest(StreamCase):
    """Streams that end by a fault, and what their callers get."""

    def start_failing(self, writer_type):
        """Start a stream whose engine's events are parsed."""
        engine, source = self.make_engine()
        self.kept = queue.Queue()
        self.stream = streams.Stream(
            self.owner,
            writer_type(writers.ReplyHead(True, True, [])),
            source,
            self.served,
            self.release,
            LONG_MS,
            LONG_MS,
        )
        self.relay.add_stream(self.stream)
        return engine

    def release(self, keep):
        self.kept.put(keep)
        self.served.close()

    def test_callback_that_fails_before_the_head_is_sent(self):
        """Guards against bytes that are no answer: an error event for a
        stream whose head was made but not sent.
        """
        self.owner.on_first_token = None
        engine = self.start_failing(writers.EventWriter)
        with self.assertLogs(pump.LOG, "ERROR"):
            engine.sendall(b'data: {"id": "x", "index": 0}\n\n')
            self.assertEqual(self.read_end(), b"")
        self.assertFalse(self.kept.get(timeout=WAIT_S))
        self.assertTrue(self.owner.closed.wait(WAIT_S))

    def test_error_reply_that_is_sent_in_part(self):
        """Guards against a connection that is kept after half a reply, so
        that the next one is read as its rest.
        """
        self.served = ShortSocket(fileno=self.served.detach())
        self.addCleanup(self.served.close)
        engine = self.start_failing(writers.EventWriter)
        engine.close()
        self.assertFalse(self.kept.get(timeout=WAIT_S))
        self.assertEqual(len(self.read_end()), SHORT_BYTES)

    def test_error_reply_that_is_sent(self):
        engine = self.start_failing(writers.EventWriter)
        engine.close()
        self.assertTrue(self.kept.get(timeout=WAIT_S))
        self.assertIn(b"HTTP/1.1 502 ", self.read_end())

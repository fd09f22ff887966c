"""Tests of callers and upstreams that read slowly."""

import http.client
import json
import queue
import select
import socket
import threading
import time
import unittest

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import replies
from mulberryway.filters import base
from mulberryway.filters import chain
from mulberryway.relay import loop
from mulberryway.relay import memory
from mulberryway.relay import passthrough_stream
from mulberryway.relay import pump
from mulberryway.relay import stream as streams
from mulberryway.relay import writers
from mulberryway.server import gateway
from mulberryway.server import http_server
from mulberryway.upstreams import base as upstreams
from tests import processes
from tests import router_fixture

HOST = "127.0.0.1"
TEST_TIMEOUT_S = 20
TEST_TIMEOUT_MS = 20_000
BUFFER_BYTES = 8_192
EVENT_BYTES = 1_024
MAX_PAUSE_S = 2.0
SLOW_CALLERS = 200
ENDING = b"0\r\n\r\n"


def make_event(number):
    event = b"id: %d\ndata: " % number
    return event + b"x" * (EVENT_BYTES - len(event) - 2) + b"\n\n"


def make_body(count):
    return b"".join(
        b"%x\r\n%b\r\n" % (EVENT_BYTES, make_event(number))
        for number in range(1, count + 1)
    )


def decode_chunks(data):
    """Return the content of chunks, and whether the last one is there."""
    content = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        if not int(size, 16):
            return content, True
        content += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
    return content, False


class RecordingOwner(streams.StreamOwner):
    """Owner that records how its stream ends and finds no other engine."""

    def __init__(self, relay):
        self.relay = relay
        self.recovered = []
        self.cancelled = threading.Event()
        self.outcome = queue.Queue()

    def on_first_token(self):
        pass

    def on_tokens(self, tokens):
        pass

    def on_source_end(self, tokens):
        pass

    def cancel_source(self):
        self.cancelled.set()

    def recover(self, stream, fault):
        self.recovered.append(fault)
        self.relay.fail(stream, fault)

    def replace_source(self, stream, fault):
        self.recovered.append(fault)
        self.relay.keep_source(stream, fault)

    def close(self, tokens, fault):
        self.outcome.put(fault)


class RelayCase(unittest.TestCase):
    total_bytes = 4_000_000

    def setUp(self):
        self.loop = loop.EventLoop("test", clock.SystemClock())
        self.guard = memory.MemoryGuard(self.loop, self.total_bytes)
        self.relay = pump.Relay(self.loop, self.guard)
        self.loop.start()
        self.addCleanup(self.loop.stop)
        self.addCleanup(self.relay.stop)

    def start(self):
        """Start a stream; return its owner, caller and engine."""
        caller, served = socket.socketpair()
        engine, source = socket.socketpair()
        for sock in (caller, served, engine, source):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        for sock in (caller, engine):
            sock.settimeout(TEST_TIMEOUT_S)
            self.addCleanup(sock.close)
        owner = RecordingOwner(self.relay)
        self.relay.add_stream(
            passthrough_stream.PassthroughStream(
                owner,
                passthrough_stream.PassthroughWriter(
                    writers.ReplyHead(True, True, [])
                ),
                upstreams.TokenStream(source, b"", True, "x"),
                served,
                lambda keep: None if keep else served.close(),
                TEST_TIMEOUT_MS,
                TEST_TIMEOUT_MS,
            )
        )
        return owner, caller, engine

    def write(self, engine, data):
        """Write on a thread; an engine that is cut off ends it."""

        def run():
            try:
                engine.sendall(data)
            except OSError:
                return

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TEST_TIMEOUT_S)

    def read_answer(self, caller):
        """Return the content of an answer and whether it is complete."""
        data = b""
        while not data.endswith(ENDING):
            try:
                received = caller.recv(65_536)
            except ConnectionResetError:
                break
            if not received:
                break
            data += received
        return decode_chunks(data.partition(b"\r\n\r\n")[2])

    def wait_held(self, size):
        processes.wait_until(lambda: self.guard._budget.used_bytes >= size)


class StreamTest(RelayCase):
    def test_caller_that_reads_nothing_and_then_everything(self):
        """Guards against bytes that are lost or stopped within the limit."""
        owner, caller, engine = self.start()
        self.write(engine, make_body(300) + ENDING)
        self.wait_held(250_000)
        content, is_complete = self.read_answer(caller)
        self.assertTrue(is_complete)
        self.assertEqual(
            content, b"".join(make_event(id_) for id_ in range(1, 301))
        )
        self.assertIsNone(owner.outcome.get(timeout=TEST_TIMEOUT_S))
        self.assertEqual(self.guard._budget.used_bytes, 0)

    def test_caller_at_its_limit(self):
        """Guards against an engine that waits until it cuts off the stream,
        and against a given-up answer that looks complete.
        """
        owner, caller, engine = self.start()
        self.write(engine, make_body(2_000) + ENDING)
        began_s = time.monotonic()
        fault = owner.outcome.get(timeout=TEST_TIMEOUT_S)
        self.assertGreaterEqual(time.monotonic() - began_s, MAX_PAUSE_S)
        self.assertIs(fault.step, errors.Step.CALLER)
        self.assertTrue(owner.cancelled.is_set())
        self.assertFalse(self.read_answer(caller)[1])
        self.assertEqual(owner.recovered, [])
        self.assertEqual(self.guard.given_up, 1)
        self.assertEqual(self.guard._budget.used_bytes, 0)

    def test_engine_that_cuts_off_a_paused_stream(self):
        """Guards against an engine that is blamed for its caller, and a
        stream that is sought elsewhere in vain.
        """
        owner, _, engine = self.start()
        self.write(engine, make_body(2_000))
        self.wait_held(250_000)
        time.sleep(1.3)
        engine.shutdown(socket.SHUT_RDWR)
        engine.close()
        fault = owner.outcome.get(timeout=TEST_TIMEOUT_S)
        self.assertIs(fault.step, errors.Step.CALLER)
        self.assertEqual(owner.recovered, [])

    def test_engine_that_dies_after_a_pause(self):
        """Guards against a crash that is put down to a caller that has read
        well again for a while.
        """
        owner, caller, engine = self.start()
        self.write(engine, make_body(500))
        self.wait_held(250_000)
        time.sleep(1.3)
        received = b""
        while b"id: 500\n" not in received:
            received += caller.recv(65_536)
        time.sleep(1.3)
        engine.close()
        owner.outcome.get(timeout=TEST_TIMEOUT_S)
        self.assertEqual(len(owner.recovered), 1)

    def test_engine_that_dies(self):
        """Guards against a crash that is put down to a caller that reads."""
        owner, caller, engine = self.start()
        self.write(engine, make_body(10))
        caller.recv(100)
        engine.close()
        owner.outcome.get(timeout=TEST_TIMEOUT_S)
        self.assertEqual(len(owner.recovered), 1)


class UnknownMemoryTest(RelayCase):
    """A VM whose memory is not known."""

    total_bytes = 0

    def test_paused_stream_is_kept(self):
        """Guards against a caller given up where no bound was asked for."""
        owner, caller, engine = self.start()
        self.write(engine, make_body(2_000) + ENDING)
        self.wait_held(250_000)
        time.sleep(MAX_PAUSE_S + 0.5)
        self.assertLessEqual(
            self.guard._budget.used_bytes, 262_144 + 2 * pump.RECEIVE_BYTES
        )
        content, is_complete = self.read_answer(caller)
        self.assertTrue(is_complete)
        self.assertEqual(len(content), 2_000 * EVENT_BYTES)
        self.assertIsNone(owner.outcome.get(timeout=TEST_TIMEOUT_S))


class ManyStreamsTest(RelayCase):
    """Callers that read one event a second, beside one that reads well."""

    total_bytes = 8_000_000

    def setUp(self):
        super().setUp()
        self.has_ended = threading.Event()
        self.addCleanup(self.has_ended.set)
        self.peak_bytes = 0
        self.callers = {}

    def write_all(self, engines):
        """Write as much as each engine's connection takes."""
        body = make_body(400)
        left = {}
        epoll = select.epoll()
        for engine in engines:
            engine.setblocking(False)
            left[engine.fileno()] = (engine, memoryview(body))
            epoll.register(engine.fileno(), select.EPOLLOUT)
        while left and not self.has_ended.is_set():
            for fd, _ in epoll.poll(0.05):
                engine, data = left.pop(fd)
                try:
                    rest = data[engine.send(data) :]
                except OSError:
                    rest = b""
                if rest:
                    left[fd] = (engine, rest)
                else:
                    epoll.unregister(fd)
        epoll.close()

    def read_slowly(self):
        while not self.has_ended.wait(1.0):
            for caller in list(self.callers.values()):
                try:
                    caller.recv(EVENT_BYTES)
                except OSError:
                    continue

    def sample(self):
        while not self.has_ended.wait(0.005):
            self.peak_bytes = max(
                self.peak_bytes, self.guard._budget.used_bytes
            )

    def test_good_caller_keeps_its_pace(self):
        """Guards against 200 slow callers that fill a VM or slow down one
        that reads well.
        """
        slow = [self.start() for _ in range(SLOW_CALLERS)]
        good_owner, good, good_engine = self.start()
        for owner, caller, _ in slow:
            caller.settimeout(0)
            self.callers[owner] = caller
        for target in (
            lambda: self.write_all([engine for _, _, engine in slow]),
            self.read_slowly,
            self.sample,
        ):
            threading.Thread(target=target, daemon=True).start()
        gaps_s = []
        last_s = time.monotonic()
        for number in range(1, 101):
            good_engine.sendall(
                b"%x\r\n%b\r\n" % (EVENT_BYTES, make_event(number))
            )
            received = b""
            while b"id: %d\n" % number not in received:
                received += good.recv(65_536)
            gaps_s.append(time.monotonic() - last_s)
            time.sleep(0.03)
            last_s = time.monotonic()
        good_engine.sendall(ENDING)
        self.assertIsNone(good_owner.outcome.get(timeout=TEST_TIMEOUT_S))
        self.assertLess(max(gaps_s), 1.0)
        self.assertGreater(self.peak_bytes, self.total_bytes // 2)
        self.assertLessEqual(self.peak_bytes, self.total_bytes)
        self.assertEqual(
            [owner.recovered for owner, _, _ in slow], [[]] * SLOW_CALLERS
        )


class BodyFilter(base.Filter):
    """Answers each request with as many bytes as its path says."""

    def handle(self, exchange, proceed):
        size = int(exchange.path.strip("/"))
        return expression.Ok(replies.Reply(200, [], b"y" * size))


class ServerCase(unittest.TestCase):
    """A server with four workers."""

    def setUp(self):
        self.loop = loop.EventLoop("test", clock.SystemClock())
        self.guard = memory.MemoryGuard(self.loop, 40_000_000)
        self.relay = pump.Relay(self.loop, self.guard)
        self.loop.start()
        self.addCleanup(self.loop.stop)
        self.addCleanup(self.relay.stop)
        settings_ = router_fixture.make_settings()
        settings_.router_threads = 4
        self.factory = gateway.GatewayFactory(
            chain.Chain([BodyFilter()]), clock.SystemClock(), "a1.1"
        )
        self.server = http_server.HttpServer(
            settings_, self.factory, self.relay
        )
        self.server.start()
        self.addCleanup(self.server.stop)
        self.port = settings_.router_port


class PlainAnswerTest(ServerCase):
    """Plain answers that their callers do not read."""

    size = 4_000_000

    def request(self, path):
        """Send a request without reading; return its connection."""
        connection = http.client.HTTPConnection(
            HOST, self.port, timeout=TEST_TIMEOUT_S
        )
        self.addCleanup(connection.close)
        connection.sock = socket.socket()
        connection.sock.settimeout(TEST_TIMEOUT_S)
        connection.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
        )
        connection.sock.connect((HOST, self.port))
        connection.request("GET", path)
        return connection

    def test_slow_callers_keep_no_workers(self):
        """Guards against callers that read nothing and occupy all workers,
        and against an answer that is cut off or damaged on the way.
        """
        slow = [self.request(f"/{self.size}") for _ in range(6)]
        processes.wait_until(
            lambda: self.guard._budget.used_bytes > self.size * 3
        )
        began_s = time.monotonic()
        self.assertEqual(self.request("/10").getresponse().read(), b"y" * 10)
        self.assertLess(time.monotonic() - began_s, 1.0)
        # The short one ends right after its last byte was sent.
        processes.wait_until(lambda: self.factory.running == 6)
        for connection in slow:
            body = connection.getresponse().read()
            self.assertEqual(body, b"y" * self.size)
            connection.request("GET", "/5")
            self.assertEqual(connection.getresponse().read(), b"y" * 5)
        processes.wait_until(lambda: not self.factory.running)
        self.assertEqual(self.guard._budget.used_bytes, 0)

    def test_answers_beyond_the_budget(self):
        """Guards against answers that together fill a VM's memory, and a
        given-up one that looks complete.
        """
        slow = [self.request(f"/{self.size}") for _ in range(12)]
        processes.wait_until(lambda: self.guard.given_up)
        processes.wait_until(
            lambda: self.guard._budget.used_bytes <= 35_000_000
        )
        lengths = []
        for connection in slow:
            try:
                lengths.append(len(connection.getresponse().read()))
            except (http.client.IncompleteRead, ConnectionError):
                lengths.append(0)
        self.assertEqual(lengths.count(0), self.guard.given_up)
        self.assertEqual(lengths.count(self.size), 12 - self.guard.given_up)
        processes.wait_until(lambda: not self.factory.running)

    def test_caller_that_leaves(self):
        """Guards against an answer that is held for a caller that has gone."""
        connection = self.request(f"/{self.size}")
        processes.wait_until(lambda: self.guard._budget.used_bytes)
        connection.close()
        processes.wait_until(lambda: not self.guard._budget.used_bytes)
        processes.wait_until(lambda: not self.factory.running)


class BodyTest(ServerCase):
    """Requests' bodies while the budget is full."""

    def post(self, body, **headers):
        connection = http.client.HTTPConnection(
            HOST, self.port, timeout=TEST_TIMEOUT_S
        )
        self.addCleanup(connection.close)
        connection.request("POST", "/10", body, headers)
        return connection.getresponse()

    def check_refused(self, reply):
        error = json.loads(reply.read())["error"]
        self.assertEqual((reply.status, error["run"]), (503, "not_run"))
        self.assertIsNotNone(reply.headers["Retry-After"])

    def test_no_room(self):
        """Guards against a body that is read without room for it, and room
        that a refused one keeps.
        """
        # Five eighths are for requests, and a head takes some of it.
        sizes = [50_000] * 499 + [44_000]
        for size in sizes:
            self.assertTrue(self.guard.try_reserve_request(size))
        self.check_refused(self.post(b"z" * 5_000))
        self.check_refused(self.post(iter([b"z" * 2_500, b"z" * 2_500])))
        self.assertEqual(self.post(b"z" * 500).read(), b"y" * 10)
        self.assertEqual(self.guard.refused, 2)
        self.guard.release_request(sum(sizes))
        self.assertEqual(self.post(b"z" * 5_000).read(), b"y" * 10)
        processes.wait_until(lambda: not self.guard._budget.used_bytes)

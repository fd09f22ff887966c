"""Tests of upstreams whose answers do not end until the caller closes."""

import concurrent.futures
import itertools
import pathlib
import resource
import socket
import threading
import time
import unittest

from mulberryway import clock
from mulberryway import errors
from mulberryway.objects import call_metrics
from mulberryway.platform import engine
from mulberryway.platform import service
from mulberryway.platform import store
from mulberryway.upstreams import base
from mulberryway.upstreams import bounded_socket

HOST = "127.0.0.1"
TIMEOUT_MS = 1_000
# A call ends within this time although its answer does not.
MAX_TOOK_S = 1.5
OK = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
REJECTION = b"HTTP/1.1 503 No\r\nAttempt-Id: a\r\nNot-Executed: 1\r\n"
FAILURE = b"HTTP/1.1 500 No\r\nAttempt-Id: a\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LENGTH = b"Content-Length: 100000000000\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LONG_LINE = b"x: " + b"y" * 60_000 + b"\r\n"
BLOCK = b"z" * 65_536
# 360 connections of a VM of 128 MB, which uses half of it otherwise.
MAX_READ_BYTES = 1 << 20
MAX_BUFFERED_BYTES = 64 << 20


class EndlessServer:
    """Sends a beginning, and then the same bytes until the caller closes.

    :param begin: the first bytes
    :param rest: the bytes that are repeated
    :param delay_s: time before each repetition in seconds
    """

    def __init__(self, begin, rest, delay_s=0.0):
        self.begin, self.rest, self.delay_s = begin, rest, delay_s
        self.sent = 0
        self.accepted = 0
        self.closed = threading.Event()
        self.listener = socket.create_server((HOST, 0), backlog=512)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection:
            try:
                connection.recv(65_536)
                connection.sendall(self.begin)
                for _ in itertools.count():
                    time.sleep(self.delay_s)
                    connection.sendall(self.rest)
                    self.sent += len(self.rest)
            except OSError:
                self.closed.set()

    def close(self):
        self.listener.close()


class EndlessAnswerCase(unittest.TestCase):
    def serve(self, begin, rest, delay_s=0.0):
        server = EndlessServer(begin, rest, delay_s)
        self.addCleanup(server.close)
        return server

    def check_end(self, server, call):
        """Make a call; check that it ends in time and closes the answer."""
        results = []
        thread = threading.Thread(
            target=lambda: results.append(call(server.address)), daemon=True
        )
        thread.start()
        thread.join(MAX_TOOK_S)
        self.assertFalse(thread.is_alive(), "the call has not ended")
        self.assertTrue(server.closed.wait(MAX_TOOK_S), "still open")
        return results[0]

    def check_failure(self, server, call):
        result = self.check_end(server, call)
        self.assertTrue(result.is_error())
        self.assertIsNot(result.error.run, errors.ExecutionStatus.NOT_RUN)
        return result.error

    def check_rejection(self, server, call):
        """Check that a head which says "not run" is believed."""
        error = self.check_end(server, call).error
        self.assertIs(error.run, errors.ExecutionStatus.NOT_RUN)
        self.assertIs(error.code, errors.Code.UPSTREAM_REFUSED)


def call_service(address, timeout_ms=TIMEOUT_MS):
    client = service.PlatformService("s0", address, clock.SystemClock())
    try:
        return client.call(
            "r", "GET", "/", [("Attempt-Id", "a")], b"", timeout_ms, True
        )
    finally:
        client.close()


def read_memory_bytes():
    """Return the resident memory of this process."""
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * resource.getpagesize()


def make_engine(address):
    return engine.PlatformEngine("e0", address, clock.SystemClock())


def make_request(timeout_ms=TIMEOUT_MS):
    clock_ = clock.SystemClock()
    return base.PassthroughRequest(
        "POST",
        "/",
        [("Attempt-Id", "a")],
        b"{}",
        "a",
        "",
        clock.Deadline(clock_.now_ms() + timeout_ms),
    )


def call_decode(address):
    return make_engine(address).decode(
        base.AttemptLabel("a", "vm0", 1), make_request(), {}, 0, TIMEOUT_MS
    )


def call_prefill(address):
    return make_engine(address).prefill(
        base.AttemptLabel("a", "vm0", 1), make_request(), TIMEOUT_MS
    )


def call_report(address):
    return make_engine(address).report_load()


class HeadTest(EndlessAnswerCase):
    """Heads that do not end."""

    CALLS = (call_service, call_decode, call_prefill, call_report)

    def check_all(self, begin, rest, delay_s=0.0):
        for call in self.CALLS:
            with self.subTest(call=call.__name__):
                server = self.serve(begin, rest, delay_s)
                if call is call_prefill:
                    self.assertTrue(self.check_end(server, call).is_error())
                else:
                    self.check_failure(server, call)

    def test_interim_responses(self):
        """Guards against interim responses that each begin a new wait."""
        self.check_all(CONTINUE, CONTINUE, 0.05)

    def test_interim_responses_at_full_speed(self):
        """Guards against interim responses that are read without a bound."""
        self.check_all(CONTINUE, CONTINUE * 1_000)

    def test_header_line_in_pieces(self):
        """Guards against a header line that each piece of keeps alive."""
        self.check_all(OK + b"x: ", b"y" * 10, 0.05)

    def test_header_lines_one_by_one(self):
        """Guards against a head that each line of keeps alive."""
        self.check_all(OK, b"x: y\r\n", 0.2)

    def test_long_header_lines(self):
        """Guards against a head that fills a small VM's memory."""
        for call in self.CALLS:
            with self.subTest(call=call.__name__):
                server = self.serve(OK, LONG_LINE)
                self.assertTrue(self.check_end(server, call).is_error())
                # The sockets' buffers hold a part of it.
                self.assertLess(server.sent, 8 * MAX_READ_BYTES)


class BodyTest(EndlessAnswerCase):
    """Bodies that do not end."""

    def test_body_in_pieces(self):
        """Guards against a body that each piece of keeps alive."""
        for call, head in itertools.product(
            (call_service, call_prefill, call_report), (OK, FAILURE)
        ):
            with self.subTest(call=call.__name__, head=head):
                server = self.serve(head + LENGTH, b"z", 0.05)
                self.assertTrue(self.check_end(server, call).is_error())

    def test_chunk_length_in_pieces(self):
        """Guards against a chunk whose length line does not end."""
        for rest, delay_s in ((b"0", 0.05), (b"0" * 65_536, 0.0)):
            server = self.serve(OK + CHUNKED, rest, delay_s)
            self.check_failure(server, call_service)

    def test_failure_of_a_decode(self):
        """Guards against a failure's body that is cut and looks whole."""
        for rest, delay_s in ((b"z", 0.05), (BLOCK, 0.0)):
            server = self.serve(FAILURE + LENGTH, rest, delay_s)
            error = self.check_failure(server, call_decode)
            self.assertIsNone(error.answer)

    def test_rejection(self):
        """Guards against a rejection that is not believed, or only at the end
        of the time in which another server could be asked.
        """
        for call, (rest, delay_s) in itertools.product(
            (call_service, call_decode), ((b"z", 0.05), (BLOCK, 0.0))
        ):
            with self.subTest(call=call.__name__, delay_s=delay_s):
                server = self.serve(REJECTION + LENGTH, rest, delay_s)
                began_s = time.monotonic()
                self.check_rejection(server, call)
                self.assertLess(time.monotonic() - began_s, 0.5)

    def test_connection_is_not_used_again(self):
        """Guards against the rest of an answer before the next one."""
        server = self.serve(REJECTION + LENGTH, b"z", 0.05)
        client = service.PlatformService(
            "s0", server.address, clock.SystemClock()
        )
        self.addCleanup(client.close)
        for count in (1, 2):
            self.check_rejection(
                server,
                lambda address: client.call(
                    "r",
                    "GET",
                    "/",
                    [("Attempt-Id", "a")],
                    b"",
                    TIMEOUT_MS,
                    True,
                ),
            )
            self.assertEqual(server.accepted, count)

    def test_memory_of_many_bodies(self):
        """Guards against answers that together fill a small VM's memory."""
        before = read_memory_bytes()
        peak = [before]
        has_ended = threading.Event()

        def sample():
            while not has_ended.wait(0.01):
                peak.append(read_memory_bytes())

        threading.Thread(target=sample, daemon=True).start()
        server = self.serve(OK + LENGTH, BLOCK)
        with concurrent.futures.ThreadPoolExecutor(60) as pool:
            results = list(
                pool.map(lambda _: call_service(server.address), range(60))
            )
        self.assertTrue(all(result.is_error() for result in results))
        has_ended.set()
        self.assertLessEqual(max(peak) - before, MAX_BUFFERED_BYTES)


def call_store(address):
    client = store.PlatformStore(
        f"http://{address}",
        TIMEOUT_MS,
        clock.SystemClock(),
        call_metrics.InMemoryCallCounter(),
    )
    return client.list_vms("membership")


class StoreTest(EndlessAnswerCase):
    """Responses of the store that do not end."""

    def test_body_in_pieces(self):
        """Guards against a store that keeps a controller waiting for good."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"
        server = self.serve(head, b" ", 0.05)
        self.assertTrue(self.check_end(server, call_store).is_error())

    def test_long_body(self):
        """Guards against a length that is reserved before it is received."""
        server = self.serve(OK + LENGTH, BLOCK)
        self.assertTrue(self.check_end(server, call_store).is_error())
        self.assertLess(server.sent, 2 * store.MAX_RESPONSE_BYTES)

    def test_head_in_pieces(self):
        """Guards against a head that each line of keeps alive."""
        server = self.serve(OK, b"x: y\r\n", 0.2)
        self.assertTrue(self.check_end(server, call_store).is_error())


class ReuseTest(unittest.TestCase):
    """A connection whose next call begins before the last one has ended."""

    def test_end_of_the_last_call(self):
        """Guards against a call whose bounds the one before it removes."""
        near, far = socket.socketpair()
        self.addCleanup(far.close)
        bounded = bounded_socket.BoundedSocket(
            near, bounded_socket.ReceiveBudget(0)
        )
        self.addCleanup(bounded.close)
        first = bounded.begin_response(time.monotonic() + 1)
        bounded.begin_response(time.monotonic())
        bounded.end_response(first)
        with self.assertRaises(TimeoutError):
            bounded.recv_into(bytearray(1))

    def test_timeout_of_a_long_request(self):
        """Guards against a server that reads a body slowly: what the last
        response left of its time does not bound the next request.
        """
        near, far = socket.socketpair()
        self.addCleanup(far.close)
        bounded = bounded_socket.BoundedSocket(
            near, bounded_socket.ReceiveBudget(0)
        )
        self.addCleanup(bounded.close)
        bounded.settimeout(0.01)
        bounded.begin_response(time.monotonic() + 5)
        body = BLOCK * 64

        def read_slowly():
            time.sleep(0.1)
            while far.recv(1 << 20):
                pass

        thread = threading.Thread(target=read_slowly)
        thread.start()
        bounded.sendall(body)
        bounded.shutdown(socket.SHUT_WR)
        thread.join()
        bounded.begin_response(time.monotonic())
        with self.assertRaises(TimeoutError):
            bounded.sendall(body)

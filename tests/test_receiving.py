"""Tests of requests that arrive slowly, in pieces, or not at all."""

import contextlib
import socket
import threading
import time
import unittest
from unittest import mock

import expression

from mulberryway import clock
from mulberryway import replies
from mulberryway.filters import base
from mulberryway.filters import chain
from mulberryway.relay import loop
from mulberryway.relay import memory
from mulberryway.relay import pump
from mulberryway.server import gateway
from mulberryway.server import http_server
from tests import processes
from tests import router_fixture

HOST = "127.0.0.1"
TIMEOUT_S = 10
BUDGET_BYTES = 4_000_000
MAX_CONNECTIONS = 16
BODY_MS = 300
HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"
# More than the interval at which the server looks for late requests.
LATE_S = 1.5
# Longer than any test waits.
LONG_INTERVAL_S = 60.0


class EchoFilter(base.Filter):
    """Answers with the body of the request, once it may."""

    def __init__(self):
        self.may_answer = threading.Event()
        self.may_answer.set()
        self.bodies = []

    def handle(self, exchange, proceed):
        self.bodies.append(exchange.body)
        self.may_answer.wait(TIMEOUT_S)
        return expression.Ok(replies.Reply(200, [], exchange.body))


class ReceivingTest(unittest.TestCase):
    def setUp(self):
        self.loop = loop.EventLoop("test", clock.SystemClock())
        self.guard = memory.MemoryGuard(self.loop, BUDGET_BYTES)
        relay = pump.Relay(self.loop, self.guard)
        self.loop.start()
        self.addCleanup(self.loop.stop)
        self.addCleanup(relay.stop)
        self.relay = relay
        self.echo = EchoFilter()
        self.server = self.make_server()
        self.connections = contextlib.ExitStack()
        self.addCleanup(self.connections.close)

    def make_server(self):
        """Start a server; return it."""
        settings_ = router_fixture.make_settings()
        settings_.router_threads = 4
        settings_.router_body_ms = BODY_MS
        server = http_server.HttpServer(
            settings_,
            gateway.GatewayFactory(
                chain.Chain([self.echo]), clock.SystemClock(), "a1.1"
            ),
            self.relay,
            max_connections=MAX_CONNECTIONS,
            deadline_header="Deadline-Ms",
        )
        server.start()
        self.addCleanup(server.stop)
        return server

    def connect(self, port=None):
        address = (HOST, port or self.server.bind_addr[1])
        return self.connections.enter_context(
            socket.create_connection(address, TIMEOUT_S)
        )

    def send(self, *pieces, port=None):
        """Send the pieces of a request on a new connection."""
        connection = self.connect(port)
        for piece in pieces:
            connection.sendall(piece)
        return connection

    def read(self, connection, end=b""):
        """Read up to the close, or up to an end."""
        received = b""
        while not (end and received.endswith(end)):
            piece = connection.recv(65_536)
            if not piece:
                break
            received += piece
        return received

    def check_free(self):
        """Check that nothing is held for any request."""
        budget = self.guard._budget
        self.assertTrue(
            processes.wait_until(lambda: not budget.used_bytes, TIMEOUT_S)
        )
        self.assertEqual(budget.requests_bytes, 0)

    def test_single_bytes(self):
        """Guards against requests that are damaged by how they arrive."""
        request = HEAD + b"Content-Length: 3\r\n\r\nabc"
        pieces = [request[i : i + 1] for i in range(len(request))]
        connection = self.send(*pieces, *pieces)
        answers = self.read(connection, b"\r\nabc")
        if answers.count(b"abc") < 2:
            answers += self.read(connection, b"\r\nabc")
        self.assertEqual(answers.count(b"200 OK"), 2)
        self.assertEqual(self.echo.bodies, [b"abc", b"abc"])
        self.check_free()

    def test_requests_behind_one_another(self):
        """Guards against requests that are lost behind a body."""
        request = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0"
        last = HEAD + b"Connection: close\r\n\r\n"
        connection = self.send((request + b"\r\n\r\n") * 5 + last)
        self.assertEqual(self.read(connection).count(b"200 OK"), 6)
        self.assertEqual(self.echo.bodies, [b"abc"] * 5 + [b""])
        self.check_free()

    def test_caller_that_awaits_permission(self):
        """Guards against a caller and a server that wait for one another."""
        connection = self.send(
            HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        interim = self.read(connection, b"\r\n\r\n")
        self.assertEqual(interim, b"HTTP/1.1 100 Continue\r\n\r\n")
        connection.sendall(b"ab")
        self.assertIn(b"200 OK", self.read(connection, b"ab"))
        self.check_free()

    def test_late_request(self):
        """Guards against incomplete requests that stay for ever."""
        for request in (HEAD, HEAD + b"Content-Length: 2\r\n\r\na"):
            with self.subTest(request):
                answer = self.read(self.send(request))
                self.assertIn(b"HTTP/1.1 408 ", answer)
        self.check_free()

    def test_caller_that_waits_longer(self):
        """Guards against the refusal of a slow link before its deadline."""
        connection = self.send(
            HEAD + b"Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\na"
        )
        time.sleep(LATE_S)
        connection.sendall(b"b")
        self.assertIn(b"200 OK", self.read(connection, b"ab"))
        self.check_free()

    def test_caller_that_ends_early(self):
        """Guards against a part of a request that is taken for the whole."""
        for request in (HEAD, HEAD + b"Content-Length: 2\r\n\r\na"):
            with self.subTest(request):
                connection = self.send(request)
                connection.shutdown(socket.SHUT_WR)
                answer = self.read(connection)
                self.assertIn(b"HTTP/1.1 400 ", answer)
        self.assertEqual(self.echo.bodies, [])
        self.check_free()

    def test_connections_beyond_the_limit(self):
        """Guards against callers that are kept out by silent connections."""
        silent = [self.connect() for _ in range(MAX_CONNECTIONS * 2)]
        request = HEAD + b"Content-Length: 2\r\nConnection: close\r\n\r\nab"
        self.assertIn(b"200 OK", self.read(self.send(request)))
        self.assertLessEqual(self.server.open_connections, MAX_CONNECTIONS)
        # The oldest one was closed, without a request that could be refused.
        self.assertEqual(self.read(silent[0]), b"")

    def test_running_requests_are_kept(self):
        """Guards against running requests that are closed for new ones."""
        self.echo.may_answer.clear()
        request = HEAD + b"Content-Length: 2\r\nConnection: close\r\n\r\nab"
        running = [self.send(request) for _ in range(MAX_CONNECTIONS)]
        processes.wait_until(lambda: self.server.requests.qsize >= 12)
        self.assertIn(b"HTTP/1.1 503 ", self.read(self.connect()))
        self.echo.may_answer.set()
        for connection in running:
            self.assertIn(b"200 OK", self.read(connection))
        self.check_free()

    def test_incomplete_request_at_a_stop(self):
        """Guards against a caller that does not learn that its request has
        not run.
        """
        connection = self.send(HEAD + b"Content-Length: 2\r\n\r\na")
        processes.wait_until(lambda: self.guard._budget.requests_bytes)
        self.server.stop()
        answer = self.read(connection)
        self.assertIn(b"HTTP/1.1 503 ", answer)
        self.assertIn(b"stopping", answer)

    def test_announced_body_makes_room(self):
        """Guards against memory that an announced body keeps until the next
        time at which the server looks for late requests.
        """
        size = BUDGET_BYTES // 3
        head = HEAD + b"Connection: close\r\nContent-Length: %d\r\n\r\n" % size
        with mock.patch.object(
            http_server.HttpServer, "expiration_interval", LONG_INTERVAL_S
        ):
            server = self.make_server()
            announced = self.send(head + b"x", port=server.bind_addr[1])
            time.sleep(LATE_S)
            sound = self.send(head, b"y" * size, port=server.bind_addr[1])
            self.assertIn(b"200 OK", self.read(sound)[:20])
            self.assertIn(b"HTTP/1.1 503 ", self.read(announced))
        self.check_free()

    def test_head_of_many_lines(self):
        """Guards against headers whose objects nobody counts."""
        lines = b"".join(b"a%x:\r\n" % number for number in range(4_000))
        request = HEAD + lines + b"Connection: close\r\n\r\n"
        self.echo.may_answer.clear()
        running = [self.send(request) for _ in range(4)]
        processes.wait_until(lambda: self.guard.refused)
        self.assertLessEqual(self.guard._budget.used_bytes, BUDGET_BYTES)
        self.echo.may_answer.set()
        statuses = {self.read(connection)[9:12] for connection in running}
        self.assertEqual(statuses - {b"200"}, {b"503"})
        self.check_free()

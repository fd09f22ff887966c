"""Tests of the stand-in's answers that break off or are sent twice."""

import re
import socket
import unittest

from tests import processes

TIMEOUT_S = 5
CALLS = 120
CLOSED = "closed"
RESET = "reset"
HEAD_END = b"\r\n\r\n"
BODY = b"POST /x {}"


class SpoiledAnswersTest(unittest.TestCase):
    def setUp(self):
        group = processes.Group()
        self.addCleanup(group.stop)
        _, self.port = processes.start_standin(group, "hosted_upstreams")

    def set_faults(self, **faults):
        processes.call(self.port, "POST", "/standin/faults", faults)

    def connect(self):
        connection = socket.create_connection(
            (processes.HOST, self.port), TIMEOUT_S
        )
        self.addCleanup(connection.close)
        return connection

    def send(self, connection, attempt):
        connection.sendall(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
            b"Attempt-Id: %s\r\n\r\n{}" % attempt.encode()
        )

    def read_to_end(self, attempt):
        """Return the bytes that a request gets, and how they end."""
        connection = self.connect()
        self.send(connection, attempt)
        received = b""
        try:
            while data := connection.recv(65_536):
                received += data
        except ConnectionResetError:
            return received, RESET
        return received, CLOSED

    def test_breaks(self):
        """Guards against answers that look whole, and against faults that
        leave out a kind of answer or a place.
        """
        self.set_faults(broken_part=1)
        results = [self.read_to_end(f"a{number}") for number in range(CALLS)]
        seen = set()
        for received, end in results:
            head, found, body = received.partition(HEAD_END)
            if not found:
                seen.add(("head", end))
            elif b"Content-Length: " in head:
                length = int(re.search(rb"Length: (\d+)", head)[1])
                self.assertLess(len(body), length)
                seen.add(("length", end))
            elif b"Transfer-Encoding: chunked" in head:
                self.assertFalse(body.endswith(b"0\r\n\r\n"))
                seen.add(("chunks", end))
            else:
                self.assertEqual(end, RESET)
                seen.add(("connection", end))
        places = {"head", "length", "chunks"}
        expected = {
            (place, end) for place in places for end in (CLOSED, RESET)
        }
        self.assertEqual(seen, expected | {("connection", RESET)})
        self.assertGreater(len(set(results)), CALLS // 2)

    def test_same_seed(self):
        self.set_faults(broken_part=1)
        first = self.read_to_end("a")
        self.assertNotEqual(self.read_to_end("a"), first)
        group = processes.Group()
        self.addCleanup(group.stop)
        _, self.port = processes.start_standin(group, "hosted_upstreams")
        self.set_faults(broken_part=1)
        self.assertEqual(self.read_to_end("a"), first)

    def test_copies(self):
        """Guards against copies that come with their own answer, or after
        the next one.
        """
        self.set_faults(copied_part=1)
        whole = torn = 0
        for number in range(CALLS // 4):
            connection = self.connect()
            self.send(connection, f"a{number}")
            self.read_answer(connection, b"a%d" % number)
            self.send(connection, f"b{number}")
            copy = self.read_answer(connection, b"b%d" % number)
            is_whole = copy.endswith(BODY)
            self.assertEqual(copy.count(BODY), is_whole)
            whole += is_whole
            torn += not is_whole
        self.assertGreater(whole, CALLS // 16)
        self.assertGreater(torn, CALLS // 16)

    def read_answer(self, connection, attempt):
        """Read a request's answer and return the bytes before it."""
        received = b""
        own = b"Attempt-Id: %s\r\n" % attempt
        while own not in received or not received.endswith(BODY):
            data = connection.recv(65_536)
            self.assertTrue(data, received)
            received += data
        return received[: received.rindex(b"HTTP/1.1")]

    def test_rejections(self):
        self.set_faults(rejected_part=1)
        reply = processes.call(self.port, "POST", "/x", b"")
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.headers["Not-Executed"], "1")
        runs = processes.call(self.port, "GET", "/standin/runs").json()["runs"]
        self.assertEqual(runs, [])

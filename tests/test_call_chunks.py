"""Tests of plain calls whose answers come in chunks that are not sound."""

import socket
import threading
import unittest

from mulberryway import clock
from mulberryway import errors
from mulberryway.platform import wire
from mulberryway.upstreams import connections

HOST = "127.0.0.1"
TIMEOUT_MS = 2_000
HEAD = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
CHUNK = b"5\r\nevent\r\n"
END = b"0\r\n\r\n"


class ChunkedCallTest(unittest.TestCase):
    def call(self, coded):
        """Call a server that sends an answer and ends its side."""
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)

        def serve():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(HEAD + coded)
                connection.shutdown(socket.SHUT_WR)
                connection.recv(65_536)

        threading.Thread(target=serve, daemon=True).start()
        client = connections.UpstreamClient(
            f"{HOST}:{listener.getsockname()[1]}",
            clock.SystemClock(),
            wire.ATTEMPT_ID,
        )
        self.addCleanup(client.close)
        return client.call(
            "GET",
            "/",
            {"Attempt-Id": "a"},
            None,
            TIMEOUT_MS,
            errors.Step.SERVICE,
        )

    def check_failed(self, *bodies):
        for coded in bodies:
            with self.subTest(coded):
                result = self.call(coded)
                self.assertTrue(result.is_error())
                self.assertIs(
                    result.error.run, errors.ExecutionStatus.MAY_HAVE_RUN
                )

    def test_sound_answers(self):
        for end in (END, b"0\r\n", b"000\r\n\r\n", b"0;a=b\r\nC: d\r\n\r\n"):
            with self.subTest(end):
                self.assertEqual(self.call(CHUNK + end).ok.body, b"event")

    def test_answer_without_its_last_chunk(self):
        self.check_failed(b"", CHUNK, CHUNK[:-1], CHUNK + b"5\r\neve")

    def test_size_that_breaks_off(self):
        """Guards against an answer that looks whole because it breaks off
        after the first zero of the next chunk's size.
        """
        self.check_failed(CHUNK + b"0", CHUNK + b"0\r")

    def test_chunk_that_is_longer_than_its_size(self):
        """Guards against bytes that are left out of an answer."""
        self.check_failed(b"5\r\neventXY" + END, b"3\r\nevent\r\n" + END)

    def test_malformed_size(self):
        """Guards against an answer that ends where it does not, and against
        an exception in place of a failed call.
        """
        self.check_failed(
            CHUNK + b"-0\r\n\r\n",
            CHUNK + b"0_0\r\n\r\n",
            b"-5\r\nevent\r\n" + END,
            b"0x5\r\nevent\r\n" + END,
            b"+5\r\nevent\r\n" + END,
        )

"""Tests of plain calls whose answer ends with its connection."""

import socket
import threading
import unittest

from mulberryway import errors
from tests import test_torn_heads

HEAD = test_torn_heads.STATUS + test_torn_heads.ECHO + test_torn_heads.SEAL
BODY = b"the whole answer"


class UnframedCallTest(unittest.TestCase):
    def call(self, answer, is_killed, method="GET"):
        """Call a server that sends an answer and closes; it may end then."""
        listener = socket.create_server((test_torn_heads.HOST, 0))
        self.addCleanup(listener.close)

        def serve():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(answer)
                if is_killed:
                    listener.shutdown(socket.SHUT_RDWR)
                    listener.close()

        threading.Thread(target=serve, daemon=True).start()
        address = f"{test_torn_heads.HOST}:{listener.getsockname()[1]}"
        return test_torn_heads.call_plain(address, method)

    def test_server_is_killed(self):
        """Guards against half an answer of a killed server that its caller
        gets as a complete success.
        """
        fault = self.call(HEAD + b"\r\n" + BODY[:5], True).error
        self.assertIs(fault.code, errors.Code.UPSTREAM_FAILED)
        self.assertIs(fault.run, errors.ExecutionStatus.MAY_HAVE_RUN)
        self.assertTrue(fault.has_died)

    def test_server_goes_on(self):
        reply = self.call(HEAD + b"\r\n" + BODY, False).ok
        self.assertEqual(reply.body, BODY)

    def test_framed_answer_of_a_killed_server(self):
        """Guards against complete answers that count as cut."""
        length = b"Content-Length: %d\r\n\r\n" % len(BODY)
        reply = self.call(HEAD + length + BODY, True).ok
        self.assertEqual(reply.body, BODY)
        empty = self.call(HEAD + b"\r\n", True, "HEAD").ok
        self.assertEqual(empty.body, b"")

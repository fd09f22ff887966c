"""A decode call whose engine goes away before its reply."""

import socket
import threading
import unittest

from mulberryway import errors
from mulberryway.upstreams import connections
from mulberryway.upstreams import decode_call

HOST = "127.0.0.1"
TIMEOUT_MS = 300


class DecodeCallTest(unittest.TestCase):
    def call(self, port):
        request = decode_call.DecodeRequest(
            "POST", "/v1/completions", {connections.REQUEST_ID: "r-1"}, b"{}"
        )
        found = decode_call.begin_decode(
            f"{HOST}:{port}", request, TIMEOUT_MS, decode_call.read_refusal
        )
        return found.error

    def test_engine_closes_without_a_reply(self):
        """An engine dies after it took the request.  The caller must hear
        that it may have run; an untold error became an internal one.
        """
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)

        def serve():
            connection, _ = listener.accept()
            connection.recv(65_536)
            connection.close()

        thread = threading.Thread(target=serve)
        thread.start()
        fault = self.call(listener.getsockname()[1])
        thread.join()
        self.assertIs(fault.code, errors.Code.UPSTREAM_FAILED)
        self.assertIs(fault.run, errors.Run.MAY_HAVE_RUN)

    def test_engine_stays_silent(self):
        """A connection holds and nothing ever comes over it."""
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)
        fault = self.call(listener.getsockname()[1])
        self.assertIs(fault.code, errors.Code.UPSTREAM_TIMEOUT)
        self.assertIs(fault.run, errors.Run.MAY_HAVE_RUN)

    def test_nobody_listens(self):
        """The engine is down: nothing can have run there."""
        with socket.create_server((HOST, 0)) as listener:
            port = listener.getsockname()[1]
        fault = self.call(port)
        self.assertIs(fault.code, errors.Code.UPSTREAM_UNREACHABLE)
        self.assertIs(fault.run, errors.Run.NOT_RUN)


class ListensTest(unittest.TestCase):
    def test_port_that_closes_a_moment_later(self):
        """A process dies, and closes its connection to a caller a moment
        before the port on which it listens.  Taken for alive, it would not
        be counted as killed by the request that it ran.
        """
        listener = socket.create_server((HOST, 0))
        port = listener.getsockname()[1]

        def die():
            listener.accept()[0].close()
            listener.close()

        thread = threading.Thread(target=die)
        thread.start()
        self.assertFalse(connections.listens(f"{HOST}:{port}"))
        thread.join()

    def test_port_that_stays_open(self):
        with socket.create_server((HOST, 0)) as listener:
            port = listener.getsockname()[1]
            self.assertTrue(connections.listens(f"{HOST}:{port}"))

"""A decode call whose engine goes away before its reply."""

import socket
import threading
import time
import unittest

from mulberryway import errors
from mulberryway.upstreams import connections
from mulberryway.upstreams import decode_call

HOST = "127.0.0.1"
TIMEOUT_MS = 300


class DecodeCallTest(unittest.TestCase):
    def call(self, port, timeout_ms=TIMEOUT_MS, made=None):
        request = decode_call.DecodeRequest(
            "POST",
            "/v1/completions",
            {connections.REQUEST_ID_HEADER: "r-1"},
            b"{}",
        )
        found = decode_call.begin_decode(
            f"{HOST}:{port}",
            request,
            timeout_ms,
            decode_call.parse_rejection,
            prepared_connection=made,
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
        self.assertIs(fault.run, errors.ExecutionStatus.MAY_HAVE_RUN)

    def test_engine_stays_silent(self):
        """A connection holds and nothing ever comes over it."""
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)
        fault = self.call(listener.getsockname()[1])
        self.assertIs(fault.code, errors.Code.UPSTREAM_TIMEOUT)
        self.assertIs(fault.run, errors.ExecutionStatus.MAY_HAVE_RUN)

    def test_nobody_listens(self):
        """The engine is down: nothing can have run there."""
        with socket.create_server((HOST, 0)) as listener:
            port = listener.getsockname()[1]
        fault = self.call(port)
        self.assertIs(fault.code, errors.Code.UPSTREAM_UNREACHABLE)
        self.assertIs(fault.run, errors.ExecutionStatus.NOT_RUN)

    def test_engine_that_went_dark(self):
        """An engine's machine is there no more, and nothing says so.  Whoever
        waits for the connection as long as for an answer has no time left for
        another engine.
        """
        listener = socket.create_server((HOST, 0), backlog=0)
        self.addCleanup(listener.close)
        address = listener.getsockname()
        # With its queue full the port behaves as if nobody were there.
        for _ in range(4):
            filler = socket.socket()
            self.addCleanup(filler.close)
            filler.setblocking(False)
            filler.connect_ex(address)
        began_s = time.monotonic()
        fault = self.call(address[1], 5_000)
        self.assertLess(time.monotonic() - began_s, 1.0)
        self.assertIs(fault.code, errors.Code.UPSTREAM_UNREACHABLE)
        self.assertIs(fault.run, errors.ExecutionStatus.NOT_RUN)

    def test_connection_that_was_idle_is_not_used(self):
        """A prompt takes long to read, and its decode's engine drops the idle
        connection meanwhile.  What is sent over it is reset, and nobody knows
        whether it ran.
        """
        with socket.create_server((HOST, 0)) as listener:
            host, port = listener.getsockname()
            made = decode_call.connect(f"{host}:{port}").ok
            listener.accept()[0].close()
            self.assertTrue(made.is_fresh())
            made.connected_s -= 1.0
            self.assertFalse(made.is_fresh())
            fault = self.call(port, TIMEOUT_MS, made)
            self.assertIs(fault.code, errors.Code.UPSTREAM_TIMEOUT)

    def test_fresh_connection_that_the_engine_has_closed(self):
        """Guards against a stream that fails as one that may have run, though
        its engine died before anything was sent to it.
        """
        with socket.create_server((HOST, 0)) as listener:
            host, port = listener.getsockname()
            made = decode_call.connect(f"{host}:{port}").ok
            self.assertFalse(made.is_closed())
            listener.accept()[0].close()
            time.sleep(0.05)
            fault = self.call(port, TIMEOUT_MS, made)
        self.assertIs(fault.code, errors.Code.UPSTREAM_UNREACHABLE)
        self.assertIs(fault.run, errors.ExecutionStatus.NOT_RUN)


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
        self.assertFalse(
            connections.is_accepting_connections(f"{HOST}:{port}")
        )
        thread.join()

    def test_port_that_stays_open(self):
        with socket.create_server((HOST, 0)) as listener:
            port = listener.getsockname()[1]
            self.assertTrue(
                connections.is_accepting_connections(f"{HOST}:{port}")
            )

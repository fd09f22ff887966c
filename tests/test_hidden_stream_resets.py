"""Tests of resets of streams that a look at the connection is told of."""

import errno
import socket
import unittest
from unittest import mock

from mulberryway import errors
from mulberryway.upstreams import base
from mulberryway.upstreams import decode_call
from tests import tcp_pair

TIMEOUT_MS = 5_000
DOWN = f"{tcp_pair.HOST}:1"


class AwaitedBodyTest(unittest.TestCase):
    """A decode that was accepted, whose events are waited for."""

    def setUp(self):
        self.engine, connection = tcp_pair.connect()
        self.addCleanup(self.engine.close)
        self.addCleanup(connection.close)
        self.connection = connection
        self.listener = socket.create_server((tcp_pair.HOST, 0))
        self.addCleanup(self.listener.close)

    def await_body(self, is_chunked, length):
        source = base.TokenStream(
            self.connection, b"", is_chunked, "r-1", length
        )
        port = self.listener.getsockname()[1]
        return decode_call.await_body(
            source, f"{tcp_pair.HOST}:{port}", TIMEOUT_MS
        )

    def check_reset(self, is_chunked=False, length=None):
        tcp_pair.reset(self.engine)
        fault = self.await_body(is_chunked, length).error
        self.assertIs(fault.code, errors.Code.UPSTREAM_FAILED)
        self.assertIs(fault.run, errors.ExecutionStatus.MAY_HAVE_RUN)
        self.assertEqual(fault.inputs["failure"], "reset")
        self.assertEqual(self.connection.fileno(), -1)

    def test_reset_where_the_end_ends_the_body(self):
        """Guards against a stream that ends as complete because the look at
        its connection was told of the reset, and the relay of an end.
        """
        self.check_reset()

    def test_path_that_has_timed_out(self):
        """Guards against a connection that the kernel has given up, taken for
        one on which nothing has arrived yet: the next read tells of an end.
        """
        connection = mock.Mock(spec=socket.socket)
        connection.recv.side_effect = OSError(errno.ETIMEDOUT, "given up")
        source = base.TokenStream(connection, b"", False, "r-1")
        result = decode_call.await_body(source, DOWN, TIMEOUT_MS)
        self.assertIs(result.error.code, errors.Code.UPSTREAM_TIMEOUT)
        connection.close.assert_called_once()

    def test_reset_of_chunks(self):
        """Guards against a reset that is reported as an early end."""
        self.check_reset(is_chunked=True)

    def test_reset_of_a_length(self):
        self.check_reset(length=100)

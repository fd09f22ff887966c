"""Tests of streams whose engine cannot be asked for after their end."""

from unittest import mock

from mulberryway.upstreams import connections
from tests import test_replacement


class StreamTest(test_replacement.RequestTest):
    def begin(self):
        """Start a stream at an engine to which the path is suspect."""
        self.assign("a")
        engine = self.engines["a"]
        engine.decode_replies.append(engine.accept)
        self.addCleanup(self.request.begin().ok.connection.close)
        dialer = self.request._parts.directory.dialer = mock.Mock()
        dialer.is_suspect.return_value = True

    def test_crash_that_no_vm_can_confirm(self):
        """Guards against a crashed engine's stream that counts as complete
        because its engine could not be asked for.
        """
        self.begin()
        with mock.patch.object(
            connections, "is_accepting_connections", lambda *_: False
        ):
            self.assertFalse(self.request.is_source_alive())

    def test_engine_that_another_vm_reaches(self):
        self.begin()
        self.assertTrue(self.request.is_source_alive())

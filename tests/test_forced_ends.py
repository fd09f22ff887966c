"""Tests of plain calls whose answer ends, but not by its server's will."""

import threading

from mulberryway import clock
from mulberryway import errors
from mulberryway.platform import wire
from mulberryway.upstreams import connections
from tests import test_tunnels

TIMEOUT_MS = 5_000
HALF = b"half"
ANSWER = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n\r\n" + HALF


def call(client, canceller=None):
    return client.call(
        "GET",
        "/",
        {"Attempt-Id": "a"},
        None,
        TIMEOUT_MS,
        errors.Step.SERVICE,
        canceller=canceller,
    )


class UnconfirmedCrashTest(test_tunnels.TunnelFixture):
    def test_crash_that_no_vm_can_confirm(self):
        """Guards against half an answer of a crashed server that counts as
        whole because no other VM can say whether the server still runs: the
        tunnels of the only one are all in use.
        """
        self.add_vm(max_tunnels=0)
        client = connections.UpstreamClient(
            self.upstream.address, self.clock, wire.ATTEMPT_ID, self.dialer
        )
        self.addCleanup(client.close)

        def crash():
            far = self.upstream.accept()
            far.recv(65_536)
            far.sendall(ANSWER)
            self.upstream.close()

        thread = threading.Thread(target=crash)
        thread.start()
        result = call(client)
        thread.join()
        self.assertTrue(self.dialer.is_suspect(self.upstream.address))
        self.assertTrue(result.is_error())
        self.assertIs(result.error.run, errors.ExecutionStatus.MAY_HAVE_RUN)


class CancelledCallTest(test_tunnels.TunnelFixture):
    def test_call_that_is_cancelled_in_its_body(self):
        """Guards against half an answer that counts as whole because its own
        VM has shut the connection down.
        """
        client = connections.UpstreamClient(
            self.upstream.address, clock.SystemClock(), wire.ATTEMPT_ID
        )
        self.addCleanup(client.close)
        canceller = connections.CallCanceller()

        def cancel():
            far = self.upstream.accept()
            far.recv(65_536)
            far.sendall(ANSWER)
            canceller.cancel()

        thread = threading.Thread(target=cancel)
        thread.start()
        result = call(client, canceller)
        thread.join()
        self.assertTrue(result.is_error())
        self.assertIs(result.error.run, errors.ExecutionStatus.MAY_HAVE_RUN)

"""Tests of how connections through another VM end."""

import itertools
import threading

from mulberryway import errors
from mulberryway.platform import wire
from mulberryway.relay import linger
from mulberryway.upstreams import connections
from tests import copying_server
from tests import processes
from tests import router_fixture
from tests import tcp_pair
from tests import test_copied_answers
from tests import test_tunnels

TIMEOUT_MS = 5_000
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n\r\n"
# More than all buffers on the way take.
LARGE = b"x" * 30_000_000
PIECE = b"y" * 65_536


class TunnelEndCase(test_tunnels.TunnelFixture):
    """Base class: a VM that has lost its path, and one that forwards."""

    def setUp(self):
        super().setUp()
        self.vm = self.add_vm()
        self.lose_path()

    def open(self):
        """Return both ends of a new tunnel, and the tunnel."""
        near, far = self.connect()
        self.assertTrue(self.vm.has_tunnel())
        (tunnel,) = self.vm.tunnels._tunnels
        return near, far, tunnel

    def fill(self, connection):
        """Write until nothing more fits anywhere on the way."""
        connection.setblocking(False)
        size = 0
        try:
            while size < len(LARGE):
                size += connection.send(PIECE)
        except BlockingIOError:
            return size
        return size

    def fill_up(self, connection, end):
        """Write until the tunnel itself holds bytes for its other end."""
        size = 0

        def is_pending():
            nonlocal size
            size += self.fill(connection)
            return bool(end.pending)

        self.assertTrue(processes.wait_until(is_pending))
        return size

    def read_all(self, connection):
        """Return what arrives, and whether a reset has ended it."""
        received = bytearray()
        try:
            while data := connection.recv(1_000_000):
                received += data
        except ConnectionResetError:
            return len(received), True
        return len(received), False


class ResetTest(TunnelEndCase):
    """Each failure must arrive as a reset, never as an ordinary end."""

    def test_reset_while_bytes_wait(self):
        """Guards against a cut answer that looks whole because its reader is
        slow: the reset comes while the tunnel holds bytes.
        """
        near, far, tunnel = self.open()
        self.fill_up(far, tunnel.owner)
        linger.reset_on_close(far)
        far.close()
        self.assertTrue(self.read_all(near)[1])

    def test_forwarder_that_ends_while_bytes_wait(self):
        near, far, tunnel = self.open()
        self.fill_up(far, tunnel.owner)
        self.vm.stop()
        self.assertTrue(self.read_all(near)[1])

    def test_end_while_bytes_wait(self):
        """Guards against an end that overtakes the last bytes."""
        near, far, tunnel = self.open()
        size = self.fill_up(far, tunnel.owner)
        far.close()
        self.assertEqual(self.read_all(near), (size, False))

    def test_reset_while_the_request_is_written(self):
        """Guards against a reset that the forwarding VM's write is told of."""
        near, far, tunnel = self.open()
        far.sendall(b"half")
        self.assertEqual(near.recv(10), b"half")
        self.fill_up(near, tunnel.upstream)
        linger.reset_on_close(far)
        far.close()
        near.settimeout(test_tunnels.TIMEOUT_S)
        self.assertTrue(self.read_all(near)[1])

    def test_owner_that_resets(self):
        """Guards against work for a VM that has gone."""
        near, far, tunnel = self.open()
        near.sendall(b"request")
        self.assertEqual(far.recv(100), b"request")
        self.fill_up(far, tunnel.owner)
        tcp_pair.reset(near)
        self.assertTrue(
            processes.wait_until(lambda: not self.vm.tunnels._tunnels)
        )


class CallTest(TunnelEndCase):
    """Calls of the client, whose answers end with their connection."""

    def call(self, answer, has_reset, body):
        client = connections.UpstreamClient(
            self.upstream.address, self.clock, wire.ATTEMPT_ID, self.dialer
        )
        self.addCleanup(client.close)

        def serve():
            far = self.upstream.accept()
            far.recv(100)
            far.sendall(answer)
            if has_reset:
                linger.reset_on_close(far)
            else:
                while len(far.recv(1_000_000)) == 1_000_000:
                    continue
            far.close()
            # The client asks whether its upstream still runs.
            while True:
                try:
                    self.upstream.accept().close()
                except OSError:
                    return

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        return client.call(
            "POST",
            "/",
            {"Attempt-Id": "a"},
            body,
            TIMEOUT_MS,
            errors.Step.SERVICE,
        )

    def test_whole_answer(self):
        result = self.call(HEAD + b"whole", False, b"b")
        self.assertEqual(result.ok.body, b"whole")

    def test_reset_answer(self):
        """Guards against half an answer that counts as whole because it came
        by way of another VM.
        """
        for size in (1, 1_000, 8_000_000):
            with self.subTest(size):
                result = self.call(HEAD + b"half", True, b"b" * size)
                self.assertTrue(result.is_error())
                self.assertIs(
                    result.error.run, errors.ExecutionStatus.MAY_HAVE_RUN
                )


class BothDirectionsTest(TunnelEndCase):
    """Both ends send more than the other one reads at the time."""

    def test_bytes_wait_in_both_directions(self):
        """Guards against a direction that waits for the other one, and bytes
        lost when both go on.
        """
        near, far, tunnel = self.open()
        sizes = [0, 0]

        def is_pending():
            sizes[0] += self.fill(near)
            sizes[1] += self.fill(far)
            return tunnel.owner.pending and tunnel.upstream.pending

        self.assertTrue(processes.wait_until(is_pending))
        for connection in (near, far):
            connection.settimeout(test_tunnels.TIMEOUT_S)
        results = {}

        def read(name, connection, size):
            left = size
            while left > 0:
                left -= len(connection.recv(1_000_000))
            results[name] = left

        threads = [
            threading.Thread(target=read, args=arguments)
            for arguments in (
                ("near", near, sizes[1]),
                ("far", far, sizes[0]),
            )
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(results, {"near": 0, "far": 0})

    def test_answer_before_the_request_is_read(self):
        """Guards against an early answer that waits for its request."""
        near, far, tunnel = self.open()
        self.fill_up(near, tunnel.upstream)
        far.sendall(b"early")
        near.settimeout(test_tunnels.TIMEOUT_S)
        self.assertEqual(near.recv(10), b"early")


class CopyTest(test_tunnels.TunnelFixture):
    """Servers that answer twice, by way of another VM."""

    def test_copies(self):
        """Guards against the copy of an answer that is read as the next one
        because it was still on its way when the next request was sent.
        """
        vm = self.add_vm()
        for case in itertools.product(
            copying_server.Moment, copying_server.Shape, (200, 503)
        ):
            for next_id in ("b", "a", None):
                with self.subTest(f"{case} {next_id}"):
                    self.play(vm, case, next_id)

    def play(self, vm, case, next_id):
        server = copying_server.CopyingServer(*case)
        self.addCleanup(server.close)
        port = int(server.address.rpartition(":")[2])
        row = router_fixture.make_upstream("service", port)
        self.source.change(router_fixture.make_tables(services=[row]))
        for monitor in (self.monitor, vm.monitor):
            monitor.update_tables(self.source.get_tables())
        self.lose_path(server.address)
        opened = vm.tunnels._outcomes["open"]
        client = test_copied_answers.make_client(server.address)
        client._dialer = self.dialer
        client.reset_pool()
        first = test_copied_answers.call(client, "/first", "a")
        self.assertEqual(first.ok.body, b"/first")
        second = test_copied_answers.call(client, "/next", next_id)
        if second.is_ok():
            self.assertEqual(
                (second.ok.status, second.ok.body), (200, b"/next")
            )
        self.assertGreater(vm.tunnels._outcomes["open"], opened)
        client.close()

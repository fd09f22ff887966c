"""Calls between peers, and what strangers and broken connections do."""

import socket
import threading
import unittest

from mulberryway import clock
from mulberryway import errors
from mulberryway import peers
from mulberryway.peers import channel
from mulberryway.peers.gen.probe import Probe

SECRET = "fleet secret"
GUARD_MS = 10_000


class Echo(Probe.Iface):
    def __init__(self):
        self.seen = []
        self.go = threading.Event()
        self.go.set()

    def echo(self, payload):
        self.seen.append(payload)
        self.go.wait(GUARD_MS / 1000)
        if payload == b"fail":
            raise ValueError("broken handler")
        return payload


class Wire:
    """A proxy that can hold answers back, and keeps what went by."""

    def __init__(self, port):
        self.port = port
        self.recorded = []
        self.is_silent = False
        self.connections = 0
        self.sockets = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            far = socket.create_connection(("127.0.0.1", self.port))
            self.sockets += [near, far]
            for ends in ((near, far, True), (far, near, False)):
                threading.Thread(
                    target=self.copy, args=(*ends, self.connections)
                ).start()

    def copy(self, source, sink, is_request, number):
        while True:
            try:
                data = source.recv(65_536)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                self.recorded.append((is_request, data))
                if self.is_silent and number == 1:
                    continue
                sink.sendall(data)
            except OSError:
                return

    def close(self):
        for one in [self.listener, *self.sockets]:
            one.close()


class PeersTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.SystemClock()
        self.echo = Echo()
        self.server = peers.PeerServer(
            "127.0.0.1",
            0,
            SECRET,
            {"Probe": Probe.Processor(self.echo)},
            self.clock,
        )
        self.server.start()
        self.addCleanup(self.server.stop)
        self.client = peers.PeerClient(SECRET, self.clock, GUARD_MS)
        self.addCleanup(self.client.close)
        self.address = f"127.0.0.1:{self.server.port}"

    def call(self, payload, address=None, **options):
        return self.client.call(
            address or self.address, Probe.Client, "echo", payload, **options
        )

    def make_wire(self):
        wire = Wire(self.server.port)
        self.addCleanup(wire.close)
        return wire

    def test_calls_reuse_a_connection_and_are_counted(self):
        wire = self.make_wire()
        for number in range(3):
            payload = bytes([number]) * 100_000
            self.assertEqual(self.call(payload, wire.address).ok, payload)
        self.assertEqual(wire.connections, 1)
        counts = {
            (one.kind, one.is_sent): one
            for one in self.client.traffic.get_counts()
        }
        self.assertEqual(counts[("Probe:echo", True)].messages, 3)
        self.assertGreater(
            counts[("Probe:echo", False)].payload_bytes, 300_000
        )

    def test_a_client_with_another_secret_gets_only_the_nonce(self):
        """Somebody on the network calls a VM without the fleet's secret.

        Were it answered, it could read the tables and borrow allowances.
        """
        stranger = peers.PeerClient("guess", self.clock, GUARD_MS)
        result = stranger.call(self.address, Probe.Client, "echo", b"x")
        self.assertIs(result.error.code, errors.Code.PEER_UNREACHABLE)
        self.assertIs(result.error.run, errors.ExecutionStatus.NOT_RUN)
        with socket.create_connection(("127.0.0.1", self.server.port)) as raw:
            raw.sendall(b"\0" * channel.HANDSHAKE_BYTES)
            received = b""
            while part := raw.recv(1_000):
                received += part
        self.assertEqual(len(received), channel.NONCE_BYTES)
        self.assertEqual(self.echo.seen, [])

    def test_a_server_with_another_secret_gets_no_request(self):
        """A process that took over a VM's address answers in its place.

        The request, which may hold account names, must not reach it.
        """
        other = peers.PeerClient("another", self.clock, GUARD_MS)
        wire = self.make_wire()
        other.call(wire.address, Probe.Client, "echo", b"private words")
        sent = b"".join(data for is_request, data in wire.recorded)
        self.assertNotIn(b"private words", sent)

    def test_replayed_bytes_are_refused(self):
        """Somebody records a connection and sends the same bytes again.

        A replayed order to return or lend tokens would count twice.
        """
        wire = self.make_wire()
        self.call(b"once", wire.address)
        recorded = b"".join(
            data for is_request, data in wire.recorded if is_request
        )
        with socket.create_connection(("127.0.0.1", self.server.port)) as raw:
            raw.sendall(recorded)
            received = b""
            try:
                while part := raw.recv(1_000):
                    received += part
            except ConnectionResetError:
                pass
        self.assertEqual(len(received), channel.NONCE_BYTES)
        self.assertEqual(self.echo.seen, [b"once"])

    def test_frames_cannot_be_reflected_or_repeated(self):
        """A frame is sent back to its sender, or twice on one connection."""
        left, right = socket.socketpair()
        self.addCleanup(left.close)
        self.addCleanup(right.close)
        limit = clock.Deadline(self.clock.now_ms() + GUARD_MS)
        key = b"k" * 32
        sender = channel.Channel(left, key, False, self.clock)
        same_way = channel.Channel(right, key, False, self.clock)
        sender.send(b"x", limit)
        with self.assertRaises(channel.ChannelError):
            same_way.receive(limit)
        receiver = channel.Channel(right, key, True, self.clock)
        sender = channel.Channel(left, key, False, self.clock)
        sender.send(b"x", limit)
        self.assertEqual(receiver.receive(limit), b"x")
        again = channel.Channel(left, key, False, self.clock)
        again.send(b"x", limit)
        with self.assertRaises(channel.ChannelError):
            receiver.receive(limit)

    def test_a_silent_connection_is_replaced(self):
        """Something between two VMs forgets a connection without closing it.

        New connections work; each call over the old one would wait in vain.
        """
        wire = self.make_wire()
        self.assertTrue(self.call(b"1", wire.address).is_ok())
        wire.is_silent = True
        result = self.call(
            b"2", wire.address, timeout_ms=2_000, is_idempotent=True
        )
        self.assertEqual(result.ok, b"2")
        self.assertEqual(wire.connections, 2)

    def test_a_late_answer_never_reaches_the_next_call(self):
        """A call times out, its answer comes later, and a new call starts.

        On a reused connection the new call would get the old answer.
        """
        self.echo.go.clear()
        late = self.call(b"old", timeout_ms=100)
        self.assertIs(late.error.code, errors.Code.PEER_UNREACHABLE)
        self.assertIs(late.error.run, errors.ExecutionStatus.MAY_HAVE_RUN)
        self.echo.go.set()
        self.assertEqual(self.call(b"new").ok, b"new")

    def test_nobody_listens(self):
        """The peer's process is dead; a call fails as surely not run."""
        self.server.stop()
        result = self.call(b"x")
        self.assertIs(result.error.code, errors.Code.PEER_UNREACHABLE)
        self.assertIs(result.error.run, errors.ExecutionStatus.NOT_RUN)
        self.assertEqual(result.error.peer, self.address)

    def test_a_broken_handler_is_reported(self):
        """A peer's handler raises; the caller hears of it at once."""
        result = self.call(b"fail")
        self.assertIs(result.error.code, errors.Code.PEER_REFUSED)

    def test_a_thread_that_cannot_be_started(self):
        """Guards a VM against answering no peer for the rest of its life
        because its machine had no thread to spare for one call.
        """
        server = self.server
        submit = server._pool.submit

        def refuse(*arguments):
            server._pool.submit = submit
            raise RuntimeError("can't start new thread")

        server._pool.submit = refuse
        with self.assertLogs("mulberryway.peers.server"):
            self.call(b"first")
        self.assertEqual(self.call(b"second").ok, b"second")

    def test_many_connections_at_once(self):
        """Thirty calls wait in a VM with eight threads; all are answered."""
        results = []
        clients = [
            peers.PeerClient(SECRET, self.clock, GUARD_MS) for _ in range(30)
        ]
        threads = [
            threading.Thread(
                target=lambda client=client: results.append(
                    client.call(self.address, Probe.Client, "echo", b"x")
                )
            )
            for client in clients
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(GUARD_MS / 1000)
        self.assertEqual([one.is_ok() for one in results], [True] * 30)
        for client in clients:
            client.close()

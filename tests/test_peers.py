"""Tests of calls between peers, of authentication and broken connections."""

import socket
import threading
import unittest

from mulberryway import clock
from mulberryway import errors
from mulberryway import peers
from mulberryway.peers import channel
from mulberryway.peers.gen.probe import Probe

SECRET = "fleet secret"
TIMEOUT_MS = 10_000


class Echo(Probe.Iface):
    def __init__(self):
        self.seen = []
        self.handler_released = threading.Event()
        self.handler_released.set()

    def echo(self, payload):
        self.seen.append(payload)
        self.handler_released.wait(TIMEOUT_MS / 1000)
        if payload == b"fail":
            raise ValueError("broken handler")
        return payload


class RecordingProxy:
    """A recording proxy that can drop its first connection's data."""

    def __init__(self, port):
        self.port = port
        self.recorded = []
        self.drops_data = False
        self.connections = 0
        self.sockets = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client_socket, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            server_socket = socket.create_connection(("127.0.0.1", self.port))
            self.sockets += [client_socket, server_socket]
            for ends in (
                (client_socket, server_socket, True),
                (server_socket, client_socket, False),
            ):
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
                if self.drops_data and number == 1:
                    continue
                sink.sendall(data)
            except OSError:
                return

    def close(self):
        for item in [self.listener, *self.sockets]:
            item.close()


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
        self.client = peers.PeerClient(SECRET, self.clock, TIMEOUT_MS)
        self.addCleanup(self.client.close)
        self.address = f"127.0.0.1:{self.server.port}"

    def call(self, payload, address=None, **options):
        return self.client.call(
            address or self.address, Probe.Client, "echo", payload, **options
        )

    def make_proxy(self):
        proxy = RecordingProxy(self.server.port)
        self.addCleanup(proxy.close)
        return proxy

    def test_calls_reuse_a_connection_and_are_counted(self):
        proxy = self.make_proxy()
        for number in range(3):
            payload = bytes([number]) * 100_000
            self.assertEqual(self.call(payload, proxy.address).ok, payload)
        self.assertEqual(proxy.connections, 1)
        counts = {
            (item.kind, item.is_sent): item
            for item in self.client.traffic.get_counts()
        }
        self.assertEqual(counts[("Probe:echo", True)].messages, 3)
        self.assertGreater(
            counts[("Probe:echo", False)].payload_bytes, 300_000
        )

    def test_a_client_with_another_secret_gets_only_the_nonce(self):
        """A client without the fleet's secret calls a VM.

        If it were served, it could read the tables and borrow allowances.
        """
        unauthenticated = peers.PeerClient("guess", self.clock, TIMEOUT_MS)
        result = unauthenticated.call(self.address, Probe.Client, "echo", b"x")
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
        """A process without the secret has taken over a VM's address.

        It must not receive the request, which may contain account names.
        """
        other = peers.PeerClient("another", self.clock, TIMEOUT_MS)
        proxy = self.make_proxy()
        other.call(proxy.address, Probe.Client, "echo", b"private words")
        sent = b"".join(data for is_request, data in proxy.recorded)
        self.assertNotIn(b"private words", sent)

    def test_replayed_bytes_are_rejected(self):
        """A recorded connection is replayed to the server.

        A replayed request to return or lend tokens would count twice.
        """
        proxy = self.make_proxy()
        self.call(b"once", proxy.address)
        recorded = b"".join(
            data for is_request, data in proxy.recorded if is_request
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
        limit = clock.Deadline(self.clock.now_ms() + TIMEOUT_MS)
        key = b"k" * 32
        sender = channel.Channel(left, key, False, self.clock)
        same_direction = channel.Channel(right, key, False, self.clock)
        sender.send(b"x", limit)
        with self.assertRaises(channel.ChannelError):
            same_direction.receive(limit)
        receiver = channel.Channel(right, key, True, self.clock)
        sender = channel.Channel(left, key, False, self.clock)
        sender.send(b"x", limit)
        self.assertEqual(receiver.receive(limit), b"x")
        repeated = channel.Channel(left, key, False, self.clock)
        repeated.send(b"x", limit)
        with self.assertRaises(channel.ChannelError):
            receiver.receive(limit)

    def test_a_half_open_connection_is_replaced(self):
        """A pooled connection is half-open, while new connections work.

        Without a retry each call over the old connection would time out.
        """
        proxy = self.make_proxy()
        self.assertTrue(self.call(b"1", proxy.address).is_ok())
        proxy.drops_data = True
        result = self.call(
            b"2", proxy.address, timeout_ms=2_000, is_idempotent=True
        )
        self.assertEqual(result.ok, b"2")
        self.assertEqual(proxy.connections, 2)

    def test_a_late_answer_never_reaches_the_next_call(self):
        """A call times out, and its response arrives before the next call.

        On a reused connection the next call would get the old response.
        """
        self.echo.handler_released.clear()
        late = self.call(b"old", timeout_ms=100)
        self.assertIs(late.error.code, errors.Code.PEER_UNREACHABLE)
        self.assertIs(late.error.run, errors.ExecutionStatus.MAY_HAVE_RUN)
        self.echo.handler_released.set()
        self.assertEqual(self.call(b"new").ok, b"new")

    def test_stopped_peer_is_not_run(self):
        """The peer's process has stopped; a call fails as not run."""
        self.server.stop()
        result = self.call(b"x")
        self.assertIs(result.error.code, errors.Code.PEER_UNREACHABLE)
        self.assertIs(result.error.run, errors.ExecutionStatus.NOT_RUN)
        self.assertEqual(result.error.peer, self.address)

    def test_a_broken_handler_is_reported(self):
        """A peer's handler raises; the caller gets the error at once."""
        result = self.call(b"fail")
        self.assertIs(result.error.code, errors.Code.PEER_REFUSED)

    def test_a_thread_that_cannot_be_started(self):
        """The system cannot start a thread for one call.

        The error must not end the selector thread, after which no peer would
        be served any more.
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
        """Thirty concurrent calls to a VM with eight threads all succeed."""
        results = []
        clients = [
            peers.PeerClient(SECRET, self.clock, TIMEOUT_MS) for _ in range(30)
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
            thread.join(TIMEOUT_MS / 1000)
        self.assertEqual([item.is_ok() for item in results], [True] * 30)
        for client in clients:
            client.close()

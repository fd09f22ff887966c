"""Handles other VMs' calls with a bounded number of threads."""

import abc
import collections
import concurrent.futures
import contextlib
import logging
import selectors
import socket
import threading
import typing

from thrift import Thrift
from thrift.transport import TTransport

from mulberryway import clock
from mulberryway.peers import channel
from mulberryway.peers import protocol
from mulberryway.peers import traffic

__all__ = ["PeerServer", "Takeover"]

LOG = logging.getLogger(__name__)

WORKER_THREADS = 8
BACKLOG = 512
# Each VM may open a few connections to each other VM.
MAX_CONNECTIONS = 2_048
# An unauthenticated connection counts towards this limit for at most
# ``HANDSHAKE_TIMEOUT_MS``.
MAX_UNAUTHENTICATED = 128
HANDSHAKE_TIMEOUT_MS = 2_000
FRAME_TIMEOUT_MS = 2_000
IDLE_TIMEOUT_MS = 60_000
SWEEP_MS = 500


class Takeover(abc.ABC):
    """A service whose calls take over their connection."""

    @abc.abstractmethod
    def take(
        self, reader: protocol.MultiplexedProtocol, peer: channel.Channel
    ) -> None:
        """Handle a call without waiting for anything.

        :param reader: the call, positioned after its service's name
        :param peer: the caller's channel, which the service has to close
        """


class _PendingConnection:
    """A connection that has not completed the handshake."""

    __slots__ = ("connection", "nonce", "handshake", "until_ms")

    def __init__(self, connection: socket.socket, until_ms: int) -> None:
        self.connection = connection
        self.nonce = channel.make_nonce()
        self.handshake = b""
        self.until_ms = until_ms


class PeerServer:
    """Serves calls of other VMs; idle connections occupy no thread.

    :param address: the IP address to listen on
    :param port: the port; 0 for a free one
    :param secret: the fleet's secret
    :param processors: generated processors by service name
    :param clock_: the clock
    :param takeovers: services that take over their connections, by name
    """

    def __init__(
        self,
        address: str,
        port: int,
        secret: str,
        processors: dict[str, Thrift.TProcessor],
        clock_: clock.Clock,
        takeovers: dict[str, Takeover] | None = None,
    ) -> None:
        self.traffic = traffic.Traffic()
        self._takeovers = takeovers or {}
        self._secret = secret
        self._processors = processors
        self._clock = clock_
        self._listener = socket.create_server((address, port), backlog=BACKLOG)
        self._listener.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._wake_writer, self._wake_reader = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._returned: collections.deque[channel.Channel] = (
            collections.deque()
        )
        self._busy_count = 0
        self._pending: set[_PendingConnection] = set()
        self._is_stopping = False
        self._pool = concurrent.futures.ThreadPoolExecutor(
            WORKER_THREADS, "peer"
        )
        self._thread = threading.Thread(
            target=self._run, name="peer-server", daemon=True
        )

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._listener.getsockname()[1]

    def start(self) -> None:
        """Start accepting connections."""
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._thread.start()

    def stop(self, wait_ms: int = FRAME_TIMEOUT_MS) -> None:
        """Complete the running calls, then close all connections.

        :param wait_ms: maximum wait for the running calls, and for the
            accepting thread before, in milliseconds
        """
        self._is_stopping = True
        self._wake()
        if self._thread.is_alive():
            self._thread.join(wait_ms / 1000)
        # A running call may wait for another VM that does not answer.
        calls = threading.Thread(
            target=self._pool.shutdown,
            kwargs={"cancel_futures": True},
            name="peer-server-stop",
            daemon=True,
        )
        calls.start()
        calls.join(wait_ms / 1000)
        keys = list((self._selector.get_map() or {}).values())
        for key in keys:
            _close(key.fileobj)
        for peer_channel in self._returned:
            peer_channel.close()
        self._selector.close()
        self._wake_writer.close()

    def _run(self) -> None:
        last_sweep_ms = self._clock.now_ms()
        while not self._is_stopping:
            for key, _ in self._selector.select(SWEEP_MS / 1000):
                if self._is_stopping:
                    # On a busy machine ``stop`` may have timed out waiting for
                    # this thread; the pool accepts no more calls then.
                    return
                self._serve_ready(key)
            now_ms = self._clock.now_ms()
            if now_ms - last_sweep_ms >= SWEEP_MS:
                last_sweep_ms = now_ms
                self._sweep(now_ms)

    def _serve_ready(self, key: selectors.SelectorKey) -> None:
        if key.fileobj is self._listener:
            self._accept()
        elif key.fileobj is self._wake_reader:
            self._register_returned()
        elif isinstance(key.data, _PendingConnection):
            self._read_handshake(key.data)
        else:
            self._selector.unregister(key.fileobj)
            self._dispatch(key.data)

    def _dispatch(self, peer_channel: channel.Channel) -> None:
        try:
            self._pool.submit(self._handle_call, peer_channel)
        except RuntimeError as failure:
            # The system cannot start a thread, or the pool was shut down. The
            # peer retries. If the exception ended the selector thread, no peer
            # would be served any more.
            LOG.warning("cannot dispatch a peer's call: %s", failure)
            peer_channel.close()
            return
        self._busy_count += 1

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            connection, _ = self._listener.accept()
            open_count = len(self._selector.get_map()) + self._busy_count
            is_full = len(self._pending) >= MAX_UNAUTHENTICATED
            if is_full or open_count >= MAX_CONNECTIONS:
                # Closing at once lets the peer retry, which would otherwise
                # wait for its whole timeout.
                connection.close()
                return
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pending = _PendingConnection(
                connection, self._clock.now_ms() + HANDSHAKE_TIMEOUT_MS
            )
            self._pending.add(pending)
            self._selector.register(connection, selectors.EVENT_READ, pending)
            connection.send(pending.nonce)

    def _read_handshake(self, pending: _PendingConnection) -> None:
        missing = channel.HANDSHAKE_BYTES - len(pending.handshake)
        try:
            part = pending.connection.recv(missing)
        except BlockingIOError:
            return
        except OSError:
            part = b""
        pending.handshake += part
        if not part:
            self._drop_pending(pending)
        elif len(pending.handshake) == channel.HANDSHAKE_BYTES:
            self._authenticate(pending)

    def _authenticate(self, pending: _PendingConnection) -> None:
        try:
            peer_channel = channel.accept_handshake(
                pending.connection,
                self._secret,
                pending.nonce,
                pending.handshake,
                self._clock,
            )
        except channel.ChannelError as error:
            LOG.warning("a peer connection was rejected: %s", error)
            self._drop_pending(pending)
            return
        self._pending.discard(pending)
        self._selector.modify(
            peer_channel.connection, selectors.EVENT_READ, peer_channel
        )

    def _drop_pending(self, pending: _PendingConnection) -> None:
        self._pending.discard(pending)
        self._selector.unregister(pending.connection)
        pending.connection.close()

    def _register_returned(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_reader.recv(4096)
        while self._returned:
            peer_channel = self._returned.popleft()
            self._busy_count -= 1
            if peer_channel.connection.fileno() >= 0:
                peer_channel.connection.setblocking(False)
                self._selector.register(
                    peer_channel.connection, selectors.EVENT_READ, peer_channel
                )

    def _sweep(self, now_ms: int) -> None:
        expired = [
            connection
            for connection in self._pending
            if connection.until_ms <= now_ms
        ]
        for pending in expired:
            self._drop_pending(pending)
        idle = [
            key.data
            for key in self._selector.get_map().values()
            if isinstance(key.data, channel.Channel)
            and now_ms - key.data.used_ms >= IDLE_TIMEOUT_MS
        ]
        for peer_channel in idle:
            self._selector.unregister(peer_channel.connection)
            peer_channel.close()

    def _wake(self) -> None:
        with contextlib.suppress(OSError):
            self._wake_writer.send(b"\0")

    def _handle_call(self, peer_channel: channel.Channel) -> None:
        try:
            self._handle_frame(peer_channel)
        except channel.ChannelError:
            peer_channel.close()
        except Exception:
            LOG.exception("a peer's call failed")
            peer_channel.close()
        self._returned.append(peer_channel)
        self._wake()

    def _handle_frame(self, peer_channel: channel.Channel) -> None:
        request = peer_channel.receive(self._make_deadline())
        reader = protocol.MultiplexedProtocol(
            TTransport.TMemoryBuffer(request)
        )
        buffer = TTransport.TMemoryBuffer()
        service = reader.peek_service()
        takeover = self._takeovers.get(service)
        if takeover is not None:
            # The pool's threads are free again at once.
            takeover.take(reader, peer_channel.detach())
            return
        processor = self._processors.get(service)
        if processor is None:
            # Closing the connection lets the caller fail before its timeout.
            raise channel.ChannelError(f"no service {service!r}")
        processor.process(reader, protocol.MultiplexedProtocol(buffer))
        kind = service + protocol.SEPARATOR + reader.get_peeked_method()
        size = len(request) + channel.OVERHEAD_BYTES
        self.traffic.count(kind, False, size)
        sent = peer_channel.send(buffer.getvalue(), self._make_deadline())
        self.traffic.count(kind, True, sent)

    def _make_deadline(self) -> clock.Deadline:
        return clock.Deadline(self._clock.now_ms() + FRAME_TIMEOUT_MS)


def _close(item: typing.Any) -> None:
    with contextlib.suppress(OSError):
        item.close()

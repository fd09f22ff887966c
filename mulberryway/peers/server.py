"""Answers other VMs' calls with a bounded number of threads."""

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

__all__ = ["PeerServer"]

LOG = logging.getLogger(__name__)

WORKER_THREADS = 8
BACKLOG = 512
# Each VM may hold a few connections to each other VM.
MOST_CONNECTIONS = 2_048
# Strangers hold one of these places for at most the hello's time.
MAX_UNAUTHENTICATED = 128
HANDSHAKE_TIMEOUT_MS = 2_000
FRAME_TIMEOUT_MS = 2_000
IDLE_TIMEOUT_MS = 60_000
SWEEP_MS = 500


class _Stranger:
    """A connection whose other end has not proved itself yet."""

    __slots__ = ("connection", "nonce", "hello", "until_ms")

    def __init__(self, connection: socket.socket, until_ms: int) -> None:
        self.connection = connection
        self.nonce = channel.make_nonce()
        self.hello = b""
        self.until_ms = until_ms


class PeerServer:
    """Listens for peers; idle connections cost no thread.

    :param address: the IP number to listen on
    :param port: the port; 0 for a free one
    :param secret: the fleet's secret
    :param processors: generated processors by the service's name
    :param clock_: where the time comes from
    """

    def __init__(
        self,
        address: str,
        port: int,
        secret: str,
        processors: dict[str, Thrift.TProcessor],
        clock_: clock.Clock,
    ) -> None:
        self.traffic = traffic.Traffic()
        self._secret = secret
        self._processors = processors
        self._clock = clock_
        self._listener = socket.create_server((address, port), backlog=BACKLOG)
        self._listener.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._waker, self._wakened = socket.socketpair()
        self._wakened.setblocking(False)
        self._returned: collections.deque[channel.Channel] = (
            collections.deque()
        )
        self._busy = 0
        self._strangers: set[_Stranger] = set()
        self._is_stopping = False
        self._pool = concurrent.futures.ThreadPoolExecutor(
            WORKER_THREADS, "peer"
        )
        self._thread = threading.Thread(
            target=self._run, name="peer-server", daemon=True
        )

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return self._listener.getsockname()[1]

    def start(self) -> None:
        """Begin to answer."""
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self._wakened, selectors.EVENT_READ)
        self._thread.start()

    def stop(self) -> None:
        """Finish the calls that run, then close all connections."""
        self._is_stopping = True
        self._wake()
        if self._thread.is_alive():
            self._thread.join(FRAME_TIMEOUT_MS / 1000)
        self._pool.shutdown(cancel_futures=True)
        keys = list((self._selector.get_map() or {}).values())
        for key in keys:
            _close(key.fileobj)
        for one in self._returned:
            one.close()
        self._selector.close()
        self._waker.close()

    def _run(self) -> None:
        swept_ms = self._clock.now_ms()
        while not self._is_stopping:
            for key, _ in self._selector.select(SWEEP_MS / 1000):
                if self._is_stopping:
                    # On a busy machine the stop may have waited in vain for
                    # this thread; nothing can be handed out any more.
                    return
                self._serve_ready(key)
            now_ms = self._clock.now_ms()
            if now_ms - swept_ms >= SWEEP_MS:
                swept_ms = now_ms
                self._sweep(now_ms)

    def _serve_ready(self, key: selectors.SelectorKey) -> None:
        if key.fileobj is self._listener:
            self._accept()
        elif key.fileobj is self._wakened:
            self._take_returned()
        elif isinstance(key.data, _Stranger):
            self._read_hello(key.data)
        else:
            self._selector.unregister(key.fileobj)
            self._hand_out(key.data)

    def _hand_out(self, one: channel.Channel) -> None:
        try:
            self._pool.submit(self._answer, one)
        except RuntimeError as failure:
            # The machine has no thread to spare, or the pool has just ended.
            # The peer asks again; without this nobody would be answered.
            LOG.warning("no thread for a peer's call: %s", failure)
            one.close()
            return
        self._busy += 1

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            connection, _ = self._listener.accept()
            known = len(self._selector.get_map()) + self._busy
            crowded = len(self._strangers) >= MAX_UNAUTHENTICATED
            if crowded or known >= MOST_CONNECTIONS:
                # Closing at once tells a peer to try again, where silence
                # would cost it its whole timeout.
                connection.close()
                return
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stranger = _Stranger(
                connection, self._clock.now_ms() + HANDSHAKE_TIMEOUT_MS
            )
            self._strangers.add(stranger)
            self._selector.register(connection, selectors.EVENT_READ, stranger)
            connection.send(stranger.nonce)

    def _read_hello(self, stranger: _Stranger) -> None:
        missing = channel.HANDSHAKE_BYTES - len(stranger.hello)
        try:
            part = stranger.connection.recv(missing)
        except BlockingIOError:
            return
        except OSError:
            part = b""
        stranger.hello += part
        if not part:
            self._forget(stranger)
        elif len(stranger.hello) == channel.HANDSHAKE_BYTES:
            self._admit(stranger)

    def _admit(self, stranger: _Stranger) -> None:
        try:
            one = channel.accept_handshake(
                stranger.connection,
                self._secret,
                stranger.nonce,
                stranger.hello,
                self._clock,
            )
        except channel.ChannelError as error:
            LOG.warning("a peer connection was refused: %s", error)
            self._forget(stranger)
            return
        self._strangers.discard(stranger)
        self._selector.modify(one.connection, selectors.EVENT_READ, one)

    def _forget(self, stranger: _Stranger) -> None:
        self._strangers.discard(stranger)
        self._selector.unregister(stranger.connection)
        stranger.connection.close()

    def _take_returned(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wakened.recv(4096)
        while self._returned:
            one = self._returned.popleft()
            self._busy -= 1
            if one.connection.fileno() >= 0:
                one.connection.setblocking(False)
                self._selector.register(
                    one.connection, selectors.EVENT_READ, one
                )

    def _sweep(self, now_ms: int) -> None:
        late = [one for one in self._strangers if one.until_ms <= now_ms]
        for stranger in late:
            self._forget(stranger)
        idle = [
            key.data
            for key in self._selector.get_map().values()
            if isinstance(key.data, channel.Channel)
            and now_ms - key.data.used_ms >= IDLE_TIMEOUT_MS
        ]
        for one in idle:
            self._selector.unregister(one.connection)
            one.close()

    def _wake(self) -> None:
        with contextlib.suppress(OSError):
            self._waker.send(b"\0")

    def _answer(self, one: channel.Channel) -> None:
        try:
            self._answer_frame(one)
        except channel.ChannelError:
            one.close()
        except Exception:
            LOG.exception("a peer's call failed")
            one.close()
        self._returned.append(one)
        self._wake()

    def _answer_frame(self, one: channel.Channel) -> None:
        request = one.receive(self._limit())
        reader = protocol.MultiplexedProtocol(
            TTransport.TMemoryBuffer(request)
        )
        buffer = TTransport.TMemoryBuffer()
        service = reader.peek_service()
        processor = self._processors.get(service)
        if processor is None:
            # Without an answer the caller would wait for its whole timeout.
            raise channel.ChannelError(f"no service {service!r}")
        processor.process(reader, protocol.MultiplexedProtocol(buffer))
        kind = service + protocol.SEPARATOR + reader.get_peeked_method()
        size = len(request) + channel.OVERHEAD_BYTES
        self.traffic.count(kind, False, size)
        sent = one.send(buffer.getvalue(), self._limit())
        self.traffic.count(kind, True, sent)

    def _limit(self) -> clock.Deadline:
        return clock.Deadline(self._clock.now_ms() + FRAME_TIMEOUT_MS)


def _close(item: typing.Any) -> None:
    with contextlib.suppress(OSError):
        item.close()

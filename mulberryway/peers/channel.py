"""Frames between two peers that prove that they know the fleet's secret.

The server sends a random nonce, the client answers with its own nonce and a
proof, and the server proves itself in turn.  From then on each frame carries
an HMAC-SHA256 over direction, counter and payload under a key made from the
secret and both nonces: a frame that is forged, replayed, reflected, or moved
to another connection does not verify.  Nothing is encrypted.
"""

import enum
import hashlib
import hmac
import secrets
import socket
import struct

from mulberryway import clock

__all__ = [
    "Channel",
    "ChannelError",
    "HANDSHAKE_BYTES",
    "NONCE_BYTES",
    "OVERHEAD_BYTES",
    "accept_handshake",
    "connect",
    "make_nonce",
]

NONCE_BYTES = 16
MAC_BYTES = 16
HANDSHAKE_BYTES = NONCE_BYTES + MAC_BYTES
LENGTH = struct.Struct(">I")
COUNTER = struct.Struct(">Q")
OVERHEAD_BYTES = LENGTH.size + MAC_BYTES
# The largest message carries one of the platform's values of a megabyte.
MOST_FRAME_BYTES = 2 << 20
CONTEXT = b"mulberryway peers 1"


class _Direction(enum.Enum):
    TO_SERVER = b"c"
    TO_CLIENT = b"s"


class ChannelError(Exception):
    """The other end has gone, is silent, or does not know the secret.

    :param message: one sentence
    :param was_sent: whether any byte of a request may have arrived
    """

    def __init__(self, message: str, was_sent: bool = False) -> None:
        super().__init__(message)
        self.was_sent = was_sent


class Channel:
    """One authenticated connection; used by one thread at a time.

    :param connection: the connected socket
    :param key: the connection's key
    :param is_server: which end this is
    :param clock_: where the time comes from
    """

    def __init__(
        self,
        connection: socket.socket,
        key: bytes,
        is_server: bool,
        clock_: clock.Clock,
    ) -> None:
        self.connection = connection
        self.opened_ms = clock_.now_ms()
        self.used_ms = self.opened_ms
        self._key = key
        self._clock = clock_
        self._sent = 0
        self._received = 0
        ways = (_Direction.TO_CLIENT, _Direction.TO_SERVER)
        self._out, self._in = ways if is_server else reversed(ways)

    def send(self, payload: bytes, deadline: clock.Deadline) -> int:
        """Send one frame.

        :param payload: its content
        :param deadline: when to give up
        :returns: bytes that were sent
        :raises ChannelError: if the other end does not take it in time
        """
        if len(payload) > MOST_FRAME_BYTES:
            raise ChannelError("the message is too large")
        mac = self._sign(self._out, self._sent, payload)
        self._sent += 1
        frame = LENGTH.pack(len(payload)) + payload + mac
        try:
            self._limit(deadline)
            self.connection.sendall(frame)
        except OSError as error:
            raise ChannelError(f"cannot send: {error}", True) from error
        self.used_ms = self._clock.now_ms()
        return len(frame)

    def receive(self, deadline: clock.Deadline) -> bytes:
        """Receive and verify one frame.

        :param deadline: when to give up
        :returns: its content
        :raises ChannelError: if it is late, cut, or does not verify
        """
        (length,) = LENGTH.unpack(self._read(LENGTH.size, deadline))
        if length > MOST_FRAME_BYTES:
            raise ChannelError("the frame is too large", True)
        frame = self._read(length + MAC_BYTES, deadline)
        payload, mac = frame[:length], frame[length:]
        expected = self._sign(self._in, self._received, payload)
        if not hmac.compare_digest(mac, expected):
            raise ChannelError("the frame does not verify", True)
        self._received += 1
        self.used_ms = self._clock.now_ms()
        return payload

    def is_reusable(self) -> bool:
        """Tell whether nothing has arrived, not even the other end's close.

        A pooled connection that became readable was closed, or holds an
        answer that nobody waits for; reusing it would cross answers.
        """
        try:
            self.connection.setblocking(False)
            self.connection.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()

    def _sign(
        self, direction: _Direction, counter: int, payload: bytes
    ) -> bytes:
        head = direction.value + COUNTER.pack(counter)
        return _mac(self._key, head + payload)

    def _read(self, count: int, deadline: clock.Deadline) -> bytes:
        return _read_exactly(self.connection, count, deadline, self._clock)

    def _limit(self, deadline: clock.Deadline) -> None:
        _limit(self.connection, deadline, self._clock)


def make_nonce() -> bytes:
    """Return a new random nonce."""
    return secrets.token_bytes(NONCE_BYTES)


def connect(
    address: tuple[str, int],
    secret: str,
    deadline: clock.Deadline,
    clock_: clock.Clock,
) -> Channel:
    """Connect to a peer; both ends prove themselves.

    :param address: host and port
    :param secret: the fleet's secret
    :param deadline: when to give up
    :param clock_: where the time comes from
    :returns: the channel
    :raises ChannelError: if the peer is unreachable or a stranger
    """
    try:
        left_ms = deadline.left_ms(clock_.now_ms())
        connection = socket.create_connection(address, max(left_ms, 1) / 1000)
    except OSError as error:
        raise ChannelError(f"cannot connect: {error}") from error
    try:
        return _introduce(connection, secret, deadline, clock_)
    except OSError as error:
        connection.close()
        raise ChannelError(f"cannot connect: {error}") from error
    except ChannelError as error:
        connection.close()
        # No request was sent yet, whatever happened to the handshake.
        raise ChannelError(str(error)) from error


def _introduce(
    connection: socket.socket,
    secret: str,
    deadline: clock.Deadline,
    clock_: clock.Clock,
) -> Channel:
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    server_nonce = _read_exactly(connection, NONCE_BYTES, deadline, clock_)
    client_nonce = make_nonce()
    key = _derive(secret, server_nonce, client_nonce)
    connection.sendall(client_nonce + _mac(key, b"client"))
    proof = _read_exactly(connection, MAC_BYTES, deadline, clock_)
    if not hmac.compare_digest(proof, _mac(key, b"server")):
        raise ChannelError("the peer does not know the fleet's secret")
    return Channel(connection, key, False, clock_)


def accept_handshake(
    connection: socket.socket,
    secret: str,
    server_nonce: bytes,
    hello: bytes,
    clock_: clock.Clock,
) -> Channel:
    """Verify a client's proof and send the server's own.

    :param connection: the accepted socket
    :param secret: the fleet's secret
    :param server_nonce: the nonce that was sent on this connection
    :param hello: the client's nonce and proof
    :param clock_: where the time comes from
    :returns: the channel
    :raises ChannelError: if the client does not know the secret
    """
    client_nonce, proof = hello[:NONCE_BYTES], hello[NONCE_BYTES:]
    key = _derive(secret, server_nonce, client_nonce)
    if not hmac.compare_digest(proof, _mac(key, b"client")):
        raise ChannelError("the client does not know the fleet's secret")
    try:
        connection.sendall(_mac(key, b"server"))
    except OSError as error:
        raise ChannelError(f"cannot answer: {error}") from error
    return Channel(connection, key, True, clock_)


def _derive(secret: str, server_nonce: bytes, client_nonce: bytes) -> bytes:
    message = CONTEXT + server_nonce + client_nonce
    return hmac.digest(secret.encode(), message, hashlib.sha256)


def _mac(key: bytes, message: bytes) -> bytes:
    return hmac.digest(key, message, hashlib.sha256)[:MAC_BYTES]


def _limit(
    connection: socket.socket, deadline: clock.Deadline, clock_: clock.Clock
) -> None:
    left_ms = deadline.left_ms(clock_.now_ms())
    if left_ms == 0:
        raise TimeoutError("timed out")
    connection.settimeout(left_ms / 1000)


def _read_exactly(
    connection: socket.socket,
    count: int,
    deadline: clock.Deadline,
    clock_: clock.Clock,
) -> bytes:
    parts: list[bytes] = []
    while count > 0:
        try:
            _limit(connection, deadline, clock_)
            part = connection.recv(min(count, 1 << 16))
        except OSError as error:
            raise ChannelError(f"no answer: {error}", True) from error
        if not part:
            raise ChannelError("the other end has closed", True)
        parts.append(part)
        count -= len(part)
    return b"".join(parts)

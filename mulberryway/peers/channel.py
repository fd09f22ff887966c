"""Connections between two peers that authenticate with the fleet's secret.

The server sends a random nonce, the client responds with its own nonce and an
authentication tag, and the server sends its own tag. From then on each frame
carries an HMAC-SHA256 over direction, counter and payload, with a key derived
from the secret and both nonces. A frame that is forged, replayed, reflected,
or moved to another connection fails verification. Nothing is encrypted.
"""

import copy
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
# The largest message carries one value of the platform, of up to a megabyte.
MAX_FRAME_BYTES = 2 << 20
CONTEXT = b"mulberryway peers 1"


class _Direction(enum.Enum):
    TO_SERVER = b"c"
    TO_CLIENT = b"s"


class ChannelError(Exception):
    """The peer closed the connection, timed out, or failed authentication.

    :param message: the error message
    :param was_sent: whether any byte of a request may have arrived
    """

    def __init__(self, message: str, was_sent: bool = False) -> None:
        super().__init__(message)
        self.was_sent = was_sent


class Channel:
    """One authenticated connection; used by one thread at a time.

    :param connection: the connected socket
    :param key: the connection's key
    :param is_server: whether this is the server's end
    :param clock_: the clock
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
        self._sent_frames = 0
        self._received_frames = 0
        directions = (_Direction.TO_CLIENT, _Direction.TO_SERVER)
        self._send_direction, self._receive_direction = (
            directions if is_server else reversed(directions)
        )

    def send(self, payload: bytes, deadline: clock.Deadline) -> int:
        """Send one frame.

        :param payload: its content
        :param deadline: when to give up
        :returns: the number of bytes sent
        :raises ChannelError: if it cannot be sent before the deadline
        """
        if len(payload) > MAX_FRAME_BYTES:
            raise ChannelError("the message exceeds the size limit")
        mac = self._sign(self._send_direction, self._sent_frames, payload)
        self._sent_frames += 1
        frame = LENGTH.pack(len(payload)) + payload + mac
        try:
            self._set_timeout(deadline)
            self.connection.sendall(frame)
        except OSError as error:
            raise ChannelError(f"cannot send: {error}", True) from error
        self.used_ms = self._clock.now_ms()
        return len(frame)

    def receive(self, deadline: clock.Deadline) -> bytes:
        """Receive and verify one frame.

        :param deadline: when to give up
        :returns: its content
        :raises ChannelError: if it is late or truncated, or fails verification
        """
        (length,) = LENGTH.unpack(self._read(LENGTH.size, deadline))
        if length > MAX_FRAME_BYTES:
            raise ChannelError("the frame exceeds the size limit", True)
        frame = self._read(length + MAC_BYTES, deadline)
        payload, mac = frame[:length], frame[length:]
        expected = self._sign(
            self._receive_direction, self._received_frames, payload
        )
        if not hmac.compare_digest(mac, expected):
            raise ChannelError("the frame failed verification", True)
        self._received_frames += 1
        self.used_ms = self._clock.now_ms()
        return payload

    def is_reusable(self) -> bool:
        """Return whether the connection is open and nothing has arrived.

        A pooled connection that became readable was closed, or holds a late
        response, which the next call would mistake for its own.
        """
        try:
            self.connection.setblocking(False)
            self.connection.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def detach(self) -> "Channel":
        """Return a channel that owns the connection; this one is closed."""
        detached = copy.copy(self)
        detached.connection = socket.socket(fileno=self.connection.detach())
        return detached

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

    def _set_timeout(self, deadline: clock.Deadline) -> None:
        _set_timeout(self.connection, deadline, self._clock)


def make_nonce() -> bytes:
    """Return a new random nonce."""
    return secrets.token_bytes(NONCE_BYTES)


def connect(
    address: tuple[str, int],
    secret: str,
    deadline: clock.Deadline,
    clock_: clock.Clock,
) -> Channel:
    """Connect to a peer with mutual authentication.

    :param address: host and port
    :param secret: the fleet's secret
    :param deadline: when to give up
    :param clock_: the clock
    :returns: the channel
    :raises ChannelError: if the peer is unreachable or fails authentication
    """
    try:
        left_ms = deadline.left_ms(clock_.now_ms())
        connection = socket.create_connection(address, max(left_ms, 1) / 1000)
    except OSError as error:
        raise ChannelError(f"cannot connect: {error}") from error
    try:
        return _authenticate(connection, secret, deadline, clock_)
    except OSError as error:
        connection.close()
        raise ChannelError(f"cannot connect: {error}") from error
    except ChannelError as error:
        connection.close()
        # The handshake failed before any request was sent.
        raise ChannelError(str(error)) from error


def _authenticate(
    connection: socket.socket,
    secret: str,
    deadline: clock.Deadline,
    clock_: clock.Clock,
) -> Channel:
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    server_nonce = _read_exactly(connection, NONCE_BYTES, deadline, clock_)
    client_nonce = make_nonce()
    key = _derive_key(secret, server_nonce, client_nonce)
    connection.sendall(client_nonce + _mac(key, b"client"))
    tag = _read_exactly(connection, MAC_BYTES, deadline, clock_)
    if not hmac.compare_digest(tag, _mac(key, b"server")):
        raise ChannelError("the peer failed authentication")
    return Channel(connection, key, False, clock_)


def accept_handshake(
    connection: socket.socket,
    secret: str,
    server_nonce: bytes,
    handshake: bytes,
    clock_: clock.Clock,
) -> Channel:
    """Verify a client's authentication tag and send the server's own.

    :param connection: the accepted socket
    :param secret: the fleet's secret
    :param server_nonce: the nonce that was sent on this connection
    :param handshake: the client's nonce and authentication tag
    :param clock_: the clock
    :returns: the channel
    :raises ChannelError: if the client fails authentication
    """
    client_nonce, tag = handshake[:NONCE_BYTES], handshake[NONCE_BYTES:]
    key = _derive_key(secret, server_nonce, client_nonce)
    if not hmac.compare_digest(tag, _mac(key, b"client")):
        raise ChannelError("the client failed authentication")
    try:
        connection.sendall(_mac(key, b"server"))
    except OSError as error:
        raise ChannelError(f"cannot send the handshake: {error}") from error
    return Channel(connection, key, True, clock_)


def _derive_key(
    secret: str, server_nonce: bytes, client_nonce: bytes
) -> bytes:
    message = CONTEXT + server_nonce + client_nonce
    return hmac.digest(secret.encode(), message, hashlib.sha256)


def _mac(key: bytes, message: bytes) -> bytes:
    return hmac.digest(key, message, hashlib.sha256)[:MAC_BYTES]


def _set_timeout(
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
            _set_timeout(connection, deadline, clock_)
            part = connection.recv(min(count, 1 << 16))
        except OSError as error:
            raise ChannelError(f"cannot receive: {error}", True) from error
        if not part:
            raise ChannelError("the peer closed the connection", True)
        parts.append(part)
        count -= len(part)
    return b"".join(parts)

"""Pairs of connected TCP sockets, which can be reset."""

import socket
import struct

HOST = "127.0.0.1"
TIMEOUT_S = 20.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def connect():
    """Return both ends of a new connection; the first one has a timeout."""
    with socket.create_server((HOST, 0)) as listener:
        near = socket.create_connection(listener.getsockname(), TIMEOUT_S)
        far, _ = listener.accept()
    near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return near, far


def reset(connection):
    """Close a connection with a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()

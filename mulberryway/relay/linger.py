"""Decides whether closing a connection ends or resets it."""

import socket
import struct

__all__ = ["end_on_close", "has_reset_on_close", "reset_on_close"]

LINGER = struct.Struct("ii")
# Closing drops what the peer has not acknowledged, and resets.
RESET = LINGER.pack(1, 0)
END = LINGER.pack(0, 0)


def reset_on_close(connection: socket.socket) -> None:
    """Let the close of a connection show that its answer is incomplete.

    That holds also if the process is killed.

    :param connection: the socket
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def end_on_close(connection: socket.socket) -> None:
    """Let the close of a connection be an ordinary end, as it is by default.

    :param connection: the socket
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, END)


def has_reset_on_close(connection: socket.socket) -> bool:
    """Return whether the close of a connection will reset it.

    :param connection: the socket
    """
    value = connection.getsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, LINGER.size
    )
    return value == RESET

"""Finds out when the bytes of a connection have arrived."""

import logging
import socket
import struct

__all__ = ["measure_unread_ms"]

LOG = logging.getLogger(__name__)

# Of Linux's struct tcp_info, up to tcpi_last_data_recv.
TCP_INFO = struct.Struct("=8B12I")
LAST_DATA_RECEIVED = 19
# The kernel reports the time since its start if it does not know.
MAX_UNREAD_MS = 60_000


def measure_unread_ms(connection: socket.socket) -> int:
    """Return how long ago the last bytes of a connection have arrived, in ms.

    A process that was suspended, or had no processor, reads them later.

    :param connection: the connected socket
    :returns: the time in ms; 0 if it is not known
    """
    try:
        content = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size
        )
        unread_ms = TCP_INFO.unpack(content)[LAST_DATA_RECEIVED]
    except (OSError, struct.error) as error:
        LOG.debug("the age of received bytes is unknown: %r", error)
        return 0
    return int(unread_ms) if unread_ms <= MAX_UNREAD_MS else 0

"""Encodes and decodes single Thrift structs, without a call around them."""

import threading
import typing

from thrift import TSerialization
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

__all__ = ["read", "write"]

FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()

Struct = typing.TypeVar("Struct")


class _Local(threading.local):
    """A protocol of each thread's own: making one takes as long as reading."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Begin with a new protocol."""
        self.protocol = FACTORY.getProtocol(TTransport.TMemoryBuffer())


LOCAL = _Local()


def read(message: Struct, payload: bytes) -> Struct:
    """Fill a message from its bytes.

    :param message: an empty generated struct
    :param payload: what ``write`` returned
    :returns: the message
    """
    protocol = LOCAL.protocol
    protocol.trans = TTransport.TMemoryBuffer(payload)
    try:
        message.read(protocol)  # type: ignore[attr-defined]
    except Exception:
        # It may have stopped in the middle of a struct.
        LOCAL.reset()
        raise
    return message


def write(message: typing.Any) -> bytes:
    """Return a message's bytes.

    :param message: a generated struct
    """
    return TSerialization.serialize(message, FACTORY)

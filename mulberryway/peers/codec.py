"""Encodes and decodes single Thrift structs outside of calls."""

import threading
import typing

from thrift import TSerialization
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

__all__ = ["read", "write"]

FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()

Struct = typing.TypeVar("Struct")


class _Local(threading.local):
    """A reused protocol per thread; creating one takes as long as decoding."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Replace the protocol by a new one."""
        self.protocol = FACTORY.getProtocol(TTransport.TMemoryBuffer())


LOCAL = _Local()


def read(message: Struct, payload: bytes) -> Struct:
    """Decode a message.

    :param message: an empty generated struct, which is filled
    :param payload: the result of ``write``
    :returns: the message
    """
    protocol = LOCAL.protocol
    protocol.trans = TTransport.TMemoryBuffer(payload)
    try:
        message.read(protocol)  # type: ignore[attr-defined]
    except Exception:
        # Decoding may have stopped inside a struct and left the protocol in an
        # invalid state.
        LOCAL.reset()
        raise
    return message


def write(message: typing.Any) -> bytes:
    """Return a message's encoded bytes.

    :param message: a generated struct
    """
    return TSerialization.serialize(message, FACTORY)

"""Thrift's compact protocol with a service name before each method.

The encoding is that of Thrift's multiplexed protocol. Thrift's own decorator
creates a new class for each call, which takes longer than the call itself.
"""

import collections.abc

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

__all__ = ["CallTransport", "MultiplexedProtocol", "get_service_name"]

SEPARATOR = ":"


class MultiplexedProtocol(TCompactProtocol.TCompactProtocolAccelerated):
    """Reads and writes messages named ``Service:method``.

    :param transport: the transport to read from and write to
    :param service: the service to call; empty on the server's side
    """

    def __init__(
        self, transport: TTransport.TTransportBase, service: str = ""
    ) -> None:
        super().__init__(transport)
        self._service = service
        self._peeked: tuple[str, int, int] | None = None

    def writeMessageBegin(  # noqa: N802
        self, name: str, type: int, seqid: int
    ) -> None:
        """Write a message's header.

        :param name: the method
        :param type: call, reply or exception
        :param seqid: the message's sequence number
        """
        if self._service and type == Thrift.TMessageType.CALL:
            name = self._service + SEPARATOR + name
        super().writeMessageBegin(name, type, seqid)

    def readMessageBegin(self) -> tuple[str, int, int]:  # noqa: N802
        """Read a message's header, or return the one peeked at.

        :returns: method, type and sequence number
        """
        if self._peeked is not None:
            return self._peeked
        return super().readMessageBegin()

    def peek_service(self) -> str:
        """Read a message's header and store it for the processor.

        :returns: the service's name; empty if there is none
        """
        name, type_, seqid = super().readMessageBegin()
        service, _, method = name.rpartition(SEPARATOR)
        self._peeked = (method, type_, seqid)
        return service

    def get_peeked_method(self) -> str:
        """Return the method of the header peeked at, or an empty string."""
        return "" if self._peeked is None else self._peeked[0]


class CallTransport(TTransport.TMemoryBuffer):
    """Buffers a request and exchanges it for its reply on flush.

    :param exchange: sends a request's bytes and returns the reply's
    """

    def __init__(
        self, exchange: collections.abc.Callable[[bytes], bytes]
    ) -> None:
        super().__init__()
        self._exchange = exchange

    def flush(self) -> None:
        """Send the buffered request and make the reply readable."""
        reply = self._exchange(self.getvalue())
        super().__init__(reply)


def get_service_name(client_class: type) -> str:
    """Return the name of the service that a generated client calls.

    :param client_class: the generated ``Client``
    :returns: the name as in the interface file
    """
    return client_class.__module__.rpartition(".")[2]

"""An in-memory network between peers that encodes and counts calls."""

import expression
from thrift.transport import TTransport

from mulberryway import errors
from mulberryway import peers
from mulberryway.peers import channel
from mulberryway.peers import protocol


class Network:
    """Delivers calls between registered VMs.

    :param cut: pairs of addresses that cannot reach each other
    :param down: addresses that do not respond
    """

    def __init__(self):
        self.processors = {}
        self.traffic = {}
        self.cut = set()
        self.down = set()

    def attach(self, address, processor):
        self.processors[address] = processor
        self.traffic[address] = peers.Traffic()

    def passes(self, source, target):
        ends = {source, target}
        is_cut = (source, target) in self.cut or (target, source) in self.cut
        return target in self.processors and not (is_cut or ends & self.down)

    def exchange(self, source, target, request):
        reader = protocol.MultiplexedProtocol(
            TTransport.TMemoryBuffer(request)
        )
        buffer = TTransport.TMemoryBuffer()
        reader.peek_service()
        kind = reader.get_peeked_method()
        self.processors[target].process(
            reader, protocol.MultiplexedProtocol(buffer)
        )
        reply = buffer.getvalue()
        for end, is_source in ((source, True), (target, False)):
            for payload, is_sent in ((request, True), (reply, False)):
                size = len(payload) + channel.OVERHEAD_BYTES
                self.traffic[end].count(kind, is_sent == is_source, size)
        return reply


class FakePeers:
    """Replaces the ``PeerClient`` of one VM."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    def call(self, peer, client_class, method, *arguments, **options):
        if not self.network.passes(self.address, peer):
            return expression.Error(
                errors.Fault(
                    errors.Code.PEER_UNREACHABLE, errors.Step.PEER, peer
                )
            )
        transport = protocol.CallTransport(
            lambda request: self.network.exchange(self.address, peer, request)
        )
        service = protocol.get_service_name(client_class)
        client = client_class(protocol.MultiplexedProtocol(transport, service))
        return expression.Ok(getattr(client, method)(*arguments))

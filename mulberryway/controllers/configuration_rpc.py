"""Fetches tables from other VMs over the peer transport."""

import collections.abc

import expression

from mulberryway import errors
from mulberryway import peers
from mulberryway.controllers import configuration_peers
from mulberryway.peers.gen.configuration import Configuration
from mulberryway.peers.gen.configuration import ttypes

__all__ = ["RpcPeerSource"]


class RpcPeerSource(configuration_peers.PeerSource):
    """Calls other VMs over the peer transport.

    :param client: the transport
    :param list_known: returns all known VMs, without this one
    """

    def __init__(
        self,
        client: peers.PeerClient,
        list_known: collections.abc.Callable[
            [], list[configuration_peers.PeerVm]
        ],
    ) -> None:
        self._client = client
        self._list_known = list_known

    def list_peers(self) -> list[configuration_peers.PeerVm]:
        """Return the VMs considered alive; see the base class."""
        return [peer for peer in self._list_known() if peer.is_alive]

    def list_known(self) -> list[configuration_peers.PeerVm]:
        """Return all known VMs; see the base class."""
        return self._list_known()

    def read_root(
        self, address: str, known_revision: int
    ) -> expression.Result[configuration_peers.RootReply, errors.Fault]:
        """Fetch a VM's root; see the base class."""
        answer = self._client.call(
            address,
            Configuration.Client,
            "read_root",
            known_revision,
            is_idempotent=True,
        )
        return answer.map(_read_reply)

    def read_segments(
        self, address: str, digests: list[str]
    ) -> expression.Result[dict[str, bytes], errors.Fault]:
        """Fetch segments from a VM; see the base class."""
        answer = self._client.call(
            address,
            Configuration.Client,
            "read_segments",
            digests,
            is_idempotent=True,
        )
        return answer.map(
            lambda segments: {
                segment.digest: segment.content for segment in segments
            }
        )


def _read_reply(reply: ttypes.RootReply) -> configuration_peers.RootReply:
    return configuration_peers.RootReply(
        reply.revision,
        reply.content,
        reply.age_ms,
        reply.fleet_size,
        reply.is_serving,
        reply.is_witness,
    )

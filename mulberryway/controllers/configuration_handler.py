"""Answers other VMs' questions about the tables."""

from mulberryway import clock
from mulberryway.controllers import configuration
from mulberryway.peers.gen.configuration import Configuration
from mulberryway.peers.gen.configuration import ttypes
from mulberryway.tables import freshness
from mulberryway.tables import root as roots

__all__ = ["ConfigurationHandler"]

# Well under the transport's limit on a frame; the asker asks again.
MAX_REPLY_BYTES = 500_000


class ConfigurationHandler(Configuration.Iface):
    """Answers other VMs.

    :param controller: this VM's configuration
    :param clock_: where the time comes from
    """

    def __init__(
        self, controller: configuration.Configuration, clock_: clock.Clock
    ) -> None:
        self._controller = controller
        self._clock = clock_

    def read_root(self, known_revision: int) -> ttypes.RootReply:
        """Return the root in force and the age of its confirmation.

        :param known_revision: the revision that the asker holds
        """
        in_force = self._controller.active_tables
        # Read in this order: a root taken in between has a younger
        # confirmation, which must not be told of the older root.
        confirmation = in_force.confirmation
        root = in_force.root
        is_newer = root.revision > known_revision
        age_ms, fleet_size = -1, 0
        if confirmation is not None:
            age_ms = self._clock.now_ms() - confirmation.at_ms
            fleet_size = confirmation.fleet_size
        judged = in_force.judge()
        return ttypes.RootReply(
            root.revision,
            roots.encode_content(root.encode()) if is_newer else b"",
            age_ms,
            fleet_size,
            judged is not freshness.Freshness.PARTITIONED,
            in_force.is_witness(),
        )

    def read_segments(self, digests: list[str]) -> list[ttypes.Segment]:
        """Return those segments that are here, as many as fit.

        :param digests: what is wanted
        """
        found: list[ttypes.Segment] = []
        size = 0
        for digest in digests:
            content = self._controller.active_tables.find_segment(digest)
            if content is None:
                continue
            size += len(content)
            if found and size > MAX_REPLY_BYTES:
                break
            found.append(ttypes.Segment(digest, content))
        return found

    def offer_root(
        self, content: bytes, segments: list[ttypes.Segment]
    ) -> bool:
        """Take over a root that has just been accepted.

        :param content: the root as canonical JSON
        :param segments: what is new in it
        """
        return self._controller.install_accepted(
            content, {one.digest: one.content for one in segments}
        )

    def list_members(self) -> list[ttypes.Member]:
        """Return the VMs that this one knows, itself included."""
        return [
            ttypes.Member(vm.name, vm.zone, vm.region, vm.address, vm.is_alive)
            for vm in self._controller.list_members()
        ]

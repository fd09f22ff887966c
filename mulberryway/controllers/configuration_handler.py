"""Serves the tables to other VMs."""

from mulberryway import clock
from mulberryway.controllers import configuration
from mulberryway.peers.gen.configuration import Configuration
from mulberryway.peers.gen.configuration import ttypes
from mulberryway.tables import freshness
from mulberryway.tables import root as roots

__all__ = ["ConfigurationHandler"]

# Well below the transport's frame limit; the caller requests the rest again.
MAX_REPLY_BYTES = 500_000


class ConfigurationHandler(Configuration.Iface):
    """Handles the configuration service's calls from other VMs.

    :param controller: this VM's configuration controller
    :param clock_: the clock
    """

    def __init__(
        self, controller: configuration.Configuration, clock_: clock.Clock
    ) -> None:
        self._controller = controller
        self._clock = clock_

    def read_root(self, known_revision: int) -> ttypes.RootReply:
        """Return the active root and the age of its confirmation.

        :param known_revision: the revision that the calling VM has
        """
        active = self._controller.active_tables
        # The confirmation has to be read first: a root that is installed in
        # between has a newer confirmation, which must not be sent with the
        # older root.
        confirmation = active.confirmation
        root = active.root
        is_newer = root.revision > known_revision
        age_ms, fleet_size = -1, 0
        if confirmation is not None:
            age_ms = self._clock.now_ms() - confirmation.at_ms
            fleet_size = confirmation.fleet_size
        state = active.evaluate_freshness()
        return ttypes.RootReply(
            root.revision,
            roots.encode_content(root.encode()) if is_newer else b"",
            age_ms,
            fleet_size,
            state is not freshness.Freshness.PARTITIONED,
            active.is_witness(),
        )

    def read_segments(self, digests: list[str]) -> list[ttypes.Segment]:
        """Return those segments that are known, as many as fit in a reply.

        :param digests: the digests of the requested segments
        """
        segments: list[ttypes.Segment] = []
        size = 0
        for digest in digests:
            content = self._controller.active_tables.find_segment(digest)
            if content is None:
                continue
            size += len(content)
            if segments and size > MAX_REPLY_BYTES:
                break
            segments.append(ttypes.Segment(digest, content))
        return segments

    def offer_root(
        self, content: bytes, segments: list[ttypes.Segment]
    ) -> bool:
        """Install a root that the platform has just accepted.

        :param content: the root as canonical JSON
        :param segments: its new segments
        """
        return self._controller.install_accepted(
            content, {segment.digest: segment.content for segment in segments}
        )

    def list_members(self) -> list[ttypes.Member]:
        """Return all VMs that this VM knows, including itself."""
        return [
            ttypes.Member(vm.name, vm.zone, vm.region, vm.address, vm.is_alive)
            for vm in self._controller.list_members()
        ]

"""All that one VM needs to hold the tables, put together."""

import random

from thrift import Thrift

from mulberryway import clock
from mulberryway import metrics
from mulberryway import peers
from mulberryway import settings
from mulberryway import tables
from mulberryway.controllers import configuration
from mulberryway.controllers import configuration_handler
from mulberryway.controllers import configuration_peers
from mulberryway.controllers import configuration_rpc
from mulberryway.controllers import configuration_watch
from mulberryway.controllers import membership
from mulberryway.objects import base as platform
from mulberryway.peers.gen.configuration import Configuration
from mulberryway.policy import member

__all__ = ["SERVICE", "ConfigurationService", "list_known"]

SERVICE = "Configuration"


class ConfigurationService:
    """The tables in force, and the threads that keep them so.

    ``source`` is what the rest of the router reads the tables from;
    ``processor`` belongs to the peers' server under the name ``SERVICE``.

    :param settings_: this VM's settings
    :param store: the platform
    :param client: calls other VMs
    :param members: knows the other VMs, and spreads revisions
    :param clock_: where the time comes from
    """

    def __init__(
        self,
        settings_: settings.Settings,
        store: platform.ObjectStore,
        client: peers.PeerClient,
        members: membership.MembershipController,
        clock_: clock.Clock,
    ) -> None:
        self._controller = configuration.Configuration(
            settings_,
            store,
            configuration_rpc.RpcPeerSource(
                client, lambda: list_known(members)
            ),
            clock_,
            random.Random(),
        )
        self._watch = configuration_watch.RootWatch(
            self._controller, store, clock_, settings_.platform_silence_ms
        )
        self.source: tables.TableSource = self._controller.active_tables
        self.processor: Thrift.TProcessor = Configuration.Processor(
            configuration_handler.ConfigurationHandler(
                self._controller, clock_
            )
        )
        self.source.subscribe(
            lambda taken: members.announce_revision(taken.revision)
        )
        members.subscribe_newer_tables(self._note_newer)

    def start(self) -> None:
        """Begin to follow the platform and the other VMs."""
        self._controller.start()
        self._watch.start()

    def stop(self) -> None:
        """End the threads."""
        self._controller.stop()
        self._watch.stop()

    def report(self, metrics_: metrics.Metrics) -> None:
        """Let revision and age appear among the process's metrics.

        :param metrics_: the process's instruments
        """
        in_force = self._controller.active_tables
        metrics_.register_gauge(
            "tables.revision",
            "revision of the tables in force",
            lambda: in_force.root.revision,
        )
        metrics_.register_gauge(
            "tables.age_ms",
            "milliseconds since the platform confirmed them; -1: never",
            lambda: _known(in_force.age_ms()),
        )
        metrics_.register_gauge(
            "tables.is_serving",
            "1 if requests are served with them",
            lambda: int(in_force.read_tables() is not None),
        )

    def _note_newer(self, newer: member.Member) -> None:
        self._controller.note_news(newer.peer, newer.revision)


def list_known(
    members: membership.MembershipController,
) -> list[configuration_peers.PeerVm]:
    """Return the other VMs; suspects count as alive, as most are.

    :param members: what this VM knows of the others
    """
    return [
        configuration_peers.PeerVm(
            one.name,
            one.zone,
            one.region,
            one.peer,
            one.health is not member.MemberStatus.DEAD,
        )
        for one in members.list_members()
        if one.name != members.own.name
    ]


def _known(age_ms: int | None) -> int:
    return -1 if age_ms is None else age_ms

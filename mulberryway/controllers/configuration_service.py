"""Combines the components that keep one VM's tables up to date."""

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
    """The active tables and the threads that update them.

    The router reads the tables from ``source``.  ``processor`` has to be
    registered with the peer server under the name ``SERVICE``.

    :param settings_: this VM's settings
    :param store: the platform's store
    :param client: calls other VMs
    :param members: lists the other VMs and gossips revisions
    :param clock_: the clock
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
            lambda installed: members.announce_revision(installed.revision)
        )
        members.subscribe_newer_tables(self._record_newer)

    def start(self) -> None:
        """Start the threads."""
        self._controller.start()
        self._watch.start()

    def stop(self) -> None:
        """Stop the threads."""
        self._controller.stop()
        self._watch.stop()

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register metrics for the tables' revision, age and use.

        :param metrics_: the process's instruments
        """
        active = self._controller.active_tables
        metrics_.register_gauge(
            "tables.revision",
            "revision of the tables in force",
            lambda: active.root.revision,
        )
        metrics_.register_gauge(
            "tables.age_ms",
            "milliseconds since the platform confirmed them; -1: never",
            lambda: _get_age_or_minus_one(active.age_ms()),
        )
        metrics_.register_gauge(
            "tables.is_serving",
            "1 if requests are served with them",
            lambda: int(active.get_tables() is not None),
        )

    def _record_newer(self, newer: member.Member) -> None:
        self._controller.record_newer_root(newer.peer, newer.revision)


def list_known(
    members: membership.MembershipController,
) -> list[configuration_peers.PeerVm]:
    """Return the other VMs.

    Suspected VMs count as alive, because most suspicions are wrong.

    :param members: this VM's view of the fleet
    """
    return [
        configuration_peers.PeerVm(
            vm.name,
            vm.zone,
            vm.region,
            vm.peer,
            vm.health is not member.MemberStatus.DEAD,
        )
        for vm in members.list_members()
        if vm.name != members.own.name
    ]


def _get_age_or_minus_one(age_ms: int | None) -> int:
    return -1 if age_ms is None else age_ms

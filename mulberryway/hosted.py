"""Creates and connects the components of a VM on the operators' platform.

Some components of the native assembly (claims, allowance fractions, segments,
the configuration editor) are not needed there: the store holds the complete
configuration, and each attempt of a caller has its own id.
"""

import concurrent.futures
import logging
import random

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import peers
from mulberryway import replies
from mulberryway import router
from mulberryway import settings
from mulberryway import tables
from mulberryway import threads
from mulberryway.commands import process
from mulberryway.controllers import advisories
from mulberryway.controllers import detours
from mulberryway.controllers import dissemination
from mulberryway.controllers import fleet_allowances
from mulberryway.controllers import fleet_shares
from mulberryway.controllers import kept_objects
from mulberryway.controllers import membership
from mulberryway.controllers import mirror_exchange
from mulberryway.controllers import mirrored_tables
from mulberryway.controllers import mirrors
from mulberryway.controllers import orders
from mulberryway.controllers import path_monitoring
from mulberryway.controllers import probing
from mulberryway.controllers import registration
from mulberryway.controllers import reloading
from mulberryway.controllers import scheduler_gossip
from mulberryway.controllers import server_load_gossip
from mulberryway.controllers import stream_backup
from mulberryway.controllers import upstream_ends
from mulberryway.controllers import version_tracking
from mulberryway.controllers import zone_traffic
from mulberryway.filters import repeats
from mulberryway.objects import base as objects
from mulberryway.objects import call_metrics
from mulberryway.objects import eras
from mulberryway.peers import datagrams
from mulberryway.peers import server as peer_server
from mulberryway.peers.gen.membership import Membership
from mulberryway.peers.gen.mirrors import Mirrors
from mulberryway.peers.gen.streams import Streams
from mulberryway.platform import directory
from mulberryway.platform import interface
from mulberryway.platform import store
from mulberryway.platform import tables as platform_tables
from mulberryway.policy import advisories as policy_advisories
from mulberryway.policy import carried_objects
from mulberryway.policy import cold_start
from mulberryway.policy import endpoints
from mulberryway.policy import fairness
from mulberryway.policy import leader_lease
from mulberryway.policy import mass_expiry
from mulberryway.policy import member
from mulberryway.policy import mirror_summary
from mulberryway.policy import retries
from mulberryway.policy import role_planner
from mulberryway.policy import scheduler
from mulberryway.policy import store_reachability
from mulberryway.policy import usage
from mulberryway.relay import tunnels
from mulberryway.upstreams import base as upstreams
from mulberryway.upstreams import directory as directory_

__all__ = ["HostedAssembly"]

LOG = logging.getLogger(__name__)

MEMBERSHIP = "Membership"
MIRRORS = "Mirrors"
STREAMS = "Streams"
# The target inter-token gap of pools whose routes have no target; callers
# disconnect after eight times this long.
TOKEN_GAP_MS = 300
US_IN_MS = 1_000
# How long a zone stays evacuated if the store has lost its evacuation.
LOST_EVACUATION_MS = 30_000
FAULT_FORMAT = replies.FaultFormat(
    has_fractional_retry_after=True,
    is_retried_by_status=True,
    statuses={
        # Callers treat other rejections of this kind as final, although a
        # request that only ran next to the one that crashes engines may
        # succeed later.
        errors.Code.QUARANTINED: 503,
    },
)

# The maximum wait for a thread of the VM to end.
MAX_JOIN_MS = 2_000


class _FleetEndpoints(endpoints.EndpointDirectory):
    """Lists all VMs of the fleet that accept callers."""

    def __init__(self, assembly: "HostedAssembly") -> None:
        self._assembly = assembly

    def list_addresses(self, caller_zone: str) -> list[endpoints.Endpoint]:
        """Return the addresses of all VMs that accept callers.

        :param caller_zone: unused; callers choose a VM at random
        """
        return endpoints.list_endpoints(
            self._assembly.members.list_members(),
            self._assembly.allowances.list_unresponsive(),
        )


class HostedAssembly(process.Service):
    """The controllers, servers and router of one entry VM.

    :param settings_: the settings of the process
    :param clock_: the source of the current time; the system clock by default
    :param file: the settings file, which is reloaded when it changes
    """

    def __init__(
        self,
        settings_: settings.Settings,
        clock_: clock.Clock | None = None,
        file: str = "",
    ) -> None:
        self.settings = settings_
        self.clock = clock_ or clock.SystemClock()
        self.incarnation = self.clock.wall_ms()
        self.counts = call_metrics.InMemoryCallCounter()
        self.store = store.PlatformStore(
            settings_.platform_url,
            settings_.platform_timeout_ms,
            self.clock,
            self.counts,
        )
        self.client = peers.PeerClient(
            settings_.peers_secret, self.clock, settings_.peers_timeout_ms
        )
        self.members = self._make_members()
        self.source = mirrored_tables.MirroredTables(
            platform_tables.TablesReader()
        )
        self.outages = store_reachability.StoreReachability()
        self.mirror_controllers = self._make_mirror_controllers()
        self.exchange = mirror_exchange.MirrorSyncController(
            self.mirror_controllers, self.client, self.clock, self._list_peers
        )
        self.paths = path_monitoring.PathMonitor(
            settings_.vm_name,
            settings_.vm_zone,
            self.incarnation,
            self.members.list_members,
            self.clock,
        )
        self.alive_shares = cold_start.FleetShares(settings_.vm_name)
        self.alive_share_updater = fleet_shares.FleetSharesUpdater(
            self.alive_shares,
            self._is_informed,
            self.clock,
            fleet_shares.DEAD_VM_TTL_MS,
        )
        self.advisories = advisories.UpstreamAdvisories(
            policy_advisories.AdvisoryRegister(self.alive_shares),
            self.members,
            self.clock,
        )
        self.source.is_leaving = self.advisories.is_leaving
        self.advisories.on_leaving = self.source.refresh
        self.upstream_ends = upstream_ends.UpstreamEnds(
            self.source, self.source.refresh, self.clock
        )
        self.source.find_version = self.upstream_ends.find_version
        self.directory = directory.PlatformDirectory(
            self.clock,
            detours.DetourDialer(self.paths, self.client, self.clock),
            self.advisories.record,
        )
        self.retry_budget = repeats.SharedRetryBudget(
            retries.FleetRetryBudget(
                settings_.retries_part,
                settings_.retries_window_ms,
                settings_.retries_slack,
            ),
            self.clock,
            self.members.count_members,
        )
        self.book = usage.ReplicatedRateLimiter(
            settings_.vm_name,
            self.incarnation,
            usage.Margin(
                settings_.allowances_window_ms,
                settings_.allowances_over_part,
                settings_.allowances_over_tokens,
            ),
            self.clock.now_ms(),
            bool(_list_seeds(settings_)),
        )
        self.allowances = fleet_allowances.FleetAllowances(
            self.book,
            self._read_mirrors,
            self._is_store_reached,
            self.clock,
        )
        self.versions = version_tracking.VersionTracker(
            settings_.vm_name,
            self.client,
            self._confirm_history,
            self.clock,
        )
        self.stream_backup = stream_backup.StreamBackupController(
            settings_.vm_name,
            self.versions,
            self.store,
            self.members.count_members,
            self.clock,
        )
        self.zones = zone_traffic.ZoneTraffic(settings_)
        self.shares = cold_start.FleetShares(settings_.vm_name)
        self.share_updater = fleet_shares.FleetSharesUpdater(
            self.shares, self._is_informed, self.clock
        )
        self.cold_limits = cold_start.ColdStartLimits(
            settings_.cold_start_over_part, settings_.cold_start_slack
        )
        self.server_loads = server_load_gossip.ServerLoadGossip(
            settings_.vm_name,
            self.incarnation,
            lambda: len(self.members.list_alive()),
            self.clock,
        )
        self.scheduler = self._make_scheduler()
        self._wire_router()
        self._wire_peers()
        self.reloading = reloading.SettingsReloadController(
            file, self._apply_settings, self.clock
        )

    def start(self) -> None:
        """Start serving peers, then callers; returns at once."""
        LOG.info(
            "the entry VM starts",
            extra=logs.make_extra(
                incarnation=self.incarnation,
                address=self.settings.router_address,
                peers=self.members.own.peer,
            ),
        )
        self.peer_server.start()
        self.datagrams.start()
        for controller in self.mirror_controllers.values():
            controller.start()
        self.exchange.start()
        self.stream_backup.start()
        self.members.start()
        self.paths.start()
        self.router.start()
        self.dissemination.start()
        self.notes.start()
        self.server_loads.start()
        self.probing.start()
        self.allowances.start()
        self.registration.start()
        self.orders.start()
        self.reloading.start()

    def stop(self, graceful: bool = True) -> None:
        """Stop serving callers, then stop everything else.

        :param graceful: whether running requests may finish first
        """
        LOG.info(
            "the entry VM stops",
            extra=logs.make_extra(
                running=self.router.running,
                grace_ms=self.settings.router_grace_ms,
            ),
        )
        self.tunnels.stop_accepting()
        self.router.stop(graceful)
        controllers = (
            self.orders,
            self.reloading,
            self.registration,
            self.allowances,
            self.probing,
            self.server_loads,
            self.notes,
            self.paths,
            self.dissemination,
            self.stream_backup,
            self.exchange,
            self.members,
        )
        # A step may wait for another VM that does not answer.
        wait_ms = self.router.shutdown.compute_join_ms(MAX_JOIN_MS)
        with concurrent.futures.ThreadPoolExecutor() as executor:
            list(
                executor.map(
                    lambda controller: controller.stop(wait_ms), controllers
                )
            )
        self.datagrams.stop()
        self.peer_server.stop(
            self.router.shutdown.compute_join_ms(MAX_JOIN_MS)
        )
        self.tunnels.close()
        LOG.info(
            "the entry VM has stopped",
            extra=logs.make_extra(cut=self.router.running),
        )

    def hasten_stop(self) -> None:
        """Answer open requests at once instead of waiting for upstreams."""
        self.router.shutdown.hasten()

    def is_stop_overdue(self) -> bool:
        """Return whether the process has to exit, whatever is still open."""
        return self.router.shutdown.is_overdue()

    def _make_members(self) -> membership.MembershipController:
        settings_ = self.settings
        own = member.Member(
            settings_.vm_name,
            settings_.vm_address,
            settings_.peers_port,
            settings_.router_port,
            settings_.vm_zone,
            settings_.vm_region,
            self.incarnation,
            is_starting=True,
            link_mbps=settings_.vm_link_mbps,
        )
        return membership.MembershipController(
            own,
            _list_seeds(settings_),
            self.client,
            self.store,
            self.clock,
            settings_.peers_period_ms,
        )

    def _make_mirror_controllers(self) -> dict[str, mirrors.MirrorController]:
        source = self.source
        source.configuration = mirrors.MirrorController(
            platform_tables.CONFIGURATION_KIND,
            self.store,
            self.clock,
            source.refresh,
            is_watcher=self._must_watch,
            rules=carried_objects.ReturnRules(
                platform_tables.read_configuration_generation,
                missing_ms=None,
                outdated_ms=None,
            ),
        )
        limits = mass_expiry.RegistrationLimits(
            self.settings.upstreams_heartbeat_ms,
            self.settings.upstreams_drain_ms,
        )
        source.servers = mirrors.MirrorController(
            platform_tables.SERVERS_KIND,
            self.store,
            self.clock,
            source.refresh,
            mass_expiry.MassExpiryDetector(limits, self.outages),
            is_watcher=self._must_watch,
            rules=carried_objects.ReturnRules(
                platform_tables.read_server_generation,
                missing_ms=mass_expiry.REREGISTRATION_MS,
                outdated_ms=limits.max_silence_ms,
                hides_removed=True,
            ),
        )
        source.servers.on_objects = self._record_versions
        source.evacuations = mirrors.MirrorController(
            platform_tables.EVACUATIONS_KIND,
            self.store,
            self.clock,
            source.refresh,
            is_watcher=self._must_watch,
            rules=carried_objects.ReturnRules(missing_ms=LOST_EVACUATION_MS),
        )
        return {
            controller.kind: controller
            for controller in (
                source.configuration,
                source.servers,
                source.evacuations,
            )
        }

    def _make_scheduler(self) -> scheduler.FairScheduler:
        settings_ = self.settings
        return scheduler.FairScheduler(
            settings_.vm_name,
            self.incarnation,
            fairness.find_fairness_mode(settings_.policy_weighing),
            seed=random.SystemRandom().getrandbits(32),
            token_gap_ms=TOKEN_GAP_MS,
            budget=retries.UnlimitedRetryBudget,
            prefill_rate=settings_.policy_prefill_us / US_IN_MS,
            shares=self.shares,
            cold_limits=self.cold_limits,
            limits=self.advisories,
            zones=self.zones.costs,
        )

    def _wire_router(self) -> None:
        self.router = router.Router(
            self.settings,
            self.clock,
            self.incarnation,
            self.source,
            self.scheduler,
            self.allowances,
            _FleetEndpoints(self),
            interface.PlatformInterface(
                self.retry_budget,
                self.versions,
                self.shares,
                self.cold_limits,
                self.advisories,
                self.server_loads,
                self.zones.overflow,
            ),
            self.retry_budget.try_withdraw,
            on_drain=lambda: self.members.update_local(is_stopping=True),
            directory_=self.directory,
            on_ready=lambda: self.members.update_local(is_starting=False),
            fault_format=FAULT_FORMAT,
            # On this platform a revoked key only prevents new requests;
            # running streams are completed.
            closes_revoked_streams=False,
        )
        self.counts.register_metrics(self.router.metrics)
        self.store.eras.report(self.router.metrics)
        kept_objects.report(
            [
                controller.kept
                for controller in self.mirror_controllers.values()
            ],
            self.router.metrics,
        )
        self.dissemination = dissemination.DisseminationController(
            self.members.own, self.clock
        )
        self.dissemination.report(self.router.metrics)
        threads.report(self.router.metrics)
        self.zones.report(self.router.metrics)
        self.paths.report(self.router.metrics)
        self.versions.report(self.router.metrics)
        self.advisories.report(self.router.metrics)
        self.server_loads.report(self.router.metrics)
        self.notes = scheduler_gossip.SchedulerGossipController(
            self.router.scheduling,
            self.members,
            self.source,
            self.dissemination,
            self.clock,
        )
        self.probing = probing.ProbingController(
            self.router.scheduling,
            self.members,
            self.source,
            self.directory,
            self.clock,
            self.paths.list_reaching,
        )
        self.paths.publish = self.dissemination.publish
        self.server_loads.publish = self.dissemination.publish
        self.notes.on_server_loads = self.server_loads.take_report
        self.notes.on_paths = self.paths.take_report
        self.versions.send = self.dissemination.send
        self.notes.on_members = self.versions.update_members
        self.notes.on_known_vms = self.share_updater.record_known
        self.notes.on_alive_vms = self.alive_share_updater.record_known
        self.notes.on_streams = self.versions.receive
        self.allowances.broadcast = self.dissemination.publish
        self.allowances.send = self.dissemination.send
        self.notes.on_usage = self._receive_usage
        self.source.subscribe(self._update_tables)
        self.router.scheduling.on_upstream_end = self.upstream_ends.record

    def _wire_peers(self) -> None:
        settings_ = self.settings
        self.tunnels = tunnels.TunnelServer(
            self.router.loop,
            self.paths,
            self.source,
            tunnels.compute_max_tunnels(settings_.vm_link_mbps),
            self.clock,
        )
        self.tunnels.report(self.router.metrics)
        self.router.shutdown.count_forwarded = self.tunnels.count_busy
        self.peer_server = peer_server.PeerServer(
            settings_.vm_address,
            settings_.peers_port,
            settings_.peers_secret,
            {
                MEMBERSHIP: Membership.Processor(self.members.exchange),
                MIRRORS: Mirrors.Processor(
                    mirrors.MirrorHandler(self.mirror_controllers)
                ),
                STREAMS: Streams.Processor(
                    version_tracking.VersionHandler(self.versions)
                ),
            },
            self.clock,
            {tunnels.SERVICE: self.tunnels},
        )
        self.datagrams = datagrams.DatagramTransport(
            settings_.vm_address,
            settings_.peers_port,
            settings_.peers_secret,
            self.dissemination.take,
            self.clock,
        )
        self.dissemination.datagrams = self.datagrams
        self.registration = registration.RegistrationController(
            self.members.own,
            self.store,
            self.clock,
            self._update_listed,
        )
        self.store.eras.subscribe(lambda era: self.registration.renew())
        self.router.metrics.register_counter(
            "platform.renewals",
            "entries that were written again after the store had lost them",
            lambda: [
                ({"kind": registration.KIND}, self.registration.renewals)
            ],
        )
        self.orders = orders.OrdersController(
            settings_.vm_name,
            self.incarnation,
            self.store,
            self.source,
            self._find_engine,
            dict,
            self._may_issue_orders,
            self.clock,
            role_planner.RolePlanner(),
            self.router.scheduling.read_demands,
            lambda: self.store.eras.era,
            settings_.vm_is_first_start,
        )

    def _list_peers(self) -> list[str]:
        """Return the peer addresses of live VMs, or the seeds if none."""
        alive_peers = [
            vm.peer
            for vm in self.members.list_members()
            if vm.health is not member.MemberStatus.DEAD
            and vm.name != self.settings.vm_name
        ]
        return alive_peers or list(_list_seeds(self.settings))

    def _must_watch(self) -> bool:
        return self.outages.must_poll(
            self.settings.vm_name,
            self.members.list_alive(),
            self.clock.now_ms(),
        )

    def _is_store_reached(self) -> bool | None:
        if not self._must_watch():
            return None
        return all(
            controller.is_reached
            for controller in self.mirror_controllers.values()
        )

    def _is_informed(self) -> bool:
        """Return whether changes in the store would reach this VM."""
        return self._is_store_reached() is True or self.outages.is_informed(
            self.clock.now_ms()
        )

    def _confirm_history(self) -> int | None:
        return self.mirror_controllers[
            platform_tables.SERVERS_KIND
        ].confirm_history()

    def _record_versions(self, servers: list[objects.StoredObject]) -> None:
        versions = map(platform_tables.read_server_version, servers)
        self.versions.record_seen(filter(None, versions))

    def _find_engine(
        self, pool: str, upstream: str
    ) -> upstreams.Engine | None:
        return directory_.find_engine_by_name(
            self.source.get_tables(), self.directory, pool, upstream
        )

    def _may_issue_orders(self) -> bool:
        candidates = leader_lease.choose_candidates(
            self.paths.list_reaching(self.members.list_alive())
        )
        return self.settings.vm_name in candidates

    def _apply_settings(self, changed: settings.Settings) -> None:
        self.members.update_seeds(_list_seeds(changed))

    def _read_mirrors(self) -> dict[str, mirror_summary.MirrorSummary]:
        return {
            kind: controller.summary
            for kind, controller in self.mirror_controllers.items()
        }

    def _receive_usage(self, received: usage.Usage, address: str) -> None:
        self.allowances.take(received)
        self.outages.record_peer(
            received.vm, received.is_store_reached, self.clock.now_ms()
        )
        # A VM that has just started has not contacted the others yet.
        address = address or next(
            (
                vm.peer
                for vm in self.members.list_members()
                if vm.name == received.vm
            ),
            "",
        )
        if address:
            self.exchange.record_peer_mirrors(address, received.mirrors)
        self.store.eras.record(
            max(
                (item.changed.era for item in received.mirrors.values()),
                default=eras.UNKNOWN_ERA,
            )
        )

    def _update_listed(self, listed: list[objects.ListedVm]) -> None:
        own = self.settings.vm_name
        others = [vm for vm in listed if vm.name != own]
        self.dissemination.add_listed(others)
        self.allowances.update_members([vm.name for vm in others])
        names = [vm.name for vm in listed]
        self.share_updater.record_listed(names)
        self.alive_share_updater.record_listed(names)

    def _update_tables(self, changed: tables.Tables) -> None:
        self.advisories.update_tables(changed)
        self.allowances.update_tables(changed)
        self.paths.update_tables(changed)
        self.versions.update_tables(changed)


def _list_seeds(settings_: settings.Settings) -> tuple[str, ...]:
    """Return the seeds' peer addresses, without this VM's own."""
    port = settings_.peers_seeds_port
    seeds = [
        f"{seed.rpartition(':')[0]}:{port}" if port else seed
        for seed in settings_.peers_seeds
    ]
    own = f"{settings_.vm_address}:{settings_.peers_port}"
    return tuple(seed for seed in seeds if seed != own)

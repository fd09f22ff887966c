"""Creates and connects the components of one VM's router process."""

import concurrent.futures
import random

from mulberryway import clock
from mulberryway import peers
from mulberryway import router
from mulberryway import settings
from mulberryway import threads
from mulberryway.commands import process
from mulberryway.controllers import allowance_slots
from mulberryway.controllers import allowance_state
from mulberryway.controllers import allowances
from mulberryway.controllers import claim_coordination
from mulberryway.controllers import claims
from mulberryway.controllers import configuration_service
from mulberryway.controllers import detours
from mulberryway.controllers import dissemination
from mulberryway.controllers import engine_reports
from mulberryway.controllers import membership
from mulberryway.controllers import orders
from mulberryway.controllers import owner_liveness
from mulberryway.controllers import path_monitoring
from mulberryway.controllers import probing
from mulberryway.controllers import reconciling
from mulberryway.controllers import scheduler_gossip
from mulberryway.controllers import zone_traffic
from mulberryway.filters import native_api
from mulberryway.objects import call_metrics
from mulberryway.objects import http as platform_http
from mulberryway.peers import datagrams
from mulberryway.peers import server as peer_server
from mulberryway.peers.gen.allowances import Allowances
from mulberryway.peers.gen.claims import Claims
from mulberryway.peers.gen.membership import Membership
from mulberryway.policy import fairness
from mulberryway.policy import leader_lease
from mulberryway.policy import member
from mulberryway.policy import scheduler
from mulberryway.relay import tunnels
from mulberryway.upstreams import base as upstreams
from mulberryway.upstreams import directory

__all__ = ["Assembly"]

ALLOWANCES = "Allowances"
MEMBERSHIP = "Membership"
CLAIMS = "Claims"


class Assembly(process.Service):
    """The controllers, servers and router of one process.

    :param settings_: the settings of the process
    :param clock_: the source of the current time; the system clock by default
    """

    def __init__(
        self,
        settings_: settings.Settings,
        clock_: clock.Clock | None = None,
    ) -> None:
        self.settings = settings_
        self.clock = clock_ or clock.SystemClock()
        self.platform_counts = call_metrics.InMemoryCallCounter()
        self.store = platform_http.HttpObjectStore(
            settings_.platform_url,
            settings_.platform_timeout_ms,
            self.clock,
            self.platform_counts,
        )
        self.client = peers.PeerClient(
            settings_.peers_secret, self.clock, settings_.peers_timeout_ms
        )
        local_address = f"{settings_.vm_address}:{settings_.peers_port}"
        self.incarnation = membership.choose_incarnation(
            settings_.vm_name,
            [seed for seed in settings_.peers_seeds if seed != local_address],
            self.client,
            self.clock,
        )
        self.members = self._make_members()
        self.configuration = configuration_service.ConfigurationService(
            settings_, self.store, self.client, self.members, self.clock
        )
        self.claims = claims.ClaimStore(
            self.store,
            self.clock,
            settings_.vm_name,
            self.incarnation,
            peers=self.client,
            find_coordinator=claim_coordination.make_coordinator_finder(
                settings_.vm_name, self.members.list_members
            ),
        )
        self.shares = allowance_state.AllowanceState(self.members.own)
        self.allowances = allowances.AllowancesController(
            self.shares, self.configuration.source, self.client, self.clock
        )
        self.slots = allowance_slots.AllowanceSlotsController(
            self.shares, self.store, self.members, self.clock
        )
        self.paths = path_monitoring.PathMonitor(
            settings_.vm_name,
            settings_.vm_zone,
            self.incarnation,
            self.members.list_members,
            self.clock,
        )
        self.directory = directory.HttpDirectory(
            self.clock,
            detours.DetourDialer(self.paths, self.client, self.clock),
        )
        self.zones = zone_traffic.ZoneTraffic(settings_)
        self.router = self._make_router()
        self.platform_counts.register_metrics(self.router.metrics)
        self.configuration.report(self.router.metrics)
        self.dissemination = dissemination.DisseminationController(
            self.members.own, self.clock
        )
        self.dissemination.report(self.router.metrics)
        threads.report(self.router.metrics)
        self.zones.report(self.router.metrics)
        self.notes = scheduler_gossip.SchedulerGossipController(
            self.router.scheduling,
            self.members,
            self.configuration.source,
            self.dissemination,
            self.clock,
        )
        self.probing = probing.ProbingController(
            self.router.scheduling,
            self.members,
            self.configuration.source,
            self.directory,
            self.clock,
            self.paths.list_reaching,
        )
        self.paths.publish = self.dissemination.publish
        self.notes.on_paths = self.paths.take_report
        self.configuration.source.subscribe(self.paths.update_tables)
        self.reports = engine_reports.EngineReportController(
            self.notes,
            self.router.scheduling,
            self.directory,
            self.configuration.source,
            settings_.vm_name,
            self.clock,
        )
        self.reconciling = reconciling.ReconcileController(
            settings_.vm_name,
            self.incarnation,
            self.reports.list_assigned_engines,
            self.router.scheduling.is_running,
            owner_liveness.MembershipLivenessChecker(
                self.members.list_members, self.store, self.clock
            ),
            self.router.metrics,
            self.clock,
        )
        self.orders = orders.OrdersController(
            settings_.vm_name,
            self.incarnation,
            self.store,
            self.configuration.source,
            self._find_engine,
            self.router.scheduling.read_loads,
            self._may_issue_orders,
            self.clock,
        )
        self.tunnels = tunnels.TunnelServer(
            self.router.loop,
            self.paths,
            self.configuration.source,
            tunnels.compute_max_tunnels(settings_.vm_link_mbps),
            self.clock,
        )
        self.router.shutdown.count_forwarded = self.tunnels.count_busy
        for part in (self.paths, self.tunnels):
            part.report(self.router.metrics)
        self.peer_server = peer_server.PeerServer(
            settings_.vm_address,
            settings_.peers_port,
            settings_.peers_secret,
            {
                MEMBERSHIP: Membership.Processor(self.members.exchange),
                ALLOWANCES: Allowances.Processor(
                    allowances.AllowanceService(self.shares, self.clock)
                ),
                CLAIMS: Claims.Processor(self.claims.handler),
                configuration_service.SERVICE: self.configuration.processor,
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

    def start(self) -> None:
        """Start serving peers, then callers; returns at once."""
        self.peer_server.start()
        self.datagrams.start()
        self.members.start()
        self.configuration.start()
        self.claims.start()
        self.slots.start()
        self.allowances.start()
        self.paths.start()
        self.router.start()
        self.dissemination.start()
        self.notes.start()
        self.probing.start()
        self.reports.start()
        self.reconciling.start()
        self.orders.start()

    def stop(self, graceful: bool = True) -> None:
        """Stop serving callers, then stop everything else.

        :param graceful: whether running requests may finish first
        """
        self.tunnels.stop_accepting()
        self.router.stop(graceful)
        self.allowances.stop()
        self.slots.stop()
        if graceful:
            # Otherwise this VM's fractions of all allowances would be
            # unavailable until its successor starts, and accounts would be
            # rejected although they are within their rate.
            self.allowances.return_loans()
            self.slots.release_all()
        # In parallel, because each may wait for its current step to end.
        controllers = (
            self.orders,
            self.reconciling,
            self.reports,
            self.probing,
            self.notes,
            self.paths,
            self.dissemination,
            self.configuration,
            self.members,
            self.claims,
        )
        with concurrent.futures.ThreadPoolExecutor() as executor:
            list(
                executor.map(lambda controller: controller.stop(), controllers)
            )
        self.datagrams.stop()
        self.peer_server.stop()
        self.tunnels.close()

    def hasten_stop(self) -> None:
        """Answer open requests at once instead of waiting for upstreams."""
        self.router.shutdown.hasten()

    def is_stop_overdue(self) -> bool:
        """Return whether the process has to exit, whatever is still open."""
        return self.router.shutdown.is_overdue()

    def _find_engine(
        self, pool: str, upstream: str
    ) -> upstreams.Engine | None:
        return directory.find_engine_by_name(
            self.configuration.source.get_tables(),
            self.directory,
            pool,
            upstream,
        )

    def _may_issue_orders(self) -> bool:
        candidates = leader_lease.choose_candidates(
            self.paths.list_reaching(self.members.list_alive())
        )
        return self.settings.vm_name in candidates

    def _make_members(self) -> membership.MembershipController:
        settings_ = self.settings
        local_member = member.Member(
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
            local_member,
            settings_.peers_seeds,
            self.client,
            self.store,
            self.clock,
            settings_.peers_period_ms,
        )

    def _make_router(self) -> router.Router:
        settings_ = self.settings
        source = self.configuration.source
        return router.Router(
            settings_,
            self.clock,
            self.incarnation,
            source,
            scheduler.FairScheduler(
                settings_.vm_name,
                self.incarnation,
                fairness.find_fairness_mode(settings_.policy_weighing),
                seed=random.SystemRandom().getrandbits(32),
                zones=self.zones.costs,
            ),
            self.allowances,
            self.members,
            native_api.NativeApi(self.claims),
            on_drain=lambda: self.members.update_local(is_stopping=True),
            directory_=self.directory,
            has_settled=self.shares.has_all_holders,
            on_ready=lambda: self.members.update_local(is_starting=False),
        )

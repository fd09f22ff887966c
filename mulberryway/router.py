"""The router of one VM, which serves callers' requests."""

import collections.abc
import functools
import gc
import logging
import resource
import sys
import threading

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import metrics
from mulberryway import replies
from mulberryway import settings
from mulberryway import tables
from mulberryway import traces
from mulberryway.controllers import cancelling
from mulberryway.controllers import scheduling
from mulberryway.filters import caller_api
from mulberryway.filters import chain
from mulberryway.filters import model_dependencies
from mulberryway.filters import status
from mulberryway.policy import allowance
from mulberryway.policy import base as policy
from mulberryway.policy import connection_limits
from mulberryway.policy import endpoints
from mulberryway.policy import memory_budget
from mulberryway.relay import loop
from mulberryway.relay import memory
from mulberryway.relay import pump
from mulberryway.relay import stream as streams
from mulberryway.relay import watch
from mulberryway.server import gateway
from mulberryway.server import http_server
from mulberryway.server import shutdown
from mulberryway.upstreams import call_details
from mulberryway.upstreams import directory

__all__ = ["Router"]

LOG = logging.getLogger(__name__)

# The interval after which Python switches between computing threads.  With the
# default of 5 ms, a worker that parses a long prompt blocks the relay's event
# loop for 5 ms, which is the whole allowed increase of an inter-token gap.
THREAD_SWITCH_INTERVAL_S = 0.000_5
# Requests create many short-lived objects and few reference cycles, and each
# garbage collection pauses all streams.  So collections are rare, and objects
# that live as long as the process are excluded.
GC_THRESHOLDS = (20_000, 20, 50)
# Where neither the kernel nor the settings limit descriptors.
MAX_DESCRIPTORS = 65_536
POLL_MS = 20
READY_POLL_MS = 100
MS_IN_S = 1_000
# How long a server waits for its workers if there is no grace period.
JOIN_TIMEOUT_S = 5.0
# Health checks and discovery requests are few and short.
AUXILIARY_THREADS = 2
# A chosen upstream is used without checking the tables again for the time that
# draining upstreams still serve, divided by this.
CHOICE_TTL_DIVISOR = 2


class Router(status.Lifecycle):
    """Serves callers with the components that it is given.

    :param settings_: the settings of the process
    :param clock_: the source of the current time
    :param incarnation: the incarnation of this VM's router
    :param source: provides the active tables
    :param scheduler: assigns engines to model requests
    :param allowances: the token allowances of all client accounts
    :param entries: lists the VMs that accept callers
    :param api: the interface for callers
    :param try_withdraw_retry: withdraws a retry from a pool's retry budget
    :param on_drain: called when new callers should use other VMs
    :param directory_: finds upstreams; over HTTP by default
    :param has_settled: returns whether the accounts' tokens are available to
        this VM; not called again after it has returned true
    :param on_ready: called once, when the VM becomes ready for callers
    :param fault_format: how faults are reported to callers
    :param closes_revoked_streams: whether a revoked key also ends running
        streams, or only prevents new requests
    """

    def __init__(
        self,
        settings_: settings.Settings,
        clock_: clock.Clock,
        incarnation: int,
        source: tables.TableSource,
        scheduler: policy.Scheduler,
        allowances: allowance.Allowances,
        entries: endpoints.EndpointDirectory,
        api: caller_api.CallerApi,
        try_withdraw_retry: collections.abc.Callable[
            [str], bool
        ] = lambda pool: True,
        on_drain: collections.abc.Callable[[], None] = lambda: None,
        directory_: directory.UpstreamDirectory | None = None,
        has_settled: collections.abc.Callable[[], bool] = lambda: True,
        on_ready: collections.abc.Callable[[], None] = lambda: None,
        fault_format: replies.FaultFormat = replies.NATIVE_FORMAT,
        closes_revoked_streams: bool = True,
    ) -> None:
        self.settings = settings_
        self.clock = clock_
        self.metrics = metrics.Metrics(
            settings_.vm_name,
            settings_.telemetry_otlp_url,
            settings_.telemetry_export_ms,
            bool(settings_.telemetry_metrics_address),
        )
        self.tracer = traces.Tracer(
            settings_.vm_name, settings_.telemetry_otlp_url
        )
        self.loop = loop.EventLoop("relay", clock_)
        self.relay = pump.Relay(
            self.loop,
            memory.MemoryGuard(
                self.loop,
                memory_budget.compute_budget_bytes(settings_.vm_memory_mb),
            ),
        )
        self.scheduling = scheduling.SchedulingController(scheduler, clock_)
        self.cancelling = cancelling.CancelController(clock_, self.metrics)
        self.directory = directory_ or directory.HttpDirectory(clock_)
        self._source = source
        self._allowances = allowances
        self._entries = entries
        self._try_withdraw_retry = try_withdraw_retry
        self._on_drain = on_drain
        self._incarnation = incarnation
        self._has_settled = has_settled
        self._was_settled = False
        self._on_ready = on_ready
        self._api = api
        self._closes_revoked_streams = closes_revoked_streams
        self.shutdown = shutdown.ShutdownController(
            clock_, lambda: self.gateway.list_open(), self._cut_streams
        )
        self._has_started = False
        self._is_draining = False
        self._has_stopped = False
        self._stop_lock = threading.Lock()
        context = self._make_filter_dependencies()
        self.gateway = gateway.GatewayFactory(
            chain.Chain(self._api.make_filters(context)),
            clock_,
            f"{settings_.vm_name}.{incarnation}",
            fault_format,
            lambda: self._is_draining,
        )
        max_connections = _compute_max_connections(settings_)
        self.server = http_server.HttpServer(
            settings_,
            self.gateway,
            self.relay,
            max_connections=max_connections,
            deadline_header=self._api.deadline_header,
        )
        auxiliary = gateway.GatewayFactory(
            chain.Chain(self._api.make_auxiliary_filters(context)),
            clock_,
            f"{settings_.vm_name}.{incarnation}.side",
        )
        self._auxiliary_servers = [
            http_server.HttpServer(
                settings_,
                auxiliary,
                self.relay,
                settings.read_port(address),
                AUXILIARY_THREADS,
                connection_limits.compute_max_side_connections(
                    max_connections
                ),
            )
            for address in (
                settings_.router_ready_address,
                settings_.router_directory_address,
                settings_.telemetry_metrics_address,
            )
            if address
        ]
        self._register_gauges()

    @property
    def is_ready(self) -> bool:
        """Whether new callers may be sent to this VM."""
        # After a VM crash its fractions of the allowances are missing for a
        # while, which must not make all other VMs unready.
        self._was_settled = self._was_settled or self._has_settled()
        return (
            self._has_started
            and self._was_settled
            and not self._is_draining
            and self._source.get_tables() is not None
        )

    @property
    def is_rejecting(self) -> bool:
        """Whether new requests are rejected."""
        return self._has_stopped or self.shutdown.is_rejecting

    @property
    def is_draining(self) -> bool:
        """Whether callers should send their next request to another VM."""
        return self._is_draining

    @property
    def stopping_since_ms(self) -> int | None:
        """When the shutdown began, in ms; none if it has not."""
        plan = self.shutdown.plan
        return None if plan is None else plan.since_ms

    def get_time_to_abort_ms(self) -> int | None:
        """Return the time until the VM answers open requests itself, in ms.

        :returns: none if no shutdown has begun
        """
        return self.shutdown.get_time_to_abort_ms()

    @property
    def running(self) -> int:
        """The number of requests in the router, including streams."""
        return self.gateway.running

    @property
    def port(self) -> int:
        """The port that callers connect to."""
        return int(self.server.bind_addr[1])

    def start(self) -> None:
        """Start serving; returns at once."""
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        if gc.isenabled():
            gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        gc.enable()
        self._source.subscribe(self._update_tables)
        active = self._source.get_tables()
        if active is not None:
            self._update_tables(active)
        self.loop.start()
        self.scheduling.start()
        self.cancelling.start()
        self.server.start()
        for server in self._auxiliary_servers:
            server.start()
        self._has_started = True
        threading.Thread(
            target=self._await_ready, name="ready", daemon=True
        ).start()
        LOG.info("router listening on port %d", self.port)

    def _await_ready(self) -> None:
        started_ms = self.clock.now_ms()
        reported: list[str] | None = None
        while not self.is_ready and not self.is_rejecting:
            missing = self._list_missing()
            if missing != reported:
                reported = missing
                self._log_readiness(started_ms, missing)
            self.clock.sleep_ms(READY_POLL_MS)
        self._log_readiness(started_ms, self._list_missing())
        self._on_ready()

    def _list_missing(self) -> list[str]:
        """Return the conditions for readiness that are not met yet."""
        return [
            name
            for name, is_met in (
                ("tables", self._source.get_tables() is not None),
                ("allowances", self._was_settled),
                ("stopping", not self._is_draining),
            )
            if not is_met
        ]

    def _log_readiness(self, started_ms: int, missing: list[str]) -> None:
        LOG.info(
            "the VM is not ready" if missing else "the VM is ready",
            extra=logs.make_extra(
                missing=missing, waited_ms=self.clock.now_ms() - started_ms
            ),
        )

    def start_draining(self) -> None:
        """Direct new callers to other VMs, but keep serving requests."""
        self._is_draining = True
        self._on_drain()

    def stop(self, graceful: bool = True) -> None:
        """Stop the router; if gracefully, without cutting off any request.

        Callers cache a discovery response for its TTL, so this VM keeps
        serving for that long after it was removed from the responses.  Then
        it rejects new requests and finishes the running ones.  It answers
        itself what is open near the end of the grace period.

        :param graceful: whether to wait for running requests
        """
        with self._stop_lock:
            if graceful and self._has_started:
                settings_ = self.settings
                self.shutdown.begin(
                    settings_.router_grace_ms,
                    settings_.router_entry_ttl_ms
                    * settings_.router_entry_lives,
                )
                self.start_draining()
                self.shutdown.end_requests()
                self._await_cancels()
            self._has_stopped = True
            self._shut_down()

    def _await_cancels(self) -> None:
        while (
            self.cancelling.open
            and self.cancelling.has_recent_cancels
            and self.shutdown.has_time()
        ):
            self.clock.sleep_ms(POLL_MS)

    def _cut_streams(self, fault: errors.Fault) -> None:
        self.relay.cut(lambda stream: True, fault)

    def _shut_down(self) -> None:
        for server in (*self._auxiliary_servers, self.server):
            server.shutdown_timeout = self._compute_join_timeout_s()
            server.stop()
        self.scheduling.stop()
        self.cancelling.stop()
        self.relay.stop()
        self.loop.stop()
        self.tracer.stop()
        self.metrics.stop()

    def _compute_join_timeout_s(self) -> float:
        """Return how long a server may wait for its workers, in seconds."""
        plan = self.shutdown.plan
        if plan is None:
            return JOIN_TIMEOUT_S
        left_ms = max(plan.close_ms - self.clock.now_ms(), 0)
        return min(left_ms / MS_IN_S, JOIN_TIMEOUT_S)

    def _update_tables(self, changed: tables.Tables) -> None:
        self.scheduling.update_tables(changed)
        self.directory.update_tables(changed)
        if not self._closes_revoked_streams:
            return
        self.relay.cut(
            lambda stream: _is_key_revoked(changed, stream),
            errors.Fault(
                errors.Code.UNAUTHENTICATED,
                errors.Step.DECODE,
                run=errors.ExecutionStatus.RAN,
                message="the API key was revoked",
            ),
        )

    def _make_filter_dependencies(self) -> caller_api.FilterDependencies:
        settings_ = self.settings
        parts = model_dependencies.ModelDependencies(
            settings_.vm_name,
            self._incarnation,
            settings_.router_token_gap_ms,
            self.clock,
            self._source,
            self.scheduling,
            self.cancelling,
            self.directory,
            self.relay,
            watch.DisconnectMonitor(self.loop),
            self.tracer,
            self.metrics,
            self._try_withdraw_retry,
            settings_.upstreams_drain_ms // CHOICE_TTL_DIVISOR,
            self._closes_revoked_streams,
        )
        return caller_api.FilterDependencies(
            settings_,
            self,
            self._source,
            self._entries,
            self._allowances,
            parts,
        )

    def _register_gauges(self) -> None:
        self.scheduling.report(self.metrics)
        self.shutdown.reports.report(self.metrics)
        for name, description, read in (
            ("streams", "streams on their way", lambda: self.relay.count),
            ("running", "requests in the router", lambda: self.running),
            ("waiting", "jobs queued", lambda: self.scheduling.waiting),
            ("started", "jobs on engines", lambda: self.scheduling.started),
            ("cancels_open", "cancels sent", lambda: self.cancelling.open),
            (
                "connections.open",
                "connections of callers",
                lambda: self.server.open_connections,
            ),
            (
                "connections.max",
                "the most connections of callers that may be open",
                lambda: self.server.max_connections,
            ),
        ):
            self.metrics.register_gauge(name, description, read)
        self.metrics.register_labeled_gauge(
            "waiting_by_rank",
            "jobs queued, by pool and rank",
            self.scheduling.count_waiting_by_rank,
        )
        self.metrics.register_counter(
            "rejected_by_rank",
            "jobs rejected before they ran, by pool and rank",
            self.scheduling.count_rejected_by_rank,
        )
        self.metrics.register_counter(
            "connections.closed",
            "connections of callers that were closed for others",
            lambda: [({}, self.server.closed_connections)],
        )
        self.relay.guard.report(self.metrics)
        call_details.FAILURES.report(self.metrics)
        call_details.UNSOLICITED.report(self.metrics)
        for state in ("suspect", "quarantined"):
            self.metrics.register_gauge(
                f"{state}_parts",
                f"{state} parts of prompts, blamed for crashes of engines",
                functools.partial(self.scheduling.count_parts, state),
            )


def _compute_max_connections(settings_: settings.Settings) -> int:
    if settings_.router_connections:
        return settings_.router_connections
    limits = [resource.getrlimit(resource.RLIMIT_NOFILE)[0]]
    if settings_.vm_descriptors:
        limits.append(settings_.vm_descriptors)
    known = [limit for limit in limits if limit != resource.RLIM_INFINITY]
    return connection_limits.compute_max_connections(
        min(known, default=MAX_DESCRIPTORS),
        settings_.vm_memory_mb,
        memory_budget.REST_BYTES,
    )


def _is_key_revoked(changed: tables.Tables, stream: streams.Stream) -> bool:
    account = changed.find_account(stream.key_digest)
    return account is None or account.name != stream.account

"""The router of one VM: the object that runs the show."""

import collections.abc
import gc
import logging
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
from mulberryway.controllers import claims
from mulberryway.controllers import scheduling
from mulberryway.filters import caller_api
from mulberryway.filters import chain
from mulberryway.filters import model_dependencies
from mulberryway.filters import status
from mulberryway.policy import allowance
from mulberryway.policy import base as policy
from mulberryway.policy import endpoints
from mulberryway.relay import loop
from mulberryway.relay import pump
from mulberryway.relay import stream as streams
from mulberryway.relay import watch
from mulberryway.server import gateway
from mulberryway.server import http_server
from mulberryway.upstreams import directory

__all__ = ["Router"]

LOG = logging.getLogger(__name__)

# Python lets a thread compute for this long before another one may.  With
# the default of 5 ms, one worker that reads a long prompt holds the relay's
# loop up for 5 ms, which is all that a stream's pause may grow by.
THREAD_SWITCH_INTERVAL_S = 0.000_5
# Requests make many short-lived objects and few cycles, and a collection
# holds up every stream; so collections are made rarer, and what lives as
# long as the process is left out of them.
GC_THRESHOLDS = (20_000, 20, 50)
# Entry answers are a little older than their lifetime says when they come
# over a peer or a slow caller.
ENTRY_MARGIN_MS = 1_000
# So long before the end of a stop the last new calls are taken; it is more
# than a plain call usually takes.
ACCEPT_CUTOFF_MS = 1_000
POLL_MS = 20
READY_POLL_MS = 100
# What a stopping VM keeps of its time for what already runs: most streams
# end within it.
STREAM_CUTOFF_MS = 5_000
# The end of a stop is not reached to the last moment, because what is not
# over then is killed in the middle of a write.
SHUTDOWN_MARGIN_MS = 400
# Questions from the platform and for addresses are few and quick.
SIDE_THREADS = 2
# What was sent to this VM before the refusals began is on its way at most
# for so long.
IN_FLIGHT_ARRIVAL_MS = 200
# A chosen upstream is used without another look at the tables for this part
# of the time for which one that leaves serves on.
CHOICE_TTL_DIVISOR = 2


class Router(status.Lifecycle):
    """Serves callers; everything it decides with is handed to it.

    :param settings_: the settings of the process
    :param clock_: where the time comes from
    :param incarnation: which life of this VM's router this is
    :param source: the tables in force
    :param scheduler: decides about model requests
    :param allowances: the accounts' tokens
    :param entries: knows the VMs that take callers
    :param try_withdraw_retry: takes one repeat out of a pool's budget for them
    :param on_drain: called when new callers should no longer come
    :param directory_: finds upstreams; by HTTP if none is given
    :param claim_store: grants calls that must run at most once; without
        one such calls are refused
    :param has_settled: whether accounts' tokens can be found from here; once
        true, it is not asked again
    :param on_ready: called once, when callers may come for the first time
    :param api: how callers speak; the project's own way if none is
        given
    :param fault_format: how faults are told to callers
    :param closes_revoked_streams: whether a withdrawn key ends running streams
        too, or only stops new requests
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
        try_withdraw_retry: collections.abc.Callable[
            [str], bool
        ] = lambda pool: True,
        on_drain: collections.abc.Callable[[], None] = lambda: None,
        directory_: directory.UpstreamDirectory | None = None,
        claim_store: claims.ClaimStore | None = None,
        has_settled: collections.abc.Callable[[], bool] = lambda: True,
        on_ready: collections.abc.Callable[[], None] = lambda: None,
        api: caller_api.CallerApi | None = None,
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
        self.relay = pump.Relay(self.loop)
        self.scheduling = scheduling.SchedulingController(scheduler, clock_)
        self.cancelling = cancelling.CancelController(clock_, self.metrics)
        self.directory = directory_ or directory.HttpDirectory(clock_)
        self._source = source
        self._allowances = allowances
        self._entries = entries
        self._may_repeat = try_withdraw_retry
        self._on_withdraw = on_drain
        self._claim_store = claim_store
        self._incarnation = incarnation
        self._has_settled = has_settled
        self._was_settled = False
        self._on_ready = on_ready
        self._interface = api or caller_api.NativeApi()
        self._cuts_withdrawn = closes_revoked_streams
        self._stop_at_ms: int | None = None
        self._has_begun = False
        self._is_withdrawn = False
        self._is_refusing = False
        self._stop_lock = threading.Lock()
        context = self._make_context()
        self.gateway = gateway.GatewayFactory(
            chain.Chain(self._interface.make_filters(context)),
            clock_,
            f"{settings_.vm_name}.{incarnation}",
            fault_format,
        )
        self.server = http_server.HttpServer(
            settings_, self.gateway, self.relay
        )
        side = gateway.GatewayFactory(
            chain.Chain(self._interface.make_auxiliary_filters(context)),
            clock_,
            f"{settings_.vm_name}.{incarnation}.side",
        )
        self._side_servers = [
            http_server.HttpServer(
                settings_,
                side,
                self.relay,
                settings.read_port(address),
                SIDE_THREADS,
            )
            for address in (
                settings_.router_ready_address,
                settings_.router_directory_address,
                settings_.telemetry_metrics_address,
            )
            if address
        ]
        self._observe()

    @property
    def is_ready(self) -> bool:
        """Whether new callers should come here."""
        # A dead VM's parts of allowances are missing for a while; that must
        # not take all the others out of the answers.
        self._was_settled = self._was_settled or self._has_settled()
        return (
            self._has_begun
            and self._was_settled
            and not self._is_withdrawn
            and self._source.read_tables() is not None
        )

    @property
    def is_rejecting(self) -> bool:
        """Whether new requests are refused."""
        return self._is_refusing

    @property
    def is_draining(self) -> bool:
        """Whether callers should use another VM for their next request."""
        return self._is_withdrawn

    @property
    def is_near_shutdown(self) -> bool:
        """Whether work that takes seconds could not end in time any more."""
        end = self._stop_at_ms
        return end is not None and end - self.clock.now_ms() < STREAM_CUTOFF_MS

    @property
    def running(self) -> int:
        """How many requests are in the router, streams included."""
        return self.gateway.running

    @property
    def port(self) -> int:
        """The port that callers connect to."""
        return int(self.server.bind_addr[1])

    def start(self) -> None:
        """Begin to serve; returns at once."""
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self._source.subscribe(self._change_tables)
        found = self._source.read_tables()
        if found is not None:
            self._change_tables(found)
        self.loop.start()
        self.scheduling.start()
        self.cancelling.start()
        self.server.start()
        for server in self._side_servers:
            server.start()
        self._has_begun = True
        threading.Thread(
            target=self._await_ready, name="ready", daemon=True
        ).start()
        LOG.info("the router serves on port %d", self.port)

    def _await_ready(self) -> None:
        began_ms = self.clock.now_ms()
        told: list[str] | None = None
        while not self.is_ready and not self._is_refusing:
            missing = self._list_missing()
            if missing != told:
                told = missing
                self._log_readiness(began_ms, missing)
            self.clock.sleep_ms(READY_POLL_MS)
        self._log_readiness(began_ms, self._list_missing())
        self._on_ready()

    def _list_missing(self) -> list[str]:
        """Return what this VM still waits for before callers may come."""
        return [
            what
            for what, is_there in (
                ("tables", self._source.read_tables() is not None),
                ("allowances", self._was_settled),
                ("stopping", not self._is_withdrawn),
            )
            if not is_there
        ]

    def _log_readiness(self, began_ms: int, missing: list[str]) -> None:
        LOG.info(
            "the VM is not ready" if missing else "the VM is ready",
            extra=logs.make_extra(
                missing=missing, waited_ms=self.clock.now_ms() - began_ms
            ),
        )

    def withdraw(self) -> None:
        """Tell new callers to go elsewhere; keep serving all who come."""
        self._is_withdrawn = True
        self._on_withdraw()

    def stop(self, graceful: bool = True) -> None:
        """Stop; if gracefully, without cutting any request.

        Callers keep an entry answer for its lifetime, so this VM serves on
        for that long after it has left the answer.  Then it refuses what is
        new, truthfully, and ends what runs.

        :param graceful: whether to wait for all of that
        """
        with self._stop_lock:
            if graceful and self._has_begun:
                settings_ = self.settings
                now_ms = self.clock.now_ms()
                end = clock.Deadline(
                    now_ms + settings_.router_grace_ms - SHUTDOWN_MARGIN_MS
                )
                self._stop_at_ms = end.at_ms
                self.withdraw()
                self.clock.sleep_ms(
                    min(
                        settings_.router_entry_ttl_ms
                        * settings_.router_entry_lives
                        + ENTRY_MARGIN_MS,
                        max(settings_.router_grace_ms - ACCEPT_CUTOFF_MS, 0),
                    )
                )
                self._is_refusing = True
                self._drain(end)
            self._is_refusing = True
            self._shut_down()

    def _drain(self, end: clock.Deadline) -> None:
        # cheroot's own stop would cut requests that take longer than its
        # five seconds, so it is called only when nothing runs.
        while not end.has_passed(self.clock.now_ms()):
            while self.running and not end.has_passed(self.clock.now_ms()):
                self.clock.sleep_ms(POLL_MS)
            self.clock.sleep_ms(IN_FLIGHT_ARRIVAL_MS)
            if not self.running:
                break
        while (
            self.cancelling.open
            and self.cancelling.has_recent_cancels
            and not end.has_passed(self.clock.now_ms())
        ):
            self.clock.sleep_ms(POLL_MS)

    def _shut_down(self) -> None:
        for server in (*self._side_servers, self.server):
            server.stop()
        self.scheduling.stop()
        self.cancelling.stop()
        self.relay.stop()
        self.loop.stop()
        self.tracer.stop()
        self.metrics.stop()

    def _change_tables(self, changed: tables.Tables) -> None:
        self.scheduling.update_tables(changed)
        self.directory.update_tables(changed)
        if not self._cuts_withdrawn:
            return
        self.relay.cut(
            lambda stream: _is_withdrawn(changed, stream),
            errors.Fault(
                errors.Code.UNAUTHENTICATED,
                errors.Step.DECODE,
                run=errors.ExecutionStatus.RAN,
                message="the key was withdrawn",
            ),
        )

    def _make_context(self) -> caller_api.FilterDependencies:
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
            self._may_repeat,
            settings_.upstreams_drain_ms // CHOICE_TTL_DIVISOR,
            self._cuts_withdrawn,
        )
        return caller_api.FilterDependencies(
            settings_,
            self,
            self._source,
            self._entries,
            self._allowances,
            self._claim_store,
            parts,
        )

    def _observe(self) -> None:
        for name, description, read in (
            ("streams", "streams on their way", lambda: self.relay.count),
            ("running", "requests in the router", lambda: self.running),
            ("waiting", "jobs queued", lambda: self.scheduling.waiting),
            ("started", "jobs on engines", lambda: self.scheduling.started),
            ("cancels_open", "cancels sent", lambda: self.cancelling.open),
        ):
            self.metrics.register_gauge(name, description, read)


def _is_withdrawn(changed: tables.Tables, stream: streams.Stream) -> bool:
    account = changed.find_account(stream.key_digest)
    return account is None or account.name != stream.account

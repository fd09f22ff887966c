"""The filter chain for requests in the platform's protocol."""

import collections.abc

from mulberryway.controllers import server_load_gossip
from mulberryway.controllers import version_tracking
from mulberryway.filters import admission
from mulberryway.filters import authentication
from mulberryway.filters import base
from mulberryway.filters import caller_api
from mulberryway.filters import model_forward
from mulberryway.filters import observe
from mulberryway.filters import repeats
from mulberryway.filters import resumption
from mulberryway.filters import route
from mulberryway.filters import service_forward
from mulberryway.filters import status
from mulberryway.platform import callers
from mulberryway.platform import wire
from mulberryway.policy import cold_start
from mulberryway.policy import send_limits
from mulberryway.policy import server_selection
from mulberryway.policy import zone_overflow

__all__ = ["PlatformInterface"]


class PlatformInterface(caller_api.CallerApi):
    """Forwards requests unchanged, with parameters taken from headers.

    :param budget: the retry budget, shared by all requests
    :param tracker: knows the software versions of streams
    :param shares: this VM's shares of limits over all VMs
    :param cold_limits: what operators allow cold servers to get
    :param limits: further limits of requests to servers; none by default
    :param loads: the calls of all VMs to plain servers; none to know only
        those of this VM
    :param zones: decides when calls leave their zone; none if no call has to
        stay there
    """

    deadline_header = wire.DEADLINE

    def __init__(
        self,
        budget: repeats.SharedRetryBudget,
        tracker: version_tracking.VersionTracker,
        shares: cold_start.FleetShares | None = None,
        cold_limits: cold_start.ColdStartLimits | None = None,
        limits: send_limits.SendLimits | None = None,
        loads: server_load_gossip.ServerLoadGossip | None = None,
        zones: zone_overflow.ZoneOverflow | None = None,
    ) -> None:
        self._loads = loads
        self._zones = zones
        self._limits = limits
        self._shares = shares
        self._cold_limits = cold_limits
        self._budget = budget
        self._tracker = tracker

    def make_filters(
        self, context: caller_api.FilterDependencies
    ) -> collections.abc.Sequence[base.Filter]:
        """Return the filters for requests, in order.

        :param context: the dependencies of the filters
        """
        settings_, parts = context.settings, context.parts
        return [
            observe.RequestTelemetry(
                parts.tracer, parts.metrics, parts.clock, context.lifecycle
            ),
            status.ShutdownRejection(context.lifecycle),
            authentication.Authentication(
                context.source, wire.SCHEME, scrubs_whole_request=False
            ),
            route.RouteMatcher(requires_idempotency_key=False),
            callers.RequestParser(),
            repeats.RetryBudgetDeposit(self._budget),
            status.LateStreamRejection(context.lifecycle),
            resumption.StreamResumption(self._tracker),
            admission.Admission(context.allowances, charges_maximum=True),
            model_forward.ModelForward(parts, model_forward.make_raw_stream),
            service_forward.ServiceForward(
                parts.directory,
                server_selection.ServerSelector(
                    settings_.vm_zone,
                    self._shares,
                    self._cold_limits,
                    self._limits,
                    self._loads.book if self._loads else None,
                    self._zones,
                ),
                parts.tracer,
                parts.clock,
                context.source,
                parts.callers,
                parts.try_withdraw_retry,
                parts.scheduling,
                self._loads.lock if self._loads else None,
                context.lifecycle.get_time_to_abort_ms,
            ),
        ]

    def make_auxiliary_filters(
        self, context: caller_api.FilterDependencies
    ) -> collections.abc.Sequence[base.Filter]:
        """Return the filters for platform and telemetry endpoints.

        :param context: the dependencies of the filters
        """
        return [
            callers.PlatformEndpoints(
                context.lifecycle,
                context.entries,
                context.settings.router_entry_ttl_ms,
            ),
            *super().make_auxiliary_filters(context),
        ]

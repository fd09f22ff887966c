"""The filter chain of the native API."""

import collections.abc

from mulberryway.controllers import claims
from mulberryway.filters import admission
from mulberryway.filters import authentication
from mulberryway.filters import base
from mulberryway.filters import caller_api
from mulberryway.filters import model_forward
from mulberryway.filters import observe
from mulberryway.filters import once
from mulberryway.filters import route
from mulberryway.filters import service_forward
from mulberryway.filters import status
from mulberryway.policy import server_selection

__all__ = ["NativeApi"]


class NativeApi(caller_api.CallerApi):
    """The native API, as described in docs/design/interfaces.md.

    :param claim_store: claims calls that must run at most once; without
        one such calls are rejected
    """

    def __init__(self, claim_store: claims.ClaimStore | None = None) -> None:
        self._claim_store = claim_store

    def make_filters(
        self, context: caller_api.FilterDependencies
    ) -> collections.abc.Sequence[base.Filter]:
        """Return the filters for callers' requests, in order.

        :param context: the dependencies of the filters
        """
        settings_, parts = context.settings, context.parts
        return [
            status.HealthEndpoint(context.lifecycle),
            status.DiscoveryEndpoint(
                context.entries,
                settings_.vm_zone,
                settings_.router_entry_ttl_ms,
            ),
            observe.RequestTelemetry(
                parts.tracer, parts.metrics, parts.clock, context.lifecycle
            ),
            status.ShutdownRejection(context.lifecycle),
            authentication.Authentication(context.source),
            route.RouteMatcher(),
            admission.ModelRequestParser(),
            admission.Admission(context.allowances),
            model_forward.ModelForward(parts),
            once.IdempotencyGuard(
                self._claim_store,
                parts.clock,
                context.lifecycle.get_time_to_abort_ms,
                settings_.platform_timeout_ms,
            ),
            service_forward.ServiceForward(
                parts.directory,
                server_selection.ServerSelector(settings_.vm_zone),
                parts.tracer,
                parts.clock,
                context.source,
                get_time_to_abort_ms=context.lifecycle.get_time_to_abort_ms,
            ),
        ]

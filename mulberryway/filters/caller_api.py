"""Defines which filters process a request, and in which order."""

import abc
import collections.abc

from mulberryway import settings
from mulberryway import tables
from mulberryway.controllers import claims
from mulberryway.filters import admission
from mulberryway.filters import authentication
from mulberryway.filters import base
from mulberryway.filters import model_dependencies
from mulberryway.filters import model_forward
from mulberryway.filters import observe
from mulberryway.filters import once
from mulberryway.filters import route
from mulberryway.filters import service_forward
from mulberryway.filters import status
from mulberryway.policy import allowance
from mulberryway.policy import endpoints
from mulberryway.policy import server_selection

__all__ = ["FilterDependencies", "CallerApi", "NativeApi"]


class FilterDependencies:
    """Dependencies that a router's filters are created from.

    :param settings_: the settings of the process
    :param lifecycle: the state of the VM's startup and shutdown
    :param source: provides the active tables
    :param entries: lists the VMs that accept callers
    :param allowances: the token allowances of all client accounts
    :param claim_store: claims calls that must run at most once, or none
    :param parts: the dependencies shared by all model requests
    """

    __slots__ = (
        "settings",
        "lifecycle",
        "source",
        "entries",
        "allowances",
        "claim_store",
        "parts",
    )

    def __init__(
        self,
        settings_: settings.Settings,
        lifecycle: status.Lifecycle,
        source: tables.TableSource,
        entries: endpoints.EndpointDirectory,
        allowances: allowance.Allowances,
        claim_store: claims.ClaimStore | None,
        parts: model_dependencies.ModelDependencies,
    ) -> None:
        self.settings = settings_
        self.lifecycle = lifecycle
        self.source = source
        self.entries = entries
        self.allowances = allowances
        self.claim_store = claim_store
        self.parts = parts


class CallerApi(abc.ABC):
    """Base class of the interfaces that a router can offer to callers."""

    @abc.abstractmethod
    def make_filters(
        self, context: FilterDependencies
    ) -> collections.abc.Sequence[base.Filter]:
        """Return the filters for callers' requests, in order.

        :param context: the dependencies of the filters
        """

    def make_auxiliary_filters(
        self, context: FilterDependencies
    ) -> collections.abc.Sequence[base.Filter]:
        """Return the filters for requests on auxiliary ports.

        :param context: the dependencies of the filters
        """
        return [status.MetricsEndpoint(context.parts.metrics)]


class NativeApi(CallerApi):
    """The native API, as described in docs/design/interfaces.md."""

    def make_filters(
        self, context: FilterDependencies
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
            observe.RequestTelemetry(parts.tracer, parts.metrics, parts.clock),
            status.ShutdownRejection(context.lifecycle),
            authentication.Authentication(context.source),
            route.RouteMatcher(),
            admission.ModelRequestParser(),
            admission.Admission(context.allowances),
            model_forward.ModelForward(parts),
            once.IdempotencyGuard(context.claim_store),
            service_forward.ServiceForward(
                parts.directory,
                server_selection.ServerSelector(settings_.vm_zone),
                parts.tracer,
                parts.clock,
                context.source,
            ),
        ]

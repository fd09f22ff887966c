"""Defines which filters process a request, and in which order."""

import abc
import collections.abc

from mulberryway import settings
from mulberryway import tables
from mulberryway.filters import base
from mulberryway.filters import model_dependencies
from mulberryway.filters import status
from mulberryway.policy import allowance
from mulberryway.policy import endpoints

__all__ = ["FilterDependencies", "CallerApi"]


class FilterDependencies:
    """Dependencies that a router's filters are created from.

    :param settings_: the settings of the process
    :param lifecycle: the state of the VM's startup and shutdown
    :param source: provides the active tables
    :param entries: lists the VMs that accept callers
    :param allowances: the token allowances of all client accounts
    :param parts: the dependencies shared by all model requests
    """

    __slots__ = (
        "settings",
        "lifecycle",
        "source",
        "entries",
        "allowances",
        "parts",
    )

    def __init__(
        self,
        settings_: settings.Settings,
        lifecycle: status.Lifecycle,
        source: tables.TableSource,
        entries: endpoints.EndpointDirectory,
        allowances: allowance.Allowances,
        parts: model_dependencies.ModelDependencies,
    ) -> None:
        self.settings = settings_
        self.lifecycle = lifecycle
        self.source = source
        self.entries = entries
        self.allowances = allowances
        self.parts = parts


class CallerApi(abc.ABC):
    """Base class of the interfaces that a router can offer to callers.

    ``deadline_header`` names the header in which a caller says how many ms it
    will wait; it is empty if callers do not say it.
    """

    deadline_header = ""

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

"""Registers this VM in the platform's store so that others can find it."""

import collections.abc
import logging

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway.controllers import base
from mulberryway.objects import base as objects
from mulberryway.policy import member

__all__ = ["RegistrationController"]

LOG = logging.getLogger(__name__)

KIND = "vms"
PURPOSE = "registration"
# Retry interval until the entry is written.  Only VMs that can reach none of
# their seeds need the entry, so it is not urgent.
RETRY_MS = 3_000
REGISTERED_PERIOD_MS = 600_000


class RegistrationController(base.Controller):
    """Writes this VM's entry once and reads the list of VMs.

    :param own: this VM
    :param store: the platform's store
    :param clock_: the clock
    :param on_listed: called once with all VMs that have an entry
    """

    def __init__(
        self,
        own: member.Member,
        store: objects.ObjectStore,
        clock_: clock.Clock,
        on_listed: collections.abc.Callable[
            [list[objects.ListedVm]], None
        ] = lambda listed: None,
    ) -> None:
        super().__init__("registration", clock_, RETRY_MS)
        self._own = own
        self._store = store
        self._on_listed = on_listed

    def step(self) -> None:
        """Write the entry unless it has been written."""
        if self.period_ms == REGISTERED_PERIOD_MS:
            return
        value = {"address": self._own.peer, "zone": self._own.zone}
        result = self._store.create(KIND, self._own.name, value, PURPOSE)
        fault = result.error if result.is_error() else None
        # An entry of a previous incarnation has the same contents.
        if fault is None or fault.code is errors.Code.CONFLICT:
            fault = self._list()
        if fault is None:
            self.period_ms = REGISTERED_PERIOD_MS
            return
        LOG.info(
            "this VM could not be registered",
            extra=logs.make_extra(fault, retry_ms=RETRY_MS),
        )

    def _list(self) -> errors.Fault | None:
        result = self._store.list_vms(PURPOSE)
        if result.is_error():
            return result.error
        self._on_listed(result.ok)
        return None

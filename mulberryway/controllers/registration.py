"""Registers this VM in the platform's store so that others can find it."""

import collections.abc
import logging
import random

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
# All VMs register again after the store's return from a copy; 410 within this
# time need a sixth of the store's writes.
REREGISTRATION_SPREAD_MS = 2_000


class RegistrationController(base.Controller):
    """Writes this VM's entry and reads the list of VMs.

    The entry is written again when the store may have lost it.

    :param own: this VM
    :param store: the platform's store
    :param clock_: the clock
    :param on_listed: called once with all VMs that have an entry

    ``renewals`` counts how often the entry was written again.
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
        self._random = random.Random()
        self._must_wait = False
        self._was_registered = False
        self.renewals = 0

    def renew(self) -> None:
        """Write the entry again soon, unless the store has it."""
        self._must_wait = True
        self.wake()

    def step(self) -> None:
        """Write the entry unless it has been written."""
        if self._must_wait:
            self._must_wait = False
            self.period_ms = self._random.randint(1, REREGISTRATION_SPREAD_MS)
            return
        if self.period_ms == REGISTERED_PERIOD_MS:
            return
        value = {"address": self._own.peer, "zone": self._own.zone}
        result = self._store.create(KIND, self._own.name, value, PURPOSE)
        fault = result.error if result.is_error() else None
        if fault is None:
            LOG.info("this VM is registered", extra=logs.make_extra())
            self.renewals += self._was_registered
        # An entry of a previous incarnation has the same contents.
        if fault is None or fault.code is errors.Code.CONFLICT:
            # In a large fleet all VMs renew their entries at about the same
            # time, and know each other.
            fault = None if self._was_registered else self._list()
        if fault is None:
            self._was_registered = True
            self.period_ms = REGISTERED_PERIOD_MS
            return
        self.period_ms = RETRY_MS
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

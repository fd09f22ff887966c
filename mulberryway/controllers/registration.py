"""Tells the platform's store of this VM, so that others can find it."""

import logging

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway.controllers import base
from mulberryway.objects import base as objects
from mulberryway.policy import member

__all__ = ["Registration"]

LOG = logging.getLogger(__name__)

KIND = "vms"
PURPOSE = "registration"
# Until it is written it is tried this often; it matters only to VMs whose
# seeds are all gone, so nothing hangs on the moment.
RETRY_MS = 3_000
DONE_MS = 600_000


class Registration(base.Controller):
    """Writes this VM's entry once.

    :param own: this VM
    :param store: the platform's store
    :param clock_: where the time comes from
    """

    def __init__(
        self,
        own: member.Member,
        store: objects.ObjectStore,
        clock_: clock.Clock,
    ) -> None:
        super().__init__("registration", clock_, RETRY_MS)
        self._own = own
        self._store = store

    def step(self) -> None:
        """Write the entry if it is not there."""
        if self.period_ms == DONE_MS:
            return
        value = {"address": self._own.peer, "zone": self._own.zone}
        result = self._store.create(KIND, self._own.name, value, PURPOSE)
        fault = result.error if result.is_error() else None
        # An entry of an earlier life of this VM says the same.
        if fault is None or fault.code is errors.Code.CONFLICT:
            self.period_ms = DONE_MS
            return
        LOG.info(
            "this VM could not be registered",
            extra=logs.describe(fault, retry_ms=RETRY_MS),
        )

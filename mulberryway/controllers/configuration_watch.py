"""Watches the platform's root from a few selected VMs in each region."""

import collections.abc
import hashlib
import heapq
import logging
import typing

from mulberryway import clock
from mulberryway.controllers import base
from mulberryway.objects import base as platform
from mulberryway.objects import roots

__all__ = ["RootWatch", "WatchTarget", "is_selected_watcher"]

LOG = logging.getLogger(__name__)

WATCH_PURPOSE = "configuration_watch"
PERIOD_MS = 500


def is_selected_watcher(
    name: str, others: collections.abc.Collection[str], count: int
) -> bool:
    """Return whether rendezvous hashing selects a VM as a watcher.

    Each VM decides from the VMs that it considers alive.  If the VMs' views
    differ, a few more or fewer watch: that costs some calls or delays an edit
    by milliseconds, and is otherwise harmless.

    :param name: the VM's name
    :param others: the other live VMs of its region
    :param count: the number of watchers
    """
    best = heapq.nsmallest(count, {name, *others}, key=_hash)
    return name in best


def _hash(name: str) -> bytes:
    return hashlib.sha256(b"root watch:" + name.encode()).digest()


class WatchTarget(typing.Protocol):
    """Receives the roots that a watch reports."""

    def is_watcher(self) -> bool:
        """Return whether this VM is selected to watch."""

    def read_platform(self) -> bool:
        """Read the root from the platform."""

    def offer_value(self, value: dict[str, object]) -> int | None:
        """Install a root that the watch reported, if it is newer."""

    def wake(self) -> None:
        """Run the next step immediately after a root was installed."""


class RootWatch(base.Controller):
    """Keeps a watch open while this VM is selected.

    Events only make an edit arrive sooner.  They do not confirm a root:
    lines that were buffered in the socket while the process was paused look
    new when they are read, so only a request and its response confirm one.

    :param target: receives the roots
    :param store: the platform's store
    :param clock_: the clock
    :param idle_timeout_ms: maximum wait for a line, in milliseconds
    """

    def __init__(
        self,
        target: WatchTarget,
        store: platform.ObjectStore,
        clock_: clock.Clock,
        idle_timeout_ms: int,
    ) -> None:
        super().__init__("root-watch", clock_, PERIOD_MS)
        self._target = target
        self._store = store
        self._idle_timeout_ms = idle_timeout_ms

    def step(self) -> None:
        """Watch until the watch ends or this VM is no longer selected."""
        if not self._target.is_watcher():
            return
        result = self._store.read(roots.KIND, roots.NAME, WATCH_PURPOSE)
        version = 0
        if result.is_ok():
            version = result.ok.version
            self._offer(result.ok.value)
        events = self._store.watch(
            roots.KIND, version, self._idle_timeout_ms, WATCH_PURPOSE
        )
        for event in events:
            if event.is_error():
                LOG.info("watch of the root ended: %s", event.error.message)
                return
            if event.ok.type in (
                platform.EventType.ADDED,
                platform.EventType.MODIFIED,
            ):
                self._offer(event.ok.object.value)
            if self.is_stopping() or not self._target.is_watcher():
                return

    def _offer(self, value: dict[str, object]) -> None:
        if self._target.offer_value(value) is not None:
            self._target.wake()

"""Watches the platform's root on a few chosen VMs of each region."""

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
    """Tell whether a VM is among those that watch, by rendezvous hashing.

    Each VM decides for itself from the VMs that it believes alive.  Where
    they disagree a few more or fewer watch, which costs a call or some
    milliseconds and breaks nothing.

    :param name: the VM
    :param others: the other live VMs of its region
    :param count: how many are to watch
    """
    best = heapq.nsmallest(count, {name, *others}, key=_hash)
    return name in best


def _hash(name: str) -> bytes:
    return hashlib.sha256(b"root watch:" + name.encode()).digest()


class WatchTarget(typing.Protocol):
    """What a watch reports to."""

    def is_watcher(self) -> bool:
        """Tell whether this VM is to watch."""

    def read_platform(self) -> bool:
        """Read the root now."""

    def offer_value(self, value: dict[str, object]) -> int | None:
        """Take over a root that the watch reported."""

    def wake(self) -> None:
        """Pass on what was taken."""


class RootWatch(base.Controller):
    """Keeps a watch open while this VM is chosen.

    Events speed an edit up; they confirm nothing.  Lines that wait in a
    socket while the process is paused look new when they are read, so only
    a question asked and answered confirms a root.

    :param target: what to report to
    :param store: the platform
    :param clock_: where the time comes from
    :param idle_timeout_ms: the longest wait for a line
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
        self._silence_ms = idle_timeout_ms

    def step(self) -> None:
        """Watch until the watch ends or another VM is chosen."""
        if not self._target.is_watcher():
            return
        found = self._store.read(roots.KIND, roots.NAME, WATCH_PURPOSE)
        version = 0
        if found.is_ok():
            version = found.ok.version
            self._take(found.ok.value)
        events = self._store.watch(
            roots.KIND, version, self._silence_ms, WATCH_PURPOSE
        )
        for event in events:
            if event.is_error():
                LOG.info("the watch of roots ended: %s", event.error.message)
                return
            if event.ok.type in (
                platform.EventType.ADDED,
                platform.EventType.MODIFIED,
            ):
                self._take(event.ok.object.value)
            if self.is_stopping() or not self._target.is_watcher():
                return

    def _take(self, value: dict[str, object]) -> None:
        if self._target.offer_value(value) is not None:
            self._target.wake()

"""Determines whether the router that started a request still runs."""

import abc
import collections.abc
import enum
import threading

from mulberryway import clock
from mulberryway.objects import base as platform
from mulberryway.policy import member

__all__ = ["Liveness", "MembershipLivenessChecker", "LivenessChecker"]

PURPOSE = "reconciling"
# How long the platform's VM list is cached.
LIST_TTL_MS = 5_000


class Liveness(enum.Enum):
    """Liveness of one incarnation of a VM's router."""

    ALIVE = "alive"
    DEAD = "dead"
    UNKNOWN = "unknown"


class LivenessChecker(abc.ABC):
    """Determines the liveness of the routers that own requests."""

    @abc.abstractmethod
    def is_alive(self, vm: str, incarnation: int) -> Liveness:
        """Determine whether an incarnation of a VM's router still runs.

        :param vm: the VM's name
        :param incarnation: the incarnation
        :returns: ``DEAD`` only if that is certain
        """


class MembershipLivenessChecker(LivenessChecker):
    """Combines gossiped membership with the platform's list of VMs.

    A VM that the others cannot reach may still reach engines and callers,
    so membership alone does not prove that it is dead.  An incarnation is
    certainly dead if a newer one runs on the same VM, because incarnations
    do not overlap, or if the VM neither answers nor is in the platform's
    list any more.

    :param list_members: returns all known VMs, including dead ones
    :param store: the platform's store, for its list of VMs
    :param clock_: the clock
    """

    def __init__(
        self,
        list_members: collections.abc.Callable[[], list[member.Member]],
        store: platform.ObjectStore,
        clock_: clock.Clock,
    ) -> None:
        self._list_members = list_members
        self._store = store
        self._clock = clock_
        self._lock = threading.Lock()
        self._listed: frozenset[str] | None = None
        self._listed_ms = 0

    def is_alive(self, vm: str, incarnation: int) -> Liveness:
        """Determine whether an incarnation of a VM's router still runs.

        :param vm: the VM's name
        :param incarnation: the incarnation
        :returns: ``DEAD`` only if that is certain
        """
        known = next(
            (entry for entry in self._list_members() if entry.name == vm), None
        )
        if known is None or known.incarnation < incarnation:
            return Liveness.UNKNOWN
        if known.incarnation > incarnation:
            return Liveness.DEAD
        if known.health is not member.MemberStatus.DEAD:
            return Liveness.ALIVE
        return Liveness.DEAD if self._is_unlisted(vm) else Liveness.UNKNOWN

    def _is_unlisted(self, vm: str) -> bool:
        with self._lock:
            now_ms = self._clock.now_ms()
            if self._listed is None or now_ms - self._listed_ms > LIST_TTL_MS:
                listed = self._store.list_vms(PURPOSE)
                if listed.is_error() or not listed.ok:
                    # An empty list can only be an error.
                    return False
                self._listed = frozenset(entry.name for entry in listed.ok)
                self._listed_ms = now_ms
            return vm not in self._listed

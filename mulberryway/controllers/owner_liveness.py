"""Tells whether the router that started a request still lives."""

import abc
import collections.abc
import enum
import threading

from mulberryway import clock
from mulberryway.objects import base as platform
from mulberryway.policy import member

__all__ = ["Liveness", "MembershipLivenessChecker", "LivenessChecker"]

PURPOSE = "reconciling"
# One reading of the platform's list serves all questions for this long.
LIST_TTL_MS = 5_000


class Liveness(enum.Enum):
    """What is known about one life of a VM's router."""

    ALIVE = "alive"
    DEAD = "dead"
    UNKNOWN = "unknown"


class LivenessChecker(abc.ABC):
    """What is known about the routers that own requests."""

    @abc.abstractmethod
    def is_alive(self, vm: str, incarnation: int) -> Liveness:
        """Tell whether one life of a VM's router still goes on.

        :param vm: the VM's name
        :param incarnation: which life
        :returns: ``DEAD`` only if that is certain
        """


class MembershipLivenessChecker(LivenessChecker):
    """Joins what the VMs tell one another with the platform's list.

    A VM that the others cannot reach may still reach engines and callers,
    so their word alone is not enough.  Certain are a newer life on the same
    VM, which cannot begin before the older has ended, and a VM that is
    neither answering nor in the platform's list any more.

    :param list_members: returns all VMs known, dead ones included
    :param store: the platform, for its list of VMs
    :param clock_: where the time comes from
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
        """Tell whether one life of a VM's router still goes on.

        :param vm: the VM's name
        :param incarnation: which life
        :returns: ``DEAD`` only if that is certain
        """
        found = next(
            (one for one in self._list_members() if one.name == vm), None
        )
        if found is None or found.incarnation < incarnation:
            return Liveness.UNKNOWN
        if found.incarnation > incarnation:
            return Liveness.DEAD
        if found.health is not member.MemberStatus.DEAD:
            return Liveness.ALIVE
        return Liveness.DEAD if self._has_left(vm) else Liveness.UNKNOWN

    def _has_left(self, vm: str) -> bool:
        with self._lock:
            now_ms = self._clock.now_ms()
            if self._listed is None or now_ms - self._listed_ms > LIST_TTL_MS:
                listed = self._store.list_vms(PURPOSE)
                if listed.is_error() or not listed.ok:
                    # A list that names nobody is a list that is broken.
                    return False
                self._listed = frozenset(one.name for one in listed.ok)
                self._listed_ms = now_ms
            return vm not in self._listed

"""Copies of what the platform's store holds, never older than before.

A copy comes from the store or from another VM; which of two is newer is
told by the store's own revision alone, never by the time of arrival.
"""

import collections.abc

from mulberryway.objects import base
from mulberryway.policy import mass_expiry

__all__ = ["RetainedObject", "Mirror"]


class RetainedObject:
    """An object that counts although the store has removed it.

    :param object_: the object
    :param revision: the store's revision up to which the removal was told
    :param noticed_ms: when it was noticed
    :param until_ms: how long the object still counts
    :param absence: the absence of the store in which it lapsed; none where
        the removals themselves, or another VM, told of the lapse
    """

    __slots__ = ("object", "revision", "noticed_ms", "until_ms", "absence")

    def __init__(
        self,
        object_: base.StoredObject,
        revision: int,
        noticed_ms: int,
        until_ms: int,
        absence: mass_expiry.UnreachablePeriod | None = None,
    ) -> None:
        self.object = object_
        self.revision = revision
        self.noticed_ms = noticed_ms
        self.until_ms = until_ms
        self.absence = absence


class Mirror:
    """One kind of objects as far as it is known.

    :param kind: the plural kind
    :param detector: decides whether removed objects have lapsed and still
        count for a while; without it removals count at once

    ``objects`` are those that the store holds.  ``revision`` grows with any
    change in the store, and a watch goes on from it; ``changed_revision`` only
    with changes of this kind, so that two VMs which know the same tell the
    same. ``edits`` counts changes of the copy itself, also those that the
    store did not tell.
    """

    __slots__ = (
        "kind",
        "objects",
        "revision",
        "changed_revision",
        "edits",
        "_detector",
        "_removed",
        "_removed_after",
        "_kept",
        "_unreported",
    )

    def __init__(
        self, kind: str, detector: mass_expiry.MassExpiryDetector | None = None
    ) -> None:
        self.kind = kind
        self.objects: dict[str, base.StoredObject] = {}
        self.revision = 0
        self.changed_revision = 0
        self.edits = 0
        self._detector = detector
        # Objects that were removed in or after one absence; that they lapsed
        # may show only when more of them go.
        self._removed: dict[str, base.StoredObject] = {}
        self._removed_after: mass_expiry.UnreachablePeriod | None = None
        self._kept: dict[str, RetainedObject] = {}
        self._unreported: list[RetainedObject] = []

    def record_failure(self, began_ms: int, reason: str = "") -> None:
        """Tell that the store could not be asked.

        :param began_ms: see :meth:`lapses.LapseDetector.record_failure`
        :param reason: how the call failed
        """
        if self._detector is not None:
            self._detector.record_failure(began_ms, reason)

    def record_response(self, now_ms: int) -> None:
        """Tell that the store has answered.

        :param now_ms: the present
        """
        if self._detector is not None:
            self._detector.record_response(now_ms)

    def replace(
        self,
        objects: collections.abc.Iterable[base.StoredObject],
        revision: int,
        now_ms: int,
    ) -> bool:
        """Take over a whole copy.

        :param objects: all objects of the kind
        :param revision: the store's revision of the copy
        :param now_ms: the present
        :returns: whether it was newer
        """
        if revision <= self.revision:
            return False
        self.revision = revision
        found = {one.name: one for one in objects}
        newest = max((one.version for one in found.values()), default=0)
        self.changed_revision = max(self.changed_revision, newest)
        gone = self.objects.keys() - found.keys()
        removed = {name: self.objects.pop(name) for name in gone}
        if gone:
            # No object left bears the revision of a removal.
            self.changed_revision = max(self.changed_revision, revision)
        for one in found.values():
            self._put(one)
        self._judge(removed, gone, False, now_ms)
        return True

    def replace_from_peer(
        self,
        objects: collections.abc.Iterable[base.StoredObject],
        changed: int,
        now_ms: int,
        kept: collections.abc.Iterable[RetainedObject] = (),
    ) -> bool:
        """Take over another VM's copy.

        It holds every change up to the one that it tells, so it is newer
        exactly if it tells a later one.

        :param objects: all objects of the kind that the store holds
        :param changed: the revision of the last change that is in it
        :param now_ms: the present
        :param kept: the objects that the other VM keeps
        :returns: whether it was newer
        """
        if changed <= self.changed_revision:
            return False
        self.changed_revision = changed
        known, self.revision = self.revision, 0
        self.replace(objects, changed, now_ms)
        self.revision = max(known, changed)
        for one in kept:
            self._adopt_kept(one)
        return True

    def apply(
        self,
        events: collections.abc.Iterable[base.WatchEvent],
        revision: int,
        now_ms: int,
    ) -> bool:
        """Take in changes.

        :param events: the changes in order
        :param revision: the store's revision up to which they reach
        :param now_ms: the present
        :returns: whether anything has changed
        """
        if revision <= self.revision:
            return False
        self.revision = revision
        has_changed = False
        gone: set[str] = set()
        removed: dict[str, base.StoredObject] = {}
        for event in events:
            has_changed = True
            name = event.object.name
            self.changed_revision = max(
                self.changed_revision, event.object.version
            )
            if event.type is base.EventType.DELETED:
                # The version is that of the object's last content, which
                # says nothing of when it went.
                self.changed_revision = revision
                gone.add(name)
                if name in self.objects:
                    removed[name] = self.objects.pop(name)
            else:
                removed.pop(name, None)
                self._put(event.object)
        self._judge(removed, gone, True, now_ms)
        return has_changed

    def expire(self, now_ms: int) -> list[RetainedObject]:
        """Give up kept objects whose time is over.

        :param now_ms: the present
        :returns: those that count no longer
        """
        expired = [
            one for one in self._kept.values() if one.until_ms <= now_ms
        ]
        for one in expired:
            del self._kept[one.object.name]
        if expired:
            self.edits += 1
        return expired

    def list_objects(self) -> list[base.StoredObject]:
        """Return the objects that count."""
        kept = (one.object for one in self._kept.values())
        return [*self.objects.values(), *kept]

    def list_retained(self) -> list[RetainedObject]:
        """Return the objects that count although they were removed."""
        return list(self._kept.values())

    def find_expiry_ms(self) -> int | None:
        """Return when the next kept object's time is over, or none."""
        return min((one.until_ms for one in self._kept.values()), default=None)

    def drain_newly_retained(self) -> list[RetainedObject]:
        """Return the objects that are kept since the last call."""
        found, self._unreported = self._unreported, []
        return found

    def _put(self, one: base.StoredObject) -> None:
        self.edits += 1
        self._kept.pop(one.name, None)
        self._removed.pop(one.name, None)
        before = self.objects.get(one.name)
        if before is None or one.version >= before.version:
            self.objects[one.name] = one

    def _judge(
        self,
        removed: dict[str, base.StoredObject],
        gone: set[str],
        is_one_answer: bool,
        now_ms: int,
    ) -> None:
        """Keep removed objects for a while if they have lapsed.

        :param removed: the objects that are missing now
        :param gone: names of all that went, also if they have come back
        :param is_one_answer: see :meth:`lapses.LapseDetector.judge`
        :param now_ms: the present
        """
        if not gone:
            return
        self.edits += 1
        if self._detector is None:
            return
        absence = self._detector.find_unreachable_period(now_ms)
        if absence is None or absence is not self._removed_after:
            self._removed.clear()
        self._removed_after = absence
        self._removed |= removed
        until_ms = self._detector.judge(
            gone, set(self.objects), is_one_answer, now_ms
        )
        if until_ms is None:
            return
        for one in self._removed.values():
            self._keep(
                RetainedObject(one, self.revision, now_ms, until_ms, absence)
            )
        self._removed.clear()

    def _adopt_kept(self, kept: RetainedObject) -> None:
        """Keep what another VM keeps, and no longer than it does."""
        name = kept.object.name
        if name in self.objects:
            return
        own = self._kept.get(name)
        if own is None:
            self._keep(kept)
        else:
            own.until_ms = min(own.until_ms, kept.until_ms)

    def _keep(self, kept: RetainedObject) -> None:
        if kept.object.name in self._kept:
            return
        self._kept[kept.object.name] = kept
        self._unreported.append(kept)

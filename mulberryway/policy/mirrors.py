"""Copies of objects in the platform's store; revisions never decrease.

A copy comes from the store or from another VM. Which of two copies is newer
depends on the store's revision alone, never on the time of receipt.
"""

import collections.abc

from mulberryway.objects import base
from mulberryway.policy import mass_expiry

__all__ = ["RetainedObject", "Mirror"]

# The revision of a kind that has never had an object.  It is above that of a
# mirror that is not known yet, so that VMs get the empty mirror from others.
EMPTY_REVISION = 1


class RetainedObject:
    """An object that is still in use although the store has removed it.

    :param object_: the object
    :param revision: the store's revision up to which removals are known
    :param noticed_ms: when the removal was noticed, in ms
    :param until_ms: until when the object is retained, in ms
    :param absence: the unreachable period in which the entry expired; none if
        the mass expiry was detected from the removals or by another VM
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
    """One VM's copy of one kind of objects.

    :param kind: the plural kind
    :param detector: decides whether removed objects have expired and are
        retained; without it, removals take effect at once

    ``objects`` holds the objects of the store. ``revision`` grows with every
    change in the store, and a watch continues from it. ``changed_revision``
    grows only with changes of this kind, so VMs with the same copy report the
    same value. ``edits`` counts all changes of the copy, including those that
    do not come from the store.
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
        "_retained",
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
        # Objects removed during or after one unreachable period; whether they
        # expired may only become clear when more are removed.
        self._removed: dict[str, base.StoredObject] = {}
        self._removed_after: mass_expiry.UnreachablePeriod | None = None
        self._retained: dict[str, RetainedObject] = {}
        self._unreported: list[RetainedObject] = []

    def record_failure(self, began_ms: int, reason: str = "") -> None:
        """Record that a call to the store failed.

        :param began_ms: see
            :meth:`mass_expiry.MassExpiryDetector.record_failure`
        :param reason: the error of the call
        """
        if self._detector is not None:
            self._detector.record_failure(began_ms, reason)

    def record_response(self, now_ms: int) -> None:
        """Record that the store responded.

        :param now_ms: current time in ms
        """
        if self._detector is not None:
            self._detector.record_response(now_ms)

    def replace(
        self,
        objects: collections.abc.Iterable[base.StoredObject],
        revision: int,
        now_ms: int,
    ) -> bool:
        """Replace the copy by a listing from the store.

        :param objects: all objects of the kind
        :param revision: the store's revision of the listing
        :param now_ms: current time in ms
        :returns: whether the listing was newer than the copy
        """
        if revision <= self.revision:
            return False
        self.revision = revision
        listed = {object_.name: object_ for object_ in objects}
        newest = max(
            (object_.version for object_ in listed.values()),
            default=EMPTY_REVISION,
        )
        self.changed_revision = max(self.changed_revision, newest)
        removed_names = self.objects.keys() - listed.keys()
        removed = {name: self.objects.pop(name) for name in removed_names}
        if removed_names:
            # No remaining object has the revision of a removal.
            self.changed_revision = max(self.changed_revision, revision)
        for object_ in listed.values():
            self._put(object_)
        self._retain_expired(removed, removed_names, False, now_ms)
        return True

    def replace_from_peer(
        self,
        objects: collections.abc.Iterable[base.StoredObject],
        changed: int,
        now_ms: int,
        retained: collections.abc.Iterable[RetainedObject] = (),
    ) -> bool:
        """Replace the copy by a newer one from a peer.

        A copy contains all changes up to the reported revision, so it is newer
        if and only if that revision is.

        :param objects: all objects of the kind in the store
        :param changed: revision of the last change in the copy
        :param now_ms: current time in ms
        :param retained: the objects that the peer retains
        :returns: whether the peer's copy was newer
        """
        if changed <= self.changed_revision:
            return False
        self.changed_revision = changed
        known, self.revision = self.revision, 0
        self.replace(objects, changed, now_ms)
        self.revision = max(known, changed)
        for item in retained:
            self._merge_retained(item)
        return True

    def apply(
        self,
        events: collections.abc.Iterable[base.WatchEvent],
        revision: int,
        now_ms: int,
    ) -> bool:
        """Apply changes from a watch.

        :param events: the changes in order
        :param revision: the store's revision up to which they are complete
        :param now_ms: current time in ms
        :returns: whether anything changed
        """
        if revision <= self.revision:
            return False
        self.revision = revision
        has_changed = False
        removed_names: set[str] = set()
        removed: dict[str, base.StoredObject] = {}
        for event in events:
            has_changed = True
            name = event.object.name
            self.changed_revision = max(
                self.changed_revision, event.object.version
            )
            if event.type is base.EventType.DELETED:
                # The version is that of the object's last content, not that of
                # its removal.
                self.changed_revision = revision
                removed_names.add(name)
                if name in self.objects:
                    removed[name] = self.objects.pop(name)
            else:
                removed.pop(name, None)
                self._put(event.object)
        self._retain_expired(removed, removed_names, True, now_ms)
        return has_changed

    def expire(self, now_ms: int) -> list[RetainedObject]:
        """Remove retained objects whose time has expired.

        :param now_ms: current time in ms
        :returns: the objects that were removed
        """
        expired = [
            item for item in self._retained.values() if item.until_ms <= now_ms
        ]
        for item in expired:
            del self._retained[item.object.name]
        if expired:
            self.edits += 1
        return expired

    def list_objects(self) -> list[base.StoredObject]:
        """Return the objects in use, including the retained ones."""
        retained = (item.object for item in self._retained.values())
        return [*self.objects.values(), *retained]

    def list_retained(self) -> list[RetainedObject]:
        """Return the objects that are retained after their removal."""
        return list(self._retained.values())

    def find_expiry_ms(self) -> int | None:
        """Return when the next retained object expires, in ms, or none."""
        return min(
            (item.until_ms for item in self._retained.values()), default=None
        )

    def drain_newly_retained(self) -> list[RetainedObject]:
        """Return and clear the list of newly retained objects."""
        unreported, self._unreported = self._unreported, []
        return unreported

    def _put(self, object_: base.StoredObject) -> None:
        self.edits += 1
        self._retained.pop(object_.name, None)
        self._removed.pop(object_.name, None)
        before = self.objects.get(object_.name)
        if before is None or object_.version >= before.version:
            self.objects[object_.name] = object_

    def _retain_expired(
        self,
        removed: dict[str, base.StoredObject],
        removed_names: set[str],
        is_one_answer: bool,
        now_ms: int,
    ) -> None:
        """Retain removed objects for some time if they have expired.

        :param removed: the objects that are missing now
        :param removed_names: names of all removed objects, including those
            that were added again
        :param is_one_answer: see
            :meth:`mass_expiry.MassExpiryDetector.compute_retention_end_ms`
        :param now_ms: current time in ms
        """
        if not removed_names:
            return
        self.edits += 1
        if self._detector is None:
            return
        absence = self._detector.find_unreachable_period(now_ms)
        if absence is None or absence is not self._removed_after:
            self._removed.clear()
        self._removed_after = absence
        self._removed |= removed
        until_ms = self._detector.compute_retention_end_ms(
            removed_names, set(self.objects), is_one_answer, now_ms
        )
        if until_ms is None:
            return
        for object_ in self._removed.values():
            self._retain(
                RetainedObject(
                    object_, self.revision, now_ms, until_ms, absence
                )
            )
        self._removed.clear()

    def _merge_retained(self, retained: RetainedObject) -> None:
        """Retain what a peer retains, for no longer than the peer does."""
        name = retained.object.name
        if name in self.objects:
            return
        existing = self._retained.get(name)
        if existing is None:
            self._retain(retained)
        else:
            existing.until_ms = min(existing.until_ms, retained.until_ms)

    def _retain(self, retained: RetainedObject) -> None:
        if retained.object.name in self._retained:
            return
        self._retained[retained.object.name] = retained
        self._unreported.append(retained)

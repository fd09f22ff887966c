"""Copies of objects in the platform's store.

A copy comes from the store or from another VM. Which of two copies is newer
depends on the store's position alone, never on the time of receipt.
"""

import collections.abc

from mulberryway.objects import base
from mulberryway.objects import position
from mulberryway.policy import carried_objects
from mulberryway.policy import mass_expiry

__all__ = ["EMPTY_REVISION", "RetainedObject", "Mirror"]

# The revision of a kind that has never had an object.  It is above that of a
# mirror that is not known yet, so that VMs get the empty mirror from others.
EMPTY_REVISION = 1


class RetainedObject:
    """An object that is still in use although the store has removed it.

    :param object_: the object
    :param position_: the store's position up to which removals are known
    :param noticed_ms: when the removal was noticed, in ms
    :param until_ms: until when the object is retained, in ms
    :param absence: the unreachable period in which the entry expired; none if
        the mass expiry was detected from the removals or by another VM
    :param was_lost: whether the store has lost the object by its return from
        an older copy
    """

    __slots__ = (
        "object",
        "position",
        "noticed_ms",
        "until_ms",
        "absence",
        "was_lost",
    )

    def __init__(
        self,
        object_: base.StoredObject,
        position_: position.Position,
        noticed_ms: int,
        until_ms: int,
        absence: mass_expiry.UnreachablePeriod | None = None,
        was_lost: bool = False,
    ) -> None:
        self.object = object_
        self.position = position_
        self.noticed_ms = noticed_ms
        self.until_ms = until_ms
        self.absence = absence
        self.was_lost = was_lost


class Mirror:
    """One VM's copy of one kind of objects.

    :param kind: the plural kind
    :param detector: decides whether removed objects have expired and are
        retained; without it, removals take effect at once
    :param rules: how objects are treated when the store returns from an older
        copy

    ``objects`` holds the objects of the store. ``position`` grows with every
    change in the store, and a watch continues from it. ``changed`` grows only
    with changes of this kind, so VMs with the same copy report the same value.
    ``edits`` counts all changes of the copy, including those that do not come
    from the store. ``carried`` is used in place of objects of the store.
    """

    __slots__ = (
        "kind",
        "objects",
        "position",
        "changed",
        "edits",
        "carried",
        "_detector",
        "_rules",
        "_removed",
        "_removed_after",
        "_retained",
        "_unreported",
    )

    def __init__(
        self,
        kind: str,
        detector: mass_expiry.MassExpiryDetector | None = None,
        rules: carried_objects.ReturnRules | None = None,
    ) -> None:
        self.kind = kind
        self.objects: dict[str, base.StoredObject] = {}
        self.position = position.ORIGIN
        self.changed = position.ORIGIN
        self.edits = 0
        self._rules = rules or carried_objects.ReturnRules()
        self.carried = carried_objects.CarriedObjects(self._rules)
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
        self.carried.postpone_expiry(began_ms)
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
        position_: position.Position,
        now_ms: int,
    ) -> bool:
        """Replace the copy by a listing from the store.

        :param objects: all objects of the kind
        :param position_: the store's position of the listing
        :param now_ms: current time in ms
        :returns: whether the listing was newer than the copy
        """
        if position_ <= self.position:
            return False
        listed = {object_.name: object_ for object_ in objects}
        has_returned = self._has_returned(position_)
        if has_returned:
            self._carry_over(listed, position_, now_ms)
        self.position = position_
        newest = max(
            (object_.version for object_ in listed.values()),
            default=EMPTY_REVISION,
        )
        self.changed = max(
            self.changed, position.Position(position_.era, newest)
        )
        removed_names = self.objects.keys() - listed.keys()
        removed = {name: self.objects.pop(name) for name in removed_names}
        for object_ in listed.values():
            self._put(object_)
        if has_returned:
            # The era tells other VMs that the listing is newer.
            self.edits += 1
            return True
        if removed_names:
            # No remaining object has the revision of a removal.
            self.changed = max(self.changed, position_)
        self._record_removed(removed, now_ms)
        self._retain_expired(removed, removed_names, False, now_ms)
        return True

    def replace_from_peer(
        self,
        objects: collections.abc.Iterable[base.StoredObject],
        changed: position.Position,
        now_ms: int,
        retained: collections.abc.Iterable[RetainedObject] = (),
        carried: collections.abc.Iterable[carried_objects.CarriedObject] = (),
        complete: position.Position = position.ORIGIN,
    ) -> bool:
        """Replace the copy by a newer one from a peer.

        This mirror is complete up to its position, so the copy is newer if and
        only if its last change is after that. The last changes alone do not
        tell: none of this mirror's objects may show that one was removed.

        :param objects: all objects of the kind in the store
        :param changed: position of the last change in the copy
        :param now_ms: current time in ms
        :param retained: the objects that the peer retains
        :param carried: what the peer uses in place of the store's objects
        :param complete: position up to which the copy is complete, if known;
            a watch from an earlier one would repeat changes
        :returns: whether anything has changed
        """
        is_newer = changed > self.position
        if is_newer:
            # The peer may not have heard of a removal that this VM knows.
            retained = [
                item
                for item in retained
                if not self.carried.was_removed(item.object)
                and not self.carried.is_older(
                    item.object, self.objects.get(item.object.name)
                )
            ]
            self.changed = changed
            known = self.position
            # The copy may be newer although it is of an earlier position.
            self.position = min(known, position.Position(changed.era, 0))
            self.replace(objects, changed, now_ms)
            self.position = max(known, changed, complete)
            for item in retained:
                self._merge_retained(item)
        has_merged = self.merge_carried(carried, changed.era)
        return is_newer or has_merged

    def merge_carried(
        self,
        carried: collections.abc.Iterable[carried_objects.CarriedObject],
        era: int,
    ) -> bool:
        """Use what a peer uses in place of the store's objects.

        :param carried: what the peer carries over
        :param era: the era of the peer's copy; an older one is ignored
        :returns: whether anything has changed
        """
        if era != self.position.era:
            return False
        names = [
            item.name
            for item in carried
            if self.carried.merge(item, self.objects.get(item.name))
        ]
        self.edits += bool(names)
        return bool(names)

    def apply(
        self,
        events: collections.abc.Iterable[base.WatchEvent],
        position_: position.Position,
        now_ms: int,
    ) -> bool:
        """Apply changes from a watch of the same era.

        :param events: the changes in order
        :param position_: the store's position up to which they are complete
        :param now_ms: current time in ms
        :returns: whether anything changed
        """
        if position_ <= self.position or position_.era != self.position.era:
            return False
        self.position = position_
        has_changed = False
        removed_names: set[str] = set()
        removed: dict[str, base.StoredObject] = {}
        for event in events:
            has_changed = True
            name = event.object.name
            self.changed = max(self.changed, event.object.position)
            if event.type is base.EventType.DELETED:
                # The version is that of the object's last content, not that of
                # its removal.
                self.changed = position_
                removed_names.add(name)
                self.carried.record_deletion(name)
                if name in self.objects:
                    removed[name] = self.objects.pop(name)
            else:
                removed.pop(name, None)
                self._put(event.object)
        self._record_removed(removed, now_ms)
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
        self._record_removed(
            {item.object.name: item.object for item in expired}, now_ms
        )
        if expired:
            self.edits += 1
        return expired

    def expire_carried(
        self, now_ms: int
    ) -> list[carried_objects.CarriedObject]:
        """Use the store's objects again where a replacement has expired.

        :param now_ms: current time in ms
        :returns: the replacements that are not used any more
        """
        expired = self.carried.expire(now_ms)
        self.edits += bool(expired)
        return expired

    def list_objects(self) -> list[base.StoredObject]:
        """Return the objects in use, including the retained ones."""
        retained = (item.object for item in self._retained.values())
        return [*self.carried.apply(self.objects).values(), *retained]

    def list_retained(self) -> list[RetainedObject]:
        """Return the objects that are retained after their removal."""
        return list(self._retained.values())

    def find_expiry_ms(self) -> int | None:
        """Return when the next object expires, in ms, or none.

        It is retained, or used in place of one of the store.
        """
        times = [item.until_ms for item in self._retained.values()]
        times += self.carried.list_expiry_times()
        return min(times, default=None)

    def drain_newly_retained(self) -> list[RetainedObject]:
        """Return and clear the list of newly retained objects."""
        unreported, self._unreported = self._unreported, []
        return unreported

    def _has_returned(self, position_: position.Position) -> bool:
        """Return whether the store has lost what this VM may know of it."""
        return (
            self.position != position.ORIGIN
            and position_.era > self.position.era
        )

    def _carry_over(
        self,
        listed: dict[str, base.StoredObject],
        position_: position.Position,
        now_ms: int,
    ) -> None:
        """Keep using what the store has lost by its return from a copy."""
        in_use = {object_.name: object_ for object_ in self.list_objects()}
        self.carried.carry_over(in_use, listed, now_ms)
        if not self._rules.missing_ms:
            return
        until_ms = now_ms + self._rules.missing_ms
        for name in in_use.keys() - listed.keys():
            retained = self._retained.pop(name, None)
            self._retain(
                RetainedObject(
                    in_use[name],
                    position_,
                    now_ms if retained is None else retained.noticed_ms,
                    until_ms,
                    was_lost=True,
                )
            )

    def _put(self, object_: base.StoredObject) -> None:
        self.edits += 1
        self._retained.pop(object_.name, None)
        self._removed.pop(object_.name, None)
        self.carried.record_write(object_)
        before = self.objects.get(object_.name)
        if before is not None:
            if object_.position < before.position:
                return
            if object_.value == before.value:
                object_.content_position = before.content_position
        self.objects[object_.name] = object_

    def _record_removed(
        self, removed: dict[str, base.StoredObject], now_ms: int
    ) -> None:
        for object_ in removed.values():
            self.carried.record_removed(object_, now_ms)

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
                    object_, self.position, now_ms, until_ms, absence
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

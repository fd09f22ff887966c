"""Copies of what the platform's store holds, never older than before.

A copy comes from the store or from another VM; which of two is newer is
told by the store's own revision alone, never by the time of arrival.
"""

import collections.abc

from mulberryway.objects import base

__all__ = ["Absence", "Deferral", "Mirror"]

# After an outage the entries of servers that could not renew them have lapsed.
# Those that live are back within about two seconds, so that for so long a
# missing entry still counts.
RETURN_MS = 2_100
# Where so large a part of all entries goes at once they have lapsed: servers
# that leave do so one after another.
LAPSE_PART = 0.5
LEAST_LAPSE = 3


class Absence:
    """A span in which the store did not answer this VM.

    :param began_ms: when the first call failed
    :param reason: how it failed
    :param ended_ms: when the store answered again
    :param is_shared: whether the store was away for all VMs
    """

    __slots__ = ("began_ms", "reason", "ended_ms", "is_shared")

    def __init__(
        self,
        began_ms: int,
        reason: str,
        ended_ms: int | None = None,
        is_shared: bool = False,
    ) -> None:
        self.began_ms = began_ms
        self.reason = reason
        self.ended_ms = ended_ms
        self.is_shared = is_shared


class Deferral:
    """A removal that does not count yet.

    :param name: the object's name
    :param revision: the store's revision up to which the removal was told
    :param noticed_ms: when it was noticed
    :param until_ms: how long the object still counts
    :param absence: the absence for which it is put off; none where the
        removals themselves look like a lapse
    """

    __slots__ = ("name", "revision", "noticed_ms", "until_ms", "absence")

    def __init__(
        self,
        name: str,
        revision: int,
        noticed_ms: int,
        until_ms: int,
        absence: Absence | None,
    ) -> None:
        self.name = name
        self.revision = revision
        self.noticed_ms = noticed_ms
        self.until_ms = until_ms
        self.absence = absence


class Mirror:
    """One kind of objects as far as it is known.

    :param kind: the plural kind
    :param keeps_missing: whether an object that was missing after an outage
        still counts for a while

    ``revision`` grows with any change in the store, and a watch goes on from
    it; ``changed`` only with changes of this kind, so that two VMs which
    know the same tell the same.  ``edits`` counts changes of the copy itself,
    also those that the store did not tell.
    """

    __slots__ = (
        "kind",
        "objects",
        "revision",
        "changed",
        "edits",
        "_keeps_missing",
        "_absence",
        "_returned_ms",
        "_missing",
        "_unreported",
    )

    def __init__(self, kind: str, keeps_missing: bool = False) -> None:
        self.kind = kind
        self.objects: dict[str, base.StoredObject] = {}
        self.revision = 0
        self.changed = 0
        self.edits = 0
        self._keeps_missing = keeps_missing
        self._absence: Absence | None = None
        self._returned_ms: int | None = None
        self._missing: dict[str, Deferral] = {}
        self._unreported: list[Deferral] = []

    def note_failure(self, now_ms: int, reason: str = "") -> None:
        """Tell that the store could not be asked.

        :param now_ms: the present
        :param reason: how the call failed
        """
        if self._absence is None or self._absence.ended_ms is not None:
            self._absence = Absence(now_ms, reason)

    def note_answer(self, is_shared: bool, now_ms: int) -> None:
        """Tell that the store has answered.

        :param is_shared: whether the store was away for all VMs
        :param now_ms: the present
        """
        absence = self._absence
        if absence is None or absence.ended_ms is not None:
            return
        absence.ended_ms = now_ms
        absence.is_shared = is_shared
        if is_shared:
            self._returned_ms = now_ms

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
        self.changed = max(self.changed, newest)
        lost = self.objects.keys() - found.keys()
        self._look_for_lapse(len(lost), now_ms)
        for name in lost:
            self._drop(name, now_ms)
        for one in found.values():
            self._put(one)
        return True

    def adopt(
        self,
        objects: collections.abc.Iterable[base.StoredObject],
        changed: int,
        now_ms: int,
    ) -> bool:
        """Take over another VM's copy.

        It holds every change up to the one that it tells, so it is newer
        exactly if it tells a later one.

        :param objects: all objects of the kind
        :param changed: the revision of the last change that is in it
        :param now_ms: the present
        :returns: whether it was newer
        """
        if changed <= self.changed:
            return False
        self.changed = changed
        known, self.revision = self.revision, 0
        self.replace(objects, changed, now_ms)
        self.revision = max(known, changed)
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
        events = list(events)
        lost = sum(one.type is base.EventType.DELETED for one in events)
        self._look_for_lapse(lost, now_ms)
        for event in events:
            has_changed = True
            self.changed = max(self.changed, event.object.version)
            if event.type is base.EventType.DELETED:
                # The version is that of the object's last content, which
                # says nothing of when it went.
                self.changed = revision
                self._drop(event.object.name, now_ms)
            else:
                self._put(event.object)
        return has_changed

    def purge(self, now_ms: int) -> list[Deferral]:
        """Give up what is still missing some time after an outage.

        :param now_ms: the present
        :returns: the removals that count from now on
        """
        if not self._missing or self._is_returning(now_ms):
            return []
        self.edits += 1
        dropped = list(self._missing.values())
        for name in self._missing:
            self.objects.pop(name, None)
        self._missing.clear()
        return dropped

    def list_deferred(self) -> list[Deferral]:
        """Return the removals that do not count yet."""
        return list(self._missing.values())

    def take_new_deferrals(self) -> list[Deferral]:
        """Return the removals that were put off since the last call."""
        found, self._unreported = self._unreported, []
        return found

    def list_objects(self) -> list[base.StoredObject]:
        """Return the objects that count."""
        return list(self.objects.values())

    def _look_for_lapse(self, lost: int, now_ms: int) -> None:
        most = max(len(self.objects) * LAPSE_PART, LEAST_LAPSE)
        if lost >= most:
            self._returned_ms = now_ms

    def _put(self, one: base.StoredObject) -> None:
        self.edits += 1
        self._missing.pop(one.name, None)
        before = self.objects.get(one.name)
        if before is None or one.version >= before.version:
            self.objects[one.name] = one

    def _drop(self, name: str, now_ms: int) -> None:
        self.edits += 1
        if not self._keeps_missing or not self._is_returning(now_ms):
            self.objects.pop(name, None)
        elif name in self.objects and name not in self._missing:
            deferral = self._make_deferral(name, now_ms)
            self._missing[name] = deferral
            self._unreported.append(deferral)

    def _make_deferral(self, name: str, now_ms: int) -> Deferral:
        returned_ms = self._returned_ms or 0
        absence = self._absence
        if absence is not None and absence.ended_ms != returned_ms:
            absence = None
        until_ms = returned_ms + RETURN_MS
        return Deferral(name, self.revision, now_ms, until_ms, absence)

    def _is_returning(self, now_ms: int) -> bool:
        return (
            self._returned_ms is not None
            and now_ms - self._returned_ms < RETURN_MS
        )

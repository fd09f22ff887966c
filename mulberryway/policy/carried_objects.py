"""What VMs use in place of a store's objects after its return from a copy.

The copy is some seconds old, so an object may be older in it than it was
before, or be listed although it had been removed. Its writer writes it again
soon; until then the content that was in use before goes on being used.
"""

import collections.abc
import json
import zlib

from mulberryway.objects import base

__all__ = ["CarriedObject", "CarriedObjects", "Generation", "ReturnRules"]

# A copy older than this would show objects whose removal is forgotten.
REMOVAL_TTL_MS = 60_000

# The number that a writer gives to its content, in increasing order.
Generation = tuple[int, ...]


class ReturnRules:
    """How objects of one kind are treated when the store returns from a copy.

    :param read_generation: returns the generation of an object's content; None
        if its writer gives none, or if it is malformed
    :param missing_ms: how long objects that the copy lacks stay in use, in ms;
        None until they are written again
    :param outdated_ms: how long content is used in place of an earlier
        generation of the copy, in ms; None until the store has caught up
    :param hides_removed: whether objects that had been removed before the
        return are not used either, for the same time
    """

    __slots__ = (
        "read_generation",
        "missing_ms",
        "outdated_ms",
        "hides_removed",
    )

    def __init__(
        self,
        read_generation: collections.abc.Callable[
            [base.StoredObject], Generation | None
        ] = lambda object_: None,
        missing_ms: int | None = 0,
        outdated_ms: int | None = 0,
        hides_removed: bool = False,
    ) -> None:
        self.read_generation = read_generation
        self.missing_ms = missing_ms
        self.outdated_ms = outdated_ms
        self.hides_removed = hides_removed

    @property
    def has_expiry(self) -> bool:
        """Whether anything is used for a limited time."""
        return bool(self.missing_ms or self.outdated_ms)


class CarriedObject:
    """What is used in place of the store's object of the same name.

    :param name: the name
    :param object_: the object that is used; None if none is
    :param generation: the generation that the store has to catch up with
    :param noticed_ms: when the return was noticed, in ms
    :param until_ms: until when it is used, in ms; None until the store has
        caught up
    """

    __slots__ = ("name", "object", "generation", "noticed_ms", "until_ms")

    def __init__(
        self,
        name: str,
        object_: base.StoredObject | None,
        generation: Generation,
        noticed_ms: int,
        until_ms: int | None,
    ) -> None:
        self.name = name
        self.object = object_
        self.generation = generation
        self.noticed_ms = noticed_ms
        self.until_ms = until_ms

    def is_superseded_by(self, generation: Generation | None) -> bool:
        """Return whether the store has caught up.

        :param generation: the generation of the store's object; None if it
            is malformed
        """
        if generation is None:
            return False
        # The same generation is a removed object that the copy still lists.
        if self.object is None:
            return generation > self.generation
        return generation >= self.generation


class _Removal:
    """The last generation of a removed object, and when it was removed."""

    __slots__ = ("generation", "at_ms")

    def __init__(self, generation: Generation, at_ms: int) -> None:
        self.generation = generation
        self.at_ms = at_ms


class CarriedObjects:
    """The replacements of one kind of objects; not thread-safe.

    :param rules: how objects of this kind are treated
    """

    __slots__ = ("_rules", "_items", "_removals", "_unreported")

    def __init__(self, rules: ReturnRules) -> None:
        self._rules = rules
        self._items: dict[str, CarriedObject] = {}
        self._removals: dict[str, _Removal] = {}
        self._unreported: list[CarriedObject] = []

    def __len__(self) -> int:
        return len(self._items)

    def list_all(self) -> list[CarriedObject]:
        """Return all replacements."""
        return list(self._items.values())

    def compute_digest(self) -> int:
        """Return a number that differs between replacements; 0 for none."""
        if not self._items:
            return 0
        rows = sorted(
            (item.name, item.generation, item.object is None)
            for item in self._items.values()
        )
        return zlib.crc32(json.dumps(rows).encode()) or 1

    def carry_over(
        self,
        in_use: collections.abc.Mapping[str, base.StoredObject],
        listed: collections.abc.Mapping[str, base.StoredObject],
        now_ms: int,
    ) -> None:
        """Replace what the store has lost by its return from a copy.

        :param in_use: the objects that were in use before, by name
        :param listed: the objects of the copy, by name
        :param now_ms: current time in ms
        """
        hidden = {
            item.name: item.generation
            for item in self._items.values()
            if item.object is None
        }
        hidden |= {
            name: removal.generation
            for name, removal in self._removals.items()
            if now_ms - removal.at_ms < REMOVAL_TTL_MS
        }
        # What is carried is in use, so the new copy decides about it anew.
        self._items.clear()
        for name, object_ in in_use.items():
            generation = self._rules.read_generation(object_)
            if generation is not None and self._is_lost(
                object_, listed.get(name)
            ):
                self._carry(name, object_, generation, now_ms)
        for name, generation in hidden.items():
            if name in listed and name not in in_use:
                self._carry(name, None, generation, now_ms)

    def merge(
        self, item: CarriedObject, stored: base.StoredObject | None
    ) -> bool:
        """Use a replacement that another VM uses.

        :param item: the replacement
        :param stored: the store's object of this name, if there is one
        :returns: whether it is used now and was not before
        """
        existing = self._items.get(item.name)
        if existing is not None and existing.generation >= item.generation:
            return False
        if stored is None:
            # Objects that the store has removed in this era stay removed.
            if self._rules.missing_ms is not None:
                return False
        elif item.is_superseded_by(self._rules.read_generation(stored)):
            return False
        self._items[item.name] = item
        self._unreported.append(item)
        return True

    def record_write(self, object_: base.StoredObject) -> None:
        """Record that the store has an object.

        :param object_: the object
        """
        if not (self._items or self._removals):
            return
        generation = self._rules.read_generation(object_)
        item = self._items.get(object_.name)
        if item is not None and item.is_superseded_by(generation):
            del self._items[object_.name]
        removal = self._removals.get(object_.name)
        if removal is not None and (generation or ()) > removal.generation:
            del self._removals[object_.name]

    def record_deletion(self, name: str) -> None:
        """Record that the store has removed an object in the current era.

        :param name: its name
        """
        if self._rules.outdated_ms is not None:
            self._items.pop(name, None)

    def record_removed(self, object_: base.StoredObject, now_ms: int) -> None:
        """Record that an object is not used any more.

        :param object_: its last content
        :param now_ms: current time in ms
        """
        if not self._rules.hides_removed:
            return
        generation = self._rules.read_generation(object_)
        if generation is None:
            return
        self._removals = {
            name: removal
            for name, removal in self._removals.items()
            if now_ms - removal.at_ms < REMOVAL_TTL_MS
        }
        self._removals[object_.name] = _Removal(generation, now_ms)

    def was_removed(self, object_: base.StoredObject) -> bool:
        """Return whether this or a later content has been removed.

        :param object_: an object that another VM uses
        """
        removal = self._removals.get(object_.name)
        if removal is None:
            return False
        generation = self._rules.read_generation(object_)
        return generation is not None and generation <= removal.generation

    def is_older(
        self, object_: base.StoredObject, other: base.StoredObject | None
    ) -> bool:
        """Return whether an object is of an earlier generation than another.

        :param object_: the object
        :param other: the other one of this name, if there is one
        """
        if other is None:
            return False
        generation = self._rules.read_generation(object_)
        known = self._rules.read_generation(other)
        return (
            generation is not None and known is not None and generation < known
        )

    def postpone_expiry(self, now_ms: int) -> None:
        """Record that writers cannot reach the store.

        :param now_ms: current time in ms
        """
        if self._rules.outdated_ms is None:
            return
        until_ms = now_ms + self._rules.outdated_ms
        for item in self._items.values():
            item.until_ms = max(item.until_ms or 0, until_ms)

    def expire(self, now_ms: int) -> list[CarriedObject]:
        """Remove replacements whose time has expired.

        :param now_ms: current time in ms
        :returns: the replacements that were removed
        """
        expired = [
            item
            for item in self._items.values()
            if item.until_ms is not None and item.until_ms <= now_ms
        ]
        for item in expired:
            del self._items[item.name]
        return expired

    def list_expiry_times(self) -> list[int]:
        """Return when replacements expire, in ms."""
        return [
            item.until_ms
            for item in self._items.values()
            if item.until_ms is not None
        ]

    def apply(
        self, objects: dict[str, base.StoredObject]
    ) -> collections.abc.Mapping[str, base.StoredObject]:
        """Return the objects to use.

        :param objects: the store's objects by name
        """
        if not self._items:
            return objects
        hidden = {
            item.name for item in self._items.values() if item.object is None
        }
        used = {
            item.name: item.object
            for item in self._items.values()
            if item.object is not None
        }
        return {
            name: object_
            for name, object_ in (objects | used).items()
            if name not in hidden
        }

    def drain_new(self) -> list[CarriedObject]:
        """Return and clear the list of new replacements."""
        unreported, self._unreported = self._unreported, []
        return unreported

    def _is_lost(
        self, object_: base.StoredObject, copied: base.StoredObject | None
    ) -> bool:
        """Return whether the copy has only an earlier content, or none."""
        if copied is None:
            return self._rules.missing_ms is None
        return self.is_older(copied, object_)

    def _carry(
        self,
        name: str,
        object_: base.StoredObject | None,
        generation: Generation,
        now_ms: int,
    ) -> None:
        until_ms = (
            None
            if self._rules.outdated_ms is None
            else now_ms + self._rules.outdated_ms
        )
        item = CarriedObject(name, object_, generation, now_ms, until_ms)
        self._items[name] = item
        self._unreported.append(item)

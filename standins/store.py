"""The platform stand-in's objects: versions, history, old snapshots."""

import collections
import json
import typing

__all__ = ["Change", "Conflict", "Missing", "Store", "TooLarge", "TooOld"]

MOST_VALUE_BYTES = 1 << 20


class Conflict(Exception):
    """The object exists already, or has another version."""


class Missing(Exception):
    """There is no such object."""


class TooLarge(Exception):
    """The value is above a megabyte."""


class TooOld(Exception):
    """The history does not reach back to the version asked for."""


class Change:
    """One write, as watches report it.

    :param type_: ``ADDED``, ``MODIFIED`` or ``DELETED``
    :param kind: the object's kind
    :param version: the write's version
    :param object_: the object as the API shows it
    """

    __slots__ = ("type", "kind", "version", "object")

    def __init__(
        self,
        type_: str,
        kind: str,
        version: int,
        object_: dict[str, typing.Any],
    ) -> None:
        self.type = type_
        self.kind = kind
        self.version = version
        self.object = object_


class Store:
    """Objects by kind and name under one growing version.

    :param most_changes: how many writes the history holds
    """

    def __init__(self, most_changes: int) -> None:
        self.version = 0
        self._kinds: dict[str, dict[str, dict[str, typing.Any]]] = {}
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=most_changes
        )
        self._frozen: Store | None = None

    def freeze(self, frozen: bool) -> None:
        """Let reads answer as of now, or as of the present again.

        A replica that has fallen behind answers like this, while writes
        still go to the current version.

        :param frozen: whether reads are to stay behind
        """
        self._frozen = None
        if frozen:
            self._frozen = Store(0)
            self._frozen.version = self.version
            self._frozen._kinds = {
                kind: dict(objects) for kind, objects in self._kinds.items()
            }

    def read(self, kind: str, name: str) -> dict[str, typing.Any]:
        """Return an object.

        :raises Missing: if there is none
        """
        if self._frozen is not None:
            return self._frozen.read(kind, name)
        try:
            return self._kinds[kind][name]
        except KeyError as error:
            raise Missing(name) from error

    def read_all(self, kind: str) -> tuple[int, list[dict[str, typing.Any]]]:
        """Return the version and all objects of a kind."""
        if self._frozen is not None:
            return self._frozen.read_all(kind)
        return self.version, list(self._kinds.get(kind, {}).values())

    def create(
        self, kind: str, name: str, value: typing.Any
    ) -> dict[str, typing.Any]:
        """Store an object that must not exist.

        :raises Conflict: if it does
        :raises TooLarge: if the value is too large
        """
        if name in self._kinds.get(kind, {}):
            raise Conflict(name)
        return self._put("ADDED", kind, name, value)

    def update(
        self, kind: str, name: str, value: typing.Any, version: int
    ) -> dict[str, typing.Any]:
        """Replace an object that must have the given version.

        :raises Conflict: if it has moved
        :raises Missing: if there is none
        :raises TooLarge: if the value is too large
        """
        self._check(kind, name, version)
        return self._put("MODIFIED", kind, name, value)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Remove an object that must have the given version.

        :raises Conflict: if it has moved
        :raises Missing: if there is none
        """
        self._check(kind, name, version)
        self.version += 1
        object_ = self._kinds[kind].pop(name)
        metadata = {"name": name, "resourceVersion": str(self.version)}
        self._changes.append(
            Change(
                "DELETED",
                kind,
                self.version,
                object_ | {"metadata": metadata},
            )
        )

    def read_changes(self, kind: str, after: int) -> list[Change]:
        """Return a kind's writes after a version.

        :raises TooOld: if the history does not reach back so far
        """
        reach = self.version - len(self._changes)
        if after < reach:
            raise TooOld(str(after))
        fresh = []
        for change in reversed(self._changes):
            if change.version <= after:
                break
            if change.kind == kind:
                fresh.append(change)
        return fresh[::-1]

    def _check(self, kind: str, name: str, version: int) -> None:
        object_ = self._kinds.get(kind, {}).get(name)
        if object_ is None:
            raise Missing(name)
        if object_["metadata"]["resourceVersion"] != str(version):
            raise Conflict(name)

    def _put(
        self, type_: str, kind: str, name: str, value: typing.Any
    ) -> dict[str, typing.Any]:
        if len(json.dumps(value)) > MOST_VALUE_BYTES:
            raise TooLarge(name)
        self.version += 1
        object_ = {
            "metadata": {"name": name, "resourceVersion": str(self.version)},
            "value": value,
        }
        self._kinds.setdefault(kind, {})[name] = object_
        self._changes.append(Change(type_, kind, self.version, object_))
        return object_

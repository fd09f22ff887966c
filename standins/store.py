"""Versioned objects of the platform stand-in, with history and stale reads."""

import collections
import json
import typing

__all__ = ["Change", "Conflict", "Missing", "Store", "TooLarge", "TooOld"]

MAX_VALUE_BYTES = 1 << 20


class Conflict(Exception):
    """Raised if the object exists already or has another version."""


class Missing(Exception):
    """Raised if the object does not exist."""


class TooLarge(Exception):
    """Raised if the encoded value is larger than 1 MiB."""


class TooOld(Exception):
    """Raised if the history does not contain the requested version."""


class Change:
    """One write, as watches report it.

    :param type_: ``ADDED``, ``MODIFIED`` or ``DELETED``
    :param kind: kind of the object
    :param version: version of the write
    :param object_: object in the form of the API
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
    """Store of objects by kind and name with one version counter.

    :param most_changes: maximum number of writes in the history
    """

    def __init__(self, most_changes: int) -> None:
        self.version = 0
        self._kinds: dict[str, dict[str, dict[str, typing.Any]]] = {}
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=most_changes
        )
        self._stale_copy: Store | None = None

    def set_stale_reads(self, is_stale: bool) -> None:
        """Start or stop serving reads from the state at this time.

        This simulates a replica that lags behind; writes still use the
        current version.

        :param is_stale: whether reads are stale
        """
        self._stale_copy = None
        if is_stale:
            self._stale_copy = Store(0)
            self._stale_copy.version = self.version
            self._stale_copy._kinds = {
                kind: dict(objects) for kind, objects in self._kinds.items()
            }

    def read(self, kind: str, name: str) -> dict[str, typing.Any]:
        """Return an object.

        :raises Missing: if it does not exist
        """
        if self._stale_copy is not None:
            return self._stale_copy.read(kind, name)
        try:
            return self._kinds[kind][name]
        except KeyError as error:
            raise Missing(name) from error

    def read_all(self, kind: str) -> tuple[int, list[dict[str, typing.Any]]]:
        """Return the version and all objects of a kind."""
        if self._stale_copy is not None:
            return self._stale_copy.read_all(kind)
        return self.version, list(self._kinds.get(kind, {}).values())

    def create(
        self, kind: str, name: str, value: typing.Any
    ) -> dict[str, typing.Any]:
        """Create an object.

        :raises Conflict: if it exists already
        :raises TooLarge: if the value is too large
        """
        if name in self._kinds.get(kind, {}):
            raise Conflict(name)
        return self._put("ADDED", kind, name, value)

    def update(
        self, kind: str, name: str, value: typing.Any, version: int
    ) -> dict[str, typing.Any]:
        """Replace an object that must have the given version.

        :raises Conflict: if it has another version
        :raises Missing: if it does not exist
        :raises TooLarge: if the value is too large
        """
        self._check_version(kind, name, version)
        return self._put("MODIFIED", kind, name, value)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object that must have the given version.

        :raises Conflict: if it has another version
        :raises Missing: if it does not exist
        """
        self._check_version(kind, name, version)
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
        """Return the writes to a kind after a version.

        :raises TooOld: if writes after that version were dropped from the
            history
        """
        oldest_version = self.version - len(self._changes)
        if after < oldest_version:
            raise TooOld(str(after))
        newer_changes = []
        for change in reversed(self._changes):
            if change.version <= after:
                break
            if change.kind == kind:
                newer_changes.append(change)
        return newer_changes[::-1]

    def _check_version(self, kind: str, name: str, version: int) -> None:
        object_ = self._kinds.get(kind, {}).get(name)
        if object_ is None:
            raise Missing(name)
        if object_["metadata"]["resourceVersion"] != str(version):
            raise Conflict(name)

    def _put(
        self, type_: str, kind: str, name: str, value: typing.Any
    ) -> dict[str, typing.Any]:
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            raise TooLarge(name)
        self.version += 1
        object_ = {
            "metadata": {"name": name, "resourceVersion": str(self.version)},
            "value": value,
        }
        self._kinds.setdefault(kind, {})[name] = object_
        self._changes.append(Change(type_, kind, self.version, object_))
        return object_

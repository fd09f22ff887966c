"""Abstract interface of the platform's object API."""

import abc
import collections.abc
import enum
import typing

import expression

from mulberryway import errors
from mulberryway.objects import position

__all__ = [
    "ChangeBatch",
    "EventType",
    "ListedVm",
    "Listing",
    "ObjectStore",
    "RevisionedStore",
    "StoredObject",
    "WatchEvent",
]


class StoredObject:
    """One object as the platform returned it.

    :param kind: the plural kind, such as ``segments``
    :param name: the name, unique within its kind
    :param version: the platform's version; increases with each write
    :param value: the JSON value, at most a megabyte when encoded
    :param era: the store's era in which the version was given out or read; 0
        if the platform has no eras

    ``content_position`` is the position at which its content was first seen.
    After the store's return from a copy, an object that has not changed has a
    new position but no new content.
    """

    __slots__ = (
        "kind",
        "name",
        "version",
        "value",
        "era",
        "content_position",
    )

    def __init__(
        self,
        kind: str,
        name: str,
        version: int,
        value: dict[str, typing.Any],
        era: int = 0,
    ) -> None:
        self.kind = kind
        self.name = name
        self.version = version
        self.value = value
        self.era = era
        self.content_position = self.position

    @property
    def position(self) -> position.Position:
        """The point in the store's history at which it was written."""
        return position.Position(self.era, self.version)


class EventType(enum.Enum):
    """Types of the events of a watch."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"


class WatchEvent:
    """One event of a watch.

    :param type_: the event's type
    :param object_: the object; a bookmark's contains only the version
    """

    __slots__ = ("type", "object")

    def __init__(self, type_: EventType, object_: StoredObject) -> None:
        self.type = type_
        self.object = object_


class ListedVm:
    """A VM in the platform's list, which lags behind the actual state.

    :param name: the VM's name
    :param address: its IP address
    :param zone: its availability zone
    :param leaving: whether the platform is about to remove it
    """

    __slots__ = ("name", "address", "zone", "leaving")

    def __init__(
        self, name: str, address: str, zone: str, leaving: bool
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.leaving = leaving


class Listing:
    """All objects of a kind at one position.

    :param objects: the objects
    :param position_: the store's position, from which a watch can continue
    """

    __slots__ = ("objects", "position")

    def __init__(
        self, objects: list[StoredObject], position_: position.Position
    ) -> None:
        self.objects = objects
        self.position = position_


class ChangeBatch:
    """The changes of a kind since a revision.

    :param events: the changes in order
    :param position_: the store's position after the last change
    """

    __slots__ = ("events", "position")

    def __init__(
        self, events: list[WatchEvent], position_: position.Position
    ) -> None:
        self.events = events
        self.position = position_


class RevisionedStore(abc.ABC):
    """A store with one revision counter for the changes of all objects.

    The counter starts anew from an older value with each era; see
    :class:`position.Position`.

    Faults: ``PLATFORM_UNAVAILABLE``, and ``HISTORY_GONE`` if the store no
    longer has the changes since a revision.
    """

    @abc.abstractmethod
    def read_listing(
        self, kind: str, purpose: str
    ) -> expression.Result[Listing, errors.Fault]:
        """Return all objects of a kind, and the revision to watch from.

        :param kind: the plural kind
        :param purpose: the purpose under which the call is counted
        :returns: the listing, or a fault
        """

    @abc.abstractmethod
    def poll_changes(
        self, kind: str, revision: int, wait_ms: int, purpose: str
    ) -> expression.Result[ChangeBatch, errors.Fault]:
        """Wait for changes of a kind after a revision.

        :param kind: the plural kind
        :param revision: the revision up to which all changes are known
        :param wait_ms: the longest wait for a change, in milliseconds
        :param purpose: the purpose under which the call is counted
        :returns: the changes, possibly none; or a fault
        """


class ObjectStore(abc.ABC):
    """Versioned objects with conditional updates and watches.

    The platform limits the rate of calls, and an open watch counts as one
    call, so every method has a parameter for the purpose under which metrics
    count the call.

    Faults: ``PLATFORM_UNAVAILABLE`` (``MAY_HAVE_RUN`` if the write may have
    taken effect), ``CONFLICT``, ``NOT_FOUND``.
    """

    @abc.abstractmethod
    def read(
        self, kind: str, name: str, purpose: str
    ) -> expression.Result[StoredObject, errors.Fault]:
        """Return one object.

        :param kind: the plural kind
        :param name: the object's name
        :param purpose: the purpose under which the call is counted
        :returns: the object, or a fault
        """

    @abc.abstractmethod
    def read_all(
        self, kind: str, purpose: str
    ) -> expression.Result[list[StoredObject], errors.Fault]:
        """Return all objects of a kind.

        :param kind: the plural kind
        :param purpose: the purpose under which the call is counted
        :returns: the objects, or a fault
        """

    @abc.abstractmethod
    def create(
        self, kind: str, name: str, value: dict[str, typing.Any], purpose: str
    ) -> expression.Result[StoredObject, errors.Fault]:
        """Create an object that must not exist yet.

        :param kind: the plural kind
        :param name: the object's name
        :param value: its JSON value
        :param purpose: the purpose under which the call is counted
        :returns: the object as stored, or a fault; ``CONFLICT`` if it exists
        """

    @abc.abstractmethod
    def update(
        self,
        kind: str,
        name: str,
        value: dict[str, typing.Any],
        version: int,
        purpose: str,
    ) -> expression.Result[StoredObject, errors.Fault]:
        """Replace an object that must still have the given version.

        :param kind: the plural kind
        :param name: the object's name
        :param value: its new JSON value
        :param version: the version on which the change is based
        :param purpose: the purpose under which the call is counted
        :returns: the object as stored, or a fault; ``CONFLICT`` if the version
            has changed
        """

    @abc.abstractmethod
    def delete(
        self, kind: str, name: str, version: int, purpose: str
    ) -> expression.Result[None, errors.Fault]:
        """Delete an object that must still have the given version.

        :param kind: the plural kind
        :param name: the object's name
        :param version: the version on which the decision is based
        :param purpose: the purpose under which the call is counted
        :returns: nothing, or a fault
        """

    @abc.abstractmethod
    def watch(
        self, kind: str, from_version: int, idle_timeout_ms: int, purpose: str
    ) -> collections.abc.Iterator[expression.Result[WatchEvent, errors.Fault]]:
        """Yield changes of a kind until the watch ends or times out.

        The platform sends bookmarks while nothing changes. A watch without any
        line for ``idle_timeout_ms`` counts as half-open and ends with a
        fault, after which the caller has to open a new one.

        :param kind: the plural kind
        :param from_version: the version after which changes are reported
        :param idle_timeout_ms: the longest wait for a line, in milliseconds
        :param purpose: the purpose under which the call is counted
        :returns: events; a fault is the last item
        """

    @abc.abstractmethod
    def list_vms(
        self, purpose: str
    ) -> expression.Result[list[ListedVm], errors.Fault]:
        """Return the platform's list of live and leaving VMs, which may lag.

        :param purpose: the purpose under which the call is counted
        :returns: the list, or a fault
        """

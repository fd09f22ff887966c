"""The HTTP client for the platform's object store."""

import collections.abc
import json
import logging
import threading
import typing
import urllib.parse

import expression
import urllib3
import urllib3.exceptions

from mulberryway import addresses
from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway.objects import base
from mulberryway.objects import call_metrics
from mulberryway.objects import eras
from mulberryway.objects import position
from mulberryway.platform import json_text
from mulberryway.platform import wire
from mulberryway.upstreams import bounded_pool
from mulberryway.upstreams import bounded_socket

__all__ = ["PlatformStore"]

LOG = logging.getLogger(__name__)

MS_IN_S = 1_000
# Added to the wait of a watch to get its timeout.  The response itself takes
# milliseconds, so a watch that is later means an unresponsive store.
WATCH_GRACE_MS = 500
CONNECTIONS = 4
# A page of a list has about 1 MB; the configuration, the largest single
# object, may have 4 MB.  The rest is for what encloses it.
MAX_RESPONSE_BYTES = 5_242_880
# All calls of a VM together, beyond what each response may have in any case.
MAX_RECEIVED_BYTES = 2 * MAX_RESPONSE_BYTES
# A decoded text of empty values takes some 30 times its size.  Larger changes
# are listed instead, page by page.
MAX_CHANGES_BYTES = 1_572_864
# All VMs keep each object and send it to others, so that one of another writer
# may not be as large as those of these kinds.
LARGE_KINDS = frozenset(("config", "streams"))
MAX_WEIGHT = 65_536
# Longer ones may not fit into the path of a call.
MAX_NAME_BYTES = 1_024
# Other VMs get revisions as numbers of 64 bits.
MAX_REVISION = 2**63 - 1
VMS = "vms"
MAX_VM_NAME_LENGTH = 128
FAULT_CODES = {
    404: errors.Code.NOT_FOUND,
    409: errors.Code.CONFLICT,
    410: errors.Code.HISTORY_GONE,
}
RECEIVE_BUDGET = bounded_socket.ReceiveBudget(MAX_RECEIVED_BYTES)
CONNECT_ERRORS = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
)
TRANSPORT_ERRORS = (urllib3.exceptions.HTTPError, OSError)
PARSE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)

T = typing.TypeVar("T")


class PlatformStore(base.ObjectStore, base.RevisionedStore):
    """Calls the object store over a pool of persistent connections.

    :param url: the store's address, as ``http://host:port``
    :param timeout_ms: the maximum time to connect, to send a request, and
        until its response is complete, in ms
    :param clock_: the clock
    :param counter: counts every call
    """

    def __init__(
        self,
        url: str,
        timeout_ms: int,
        clock_: clock.Clock,
        counter: call_metrics.CallCounter,
    ) -> None:
        self._clock = clock_
        self._timeout_ms = timeout_ms
        self._counter = counter
        self._peer = url.removeprefix("http://")
        self.eras = eras.StoreEras()
        self._rejected_era = ""
        self._reported = logs.ReportedKeys()
        self._lock = threading.Lock()
        self._pool = self._create_pool()
        self.eras.subscribe(self._abandon_pool)

    def read(
        self, kind: str, name: str, purpose: str
    ) -> expression.Result[base.StoredObject, errors.Fault]:
        """Return one object.

        :param kind: the kind
        :param name: the object's name
        :param purpose: the label under which the call is counted
        :returns: the object, or a fault
        """
        return self._call("GET", _path(kind, name), purpose).bind(
            lambda response: self._parse(
                lambda: _parse_object(kind, response.value, response.era)
            )
        )

    def read_all(
        self, kind: str, purpose: str
    ) -> expression.Result[list[base.StoredObject], errors.Fault]:
        """Return all objects of a kind.

        :param kind: the kind
        :param purpose: the label under which the call is counted
        :returns: the objects, or a fault
        """
        return self.read_listing(kind, purpose).map(
            lambda listing: listing.objects
        )

    def read_listing(
        self, kind: str, purpose: str
    ) -> expression.Result[base.Listing, errors.Fault]:
        """Return all objects of a kind and the position to watch from.

        Objects may change between two pages, so the listing gets the
        position of the first page: a watch from it misses no change.

        :param kind: the kind
        :param purpose: the label under which the call is counted
        :returns: the listing, or a fault: ``HISTORY_GONE`` if the store's era
            has changed between two pages
        """
        objects: list[base.StoredObject] = []
        first: position.Position | None = None
        after = ""
        while True:
            target = _path(kind)
            if after:
                target += "?" + urllib.parse.urlencode({"after": after})
            page = self._call("GET", target, purpose).bind(
                lambda response: self._parse(
                    lambda: self._parse_page(kind, response)
                )
            )
            if page.is_error():
                return expression.Error(page.error)
            listing, next_after = page.ok
            first = first or listing.position
            if listing.position.era != first.era:
                return expression.Error(self._make_era_fault())
            objects += listing.objects
            if next_after in ("", after):
                return expression.Ok(base.Listing(objects, first))
            after = next_after

    def poll_changes(
        self, kind: str, revision: int, wait_ms: int, purpose: str
    ) -> expression.Result[base.ChangeBatch, errors.Fault]:
        """Wait for changes of a kind after a revision.

        :param kind: the kind
        :param revision: the store revision of the last known state
        :param wait_ms: the maximum wait for a change, in ms
        :param purpose: the label under which the call is counted
        :returns: the changes, possibly empty; or a fault:
            ``HISTORY_GONE`` if the store no longer has the changes and the
            objects must be listed again
        """
        query = urllib.parse.urlencode({"watch": revision, "wait_ms": wait_ms})
        return self._call(
            "GET",
            f"{_path(kind)}?{query}",
            purpose,
            timeout_ms=wait_ms + WATCH_GRACE_MS,
            max_bytes=(
                MAX_RESPONSE_BYTES
                if kind in LARGE_KINDS
                else MAX_CHANGES_BYTES
            ),
        ).bind(
            lambda response: self._parse(
                lambda: self._parse_changes(kind, response)
            )
        )

    def create(
        self, kind: str, name: str, value: dict[str, typing.Any], purpose: str
    ) -> expression.Result[base.StoredObject, errors.Fault]:
        """Create an object, which must not exist yet.

        :param kind: the kind
        :param name: the object's name
        :param value: the object's value
        :param purpose: the label under which the call is counted
        :returns: the object as stored, or a fault; ``CONFLICT`` if it exists
        """
        body = {"metadata": {"name": name}, "spec": value}
        return self._write("POST", kind, _path(kind), body, purpose)

    def update(
        self,
        kind: str,
        name: str,
        value: dict[str, typing.Any],
        version: int,
        purpose: str,
    ) -> expression.Result[base.StoredObject, errors.Fault]:
        """Replace an object if it still has the given version.

        :param kind: the kind
        :param name: the object's name
        :param value: its new value
        :param version: the version on which the change is based
        :param purpose: the label under which the call is counted
        :returns: the object as stored, or a fault; ``CONFLICT``
            if it has another version
        """
        body = {
            "metadata": {"name": name, "revision": version, "finalizers": []},
            "spec": value,
        }
        return self._write("PUT", kind, _path(kind, name), body, purpose)

    def delete(
        self, kind: str, name: str, version: int, purpose: str
    ) -> expression.Result[None, errors.Fault]:
        """Delete an object if it still has the given version.

        :param kind: the kind
        :param name: the object's name
        :param version: the version on which the decision is based
        :param purpose: the label under which the call is counted
        :returns: None, or a fault
        """
        target = f"{_path(kind, name)}?revision={version}"
        return self._call("DELETE", target, purpose).map(lambda value: None)

    def watch(
        self, kind: str, from_version: int, idle_timeout_ms: int, purpose: str
    ) -> collections.abc.Iterator[
        expression.Result[base.WatchEvent, errors.Fault]
    ]:
        """Yield changes of a kind until a call to the store fails.

        :param kind: the kind
        :param from_version: the version after which changes are reported
        :param idle_timeout_ms: the maximum time without a change or a
            bookmark, in ms
        :param purpose: the label under which the call is counted
        :returns: events; the last item is a fault
        """
        revision = from_version
        while True:
            batch = self.poll_changes(
                kind, revision, idle_timeout_ms // 2, purpose
            )
            if batch.is_error():
                yield expression.Error(batch.error)
                return
            revision = batch.ok.position.revision
            for event in batch.ok.events:
                yield expression.Ok(event)
            bookmark = base.StoredObject(kind, "", revision, {})
            yield expression.Ok(
                base.WatchEvent(base.EventType.BOOKMARK, bookmark)
            )

    def list_vms(
        self, purpose: str
    ) -> expression.Result[list[base.ListedVm], errors.Fault]:
        """Return the VMs that are registered in the store.

        :param purpose: the label under which the call is counted
        :returns: the list without malformed entries, or a fault
        """
        return self.read_all(VMS, purpose).map(
            lambda objects: [
                vm for entry in objects for vm in self._parse_vm(entry)
            ]
        )

    def _parse_vm(self, entry: base.StoredObject) -> list[base.ListedVm]:
        """Return the VM of an entry; none if the entry names no VM."""
        try:
            address = wire.parse_string(entry.value.get("address"))
            addresses.split_ip(address)
            name = wire.parse_id(entry.name)
            if len(name) > MAX_VM_NAME_LENGTH:
                raise ValueError("the name is too long")
            zone = wire.parse_zone(entry.value.get("zone"))
        except ValueError as error:
            reason = repr(error)[: wire.MAX_LOGGED_LENGTH]
            if self._reported.add((VMS, entry.name, reason)):
                LOG.warning(
                    "an entry names no VM and is ignored",
                    extra=logs.make_extra(
                        name=entry.name[: wire.MAX_LOGGED_LENGTH],
                        reason=reason,
                    ),
                )
            return []
        return [base.ListedVm(name, address, zone, False)]

    def _write(
        self,
        method: str,
        kind: str,
        target: str,
        body: dict[str, typing.Any],
        purpose: str,
    ) -> expression.Result[base.StoredObject, errors.Fault]:
        return self._call(method, target, purpose, body).bind(
            lambda response: self._parse(
                lambda: _parse_object(kind, response.value, response.era)
            )
        )

    def _call(
        self,
        method: str,
        target: str,
        purpose: str,
        body: dict[str, typing.Any] | None = None,
        timeout_ms: int | None = None,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> expression.Result["_Response", errors.Fault]:
        data = None if body is None else json.dumps(body).encode()
        read_timeout_ms = (
            self._timeout_ms if timeout_ms is None else timeout_ms
        )
        pool, era = self._pool, self.eras.era
        try:
            received = self._send(
                pool, method, target, data, read_timeout_ms, max_bytes
            )
        except TRANSPORT_ERRORS as error:
            self._replace_pool(pool)
            was_sent = not isinstance(error, CONNECT_ERRORS)
            fault = self._make_fault(method, was_sent, type(error).__name__)
            if method == "GET" and self.eras.era != era:
                fault = self._make_era_fault()
            elif timeout_ms is not None and _is_too_large(error):
                # Pages of a listing are bounded, changes are not.
                fault = self._make_gone_fault("the changes are too large")
        else:
            result = self._check_response(method, received)
            if result.is_ok():
                self._count(purpose, "ok", data, received.content)
                return result
            fault = result.error
        self._count(purpose, fault.code.value, data, b"")
        return expression.Error(fault)

    def _check_response(
        self, method: str, received: "_Received"
    ) -> expression.Result["_Response", errors.Fault]:
        """Return a response's value, unless it is a failure or outdated."""
        era = self._read_era(received.era)
        if era is None:
            return expression.Error(
                self._make_fault(method, True, "no response of this era")
            )
        if received.status >= 300:
            return expression.Error(
                self._make_response_fault(method, received.status)
            )
        return self._parse(
            lambda: _Response(json_text.decode(received.content or b"{}"), era)
        )

    def _read_era(self, text: str | None) -> int | None:
        """Return the era of a response, after recording it.

        A store that names no era has the last known one.

        :param text: the header of the response; None if it has none
        :returns: the era; None if it is malformed, or over already: the
            response was late, or comes from a part of the store that is
        """
        if text is None:
            return self.eras.era
        try:
            era = wire.parse_era(text)
        except ValueError as error:
            self._log_rejected_era(text, repr(error))
            return None
        self.eras.record(era)
        if era != self.eras.era:
            self._log_rejected_era(text, "the era is over")
            return None
        return era

    def _log_rejected_era(self, text: str, reason: str) -> None:
        """Log why a response does not count, once for each value."""
        if text != self._rejected_era:
            LOG.error(
                "a response of the store is rejected for its era",
                extra=logs.make_extra(
                    value=repr(text)[: wire.MAX_LOGGED_LENGTH],
                    era=self.eras.era,
                    reason=reason,
                ),
            )
        self._rejected_era = text

    def _send(
        self,
        pool: bounded_pool.BoundedPool,
        method: str,
        target: str,
        data: bytes | None,
        read_timeout_ms: int,
        max_bytes: int,
    ) -> "_Received":
        options = {
            "body": data,
            "headers": {"Content-Type": "application/json"} if data else {},
            "timeout": urllib3.Timeout(
                connect=self._timeout_ms / MS_IN_S,
                read=read_timeout_ms / MS_IN_S,
            ),
            "retries": False,
            "redirect": False,
            "preload_content": False,
        }
        try:
            return _receive(pool.request(method, target, **options), max_bytes)
        except urllib3.exceptions.ClosedPoolError:
            # Another call has replaced the pool, and nothing was sent.  No
            # other call can close this one.
            with self._create_pool() as own_pool:
                return _receive(
                    own_pool.request(method, target, **options), max_bytes
                )

    def _create_pool(self) -> bounded_pool.BoundedPool:
        return bounded_pool.BoundedPool(
            self._peer, CONNECTIONS, RECEIVE_BUDGET
        )

    def _replace_pool(self, failed: bounded_pool.BoundedPool) -> None:
        """Replace the pool of a failed call, if it is still in use.

        A network device that dropped one connection may have dropped the
        others as well.  Of calls that fail together only the first replaces
        the pool, because the next one is not affected.
        """
        with self._lock:
            if self._pool is failed:
                self._pool = self._create_pool()
        failed.close()

    def _abandon_pool(self, era: int) -> None:
        """Break off all calls, because a new era has begun.

        The store may leave a watch of the last era waiting.
        """
        with self._lock:
            pool, self._pool = self._pool, self._create_pool()
        pool.abort()

    def _make_era_fault(self) -> errors.Fault:
        return self._make_gone_fault(
            "the store's era has changed during the call"
        )

    def _make_gone_fault(self, message: str) -> errors.Fault:
        return errors.Fault(
            errors.Code.HISTORY_GONE,
            errors.Step.PLATFORM,
            self._peer,
            message=message,
        )

    def _make_response_fault(self, method: str, status: int) -> errors.Fault:
        message = f"the store responded with status {status}"
        if status in FAULT_CODES:
            return errors.Fault(
                FAULT_CODES[status],
                errors.Step.PLATFORM,
                self._peer,
                message=message,
            )
        return self._make_fault(method, False, message)

    def _make_fault(
        self, method: str, was_sent: bool, message: str
    ) -> errors.Fault:
        may_have_run = was_sent and method != "GET"
        return errors.Fault(
            errors.Code.PLATFORM_UNAVAILABLE,
            errors.Step.PLATFORM,
            self._peer,
            errors.ExecutionStatus.MAY_HAVE_RUN
            if may_have_run
            else errors.ExecutionStatus.NOT_RUN,
            message,
        )

    def _parse(
        self, parse: collections.abc.Callable[[], T]
    ) -> expression.Result[T, errors.Fault]:
        try:
            return expression.Ok(parse())
        except PARSE_ERRORS as error:
            return expression.Error(
                self._make_fault("PUT", True, f"malformed response: {error!r}")
            )

    def _parse_page(
        self, kind: str, response: "_Response"
    ) -> tuple[base.Listing, str]:
        """Return a page of a listing, and the name after which to go on."""
        value = response.value
        items = _get_list(value, "items")
        position_ = _parse_position(response)
        objects = self._parse_objects(kind, items, position_)
        after = _find_last_name(items) if value.get("has_more") else ""
        return base.Listing(objects, position_), after

    def _parse_changes(
        self, kind: str, response: "_Response"
    ) -> base.ChangeBatch:
        changes = _get_list(response.value, "events")
        position_ = _parse_position(response)
        events = [
            base.WatchEvent(
                base.EventType.DELETED
                if change.get("deleted")
                else base.EventType.MODIFIED,
                object_,
            )
            for change in changes
            for object_ in self._parse_objects(
                kind, [_get_object(change)], position_
            )
        ]
        return base.ChangeBatch(events, position_)

    def _parse_objects(
        self,
        kind: str,
        items: list[typing.Any],
        position_: position.Position,
    ) -> list[base.StoredObject]:
        """Return the objects that can be told from others."""
        objects = []
        for item in items:
            try:
                object_ = _parse_object(kind, item, position_.era)
            except PARSE_ERRORS as error:
                self._log_unreadable(kind, repr(error))
                continue
            # No later one is known to the store.
            object_.version = min(object_.version, position_.revision)
            object_.content_position = object_.position
            if kind not in LARGE_KINDS:
                self._bound_value(object_)
            objects.append(object_)
        return objects

    def _bound_value(self, object_: base.StoredObject) -> None:
        """Empty an object whose value is far too large for its kind."""
        if not json_text.is_heavier(object_.value, MAX_WEIGHT):
            return
        object_.value = {}
        if self._reported.add((object_.kind, object_.name)):
            LOG.warning(
                "an object of the store is too large and counts as empty",
                extra=logs.make_extra(
                    kind=object_.kind,
                    name=object_.name[: wire.MAX_LOGGED_LENGTH],
                ),
            )

    def _log_unreadable(self, kind: str, reason: str) -> None:
        """Log that an object is left out, once for each reason."""
        reason = reason[: wire.MAX_LOGGED_LENGTH]
        if self._reported.add((kind, reason)):
            LOG.warning(
                "an object of the store is left out: it has no valid name "
                "or revision",
                extra=logs.make_extra(kind=kind, reason=reason),
            )

    def _count(
        self, purpose: str, outcome: str, sent: bytes | None, received: bytes
    ) -> None:
        self._counter.count_call(
            purpose, outcome, len(sent or b""), len(received)
        )


class _Received:
    """A response as received.

    :param status: the HTTP status
    :param content: the body
    :param era: the header with the store's era; None if there is none
    """

    __slots__ = ("status", "content", "era")

    def __init__(self, status: int, content: bytes, era: str | None) -> None:
        self.status = status
        self.content = content
        self.era = era


class _Response:
    """A successful response.

    :param value: the decoded body
    :param era: the era in which the store has sent it
    """

    __slots__ = ("value", "era")

    def __init__(self, value: typing.Any, era: int) -> None:
        self.value = value
        self.era = era


def _receive(response: urllib3.BaseHTTPResponse, max_bytes: int) -> _Received:
    content = bounded_pool.read_body(response, max_bytes)
    return _Received(response.status, content, response.headers.get(wire.ERA))


def _get_list(value: dict[str, typing.Any], name: str) -> list[typing.Any]:
    items = value[name]
    if not isinstance(items, list):
        raise ValueError(f"expected a list of {name}")
    return items


def _get_object(change: typing.Any) -> typing.Any:
    return change.get("object") if isinstance(change, dict) else None


def _is_too_large(error: Exception) -> bool:
    # The body's reader wraps what its socket raises.
    return isinstance(error, bounded_socket.ResponseSizeError) or isinstance(
        error.__cause__, bounded_socket.ResponseSizeError
    )


def _path(kind: str, name: str = "") -> str:
    parts = [wire.OBJECTS, kind, urllib.parse.quote(name, safe="")]
    return "/".join(filter(None, parts))


def _parse_object(kind: str, value: typing.Any, era: int) -> base.StoredObject:
    metadata = value["metadata"]
    content = value.get("spec")
    return base.StoredObject(
        kind,
        _parse_name(metadata["name"]),
        wire.parse_integer(metadata["revision"], maximum=MAX_REVISION),
        content if isinstance(content, dict) else {},
        era,
    )


def _parse_name(value: typing.Any) -> str:
    """Return an object's name.

    :raises ValueError: if no path can contain it
    """
    name = wire.parse_string(value)
    if len(name.encode()) > MAX_NAME_BYTES:
        raise ValueError("the name is too long")
    return name


def _find_last_name(items: list[typing.Any]) -> str:
    """Return the last name of a page; empty if it has none."""
    for item in reversed(items):
        try:
            return _parse_name(item["metadata"]["name"])
        except PARSE_ERRORS:
            # Logged when the page was read.
            continue
    return ""


def _parse_position(response: _Response) -> position.Position:
    revision = wire.parse_integer(
        response.value["store_revision"], maximum=MAX_REVISION
    )
    return position.Position(response.era, revision)

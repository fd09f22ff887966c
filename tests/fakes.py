"""In-memory object store with faults that tests can enable."""

import collections
import copy
import json
import random
import threading

import expression

from mulberryway import errors
from mulberryway.objects import base

VALUE_BYTES = 1 << 20


def make_fault(code, run=errors.ExecutionStatus.NOT_RUN):
    return errors.Fault(code, errors.Step.PLATFORM, "memory", run)


class MemoryStore(base.ObjectStore):
    """Stores all versions of all objects, to allow stale reads.

    While ``outage`` is set, all calls fail.  ``lose_reply`` is the fraction
    of writes that take effect but whose response is lost, ``lose_write`` the
    fraction of writes that are lost before they take effect, and ``stale``
    the fraction of reads that return an old version.  ``counts`` holds the
    number of calls by purpose.
    """

    def __init__(self, seed=0):
        self.random = random.Random(seed)
        self.lock = threading.Condition()
        self.version = 0
        self.history = {}
        self.events = []
        self.vms = []
        self.counts = collections.Counter()
        self.bytes_written = 0
        self.outage = False
        self.lose_reply = 0.0
        self.lose_write = 0.0
        self.stale = 0.0
        # Hook that runs before each call, for concurrent changes.
        self.on_call = lambda: None
        # Time of each version, for checks in tests.
        self.now_ms = lambda: 0
        self.written_ms = {}
        self.era = 0
        self.backup = None

    def read(self, kind, name, purpose):
        self.on_call()
        with self.lock:
            if self._is_rejected(purpose):
                return self._unavailable()
            versions = self.history.get((kind, name), [])
            if versions and self.random.random() < self.stale:
                versions = versions[: self.random.randint(1, len(versions))]
            if not versions or versions[-1].value is None:
                return expression.Error(make_fault(errors.Code.NOT_FOUND))
            last = versions[-1]
            return expression.Ok(
                base.StoredObject(
                    kind, name, last.version, last.value, self.era
                )
            )

    def read_all(self, kind, purpose):
        self.on_call()
        with self.lock:
            if self._is_rejected(purpose):
                return self._unavailable()
            return expression.Ok(
                [
                    versions[-1]
                    for key, versions in self.history.items()
                    if key[0] == kind and versions[-1].value is not None
                ]
            )

    def create(self, kind, name, value, purpose):
        return self._write(kind, name, value, None, purpose)

    def update(self, kind, name, value, version, purpose):
        return self._write(kind, name, value, version, purpose)

    def delete(self, kind, name, version, purpose):
        result = self._write(kind, name, None, version, purpose)
        return result.map(lambda stored: None)

    def watch(self, kind, from_version, idle_timeout_ms, purpose):
        self.counts[purpose] += 1
        last_version = from_version
        while True:
            with self.lock:
                if self.outage:
                    yield self._unavailable()
                    return
                events = [
                    event
                    for event in self.events
                    if event.object.kind == kind
                    and event.object.version > last_version
                ]
                if not events:
                    self.lock.wait(0.05)
            for event in events:
                last_version = event.object.version
                yield expression.Ok(event)
            if not events:
                bookmark = base.StoredObject(kind, "", self.version, {})
                yield expression.Ok(
                    base.WatchEvent(base.EventType.BOOKMARK, bookmark)
                )

    def list_vms(self, purpose):
        if self._is_rejected(purpose):
            return self._unavailable()
        return expression.Ok(list(self.vms))

    def make_backup(self):
        """Remember the present state, to which the store may return."""
        with self.lock:
            histories = {key: list(old) for key, old in self.history.items()}
            self.backup = self.version, histories

    def return_to_backup(self):
        """Lose all changes since the backup, and begin the next era."""
        with self.lock:
            self.version, histories = self.backup
            self.history = {key: list(old) for key, old in histories.items()}
            self.era += 1

    def names(self, kind):
        """Return the names of all existing objects of a kind."""
        return {
            name
            for (of_kind, name), versions in self.history.items()
            if of_kind == kind and versions[-1].value is not None
        }

    def _is_rejected(self, purpose):
        self.counts[purpose] += 1
        return self.outage

    def _unavailable(self, run=errors.ExecutionStatus.NOT_RUN):
        code = errors.Code.PLATFORM_UNAVAILABLE
        return expression.Error(make_fault(code, run))

    def _write(self, kind, name, value, version, purpose):
        self.on_call()
        with self.lock:
            if self._is_rejected(purpose):
                return self._unavailable()
            if self.random.random() < self.lose_write:
                return self._unavailable(errors.ExecutionStatus.MAY_HAVE_RUN)
            result = self._apply(kind, name, value, version)
            if self.random.random() < self.lose_reply:
                return self._unavailable(errors.ExecutionStatus.MAY_HAVE_RUN)
            return result

    def _apply(self, kind, name, value, version):
        size = len(json.dumps(value))
        if size > VALUE_BYTES:
            return expression.Error(make_fault(errors.Code.BODY_TOO_LARGE))
        versions = self.history.get((kind, name), [])
        exists = bool(versions) and versions[-1].value is not None
        if version is None and exists:
            return expression.Error(make_fault(errors.Code.CONFLICT))
        if version is not None and not exists:
            return expression.Error(make_fault(errors.Code.NOT_FOUND))
        if version is not None and versions[-1].version != version:
            return expression.Error(make_fault(errors.Code.CONFLICT))
        return expression.Ok(self._store(kind, name, value, size))

    def _store(self, kind, name, value, size):
        self.version += 1
        self.written_ms[self.version] = self.now_ms()
        self.bytes_written += size
        stored = base.StoredObject(
            kind, name, self.version, copy.deepcopy(value), self.era
        )
        versions = self.history.setdefault((kind, name), [])
        type_ = base.EventType.MODIFIED if versions else base.EventType.ADDED
        if value is None:
            type_ = base.EventType.DELETED
        versions.append(stored)
        self.events.append(base.WatchEvent(type_, stored))
        self.lock.notify_all()
        return stored

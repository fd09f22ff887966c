"""Keeps the versions of streams in the store for a loss of all VMs.

Other VMs remember the streams of a VM that ends.  If all end at once, each one
reads back what it had stored.
"""

import base64
import collections.abc
import logging
import struct
import typing

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.controllers import base
from mulberryway.controllers import version_tracking
from mulberryway.objects import base as objects
from mulberryway.policy import stream_versions

__all__ = ["StreamBackupController", "decode", "encode"]

LOG = logging.getLogger(__name__)

KIND = "streams"
PURPOSE = "streams"
MS_IN_S = 1_000
MIN_PERIOD_MS = 1_000
# Bounds the writes of all VMs together, at rest and while streams of several
# versions run.
RESTING_WRITES_PER_S = 10
BUSY_WRITES_PER_S = 100
# A stream's digest, the index of its pool and version, and its expiry in ms of
# the wall clock.
ENTRY = struct.Struct(f">{stream_versions.DIGEST_BYTES}sHQ")

Value = dict[str, typing.Any]


class StreamBackupController(base.Controller):
    """Writes the streams that this VM knows, and reads them after its start.

    A record that was stored is true whenever it is read: the version of a
    stream does not change.  So an old copy of the store loses streams, and
    mixes none.

    :param vm: this VM's name
    :param tracker: knows the streams
    :param store: the platform's store
    :param count_vms: returns the number of VMs, which share the writes
    :param clock_: the clock
    """

    def __init__(
        self,
        vm: str,
        tracker: version_tracking.VersionTracker,
        store: objects.ObjectStore,
        count_vms: collections.abc.Callable[[], int],
        clock_: clock.Clock,
    ) -> None:
        super().__init__("stream-backup", clock_, MIN_PERIOD_MS)
        self._vm = vm
        self._tracker = tracker
        self._store = store
        self._count_vms = count_vms
        self._is_restored = False
        # The version of the stored object; none if there is none.
        self._version: int | None = None
        self._stored_changes = 0

    def step(self) -> None:
        """Read the stored streams once; then write what is new."""
        if not self._is_restored:
            self._is_restored = self._restore()
        elif self._tracker.changes != self._stored_changes:
            self._write()
        self.period_ms = self._compute_period_ms()

    def _compute_period_ms(self) -> int:
        writes_per_s = (
            BUSY_WRITES_PER_S
            if self._tracker.has_several_versions()
            else RESTING_WRITES_PER_S
        )
        return max(MIN_PERIOD_MS, self._count_vms() * MS_IN_S // writes_per_s)

    def _restore(self) -> bool:
        """Read the streams that this VM had stored before its restart.

        :returns: whether the store has answered
        """
        result = self._read()
        if result.is_error():
            return result.error.code is errors.Code.NOT_FOUND
        self._tracker.receive(decode(result.ok.value, self.clock.wall_ms()))
        return True

    def _read(self) -> expression.Result[objects.StoredObject, errors.Fault]:
        result = self._store.read(KIND, self._vm, PURPOSE)
        if result.is_ok():
            self._version = result.ok.version
        return result

    def _write(self) -> None:
        changes = self._tracker.changes
        value = encode(self._tracker.list_records(), self.clock.wall_ms())
        result = (
            self._store.create(KIND, self._vm, value, PURPOSE)
            if self._version is None
            else self._store.update(
                KIND, self._vm, value, self._version, PURPOSE
            )
        )
        if result.is_ok():
            self._version = result.ok.version
            self._stored_changes = changes
        elif result.error.code is errors.Code.CONFLICT:
            # Written by a call whose response was lost, or brought back by an
            # older copy of the store.
            self._read()
        elif result.error.code is errors.Code.NOT_FOUND:
            self._version = None


def encode(
    records: collections.abc.Iterable[stream_versions.StreamVersion],
    wall_ms: int,
) -> Value:
    """Return records as the value of a stored object.

    :param records: the records
    :param wall_ms: current time of the wall clock in ms
    """
    indexes: dict[tuple[str, str], int] = {}
    entries = [
        ENTRY.pack(
            record.stream,
            indexes.setdefault((record.pool, record.version), len(indexes)),
            wall_ms + record.left_ms,
        )
        for record in records
    ]
    return {
        "versions": [list(key) for key in indexes],
        "records": base64.b64encode(b"".join(entries)).decode(),
    }


def decode(value: Value, wall_ms: int) -> list[stream_versions.StreamVersion]:
    """Return the records of a stored object that have not expired.

    :param value: its value
    :param wall_ms: current time of the wall clock in ms
    :returns: the records; none if the value is malformed
    """
    try:
        keys = [
            (str(pool), str(version)) for pool, version in value["versions"]
        ]
        entries = list(ENTRY.iter_unpack(base64.b64decode(value["records"])))
        return [
            stream_versions.StreamVersion(
                stream, *keys[index], until_ms - wall_ms
            )
            for stream, index, until_ms in entries
            if until_ms > wall_ms
        ]
    except (KeyError, ValueError, TypeError, IndexError, struct.error):
        LOG.exception("the stored versions of streams are malformed")
        return []

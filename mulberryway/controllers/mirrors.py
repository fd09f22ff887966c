"""Mirrors the store's objects, from the store and from other VMs."""

import collections.abc
import logging
import random
import threading

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway.controllers import base
from mulberryway.controllers import expiry
from mulberryway.controllers import kept_objects
from mulberryway.controllers import mirror_codec
from mulberryway.objects import base as objects
from mulberryway.peers.gen.mirrors import ttypes
from mulberryway.policy import mass_expiry
from mulberryway.policy import mirrors

__all__ = ["MirrorHandler", "MirrorController"]

LOG = logging.getLogger(__name__)

# A longer poll costs fewer calls, but an unresponsive connection is detected
# later.  Until then changes arrive through other VMs.
LONG_POLL_MS = 2_500
# Limits of the exponential backoff.  With its jitter, VMs do not all call a
# store at the same moment when it becomes reachable again.
MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 1_000
NO_PAUSE_MS = 1
# Delay after a change, so that one answer contains several changes in
# quick succession.
CHANGE_BATCH_DELAY_MS = 50
# Interval at which a VM that does not watch checks whether it has to.
WATCHER_CHECK_MS = 200
OUTDATED_LOG_INTERVAL_MS = 1_000


class MirrorController(base.Controller):
    """Watches one kind of object in the store and keeps its mirror.

    :param kind: the plural kind
    :param store: the platform's store
    :param clock_: the clock
    :param on_change: called after each change; must not raise
    :param detector: see :class:`mirrors.Mirror`
    :param is_watcher: returns whether this VM watches the store itself; if
        not, it gets its mirror from other VMs
    """

    def __init__(
        self,
        kind: str,
        store: objects.RevisionedStore,
        clock_: clock.Clock,
        on_change: collections.abc.Callable[[], None],
        detector: mass_expiry.MassExpiryDetector | None = None,
        is_watcher: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__(f"mirror-{kind}", clock_, MIN_BACKOFF_MS)
        self.kind = kind
        self._store = store
        self._on_change = on_change
        self.kept = kept_objects.RetainedObjectReport(kind, detector)
        self._mirror = mirrors.Mirror(kind, detector)
        self._retains_objects = detector is not None
        self._lock = threading.Lock()
        # The encoded snapshot for other VMs, and the mirror's edit count at
        # which it was made.
        self._snapshot = b""
        self._snapshot_edits = -1
        self._needs_listing = True
        self._has_synced = False
        self._is_watcher = is_watcher
        self._expiry = expiry.ExpiryController(
            f"mirror-{kind}-expiry", clock_, self.expire, self._find_expiry_ms
        )
        self._was_reached = True
        self._was_answered = False
        self._outdated_logged_ms: int | None = None
        self._random = random.Random()

    @property
    def revision(self) -> int:
        """Revision of the kind's last known change."""
        return self._mirror.changed_revision

    @property
    def is_reached(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._was_answered and self._was_reached

    @property
    def has_synced(self) -> bool:
        """Whether a listing or another VM's snapshot has been applied."""
        return self._has_synced

    @property
    def needs_initial_sync(self) -> bool:
        """Whether there is no mirror yet and the store did not answer."""
        return not (self._has_synced or self._was_reached)

    def start(self) -> None:
        """Start one thread that watches and one that expires objects."""
        super().start()
        if self._retains_objects:
            self._expiry.start()

    def stop(self, wait_ms: int = 2_000) -> None:
        """Stop the threads.

        :param wait_ms: maximum wait for a current call to the store, in
            milliseconds
        """
        self._expiry.stop(wait_ms)
        super().stop(wait_ms)

    def list_objects(self) -> list[objects.StoredObject]:
        """Return the mirror's objects, including retained ones."""
        with self._lock:
            return self._mirror.list_objects()

    def step(self) -> None:
        """Call the store once: list the objects, or wait for changes."""
        if not self._needs_listing and not self._is_watcher():
            self.period_ms = WATCHER_CHECK_MS
            return
        before = self._mirror.revision
        # After a failed call the poll does not wait, so that the store's
        # recovery is noticed immediately.
        wait_ms = LONG_POLL_MS if self._was_reached else 0
        asked_ms = self.clock.now_ms()
        fault = self._list() if self._needs_listing else self._poll(wait_ms)
        now_ms = self.clock.now_ms()
        if fault is None:
            self._was_answered = True
            self._set_reached(True)
            has_changed = self._mirror.revision != before
            self.period_ms = (
                CHANGE_BATCH_DELAY_MS if has_changed else NO_PAUSE_MS
            )
        elif fault.code is errors.Code.HISTORY_GONE:
            self._needs_listing = True
            self.period_ms = NO_PAUSE_MS
        else:
            # If the call took longer than its poll, the store may have been
            # unreachable since the call began.  A rejection or a broken
            # connection only shows a failure at the moment it occurs.
            has_timed_out = now_ms - asked_ms >= wait_ms
            with self._lock:
                self._mirror.record_failure(
                    asked_ms if has_timed_out else now_ms, fault.message
                )
            self._set_reached(False, fault)
            self.period_ms = min(
                max(self.period_ms * 2, MIN_BACKOFF_MS), MAX_BACKOFF_MS
            )
            self.period_ms = int(
                self.period_ms * (0.75 + self._random.random() / 2)
            )

    def expire(self) -> None:
        """Remove retained objects whose retention has expired."""
        now_ms = self.clock.now_ms()
        with self._lock:
            expired = self._mirror.expire(now_ms)
            self.kept.kept = len(self._mirror.list_retained())
        if expired:
            self.kept.report_expired(expired, now_ms)
            self._on_change()

    def _find_expiry_ms(self) -> int | None:
        with self._lock:
            return self._mirror.find_expiry_ms()

    def make_snapshot(self, known_revision: int) -> tuple[int, bytes]:
        """Return a snapshot of the mirror for another VM.

        :param known_revision: the revision that the other VM has
        :returns: the revision and the encoded snapshot; empty if not newer
        """
        with self._lock:
            revision = self._mirror.changed_revision
            if revision <= known_revision:
                return revision, b""
            if self._mirror.list_retained():
                # The remaining retention time differs for each snapshot.
                return revision, mirror_codec.encode_snapshot(
                    self._mirror, self.clock.now_ms()
                )
            if self._snapshot_edits != self._mirror.edits:
                # After a change all VMs of a fleet request the same snapshot.
                self._snapshot_edits = self._mirror.edits
                self._snapshot = mirror_codec.encode_snapshot(self._mirror, 0)
            return revision, self._snapshot

    def apply_snapshot(self, revision: int, content: bytes) -> None:
        """Apply another VM's snapshot if it is newer.

        :param revision: its revision
        :param content: the encoded snapshot
        """
        now_ms = self.clock.now_ms()
        snapshot = mirror_codec.decode_snapshot(
            self.kind, revision, content, now_ms
        )
        with self._lock:
            has_changed = self._mirror.replace_from_peer(
                snapshot.objects, revision, now_ms, snapshot.kept
            )
            self._has_synced = True
        if has_changed:
            LOG.info(
                "a newer copy came from another VM",
                extra=logs.make_extra(kind=self.kind, revision=revision),
            )
            self._report_retained()
            self._on_change()

    def _list(self) -> errors.Fault | None:
        result = self._store.read_listing(self.kind, "mirror")
        if result.is_error():
            return result.error
        self._needs_listing = False
        now_ms = self.clock.now_ms()
        with self._lock:
            self._mirror.record_response(now_ms)
            has_changed = self._mirror.replace(
                result.ok.objects, result.ok.revision, now_ms
            )
        self._has_synced = True
        if has_changed:
            self._log_change()
            self._on_change()
        else:
            self._log_outdated(result.ok.revision, now_ms)
        return None

    def _poll(self, wait_ms: int) -> errors.Fault | None:
        result = self._store.poll_changes(
            self.kind, self._mirror.revision, wait_ms, "mirror"
        )
        if result.is_error():
            return result.error
        now_ms = self.clock.now_ms()
        with self._lock:
            self._mirror.record_response(now_ms)
            has_changed = self._mirror.apply(
                result.ok.events, result.ok.revision, now_ms
            )
        if has_changed:
            self._log_change()
            self._on_change()
        return None

    def _log_outdated(self, revision: int, now_ms: int) -> None:
        logged_ms = self._outdated_logged_ms
        if (
            logged_ms is not None
            and now_ms - logged_ms < OUTDATED_LOG_INTERVAL_MS
        ):
            return
        self._outdated_logged_ms = now_ms
        LOG.warning(
            "a listing of the store is not newer than the copy",
            extra=logs.make_extra(
                kind=self.kind,
                listed_revision=revision,
                revision=self._mirror.revision,
            ),
        )

    def _report_retained(self) -> None:
        with self._lock:
            retained = self._mirror.drain_newly_retained()
            self.kept.kept = len(self._mirror.list_retained())
        if retained:
            self.kept.report_retained(retained, self.clock.now_ms())
            self._expiry.wake()

    def _log_change(self) -> None:
        self._report_retained()
        LOG.info(
            "the store's objects have changed",
            extra=logs.make_extra(
                kind=self.kind,
                revision=self.revision,
                count=len(self._mirror.objects),
            ),
        )

    def _set_reached(
        self, is_reached: bool, fault: errors.Fault | None = None
    ) -> None:
        if is_reached != self._was_reached:
            self._was_reached = is_reached
            LOG.warning(
                "the store is back" if is_reached else "the store is away",
                extra=logs.make_extra(
                    fault, kind=self.kind, revision=self.revision
                ),
            )


class MirrorHandler:
    """Serves mirror snapshots to other VMs.

    :param controllers: the mirrors' controllers by kind
    """

    def __init__(
        self, controllers: collections.abc.Mapping[str, MirrorController]
    ) -> None:
        self._controllers = controllers

    def read(self, kind: str, known_revision: int) -> ttypes.Mirror:
        """Return a mirror's snapshot if it is newer than the known revision.

        :param kind: the plural kind
        :param known_revision: the revision that the calling VM has
        """
        controller = self._controllers.get(kind)
        if controller is None:
            return ttypes.Mirror(0, b"")
        return ttypes.Mirror(*controller.make_snapshot(known_revision))
